//! Adapts the pool's capacity as machines are added and removed.
//!
//! The pool's capacity never exceeds that of the machines on record. It rises only after
//! machines were added, with the growth of a share or in a commit of its own. It falls before
//! a machine is removed from the record, or in the same commit. The shares can always shrink
//! far enough: every booking is on a machine and no machine with a booking is removed, so the
//! booked resources never exceed those of the remaining machines.

use resources::Resources;

use crate::booking::reclaim_from_team;
use crate::change::{Change, Draft};
use crate::ledger::Ledger;
use crate::records::Pool;

/// The shares have more than the remaining machines and must shrink before machines are
/// removed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("shares exceed the capacity of the remaining machines")]
pub struct CapacityShortage;

/// Returns the change that sets the pool's capacity to that of the machines that are not
/// about to leave; `None` if there is nothing to do. Shares that have more than these machines
/// return their free capacity, and the pool keeps the capacity that they cannot return. The
/// pool is created if there is none. The change writes at most `max_writes` records; further
/// shares shrink in later changes.
pub fn adjust_capacity(ledger: &Ledger, max_writes: usize) -> Option<Change> {
    let mut draft = Draft::new(ledger);
    let before = ledger.pool;
    draft.set_pool(before.unwrap_or_default());
    for team in ledger.teams.keys() {
        let granted = draft.pool().unwrap_or_default().granted;
        let excess = (granted - ledger.retained_capacity).positive();
        // One of the writes is the pool.
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

/// Returns the pool for the commit that removes machines with these resources from the
/// record; `None` while there is no pool. Every such commit writes the pool, even if the pool
/// stays the same: commits that were decided before the removal then fail on the pool's
/// version.
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
