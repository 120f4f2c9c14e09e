//! shelfhoist: a small cluster scheduler.
//!
//! Controllers keep all state in a key-value service. A controller books all tasks of a
//! gang in one conditional write. A gang that requires one zone waits until a zone has
//! capacity for all its tasks; a gang that merely prefers one zone may be spread over several.
//! Controllers receive the heartbeats of workers and send them the commands that start and
//! stop tasks. `docs/design.md` names the published designs that this scheduler is based on.

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
