//! shelfhoist: a small cluster scheduler.
//!
//! Controllers keep all state in a key-value service. They place all tasks of a gang, zone
//! by zone, in one conditional write, and control the workers that send heartbeats to
//! them. `docs/design.md` names the published designs that this scheduler is based on.

#![warn(missing_docs, unreachable_pub, clippy::expect_used)]

pub mod accounting;
pub mod api;
pub mod cli;
pub mod cloud;
pub mod compaction;
pub mod controller;
pub mod daemon;
pub mod dependencies;
pub mod gossip;
mod hash;
pub mod http;
pub mod introspection;
pub mod net;
pub mod policy;
pub mod scheduler;
pub mod settings;
pub mod state;
pub mod wire;
pub mod workers;
