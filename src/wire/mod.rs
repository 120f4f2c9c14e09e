//! Messages of PROTOCOL, with one module for each peer of a controller. PROTOCOL is the
//! external document that specifies the messages between a controller and its peers.
//!
//! The Rust names are the usual terms of cluster scheduling. `serde` renames map them to
//! the names that PROTOCOL defines, which must not change. Where the two differ, the comment
//! of a field or variant gives its name in PROTOCOL.
//!
//! - [`users`]: submissions and job states.
//! - [`workers`]: heartbeats of workers, and commands to them.
//! - [`cloud`]: machine types, and the creation, listing and deletion of machines.
//! - [`state_service`]: records, transactions, watches and state leases.

pub mod cloud;
mod message_size;
pub mod state_service;
pub mod users;
pub mod workers;

pub use cloud::*;
pub use message_size::{MAX_TASKS_PER_MESSAGE, MESSAGE_HEAD_BYTES, TASK_ENTRY_BYTES};
pub use state_service::*;
pub use users::*;
pub use workers::*;
