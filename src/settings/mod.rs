//! Reads and validates the settings file that the platform provides.
//!
//! Unknown fields are ignored, as the platform may add some. Every field that is used is
//! checked. If a field is invalid, the program does not start; it prints one line that
//! identifies the first invalid field. `check` validates the fields, `derived` computes
//! limits and intervals from the fields, and `teams` defines the guarantees and limits of
//! teams.

mod check;
mod derived;
mod teams;

use std::net::SocketAddrV4;
use std::path::Path;

use serde::Deserialize;

use crate::policy::Policy;

pub use check::FieldProblem;
pub use derived::{CLOCK_DRIFT, REQUESTS_PER_BARRIER};
pub use features::Features;
pub use teams::TeamQuota;

/// Error in a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings: cannot read {path}: {cause}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The text is not valid JSON, or a field is missing or has a wrong type.
    #[error("settings: cannot parse the JSON: {0}")]
    Parse(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("settings: {field}: {problem}")]
    Field {
        /// Path of the field in the file.
        field: String,
        /// Problem with the field's value.
        problem: FieldProblem,
    },
}

/// Controller of the deployment other than the one that reads the settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller; `node` in the file.
    #[serde(rename = "node")]
    pub name: String,
    /// Zone in which the controller runs; `location` in the file.
    #[serde(rename = "location")]
    pub zone: String,
    /// Address at which the controller accepts gossip connections.
    pub addr: SocketAddrV4,
}

/// Addresses of the services that the scheduler uses.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud that provides machines.
    pub cloud: SocketAddrV4,
    /// Address of the key-value service that stores the state.
    pub state: SocketAddrV4,
}

/// Timing of workers and their tasks, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// Interval between a worker's heartbeats.
    pub report_s: f64,
    /// Duration of a worker's lease: the time for which it keeps its tasks running after an
    /// answered heartbeat.
    pub lease_s: f64,
    /// Time for which the first tasks of a gang wait for the others to start.
    pub gang_wait_s: f64,
    /// Time for which a gang's tasks keep running after one of them is lost.
    pub gang_peer_s: f64,
    /// Time for which a task may keep running after its cancellation was confirmed to the
    /// user.
    pub cancel_s: f64,
}

/// Present limits of the state service, and those that it will apply next. The methods of
/// [`Settings`] combine both and return the limits that the controller has to keep to.
#[derive(Debug, Clone, Deserialize)]
pub struct StateServiceLimits {
    /// Maximum number of requests per second, from all controllers together.
    pub rps: f64,
    /// Maximum number of written keys per second, from all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of writes in one commit.
    pub txn_ops: usize,
    /// Limits that will replace the present ones at an unknown time, without further notice.
    #[serde(default)]
    pub next: Option<NextStateServiceLimits>,
}

/// Next limits of the state service. A limit that is `None` does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateServiceLimits {
    /// Maximum number of requests per second, from all controllers together.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of written keys per second, from all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of writes in one commit.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second, from all controllers together.
    pub rps: f64,
    /// Maximum delay until the cloud's list of machines shows a change, in seconds.
    pub list_lag_s: f64,
}

/// Settings that all controllers of a deployment have in common.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    pub count: usize,
    /// Zones in which machines can be provisioned.
    pub zones: Vec<String>,
    /// Teams that submit jobs.
    pub teams: Vec<TeamQuota>,
    /// Service level objectives for classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers and their tasks.
    pub workers: WorkerTiming,
    /// Limits of the state service.
    pub state: StateServiceLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources that a controller may use on its own host.
    #[serde(rename = "machine_limits")]
    pub host_limits: HostLimits,
    /// Maximum difference between the wall clocks of two controllers, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// Service level objective for starting or finishing jobs of a class. The scheduler takes
/// objectives into account in its decisions on these jobs, but does not guarantee that they
/// are met. Objectives of unknown kinds do not count when the scheduler determines whether a
/// job is late.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective, such as `wait`, `finished` or `deadline`.
    pub kind: String,
    /// Class of the jobs that the objective applies to; `None` for all jobs. The scheduler takes
    /// only objectives with a class into account.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Resources that a controller may use on its own host.
#[derive(Debug, Clone, Deserialize)]
pub struct HostLimits {
    /// Number of CPUs; may be a fraction.
    pub cpu: f64,
    /// Memory, in MiB.
    pub memory_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

/// Settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller; `node` in the file.
    #[serde(rename = "node")]
    pub controller_name: String,
    /// Zone in which this controller runs; `location` in the file.
    #[serde(rename = "location")]
    pub zone: String,
    /// Address at which this controller serves users, workers and operators.
    pub serve_on: SocketAddrV4,
    /// Address at which this controller accepts gossip connections.
    #[serde(rename = "mesh_addr")]
    pub gossip_addr: SocketAddrV4,
    /// Other controllers of the deployment.
    pub others: Vec<Peer>,
    /// Addresses of the services that the scheduler uses.
    pub external: ExternalServices,
    /// Settings that all controllers of the deployment have in common.
    pub deployment: Deployment,
    /// Scheduling policy that the operators configure; read from the policy file.
    #[serde(skip)]
    pub policy: Policy,
    /// Optional features that the operators enable; read from the features file.
    #[serde(skip)]
    pub features: Features,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Read {
            path: path.display().to_string(),
            cause,
        })?;
        Self::parse(&text)
    }

    /// Reads and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }
}
