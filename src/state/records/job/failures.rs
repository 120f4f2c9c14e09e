//! Failed attempts of a job, and whether the job itself is at fault.

use super::Job;

/// A job that has failed on so many machines in a row, and has succeeded on
/// none since, is taken to have a mistake of its own.
pub const FAULTY_JOB_THRESHOLD: usize = 3;

/// How many of those machines its record names.
pub const MAX_FAILED_MACHINES: usize = FAULTY_JOB_THRESHOLD + 1;

/// The most failed attempts that are counted.
const MAX_ERRORS: u32 = 1000;

impl Job {
    /// Whether the job rather than the machines is to blame for its failures.
    pub fn is_suspected_faulty(&self) -> bool {
        self.failed_on.len() >= FAULTY_JOB_THRESHOLD
    }

    /// Counts a failed attempt, once however many of its tasks fail, and remembers the
    /// machine.
    pub(super) fn record_failure(&mut self, machine: &str, attempt: u64) {
        if attempt > self.failed_attempt {
            self.failed_attempt = attempt;
            self.errors = self.errors.saturating_add(1).min(MAX_ERRORS);
        }
        self.failed_on.retain(|failed_on| failed_on != machine);
        if self.failed_on.len() == MAX_FAILED_MACHINES {
            self.failed_on.remove(0);
        }
        self.failed_on.push(machine.to_string());
    }

    /// It has succeeded somewhere: what failed before was the machines' fault.
    pub fn record_success(&mut self) {
        self.errors = 0;
        self.failed_attempt = 0;
        self.failed_on.clear();
    }
}
