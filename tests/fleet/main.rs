//! Tests of large fleets against stand-ins, in simulated time: fleets that are half as large
//! again as the largest that operators have described, and 4,000 machines in several layouts.

#[path = "../stand_ins/mod.rs"]
// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
mod stand_ins;

mod deployments;
mod four_thousand;
mod mass_failures;
