//! Trims job records that would exceed a lower size limit that the state service has
//! announced.
//!
//! An older version of the scheduler may have accepted a job with dozens of machine types
//! or with names of hundreds of characters. The specification alone may then be nearly as
//! long as the lower limit allows a whole record to be. The record must stay writable, as
//! otherwise neither a cancellation nor the end of a task could be recorded. Trimming drops
//! data that no longer affects any decision and replaces long names by short ones. A
//! trimmed record has only fields that every version reads, so it needs no new format.

use std::collections::BTreeSet;

use crate::hash::fnv1a;
use crate::state::records::{Job, JobSpec, NumberSet};
use crate::wire::MachineType;

/// Information about the rest of the cluster that determines what may be trimmed.
pub struct TrimContext<'a> {
    /// Machine types of the cloud as last read; empty if not known yet.
    pub machine_types: &'a [MachineType],
    /// Job classes for which the settings define an objective.
    pub slo_classes: &'a BTreeSet<String>,
    /// Function that returns whether a job, given by its id, is done.
    pub is_done: &'a dyn Fn(&str) -> bool,
}

/// Returns the trimmed record of a job. An open job is trimmed only until it satisfies
/// `fits`, or as far as possible if it never does; a final job is trimmed as far as
/// possible. Returns `None` if the record fits already or nothing can be trimmed.
pub fn trim_job(job: &Job, context: &TrimContext, fits: impl Fn(&Job) -> bool) -> Option<Job> {
    if fits(job) {
        return None;
    }
    let mut trimmed = job.clone();
    match job.is_open() {
        true => trim_open_job(&mut trimmed, context, fits),
        false => trim_final_job(&mut trimmed),
    }
    (trimmed != *job).then_some(trimmed)
}

/// Trims an open job step by step until it fits. The steps begin with the data that affects
/// the fewest decisions.
fn trim_open_job(job: &mut Job, context: &TrimContext, fits: impl Fn(&Job) -> bool) {
    let steps: [fn(&mut JobSpec, &TrimContext); 4] = [
        drop_done_dependencies,
        narrow_types,
        shorten_image,
        shorten_class,
    ];
    for step in steps {
        if let Some(spec) = &mut job.spec {
            step(spec, context);
        }
        if fits(job) {
            return;
        }
    }
}

/// Trims a job that is done or cancelled. Such a job starts no more tasks, but some of its
/// tasks may still be booked. The data that releasing them needs is kept: the team, the
/// resources of a task and the kind of job. The counts that users see are kept as well.
fn trim_final_job(job: &mut Job) {
    job.failed_on.clear();
    // The number of done tasks is the number of started tasks less those to retry or booked.
    // Subtracting the tasks to retry here leaves the result unchanged after they are dropped.
    job.next_task = job.next_task.saturating_sub(job.retry.len() as u32);
    job.retry = NumberSet::default();
    if let Some(spec) = &mut job.spec {
        spec.class.clear();
        spec.image.clear();
        spec.types = None;
        spec.zone = None;
        spec.deadline_s = None;
        spec.dependencies.clear();
    }
}

/// Drops the dependencies that are done. A done job never becomes open again.
fn drop_done_dependencies(spec: &mut JobSpec, context: &TrimContext) {
    spec.dependencies.retain(|id| !(context.is_done)(id));
}

/// Restricts the allowed machine types to those that the cloud offers in an allowed zone
/// and that have the capacity for a task of the job. A type that was not
/// allowed never becomes allowed. The list stays unchanged if no type would be left or if
/// the machine types are not known.
fn narrow_types(spec: &mut JobSpec, context: &TrimContext) {
    let usable = |machine_type: &&MachineType| {
        let mut zones = machine_type.zones.iter();
        spec.allows_type(&machine_type.name)
            && machine_type.capacity().fits_task(&spec.need)
            && zones.any(|zone| spec.zone.as_ref().is_none_or(|only| only == zone))
    };
    let offered = context.machine_types.iter().filter(usable);
    let names: BTreeSet<String> = offered
        .map(|machine_type| machine_type.name.clone())
        .collect();
    if spec.types.is_some() && !names.is_empty() {
        spec.types = Some(names.into_iter().collect());
    }
}

/// Shortens the name of the image. A worker does not use this name to pull the image: it
/// uses the job's full description. The scheduler uses the name in the record only to find
/// machines that are likely to have the image.
fn shorten_image(spec: &mut JobSpec, _: &TrimContext) {
    shorten(&mut spec.image);
}

/// Shortens the name of the job class, unless there is an objective for the class or for a
/// class with the shortened name. Objectives are matched by class, so the job would otherwise
/// lose its objective or come under that of another class. Apart from that, the class is
/// only shown to operators.
fn shorten_class(spec: &mut JobSpec, context: &TrimContext) {
    let has_slo = |class: &String| context.slo_classes.contains(class);
    let mut class = spec.class.clone();
    shorten(&mut class);
    if !has_slo(&spec.class) && !has_slo(&class) {
        spec.class = class;
    }
}

/// Separator between the prefix and the hash in a shortened name.
const SHORTENED_SEPARATOR: char = '~';

/// Number of leading characters that are kept in a shortened name, so that people recognize
/// it.
const KEPT_CHARS: usize = 8;

/// Maximum length of a shortened name, in bytes.
const MAX_SHORTENED_BYTES: usize = 1 + KEPT_CHARS * 4 + 16;

/// Replaces a long name by its first characters and a hash of the full name. All controllers
/// shorten a name to the same text, and the hash keeps different names apart.
fn shorten(name: &mut String) {
    if name.len() <= MAX_SHORTENED_BYTES {
        return;
    }
    let hash = fnv1a(name.bytes());
    let start: String = name.chars().take(KEPT_CHARS).collect();
    *name = format!("{start}{SHORTENED_SEPARATOR}{hash:016x}");
}
