//! How a heartbeat is answered.

use crate::http::Response;
use crate::wire::{HeartbeatResponse, Redirect, WorkerCommand};

/// How long a worker is to wait before it sends another heartbeat, in seconds.
const RETRY_S: u32 = 1;

/// How a heartbeat is answered.
#[derive(Debug)]
pub(super) enum HeartbeatAnswer {
    /// The worker executes the commands, and its lease is renewed if the fencing token
    /// is not below the one that it has shown.
    Commands {
        fencing_token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// The worker is to send its heartbeats to this controller, or else to any other.
    Redirect(Option<String>),
    /// The worker is to try the next controller.
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
            retry_after_s: RETRY_S,
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
