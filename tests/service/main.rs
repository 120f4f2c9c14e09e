//! Tests of the whole service in simulated time, with stand-ins for the state service, the cloud
//! and the workers.

#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod departed_machines;
mod full_reads;
mod heartbeats;
mod jobs;
mod machines;
mod partitions;
mod state_service;
