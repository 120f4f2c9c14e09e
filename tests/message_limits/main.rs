//! Tests that all work completes within the size limits of messages. The machines have
//! resources for more tasks than their workers can list in one heartbeat.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod full_machines;
mod lines;
mod overfull_machines;
mod setup;
mod sizes;
mod soak;
