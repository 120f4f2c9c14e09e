//! How many bookings fit into the size limit of a job record.

use std::collections::HashSet;

use super::plan::Place;
use crate::model::{FAILED_ON, Job, Spec};
use crate::text;
use crate::wire::Kind;

/// How many of `places` the job's record can hold: every booked or retried
/// task may come to stand alone, every machine and attempt takes a run. Fresh
/// tasks share one attempt, see `placement::book`.
pub fn record_slots(job: &Job, places: &[Place], value_bytes: usize, short: bool) -> usize {
    if short {
        return short_record_slots(job, places, value_bytes);
    }
    // Keys, counters, and the mark of a run that was split for a stop.
    const FIXED: usize = 240;
    const RUN: usize = 72;
    let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
    // A number and its comma; of two that touch, the dash between.
    let task = digits(u64::from(job.tasks)) + 1;
    let run =
        |machine: &str, zone: &str, attempt| machine.len() + zone.len() + digits(attempt) + RUN;
    let spec = serde_json::to_vec(&job.spec).map_or(value_bytes, |v| v.len());
    // What it awaits is left out with its first booking.
    let awaits = job.spec.as_ref().map_or(0, Spec::awaits_bytes);
    let spec = spec - awaits.min(spec);
    // The machines that it may come to have failed on, with quotes and comma.
    let named = job.runs.iter().map(|r| r.machine.len());
    let named = named.chain(places.iter().map(|p| p.machine.len()));
    let named = named.chain(job.failed_on.iter().map(String::len));
    let failed_on = FAILED_ON * (named.max().unwrap_or(0) + 3);
    let mut size = FIXED + spec + failed_on + (job.booked() + job.retry.len()) * task;
    for r in &job.runs {
        size += run(&r.machine, &r.zone, r.attempt);
    }
    let mut machines = HashSet::new();
    for (n, place) in places.iter().enumerate() {
        size += task;
        if machines.insert(place.at) {
            size += run(&place.machine, &place.zone, job.attempt + 2);
            // Retried and fresh tasks may meet on one machine.
            if !job.retry.is_empty() {
                size += run(&place.machine, &place.zone, 1);
            }
        }
        if size > value_bytes {
            return n;
        }
    }
    places.len()
}

/// What a job's short record takes beside its table, runs and tasks: counters as
/// they may come to be, its spec, and machines that it may come to have failed on.
fn short_fixed(job: &Job, longest_name: usize) -> usize {
    const COUNTERS: usize = 130;
    let spec = serde_json::to_vec(&job.spec).map_or(usize::MAX / 2, |v| v.len());
    COUNTERS + spec + FAILED_ON * (longest_name + 3)
}

/// The same for the short text: exact in what the runs and tasks can come to
/// take, with the mark of a stop. A run that is split for a stop makes two; who
/// stops has it stop as a whole where there is no room for that.
fn short_record_slots(job: &Job, places: &[Place], value_bytes: usize) -> usize {
    let named = job.runs.iter().map(|r| &*r.machine);
    let named = named.chain(places.iter().map(|p| &*p.machine));
    let named = named.chain(job.failed_on.iter().map(String::as_str));
    let fixed = short_fixed(job, named.map(str::len).max().unwrap_or(0));
    let task = text::task_bytes(job.tasks);
    let here = job.runs.iter().map(|r| (&*r.machine, &*r.zone));
    let there = places.iter().map(|p| (&*p.machine, &*p.zone));
    let mut size = fixed + text::table_bytes(here.chain(there));
    size += (job.booked() + job.retry.len()) * task;
    size += job
        .runs
        .iter()
        .map(|r| text::run_bytes(r.attempt))
        .sum::<usize>();
    // Retried tasks take a new attempt, fresh ones share the first: a run that
    // is there already takes them in.
    let (mut again, mut first) = (HashSet::new(), HashSet::new());
    let running: HashSet<&str> = job
        .runs
        .iter()
        .filter(|r| r.attempt == 1 && !r.stop)
        .map(|r| &*r.machine)
        .collect();
    let gang = job.spec.as_ref().is_some_and(Spec::is_gang);
    for (n, place) in places.iter().enumerate() {
        let retried = gang || n < job.retry.len();
        // It is counted among those that wait already.
        if gang || !retried {
            size += task;
        }
        size += match retried {
            true if again.insert(place.at) => text::run_bytes(job.attempt + 2),
            false if !running.contains(&*place.machine) && first.insert(place.at) => {
                text::run_bytes(1)
            }
            _ => 0,
        };
        if size > value_bytes {
            return n;
        }
    }
    places.len()
}

/// The least that a job's record takes while it runs: a gang's tasks all at
/// once, of other jobs one; on machines with such names, in such zones.
pub fn least_record(spec: &Spec, name: &str, zone: &str) -> usize {
    let job = Job::new(spec.clone(), u64::from(u32::MAX));
    let tasks = match spec.kind {
        Kind::Gang => spec.tasks as usize,
        _ => 1,
    };
    let each = text::run_bytes(1000) + text::task_bytes(spec.tasks);
    short_fixed(&job, name.len()) + text::table_bytes([(name, zone)].into_iter()) + tasks * each
}
