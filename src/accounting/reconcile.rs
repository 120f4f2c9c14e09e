//! The next step of the accounting by shares: it completes what is left to move, keeps
//! the pool in step with the machines, and begins and ends the accounting.
//!
//! There is no state here: each step is decided on the replica alone, again once the
//! budget is there, and any controller may take it. Each subject has a preferred
//! controller among those that are up, so that they seldom meet.

use shares::{
    ControllerName, JobBooking, Ledger, OpenError, TeamName, Transfer, adjust_capacity, close_team,
    next_transfer, open_team, rebuild_team, reserve_for_smallest_job,
};

use super::CommitParts;
use crate::hash::preferred;
use crate::settings::Settings;
use crate::state::commit::precondition;
use crate::state::keys::machine_shard_key;
use crate::state::records::FORMATS_SHARES;
use crate::state::replica::{Replica, fallback_controller};
use crate::wire::{Precondition, Write};

/// One commit of the accounting by shares.
pub struct ReconcileStep {
    /// What it does, for the log.
    pub action: &'static str,
    /// The conditions.
    pub preconditions: Vec<Precondition>,
    /// The writes.
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

/// The next step that this controller takes, with these controllers up.
pub fn next_reconcile_step(
    replica: &Replica,
    settings: &Settings,
    alive: &[&str],
) -> Option<ReconcileStep> {
    replica.shares_since()?;
    let is_responsible = |subject: &str| {
        preferred(subject, alive.iter().copied()) == Some(settings.controller_name.as_str())
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

/// Whether every controller that is up has the feature on, this one included.
fn is_enabled(replica: &Replica, settings: &Settings) -> bool {
    let mut controllers = replica.controllers.values();
    settings.features.shares.enabled
        && controllers.all(|entry| entry.value.formats >= FORMATS_SHARES)
}

/// The pool is made once all machine shards count. It falls here only where shares hold more
/// than the machines that stay have: else in the commit that takes a machine off the record.
/// As machines come it rises with the growth of shares.
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
    let change = adjust_capacity(ledger, settings.txn_ops()).filter(|_| must_adjust)?;
    let mut parts = CommitParts::new(replica);
    parts.add_change(&change);
    Some(ReconcileStep::new("capacity", parts))
}

/// Writes machine shards anew that were last written before every controller counted the
/// machines that it takes off the record: from then on what was decided before fails.
fn rewrite_uncounted_shards(replica: &Replica, settings: &Settings) -> Option<ReconcileStep> {
    let uncounted = replica.machine_shards.iter();
    let uncounted: Vec<_> = uncounted
        .filter(|(id, _)| !replica.is_counted_shard(id))
        .take(settings.txn_ops() / 4)
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
    Some(ReconcileStep::new("count machines", parts))
}

/// A team's accounting by shares is begun, or what is left of its moves is completed.
fn team_step(
    replica: &Replica,
    settings: &Settings,
    ledger: &Ledger,
    team: &TeamName,
) -> Option<ReconcileStep> {
    if replica.is_split_unreadable(team.as_str()) {
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

/// A transfer, or what has to be committed before one is possible.
fn transfer_step(
    replica: &Replica,
    settings: &Settings,
    ledger: &Ledger,
    team: &TeamName,
    fallback: &ControllerName,
) -> Option<ReconcileStep> {
    let jobs = job_bookings(replica, team, fallback);
    // The split is written, too.
    let max_jobs = settings.txn_ops().saturating_sub(1);
    let mut parts = CommitParts::new(replica);
    let Some(transfer) = next_transfer(ledger, team, &jobs, max_jobs) else {
        let change = reserve_for_smallest_job(ledger, team, &jobs, settings.txn_ops())?;
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
        "share moves"
    );
}

/// A split that cannot be read is made anew from what is booked.
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
        "a split that cannot be read is made anew"
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
        settings.txn_ops(),
    );
    match opened {
        Ok(change) => parts.add_change(&change),
        Err(OpenError::Partial(first)) => {
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

/// What the team's jobs have booked, and whose share it counts against.
fn job_bookings(replica: &Replica, team: &TeamName, fallback: &ControllerName) -> Vec<JobBooking> {
    let jobs = replica.jobs.iter().filter_map(|(id, entry)| {
        let job = &entry.value;
        let spec = job.spec.as_ref()?;
        let booked = spec.need.times(job.booked());
        (spec.team == team.as_str() && !job.runs.is_empty()).then(|| JobBooking {
            job: id.as_str().into(),
            controller: job.share.clone().unwrap_or_else(|| fallback.clone()),
            booked,
        })
    });
    jobs.collect()
}
