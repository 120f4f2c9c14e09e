//! The messages of PROTOCOL, one module for each counterpart of a controller.
//!
//! The names on the wire are PROTOCOL's own; the names here are the field's
//! terms. `serde` renames tie them together, and none of them may change.
//!
//! - [`users`]: submissions, and the state of a job.
//! - [`workers`]: heartbeats, and the commands to a worker.
//! - [`cloud`]: machine types, and the creation, listing and deletion of machines.
//! - [`state_service`]: records, transactions, watches and state leases.

pub mod cloud;
pub mod state_service;
pub mod users;
pub mod workers;

pub use cloud::*;
pub use state_service::*;
pub use users::*;
pub use workers::*;
