//! Queues the terminations of task attempts until a commit records them and releases their
//! bookings.

use std::time::Duration;

use tokio::time::Instant;

use crate::controller::Controller;
use crate::state::records::{MachineLifecycle, TaskOutcome};
use crate::state::replica::Replica;

use super::OwnedWorker;

/// Key that identifies one attempt of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// Id of the job.
    pub job: String,
    /// Machine on which the task was booked.
    pub machine: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Number of the task within the job.
    pub task: u32,
}

/// The end of an attempt. Its booking may be released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// Key of the attempt.
    pub key: AttemptKey,
    /// Outcome of the attempt: as the worker reported the end of the task, or
    /// [`TaskOutcome::Lost`] if the controller itself found that the attempt does not run and
    /// will not be launched.
    pub outcome: TaskOutcome,
}

/// The proven outcome of an attempt, with the fencing token under which it was proven. If a
/// controller loses a machine and claims it again, another controller may have launched the
/// same attempt there in between, so evidence from before the new claim is void.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminationEvidence {
    /// Outcome of the attempt, as in [`Termination::outcome`].
    pub outcome: TaskOutcome,
    /// Recorded fencing token of the claim under which the outcome was proven.
    pub fencing_token: u64,
}

impl Controller {
    /// Queues terminations and wakes the loop that records them.
    pub(super) fn queue_terminations(&self, terminations: Vec<Termination>) {
        if terminations.is_empty() {
            return;
        }
        for termination in terminations {
            self.queue_termination(termination);
        }
        self.workers.wake_termination_recording();
    }

    fn queue_termination(&self, Termination { key, outcome }: Termination) {
        let mut owned_workers = self.workers.owned_mut();
        let mut pending = self.workers.pending_terminations_mut();
        let owned_worker = owned_workers.get_mut(&key.machine);
        // If the machine is not owned here, the evidence is the cloud's confirmation that
        // the machine is gone, which needs no fencing token.
        let fencing_token = owned_worker
            .as_ref()
            .map_or(0, |w| w.fencing.range().last());
        let known = pending.get(&key);
        if known.is_some_and(|evidence| evidence.fencing_token >= fencing_token) {
            return;
        }
        if let Some(owned_worker) = owned_worker {
            record_outcome(owned_worker, &key.job, outcome);
        }
        tracing::debug!(
            job = key.job,
            task = key.task,
            attempt = key.attempt,
            machine = key.machine,
            fencing_token,
            ?outcome,
            "task terminated"
        );
        let evidence = TerminationEvidence {
            outcome,
            fencing_token,
        };
        pending.insert(key, evidence);
    }
}

/// Records on the worker that a task of a job has failed or succeeded there.
fn record_outcome(owned_worker: &mut OwnedWorker, job: &str, outcome: TaskOutcome) {
    match outcome {
        TaskOutcome::Failed => owned_worker.failures.record_failure(job, Instant::now()),
        TaskOutcome::Done => owned_worker.failures.record_success(),
        TaskOutcome::Lost => {}
    }
}

/// Queues terminations for all bookings on machines whose worker's lease has certainly
/// expired.
pub fn queue_terminations_of_expired_leases(controller: &Controller) {
    let now = controller.now_excluding_pauses();
    let lease = controller.settings.worker_lease();
    let margin = controller.settings.timing_margin();
    let lost = expire_leases(controller, lease, margin, now);
    controller.queue_terminations(lost);
}

/// Records which workers' leases have expired, and returns terminations for all attempts that
/// are booked on their machines.
fn expire_leases(
    controller: &Controller,
    lease: Duration,
    margin: Duration,
    now: Instant,
) -> Vec<Termination> {
    let mut lost = Vec::new();
    let mut owned_workers = controller.workers.owned_mut();
    let replica = controller.replica.borrow();
    for (id, owned_worker) in owned_workers.iter_mut() {
        let is_owned = replica.machines.get(id).is_some_and(|m| {
            owned_worker.fencing.is_recorded_in(&m.value)
                && m.value.incarnation == controller.incarnation
        });
        if !is_owned || !owned_worker.has_lease_expired(lease, margin, now) {
            continue;
        }
        tracing::info!(machine = id, "worker lease expired");
        lost.extend(lost_bookings(&replica, id));
        owned_worker.expire_lease();
    }
    lost
}

/// Queues terminations for all bookings on machines that the cloud has confirmed as gone:
/// those that are recorded as gone, and those whose record has been deleted since.
pub fn queue_terminations_of_gone_machines(controller: &Controller) {
    let lost: Vec<Termination> = {
        let replica = controller.replica.borrow();
        let machines = replica.machines.iter();
        let gone = machines.filter(|(_, m)| m.value.lifecycle == MachineLifecycle::Gone);
        let recorded = gone.flat_map(|(id, _)| lost_bookings(&replica, id));
        recorded
            .chain(bookings_without_machine_record(controller, &replica))
            .collect()
    };
    controller.queue_terminations(lost);
}

/// Returns terminations for the bookings on machines that have no record, and logs those that
/// are not queued yet.
fn bookings_without_machine_record(controller: &Controller, replica: &Replica) -> Vec<Termination> {
    let machines = replica.booked_machines_without_record();
    let mut lost: Vec<Termination> = machines
        .flat_map(|machine| lost_bookings(replica, machine))
        .collect();
    let pending = controller.workers.pending_terminations();
    lost.retain(|termination| !pending.contains_key(&termination.key));
    for Termination { key, .. } in &lost {
        tracing::warn!(
            job = key.job,
            task = key.task,
            machine = key.machine,
            "booking on a machine without a record"
        );
    }
    lost
}

/// Returns terminations with the outcome "lost" for all attempts booked on a machine.
fn lost_bookings(replica: &Replica, machine: &str) -> Vec<Termination> {
    let mut lost = Vec::new();
    for (job, entry) in replica.jobs_on(machine) {
        for run in entry.value.runs.iter().filter(|r| r.machine == machine) {
            lost.extend(run.tasks.iter().map(|task| Termination {
                key: AttemptKey {
                    job: job.to_string(),
                    machine: machine.to_string(),
                    attempt: run.attempt,
                    task,
                },
                outcome: TaskOutcome::Lost,
            }));
        }
    }
    lost
}
