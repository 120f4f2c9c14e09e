//! The whole service against stand-ins for the state service, the cloud and the
//! workers, in simulated time.

#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod heartbeats;
mod jobs;
mod machines;
mod partitions;
mod state_service;
