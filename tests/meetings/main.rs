//! Two or more faults at a time, against stand-ins that check every answer and every
//! task against the rules of the protocol, in simulated time.

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
