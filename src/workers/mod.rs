//! Manages the workers whose machines this controller owns: claims, heartbeats, commands
//! and the terminations of tasks.
//!
//! A controller becomes the owner of a machine by a claim, a commit that reserves a range of
//! fencing tokens for the machine (`token_range`). Only the owner renews the lease of the machine's worker and
//! sends commands to that worker. A worker whose lease expires ends all its tasks and
//! begins a new epoch.
//!
//! The desired state of a machine is its bookings in the replica; the actual state is its
//! newest status, the list of its tasks that the worker sent last. [`reconcile()`] plans the
//! commands that remove the difference. The only other source of commands is
//! [`stops_of_cancelled_tasks()`]. Commands reach the worker in the answer to a heartbeat
//! (`heartbeat`) or in a direct call (`commands`).

mod capacity_plan;
mod claim_plan;
mod claim_queue;
mod claim_request;
mod claims;
mod command_call;
mod command_log;
mod commands;
mod failure_record;
mod fencing;
mod heartbeat;
mod heartbeat_answer;
mod owned_worker;
mod publication;
mod reconcile;
mod redirect_history;
mod redirects;
mod required_stops;
mod surplus;
mod task_on_machine;
mod termination;
mod token_range;
mod worker_plan;
mod worker_table;
mod zone_shards;

pub use claims::run_claims;
pub use command_log::CommandCounts;
pub use commands::run_commands;
pub use failure_record::FailureRecord;
pub use fencing::Fencing;
pub use owned_worker::{OwnedWorker, StopCommand, TaskAttempt, WorkerEpoch};
pub use publication::run_publication;
pub use reconcile::{reconcile, stop_grace_s};
pub use redirects::preferred_owner_of;
pub use required_stops::{must_stop, stops_of_cancelled_tasks};
pub use termination::{
    AttemptKey, Termination, TerminationEvidence, queue_terminations_of_expired_leases,
    queue_terminations_of_gone_machines,
};
pub use token_range::{TOKENS_PER_CLAIM, TokenRange};
pub use worker_plan::WorkerPlan;
pub use worker_table::WorkerTable;
