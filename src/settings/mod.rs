//! The platform's settings file: read, then checked field by field.
//!
//! Unknown fields are ignored, as the platform may add some. Every field that
//! is used is checked, and the first one that is wrong ends the start with a
//! line that names it. `check` holds the checks, `derived` the limits that
//! follow from the settings, `teams` what a team may use.

mod check;
mod derived;
mod teams;

use std::net::SocketAddrV4;
use std::path::Path;

use serde::Deserialize;

use crate::policy::Policy;

pub use check::FieldProblem;
pub use derived::{BARRIER_GAP_REQUESTS, CLOCK_DRIFT};
pub use features::Features;
pub use teams::TeamQuota;

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings: cannot read {path}: {cause}")]
    Read {
        /// The path of the file.
        path: String,
        /// What the system reports.
        cause: std::io::Error,
    },
    /// The file is not JSON, or a field is missing or of another type.
    #[error("settings: not the JSON expected: {0}")]
    Parse(#[from] serde_json::Error),
    /// The value of a field cannot be used.
    #[error("settings: {field}: {problem}")]
    Field {
        /// The path of the field in the file.
        field: String,
        /// What is wrong with its value.
        problem: FieldProblem,
    },
}

/// One controller as the others reach it.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "node")]
    pub name: String,
    /// The zone in which it runs; the file's `location`.
    #[serde(rename = "location")]
    pub zone: String,
    /// The address at which it accepts gossip connections.
    pub addr: SocketAddrV4,
}

/// The addresses of the services that the scheduler uses.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud that rents out machines.
    pub cloud: SocketAddrV4,
    /// The key-value service that keeps the state.
    pub state: SocketAddrV4,
}

/// Timing of workers and their tasks, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// The interval between a worker's heartbeats.
    pub report_s: f64,
    /// How long a worker keeps its tasks after an answered heartbeat.
    pub lease_s: f64,
    /// How long the first tasks of a gang wait for the others to start.
    pub gang_wait_s: f64,
    /// How long a gang's tasks run on after one of them is lost.
    pub gang_peer_s: f64,
    /// How long after its user was told a cancelled task may still run.
    pub cancel_s: f64,
}

/// The state service's limits. What bounds a commit and what may be sent a
/// second is told by [`Settings`] alone, from these and those to come.
#[derive(Debug, Clone, Deserialize)]
pub struct StateServiceLimits {
    /// Requests a second, from all controllers together.
    pub rps: f64,
    /// Written keys a second, from all controllers together.
    pub write_rps: f64,
    /// The longest value, in KiB.
    pub value_kb: f64,
    /// The most writes of one commit.
    pub txn_ops: usize,
    /// Limits that come into force at some moment, without notice.
    #[serde(default)]
    pub next: Option<NextStateServiceLimits>,
}

/// Limits to come; one that is not named stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateServiceLimits {
    /// Requests a second, from all controllers together.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Written keys a second, from all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The longest value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// The most writes of one commit.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// The cloud's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second, from all controllers together.
    pub rps: f64,
    /// How many seconds the list of machines may be behind.
    pub list_lag_s: f64,
}

/// What all controllers of a deployment share.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// The number of controllers.
    pub count: usize,
    /// The zones in which machines can be provisioned.
    pub zones: Vec<String>,
    /// The teams that submit jobs.
    pub teams: Vec<TeamQuota>,
    /// Aims for classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers and their tasks.
    pub workers: WorkerTiming,
    /// The state service's limits.
    pub state: StateServiceLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// What a controller's own machine allows it.
    pub machine_limits: MachineLimits,
    /// The largest difference between wall clocks, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// An aim at starting or finishing a class of jobs. A hint for the queue;
/// kinds that are not known are passed over.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is to happen in time.
    pub kind: String,
    /// The class of jobs that it is about; `None` for all.
    #[serde(default)]
    pub class: Option<String>,
    /// The time limit, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// What a controller's own machine allows it.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// The part of a CPU.
    pub cpu: f64,
    /// Memory, in MiB.
    pub memory_mb: f64,
    /// Open sockets.
    pub sockets: usize,
}

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name; the file's `node`.
    #[serde(rename = "node")]
    pub controller_name: String,
    /// The zone in which it runs; the file's `location`.
    #[serde(rename = "location")]
    pub zone: String,
    /// The address at which it serves users, workers and operators.
    pub serve_on: SocketAddrV4,
    /// The address at which it accepts gossip connections.
    #[serde(rename = "mesh_addr")]
    pub gossip_addr: SocketAddrV4,
    /// The other controllers.
    pub others: Vec<Peer>,
    /// The services that it uses.
    pub external: External,
    /// What all controllers share.
    pub deployment: Deployment,
    /// The operators' own settings; not part of the platform's file.
    #[serde(skip)]
    pub policy: Policy,
    /// What of the newer subsystems is on; from a file of its own.
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
