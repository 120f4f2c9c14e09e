//! Validates submissions: first checks that they are well formed, then that the job can run.

use std::collections::BTreeSet;

use crate::scheduler;
use crate::settings::{Settings, TeamQuota};
use crate::state::records::{JobSpec, JobStatus, is_job_id};
use crate::state::replica::Replica;
use crate::wire::{JobKind, Submission};

/// Maximum number of tasks of a job.
const MAX_TASKS: u32 = 100_000;

/// Maximum value of an amount in a submission, in the amount's own unit: CPUs, accelerators,
/// gigabytes or seconds.
const MAX_AMOUNT: f64 = 1e9;

/// Maximum length of the name of a class, team, image, machine type or zone, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Maximum number of machine types that a submission may list.
const MAX_TYPES: usize = 64;

/// Size of a job's record in addition to its spec before any task is booked, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 150;

/// Maximum number of characters of a malformed id that an error quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// Reason why a submission is not accepted.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// The submission is malformed or too long for a record; status 400.
    #[error("malformed submission: {0}")]
    Malformed(String),
    /// The job can never run; status 422.
    #[error("the job can never run: {0}")]
    Unsatisfiable(String),
    /// This controller lacks data to decide whether the job can run; status 503.
    #[error("not decidable yet")]
    Undecidable,
}

fn malformed(problem: impl Into<String>) -> SubmissionError {
    SubmissionError::Malformed(problem.into())
}

fn unsatisfiable(problem: impl Into<String>) -> SubmissionError {
    SubmissionError::Unsatisfiable(problem.into())
}

/// Deserializes a submission and checks its form.
///
/// Fails with [`SubmissionError::Malformed`], which users see as 400.
pub fn read_submission(body: &[u8]) -> Result<Submission, SubmissionError> {
    let submission = parse(body)?;
    check_identity(&submission)?;
    check_amounts(&submission)?;
    check_names(&submission)?;
    check_dependency_ids(&submission)?;
    Ok(submission)
}

fn parse(body: &[u8]) -> Result<Submission, SubmissionError> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|error| malformed(format!("not JSON: {error}")))?;
    if !value.is_object() {
        return Err(malformed("not an object"));
    }
    serde_json::from_value(value).map_err(|error| malformed(format!("field: {error}")))
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
        if amount.is_some_and(|amount| !(0.0..=MAX_AMOUNT).contains(&amount)) {
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
        if name.is_some_and(|name| name.len() > MAX_NAME_BYTES) {
            return Err(malformed(format!("{field}: too long")));
        }
    }
    let types = submission.types.as_deref().unwrap_or_default();
    if types.len() > MAX_TYPES || types.iter().any(|name| name.len() > MAX_NAME_BYTES) {
        return Err(malformed("grades: too many or too long"));
    }
    Ok(())
}

fn check_dependency_ids(submission: &Submission) -> Result<(), SubmissionError> {
    let mut ids = submission.dependencies.iter().flatten();
    match ids.find(|id| !is_job_id(id)) {
        Some(id) => {
            let start: String = id.chars().take(MAX_QUOTED_CHARS).collect();
            Err(malformed(format!("awaits: not a job id: {start}")))
        }
        None => Ok(()),
    }
}

/// Checks whether a submitted job can ever run, and returns the spec to record.
///
/// Fails with [`SubmissionError::Unsatisfiable`] (422) if the job can never run, and
/// with [`SubmissionError::Undecidable`] (503) if this controller cannot decide yet.
pub fn check_submission(
    submission: &Submission,
    settings: &Settings,
    replica: &Replica,
) -> Result<JobSpec, SubmissionError> {
    let mut spec = JobSpec::from(submission);
    let team = settings
        .team(&submission.team)
        .ok_or_else(|| unsatisfiable("crew: unknown team"))?;
    let zones = usable_zones(&spec, settings, replica)?;
    check_spread(&spec, zones)?;
    check_team_quota(&spec, team)?;
    check_dependencies(&spec, replica)?;
    // A done job stays done, so the record does not need the dependency on it.
    spec.dependencies
        .retain(|id| replica.effective_status(id) != Some(JobStatus::Done));
    check_record_size(&spec, settings, replica)?;
    Ok(spec)
}

