//! Checks of a submission: first of its form, then of whether the job can ever run.

use std::collections::BTreeSet;

use crate::scheduler;
use crate::settings::{Settings, TeamQuota};
use crate::state::records::{JobStatus, Spec, is_job_id};
use crate::state::replica::Replica;
use crate::wire::{Kind, Submission};

/// The most tasks that a job may have.
const MAX_TASKS: u32 = 100_000;

/// The largest amount of anything: of CPUs, gigabytes or seconds.
const MAX_AMOUNT: f64 = 1e9;

/// The longest name of a class, team, image, machine type or zone, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// The most machine types that a submission may name.
const MAX_TYPES: usize = 64;

/// What a record takes beside its spec before anything is booked, in bytes.
const EMPTY_RECORD_BYTES: usize = 150;

/// Why a submission is not accepted.
#[derive(Debug, PartialEq, Eq)]
pub enum SubmissionError {
    /// 400: its form is wrong, or no record can hold it.
    Malformed(String),
    /// 422: it can never run.
    Never(String),
    /// 503: not decidable yet.
    Unknown,
}

fn malformed(problem: impl Into<String>) -> SubmissionError {
    SubmissionError::Malformed(problem.into())
}

fn never(problem: impl Into<String>) -> SubmissionError {
    SubmissionError::Never(problem.into())
}

/// Reads a submission and checks its form; 400 on failure.
pub fn read_submission(body: &[u8]) -> Result<Submission, SubmissionError> {
    let submission = parse(body)?;
    check_identity(&submission)?;
    check_amounts(&submission)?;
    check_names(&submission)?;
    check_awaited_ids(&submission)?;
    Ok(submission)
}

fn parse(body: &[u8]) -> Result<Submission, SubmissionError> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|e| malformed(format!("not JSON: {e}")))?;
    if !value.is_object() {
        return Err(malformed("not an object"));
    }
    serde_json::from_value(value).map_err(|e| malformed(format!("field: {e}")))
}

fn check_identity(submission: &Submission) -> Result<(), SubmissionError> {
    if !is_job_id(&submission.id) {
        return Err(malformed("name_id: not of the form job-000412"));
    }
    if !(1..=MAX_TASKS).contains(&submission.tasks) {
        return Err(malformed("boards: must be 1 to 100000"));
    }
    Ok(())
}

fn check_amounts(submission: &Submission) -> Result<(), SubmissionError> {
    let amounts = [
        ("vcpus", Some(submission.cpus)),
        ("cards", Some(submission.gpus)),
        ("ram_gb", Some(submission.memory_gb)),
        ("pull_gb", Some(submission.image_gb)),
        ("expect_s", Some(submission.estimate_s)),
        ("notch_s", Some(submission.checkpoint_s)),
        ("stow_s", Some(submission.save_s)),
        ("due_s", submission.deadline_s),
    ];
    for (field, amount) in amounts {
        if amount.is_some_and(|a| !(0.0..=MAX_AMOUNT).contains(&a)) {
            return Err(malformed(format!("{field}: out of range")));
        }
    }
    Ok(())
}

fn check_names(submission: &Submission) -> Result<(), SubmissionError> {
    let names = [
        ("lot", Some(&submission.class)),
        ("crew", Some(&submission.team)),
        ("blueprint", Some(&submission.image)),
        ("yard", submission.zone.as_ref()),
    ];
    for (field, name) in names {
        if name.is_some_and(|n| n.len() > MAX_NAME_BYTES) {
            return Err(malformed(format!("{field}: too long")));
        }
    }
    let types = submission.types.as_deref().unwrap_or_default();
    if types.len() > MAX_TYPES || types.iter().any(|t| t.len() > MAX_NAME_BYTES) {
        return Err(malformed("grades: too many or too long"));
    }
    Ok(())
}

fn check_awaited_ids(submission: &Submission) -> Result<(), SubmissionError> {
    let mut ids = submission.dependencies.iter().flatten();
    match ids.find(|id| !is_job_id(id)) {
        Some(id) => {
            let start: String = id.chars().take(40).collect();
            Err(malformed(format!("awaits: not a job id: {start}")))
        }
        None => Ok(()),
    }
}

