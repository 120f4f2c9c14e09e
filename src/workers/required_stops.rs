//! Determines which tasks must be stopped before, or together with, the renewal of a worker's
//! lease.

use crate::state::records::{JobStatus, split_task};
use crate::state::replica::Replica;
use crate::wire::{CommandAction, TaskStage, TaskStatus, WorkerCommand, WorkerStatus};

/// Returns whether a task on the machine must be stopped. A controller that has not claimed
/// the machine yet cannot command the stop, and must not renew the worker's lease in that
/// case. Otherwise a cancelled task would outlive `cancel_s` if the owner restarted repeatedly
/// before it could claim the machine.
pub fn must_stop(status: &WorkerStatus, replica: &Replica) -> bool {
    let runs_unbooked = status
        .tasks
        .iter()
        .any(|task| runs_without_booking(task, &status.machine, replica));
    let mut booked = replica.jobs_on(&status.machine);
    runs_unbooked || booked.any(|(_, entry)| !entry.value.is_open())
}

/// Returns whether a reported task still runs although no open job has booked it on the
/// machine.
fn runs_without_booking(task: &TaskStatus, machine: &str, replica: &Replica) -> bool {
    let Some((id, number)) = split_task(&task.task) else {
        return false;
    };
    let job = replica.jobs.get(id).map(|entry| &entry.value);
    let is_booked = job
        .is_some_and(|job| job.is_open() && job.find_run(machine, task.attempt, number).is_some());
    task.stage != TaskStage::Ended && !is_booked
}

/// Returns the stops that an answer must carry if it renews the lease: one for every
/// running task in the heartbeat's status whose job is cancelled. Cancellation is final, so
/// these stops need neither a status with this controller's fencing token nor a replica that
/// has reached this controller's claim. A stop may be repeated at any time. It is therefore
/// included even if it was commanded recently or is in a direct call that is in flight, as
/// neither command may ever arrive.
pub fn stops_of_cancelled_tasks(status: &WorkerStatus, replica: &Replica) -> Vec<WorkerCommand> {
    let is_cancelled = |task: &&TaskStatus| {
        let job = split_task(&task.task).and_then(|(id, _)| replica.jobs.get(id));
        task.stage != TaskStage::Ended
            && job.is_some_and(|entry| entry.value.status == JobStatus::Cancelled)
    };
    let stop = |task: &TaskStatus| WorkerCommand {
        action: CommandAction::Stop,
        task: task.task.clone(),
        attempt: task.attempt,
        grace_s: Some(0.0),
    };
    status.tasks.iter().filter(is_cancelled).map(stop).collect()
}
