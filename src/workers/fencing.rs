//! The fencing token of a worker, and the commands that need a new one, so that no late copy of
//! a direct call can start a task.
//!
//! The network may deliver a direct call once more, long after it was answered. The worker
//! executes the copy if the call's token and epoch are still the present ones. The copy of a
//! launch has no effect as long as the worker lists the attempt. A worker drops an attempt from
//! its list when it is told to forget it, or when it starts another attempt of the same task.
//! Such a command is therefore sent with a higher token than the launch of the dropped attempt:
//! the worker executes it and adopts the token in one step, and refuses copies from then on.
//! Answers to heartbeats need no such protection, as a worker never executes them late.

use std::collections::HashMap;

use super::token_range::TokenRange;
use crate::state::records::Machine;
use crate::wire::{CommandAction, WorkerCommand};

/// The effect that commands have on the fencing token with which they are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TokenChange {
    /// The commands are sent with the present token.
    Unchanged,
    /// The token was incremented for the commands.
    Raised,
    /// Commands were removed, as the claim has no further token.
    Exhausted,
}

/// The fencing tokens of a worker's machine under one claim.
#[derive(Debug)]
pub struct Fencing {
    range: TokenRange,
    present: u64,
    /// Attempts, by task, whose launch was sent in a direct call with the present token. A
    /// launch of another attempt of the same task needs a new token, so there is at most one.
    call_launches: HashMap<String, u64>,
}

impl Fencing {
    /// Creates the state after a claim that has reserved these tokens.
    pub fn new(range: TokenRange) -> Self {
        Fencing {
            range,
            present: range.first(),
            call_launches: HashMap::new(),
        }
    }

    /// Returns the present token, which every message to the worker carries.
    pub fn token(&self) -> u64 {
        self.present
    }

    /// Returns the tokens that the claim has reserved.
    pub fn range(&self) -> TokenRange {
        self.range
    }

    /// Returns whether the machine's record contains the claim.
    pub fn is_recorded_in(&self, machine: &Machine) -> bool {
        machine.fencing_token == self.range.last()
    }

    /// Returns whether the machine should be claimed again to reserve further tokens.
    pub(super) fn needs_tokens(&self) -> bool {
        self.range.is_nearly_exhausted(self.present)
    }

    /// Increments the token if late copies of direct calls could start tasks once the worker has
    /// executed the commands. If the claim has no further token, the commands that need one are
    /// removed; they are planned again under the next claim.
    pub(super) fn raise_for(&mut self, commands: &mut Vec<WorkerCommand>) -> TokenChange {
        if !commands.iter().any(|command| self.needs_new_token(command)) {
            return TokenChange::Unchanged;
        }
        let Some(token) = self.range.next(self.present) else {
            commands.retain(|command| !self.needs_new_token(command));
            return TokenChange::Exhausted;
        };
        self.adopt(token);
        TokenChange::Raised
    }

    /// Makes a higher token the present one. Copies of all earlier calls are refused under it.
    pub(super) fn adopt(&mut self, token: u64) {
        self.present = token;
        self.call_launches.clear();
    }

    /// Records the launches in a direct call that is about to be sent.
    pub(super) fn record_call(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            if command.action == CommandAction::Start {
                self.call_launches
                    .insert(command.task.clone(), command.attempt);
            }
        }
    }

    /// Returns whether a copy of an earlier direct call could start a task once the worker has
    /// executed this command with the present token.
    fn needs_new_token(&self, command: &WorkerCommand) -> bool {
        let launched = self.call_launches.get(&command.task);
        match command.action {
            CommandAction::Forget => launched == Some(&command.attempt),
            CommandAction::Start => launched.is_some_and(|attempt| *attempt != command.attempt),
            CommandAction::Stop => false,
        }
    }
}
