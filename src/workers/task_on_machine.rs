//! Identifies the tasks of a machine, so that its bookings and its worker's status can be
//! compared.

use crate::state::records::split_task;
use crate::wire::TaskStatus;

/// One attempt of a task, which is booked on the machine or reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct TaskOnMachine<'a> {
    pub(super) job: &'a str,
    /// Number of the task within the job.
    pub(super) number: u32,
    pub(super) attempt: u64,
}

impl<'a> TaskOnMachine<'a> {
    /// Returns the task of an entry in a status, or `None` if its id is malformed.
    pub(super) fn reported(task: &'a TaskStatus) -> Option<Self> {
        let (job, number) = split_task(&task.task)?;
        Some(TaskOnMachine {
            job,
            number,
            attempt: task.attempt,
        })
    }
}
