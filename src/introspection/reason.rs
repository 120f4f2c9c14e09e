//! Explains to operators why a job is unfinished.

use tokio::time::Instant;

use crate::controller::Controller;
use crate::scheduler::WaitReason;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// Maximum number of dependencies whose ids are listed in a reason.
const MAX_NAMED_DEPENDENCIES: usize = 3;

/// Explanation why a job is unfinished.
pub(super) struct PendingReason {
    /// Text for operators.
    pub(super) text: String,
    /// Time for which the reason has been the same, in seconds; 0 for a reason whose start is
    /// not recorded.
    pub(super) seconds: f64,
}

impl PendingReason {
    fn new(text: impl Into<String>, seconds: f64) -> Self {
        PendingReason {
            text: text.into(),
            seconds,
        }
    }

    /// Returns the reason why an open job is unfinished at `now`.
    pub(super) fn for_job(controller: &Controller, id: &str, job: &Job, now: Instant) -> Self {
        if !controller.is_state_service_reachable() {
            let age = controller
                .replica_staleness()
                .map_or(0.0, |age| age.as_secs_f64());
            return PendingReason::new("the state service does not answer", age);
        }
        if let Some(dependencies) = dependencies_text(&controller.replica.borrow(), id) {
            return PendingReason::new(dependencies, 0.0);
        }
        if job.waiting_count() > 0 {
            return PendingReason::for_waiting_tasks(controller, id, now);
        }
        if job.runs.iter().any(|run| run.stop) {
            return PendingReason::new("it is being stopped, to be preempted or moved", 0.0);
        }
        PendingReason::new("it is running", 0.0)
    }

    /// Returns the reason why a job has waiting tasks.
    fn for_waiting_tasks(controller: &Controller, id: &str, now: Instant) -> Self {
        match controller.placement.wait_state(id) {
            Some(wait) => {
                let seconds = now.saturating_duration_since(wait.since).as_secs_f64();
                PendingReason::new(wait_text(wait.reason), seconds)
            }
            None => PendingReason::new("it has not been considered for placement yet", 0.0),
        }
    }
}

/// Returns the text for a wait reason of the last placement round.
fn wait_text(reason: WaitReason) -> &'static str {
    match reason {
        WaitReason::NoCapacity => "no machine has enough free capacity",
        WaitReason::NoZone => "no single zone has enough free capacity for all of its tasks",
        WaitReason::TeamLimit => "its team is at its limit",
        WaitReason::OldAttempt => "its earlier attempt may still be running",
        WaitReason::BackOff => "its tasks fail; it is retried after a back-off",
        WaitReason::SuspectedFaulty => {
            "its tasks fail on several machines; only a few are retried, at intervals"
        }
        WaitReason::ZoneCapReached => {
            "the zones with free capacity already run their maximum of its tasks"
        }
        WaitReason::RecordFull => "its record has no space for more running tasks",
        WaitReason::CommitFull => "other jobs filled the last placement round",
        WaitReason::RefusedByCloud => "the cloud refuses to create the machines that it needs",
    }
}

/// Returns a text that lists the jobs which have to be done before this job can start, or
/// `None` if it has no pending dependencies.
fn dependencies_text(replica: &Replica, id: &str) -> Option<String> {
    let dependencies = replica.pending_dependencies(id);
    if dependencies.is_empty() {
        return None;
    }
    let named = dependencies.len().min(MAX_NAMED_DEPENDENCIES);
    let names = dependencies[..named].join(", ");
    Some(match dependencies.len() - named {
        0 => format!("it awaits {names}"),
        more => format!("it awaits {names} and {more} more"),
    })
}
