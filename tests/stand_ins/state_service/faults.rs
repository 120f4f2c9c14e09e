//! The faults that a test injects into the state service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::StateService;

/// Faults of the state service that affect some controllers, or requests at random. A fault
/// lasts until the test resets it.
#[derive(Debug, Clone, Default)]
pub struct StateFaultOptions {
    /// Indexes of the controllers whose requests are refused.
    pub refused_controllers: BTreeSet<usize>,
    /// Probability with which a commit is applied 2 to 12 s later and gets no response.
    pub late_commit_fraction: f64,
    /// Probability with which a commit is applied immediately and gets no response.
    pub unanswered_commit_fraction: f64,
    /// Maximum delay of a response. A random part of the delay precedes the execution of the
    /// request, the rest follows it.
    pub response_delay: Duration,
    /// Indexes of the controllers whose responses are delayed. Each response is delayed by
    /// exactly `response_delay` after the request is executed, so its content is outdated by
    /// that time when it arrives. If the set is empty, the responses to all controllers are
    /// delayed by random times.
    pub delayed_controllers: BTreeSet<usize>,
    /// Time by which each page of a read is outdated when it arrives, by the index of the
    /// controller that reads. Commits and watches are not delayed, so they overtake the page.
    pub page_delays: BTreeMap<usize, Duration>,
}

/// Fault mode of the state service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StateFault {
    #[default]
    None,
    /// The next commits are applied, but their responses are lost.
    LostResponses,
    /// The next commits are applied 3 s later and get no response.
    LateCommits,
    /// All requests are refused.
    Outage,
    /// Commits are refused, but reads are served.
    CommitsRefused,
    /// Watch responses with events are larger than a controller accepts.
    OversizedWatchResponses,
}

impl StateService {
    /// Returns the time between the execution of a controller's read of a page and the
    /// response.
    pub(super) fn page_delay(&self, i: usize) -> Duration {
        let troubles = self.fault_options.borrow();
        troubles.page_delays.get(&i).copied().unwrap_or_default()
    }

    /// Returns the delays before and after the execution of a request.
    pub(super) fn delays(&self, i: usize) -> (Duration, Duration) {
        let troubles = self.fault_options.borrow();
        if troubles.response_delay.is_zero()
            || !(troubles.delayed_controllers.is_empty()
                || troubles.delayed_controllers.contains(&i))
        {
            return (Duration::ZERO, Duration::ZERO);
        }
        if !troubles.delayed_controllers.is_empty() {
            return (Duration::ZERO, troubles.response_delay);
        }
        let mut rng = self.rng.borrow_mut();
        let total = troubles.response_delay.mul_f64(rng.random_range(0.0..1.0));
        let before = total.mul_f64(rng.random_range(0.0..1.0));
        (before, total - before)
    }
}
