//! Shares of teams' limits: controllers admit within them, and they move while jobs run.

mod checker;
mod checks;
mod churn;
mod loopback;
mod measurements;
mod moves;
mod on_and_off;
mod operators;
mod program;
mod setup;

// Each target of tests uses a part of them.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
