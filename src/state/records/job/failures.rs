//! Records failed attempts of a job and determines whether the job itself is likely at fault.

use super::Job;

/// Number of different machines on which a job must have failed since its last success
/// before the job, rather than the machines, is suspected to be faulty.
pub const FAULTY_JOB_THRESHOLD: usize = 3;

/// Maximum number of machines that a job's record lists as having failed the job.
pub const MAX_FAILED_MACHINES: usize = FAULTY_JOB_THRESHOLD + 1;

/// Maximum value of the counter of failed attempts, which bounds its length in the record.
const MAX_ERRORS: u32 = 1000;

impl Job {
    /// Returns whether the job has failed on so many machines that the job itself, rather
    /// than a machine, is the likely cause.
    pub fn is_suspected_faulty(&self) -> bool {
        self.failed_on.len() >= FAULTY_JOB_THRESHOLD
    }

    /// Records a failure on a machine. An attempt counts once, even if several of its
    /// tasks fail.
    pub(super) fn record_failure(&mut self, machine: &str, attempt: u64) {
        if attempt > self.failed_attempt {
            self.failed_attempt = attempt;
            self.failure_count = self.failure_count.saturating_add(1).min(MAX_ERRORS);
        }
        self.failed_on.retain(|failed_on| failed_on != machine);
        if self.failed_on.len() == MAX_FAILED_MACHINES {
            self.failed_on.remove(0);
        }
        self.failed_on.push(machine.to_string());
    }

    /// Records that a task has succeeded. All recorded failures are cleared, as a job that
    /// can succeed is not faulty: the machines caused the failures.
    pub fn record_success(&mut self) {
        self.failure_count = 0;
        self.failed_attempt = 0;
        self.failed_on.clear();
    }
}
