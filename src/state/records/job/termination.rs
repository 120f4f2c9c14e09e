//! Releases a task's booking on its machine and applies the outcome to the job.

use super::{Job, JobStatus};
use crate::state::records::JobSpec;

/// Outcome of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The task has completed.
    Done,
    /// The task itself has failed. The failure counts towards the back-off of the job.
    Failed,
    /// The task was stopped, refused by the worker, or lost with its machine.
    Lost,
}

impl Job {
    /// Releases the booking of a task that is certain not to run any more, and updates the job
    /// by the outcome of the task. Returns false if there is no such booking.
    pub fn release(
        &mut self,
        machine: &str,
        attempt: u64,
        task: u32,
        outcome: TaskOutcome,
    ) -> bool {
        if !self.remove_booking(machine, attempt, task) {
            return false;
        }
        if self.is_open() {
            self.apply_outcome(task, outcome);
            if outcome == TaskOutcome::Failed {
                self.record_failure(machine, attempt);
            }
            if self.all_tasks_done() {
                self.status = JobStatus::Done;
            }
        }
        self.trim_finished();
        true
    }

    /// Removes the booking of a task. Returns false if there is none.
    fn remove_booking(&mut self, machine: &str, attempt: u64, task: u32) -> bool {
        let mut runs = self.runs.iter();
        let Some(index) = runs.position(|run| run.has_task(machine, attempt, task)) else {
            return false;
        };
        let tasks = &mut self.runs[index].tasks;
        tasks.remove(task);
        if tasks.is_empty() {
            self.runs.remove(index);
        }
        true
    }

    /// Updates the job by the outcome of a task. A task that did not complete is retried; if
    /// it belongs to a gang, the whole gang is.
    fn apply_outcome(&mut self, task: u32, outcome: TaskOutcome) {
        match (outcome, self.is_gang()) {
            // The tasks of a gang complete together, so the gang is done once one task is.
            (TaskOutcome::Done, true) => self.status = JobStatus::Done,
            (TaskOutcome::Done, false) => self.record_success(),
            (_, true) => {
                // The attempt cannot continue without this task: all others must stop.
                self.stop_all_runs();
                self.next_task = 0;
            }
            (_, false) => self.retry.insert(task),
        }
    }

    /// Returns whether a job that is not a gang has neither booked nor waiting tasks. Returns
    /// false for a gang, as `apply_outcome` has already set its status.
    fn all_tasks_done(&self) -> bool {
        !self.is_gang()
            && self.next_task == self.tasks
            && self.retry.is_empty()
            && self.runs.is_empty()
    }

    /// Returns whether the job is a gang.
    fn is_gang(&self) -> bool {
        self.spec.as_ref().is_some_and(JobSpec::is_gang)
    }
}
