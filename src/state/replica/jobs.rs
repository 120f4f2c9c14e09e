//! Applies job records to the replica and maintains the indexes that are derived from
//! them: bookings by machine, resources in use, and images.

use std::collections::BTreeSet;

use foldhash::HashMap;

use super::{Replica, Versioned};
use crate::state::records::{Capacity, Job, NumberSet, Run};

/// Maximum number of images that the replica remembers per machine.
const MAX_IMAGES_PER_MACHINE: usize = 16;

/// Approximate number of bytes that a booked task of a gang takes in the job's record.
const GANG_TASK_BYTES: usize = 20;

/// Returns whether a job is open and its names take more than half of `max_bytes`, the
/// maximum size of a record. For a gang, the space that all tasks take once they are booked
/// is added to that of the names.
pub(super) fn is_long(job: &Job, max_bytes: usize) -> bool {
    let Some(spec) = job.spec.as_ref().filter(|_| job.is_open()) else {
        return false;
    };
    let placed_bytes = match spec.is_gang() {
        true => spec.tasks as usize * GANG_TASK_BYTES,
        false => 0,
    };
    spec.names_bytes() + placed_bytes > max_bytes / 2
}

/// Properties that identify a run within its job.
#[derive(PartialEq, Eq, Hash)]
struct RunKey<'a> {
    machine: &'a str,
    attempt: u64,
    stop: bool,
}

impl<'a> From<&'a Run> for RunKey<'a> {
    fn from(run: &'a Run) -> Self {
        RunKey {
            machine: &run.machine,
            attempt: run.attempt,
            stop: run.stop,
        }
    }
}

/// Tasks of a job's runs, by run.
type TasksByRun<'a> = HashMap<RunKey<'a>, &'a NumberSet>;

/// Returns the tasks of a job by run; empty if there is no job.
fn tasks_by_run(job: Option<&Job>) -> TasksByRun<'_> {
    let runs = job.into_iter().flat_map(|job| &job.runs);
    runs.map(|run| (RunKey::from(run), &run.tasks)).collect()
}

/// Returns the machines on which the runs are booked.
fn machines_of<'a>(runs: &TasksByRun<'a>) -> BTreeSet<&'a str> {
    runs.keys().map(|key| key.machine).collect()
}

/// Change of a job's bookings: they are added to the totals of booked resources, or removed
/// from them.
#[derive(Clone, Copy)]
enum BookingChange {
    Add,
    Remove,
}

impl BookingChange {
    /// Returns the factor by which the amounts are multiplied before they are added.
    fn sign(self) -> i64 {
        match self {
            BookingChange::Add => 1,
            BookingChange::Remove => -1,
        }
    }
}

impl Replica {
    /// Applies a job's record, or its removal.
    pub(super) fn set_job(&mut self, id: &str, version: u64, job: Option<Job>) {
        if self
            .jobs
            .get(id)
            .is_some_and(|entry| entry.version >= version)
        {
            return;
        }
        if job.is_none() && self.is_unreadable_job(id) && !self.is_open_or_unknown(id) {
            // The record has become unreadable, but the job was final when it was last read.
            // A final job never becomes open again, so the known record is kept.
            return;
        }
        let old = self.jobs.remove(id).map(|entry| entry.value);
        self.long_jobs.remove(id);
        self.index_job(id, old.as_ref(), job.as_ref());
        if let Some(job) = job {
            self.place_job(id, version, job);
        }
    }

    /// Returns whether a job is open or the replica does not contain it.
    fn is_open_or_unknown(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|entry| entry.value.is_open())
    }

    /// Inserts a job into the table and into the dependency graph.
    pub(super) fn place_job(&mut self, id: &str, version: u64, job: Job) {
        let limit = self.compact_limit;
        if limit.is_some_and(|max_bytes| is_long(&job, max_bytes)) {
            self.long_jobs.insert(id.to_string());
        }
        let value = job;
        self.jobs
            .insert(id.to_string(), Versioned { version, value });
        self.index_job_dependencies(id);
    }

    /// Updates the indexes that are derived from a job's runs.
    fn index_job(&mut self, id: &str, old: Option<&Job>, new: Option<&Job>) {
        self.count_bookings(old, BookingChange::Remove);
        self.count_bookings(new, BookingChange::Add);
        let (before, after) = (tasks_by_run(old), tasks_by_run(new));
        let is_open = |job: Option<&Job>| job.is_some_and(Job::is_open);
        // If the job has become open or final, all of its machines count as changed, even
        // those on which the job has the same runs as before.
        let all_changed = is_open(old) != is_open(new);
        self.mark_changed_machines(&before, &after, all_changed);
        self.mark_changed_machines(&after, &before, all_changed);
        let (machines_before, machines_after) = (machines_of(&before), machines_of(&after));
        for machine in machines_before.difference(&machines_after) {
            self.remove_booking(machine, id);
        }
        let spec = new.and_then(|job| job.spec.as_ref());
        let image = spec.map(|spec| self.image_names.number(&spec.image));
        for machine in machines_after.difference(&machines_before) {
            let jobs = self.bookings.entry(machine.to_string()).or_default();
            jobs.insert(id.to_string());
            if let Some(image) = image {
                self.remember_image(machine, image);
            }
        }
        if let Some(old) = old.filter(|job| job.is_open()) {
            self.unindex_job_dependencies(id, old);
        }
    }

    /// Adds the resources of a job's runs to the totals, or subtracts them.
    fn count_bookings(&mut self, job: Option<&Job>, change: BookingChange) {
        let Some(job) = job else { return };
        let Some(spec) = &job.spec else { return };
        let mut tasks = 0;
        for run in &job.runs {
            tasks += run.tasks.len();
            let taken = Capacity::of_tasks(&spec.need, run.tasks.len());
            let machine = self.machine_names.number(&run.machine);
            let booked = self.booked.entry(machine).or_default();
            match change {
                BookingChange::Add => *booked += taken,
                BookingChange::Remove => *booked -= taken,
            }
        }
        if tasks == 0 {
            return;
        }
        let resources = spec.need.scaled(change.sign() * tasks as i64);
        *self.team_booked.entry(spec.team.clone()).or_default() += resources;
        let by_share = self.share_booked.entry(spec.team.clone()).or_default();
        by_share.add(job.share.as_ref(), resources);
    }

    /// Marks machines as changed: those whose runs differ from the runs in `others`, or
    /// the machines of all runs if `all` is set.
    fn mark_changed_machines(&mut self, runs: &TasksByRun, others: &TasksByRun, all: bool) {
        for (key, tasks) in runs {
            if all || others.get(key) != Some(tasks) {
                self.changes.machines.insert(key.machine.to_string());
            }
        }
    }

    /// Removes a job from the index of the jobs that have bookings on a machine.
    fn remove_booking(&mut self, machine: &str, id: &str) {
        let Some(jobs) = self.bookings.get_mut(machine) else {
            return;
        };
        jobs.remove(id);
        if jobs.is_empty() {
            self.bookings.remove(machine);
        }
    }

    /// Records that a task with an image was booked on a machine, which therefore fetches the
    /// image. If too many images are recorded for the machine, the oldest one is dropped.
    fn remember_image(&mut self, machine: &str, image: u32) {
        let machine = self.machine_names.number(machine);
        let images = self.images.entry(machine).or_default();
        if images.last() == Some(&image) {
            return;
        }
        images.retain(|known| *known != image);
        images.push(image);
        if images.len() > MAX_IMAGES_PER_MACHINE {
            images.remove(0);
        }
    }
}
