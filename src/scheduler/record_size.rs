//! Number of bookings that fit into the size limit of a job's record, in either encoding.

use std::collections::HashSet;

use super::plan::TaskPlacement;
use crate::state::encoding;
use crate::state::record_bound::{compact_fixed_bytes, failed_on_bytes};
use crate::state::records::{Job, JobSpec, Run};

/// Size of the keys, the counters, and the mark of a run that was split for a stop, in
/// bytes.
const FIXED_BYTES: usize = 240;

/// Size of a run in a record without its names and numbers, in bytes.
const RUN_BYTES: usize = 72;

/// Returns the number of `placements` that the job's record has space for. The estimate
/// assumes that no two booked or retried tasks can be written as a range, and that every
/// machine and attempt needs a run of its own. Tasks that were never started share one
/// attempt, see [`super::book`].
pub fn tasks_within_record_limit(
    job: &Job,
    placements: &[TaskPlacement],
    value_limit_bytes: usize,
    compact: bool,
) -> usize {
    if compact {
        return tasks_within_compact_limit(job, placements, value_limit_bytes);
    }
    // A task takes its number and a comma. In a range of successive tasks, a dash takes
    // the place of the comma.
    let task_bytes = digits(u64::from(job.tasks)) + 1;
    let mut size = FIXED_BYTES + spec_bytes(job, value_limit_bytes);
    size += failed_on_bytes(longest_machine_name(job, placements));
    size += (job.booked_count() + job.retry.len()) * task_bytes;
    for run in &job.runs {
        size += run_bytes(&run.machine, &run.zone, run.attempt);
    }
    let mut machines = HashSet::new();
    for (index, placement) in placements.iter().enumerate() {
        size += task_bytes;
        if machines.insert(placement.slot_index) {
            size += run_bytes(&placement.machine, &placement.zone, job.attempt + 2);
            // Retried tasks and tasks that were never started may be placed on the same
            // machine.
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

/// Returns the size of the job's spec in bytes, without the job's dependencies, which are
/// removed from the record by the first booking. A spec that cannot be encoded counts as
/// the whole record.
fn spec_bytes(job: &Job, value_limit_bytes: usize) -> usize {
    let all = serde_json::to_vec(&job.spec).map_or(value_limit_bytes, |text| text.len());
    let dependencies = job.spec.as_ref().map_or(0, JobSpec::dependencies_bytes);
    all - dependencies.min(all)
}

/// Returns the length of the longest machine name that the job's list of failed machines
/// may contain after the placements are booked, in bytes.
fn longest_machine_name(job: &Job, placements: &[TaskPlacement]) -> usize {
    let running = job.runs.iter().map(|run| run.machine.len());
    let planned = placements.iter().map(|placement| placement.machine.len());
    let failed = job.failed_on.iter().map(String::len);
    running.chain(planned).chain(failed).max().unwrap_or(0)
}

/// Returns the number of placements that the job's compact record has space for. The
/// result takes exact account of the largest size that the runs and tasks can reach,
/// including the mark of a stop. A stop may split a run into two; if the second run does
/// not fit into the record, the code that stops the tasks stops the whole run instead.
fn tasks_within_compact_limit(
    job: &Job,
    placements: &[TaskPlacement],
    value_limit_bytes: usize,
) -> usize {
    let task_bytes = encoding::task_bytes(job.tasks);
    let is_gang = job.spec.as_ref().is_some_and(JobSpec::is_gang);
    let mut new_runs = NewRuns::new(job);
    let mut size = current_compact_bytes(job, placements, task_bytes);
    for (index, placement) in placements.iter().enumerate() {
        let retried = is_gang || index < job.retry.len();
        // A retried task is already counted in the current size of the record.
        if is_gang || !retried {
            size += task_bytes;
        }
        size += match retried {
            true => new_runs.retried_task_bytes(placement),
            false => new_runs.unstarted_task_bytes(placement),
        };
        if size > value_limit_bytes {
            return index;
        }
    }
    placements.len()
}

/// Returns the size of the job's compact record before the placements are booked, in bytes.
/// The table of machines is counted with the machines of the placements.
fn current_compact_bytes(job: &Job, placements: &[TaskPlacement], task_bytes: usize) -> usize {
    let running = job.runs.iter().map(|run| (&*run.machine, &*run.zone));
    let planned = placements
        .iter()
        .map(|placement| (&*placement.machine, &*placement.zone));
    let run_bytes = |run: &Run| encoding::run_bytes(run.attempt);
    compact_fixed_bytes(job, longest_machine_name(job, placements))
        + encoding::table_bytes(running.chain(planned))
        + (job.booked_count() + job.retry.len()) * task_bytes
        + job.runs.iter().map(run_bytes).sum::<usize>()
}

/// Runs that bookings add to a compact record. Retried tasks get a new attempt. Tasks that
/// were never started share the first attempt, and join an existing run of that attempt on
/// their machine.
struct NewRuns<'a> {
    /// Upper bound of the attempt number that retried tasks get.
    retry_attempt: u64,
    /// Names of the machines with a run of the first attempt.
    first_attempt_machines: HashSet<&'a str>,
    /// Machines with a new run of retried tasks, by their index in the plan.
    retried: HashSet<usize>,
    /// Machines with a new run of tasks that were never started, by their index in the
    /// plan.
    unstarted: HashSet<usize>,
}

impl<'a> NewRuns<'a> {
    fn new(job: &'a Job) -> Self {
        let first_attempt = job.runs.iter().filter(|run| run.attempt == 1 && !run.stop);
        NewRuns {
            retry_attempt: job.attempt + 2,
            first_attempt_machines: first_attempt.map(|run| &*run.machine).collect(),
            retried: HashSet::new(),
            unstarted: HashSet::new(),
        }
    }

    /// Returns the number of bytes that the run of a retried task adds at this placement,
    /// which is 0 if the run exists already.
    fn retried_task_bytes(&mut self, placement: &TaskPlacement) -> usize {
        match self.retried.insert(placement.slot_index) {
            true => encoding::run_bytes(self.retry_attempt),
            false => 0,
        }
    }

    /// Returns the number of bytes that the run of a task that was never started adds at
    /// this placement, which is 0 if the run exists already.
    fn unstarted_task_bytes(&mut self, placement: &TaskPlacement) -> usize {
        let new = !self.first_attempt_machines.contains(&*placement.machine)
            && self.unstarted.insert(placement.slot_index);
        if new { encoding::run_bytes(1) } else { 0 }
    }
}
