//! Tests of shares of teams' limits. A share is the part of a team's limit that one controller
//! may have booked for the team. A move transfers capacity from the share of one controller to
//! that of another while jobs run.

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
