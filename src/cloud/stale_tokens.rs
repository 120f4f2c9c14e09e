//! Detects workers whose heartbeats arrive but which receive no answers and no commands:
//! their heartbeats keep showing a fencing token below the recorded one.

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
struct ReportNumber {
    epoch: u64,
    sequence: u64,
}

/// A series of heartbeats of one worker that show a token below the recorded one.
#[derive(Debug, Clone, Copy)]
struct StaleReports {
    /// The time of the first heartbeat in the series.
    first: Instant,
    /// The time of the last heartbeat in the series.
    last: Instant,
    /// The position of the newest heartbeat.
    newest: ReportNumber,
}

impl StaleReports {
    /// Returns a series that starts now and has no heartbeats yet.
    fn starting(now: Instant) -> Self {
        StaleReports {
            first: now,
            last: now,
            newest: ReportNumber {
                epoch: 0,
                sequence: 0,
            },
        }
    }

    /// Returns whether the series has lasted for longer than `STALE_TOKEN_LEASES`.
    fn exceed(&self, lease: Duration) -> bool {
        let span = self.last.saturating_duration_since(self.first);
        span > lease.mul_f64(STALE_TOKEN_LEASES)
    }
}

/// The machines whose new heartbeats show a token below the recorded one.
#[derive(Debug, Default)]
pub(super) struct StaleTokens {
    by_machine: HashMap<String, StaleReports>,
}

impl StaleTokens {
    /// Records a heartbeat, and returns whether the worker is unreachable: its heartbeats
    /// have for longer than its lease shown a token below `fencing_token`, the recorded token
    /// of its machine.
    pub(super) fn observe(
        &mut self,
        report: &WorkerStatus,
        fencing_token: u64,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let id = &report.machine;
        if report.fencing_token >= fencing_token {
            self.by_machine.remove(id);
            return false;
        }
        let number = ReportNumber {
            epoch: report.epoch,
            sequence: report.sequence,
        };
        let fresh = StaleReports::starting(now);
        let seen = self.by_machine.entry(id.clone()).or_insert(fresh);
        // A late copy of a heartbeat proves nothing about the worker's current state.
        if number <= seen.newest {
            return false;
        }
        // In the gap, the worker may have sent heartbeats to other controllers and received
        // their answers, so the series starts again.
        if now.saturating_duration_since(seen.last) > lease * 2 {
            *seen = fresh;
        }
        seen.last = now;
        seen.newest = number;
        seen.exceed(lease)
    }

    /// Returns the unreachable machines whose last heartbeat is less than half a lease old.
    pub(super) fn unreachable(&self, lease: Duration, now: Instant) -> Vec<String> {
        let recent = |seen: &StaleReports| now.saturating_duration_since(seen.last) < lease / 2;
        self.by_machine
            .iter()
            .filter(|(_, seen)| seen.exceed(lease) && recent(seen))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Excludes a gap in which this process did not run from the durations of the series.
    pub(super) fn exclude_pause(&mut self, gap: Duration, now: Instant) {
        for seen in self.by_machine.values_mut() {
            seen.first = shifted_past_pause(seen.first, gap, now);
            seen.last = shifted_past_pause(seen.last, gap, now);
        }
    }
}
