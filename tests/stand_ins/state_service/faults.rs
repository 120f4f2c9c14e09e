//! The faults that a test injects into the state service.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use super::State;

/// Troubles of the state service that last until they are taken back.
#[derive(Debug, Clone, Default)]
pub struct StateTroubles {
    /// Controllers that are refused while others are served.
    pub refused: BTreeSet<usize>,
    /// The share of commits that are carried out 2 to 12 s later, unanswered.
    pub late: f64,
    /// The share that is carried out at once, unanswered.
    pub unanswered: f64,
    /// Every answer takes up to this long, in part before and in part after the
    /// request is carried out.
    pub slow: Duration,
    /// Only these are answered slowly, if there are any: each answer to them is
    /// under way for the whole of it, as old as that when it comes.
    pub slow_to: BTreeSet<usize>,
}

/// What the state service is to do with the commits that come next.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Trouble {
    #[default]
    None,
    /// Carried out, but the answer is lost.
    LoseAnswers,
    /// Carried out some seconds later, and no answer.
    Late,
    /// Refused, as in an outage.
    Down,
    /// Reads are served, commits refused.
    NoCommits,
    /// Watches bring more than a controller reads of one answer.
    FatWatch,
}

impl State {
    /// How long before and after it is carried out a request is held up.
    pub(super) fn delays(&self, i: usize) -> (Duration, Duration) {
        let troubles = self.troubles.borrow();
        if troubles.slow.is_zero()
            || !(troubles.slow_to.is_empty() || troubles.slow_to.contains(&i))
        {
            return (Duration::ZERO, Duration::ZERO);
        }
        if !troubles.slow_to.is_empty() {
            return (Duration::ZERO, troubles.slow);
        }
        let mut rng = self.rng.borrow_mut();
        let whole = troubles.slow.mul_f64(rng.random_range(0.0..1.0));
        let before = whole.mul_f64(rng.random_range(0.0..1.0));
        (before, whole - before)
    }
}
