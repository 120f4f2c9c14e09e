//! The workers whose machines this controller holds: claims, heartbeats, orders
//! and the ends of tasks.
//!
//! The wanted state of a machine is its bookings in the replica, the actual state its
//! newest report. [`reconcile`] works out the difference, and nothing else
//! decides what a worker is told. What it decides reaches the worker in the answer
//! to a heartbeat (`heartbeat`) or in a direct call (`commands`).

mod claims;
mod commands;
mod heartbeat;
mod owned_worker;
mod publication;
mod reconcile;
mod routing;
mod termination;
mod worker_table;
mod zone_shards;

pub use claims::{Claim, run_claims};
pub use commands::run_commands;
pub use owned_worker::OwnedWorker;
pub use publication::run_publication;
pub use reconcile::{WorkerPlan, must_stop, reconcile, stop_grace_s, stops_of_cancelled_tasks};
pub use routing::preferred_owner_of;
pub use termination::{AttemptKey, TerminationEvidence, release_gone, release_silent};
pub use worker_table::WorkerTable;
