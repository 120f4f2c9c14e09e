//! The replica under random histories: commits of this and of other controllers, answers that
//! arrive late and in any order, watches, and full reads whose pages differ in revision.
//!
//! Checks that the replica always equals the state at its revision with the answered commits of
//! this controller above that revision, in the records and in the indexes beside them.

use crate::history::History;

/// Number of random histories.
const HISTORIES: u64 = 120;

/// Number of random steps in each history.
const STEPS: usize = 120;

/// Guards against records, bookings and machines that appear again, or disappear, because of a
/// page, an event or an answer that is older than what the replica already contains.
#[test]
fn replica_never_goes_back_behind_what_it_contains() {
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        for step in 0..STEPS {
            let action = history.step();
            let problems = history.differences();
            assert!(
                problems.is_empty(),
                "seed {seed}, step {step}, after {action:?}: {problems:#?}"
            );
        }
    }
}
