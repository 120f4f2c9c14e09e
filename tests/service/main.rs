//! The whole service against stand-ins, in simulated time.

#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod jobs;
mod machines;
mod reports;
mod silence;
mod state_service;
