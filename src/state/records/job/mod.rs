//! Defines a job's record: its tasks, their bookings on machines, and their outcomes.
//!
//! A task is booked on a machine before it is started there, and the booking is released
//! once the task is certain not to run any more. A run groups the tasks of one attempt that
//! are booked on the same machine.
//!
//! | module | task |
//! | --- | --- |
//! | `bookings` | bookings of tasks on machines, and tasks to be stopped |
//! | `failures` | failed attempts, and whether the job itself is faulty |
//! | `termination` | the end of a task on its machine |

mod bookings;
mod failures;
mod termination;

pub use bookings::Run;
pub use failures::{FAULTY_JOB_THRESHOLD, MAX_FAILED_MACHINES};
pub use termination::TaskOutcome;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shares::ControllerName;

use super::ranges::NumberSet;
use super::spec::JobSpec;

/// State of a job: open or one of the final states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// The job is not final: it has tasks that run, wait, or have not started yet.
    #[default]
    #[serde(rename = "o")]
    Open,
    /// All tasks are done. This state is final.
    #[serde(rename = "d")]
    Done,
    /// The user cancelled the job. This state is final.
    #[serde(rename = "c")]
    Cancelled,
}

/// Record `job/ID`. Once the job is final and has no bookings, its specification and
/// progress are dropped; the final state is kept permanently.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// State of the job.
    #[serde(rename = "f", default)]
    pub status: JobStatus,
    /// Specification of the job; `None` once the job is final and has no bookings.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Number of tasks, kept for display after the specification is dropped.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// Approximate revision at which the job was accepted. It determines the order of the
    /// queue.
    #[serde(rename = "b", default)]
    pub accepted_revision: u64,
    /// Latest attempt number that was assigned.
    #[serde(rename = "a", default)]
    pub attempt: u64,
    /// Lowest number of a task that was never started.
    #[serde(rename = "x", default)]
    pub next_task: u32,
    /// Tasks that were started before and have to be started again.
    #[serde(rename = "q", default, skip_serializing_if = "NumberSet::is_empty")]
    pub retry: NumberSet,
    /// Bookings of the tasks, grouped by machine and attempt.
    #[serde(
        rename = "r",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::state::encoding::deserialize_runs"
    )]
    pub runs: Vec<Run>,
    /// True if tasks of other jobs were preempted to make space for this job. The job is then
    /// placed before all others, which would otherwise take the freed capacity.
    #[serde(
        rename = "c",
        default,
        skip_serializing_if = "crate::state::records::is_false"
    )]
    pub has_preempted: bool,
    /// Number of failed attempts since the last success, for the back-off. An attempt
    /// counts once, even if several of its tasks fail.
    #[serde(
        rename = "e",
        default,
        skip_serializing_if = "crate::state::records::is_zero"
    )]
    pub failure_count: u32,
    /// Latest attempt that is counted in `failure_count`.
    #[serde(
        rename = "ea",
        default,
        skip_serializing_if = "crate::state::records::is_zero_u64"
    )]
    pub failed_attempt: u64,
    /// Machines on which the job failed since the last success, the latest last.
    #[serde(rename = "em", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<String>,
    /// Controller whose share the job's bookings count against; `None` if the quota of the
    /// team is not split into shares. The field is written only once every controller can
    /// read it.
    #[serde(rename = "sh", default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ControllerName>,
}

impl Job {
    /// Creates the record of a job that was accepted at `accepted_revision`.
    pub fn new(spec: JobSpec, accepted_revision: u64) -> Self {
        Job {
            status: JobStatus::Open,
            tasks: spec.tasks,
            spec: Some(spec),
            accepted_revision,
            attempt: 0,
            next_task: 0,
            retry: NumberSet::default(),
            runs: Vec::new(),
            has_preempted: false,
            failure_count: 0,
            failed_attempt: 0,
            failed_on: Vec::new(),
            share: None,
        }
    }

    /// Returns whether the job is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        self.status == JobStatus::Open
    }

    /// Returns the number of tasks that are booked on machines.
    pub fn booked_count(&self) -> usize {
        self.runs.iter().map(|run| run.tasks.len()).sum()
    }

    /// Returns the number of tasks that wait for placement.
    pub fn waiting_count(&self) -> usize {
        if !self.is_open() {
            return 0;
        }
        match &self.spec {
            // A gang is placed again only after all bookings of its last attempt are released.
            Some(spec) if spec.is_gang() && self.runs.is_empty() => spec.tasks as usize,
            Some(spec) if spec.is_gang() => 0,
            Some(spec) => {
                let unstarted = spec.tasks - self.next_task.min(spec.tasks);
                unstarted as usize + self.retry.len()
            }
            None => 0,
        }
    }

    /// Returns the number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        match self.status {
            JobStatus::Done => self.tasks,
            _ => (self.next_task as usize).saturating_sub(self.retry.len() + self.booked_count())
                as u32,
        }
    }

    /// Returns the number of booked tasks by zone. Bookings of earlier attempts count until
    /// they are released.
    pub fn tasks_per_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        for run in &self.runs {
            *zones.entry(run.zone.as_str()).or_insert(0) += run.tasks.len();
        }
        zones
    }

    /// Returns the lowest task that was never started, and counts it as started from then on.
    /// Returns `None` if every task was started before.
    pub fn take_unstarted_task(&mut self) -> Option<u32> {
        (self.next_task < self.tasks).then(|| {
            self.next_task += 1;
            self.next_task - 1
        })
    }

    /// Drops the specification and progress if the job is final and has no bookings.
    pub fn trim_finished(&mut self) {
        if !self.is_open() && self.runs.is_empty() {
            self.spec = None;
            self.retry = NumberSet::default();
            self.record_success();
        }
    }

    /// Cancels the job, unless it is final already.
    pub fn cancel(&mut self) {
        if self.is_open() {
            self.status = JobStatus::Cancelled;
            self.trim_finished();
        }
    }
}
