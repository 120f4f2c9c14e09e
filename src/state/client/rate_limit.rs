//! Whether the state service's lower rate limits are in force, judged by its
//! refusals (429).

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// So many refusals for the rate within the observation window show a lower limit.
const REFUSAL_THRESHOLD: u32 = 3;

/// The observation window, in response timeouts.
const WINDOW_TIMEOUTS: u32 = 2;

/// How long the lower rate is then kept to, in response timeouts: four leases.
const REDUCTION_TIMEOUTS: u32 = 32;

/// The refusals of one observation window.
#[derive(Debug, Clone, Copy, Default)]
struct RefusalWindow {
    started: Option<Instant>,
    count: u32,
}

/// Counts refusals for the rate, and tells whether to keep to the lower rates.
pub(super) struct RateLimitDetector {
    response_timeout: Duration,
    window: Cell<RefusalWindow>,
    /// Until then the lower rates are taken to be in force.
    reduced_until: Cell<Option<Instant>>,
}

impl RateLimitDetector {
    pub(super) fn new(response_timeout: Duration) -> Self {
        RateLimitDetector {
            response_timeout,
            window: Cell::default(),
            reduced_until: Cell::default(),
        }
    }

    /// Whether refusals have shown that the lower rates are in force.
    pub(super) fn is_reduced(&self) -> bool {
        self.reduced_until
            .get()
            .is_some_and(|until| until > Instant::now())
    }

    /// One refusal may come of a burst; several in short order do not.
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

    /// The window with one more refusal; a new one if the last has ended.
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

    /// Where the lower limit was met before, the first refusal shows that it still is.
    fn threshold(&self) -> u32 {
        match self.reduced_until.get() {
            Some(_) => 1,
            None => REFUSAL_THRESHOLD,
        }
    }
}
