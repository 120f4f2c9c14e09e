//! Trims a job's record that would exceed the coming limit of the state service.
//!
//! An older version may have accepted a specification that is nearly as long as
//! a record may be after the limits fall: dozens of machine types, names of
//! hundreds of characters. Its record must stay writable, or neither a
//! cancellation nor the end of a task could be recorded. What nothing decides by
//! any more is left out, and long names are replaced by short ones, in fields
//! that every version reads: no field or format is new.

use std::collections::BTreeSet;

use crate::hash::fnv1a;
use crate::state::records::{Job, Ranges, Spec};
use crate::wire::MachineType;

/// What trimming goes by, beside the job itself.
pub struct TrimContext<'a> {
    /// The cloud's machine types as last read; empty if not known yet.
    pub machine_types: &'a [MachineType],
    /// Classes that an objective of the settings names.
    pub slo_classes: &'a BTreeSet<String>,
    /// Whether an awaited job is done, for good.
    pub is_done: &'a dyn Fn(&str) -> bool,
}

/// The record with as little left out as makes it fit, by `fits`; with all that
/// may be left out if none does. `None` if nothing has to be, or can be.
pub fn trim_job(job: &Job, context: &TrimContext, fits: impl Fn(&Job) -> bool) -> Option<Job> {
    if fits(job) {
        return None;
    }
    let mut trimmed = job.clone();
    match job.is_open() {
        true => trim_open(&mut trimmed, context, fits),
        false => trim_closed(&mut trimmed),
    }
    (trimmed != *job).then_some(trimmed)
}

/// What decides least goes first.
fn trim_open(job: &mut Job, context: &TrimContext, fits: impl Fn(&Job) -> bool) {
    let steps: [fn(&mut Spec, &TrimContext); 4] = [
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

/// A job that is done or cancelled starts no task any more. What its last runs
/// still need is kept: the team and the room that they take, the kind of job and
/// the counts that its user is told.
fn trim_closed(job: &mut Job) {
    job.failed_on.clear();
    // The count of tasks that are done is what was started, less these.
    job.next_task = job.next_task.saturating_sub(job.retry.len() as u32);
    job.retry = Ranges::default();
    if let Some(spec) = &mut job.spec {
        spec.class.clear();
        spec.image.clear();
        spec.types = None;
        spec.zone = None;
        spec.deadline_s = None;
        spec.dependencies.clear();
    }
}

/// What is done stays done: nothing waits for it again.
fn drop_done_dependencies(spec: &mut Spec, context: &TrimContext) {
    spec.dependencies.retain(|id| !(context.is_done)(id));
}

/// Keeps the types that the cloud offers where the job may run and that hold a
/// task of it. Never more than before are allowed: if none is left, or the types
/// are not known, all stay.
fn narrow_types(spec: &mut Spec, context: &TrimContext) {
    let usable = |machine_type: &&MachineType| {
        let mut zones = machine_type.zones.iter();
        spec.allows_type(&machine_type.name)
            && machine_type.resources().fits(&spec.need)
            && zones.any(|zone| spec.zone.as_ref().is_none_or(|only| only == zone))
    };
    let offered = context.machine_types.iter().filter(usable);
    let names: BTreeSet<String> = offered.map(|t| t.name.clone()).collect();
    if spec.types.is_some() && !names.is_empty() {
        spec.types = Some(names.into_iter().collect());
    }
}

/// Workers fetch the image by the job's own description; the name in the record
/// only tells which machines are likely to hold it already.
fn shorten_image(spec: &mut Spec, _: &TrimContext) {
    shorten(&mut spec.image);
}

/// A class is compared with those of the objectives, and shown to operators.
fn shorten_class(spec: &mut Spec, context: &TrimContext) {
    let has_slo = |class: &String| context.slo_classes.contains(class);
    let mut class = spec.class.clone();
    shorten(&mut class);
    if !has_slo(&spec.class) && !has_slo(&class) {
        spec.class = class;
    }
}

/// Marks a name that stands for a longer one.
const SHORTENED: char = '~';

/// How many of its characters are kept, so that people recognize it.
const KEPT_CHARS: usize = 8;

/// The length that every shortened name has at most, in bytes.
const SHORTENED_BYTES: usize = 1 + KEPT_CHARS * 4 + 16;

/// Replaces a long name by its first characters and a hash of all: the same name
/// gives the same text on every controller, and different ones different texts.
fn shorten(name: &mut String) {
    if name.len() <= SHORTENED_BYTES {
        return;
    }
    let hash = fnv1a(name.bytes());
    let start: String = name.chars().take(KEPT_CHARS).collect();
    *name = format!("{start}{SHORTENED}{hash:016x}");
}
