//! Decides the next step of the accounting by shares. Steps complete pending moves, adapt the
//! pool to the machines, and enable and disable the accounting by shares.
//!
//! This module keeps no state: a step is decided from the replica alone, and decided again
//! when the write budget allows the commit. Any controller could commit any step. To make
//! conflicts rare, each team and the pool have a preferred controller among the live ones,
//! which alone takes their steps.

use shares::{
    ControllerName, JobBooking, Ledger, OpenError, TeamName, Transfer, adjust_capacity, close_team,
    next_transfer, open_team, rebuild_team, reserve_for_smallest_job,
};

use super::CommitParts;
use crate::hash::preferred_controller;
use crate::settings::Settings;
use crate::state::commit::precondition;
use crate::state::keys::machine_shard_key;
use crate::state::records::FORMATS_SHARES;
use crate::state::replica::{Replica, fallback_controller};
use crate::wire::{Precondition, Write};

/// One commit of the accounting by shares.
pub struct ReconcileStep {
    /// The kind of the step, for the log.
    pub action: &'static str,
    /// The preconditions of the commit.
    pub preconditions: Vec<Precondition>,
    /// The writes of the commit.
    pub writes: Vec<Write>,
}

impl ReconcileStep {
    fn new(action: &'static str, parts: CommitParts) -> Self {
        ReconcileStep {
            action,
            preconditions: parts.preconditions,
            writes: parts.writes,
        }
    }
}

/// Returns the next step of this controller, given the live controllers; `None` if there is
/// nothing to do.
pub fn next_reconcile_step(
    replica: &Replica,
    settings: &Settings,
    alive: &[&str],
) -> Option<ReconcileStep> {
    replica.shares_since()?;
    let is_responsible = |subject: &str| {
        preferred_controller(subject, alive.iter().copied())
            == Some(settings.controller_name.as_str())
    };
    let is_enabled = is_enabled(replica, settings);
    if !is_enabled && replica.pool.is_none() {
        return None;
    }
    let ledger = replica.ledger(settings);
    let mut teams = ledger
        .teams
        .keys()
        .filter(|team| is_responsible(team.as_str()));
    if is_enabled {
        teams
            .find_map(|team| team_step(replica, settings, &ledger, team))
            .or_else(|| pool_step(replica, settings, &ledger, is_responsible("pool")))
    } else {
        teams
            .find_map(|team| close_step(replica, &ledger, team))
            .or_else(|| remove_pool_step(replica, is_responsible("pool")))
    }
}

/// Returns whether shares are enabled on every controller with a valid state lease, this
/// one included. A controller with shares disabled reports an older format version.
fn is_enabled(replica: &Replica, settings: &Settings) -> bool {
    let mut controllers = replica.controllers.values();
    settings.features.shares.enabled
        && controllers.all(|entry| entry.value.formats >= FORMATS_SHARES)
}

/// Returns the step that creates the pool or reduces its capacity, if one is due.
///
/// The pool is created once all machine shards are counted (see
/// [`rewrite_uncounted_shards`]). This step reduces the pool's capacity only if the shares have
/// more than the machines that are not about to leave. In all other cases the commit that
/// removes a machine from the record reduces the capacity. After machines were added, the
/// capacity rises with the next growth of a share.
fn pool_step(
    replica: &Replica,
    settings: &Settings,
    ledger: &Ledger,
    is_responsible: bool,
) -> Option<ReconcileStep> {
    if !is_responsible {
        return None;
    }
    if let Some(step) = rewrite_uncounted_shards(replica, settings) {
        return Some(step);
    }
    let must_adjust = ledger
        .pool
        .is_none_or(|pool| !ledger.retained_capacity.fits(&pool.granted));
    let change =
        adjust_capacity(ledger, settings.max_writes_per_commit()).filter(|_| must_adjust)?;
    let mut parts = CommitParts::new(replica);
    parts.add_change(&change);
    Some(ReconcileStep::new("capacity", parts))
}

/// Returns the step that rewrites uncounted machine shards: those last written while some
/// controller could still remove machines without an update of the pool. A commit that such a
/// controller decided on the old version of a shard fails after the rewrite.
fn rewrite_uncounted_shards(replica: &Replica, settings: &Settings) -> Option<ReconcileStep> {
    let uncounted = replica.machine_shards.iter();
    let uncounted: Vec<_> = uncounted
        .filter(|(id, _)| !replica.is_counted_shard(id))
        .take(settings.max_writes_per_commit() / 4)
        .collect();
    if uncounted.is_empty() {
        return None;
    }
    let mut parts = CommitParts::new(replica);
    for (id, entry) in uncounted {
        parts
            .preconditions
            .push(precondition(machine_shard_key(id), entry.version));
        parts
            .writes
            .push(replica.put_machine_shard(id, &entry.value));
    }
    Some(ReconcileStep::new("count machine shards", parts))
}

