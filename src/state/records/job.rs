//! A job's record: its tasks, where they are booked, and how they ended.

use std::collections::BTreeMap;

use resources::Resources;
use serde::{Deserialize, Serialize};
use shares::ControllerName;

use super::ranges::Ranges;
use super::spec::Spec;

/// Tasks of one attempt booked on one machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The machine.
    #[serde(rename = "m")]
    pub machine: String,
    /// Kept with the booking, so that a zone's count needs no machine record.
    #[serde(rename = "z")]
    pub zone: String,
    /// The attempt; the tasks of a gang find each other through it.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The numbers of the tasks.
    #[serde(rename = "t")]
    pub tasks: Ranges,
    /// The run is wanted gone: preempted, drained, or of a broken gang.
    #[serde(rename = "x", default, skip_serializing_if = "super::is_false")]
    pub stop: bool,
}

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
        deserialize_with = "crate::state::encoding::runs"
    )]
    pub runs: Vec<Run>,
    /// Work has been stopped for it: it goes first, or the room that was
    /// cleared would go to whoever looks next.
    #[serde(rename = "c", default, skip_serializing_if = "super::is_false")]
    pub has_preempted: bool,
    /// Attempts that failed since the last success, for the back-off: however
    /// many tasks of one attempt fail, it is one.
    #[serde(rename = "e", default, skip_serializing_if = "super::is_zero")]
    pub errors: u32,
    /// The latest attempt that counts among them.
    #[serde(rename = "ea", default, skip_serializing_if = "super::is_zero_u64")]
    pub failed_attempt: u64,
    /// The machines that it failed on since then, the latest last.
    #[serde(rename = "em", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<String>,
    /// The controller whose share its bookings count against, if its team's room is
    /// split. Only written once every controller reads it.
    #[serde(rename = "sh", default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ControllerName>,
}

/// A job that has failed on so many machines in a row, and has succeeded on
/// none since, is taken to have a mistake of its own.
pub const FAULTY_JOB_THRESHOLD: usize = 3;

