//! What has to end on a machine before, or with, the renewal of its worker's lease.

use crate::state::records::{JobStatus, split_task};
use crate::state::replica::Replica;
use crate::wire::{CommandAction, TaskStage, TaskStatus, WorkerCommand, WorkerStatus};

/// Whether something on the machine has to end: its lease must not be renewed by
/// a controller that cannot command that yet. A cancelled task would outlive
/// `cancel_s` if its owner came back again and again before it could claim the
/// machine.
pub fn must_stop(status: &WorkerStatus, replica: &Replica) -> bool {
    let runs_unbooked = status
        .tasks
        .iter()
        .any(|task| is_to_end(task, &status.machine, replica));
    let mut booked = replica.jobs_on(&status.machine);
    runs_unbooked || booked.any(|(_, entry)| !entry.value.is_open())
}

/// Whether a reported task runs that no open job has booked there.
fn is_to_end(task: &TaskStatus, machine: &str, replica: &Replica) -> bool {
    let Some((id, number)) = split_task(&task.task) else {
        return false;
    };
    let job = replica.jobs.get(id).map(|entry| &entry.value);
    let is_booked =
        job.is_some_and(|job| job.is_open() && job.find(machine, task.attempt, number).is_some());
    task.stage != TaskStage::Ended && !is_booked
}

/// The stops that an answer which renews the lease has to carry: for every task
/// in that very status whose job is cancelled. What is final needs neither a
/// status under our fencing token nor a replica that has reached our claim, and a stop
/// may be repeated at any time: it is not left out because it was commanded a moment
/// ago, or is in a direct call just now, as neither may ever arrive.
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
