//! The answers to heartbeats, and their HTTP responses.

use crate::http::Response;
use crate::wire::{HeartbeatResponse, Redirect, WorkerCommand};

/// Delay before the next heartbeat of a worker that is refused, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The answer to a heartbeat.
#[derive(Debug)]
pub(super) enum HeartbeatAnswer {
    /// Commands that the worker executes. Its lease is renewed if the fencing token is not
    /// lower than the highest one that the worker has seen.
    Commands {
        fencing_token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// A redirect of the worker's heartbeats to the named controller, or to any other if
    /// none is named.
    Redirect(Option<String>),
    /// A refusal, after which the worker tries the next controller.
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
