//! Bounds of the size of a job's record, whatever its tasks come to.

use crate::state::encoding;
use crate::state::records::{Job, MAX_FAILED_MACHINES, Spec};
use crate::wire::JobKind;

/// What the counters may come to take in a compact record.
const COMPACT_COUNTER_BYTES: usize = 130;

/// The quotes and the comma of a name in a list.
const NAME_PUNCTUATION_BYTES: usize = 3;

/// What the machines take that a job may come to have failed on.
pub fn failed_on_bytes(max_name_length: usize) -> usize {
    MAX_FAILED_MACHINES * (max_name_length + NAME_PUNCTUATION_BYTES)
}

/// What a job's compact record takes beside its table, runs and tasks: counters as
/// they may come to be, its spec, and machines that it may come to have failed on.
pub fn short_fixed_bytes(job: &Job, max_name_length: usize) -> usize {
    let spec = serde_json::to_vec(&job.spec).map_or(usize::MAX / 2, |text| text.len());
    COMPACT_COUNTER_BYTES + spec + failed_on_bytes(max_name_length)
}

/// The least that a job's record takes while it runs: a gang's tasks all at
/// once, of other jobs one; on machines with such names, in such zones.
pub fn min_record_bytes(spec: &Spec, name: &str, zone: &str) -> usize {
    /// An attempt of as many digits as one may come to have.
    const LONG_ATTEMPT: u64 = 1000;
    let job = Job::new(spec.clone(), u64::from(u32::MAX));
    let tasks = match spec.kind {
        JobKind::Gang => spec.tasks as usize,
        _ => 1,
    };
    let task_bytes = encoding::run_bytes(LONG_ATTEMPT) + encoding::task_bytes(spec.tasks);
    let table_bytes = encoding::table_bytes([(name, zone)].into_iter());
    short_fixed_bytes(&job, name.len()) + table_bytes + tasks * task_bytes
}
