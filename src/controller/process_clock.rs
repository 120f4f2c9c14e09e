//! The process's own clock: pauses in which it did not run, and how late its timers
//! fire.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Controller;

/// When this process last ran, and how late its timers fire.
#[derive(Debug)]
pub(super) struct ProcessClock {
    /// When this process last ran, as far as it has noticed.
    last_ran: Cell<Instant>,
    /// The recent mean of how late its timers fire: it grows where the work exceeds
    /// the share of the processor.
    lag: Cell<Duration>,
}

impl ProcessClock {
    pub(super) fn new(now: Instant) -> Self {
        ProcessClock {
            last_ran: Cell::new(now),
            lag: Cell::default(),
        }
    }

    /// How long the process has not run, as far as it has noticed.
    fn take_time_since_last_run(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_ran.replace(now))
    }

    /// Takes one more delay of a timer into the mean. Timers fire in steps of some
    /// milliseconds: a mean of a few.
    fn record_delay(&self, delay: Duration) {
        self.lag.set((self.lag.get() * 3 + delay) / 4);
    }
}

impl Controller {
    /// The time, once what this process did not see of it has been taken out of
    /// all spans of silence. A controller that was paused, for whatever cause,
    /// finds its timers due and its workers' heartbeats unread when it goes on: to
    /// count that as their silence would end the work of hundreds of healthy
    /// machines. Whoever concludes anything from silence begins with this.
    pub fn liveness_tick(&self) -> Instant {
        let now = Instant::now();
        let pause = self.process_clock.take_time_since_last_run(now);
        if pause > self.settings.worker_lease() / 8 {
            tracing::info!(pause_s = pause.as_secs_f64(), "process paused");
            self.workers.exclude_pause(pause, now);
            self.fleet.borrow_mut().exclude_pause(pause, now);
        }
        now
    }

    /// Notices soon when this process was paused, or falls behind.
    pub async fn run_pause_detection(self: Rc<Self>) {
        let tick = self.settings.worker_lease() / 32;
        // One long pause is not load.
        let max_delay = self.settings.heartbeat_interval() / 2;
        loop {
            let now = self.liveness_tick();
            sleep(tick).await;
            let delay = now.elapsed().saturating_sub(tick);
            self.process_clock.record_delay(delay.min(max_delay));
            let lease = self.settings.worker_lease();
            self.admissions.prune_answers(lease);
        }
    }

    /// The recent mean of how late this process's timers fire.
    pub fn lag(&self) -> Duration {
        self.process_clock.lag.get()
    }
}

/// An earlier moment as it counts after a pause: none of the pause has passed since.
pub fn shifted_past_pause(at: Instant, pause: Duration, now: Instant) -> Instant {
    at.checked_add(pause)
        .map_or(now, |shifted| shifted.min(now))
}