/// Returns the step that enables a team's accounting by shares, continues the team's pending
/// moves, or rebuilds its unreadable share record.
fn team_step(
    replica: &Replica,
    settings: &Settings,
    ledger: &Ledger,
    team: &TeamName,
) -> Option<ReconcileStep> {
    if replica.is_share_record_unreadable(team.as_str()) {
        return rebuild_step(replica, settings, ledger, team);
    }
    if replica.is_share_unreadable(team.as_str()) {
        return None;
    }
    match &ledger.teams.get(team)?.share {
        None => open_step(replica, settings, ledger, team),
        Some(share) if share.pending.is_empty() => None,
        Some(share) => transfer_step(replica, settings, ledger, team, &share.fallback),
    }
}

/// Returns the step that transfers capacity for a pending move. If no transfer is possible,
/// returns the step that reserves the capacity for one.
fn transfer_step(
    replica: &Replica,
    settings: &Settings,
    ledger: &Ledger,
    team: &TeamName,
    fallback: &ControllerName,
) -> Option<ReconcileStep> {
    let jobs = job_bookings(replica, team, fallback);
    // One write of the commit is the share record.
    let max_jobs = settings.max_writes_per_commit().saturating_sub(1);
    let mut parts = CommitParts::new(replica);
    let Some(transfer) = next_transfer(ledger, team, &jobs, max_jobs) else {
        let change =
            reserve_for_smallest_job(ledger, team, &jobs, settings.max_writes_per_commit())?;
        parts.add_change(&change);
        return Some(ReconcileStep::new("reserve for a transfer", parts));
    };
    log_transfer(team, &transfer);
    parts.add_change(&transfer.change);
    parts.reassign_jobs(&transfer.change);
    Some(ReconcileStep::new("transfer", parts))
}

fn log_transfer(team: &TeamName, transfer: &Transfer) {
    tracing::info!(
        team = team.as_str(),
        from = transfer.from.as_str(),
        to = transfer.to.as_str(),
        cpus = transfer.amount.cpus.units(),
        gpus = transfer.amount.gpus.units(),
        jobs = transfer.change.reassigned.len(),
        "transferring share capacity"
    );
}

/// Returns the step that rebuilds an unreadable share record from the bookings.
fn rebuild_step(
    replica: &Replica,
    settings: &Settings,
    ledger: &Ledger,
    team: &TeamName,
) -> Option<ReconcileStep> {
    let generation = replica.last_move_generation(team.as_str());
    let change = rebuild_team(ledger, team, &fallback_controller(settings), generation)?;
    tracing::error!(
        team = team.as_str(),
        "unreadable share record rebuilt from bookings"
    );
    let mut parts = CommitParts::new(replica);
    parts.add_change(&change);
    Some(ReconcileStep::new("rebuild", parts))
}

fn open_step(
    replica: &Replica,
    settings: &Settings,
    ledger: &Ledger,
    team: &TeamName,
) -> Option<ReconcileStep> {
    let mut parts = CommitParts::new(replica);
    let opened = open_team(
        ledger,
        team,
        &fallback_controller(settings),
        settings.max_writes_per_commit(),
    );
    match opened {
        Ok(change) => parts.add_change(&change),
        Err(OpenError::CommitFirst(first)) => {
            parts.add_change(&first);
            return Some(ReconcileStep::new("reserve for a team", parts));
        }
        Err(_) => return None,
    }
    parts.put_team(team.as_str());
    Some(ReconcileStep::new("begin", parts))
}

fn close_step(replica: &Replica, ledger: &Ledger, team: &TeamName) -> Option<ReconcileStep> {
    if replica.is_share_unreadable(team.as_str()) {
        return None;
    }
    let change = close_team(ledger, team)?;
    let mut parts = CommitParts::new(replica);
    parts.add_change(&change);
    parts.put_team(team.as_str());
    Some(ReconcileStep::new("end", parts))
}

fn remove_pool_step(replica: &Replica, is_responsible: bool) -> Option<ReconcileStep> {
    if !is_responsible || replica.has_shares() {
        return None;
    }
    let mut parts = CommitParts::new(replica);
    parts.remove_pool();
    Some(ReconcileStep::new("remove the pool", parts))
}

/// Returns the bookings of the team's jobs, and the controllers to whose shares they are
/// charged.
fn job_bookings(replica: &Replica, team: &TeamName, fallback: &ControllerName) -> Vec<JobBooking> {
    let jobs = replica.jobs.iter().filter_map(|(id, entry)| {
        let job = &entry.value;
        let spec = job.spec.as_ref()?;
        let booked = spec.need.times(job.booked_count());
        (spec.team == team.as_str() && !job.runs.is_empty()).then(|| JobBooking {
            job: id.as_str().into(),
            controller: job.share.clone().unwrap_or_else(|| fallback.clone()),
            booked,
        })
    });
    jobs.collect()
}
