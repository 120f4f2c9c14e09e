//! Selects the tasks to remove from a machine that has more bookings than its worker can list
//! in one message. Placement makes no such bookings; a program version without the limit does.
//!
//! Tasks of arrays are removed first, and only those of the jobs with the most tasks, so that
//! all other jobs on the machine go on undisturbed. The selection does not change while it is
//! carried out.

use std::cmp::Reverse;
use std::collections::HashSet;

use super::task_on_machine::TaskOnMachine;
use crate::state::records::Job;
use crate::state::replica::Replica;
use crate::wire::{JobKind, MAX_TASKS_PER_MESSAGE, TaskStage};

/// Progress of a booked task. Tasks that have made less are removed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// The task has ended, and its booking is about to be released.
    Ended,
    /// The task is not on the machine.
    Absent,
    /// The task is on the machine.
    Present,
}

/// Returns the booked tasks that the machine has too many of; none if the worker can list all
/// of them. `stage_of` returns the stage in which the worker reports a task, if it does.
pub(super) fn surplus_tasks<'a>(
    machine: &str,
    replica: &'a Replica,
    stage_of: impl Fn(&TaskOnMachine) -> Option<TaskStage>,
) -> HashSet<TaskOnMachine<'a>> {
    let mut surplus = HashSet::new();
    if replica.booked_on(machine).tasks <= MAX_TASKS_PER_MESSAGE as i64 {
        return surplus;
    }
    let (arrays, others): (Vec<_>, Vec<_>) = replica
        .jobs_on(machine)
        .filter(|(_, entry)| entry.value.is_open())
        .map(|(id, entry)| (&entry.value, staying_tasks(id, &entry.value, machine)))
        .partition(|(job, _)| is_array(job));
    let mut remaining = MAX_TASKS_PER_MESSAGE;
    for group in [others, arrays] {
        let jobs: Vec<Vec<TaskOnMachine>> = group.into_iter().map(|(_, tasks)| tasks).collect();
        let cap = tasks_per_job(jobs.iter().map(Vec::len).collect(), remaining);
        for mut tasks in jobs {
            tasks.sort_by_key(|task| {
                let progress = progress(stage_of(task));
                (progress, Reverse((task.number, task.attempt)))
            });
            let excess = tasks.len().saturating_sub(cap);
            remaining = remaining.saturating_sub(tasks.len() - excess);
            surplus.extend(tasks.into_iter().take(excess));
        }
    }
    surplus
}

fn is_array(job: &Job) -> bool {
    let spec = job.spec.as_ref();
    spec.is_some_and(|spec| spec.kind == JobKind::Array)
}

fn progress(stage: Option<TaskStage>) -> Progress {
    match stage {
        Some(TaskStage::Ended) => Progress::Ended,
        Some(_) => Progress::Present,
        None => Progress::Absent,
    }
}

/// Returns the tasks of a job that are booked on a machine and not to be stopped.
fn staying_tasks<'a>(id: &'a str, job: &'a Job, machine: &str) -> Vec<TaskOnMachine<'a>> {
    let runs = job.runs.iter();
    let runs = runs.filter(|run| run.machine == machine && !run.stop);
    let tasks = runs.flat_map(|run| run.tasks.iter().map(move |number| (number, run.attempt)));
    tasks
        .map(|(number, attempt)| TaskOnMachine {
            job: id,
            number,
            attempt,
        })
        .collect()
}

/// Returns the number of tasks that each job may keep so that no more than `limit` remain in
/// total. Jobs with fewer tasks keep all of theirs.
fn tasks_per_job(mut counts: Vec<usize>, limit: usize) -> usize {
    counts.sort_unstable();
    let mut remaining = limit;
    for (index, count) in counts.iter().enumerate() {
        let share = remaining / (counts.len() - index);
        if *count > share {
            return share;
        }
        remaining -= count;
    }
    usize::MAX
}
