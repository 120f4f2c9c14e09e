//! A job's record: its tasks, where they are booked, and how they ended.
//!
//! | module | task |
//! | --- | --- |
//! | `bookings` | the tasks that are booked on machines, and those to be stopped |
//! | `failures` | failed attempts, and whether the job itself is at fault |
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

use super::ranges::Ranges;
use super::spec::Spec;

/// Whether a job has reached its final state, and which.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// It has not: tasks run, wait, or are still to start.
    #[default]
    #[serde(rename = "o")]
    Open,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Its user cancelled it.
    #[serde(rename = "c")]
    Cancelled,
}

/// `job/ID`. Once final and with nothing on any machine, the spec and the
/// progress are dropped; the final state stays for good.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Whether it is over, and how it ended.
    #[serde(rename = "f", default)]
    pub status: JobStatus,
    /// What placing needs to know of it, while it is needed.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Spec>,
    /// The number of tasks, kept for display when the spec is gone.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// The revision at which it was accepted, near enough: the queue's order.
    #[serde(rename = "b", default)]
    pub accepted_revision: u64,
    /// The last attempt number given out.
    #[serde(rename = "a", default)]
    pub attempt: u64,
    /// The next task that was never started.
    #[serde(rename = "x", default)]
    pub next_task: u32,
    /// Tasks that were started before and have to be started again.
    #[serde(rename = "q", default, skip_serializing_if = "Ranges::is_empty")]
    pub retry: Ranges,
    /// What is booked on machines.
    #[serde(
        rename = "r",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::state::encoding::deserialize_runs"
    )]
    pub runs: Vec<Run>,
    /// Work has been stopped for it: it goes first, or the room that was
    /// cleared would go to whoever looks next.
    #[serde(
        rename = "c",
        default,
        skip_serializing_if = "crate::state::records::is_false"
    )]
    pub has_preempted: bool,
    /// Attempts that failed since the last success, for the back-off: however
    /// many tasks of one attempt fail, it is one.
    #[serde(
        rename = "e",
        default,
        skip_serializing_if = "crate::state::records::is_zero"
    )]
    pub errors: u32,
    /// The latest attempt that counts among them.
    #[serde(
        rename = "ea",
        default,
        skip_serializing_if = "crate::state::records::is_zero_u64"
    )]
    pub failed_attempt: u64,
    /// The machines that it failed on since then, the latest last.
    #[serde(rename = "em", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<String>,
    /// The controller whose share its bookings count against, if its team's quota is
    /// split. Only written once every controller reads it.
    #[serde(rename = "sh", default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ControllerName>,
}

impl Job {
    /// A job that was just accepted; `accepted_revision` is the revision at that time.
    pub fn new(spec: Spec, accepted_revision: u64) -> Self {
        Job {
            status: JobStatus::Open,
            tasks: spec.tasks,
            spec: Some(spec),
            accepted_revision,
            attempt: 0,
            next_task: 0,
            retry: Ranges::default(),
            runs: Vec::new(),
            has_preempted: false,
            errors: 0,
            failed_attempt: 0,
            failed_on: Vec::new(),
            share: None,
        }
    }

    /// Whether it is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        self.status == JobStatus::Open
    }

    /// How many tasks are booked on machines.
    pub fn booked(&self) -> usize {
        self.runs.iter().map(|run| run.tasks.len()).sum()
    }

    /// Tasks that wait for a place.
    pub fn waiting(&self) -> usize {
        if !self.is_open() {
            return 0;
        }
        match &self.spec {
            // A gang's next attempt waits until the old one is wholly gone.
            Some(spec) if spec.is_gang() && self.runs.is_empty() => spec.tasks as usize,
            Some(spec) if spec.is_gang() => 0,
            Some(spec) => {
                let unstarted = spec.tasks - self.next_task.min(spec.tasks);
                unstarted as usize + self.retry.len()
            }
            None => 0,
        }
    }

    /// How many tasks are done.
    pub fn done_count(&self) -> u32 {
        match self.status {
            JobStatus::Done => self.tasks,
            _ => (self.next_task as usize).saturating_sub(self.retry.len() + self.booked()) as u32,
        }
    }

    /// Tasks booked in each zone, old attempts included.
    pub fn tasks_per_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        for run in &self.runs {
            *zones.entry(run.zone.as_str()).or_insert(0) += run.tasks.len();
        }
        zones
    }

    /// The next task that was never started.
    pub fn take_unstarted_task(&mut self) -> Option<u32> {
        (self.next_task < self.tasks).then(|| {
            self.next_task += 1;
            self.next_task - 1
        })
    }

    /// Drops what a finished job no longer needs.
    pub fn trim_finished(&mut self) {
        if !self.is_open() && self.runs.is_empty() {
            self.spec = None;
            self.retry = Ranges::default();
            self.record_success();
        }
    }

    /// Makes the job cancelled, unless it is over already.
    pub fn cancel(&mut self) {
        if self.is_open() {
            self.status = JobStatus::Cancelled;
            self.trim_finished();
        }
    }
}
