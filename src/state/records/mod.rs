//! What the state service keeps: jobs, teams, zones, machines and rentals.
//!
//! Records are small JSON values with short field names, as `value_kb` bounds
//! each of them. Everything here is plain data and pure functions.

mod accepted_batch;
mod controller;
mod job;
mod machine;
mod ranges;
mod spec;
mod team;

pub use accepted_batch::AcceptedBatch;
pub use controller::{
    ControllerRecord, FORMATS, FORMATS_COMPACT, FORMATS_GROUPED_SHARDS, FORMATS_SHARES, Formats,
};
pub use job::{FAULTY_JOB_THRESHOLD, Job, JobStatus, MAX_FAILED_MACHINES, Run, TaskOutcome};
pub use machine::{
    HeartbeatId, Machine, MachineLifecycle, MachineShard, MachineSlot, ProvisioningRequest, Types,
    ZoneShard, machine_entry_bytes, slot_entry_bytes,
};
pub use ranges::Ranges;
pub use resources::{Amount, Resources};
pub use spec::Spec;
pub use team::Team;

pub(super) fn is_false(b: &bool) -> bool {
    !b
}

pub(super) fn is_zero_u64(n: &u64) -> bool {
    *n == 0
}

pub(super) fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// Splits `job-000412/3` into the job and the task's number.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, n) = task.rsplit_once('/')?;
    if n.is_empty() || (n.len() > 1 && n.starts_with('0')) {
        return None;
    }
    Some((job, n.parse().ok()?))
}

/// Ids look like `job-000412`: the word, a dash and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("job-")
        .is_some_and(|d| (1..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}
