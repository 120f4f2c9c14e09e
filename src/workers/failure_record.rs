//! Failures of tasks on one machine, as far as its owner knows of them.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

/// Failures of tasks on a machine since a task last succeeded there.
#[derive(Debug, Clone, Default)]
pub struct FailureRecord {
    /// Jobs whose tasks have failed, by id.
    jobs: BTreeSet<String>,
    /// Time of the latest failure, if there was one.
    latest_at: Option<Instant>,
}

impl FailureRecord {
    /// Records that a task of a job has failed.
    pub fn record_failure(&mut self, job: &str, now: Instant) {
        self.jobs.insert(job.to_string());
        self.latest_at = Some(now);
    }

    /// Records that a task has succeeded, which clears the failures.
    pub fn record_success(&mut self) {
        *self = FailureRecord::default();
    }

    /// Returns the ids of the jobs whose tasks have failed.
    pub fn jobs(&self) -> impl ExactSizeIterator<Item = &String> {
        self.jobs.iter()
    }

    /// Returns whether the latest failure is at most `age` old.
    pub fn is_recent(&self, age: Duration, now: Instant) -> bool {
        self.latest_at
            .is_some_and(|at| now.saturating_duration_since(at) <= age)
    }
}
