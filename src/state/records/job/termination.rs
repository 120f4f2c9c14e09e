//! The end of a task on its machine, and what it means for the job.

use super::{Job, JobStatus};
use crate::state::records::Spec;

/// How a task's time on a machine came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// It is complete.
    Done,
    /// It failed by itself: counts towards the back-off.
    Failed,
    /// Stopped, refused, or lost with its machine.
    Lost,
}

impl Job {
    /// Releases a booking whose task is surely gone. False when there was none.
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

    fn apply_outcome(&mut self, task: u32, outcome: TaskOutcome) {
        match (outcome, self.is_gang()) {
            // A gang completes together: one done task proves all.
            (TaskOutcome::Done, true) => self.status = JobStatus::Done,
            (TaskOutcome::Done, false) => self.record_success(),
            (_, true) => {
                // One member lost breaks the attempt: all must go.
                self.stop_all_runs();
                self.next_task = 0;
            }
            (_, false) => self.retry.insert(task),
        }
    }

    /// Whether no task of the job is left, booked or waiting; of a gang its first done
    /// task tells.
    fn all_tasks_done(&self) -> bool {
        !self.is_gang()
            && self.next_task == self.tasks
            && self.retry.is_empty()
            && self.runs.is_empty()
    }

    fn is_gang(&self) -> bool {
        self.spec.as_ref().is_some_and(Spec::is_gang)
    }
}
