//! Capacity for a booking: of the share itself, else from the team's other shares, else
//! from the pool, else from what other teams' shares have free.

use std::cmp::Reverse;

use resources::Resources;

use crate::change::{Change, Draft};
use crate::ledger::Ledger;
use crate::names::{ControllerName, TeamName};
use crate::records::Pool;

/// Why a booking gets no capacity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Shortage {
    /// The team's bookings do not count against shares.
    #[error("{0} has no shares")]
    NoShares(TeamName),
    /// The team would exceed its limit.
    #[error("{0} would exceed its limit")]
    TeamLimit(TeamName),
    /// All machines on record together have not as much.
    #[error("the machines on record have no room for it")]
    MachineCapacity,
    /// One commit cannot take back enough of what other teams have free: this is to be
    /// committed first, and the rest follows.
    #[error("other teams have to give room back first")]
    Partial(Box<Change>),
}

/// The capacity that a booking needs in a controller's share, with all that has to be
/// written for it beside the booking itself. What it reads is part of the change: the
/// booking writes the record of use, and is guarded by the split. The change writes at
/// most `max_writes` records, of which there have to be three.
pub fn reserve(
    ledger: &Ledger,
    team: &TeamName,
    controller: &ControllerName,
    need: Resources,
    max_writes: usize,
) -> Result<Change, Shortage> {
    let mut draft = Draft::new(ledger);
    if draft.share(team).is_none() {
        return Err(Shortage::NoShares(team.clone()));
    }
    draft.read_share(team);
    take_from_other_shares(&mut draft, team, controller, need);
    let shortfall = shortfall(&draft, team, controller, need);
    if shortfall.is_empty() {
        return Ok(draft.finish());
    }
    // The split of the team itself and the pool are written anyway.
    let max_others = max_writes.saturating_sub(2);
    match grow_share(&mut draft, ledger, team, controller, shortfall, max_others) {
        Ok(()) => Ok(draft.finish()),
        Err(Shortage::MachineCapacity)
            if draft.written_shares_of_others(team) >= max_others.max(1) =>
        {
            Err(Shortage::Partial(Box::new(draft.finish())))
        }
        Err(shortage) => Err(shortage),
    }
}

/// What a share has too little of for a need.
fn shortfall(
    draft: &Draft,
    team: &TeamName,
    controller: &ControllerName,
    need: Resources,
) -> Resources {
    (need - draft.free(team, controller.as_str())).positive()
}

/// Takes what is shortfall out of the free capacity of the team's other shares, the largest
/// first.
fn take_from_other_shares(
    draft: &mut Draft,
    team: &TeamName,
    controller: &ControllerName,
    need: Resources,
) {
    let others = draft.share(team).map(|share| share.controllers());
    let mut others: Vec<ControllerName> = others.unwrap_or_default();
    others.retain(|name| name != controller);
    others.sort_by_key(|name| Reverse(draft.free(team, name.as_str()).cpus));
    for other in others {
        let free = draft.free(team, other.as_str()).positive();
        let part = shortfall(draft, team, controller, need).min(&free);
        if part.is_empty() {
            continue;
        }
        draft.read_use(team, &other);
        if let Some(share) = draft.edit_share(team) {
            share.add_granted(&other, Resources::default() - part);
            share.add_granted(controller, part);
            share.rebalance();
        }
    }
}

/// Grows a share by what it lacks, from the pool and from other teams' free capacity.
fn grow_share(
    draft: &mut Draft,
    ledger: &Ledger,
    team: &TeamName,
    controller: &ControllerName,
    shortfall: Resources,
    max_others: usize,
) -> Result<(), Shortage> {
    let limit = ledger.teams.get(team).map(|account| account.limit);
    let total = draft.share(team).map(|share| share.total());
    let remaining = limit
        .unwrap_or_default()
        .remaining(total.unwrap_or_default());
    if !remaining.fits(&shortfall) {
        return Err(Shortage::TeamLimit(team.clone()));
    }
    let Some(mut pool) = pool_with_free_capacity(draft, ledger, team, shortfall, max_others) else {
        return Err(Shortage::MachineCapacity);
    };
    let more = shortfall
        .scaled(i64::from(ledger.growth_factor))
        .min(&pool.free())
        .min(&remaining);
    let part = shortfall.max(&more);
    pool.granted += part;
    draft.set_pool(pool);
    if let Some(share) = draft.edit_share(team) {
        share.add_granted(controller, part);
    }
    Ok(())
}

/// The pool with as much free as is shortfall: machines that have come since count from now
/// on, and other teams give free capacity back. `None` if that is not enough.
pub(crate) fn pool_with_free_capacity(
    draft: &mut Draft,
    ledger: &Ledger,
    team: &TeamName,
    shortfall: Resources,
    max_others: usize,
) -> Option<Pool> {
    let mut pool = draft.pool().unwrap_or_default();
    // Those that are about to leave no longer do, but for what is granted already.
    pool.capacity = ledger.retained_capacity.max(&pool.granted);
    draft.set_pool(pool);
    if !pool.free().fits(&shortfall) {
        reclaim_from_other_teams(draft, ledger, team, shortfall, max_others);
    }
    draft.pool().filter(|pool| pool.free().fits(&shortfall))
}

/// Gives free capacity of other teams, of so many at most, back to the pool until it has as
/// much as is shortfall.
fn reclaim_from_other_teams(
    draft: &mut Draft,
    ledger: &Ledger,
    team: &TeamName,
    shortfall: Resources,
    max_others: usize,
) {
    for other in ledger.teams.keys().filter(|name| *name != team) {
        let Some(pool) = draft.pool() else { return };
        let missing = (shortfall - pool.free()).positive();
        if missing.is_empty() || draft.written_shares_of_others(team) == max_others {
            return;
        }
        reclaim_from_team(draft, other, missing);
    }
}

/// Gives as much of a team's free capacity back to the pool as is asked for and there is.
pub(crate) fn reclaim_from_team(draft: &mut Draft, team: &TeamName, wanted: Resources) {
    let controllers = draft.share(team).map(|share| share.controllers());
    let mut missing = wanted;
    for controller in controllers.unwrap_or_default() {
        let free = draft.free(team, controller.as_str()).positive();
        let part = missing.min(&free);
        let Some(mut pool) = draft.pool().filter(|_| !part.is_empty()) else {
            continue;
        };
        draft.read_use(team, &controller);
        if let Some(share) = draft.edit_share(team) {
            share.add_granted(&controller, Resources::default() - part);
            share.rebalance();
        }
        pool.granted -= part;
        draft.set_pool(pool);
        missing -= part;
    }
}
