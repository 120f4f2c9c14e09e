//! The plan that results from the reconciliation of one worker.

use std::time::Duration;

use super::termination::Termination;
use crate::wire::{CommandAction, WorkerCommand};

/// The commands to send to a worker, and the terminations to record.
#[derive(Debug, Default, PartialEq)]
pub struct WorkerPlan {
    /// Commands for the worker, in the order in which it executes them.
    pub commands: Vec<WorkerCommand>,
    /// Terminations of attempts that have ended.
    pub terminations: Vec<Termination>,
}

/// Returns whether any of the commands launches a task.
pub(super) fn includes_launch(commands: &[WorkerCommand]) -> bool {
    commands.iter().any(|c| c.action == CommandAction::Start)
}

impl WorkerPlan {
    /// Returns whether any of the commands launches a task.
    pub fn launches(&self) -> bool {
        includes_launch(&self.commands)
    }

    /// Removes the launches if the replica is older than `limit`, and returns whether there
    /// were any. A booking in an older replica may have been cancelled through another
    /// controller since. Removed launches are planned again after a read barrier.
    #[must_use]
    pub fn defer_launches(&mut self, replica_staleness: Option<Duration>, limit: Duration) -> bool {
        let is_recent = replica_staleness.is_some_and(|age| age < limit);
        if is_recent || !self.launches() {
            return false;
        }
        self.commands.retain(|c| c.action != CommandAction::Start);
        true
    }

    /// Adds a command for an attempt of a task.
    pub(super) fn push_command(
        &mut self,
        action: CommandAction,
        task: &str,
        attempt: u64,
        grace_s: Option<f64>,
    ) {
        self.commands.push(WorkerCommand {
            action,
            task: task.to_string(),
            attempt,
            grace_s,
        });
    }
}
