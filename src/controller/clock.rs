//! The process's own clock: gaps in which it did not run, and how far it is behind.

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
}

impl Controller {
    /// The time, once what this process did not see of it has been taken out of
    /// all spans of silence. A controller that was paused, for whatever cause,
    /// finds its timers due and its workers' reports unread when it goes on: to
    /// count that as their silence would end the work of hundreds of healthy
    /// machines. Whoever concludes anything from silence begins with this.
    pub fn liveness_tick(&self) -> Instant {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.process_clock.last_ran.replace(now));
        if gap > self.settings.worker_lease() / 8 {
            tracing::info!(gap_s = gap.as_secs_f64(), "process paused");
            self.workers.exclude_pause(gap, now);
            self.fleet.borrow_mut().exclude_pause(gap, now);
        }
        now
    }

    /// Notices soon when this process has was paused, or falls behind.
    pub async fn run_liveness(self: Rc<Self>) {
        let tick = self.settings.worker_lease() / 32;
        loop {
            let now = self.liveness_tick();
            sleep(tick).await;
            // Timers fire in steps of some milliseconds: a mean of a few.
            let late = now.elapsed().saturating_sub(tick);
            // One long gap is not load.
            let late = late.min(self.settings.heartbeat_interval() / 2);
            self.process_clock
                .lag
                .set((self.process_clock.lag.get() * 3 + late) / 4);
            let lease = self.settings.worker_lease();
            let mut answered = self.admissions.last_answered.borrow_mut();
            answered.retain(|_, t| t.elapsed() < lease);
        }
    }

    /// How far this process is behind.
    pub fn lag(&self) -> Duration {
        self.process_clock.lag.get()
    }
}

/// An earlier moment as it counts after a gap: none of the gap has passed since.
pub fn shifted_past_pause(at: Instant, gap: Duration, now: Instant) -> Instant {
    at.checked_add(gap).map_or(now, |t| t.min(now))
}
