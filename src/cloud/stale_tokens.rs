//! Workers whose reports arrive while no answer and no command reaches them: they
//! go on to show a fencing token below the recorded one.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::controller::shifted_past_pause;
use crate::wire::WorkerStatus;

/// A worker that has not taken up its token for longer than this times its
/// lease cannot be reached.
const STALE_TOKEN_LEASES: f64 = 1.1;

/// A worker's place in the order of its reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportNumber {
    epoch: u64,
    sequence: u64,
}

/// Reports of one worker that show a token below the recorded one.
#[derive(Debug, Clone, Copy)]
struct StaleReports {
    first: Instant,
    last: Instant,
    newest: ReportNumber,
}

impl StaleReports {
    /// The start of a series of such reports.
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

    /// Whether they have come for longer than the worker's lease.
    fn exceed(&self, lease: Duration) -> bool {
        let span = self.last.saturating_duration_since(self.first);
        span > lease.mul_f64(STALE_TOKEN_LEASES)
    }
}

/// Machines whose live reports show a token below the recorded one.
#[derive(Debug, Default)]
pub(super) struct StaleTokens {
    by_machine: HashMap<String, StaleReports>,
}

impl StaleTokens {
    /// Records a report; whether the worker has by now reported for longer than
    /// its lease without taking up `fencing_token`, under which its machine is
    /// held.
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
        // A late copy is not a sign of anything.
        if number <= seen.newest {
            return false;
        }
        // It may have reported to other controllers meanwhile, and had their answers.
        if now.saturating_duration_since(seen.last) > lease * 2 {
            *seen = fresh;
        }
        seen.last = now;
        seen.newest = number;
        seen.exceed(lease)
    }

    /// Machines that were found unreachable just now.
    pub(super) fn unreachable(&self, lease: Duration, now: Instant) -> Vec<String> {
        let recent = |seen: &StaleReports| now.saturating_duration_since(seen.last) < lease / 2;
        self.by_machine
            .iter()
            .filter(|(_, seen)| seen.exceed(lease) && recent(seen))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Excludes a gap in which this process did not run from the spans.
    pub(super) fn exclude_pause(&mut self, gap: Duration, now: Instant) {
        for seen in self.by_machine.values_mut() {
            seen.first = shifted_past_pause(seen.first, gap, now);
            seen.last = shifted_past_pause(seen.last, gap, now);
        }
    }
}
