//! Large fleets against stand-ins, in simulated time: the largest that operators
//! have named and half as many machines again, and 4,000 machines in every layout.

#[path = "../stand_ins/mod.rs"]
// Each file of tests uses a part of them.
#[allow(dead_code)]
mod stand_ins;

mod deployments;
mod four_thousand;
mod mass_failures;
