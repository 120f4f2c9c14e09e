//! Messages between workers and a controller: heartbeats, which contain the status of
//! every task of a worker, and commands.

use serde::{Deserialize, Serialize};

use super::message_size::{MAX_TASKS_PER_MESSAGE, STOPPED_ENTRY_GROWTH_BYTES};
use crate::http::BODY_LIMIT;

/// Stage of a task, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// The task waits until the worker has fetched its image. PROTOCOL's `pulling`.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task belongs to a gang and waits for the other tasks of the attempt to start.
    #[serde(rename = "waiting")]
    Waiting,
    /// The task runs. A task of a gang is also in this stage while it has not yet detected
    /// that its gang has ended.
    #[serde(rename = "running")]
    Running,
    /// The task saves a checkpoint after a stop command. PROTOCOL's `flushing`.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has ended for the reason in [`TaskStatus::exit_reason`].
    #[serde(rename = "ended")]
    Ended,
}

/// Reason why a task has ended; PROTOCOL's `cause`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task has completed, and its result is stored.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang was lost. PROTOCOL's `peers`.
    #[serde(rename = "peers")]
    PeerLost,
    /// The other tasks of the gang did not all start in time. PROTOCOL's `incomplete`.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// The task itself has failed.
    #[serde(rename = "error")]
    Error,
    /// The worker refused to start the task, as the machine has too few free resources.
    /// PROTOCOL's `full`.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The worker refused to start the task, as the machine still has another attempt of the
    /// task.
    #[serde(rename = "busy")]
    Busy,
    /// The worker refused to start the task, as it does not know the job or the task.
    /// PROTOCOL's `no_such`.
    #[serde(rename = "no_such")]
    Unknown,
}

/// Status of one task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task, such as `job-000412/3`; PROTOCOL's `board`.
    #[serde(rename = "board")]
    pub task: String,
    /// Number of the attempt that was started; PROTOCOL's `try`.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Stage of the task.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Reason why the task has ended; `None` before its end. PROTOCOL's `cause`.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// True if the progress of a stopped task was saved; PROTOCOL's `kept`.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// Status of a worker; the body of its heartbeat `POST /agent/beat`, and its response to
/// direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Id of the machine; PROTOCOL's `bay`.
    #[serde(rename = "bay")]
    pub machine: String,
    /// Address of the worker for direct commands; PROTOCOL's `endpoint`.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Type of the machine; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub machine_type: String,
    /// Zone of the machine; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True if the machine is a spot machine; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Epoch of the worker, which starts at 1 and increases whenever the worker's lease
    /// expires; PROTOCOL's `shift`.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Sequence number, which increases with every message of the worker; PROTOCOL's
    /// `tally`. Of two messages, the one with the larger epoch and sequence number, compared
    /// in this order, is newer.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has received; PROTOCOL's `baton`.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud preempts the machine, in seconds; `None` if the cloud has not given
    /// notice. PROTOCOL's `recall_s`.
    #[serde(rename = "recall_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine. An ended task is listed until a [`CommandAction::Forget`]
    /// removes it. Called `boards` in PROTOCOL.
    #[serde(rename = "boards", default)]
    pub tasks: Vec<TaskStatus>,
    /// Size of the message in which the status arrived, in bytes.
    #[serde(skip)]
    pub message_bytes: usize,
}

impl WorkerStatus {
    /// Parses the body of a heartbeat, or of the answer to a direct call. Fails if the body is
    /// not the JSON text of a status.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        let status: WorkerStatus = serde_json::from_slice(body)?;
        Ok(WorkerStatus {
            message_bytes: body.len(),
            ..status
        })
    }

    /// Returns the number of tasks that may be told to stop at once. An ended task has a longer
    /// entry in the next status, which must not exceed the size that PROTOCOL allows.
    pub fn max_stops(&self) -> usize {
        if self.tasks.len() <= MAX_TASKS_PER_MESSAGE {
            return MAX_TASKS_PER_MESSAGE;
        }
        let free_bytes = BODY_LIMIT.saturating_sub(self.message_bytes);
        let max_stops = free_bytes / STOPPED_ENTRY_GROWTH_BYTES;
        // Without any ended task to forget, the list becomes shorter only by a stop.
        let has_ended = self.tasks.iter().any(|t| t.stage == TaskStage::Ended);
        max_stops.clamp(usize::from(!has_ended), MAX_TASKS_PER_MESSAGE)
    }
}

/// Action that a command makes a worker apply to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAction {
    /// The worker starts an attempt of the task. PROTOCOL's `launch`.
    #[serde(rename = "launch")]
    Start,
    /// The worker stops the task. The task saves a checkpoint before it ends if the grace
    /// period is long enough.
    #[serde(rename = "stop")]
    Stop,
    /// The worker no longer lists an ended task in its heartbeats.
    #[serde(rename = "forget")]
    Forget,
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    /// Action that the worker applies to the task; PROTOCOL's `verb`.
    #[serde(rename = "verb")]
    pub action: CommandAction,
    /// Id of the task, such as `job-000412/3`; PROTOCOL's `board`.
    #[serde(rename = "board")]
    pub task: String,
    /// Number of the attempt that the command applies to; PROTOCOL's `try`.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Grace period in which a stopped task may save a checkpoint, in seconds; PROTOCOL's
    /// `easing_s`.
    #[serde(rename = "easing_s", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// Response to a heartbeat, which renews the worker's lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the commands; PROTOCOL's `baton`. A worker ignores commands whose
    /// token is lower than the highest token that it has received.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, which the worker executes in this order; PROTOCOL's `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Direct commands to a worker; the body of `POST /orders`.
#[derive(Debug, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// Fencing token of the commands; PROTOCOL's `baton`.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Epoch of the worker for which the commands are meant; they are not valid in another
    /// epoch. PROTOCOL's `shift`.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Commands, which the worker executes in this order; PROTOCOL's `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Body of a 421 response to a heartbeat. It redirects the worker to its owner, the
/// controller that sends commands to it.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller that owns the worker; `None` if the responding controller does
    /// not know it. PROTOCOL's `foreman`.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
}
