//! The result of reconciling one worker.

use std::time::Duration;

use super::termination::Termination;
use crate::wire::{CommandAction, WorkerCommand};

/// What a worker is to be told, and which bookings are to be released.
#[derive(Debug, Default, PartialEq)]
pub struct WorkerPlan {
    /// Commands for the worker, to be executed in this order.
    pub commands: Vec<WorkerCommand>,
    /// Attempts that have ended, with their outcome.
    pub terminations: Vec<Termination>,
}

/// Whether any of the commands starts a task.
pub(super) fn includes_launch(commands: &[WorkerCommand]) -> bool {
    commands.iter().any(|c| c.action == CommandAction::Start)
}

impl WorkerPlan {
    /// Whether any of the commands starts a task.
    pub fn launches(&self) -> bool {
        includes_launch(&self.commands)
    }

    /// Takes the launches out unless the replica is recent enough for them: what an
    /// older replica shows as booked may have been cancelled at another controller since.
    /// True if any were taken out; they are planned again after a read barrier.
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
    pub(super) fn command(
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
