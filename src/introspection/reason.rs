//! The one reason why a job is not over, in words for operators.

use tokio::time::Instant;

use crate::controller::Controller;
use crate::scheduler::WaitReason;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// How many of a job's dependencies its reason names.
const MAX_NAMED_DEPENDENCIES: usize = 3;

/// Why a job is not over.
pub(super) struct PendingReason {
    pub(super) text: String,
    /// For how many seconds this has been the reason; 0 where that is not tracked.
    pub(super) seconds: f64,
}

impl PendingReason {
    fn new(text: impl Into<String>, seconds: f64) -> Self {
        PendingReason {
            text: text.into(),
            seconds,
        }
    }

    /// The reason of a job that is not over at `now`.
    pub(super) fn of(controller: &Controller, id: &str, job: &Job, now: Instant) -> Self {
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
            return PendingReason::of_waiting_tasks(controller, id, now);
        }
        if job.runs.iter().any(|run| run.stop) {
            return PendingReason::new("it is being stopped to make room or to move", 0.0);
        }
        PendingReason::new("it is running", 0.0)
    }

    fn of_waiting_tasks(controller: &Controller, id: &str, now: Instant) -> Self {
        match controller.placement.wait_state(id) {
            Some(wait) => {
                let seconds = now.saturating_duration_since(wait.since).as_secs_f64();
                PendingReason::new(wait_text(wait.reason), seconds)
            }
            None => PendingReason::new("its turn has not come yet", 0.0),
        }
    }
}

/// Why the last placement round has left tasks waiting.
fn wait_text(wait: WaitReason) -> &'static str {
    match wait {
        WaitReason::NoCapacity => "no machine has room for it",
        WaitReason::NoZone => "no single zone has room for all of it",
        WaitReason::TeamLimit => "its team is at its limit",
        WaitReason::OldAttempt => "its earlier attempt is not surely gone yet",
        WaitReason::BackOff => "its tasks fail; it is tried again later",
        WaitReason::SuspectedFaulty => "its tasks fail on every machine; one is tried now and then",
        WaitReason::ZoneCapReached => "the zones that have room hold their share of it",
        WaitReason::RecordFull => "as many of its tasks run as one record can hold",
        WaitReason::CommitFull => "other work goes first",
        WaitReason::RefusedByCloud => "the cloud refuses the machines it needs",
    }
}

/// The jobs that have to be done before this one starts; `None` without any.
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
