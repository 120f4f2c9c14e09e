//! Computes upper bounds on the size of a job's record that hold at any stage of the job.

use crate::state::encoding;
use crate::state::records::{Job, JobSpec, MAX_FAILED_MACHINES};
use crate::wire::JobKind;

/// Maximum size of the counters in a job's compact record, in bytes.
const COMPACT_COUNTER_BYTES: usize = 130;

/// Size of the quotes and the comma around a name in a list, in bytes.
const NAME_PUNCTUATION_BYTES: usize = 3;

/// Returns the maximum number of bytes of the list of machines on which a job has failed.
pub fn failed_on_bytes(max_name_length: usize) -> usize {
    MAX_FAILED_MACHINES * (max_name_length + NAME_PUNCTUATION_BYTES)
}

/// Returns the maximum number of bytes of a job's compact record without its table, runs
/// and tasks: the counters, the specification, and the machines on which it has failed.
pub fn compact_fixed_bytes(job: &Job, max_name_length: usize) -> usize {
    let spec = serde_json::to_vec(&job.spec).map_or(usize::MAX / 2, |text| text.len());
    COMPACT_COUNTER_BYTES + spec + failed_on_bytes(max_name_length)
}

/// Returns the size of the smallest record with which a job can run at all, in bytes. For a
/// gang, this is the record with all tasks booked; for any other job, with one task booked.
/// `name` and `zone` are examples of a machine name and of the name of its zone.
pub fn min_record_bytes(spec: &JobSpec, name: &str, zone: &str) -> usize {
    /// Attempt number with the most digits that are expected.
    const LONG_ATTEMPT: u64 = 1000;
    let job = Job::new(spec.clone(), u64::from(u32::MAX));
    let tasks = match spec.kind {
        JobKind::Gang => spec.tasks as usize,
        _ => 1,
    };
    let task_bytes = encoding::run_bytes(LONG_ATTEMPT) + encoding::task_bytes(spec.tasks);
    let table_bytes = encoding::table_bytes([(name, zone)].into_iter());
    compact_fixed_bytes(&job, name.len()) + table_bytes + tasks * task_bytes
}
