//! Meetings of troubles: two or more at once, against stand-ins that hold every
//! answer and every task against the rules, in simulated time.

// Each target of tests uses a part of them.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod any_two;
mod controllers_away;
mod leader_changes;
mod leader_refused;
mod load;
mod requests;
mod scenario;
