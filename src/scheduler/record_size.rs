//! How many bookings fit into the size limit of a job record, in either encoding.

use std::collections::HashSet;

use super::plan::TaskPlacement;
use crate::state::encoding;
use crate::state::record_bound::{failed_on_bytes, short_fixed_bytes};
use crate::state::records::{Job, Run, Spec};

/// What the keys, the counters, and the mark of a run that was split for a stop
/// take in a record.
const FIXED_BYTES: usize = 240;

/// What a run takes in a record, beside its names and numbers.
const RUN_BYTES: usize = 72;

/// How many of `placements` the job's record can hold: every booked or retried
/// task may come to stand alone, every machine and attempt takes a run. Fresh
/// tasks share one attempt, see [`super::book`].
pub fn tasks_within_record_limit(
    job: &Job,
    placements: &[TaskPlacement],
    value_limit_bytes: usize,
    compact: bool,
) -> usize {
    if compact {
        return tasks_within_compact_limit(job, placements, value_limit_bytes);
    }
    // A number and its comma; of two that touch, the dash between.
    let task_bytes = digits(u64::from(job.tasks)) + 1;
    let mut size = FIXED_BYTES + spec_bytes(job, value_limit_bytes);
    size += failed_on_bytes(longest_machine_name(job, placements));
    size += (job.booked() + job.retry.len()) * task_bytes;
    for run in &job.runs {
        size += run_bytes(&run.machine, &run.zone, run.attempt);
    }
    let mut machines = HashSet::new();
    for (index, placement) in placements.iter().enumerate() {
        size += task_bytes;
        if machines.insert(placement.slot_index) {
            size += run_bytes(&placement.machine, &placement.zone, job.attempt + 2);
            // Retried and fresh tasks may meet on one machine.
            if !job.retry.is_empty() {
                size += run_bytes(&placement.machine, &placement.zone, 1);
            }
        }
        if size > value_limit_bytes {
            return index;
        }
    }
    placements.len()
}

fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

fn run_bytes(machine: &str, zone: &str, attempt: u64) -> usize {
    machine.len() + zone.len() + digits(attempt) + RUN_BYTES
}

/// What the job's spec takes, without the jobs that it depends on: they are left
/// out with its first booking. One that cannot be written fills the record.
fn spec_bytes(job: &Job, value_limit_bytes: usize) -> usize {
    let all = serde_json::to_vec(&job.spec).map_or(value_limit_bytes, |text| text.len());
    let dependencies = job.spec.as_ref().map_or(0, Spec::dependencies_bytes);
    all - dependencies.min(all)
}

/// The length of the longest name among the machines that the job may come to
/// have failed on.
fn longest_machine_name(job: &Job, placements: &[TaskPlacement]) -> usize {
    let running = job.runs.iter().map(|run| run.machine.len());
    let coming = placements.iter().map(|placement| placement.machine.len());
    let failed = job.failed_on.iter().map(String::len);
    running.chain(coming).chain(failed).max().unwrap_or(0)
}

/// The same for the compact encoding: exact in what the runs and tasks can come to
/// take, with the mark of a stop. A run that is split for a stop makes two; who
/// stops has it stop as a whole where that would not fit.
fn tasks_within_compact_limit(
    job: &Job,
    placements: &[TaskPlacement],
    value_limit_bytes: usize,
) -> usize {
    let task_bytes = encoding::task_bytes(job.tasks);
    let is_gang = job.spec.as_ref().is_some_and(Spec::is_gang);
    let mut new_runs = NewRuns::new(job);
    let mut size = compact_bytes_now(job, placements, task_bytes);
    for (index, placement) in placements.iter().enumerate() {
        let retried = is_gang || index < job.retry.len();
        // A retried task is counted among those that wait already.
        if is_gang || !retried {
            size += task_bytes;
        }
        size += match retried {
            true => new_runs.retried_task_bytes(placement),
            false => new_runs.fresh_task_bytes(placement),
        };
        if size > value_limit_bytes {
            return index;
        }
    }
    placements.len()
}

/// What the compact record takes before the placements are booked, with the table of
/// their machines.
fn compact_bytes_now(job: &Job, placements: &[TaskPlacement], task_bytes: usize) -> usize {
    let running = job.runs.iter().map(|run| (&*run.machine, &*run.zone));
    let coming = placements
        .iter()
        .map(|placement| (&*placement.machine, &*placement.zone));
    let run_bytes = |run: &Run| encoding::run_bytes(run.attempt);
    short_fixed_bytes(job, longest_machine_name(job, placements))
        + encoding::table_bytes(running.chain(coming))
        + (job.booked() + job.retry.len()) * task_bytes
        + job.runs.iter().map(run_bytes).sum::<usize>()
}

/// The runs that bookings add to a compact record. Retried tasks take a new attempt,
/// fresh ones share the first: a run of it that is there already takes them in.
struct NewRuns<'a> {
    retry_attempt: u64,
    /// Machines with a run of the first attempt.
    running: HashSet<&'a str>,
    retried: HashSet<usize>,
    fresh: HashSet<usize>,
}

impl<'a> NewRuns<'a> {
    fn new(job: &'a Job) -> Self {
        let first_attempt = job.runs.iter().filter(|run| run.attempt == 1 && !run.stop);
        NewRuns {
            retry_attempt: job.attempt + 2,
            running: first_attempt.map(|run| &*run.machine).collect(),
            retried: HashSet::new(),
            fresh: HashSet::new(),
        }
    }

    /// What the run of a retried task adds at this placement.
    fn retried_task_bytes(&mut self, placement: &TaskPlacement) -> usize {
        match self.retried.insert(placement.slot_index) {
            true => encoding::run_bytes(self.retry_attempt),
            false => 0,
        }
    }

    /// What the run of a task adds at this placement that has never run.
    fn fresh_task_bytes(&mut self, placement: &TaskPlacement) -> usize {
        let new =
            !self.running.contains(&*placement.machine) && self.fresh.insert(placement.slot_index);
        if new { encoding::run_bytes(1) } else { 0 }
    }
}
