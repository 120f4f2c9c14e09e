//! Books a job's tasks on machines and marks booked tasks to be stopped.

use serde::{Deserialize, Serialize};

use super::Job;
use crate::state::records::{JobSpec, NumberSet};

/// Tasks of one attempt that are booked on one machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the machine.
    #[serde(rename = "m")]
    pub machine: String,
    /// Zone of the machine. It is kept with the booking, so that counting the tasks in a
    /// zone needs no machine record.
    #[serde(rename = "z")]
    pub zone: String,
    /// Number of the attempt. The tasks of a gang recognize each other by having the same
    /// number.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// Numbers of the tasks.
    #[serde(rename = "t")]
    pub tasks: NumberSet,
    /// True if the tasks are to be stopped because they are preempted, because their machine
    /// is drained, or because another task of their gang was lost.
    #[serde(
        rename = "x",
        default,
        skip_serializing_if = "crate::state::records::is_false"
    )]
    pub stop: bool,
}

impl Job {
    /// Returns the run that contains a task of an attempt on a machine.
    pub fn find_run(&self, machine: &str, attempt: u64, task: u32) -> Option<&Run> {
        self.runs
            .iter()
            .find(|run| run.has_task(machine, attempt, task))
    }

    /// Books a task of an attempt on a machine.
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
                tasks: NumberSet::one(task),
                stop: false,
            }),
        }
    }

    /// Marks tasks on a machine to be stopped.
    ///
    /// A gang saves its progress only if all of its tasks are told to stop, so all of its
    /// tasks on all machines are marked. For any other job, the latest `count` tasks on the
    /// machine are marked. Marking only some tasks of a run splits the run, which lengthens
    /// the record. If the record then does not satisfy `fits`, all runs on the machine are
    /// marked instead.
    pub fn stop_tasks(&mut self, machine: &str, count: usize, fits: impl Fn(&Job) -> bool) {
        let before = self.clone();
        if self.spec.as_ref().is_some_and(JobSpec::is_gang) {
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

    /// Marks all runs to be stopped.
    pub(super) fn stop_all_runs(&mut self) {
        for run in &mut self.runs {
            run.stop = true;
        }
    }

    /// Marks the latest `count` tasks on a machine to be stopped. A run of which only some
    /// tasks are to be stopped is split.
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

    /// Adds a run that is to be stopped. If there already is one for the same machine and
    /// attempt, the tasks are added to it. The record would otherwise grow each time that
    /// more tasks of an attempt are stopped.
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
    /// Returns whether the run contains a task of an attempt on a machine.
    pub(super) fn has_task(&self, machine: &str, attempt: u64, task: u32) -> bool {
        self.machine == machine && self.attempt == attempt && self.tasks.contains(task)
    }

    /// Removes the last `count` tasks and returns them as a run that is to be stopped.
    fn split_off_stopped(&mut self, count: usize) -> Run {
        let mut stopped = Run {
            tasks: NumberSet::default(),
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
