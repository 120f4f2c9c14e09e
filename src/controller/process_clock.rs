//! Detection of pauses in which this process did not run, and measurement of the delay with
//! which its timers fire.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Controller;

/// The time at which this process last ran, and the delay of its timers.
#[derive(Debug)]
pub(super) struct ProcessClock {
    /// The time at which this process was last seen running.
    last_ran: Cell<Instant>,
    /// The moving average of the delay of the process's timers. The average grows when the
    /// process has more work than it gets processor time for.
    timer_lag: Cell<Duration>,
}

impl ProcessClock {
    pub(super) fn new(now: Instant) -> Self {
        ProcessClock {
            last_ran: Cell::new(now),
            timer_lag: Cell::default(),
        }
    }

    /// Returns the time since the previous call, during which the process may not have run.
    fn take_time_since_last_run(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_ran.replace(now))
    }

    /// Adds the delay of one timer to the moving average, with a weight of one quarter.
    ///
    /// Timers fire in steps of a few milliseconds, so a single delay can be too large by
    /// that much without any load. Averaging evens this out. The weight is large enough for
    /// the average to depend on the last few delays only, and so to follow changes of the
    /// load.
    fn record_delay(&self, delay: Duration) {
        self.timer_lag.set((self.timer_lag.get() * 3 + delay) / 4);
    }
}

impl Controller {
    /// Returns the current time, after excluding pauses of this process from all measured
    /// periods of silence.
    ///
    /// A controller that was paused, for whatever reason, finds its timers expired and its
    /// workers' heartbeats unread when it resumes. If it counted the pause as silence of
    /// the workers, it would terminate the work of hundreds of healthy machines. Every
    /// decision that is based on silence must therefore take the time from this method.
    pub fn now_excluding_pauses(&self) -> Instant {
        let now = Instant::now();
        let pause = self.process_clock.take_time_since_last_run(now);
        if pause > self.settings.worker_lease() / 8 {
            tracing::info!(pause_s = pause.as_secs_f64(), "process paused");
            self.workers.exclude_pause(pause, now);
            self.fleet.borrow_mut().exclude_pause(pause, now);
        }
        now
    }

    /// Detects pauses and overload of this process, at short intervals.
    pub async fn run_pause_detection(self: Rc<Self>) {
        let tick = self.settings.worker_lease() / 32;
        // A long pause of the process is not load, so this bounds its effect on the
        // average.
        let max_delay = self.settings.heartbeat_interval() / 2;
        loop {
            let now = self.now_excluding_pauses();
            sleep(tick).await;
            let delay = now.elapsed().saturating_sub(tick);
            self.process_clock.record_delay(delay.min(max_delay));
            let lease = self.settings.worker_lease();
            self.admissions.prune_answers(lease);
        }
    }

    /// Returns the moving average of the delay with which this process's timers fire.
    pub fn timer_lag(&self) -> Duration {
        self.process_clock.timer_lag.get()
    }
}

/// Shifts an earlier time forward by a pause, up to `now` at most. The pause then does not
/// count when the time since is computed.
pub fn shifted_past_pause(at: Instant, pause: Duration, now: Instant) -> Instant {
    at.checked_add(pause)
        .map_or(now, |shifted| shifted.min(now))
}
