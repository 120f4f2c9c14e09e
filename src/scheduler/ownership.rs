//! Assignment of jobs to controllers: each job has a preferred controller that places it,
//! so that two controllers rarely decide on the same job at the same time.

use std::time::Duration;

use tokio::time::Instant;

use super::round_state::RoundState;
use crate::controller::Controller;
use crate::hash::preferred_controller;
use crate::settings::Settings;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// Returns the preferred controller of a job, which is the first to place the job. If there
/// are at least twice as many teams as controllers, all jobs of a team have the same
/// preferred controller: only one controller then writes the team's record, and jobs that
/// are placed in one commit share that write.
pub(super) fn preferred_placer<'a>(
    settings: &Settings,
    job: &str,
    team: &str,
    alive: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let deployment = &settings.deployment;
    let key = if deployment.teams.len() >= deployment.count * 2 {
        team
    } else {
        job
    };
    preferred_controller(key, alive)
}

/// Returns the ids of the jobs that this controller places now. These are the waiting jobs
/// whose preferred controller it is, and waiting jobs whose records have not changed for
/// two heartbeat intervals, as their preferred controller may not be able to place them.
///
/// Also updates the round state of all open jobs, and records the wait reason of jobs that
/// wait after a failure.
pub(super) fn jobs_to_place(
    controller: &Controller,
    state: &mut RoundState,
    replica: &Replica,
    now: Instant,
) -> Vec<String> {
    let settings = &controller.settings;
    let heartbeat_interval = settings.heartbeat_interval();
    let takeover_delay = heartbeat_interval * 2;
    let peers = controller.peers.borrow();
    let alive: Vec<&str> = peers.alive_controllers(controller, now);
    state.retain_open_jobs(replica);
    controller.placement.retain_open_jobs(replica);
    let mut to_place = Vec::new();
    for (_, id) in &replica.open_jobs {
        let Some(entry) = replica.jobs.get(id) else {
            continue;
        };
        let job = &entry.value;
        controller.placement.observe_job(id, now);
        controller.placement.observe_stall(id, job, now);
        state.observe(id, entry.version, now);
        if job.waiting_count() == 0 || state.is_excluded(id) {
            continue;
        }
        state.update_backoff(settings, id, job.failure_count, now);
        if let Some(reason) = state.failure_wait_reason(settings, id, job, now) {
            controller.placement.record_wait_reason(id, reason, now);
            continue;
        }
        if is_own(controller, id, job, &alive) || is_unchanged_for(state, id, takeover_delay, now) {
            to_place.push(id.clone());
        }
    }
    to_place
}

/// Returns whether this controller is the preferred controller of the job.
fn is_own(controller: &Controller, id: &str, job: &Job, alive: &[&str]) -> bool {
    let team = job.spec.as_ref().map_or("", |spec| &spec.team);
    let preferred = preferred_placer(&controller.settings, id, team, alive.iter().copied());
    preferred == Some(controller.name())
}

/// Returns whether the job's record has not changed for longer than `delay`.
fn is_unchanged_for(state: &RoundState, id: &str, delay: Duration, now: Instant) -> bool {
    state.unchanged_for(id, now) > delay
}
