//! A timer for tasks that run at intervals.

use std::time::Duration;

use tokio::time::Instant;

/// A timer that records the last run of a periodic task.
#[derive(Debug, Default)]
pub(super) struct IntervalTimer {
    /// The time of the last run; `None` if the task is due.
    last_run_at: Option<Instant>,
}

impl IntervalTimer {
    /// Returns whether the task has not run yet or last ran longer than `interval` ago.
    #[must_use]
    pub(super) fn is_due(&self, interval: Duration) -> bool {
        self.last_run_at
            .is_none_or(|last| last.elapsed() > interval)
    }

    /// Records that the task has run now.
    pub(super) fn restart(&mut self) {
        self.last_run_at = Some(Instant::now());
    }

    /// Makes the task due immediately.
    pub(super) fn reset(&mut self) {
        self.last_run_at = None;
    }
}
