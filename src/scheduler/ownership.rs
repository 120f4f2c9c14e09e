//! Which controller places a job: each job has a preferred one, so that
//! controllers seldom decide on the same job at once.

use std::time::Duration;

use tokio::time::Instant;

use super::round_state::RoundState;
use crate::controller::Controller;
use crate::hash::preferred;
use crate::settings::Settings;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// The controller that places a job first. With teams enough to go round it is
/// the same for all of a team: its record is then written by one, and jobs
/// that are placed together share that write.
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
    preferred(key, alive)
}

/// Jobs that this controller places now: its own, and those that their
/// preferred controller has left waiting. Brings the state of all open jobs up to
/// date, and records which of them wait after a failure.
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
    let alive: Vec<&str> = peers.alive(controller, now);
    state.retain_open_jobs(replica);
    controller.placement.retain_open_jobs(replica);
    let mut own = Vec::new();
    for (_, id) in &replica.open_jobs {
        let Some(entry) = replica.jobs.get(id) else {
            continue;
        };
        let job = &entry.value;
        controller.placement.observe_job(id, now);
        state.observe(id, entry.version, now);
        if job.waiting() == 0 || state.is_excluded(id) {
            continue;
        }
        state.update_backoff(id, job.errors, heartbeat_interval, now);
        if let Some(reason) = state.failure_wait(settings, id, job, now) {
            controller.placement.record_wait_reason(id, reason, now);
            continue;
        }
        if is_own(controller, id, job, &alive) || has_waited(state, id, takeover_delay, now) {
            own.push(id.clone());
        }
    }
    own
}

/// Whether this controller is the job's preferred one.
fn is_own(controller: &Controller, id: &str, job: &Job, alive: &[&str]) -> bool {
    let team = job.spec.as_ref().map_or("", |spec| &spec.team);
    let preferred = preferred_placer(&controller.settings, id, team, alive.iter().copied());
    preferred == Some(controller.name())
}

/// Whether the job's record has been left as it is for longer than `delay`.
fn has_waited(state: &RoundState, id: &str, delay: Duration, now: Instant) -> bool {
    state.unchanged_for(id, now) > delay
}
