//! Values that the variables of the policy language have for one job or one machine.

use super::eval::boolean_value;
use super::rules::{JOB_VARIABLES, MACHINE_VARIABLES, Variable};

const JOB_VARIABLE_COUNT: usize = JOB_VARIABLES.len();
const MACHINE_VARIABLE_COUNT: usize = MACHINE_VARIABLES.len();

/// Attributes of a job that the rules of a policy can use.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobFacts {
    /// True if the job's team would exceed its guarantee with this job.
    pub borrows: bool,
    /// Highest priority of the job and of the jobs that depend on it, from 0 (low) to 3
    /// (production).
    pub priority: f64,
    /// Resources that the job's team uses, as a fraction of the team's guarantee.
    pub share: f64,
    /// True if the job, started now, would miss every objective of its class and the
    /// deadline of its dependents.
    pub late: bool,
    /// Estimated work of the waiting tasks, in CPU seconds, or in accelerator seconds if
    /// the job needs accelerators.
    pub work: f64,
    /// Time since this controller first saw that the job is ready to start, in seconds.
    pub age_s: f64,
    /// Number of the job's tasks.
    pub tasks: f64,
    /// Number of the job's tasks that wait for a machine.
    pub waiting: f64,
    /// Run time of a task as estimated by the job's owner, in seconds.
    pub estimate_s: f64,
    /// Kind of the job: 0 for an array, 1 for a gang, 2 for a service.
    pub kind: f64,
    /// True if the job, or a job that depends on it, has a deadline.
    pub has_deadline: bool,
    /// Shortest boot time of all machine types, in seconds.
    pub boot_s: f64,
    /// True if an objective is configured for the job's class.
    pub aimed: bool,
}

impl JobFacts {
    /// Returns the values in the order of [`JOB_VARIABLES`].
    pub(super) fn values(&self) -> [f64; JOB_VARIABLE_COUNT] {
        let values = [
            boolean_value(self.borrows),
            self.priority,
            self.share,
            boolean_value(self.late),
            self.work,
            self.age_s,
            self.tasks,
            self.waiting,
            self.estimate_s,
            self.kind,
            boolean_value(self.has_deadline),
            self.boot_s,
            boolean_value(self.aimed),
        ];
        clamp_to_ranges(values, JOB_VARIABLES)
    }
}

/// Attributes of a machine that the rules of a policy can use.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineFacts {
    /// Boot time of the machine's type, in seconds.
    pub boot_s: f64,
    /// Price of the machine per hour.
    pub price: f64,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of accelerators.
    pub gpus: f64,
    /// True for a spot machine, which the cloud may reclaim.
    pub spot: bool,
}

impl MachineFacts {
    /// Returns the values in the order of [`MACHINE_VARIABLES`].
    pub(super) fn values(&self) -> [f64; MACHINE_VARIABLE_COUNT] {
        let values = [
            self.boot_s,
            self.price,
            self.cpus,
            self.gpus,
            boolean_value(self.spot),
        ];
        clamp_to_ranges(values, MACHINE_VARIABLES)
    }
}

/// Clamps values to the ranges of their variables. The checker relies on the ranges, but the
/// cloud and users may provide values outside of them.
fn clamp_to_ranges<const N: usize>(mut values: [f64; N], variables: &[Variable]) -> [f64; N] {
    for (value, variable) in values.iter_mut().zip(variables) {
        if let Some(range) = variable.range {
            *value = value.max(range.min).min(range.max);
        }
    }
    values
}
