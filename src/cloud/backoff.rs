//! Exponential backoff for offers that the cloud does not deliver.

use std::time::Duration;

use tokio::time::Instant;

/// The backoff of an offer: the time until which it is not requested, and the number of
/// consecutive failures or refusals.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    until: Instant,
    failures: u32,
}

impl Backoff {
    /// Returns the backoff of an offer without failures, which is not active.
    pub(super) fn inactive(now: Instant) -> Self {
        Backoff {
            until: now,
            failures: 0,
        }
    }

    /// Returns whether the offer must not be requested yet.
    #[must_use]
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.until > now
    }

    /// Extends the backoff after one more failure. `pause` is doubled for each earlier
    /// consecutive failure, at most `max_doublings` times.
    pub(super) fn extend(&mut self, pause: Duration, max_doublings: u32, now: Instant) {
        self.until = now + pause * 2u32.pow(self.failures.min(max_doublings));
        self.failures += 1;
    }
}
