//! Detects whether the state service already applies the lower rate limits that the settings
//! announce. The limits change without notice, so the detection relies on refusals with
//! status 429.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Number of refusals within the observation window from which on the lower limits are
/// assumed to be in force.
const REFUSAL_THRESHOLD: u32 = 3;

/// Length of the observation window, in response timeouts.
const WINDOW_TIMEOUTS: u32 = 2;

/// Time, in response timeouts, for which the controller keeps to the lower rates after the last
/// refusal that indicated them. This is four times a worker's lease (`lease_s`), unless the
/// response timeout is clamped to its minimum or maximum.
const REDUCTION_TIMEOUTS: u32 = 32;

/// Observation window, in which refusals are counted.
#[derive(Debug, Clone, Copy, Default)]
struct RefusalWindow {
    started: Option<Instant>,
    count: u32,
}

/// Detector of the lower rate limits, which counts the refusals with status 429.
pub(super) struct RateLimitDetector {
    response_timeout: Duration,
    window: Cell<RefusalWindow>,
    /// Time until which the lower rates are assumed to be in force.
    reduced_until: Cell<Option<Instant>>,
}

impl RateLimitDetector {
    /// Creates a detector that has recorded no refusal.
    pub(super) fn new(response_timeout: Duration) -> Self {
        RateLimitDetector {
            response_timeout,
            window: Cell::default(),
            reduced_until: Cell::default(),
        }
    }

    /// Returns whether the lower rates are assumed to be in force.
    pub(super) fn is_reduced(&self) -> bool {
        self.reduced_until
            .get()
            .is_some_and(|until| until > Instant::now())
    }

    /// Records a refusal. A single refusal may be caused by a burst of requests. Only several
    /// refusals within one window indicate that the lower limits are in force.
    pub(super) fn record_refusal(&self, now: Instant) {
        let window = self.extended_window(now);
        if window.count < self.threshold() {
            self.window.set(window);
            return;
        }
        self.window.set(RefusalWindow::default());
        if !self.is_reduced() {
            tracing::info!("state service refuses repeatedly: lower rate limit in force");
        }
        let span = self.response_timeout * REDUCTION_TIMEOUTS;
        self.reduced_until.set(Some(now + span));
    }

    /// Returns the current window with one more refusal, or a new window if the current one
    /// has ended.
    fn extended_window(&self, now: Instant) -> RefusalWindow {
        let window = self.window.get();
        let length = self.response_timeout * WINDOW_TIMEOUTS;
        match window.started {
            Some(started) if now.saturating_duration_since(started) < length => RefusalWindow {
                count: window.count + 1,
                ..window
            },
            _ => RefusalWindow {
                started: Some(now),
                count: 1,
            },
        }
    }

    /// Returns the number of refusals that indicates the lower limits. Once they have been
    /// detected, a single further refusal indicates that they are still in force, even after
    /// the end of `reduced_until`.
    fn threshold(&self) -> u32 {
        match self.reduced_until.get() {
            Some(_) => 1,
            None => REFUSAL_THRESHOLD,
        }
    }
}
