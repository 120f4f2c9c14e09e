//! Detects workers whose heartbeats arrive but which receive no answers and no commands:
//! their heartbeats keep showing a fencing token below those of the recorded claim.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::controller::shifted_past_pause;
use crate::wire::WorkerStatus;

/// The time after which a worker that keeps showing a stale token counts as unreachable, in
/// worker leases.
const STALE_TOKEN_LEASES: f64 = 1.1;

/// The position of a heartbeat in the order of a worker's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HeartbeatNumber {
    epoch: u64,
    sequence: u64,
}

/// A series of heartbeats of one worker that show a token below those of the recorded claim.
#[derive(Debug, Clone, Copy)]
struct StaleHeartbeats {
    /// The time of the first heartbeat in the series.
    first_at: Instant,
    /// The time of the last heartbeat in the series.
    last_at: Instant,
    /// The position of the newest heartbeat.
    newest_number: HeartbeatNumber,
}

impl StaleHeartbeats {
    /// Returns a series that starts now and has no heartbeats yet.
    fn starting(now: Instant) -> Self {
        StaleHeartbeats {
            first_at: now,
            last_at: now,
            newest_number: HeartbeatNumber {
                epoch: 0,
                sequence: 0,
            },
        }
    }

    /// Returns whether the series has lasted for longer than `STALE_TOKEN_LEASES`.
    fn exceeds_lease(&self, lease: Duration) -> bool {
        let span = self.last_at.saturating_duration_since(self.first_at);
        span > lease.mul_f64(STALE_TOKEN_LEASES)
    }
}

/// The machines whose new heartbeats show a token below those of the recorded claim.
#[derive(Debug, Default)]
pub(super) struct StaleTokens {
    by_machine: HashMap<String, StaleHeartbeats>,
}

impl StaleTokens {
    /// Records a heartbeat, and returns whether the worker is unreachable: its heartbeats
    /// have for longer than its lease shown a token below `first_token`, the first one of the
    /// recorded claim of its machine.
    pub(super) fn observe(
        &mut self,
        status: &WorkerStatus,
        first_token: u64,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let id = &status.machine;
        if status.fencing_token >= first_token {
            self.by_machine.remove(id);
            return false;
        }
        let number = HeartbeatNumber {
            epoch: status.epoch,
            sequence: status.sequence,
        };
        let fresh = StaleHeartbeats::starting(now);
        let series = self.by_machine.entry(id.clone()).or_insert(fresh);
        // A late copy of a heartbeat proves nothing about the worker's current state.
        if number <= series.newest_number {
            return false;
        }
        // After a gap, the series starts again: during the gap, the worker may have sent
        // heartbeats to other controllers and received their answers.
        if now.saturating_duration_since(series.last_at) > lease * 2 {
            *series = fresh;
        }
        series.last_at = now;
        series.newest_number = number;
        series.exceeds_lease(lease)
    }

    /// Returns the unreachable machines whose last heartbeat is less than half a lease old.
    pub(super) fn unreachable(&self, lease: Duration, now: Instant) -> Vec<String> {
        let is_recent =
            |series: &StaleHeartbeats| now.saturating_duration_since(series.last_at) < lease / 2;
        self.by_machine
            .iter()
            .filter(|(_, series)| series.exceeds_lease(lease) && is_recent(series))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Excludes a pause of this process from the durations of the series.
    pub(super) fn exclude_pause(&mut self, pause: Duration, now: Instant) {
        for series in self.by_machine.values_mut() {
            series.first_at = shifted_past_pause(series.first_at, pause, now);
            series.last_at = shifted_past_pause(series.last_at, pause, now);
        }
    }
}