/// Returns the number of allowed zones in which the cloud offers a machine type that a
/// task fits on.
fn usable_zones(
    spec: &JobSpec,
    settings: &Settings,
    replica: &Replica,
) -> Result<usize, SubmissionError> {
    let types = &replica.types.value.types;
    if types.is_empty() {
        return Err(SubmissionError::Undecidable);
    }
    let configured = &settings.deployment.zones;
    if spec
        .zone
        .as_ref()
        .is_some_and(|zone| !configured.contains(zone))
    {
        return Err(unsatisfiable("yard: unknown zone"));
    }
    let zones: BTreeSet<&str> = types
        .iter()
        .filter(|machine_type| {
            spec.allows_type(&machine_type.name) && machine_type.capacity().fits_task(&spec.need)
        })
        .flat_map(|machine_type| machine_type.zones.iter().map(String::as_str))
        .filter(|zone| spec.zone.as_ref().is_none_or(|only| only == zone))
        .collect();
    match zones.len() {
        0 => Err(unsatisfiable("a task fits no allowed machine type")),
        count => Ok(count),
    }
}

/// Rejects a gang that has to be spread over more zones than it may use. Such a gang
/// could never run, because all its tasks have to run at the same time.
fn check_spread(spec: &JobSpec, zones: usize) -> Result<(), SubmissionError> {
    let zones_at_once = if spec.one_zone { 1 } else { zones };
    let max_per_zone = spec.tasks.div_ceil(2) as usize;
    let is_spread_gang = spec.kind == JobKind::Gang && spec.spread;
    if is_spread_gang && max_per_zone * zones_at_once < spec.tasks as usize {
        return Err(unsatisfiable("scatter: the gang may use too few zones"));
    }
    Ok(())
}

/// Rejects a job if the tasks that have to run at the same time exceed its team's limit.
fn check_team_quota(spec: &JobSpec, team: &TeamQuota) -> Result<(), SubmissionError> {
    let tasks_at_once = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks as usize,
    };
    match team.allows(&spec.need.times(tasks_at_once)) {
        true => Ok(()),
        false => Err(unsatisfiable("needs more than the team's limit")),
    }
}

/// Rejects a job with a dependency on a job that has not been accepted. This includes a
/// job that depends on itself, because its own id has not been accepted yet.
fn check_dependencies(spec: &JobSpec, replica: &Replica) -> Result<(), SubmissionError> {
    if spec
        .dependencies
        .iter()
        .any(|id| replica.is_unreadable_job(id))
    {
        return Err(SubmissionError::Undecidable);
    }
    match spec
        .dependencies
        .iter()
        .find(|id| replica.effective_status(id).is_none())
    {
        Some(id) => Err(unsatisfiable(format!("awaits: {id} was never accepted"))),
        None => Ok(()),
    }
}

/// Rejects a job whose record would be too long, either while the job waits or while its
/// tasks run.
///
/// The dependencies only add to the length of the waiting job's record, because they are
/// removed from the record before the first task is booked.
fn check_record_size(
    spec: &JobSpec,
    settings: &Settings,
    replica: &Replica,
) -> Result<(), SubmissionError> {
    let bytes = serde_json::to_vec(spec).map_or(0, |text| text.len());
    let dependency_bytes = spec.dependencies_bytes();
    let max_bytes = settings.value_limit_bytes();
    let exceeds_limit = if settings.limits_will_decrease() {
        // The state service will lower its limits. Under the lower limits, it must still be
        // possible to write the waiting job's record, and the record of one running task or
        // gang.
        let waiting = bytes + RECORD_OVERHEAD_BYTES;
        let running =
            min_running_record_bytes(spec, settings, replica).saturating_sub(dependency_bytes);
        waiting > max_bytes || running > max_bytes
    } else {
        bytes > max_bytes / 2 || bytes.saturating_sub(dependency_bytes) > max_bytes / 4
    };
    match exceeds_limit {
        true => Err(malformed("too long")),
        false => Ok(()),
    }
}

/// Returns the size of the smallest record in which one task or one gang runs, in bytes.
fn min_running_record_bytes(spec: &JobSpec, settings: &Settings, replica: &Replica) -> usize {
    let machine = longest_name(replica.machines.keys());
    let zone = longest_name(settings.deployment.zones.iter());
    scheduler::min_record_bytes(spec, machine, zone)
}

/// Returns the longest of some names, or an empty string if there are none.
fn longest_name<'a>(names: impl Iterator<Item = &'a String>) -> &'a str {
    names
        .max_by_key(|name| name.len())
        .map_or("", String::as_str)
}
