//! Exponential backoff for offers that the cloud does not deliver.

use std::time::Duration;

use tokio::time::Instant;

/// An offer that is not asked for until a time, and how often in a row it has
/// failed or been refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    until: Instant,
    failures: u32,
}

impl Backoff {
    /// No failure yet: nothing is held off.
    pub(super) fn none(now: Instant) -> Self {
        Backoff {
            until: now,
            failures: 0,
        }
    }

    /// Whether the offer is still held off.
    #[must_use]
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.until > now
    }

    /// Holds off after one more failure: `pause` is doubled with each failure in
    /// a row, at most `max_doublings` times.
    pub(super) fn extend(&mut self, pause: Duration, max_doublings: u32, now: Instant) {
        self.until = now + pause * 2u32.pow(self.failures.min(max_doublings));
        self.failures += 1;
    }
}
