//! The pool's capacity as machines are added and removed.
//!
//! The capacity never exceeds that of the machines on record. It rises after machines are
//! added, with the growth of a share or in a commit of its own, and falls before, or in,
//! the commit that removes a machine from the record. The capacity to remove is always
//! free: bookings are on machines, and no machine with a booking leaves the record, so the
//! booked resources never exceed those of the remaining machines.

use resources::Resources;

use crate::booking::reclaim_from_team;
use crate::change::{Change, Draft};
use crate::ledger::Ledger;
use crate::records::Pool;

/// The error that the shares have more than the remaining machines, so that they must
/// shrink first.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("shares exceed the capacity of the remaining machines")]
pub struct CapacityShortage;

/// Returns the change that sets the pool's capacity to that of the machines that are not
/// about to leave, as far as the shares have free capacity to return; `None` if there is
/// nothing to do. The first such change creates the pool. It writes at most `max_writes`
/// records; further shares shrink in later changes.
pub fn adjust_capacity(ledger: &Ledger, max_writes: usize) -> Option<Change> {
    let mut draft = Draft::new(ledger);
    let before = ledger.pool;
    draft.set_pool(before.unwrap_or_default());
    for team in ledger.teams.keys() {
        let granted = draft.pool().unwrap_or_default().granted;
        let excess = (granted - ledger.retained_capacity).positive();
        // The pool is written as well.
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

/// Returns the pool that must be written by a commit which removes machines with these
/// resources from the record; `None` while there is no pool. Every such commit writes the
/// pool, even if it stays the same, so that commits fail that were decided on the earlier
/// machines.
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
