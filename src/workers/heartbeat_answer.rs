//! The answers to heartbeats, and their HTTP responses.

use crate::http::Response;
use crate::wire::{HeartbeatResponse, Redirect, WorkerCommand};

/// Delay before the next heartbeat of a worker that is refused, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The answer to a heartbeat.
#[derive(Debug)]
pub(super) enum HeartbeatAnswer {
    /// The worker executes the commands. It also renews its lease, unless the fencing token
    /// is lower than the highest one that it has seen.
    Commands {
        fencing_token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// The worker sends its heartbeats to the given controller from now on, or to any other
    /// one if none is given.
    Redirect(Option<String>),
    /// The heartbeat is refused, and the worker tries the next controller.
    Unavailable {
        reason: &'static str,
        retry_after_s: u32,
    },
}

impl HeartbeatAnswer {
    pub(super) fn without_commands(fencing_token: u64) -> Self {
        HeartbeatAnswer::Commands {
            fencing_token,
            commands: Vec::new(),
        }
    }

    pub(super) fn unavailable(reason: &'static str) -> Self {
        HeartbeatAnswer::Unavailable {
            reason,
            retry_after_s: RETRY_AFTER_S,
        }
    }
}

impl From<HeartbeatAnswer> for Response {
    fn from(answer: HeartbeatAnswer) -> Self {
        match answer {
            HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            } => Response::json(
                200,
                &HeartbeatResponse {
                    fencing_token,
                    commands,
                },
            ),
            HeartbeatAnswer::Redirect(owner) => Response::json(421, &Redirect { owner }),
            HeartbeatAnswer::Unavailable {
                reason,
                retry_after_s,
            } => Response::unavailable(reason, retry_after_s),
        }
    }
}
