//! A job's tasks on machines: bookings, and those that are to be stopped.

use serde::{Deserialize, Serialize};

use super::Job;
use crate::state::records::{Ranges, Spec};

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
    #[serde(
        rename = "x",
        default,
        skip_serializing_if = "crate::state::records::is_false"
    )]
    pub stop: bool,
}

impl Job {
    /// The run that has this task on this machine in this attempt.
    pub fn find(&self, machine: &str, attempt: u64, task: u32) -> Option<&Run> {
        self.runs
            .iter()
            .find(|run| run.has_task(machine, attempt, task))
    }

    /// Books a task on a machine under `attempt`.
    pub fn book(&mut self, machine: &str, zone: &str, attempt: u64, task: u32) {
        let known = self
            .runs
            .iter_mut()
            .find(|run| run.machine == machine && run.attempt == attempt && !run.stop);
        match known {
            Some(run) => run.tasks.insert(task),
            None => self.runs.push(Run {
                machine: machine.to_string(),
                zone: zone.to_string(),
                attempt,
                tasks: Ranges::one(task),
                stop: false,
            }),
        }
    }

    /// Marks tasks on a machine as wanted gone: all of a gang's everywhere, as
    /// it saves only when all are told; else `count`, the latest first, or all
    /// there when the record has no room for a run that is split.
    pub fn stop_tasks(&mut self, machine: &str, count: usize, fits: impl Fn(&Job) -> bool) {
        let before = self.clone();
        if self.spec.as_ref().is_some_and(Spec::is_gang) {
            self.stop_all_runs();
        } else {
            self.stop_latest_tasks(machine, count);
        }
        if !fits(self) {
            *self = before;
            for run in self.runs.iter_mut().filter(|run| run.machine == machine) {
                run.stop = true;
            }
        }
    }

    /// Marks all runs as wanted gone.
    pub(super) fn stop_all_runs(&mut self) {
        for run in &mut self.runs {
            run.stop = true;
        }
    }

    /// Marks so many tasks on a machine as wanted gone; the last run is split where only
    /// some of its tasks are.
    fn stop_latest_tasks(&mut self, machine: &str, count: usize) {
        let mut remaining = count;
        let mut split_off: Vec<Run> = Vec::new();
        for run in self.runs.iter_mut().rev() {
            if run.machine != machine || run.stop || remaining == 0 {
                continue;
            }
            if run.tasks.len() <= remaining {
                remaining -= run.tasks.len();
                run.stop = true;
                continue;
            }
            split_off.push(run.split_off_stopped(remaining));
            remaining = 0;
        }
        for run in split_off {
            self.merge_stopped(run);
        }
    }

    /// Adds a stopped run. What is stopped in steps stays one run, or the record would
    /// grow.
    fn merge_stopped(&mut self, stopped: Run) {
        let known = self.runs.iter_mut().find(|run| {
            run.stop && run.machine == stopped.machine && run.attempt == stopped.attempt
        });
        match known {
            Some(run) => stopped.tasks.iter().for_each(|task| run.tasks.insert(task)),
            None => self.runs.push(stopped),
        }
    }
}

impl Run {
    /// Whether it has this task of this attempt on this machine.
    pub(super) fn has_task(&self, machine: &str, attempt: u64, task: u32) -> bool {
        self.machine == machine && self.attempt == attempt && self.tasks.contains(task)
    }

    /// Takes the last `count` tasks out of it, as a run that is wanted gone.
    fn split_off_stopped(&mut self, count: usize) -> Run {
        let mut stopped = Run {
            tasks: Ranges::default(),
            stop: true,
            ..self.clone()
        };
        for _ in 0..count {
            let Some(&(_, last)) = self.tasks.0.last() else {
                break;
            };
            self.tasks.remove(last);
            stopped.tasks.insert(last);
        }
        stopped
    }
}
