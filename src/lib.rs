//! shelfhoist: a small cluster scheduler.
//!
//! Controllers keep all their state in a key-value service, admit gangs whole
//! by zone with one conditional write, and drive the workers that report to
//! them. `docs/design.md` says what rests on which published design.

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
