//! Reserves capacity for a booking. The capacity is taken from the controller's own share,
//! then from the team's other shares, then from the pool, and last from the free capacity of
//! other teams' shares.

use std::cmp::Reverse;

use resources::Resources;

use crate::change::{Change, Draft};
use crate::ledger::Ledger;
use crate::names::{ControllerName, TeamName};
use crate::records::Pool;

/// The reason why no capacity can be reserved for a booking.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Shortage {
    /// The team's bookings are not charged to shares.
    #[error("team {0} has no shares")]
    NoShares(TeamName),
    /// The team would exceed its limit.
    #[error("team {0} would exceed its limit")]
    TeamLimit(TeamName),
    /// The pool has too little free capacity, even after other teams have returned theirs: all
    /// machines on record together lack the capacity.
    #[error("the machines on record lack the capacity")]
    MachineCapacity,
    /// Other teams may have enough free capacity, but one commit cannot write all their share
    /// records. The contained change returns a part of the capacity to the pool. It must be
    /// committed first, and the reservation is then decided again.
    #[error("other teams must return free capacity first")]
    CommitFirst(Box<Change>),
}

/// Reserves the capacity that a booking needs in a controller's share. Returns the change
/// that must be committed before the booking or together with it.
///
/// The change contains the records that the decision reads, the team's share record among
/// them. The usage record of the controller's share is not part of the change, as the booking
/// itself writes it. The change writes at most `max_writes` records, which must be at least
/// three.
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
    // The team's own share record and the pool are written in any case.
    let max_others = max_writes.saturating_sub(2);
    match grow_share(&mut draft, ledger, team, controller, shortfall, max_others) {
        Ok(()) => Ok(draft.finish()),
        Err(Shortage::MachineCapacity)
            if draft.written_shares_of_others(team) >= max_others.max(1) =>
        {
            Err(Shortage::CommitFirst(Box::new(draft.finish())))
        }
        Err(shortage) => Err(shortage),
    }
}

/// Returns the part of the needed resources that exceeds the free capacity of a share.
fn shortfall(
    draft: &Draft,
    team: &TeamName,
    controller: &ControllerName,
    need: Resources,
) -> Resources {
    (need - draft.free(team, controller.as_str())).positive()
}

/// Covers the shortfall from the free capacity of the team's other shares, starting with
/// the share that has the most free CPUs.
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

/// Grows a share by at least its shortfall, from the pool and from other teams' free capacity.
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

/// Returns the pool with enough free capacity to cover the shortfall; `None` if that is not
/// possible. The capacity of the pool is first updated to the present machines. If it is still
/// too small, other teams return free capacity to the pool.
pub(crate) fn pool_with_free_capacity(
    draft: &mut Draft,
    ledger: &Ledger,
    team: &TeamName,
    shortfall: Resources,
    max_others: usize,
) -> Option<Pool> {
    let mut pool = draft.pool().unwrap_or_default();
    // Machines that are about to leave no longer count, but the pool's capacity must not fall
    // below what is already granted.
    pool.capacity = ledger.retained_capacity.max(&pool.granted);
    draft.set_pool(pool);
    if !pool.free().fits(&shortfall) {
        reclaim_from_other_teams(draft, ledger, team, shortfall, max_others);
    }
    draft.pool().filter(|pool| pool.free().fits(&shortfall))
}

/// Returns free capacity of other teams to the pool until it covers the shortfall. Changes
/// the share records of at most `max_others` other teams.
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

/// Moves free capacity of a team's shares back to the pool, up to the wanted amount.
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
