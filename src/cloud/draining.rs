//! Drains machines that the cloud preempts or that cost more than their work is worth: no
//! new tasks are placed on them, and tasks that run on them are stopped while there is time
//! to save their progress.

use super::commit::commit_unless_empty;
use super::lifecycle::set_lifecycle;
use crate::controller::Controller;
use crate::scheduler::COMMIT_BYTES;
use crate::state::budget::RequestClass;
use crate::state::commit::precondition;
use crate::state::keys::job_key;
use crate::state::records::{Job, JobSpec, MachineLifecycle};
use crate::wire::{Commit, JobKind, Write};

/// Drains the machines that are queued for draining, such as those with a preemption
/// notice. The machines take no new work. Jobs that save their progress when they are
/// stopped are stopped before the machine is gone.
pub(super) async fn drain_machines(controller: &Controller) {
    let ids = controller.fleet.borrow_mut().take_pending_drains();
    for id in ids {
        if is_active_and_owned(controller, &id) {
            tracing::info!(machine = id, "machine draining");
            if !set_lifecycle(controller, &id, MachineLifecycle::Draining).await {
                controller.fleet.borrow_mut().queue_drain(&id);
                continue;
            }
        }
        let commit = drain_commit(controller, &id);
        if let Err(error) = commit_unless_empty(controller, RequestClass::Lifecycle, commit).await {
            tracing::debug!(machine = id, %error, "machine drain not committed");
        }
    }
}

/// Returns whether a machine is active and owned by this controller.
fn is_active_and_owned(controller: &Controller, id: &str) -> bool {
    let replica = controller.replica.borrow();
    let machine = replica.machines.get(id).map(|entry| &entry.value);
    machine.is_some_and(|machine| machine.lifecycle == MachineLifecycle::Active)
        && controller.owns(id)
}

/// Returns the commit that stops the jobs on a machine that lose no progress when they are
/// stopped, as many as fit in one commit.
fn drain_commit(controller: &Controller, machine: &str) -> Commit {
    let replica = controller.replica.borrow();
    let max_writes = controller.settings.max_writes_per_commit();
    let mut preconditions = Vec::new();
    let mut writes = Vec::new();
    let mut commit_bytes = 0;
    for (id, entry) in replica.jobs_on(machine) {
        let is_full = writes.len() == max_writes || commit_bytes > COMMIT_BYTES / 2;
        if is_full || !should_stop(&entry.value, machine) {
            continue;
        }
        let write = replica.put_job(id, &stopped(&entry.value, machine));
        if let Write::Put { value, .. } = &write {
            commit_bytes += value.get().len();
        }
        preconditions.push(precondition(job_key(id), entry.version));
        writes.push(write);
    }
    Commit {
        preconditions,
        writes,
    }
}

/// Returns whether a job is open, loses no progress when it is stopped (it saves
/// checkpoints or is a service), and has tasks on the machine without a stop flag.
fn should_stop(job: &Job, machine: &str) -> bool {
    let saves_progress = job
        .spec
        .as_ref()
        .is_some_and(|spec| spec.checkpoint_s > 0.0 || spec.kind == JobKind::Service);
    let mut runs = job.runs.iter().filter(|run| run.machine == machine);
    saves_progress && job.is_open() && runs.any(|run| !run.stop)
}

/// Returns the job with the stop flag set for its tasks on the machine, or for all of its
/// tasks if it is a gang.
fn stopped(job: &Job, machine: &str) -> Job {
    let mut job = job.clone();
    let is_gang = job.spec.as_ref().is_some_and(JobSpec::is_gang);
    for run in &mut job.runs {
        if is_gang || run.machine == machine {
            run.stop = true;
        }
    }
    job
}
