//! Decides which commands need a new fencing token, so that no late copy of a direct call can
//! start a task.
//!
//! The network may deliver a direct call once more, long after it was answered. The worker
//! executes the copy if the call's token and epoch are still the present ones. The copy of a
//! launch has no effect as long as the worker lists the attempt. A worker drops an attempt from
//! its list when it is told to forget it, or when it starts another attempt of the same task.
//! Such a command is therefore sent with a higher token than the launch of the dropped attempt:
//! the worker executes it and adopts the token in one step, and refuses copies from then on.
//! Answers to heartbeats need no such protection, as a worker never executes them late.

use std::collections::HashMap;

use crate::wire::{CommandAction, WorkerCommand};

/// The attempts whose launch was sent in a direct call with the present fencing token.
#[derive(Debug, Default)]
pub struct CallLaunches {
    /// Attempts by task. A launch of another attempt of the same task needs a new token, so
    /// there is at most one with the present token.
    attempts: HashMap<String, u64>,
}

impl CallLaunches {
    /// Returns whether a copy of an earlier direct call could start a task once the worker has
    /// executed this command with the present token.
    pub fn is_exposed_by(&self, command: &WorkerCommand) -> bool {
        let launched = self.attempts.get(&command.task);
        match command.action {
            CommandAction::Forget => launched == Some(&command.attempt),
            CommandAction::Start => launched.is_some_and(|attempt| *attempt != command.attempt),
            CommandAction::Stop => false,
        }
    }

    /// Records the launches in a direct call that is about to be sent.
    pub(super) fn record(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            if command.action == CommandAction::Start {
                self.attempts.insert(command.task.clone(), command.attempt);
            }
        }
    }

    /// Forgets all launches, as a new token makes the worker refuse their copies.
    pub(super) fn clear(&mut self) {
        self.attempts.clear();
    }
}
