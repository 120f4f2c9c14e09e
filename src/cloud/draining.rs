//! Draining of machines that the cloud preempts or that are not worth their price:
//! no new work goes there, and what runs there saves its progress while there is
//! time.

use super::commit::commit_unless_empty;
use super::lifecycle::set_lifecycle;
use crate::controller::Controller;
use crate::scheduler::COMMIT_BYTES;
use crate::state::budget::RequestClass;
use crate::state::commit::precondition;
use crate::state::keys::job_key;
use crate::state::records::{Job, MachineLifecycle, Spec};
use crate::wire::{Commit, JobKind, Write};

/// Drains the machines that are queued for it, such as those with a preemption
/// notice: they take no new work, and gangs that can save are told to while there
/// is time.
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

/// Whether a machine takes work and is owned by this controller.
fn is_active_and_owned(controller: &Controller, id: &str) -> bool {
    let replica = controller.replica.borrow();
    let machine = replica.machines.get(id).map(|entry| &entry.value);
    machine.is_some_and(|machine| machine.lifecycle == MachineLifecycle::Active)
        && controller.owns(id)
}

/// The commit that stops the work on a machine that can save its progress; as
/// much of it as one commit holds.
fn drain_commit(controller: &Controller, machine: &str) -> Commit {
    let replica = controller.replica.borrow();
    let max_writes = controller.settings.txn_ops();
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

/// Whether a job loses nothing by a stop, and has not been told yet.
fn should_stop(job: &Job, machine: &str) -> bool {
    let saves_progress = job
        .spec
        .as_ref()
        .is_some_and(|spec| spec.checkpoint_s > 0.0 || spec.kind == JobKind::Service);
    let mut runs = job.runs.iter().filter(|run| run.machine == machine);
    saves_progress && job.is_open() && runs.any(|run| !run.stop)
}

/// The job with its tasks on the machine told to stop; all of a gang's.
fn stopped(job: &Job, machine: &str) -> Job {
    let mut job = job.clone();
    let is_gang = job.spec.as_ref().is_some_and(Spec::is_gang);
    for run in &mut job.runs {
        if is_gang || run.machine == machine {
            run.stop = true;
        }
    }
    job
}
