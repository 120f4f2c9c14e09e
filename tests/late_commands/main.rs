//! Late copies of start commands: the network delivers a direct call once more after its worker
//! has executed and answered it. No copy may start anything, however late it arrives.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod copies;
mod setup;
mod tokens;
mod unreadable_answers;
