//! Shares of teams' limits: controllers admit within them, and they move while jobs run.

mod checker;
mod moves;
mod setup;

#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
