//! When something that is done at intervals was last done.

use std::time::Duration;

use tokio::time::Instant;

/// The time of the last run of something that is done at intervals.
#[derive(Debug, Default)]
pub(super) struct IntervalTimer {
    last: Option<Instant>,
}

impl IntervalTimer {
    /// Whether it has not run yet, or longer ago than `interval`.
    #[must_use]
    pub(super) fn is_due(&self, interval: Duration) -> bool {
        self.last.is_none_or(|last| last.elapsed() > interval)
    }

    /// Starts the next interval now.
    pub(super) fn restart(&mut self) {
        self.last = Some(Instant::now());
    }

    /// Makes the next run due at once.
    pub(super) fn reset(&mut self) {
        self.last = None;
    }
}
