//! Trims job records that would exceed the upcoming size limit of the state service.
//!
//! An older version may have accepted a specification that is nearly as long as the lower
//! limit allows a whole record to be, with dozens of machine types or names of hundreds of
//! characters. The record must stay writable, as otherwise neither a cancellation nor the
//! end of a task could be recorded. Trimming drops data that no longer affects any
//! decision and replaces long names by short ones. It uses only fields that every version
//! reads and needs no new format.

use std::collections::BTreeSet;

use crate::hash::fnv1a;
use crate::state::records::{Job, JobSpec, NumberSet};
use crate::wire::MachineType;

/// Information that trimming needs beside the job.
pub struct TrimContext<'a> {
    /// Machine types of the cloud as last read; empty if not known yet.
    pub machine_types: &'a [MachineType],
    /// Job classes that an objective of the settings names.
    pub slo_classes: &'a BTreeSet<String>,
    /// Function that returns whether a job, given by its id, is done.
    pub is_done: &'a dyn Fn(&str) -> bool,
}

/// Returns the record trimmed just enough to satisfy `fits`, or as far as possible if it
/// never does. Returns `None` if the record fits already or nothing can be trimmed.
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

/// Trims a job that is done or cancelled, which starts no more tasks. Data that its last
/// runs need is kept: the team, the resources of a task, the kind of job, and the counts
/// that are shown to its user.
fn trim_final_job(job: &mut Job) {
    job.failed_on.clear();
    // The number of done tasks is computed as the started tasks less the tasks to retry.
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
/// and that have the capacity for a task of the job. A type that was not allowed never
/// becomes allowed: if no type would be left, or the machine types are not known, the list
/// stays unchanged.
fn narrow_types(spec: &mut JobSpec, context: &TrimContext) {
    let usable = |machine_type: &&MachineType| {
        let mut zones = machine_type.zones.iter();
        spec.allows_type(&machine_type.name)
            && machine_type.resources().fits(&spec.need)
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

/// Shortens the name of the image. Workers pull the image by the job's full description;
/// the name in the record only serves to find machines that are likely to have the image.
fn shorten_image(spec: &mut JobSpec, _: &TrimContext) {
    shorten(&mut spec.image);
}

/// Shortens the name of the job class, unless an objective names the class or the shortened
/// name: the class is compared with those of the objectives, and shown to operators.
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

/// Replaces a long name by its first characters and a hash of the full name. A name is
/// shortened to the same text by every controller, and different names to different texts.
fn shorten(name: &mut String) {
    if name.len() <= MAX_SHORTENED_BYTES {
        return;
    }
    let hash = fnv1a(name.bytes());
    let start: String = name.chars().take(KEPT_CHARS).collect();
    *name = format!("{start}{SHORTENED_SEPARATOR}{hash:016x}");
}