/// Whether the job can ever run: 422 if not, 503 if that is not known yet.
/// Returns what is to be recorded of it.
pub fn check_submission(
    submission: &Submission,
    settings: &Settings,
    replica: &Replica,
) -> Result<Spec, SubmissionError> {
    let mut spec = Spec::from(submission);
    let team = settings
        .team(&submission.team)
        .ok_or_else(|| never("crew: unknown team"))?;
    let zones = usable_zones(&spec, settings, replica)?;
    check_spread(&spec, zones)?;
    check_team_limit(&spec, team)?;
    check_awaited_jobs(&spec, replica)?;
    // What is done stays done: nothing needs to remember it.
    spec.dependencies
        .retain(|id| replica.effective_status(id) != Some(JobStatus::Done));
    check_record_size(&spec, settings, replica)?;
    Ok(spec)
}

/// The number of zones in which the cloud has machines that take a task.
fn usable_zones(
    spec: &Spec,
    settings: &Settings,
    replica: &Replica,
) -> Result<usize, SubmissionError> {
    let types = &replica.types.value.types;
    if types.is_empty() {
        return Err(SubmissionError::Unknown);
    }
    let configured = &settings.deployment.zones;
    if spec.zone.as_ref().is_some_and(|z| !configured.contains(z)) {
        return Err(never("yard: unknown zone"));
    }
    let zones: BTreeSet<&str> = types
        .iter()
        .filter(|t| spec.allows_type(&t.name) && t.resources().fits(&spec.need))
        .flat_map(|t| t.zones.iter().map(String::as_str))
        .filter(|z| spec.zone.as_ref().is_none_or(|only| only == z))
        .collect();
    match zones.len() {
        0 => Err(never("a task fits no allowed machine type")),
        count => Ok(count),
    }
}

/// A gang runs whole or not at all: one that has to be spread over more zones
/// than it may use never does.
fn check_spread(spec: &Spec, zones: usize) -> Result<(), SubmissionError> {
    let zones_at_once = if spec.one_zone { 1 } else { zones };
    let most_in_a_zone = spec.tasks.div_ceil(2) as usize;
    let is_spread_gang = spec.kind == Kind::Gang && spec.spread;
    if is_spread_gang && most_in_a_zone * zones_at_once < spec.tasks as usize {
        return Err(never("scatter: the gang may use too few zones"));
    }
    Ok(())
}

fn check_team_limit(spec: &Spec, team: &TeamQuota) -> Result<(), SubmissionError> {
    let tasks_at_once = match spec.kind {
        Kind::Array => 1,
        Kind::Gang | Kind::Service => spec.tasks as usize,
    };
    match team.allows(&spec.need.times(tasks_at_once)) {
        true => Ok(()),
        false => Err(never("needs more than the team's limit")),
    }
}

/// A job's own id is not known either: it was never accepted.
fn check_awaited_jobs(spec: &Spec, replica: &Replica) -> Result<(), SubmissionError> {
    if spec
        .dependencies
        .iter()
        .any(|id| replica.is_unreadable_job(id))
    {
        return Err(SubmissionError::Unknown);
    }
    match spec
        .dependencies
        .iter()
        .find(|id| replica.effective_status(id).is_none())
    {
        Some(id) => Err(never(format!("awaits: {id} was never accepted"))),
        None => Ok(()),
    }
}

/// Whether records can hold the job as it waits, and once tasks of it run. What
/// it awaits leaves its record before any of its tasks comes in.
fn check_record_size(
    spec: &Spec,
    settings: &Settings,
    replica: &Replica,
) -> Result<(), SubmissionError> {
    let bytes = serde_json::to_vec(spec).map_or(0, |text| text.len());
    let dependencies = spec.dependencies_bytes();
    let most = settings.value_limit_bytes();
    let is_too_long = if settings.limits_will_fall() {
        // Where records are to be small: what could not be written, or never run
        // within one.
        let waiting = bytes + EMPTY_RECORD_BYTES;
        let running = least_running_record(spec, settings, replica).saturating_sub(dependencies);
        waiting > most || running > most
    } else {
        bytes > most / 2 || bytes.saturating_sub(dependencies) > most / 4
    };
    match is_too_long {
        true => Err(malformed("too long")),
        false => Ok(()),
    }
}

/// The bytes of the smallest record in which one task or one gang runs.
fn least_running_record(spec: &Spec, settings: &Settings, replica: &Replica) -> usize {
    let machine = max_name_length(replica.machines.keys());
    let zone = max_name_length(settings.deployment.zones.iter());
    scheduler::min_record_bytes(spec, machine, zone)
}

fn max_name_length<'a>(names: impl Iterator<Item = &'a String>) -> &'a str {
    names
        .max_by_key(|name| name.len())
        .map_or("", String::as_str)
}
