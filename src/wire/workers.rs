//! Messages between workers and a controller: heartbeats, which carry the status
//! of every task, and commands.

use serde::{Deserialize, Serialize};

/// The stage of a task, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// Waits for its image; PROTOCOL's `pulling`.
    #[serde(rename = "pulling")]
    Fetching,
    /// A gang task that waits for the other tasks of its attempt.
    #[serde(rename = "waiting")]
    Waiting,
    /// Runs, or has not yet noticed that its gang has ended.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves a checkpoint; PROTOCOL's `flushing`.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited, for the reason reported with it.
    #[serde(rename = "ended")]
    Ended,
}

/// Why a task has ended; PROTOCOL's `cause`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// It is complete, and its result is kept.
    #[serde(rename = "done")]
    Done,
    /// It was stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang is gone; PROTOCOL's `peers`.
    #[serde(rename = "peers")]
    PeerLost,
    /// The other tasks of its gang did not start in time; PROTOCOL's `incomplete`.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// It failed by itself.
    #[serde(rename = "error")]
    Error,
    /// Not started: too few free resources on the machine; PROTOCOL's `full`.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Not started: the machine has another attempt of this task.
    #[serde(rename = "busy")]
    Busy,
    /// Not started: the worker knows no such job or task; PROTOCOL's `no_such`.
    #[serde(rename = "no_such")]
    Unknown,
}

/// The status of one task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task, such as `job-000412/3`; PROTOCOL's `board`.
    #[serde(rename = "board")]
    pub task: String,
    /// The attempt that was started; PROTOCOL's `try`.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its stage.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why it has ended, once it has; PROTOCOL's `cause`.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a stopped task's progress was saved; PROTOCOL's `kept`.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat, the body of `POST /agent/beat`; also its response to
/// direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The machine's id; PROTOCOL's `bay`.
    #[serde(rename = "bay")]
    pub machine: String,
    /// The address for direct commands; PROTOCOL's `endpoint`.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// The machine's type; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub machine_type: String,
    /// The machine's zone; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Starts at 1 and grows whenever the worker's lease expires; PROTOCOL's
    /// `shift`.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Grows with every message of the worker; PROTOCOL's `tally`. Of two
    /// messages the one with the larger epoch and number is newer.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen; PROTOCOL's `baton`.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts the machine, if it has given notice;
    /// PROTOCOL's `recall_s`.
    #[serde(rename = "recall_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, ended ones until they are forgotten;
    /// PROTOCOL's `boards`.
    #[serde(rename = "boards", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is to do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAction {
    /// Start an attempt of a task; PROTOCOL's `launch`.
    #[serde(rename = "launch")]
    Start,
    /// Stop a task, after it has saved if the grace period allows.
    #[serde(rename = "stop")]
    Stop,
    /// Leave an ended task out of later reports.
    #[serde(rename = "forget")]
    Forget,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    /// What to do with the task; PROTOCOL's `verb`.
    #[serde(rename = "verb")]
    pub action: CommandAction,
    /// The task, such as `job-000412/3`; PROTOCOL's `board`.
    #[serde(rename = "board")]
    pub task: String,
    /// The attempt that the command applies to; PROTOCOL's `try`.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Seconds that a stopped task has to save a checkpoint; PROTOCOL's `easing_s`.
    #[serde(rename = "easing_s", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// The response to a heartbeat, which renews the worker's lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token; a worker ignores commands under a lower one than it has
    /// seen. PROTOCOL's `baton`.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, executed in their order; PROTOCOL's `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Direct commands, the body of `POST /orders`.
#[derive(Debug, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// The fencing token; PROTOCOL's `baton`.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The worker's epoch that the commands apply to; PROTOCOL's `shift`.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Commands, executed in their order; PROTOCOL's `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The body of a 421 response to a heartbeat.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller that owns the worker, if one is known; PROTOCOL's `foreman`.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
}
