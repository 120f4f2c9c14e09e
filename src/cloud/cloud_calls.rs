//! Tracks the calls to the cloud: its rate limit, the pauses after an overload, and the
//! provisioning calls in progress.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::budget::TokenBucket;

/// The fraction of the cloud's rate limit that is used.
const RATE_LIMIT_SHARE: f64 = 0.9;

/// The state of one controller's calls to the cloud.
#[derive(Default)]
pub(super) struct CloudCalls {
    /// The time until which the cloud is not called.
    paused_until: Option<Instant>,
    /// The rate limit of calls, absent until the first call.
    rate_limit: Option<TokenBucket>,
    /// The provisioning requests whose call is in progress.
    in_progress: HashSet<String>,
}

impl CloudCalls {
    /// Returns whether calls are paused because the cloud was overloaded.
    #[must_use]
    pub(super) fn is_paused(&self) -> bool {
        self.paused_until
            .is_some_and(|until| until > Instant::now())
    }

    /// Pauses all calls to the cloud for a time.
    pub(super) fn pause(&mut self, pause: Duration) {
        self.paused_until = Some(Instant::now() + pause);
    }

    /// Takes one call from the cloud's rate limit of `max_rps` calls per second, or returns
    /// the time to wait before the next attempt.
    pub(super) fn try_acquire(&mut self, max_rps: f64, now: Instant) -> Result<(), Duration> {
        let rate_limit = self
            .rate_limit
            .get_or_insert_with(|| TokenBucket::new(max_rps * RATE_LIMIT_SHARE, max_rps, now));
        rate_limit.take_one(now)
    }

    /// Records that the call for a provisioning request begins, and returns false if one is
    /// already in progress.
    #[must_use]
    pub(super) fn begin(&mut self, request: &str) -> bool {
        self.in_progress.insert(request.to_string())
    }

    /// Records that the call for a provisioning request has ended.
    pub(super) fn end(&mut self, request: &str) {
        self.in_progress.remove(request);
    }

    /// Returns whether the call for any provisioning request is in progress.
    #[must_use]
    pub(super) fn is_any_in_progress(&self) -> bool {
        !self.in_progress.is_empty()
    }
}
