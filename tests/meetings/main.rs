//! Tests of two or more simultaneous faults, in simulated time. Stand-ins take the place of the
//! state service, the cloud, the workers and the users, and check every answer and every task
//! against the rules of the protocol.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod controllers_down;
mod fault_pairs;
mod leader_changes;
mod leader_refused;
mod load;
mod requests;
mod scenario;
