//! The pool's capacity, as machines come and go.
//!
//! Capacity is never more than the machines on record have. It rises late, with a
//! growth or by itself, and falls before, or in, the commit that takes a machine off
//! the record. There is always free capacity to take it from: bookings are on machines, and
//! no machine with a booking leaves the record, so that what is booked never exceeds
//! what the remaining machines have.

use resources::Resources;

use crate::booking::reclaim_from_team;
use crate::change::{Change, Draft};
use crate::ledger::Ledger;
use crate::records::Pool;

/// Shares hold more than the remaining machines have: they have to shrink first.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("shares hold more than the remaining machines have")]
pub struct CapacityShortage;

/// The change that brings the capacity to what the machines have that stay, as far as
/// shares have free capacity; `None` if there is nothing to do. A first pool is made by it. It
/// writes at most `max_writes` records: what is left to shrink comes next.
pub fn adjust_capacity(ledger: &Ledger, max_writes: usize) -> Option<Change> {
    let mut draft = Draft::new(ledger);
    let before = ledger.pool;
    draft.set_pool(before.unwrap_or_default());
    for team in ledger.teams.keys() {
        let granted = draft.pool().unwrap_or_default().granted;
        let excess = (granted - ledger.retained_capacity).positive();
        // The pool is written, too.
        if !excess.is_empty() && draft.written_shares() + 1 < max_writes {
            reclaim_from_team(&mut draft, team, excess);
        }
    }
    let mut pool = draft.pool().unwrap_or_default();
    // Bookings on machines that are about to leave still need their capacity.
    pool.capacity = ledger.retained_capacity.max(&pool.granted);
    draft.set_pool(pool);
    let change = draft.finish();
    (before != Some(pool) || !change.shares.is_empty()).then_some(change)
}

/// The pool as the commit has to write it that takes machines off the record which
/// have this much; `None` while there is no pool. Every such commit writes the pool, even
/// if it stays the same: what others decided on the machines as they were then fails.
pub fn release_machines(
    ledger: &Ledger,
    leaving: Resources,
) -> Result<Option<Pool>, CapacityShortage> {
    let Some(pool) = ledger.pool else {
        return Ok(None);
    };
    let remaining = ledger.machine_capacity - leaving;
    let capacity = pool.capacity.min(&remaining);
    match capacity.fits(&pool.granted) {
        true => Ok(Some(Pool { capacity, ..pool })),
        false => Err(CapacityShortage),
    }
}
