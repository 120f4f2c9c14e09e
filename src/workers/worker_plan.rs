//! The plan that results from the reconciliation of one worker.

use std::collections::HashSet;
use std::time::Duration;

use super::owned_worker::TaskAttempt;
use super::termination::Termination;
use crate::wire::{CommandAction, MAX_TASKS_PER_MESSAGE, WorkerCommand};

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

    /// Returns the number of commands with this action.
    pub(super) fn count(&self, action: CommandAction) -> usize {
        let commands = self.commands.iter();
        commands.filter(|c| c.action == action).count()
    }

    /// Removes all commands with this action but the first `limit`. Those that are removed are
    /// planned again after the next status.
    pub(super) fn limit(&mut self, action: CommandAction, limit: usize) {
        let mut count = 0;
        self.commands.retain(|command| {
            count += usize::from(command.action == action);
            command.action != action || count <= limit
        });
    }

    /// Puts these stops before all other commands, in place of planned stops of the same
    /// tasks.
    pub(super) fn require_stops(&mut self, mut stops: Vec<WorkerCommand>) {
        let required: HashSet<TaskAttempt> = stops.iter().map(TaskAttempt::from).collect();
        self.commands.retain(|command| {
            command.action != CommandAction::Stop || !required.contains(&TaskAttempt::from(command))
        });
        stops.append(&mut self.commands);
        self.commands = stops;
    }

    /// Puts the commands into the order in which a worker has to execute them, and removes the
    /// last ones if one message cannot contain all. Those that are removed are planned again.
    ///
    /// Stops come first, as the promise to users depends on them, and forgets come before
    /// launches, as they make space in the worker's list of tasks.
    pub fn fit_message(&mut self) {
        self.commands.sort_by_key(|command| match command.action {
            CommandAction::Stop => 0,
            CommandAction::Forget => 1,
            CommandAction::Start => 2,
        });
        self.commands.truncate(MAX_TASKS_PER_MESSAGE);
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
