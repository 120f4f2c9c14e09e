//! The process's own clock: gaps in which it did not run, and how far it is behind.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Controller;

impl Controller {
    /// The time, once what this process did not see of it has been taken out of
    /// all spans of silence. A controller that stood still, for whatever cause,
    /// finds its timers due and its workers' reports unread when it goes on: to
    /// count that as their silence would end the work of hundreds of healthy
    /// machines. Whoever concludes anything from silence begins with this.
    pub fn liveness_tick(&self) -> Instant {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.ran.replace(now));
        if gap > self.settings.lease() / 8 {
            tracing::info!(gap_s = gap.as_secs_f64(), "stood still");
            for owned_worker in self.owned_workers.borrow_mut().values_mut() {
                owned_worker.exclude_pause(gap, now);
            }
            self.fleet.borrow_mut().exclude_pause(gap, now);
        }
        now
    }

    /// Notices soon when this process has stood still, or falls behind.
    pub async fn run_liveness(self: Rc<Self>) {
        let tick = self.settings.lease() / 32;
        loop {
            let now = self.liveness_tick();
            sleep(tick).await;
            // Timers fire in steps of some milliseconds: a mean of a few.
            let late = now.elapsed().saturating_sub(tick);
            // One long gap is not load.
            let late = late.min(self.settings.report() / 2);
            self.lag.set((self.lag.get() * 3 + late) / 4);
            let lease = self.settings.lease();
            let mut answered = self.answered.borrow_mut();
            answered.retain(|_, t| t.elapsed() < lease);
        }
    }

    /// How far this process is behind.
    pub fn lag(&self) -> Duration {
        self.lag.get()
    }
}

/// An earlier moment as it counts after a gap: none of the gap has passed since.
pub fn shifted_past_pause(at: Instant, gap: Duration, now: Instant) -> Instant {
    at.checked_add(gap).map_or(now, |t| t.min(now))
}
