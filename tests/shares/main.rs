//! Tests of shares of teams' limits: controllers book within their shares, and capacity moves
//! between shares while jobs run.

mod checker;
mod checker_tests;
mod churn;
mod enabling;
mod loopback;
mod measurements;
mod moves;
mod operators;
mod program;
mod setup;

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
