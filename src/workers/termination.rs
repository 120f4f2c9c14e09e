//! Ends of tasks: what proves that an attempt is over, and the queue of those that
//! are to be recorded.

use crate::controller::Controller;
use crate::state::records::{MachineLifecycle, TaskOutcome};
use crate::state::replica::Replica;

/// A task's attempt on a machine whose booking is to be released.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The id of the job.
    pub job: String,
    /// The machine on which the task was booked.
    pub machine: String,
    /// The attempt under which it was launched.
    pub attempt: u64,
    /// The number of the task within the job.
    pub task: u32,
}

/// An end that is to be recorded, and the token under which it was proven. A
/// controller that loses a machine and claims it again may have let another launch
/// the same attempt there meanwhile: what was proven before the new claim is void.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminationEvidence {
    /// How the attempt ended.
    pub outcome: TaskOutcome,
    /// The token of the claim under which that was proven.
    pub fencing_token: u64,
}

impl Controller {
    /// Queues ends for the next commit that records some.
    pub(super) fn queue_terminations(&self, ends: Vec<(AttemptKey, TaskOutcome)>) {
        if ends.is_empty() {
            return;
        }
        for (key, outcome) in ends {
            self.queue_end(key, outcome);
        }
        self.workers.terminations_notify.notify_one();
    }

    fn queue_end(&self, key: AttemptKey, outcome: TaskOutcome) {
        let mut owned_workers = self.workers.owned_workers.borrow_mut();
        let mut queue = self.workers.pending_terminations.borrow_mut();
        let owned_worker = owned_workers.get_mut(&key.machine);
        // Of a machine that is not held only the cloud's word proves an end.
        let fencing_token = owned_worker.as_ref().map_or(0, |h| h.fencing_token);
        if queue
            .get(&key)
            .is_some_and(|proof| proof.fencing_token >= fencing_token)
        {
            return;
        }
        if let Some(owned_worker) = owned_worker {
            match outcome {
                TaskOutcome::Failed => _ = owned_worker.failed_jobs.insert(key.job.clone()),
                TaskOutcome::Done => owned_worker.failed_jobs.clear(),
                TaskOutcome::Lost => {}
            }
        }
        tracing::debug!(
            job = key.job,
            task = key.task,
            attempt = key.attempt,
            machine = key.machine,
            ?outcome,
            "ended"
        );
        queue.insert(
            key,
            TerminationEvidence {
                outcome,
                fencing_token,
            },
        );
    }
}

/// Releases the bookings on machines whose worker's lease is surely over.
pub fn release_silent(controller: &Controller) {
    let now = controller.liveness_tick();
    let (lease, margin) = (
        controller.settings.worker_lease(),
        controller.settings.margin(),
    );
    let mut lost = Vec::new();
    {
        let mut owned_workers = controller.workers.owned_workers.borrow_mut();
        let replica = controller.replica.borrow();
        for (id, owned_worker) in owned_workers.iter_mut() {
            let held = replica.machines.get(id).is_some_and(|m| {
                m.value.fencing_token == owned_worker.fencing_token
                    && m.value.incarnation == controller.incarnation
            });
            if !held || !owned_worker.lease_is_over(lease, margin, now) {
                continue;
            }
            tracing::info!(machine = id, "silent for a whole lease: its tasks are gone");
            lost.extend(all_bookings(&replica, id));
            // What it reports next counts as a new beginning.
            owned_worker.status = None;
            owned_worker.unconfirmed = true;
            owned_worker.launched_attempts.clear();
        }
    }
    controller.queue_terminations(lost);
}

/// Releases the bookings on machines that the cloud has confirmed as gone.
pub fn release_gone(controller: &Controller) {
    let lost: Vec<_> = {
        let replica = controller.replica.borrow();
        let machines = replica.machines.iter();
        let gone = machines.filter(|(_, m)| m.value.lifecycle == MachineLifecycle::Gone);
        gone.flat_map(|(id, _)| all_bookings(&replica, id))
            .collect()
    };
    controller.queue_terminations(lost);
}

/// Every attempt that is booked on a machine, as lost.
fn all_bookings(replica: &Replica, machine: &str) -> Vec<(AttemptKey, TaskOutcome)> {
    let mut all = Vec::new();
    for (job, entry) in replica.jobs_on(machine) {
        for run in entry.value.runs.iter().filter(|r| r.machine == machine) {
            let keys = run.tasks.iter().map(|task| AttemptKey {
                job: job.to_string(),
                machine: machine.to_string(),
                attempt: run.attempt,
                task,
            });
            all.extend(keys.map(|key| (key, TaskOutcome::Lost)));
        }
    }
    all
}