/// How many of those machines its record names.
pub const MAX_FAILED_MACHINES: usize = FAULTY_JOB_THRESHOLD + 1;

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

    /// Whether the job rather than the machines is to blame for its failures.
    pub fn is_suspected_faulty(&self) -> bool {
        self.failed_on.len() >= FAULTY_JOB_THRESHOLD
    }

    fn record_failure(&mut self, machine: &str, attempt: u64) {
        if attempt > self.failed_attempt {
            self.failed_attempt = attempt;
            self.errors = self.errors.saturating_add(1).min(1000);
        }
        self.failed_on.retain(|m| m != machine);
        if self.failed_on.len() == MAX_FAILED_MACHINES {
            self.failed_on.remove(0);
        }
        self.failed_on.push(machine.to_string());
    }

    /// It has succeeded somewhere: what failed before was the machines' fault.
    pub fn record_success(&mut self) {
        self.errors = 0;
        self.failed_attempt = 0;
        self.failed_on.clear();
    }

    /// How many tasks are booked on machines.
    pub fn booked(&self) -> usize {
        self.runs.iter().map(|r| r.tasks.len()).sum()
    }

    /// Tasks that wait for a place.
    pub fn waiting(&self) -> usize {
        if !self.is_open() {
            return 0;
        }
        match &self.spec {
            // A gang's next attempt waits until the old one is wholly gone.
            Some(s) if s.is_gang() && self.runs.is_empty() => s.tasks as usize,
            Some(s) if s.is_gang() => 0,
            Some(s) => (s.tasks - self.next_task.min(s.tasks)) as usize + self.retry.len(),
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

    /// The run that has this task on this machine in this attempt.
    pub fn find(&self, machine: &str, attempt: u64, task: u32) -> Option<&Run> {
        self.runs
            .iter()
            .find(|r| r.machine == machine && r.attempt == attempt && r.tasks.contains(task))
    }

    /// Tasks booked in each zone, old attempts included.
    pub fn tasks_per_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        for run in &self.runs {
            *zones.entry(run.zone.as_str()).or_insert(0) += run.tasks.len();
        }
        zones
    }

    /// Books the next waiting task under `attempt`.
    pub fn book(&mut self, machine: &str, zone: &str, attempt: u64, task: u32) {
        if let Some(run) = self
            .runs
            .iter_mut()
            .find(|r| r.machine == machine && r.attempt == attempt && !r.stop)
        {
            run.tasks.insert(task);
            return;
        }
        self.runs.push(Run {
            machine: machine.to_string(),
            zone: zone.to_string(),
            attempt,
            tasks: Ranges::one(task),
            stop: false,
        });
    }

    /// The next task that was never started.
    pub fn take_unstarted_task(&mut self) -> Option<u32> {
        (self.next_task < self.tasks).then(|| {
            self.next_task += 1;
            self.next_task - 1
        })
    }

    /// Releases a booking whose task is surely gone. False when there was none.
    pub fn release(
        &mut self,
        machine: &str,
        attempt: u64,
        task: u32,
        outcome: TaskOutcome,
    ) -> bool {
        let Some(at) = self
            .runs
            .iter()
            .position(|r| r.machine == machine && r.attempt == attempt && r.tasks.contains(task))
        else {
            return false;
        };
        self.runs[at].tasks.remove(task);
        if self.runs[at].tasks.is_empty() {
            self.runs.remove(at);
        }
        let gang = self.spec.as_ref().is_some_and(Spec::is_gang);
        if self.is_open() {
            match (outcome, gang) {
                // A gang completes together: one done task proves all.
                (TaskOutcome::Done, true) => self.status = JobStatus::Done,
                (TaskOutcome::Done, false) => self.record_success(),
                (_, true) => {
                    // One member lost breaks the attempt: all must go.
                    for run in &mut self.runs {
                        run.stop = true;
                    }
                    self.next_task = 0;
                }
                (_, false) => self.retry.insert(task),
            }
            if outcome == TaskOutcome::Failed {
                self.record_failure(machine, attempt);
            }
            if !gang
                && self.next_task == self.tasks
                && self.retry.is_empty()
                && self.runs.is_empty()
            {
                self.status = JobStatus::Done;
            }
        }
        self.trim_finished();
        true
    }

    /// Marks tasks on a machine as wanted gone: all of a gang's everywhere, as
    /// it saves only when all are told; else `count`, the latest first, or all
    /// there when the record has no room for a run that is split.
    pub fn stop_tasks(&mut self, machine: &str, count: usize, fits: impl Fn(&Job) -> bool) {
        let before = self.clone();
        self.split_stops(machine, count);
        if !fits(self) {
            *self = before;
            for run in self.runs.iter_mut().filter(|r| r.machine == machine) {
                run.stop = true;
            }
        }
    }

    fn split_stops(&mut self, machine: &str, count: usize) {
        if self.spec.as_ref().is_some_and(Spec::is_gang) {
            for run in &mut self.runs {
                run.stop = true;
            }
            return;
        }
        let mut left = count;
        let mut split: Vec<Run> = Vec::new();
        for run in self.runs.iter_mut().rev() {
            if run.machine != machine || run.stop || left == 0 {
                continue;
            }
            if run.tasks.len() <= left {
                left -= run.tasks.len();
                run.stop = true;
                continue;
            }
            let mut part = Run {
                tasks: Ranges::default(),
                stop: true,
                ..run.clone()
            };
            while left > 0 {
                let Some(&(_, last)) = run.tasks.0.last() else {
                    break;
                };
                run.tasks.remove(last);
                part.tasks.insert(last);
                left -= 1;
            }
            split.push(part);
        }
        // What is stopped in steps stays one run, or the record would grow.
        for part in split {
            let known = self
                .runs
                .iter_mut()
                .find(|r| r.stop && r.machine == part.machine && r.attempt == part.attempt);
            match known {
                Some(run) => part.tasks.iter().for_each(|n| run.tasks.insert(n)),
                None => self.runs.push(part),
            }
        }
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

/// `new/ID`: jobs that were accepted together, in one write. Each stands for
/// its own record until that is first written; from then on that one counts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptedBatch {
    /// The revision at which they were accepted.
    #[serde(rename = "b")]
    pub accepted_revision: u64,
    /// The jobs by their ids.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, Spec>,
}

/// How a task's time on a machine came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// It is complete.
    Done,
    /// It failed by itself: counts towards the back-off.
    Failed,
    /// Stopped, refused, or lost with its machine.
    Lost,
}

/// `team/T`: what the team's bookings take; `use/T/C`: what those take that count
/// against the share of controller C.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The resources of all booked tasks.
    #[serde(rename = "u")]
    pub used: Resources,
}
