//! The values of a policy's variables for one job or one machine.

use super::eval::boolean_value;
use super::rules::{JOB_VARIABLES, MACHINE_VARIABLES, Variable};

const JOB_VARIABLE_COUNT: usize = JOB_VARIABLES.len();
const MACHINE_VARIABLE_COUNT: usize = MACHINE_VARIABLES.len();

/// What a policy may know of a job.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobFacts {
    /// It does not fit its team's guarantee.
    pub borrows: bool,
    /// From 0 (low) to 3 (production), of it and of the jobs that need it.
    pub priority: f64,
    /// Its team's use over its guarantee.
    pub share: f64,
    /// It is too late for every objective of its class.
    pub late: bool,
    /// The estimate of its waiting tasks times what they take of a machine.
    pub work: f64,
    /// For how many seconds this controller has known it to be ready.
    pub age_s: f64,
    /// Its number of tasks.
    pub tasks: f64,
    /// Its tasks that wait for a machine.
    pub waiting: f64,
    /// Its owner's estimate of the seconds that a task takes.
    pub estimate_s: f64,
    /// An array is 0, a gang 1, a service 2.
    pub kind: f64,
    /// It, or a job that needs it, has a deadline.
    pub has_deadline: bool,
    /// The shortest boot time of all machine types, in seconds.
    pub boot_s: f64,
    /// An objective names its class.
    pub aimed: bool,
}

impl JobFacts {
    /// The values in the order of [`JOB_VARIABLES`].
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
        bounded(values, JOB_VARIABLES)
    }
}

/// What a policy may know of a machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineFacts {
    /// The boot time of its type, in seconds.
    pub boot_s: f64,
    /// Its price an hour.
    pub price: f64,
    /// Its CPUs.
    pub cpus: f64,
    /// Its accelerators.
    pub gpus: f64,
    /// It is a spot machine, which the cloud may take back.
    pub spot: bool,
}

impl MachineFacts {
    /// The values in the order of [`MACHINE_VARIABLES`].
    pub(super) fn values(&self) -> [f64; MACHINE_VARIABLE_COUNT] {
        let values = [
            self.boot_s,
            self.price,
            self.cpus,
            self.gpus,
            boolean_value(self.spot),
        ];
        bounded(values, MACHINE_VARIABLES)
    }
}

/// The checker relies on the ranges: a figure from outside is held to them.
fn bounded<const N: usize>(mut values: [f64; N], variables: &[Variable]) -> [f64; N] {
    for (value, variable) in values.iter_mut().zip(variables) {
        if let Some(range) = variable.range {
            *value = value.max(range.min).min(range.max);
        }
    }
    values
}
