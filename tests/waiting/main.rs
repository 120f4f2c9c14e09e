//! Tests that no job waits for 90 s beside a machine that fits it and has room.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod jobs;
mod room;
mod setup;
mod soak;
