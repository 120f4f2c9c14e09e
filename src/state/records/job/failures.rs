//! Records failed attempts of a job and determines whether the job itself is faulty.

use super::Job;

/// Number of machines on which a job must have failed, without a success since, to be
/// suspected faulty.
pub const FAULTY_JOB_THRESHOLD: usize = 3;

/// Maximum number of failed machines in a job's record.
pub const MAX_FAILED_MACHINES: usize = FAULTY_JOB_THRESHOLD + 1;

/// Maximum of the counter of failed attempts.
const MAX_ERRORS: u32 = 1000;

impl Job {
    /// Returns whether the failures are likely caused by the job rather than by the
    /// machines.
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

    /// Records a success, which clears all failures: they were caused by the machines.
    pub fn record_success(&mut self) {
        self.failure_count = 0;
        self.failed_attempt = 0;
        self.failed_on.clear();
    }
}
