//! Defines the records in the state service: jobs, teams, zones, machines and provisioning
//! requests.
//!
//! Records are small JSON values with short field names, as `value_kb` limits the size of
//! each. The module contains only plain data and pure functions.

mod accepted_batch;
mod capacity;
mod controller;
mod job;
mod machine;
mod ranges;
mod spec;
mod team;

pub use accepted_batch::AcceptedBatch;
pub use capacity::Capacity;
pub use controller::{
    ControllerRecord, FORMATS, FORMATS_COMPACT, FORMATS_GROUPED_SHARDS, FORMATS_SHARES, Formats,
};
pub use job::{FAULTY_JOB_THRESHOLD, Job, JobStatus, MAX_FAILED_MACHINES, Run, TaskOutcome};
pub use machine::{
    HeartbeatId, Machine, MachineLifecycle, MachineShard, MachineSlot, MachineTypesRecord,
    ProvisioningRequest, ZoneShard, machine_entry_bytes, slot_entry_bytes,
};
pub use ranges::NumberSet;
pub use resources::{Amount, Resources};
pub use spec::JobSpec;
pub use team::TeamUsage;

/// Returns whether a value is false. Such fields are omitted from the records.
pub(super) fn is_false(value: &bool) -> bool {
    !value
}

/// Returns whether a field is 0, so that it is omitted.
pub(super) fn is_zero_u64(value: &u64) -> bool {
    *value == 0
}

/// Returns whether a field is 0, so that it is omitted.
pub(super) fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Splits the id of a task, such as `job-000412/3`, into the job's id and the task's number.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.rsplit_once('/')?;
    if number.is_empty() || (number.len() > 1 && number.starts_with('0')) {
        return None;
    }
    Some((job, number.parse().ok()?))
}

/// Returns whether a text is a job id: `job-` and up to 18 digits, as in `job-000412`.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("job-").is_some_and(|digits| {
        (1..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}
