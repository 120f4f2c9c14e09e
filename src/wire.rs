//! PROTOCOL's messages. The words on the wire are its own; the names here are
//! the field's terms, tied together by `serde` renames.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// How the tasks of a job belong together; PROTOCOL's `cut`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks, each of which runs to completion; PROTOCOL's `batch`.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled; PROTOCOL's `daemon`.
    #[serde(rename = "daemon")]
    Service,
}

/// Ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// May be preempted by work of every other priority.
    #[serde(rename = "low")]
    Low,
    /// The usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Above the usual; PROTOCOL's `urgent`.
    #[serde(rename = "urgent")]
    High,
    /// Never preempted for its priority; PROTOCOL's `prod`.
    #[serde(rename = "prod")]
    Production,
}

/// A job as its user submits it, the body of `POST /submissions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's unique id, chosen by the user; PROTOCOL's `name_id`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// The class of jobs that objectives refer to; PROTOCOL's `lot`.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team whose guarantee and limit apply; PROTOCOL's `crew`.
    #[serde(rename = "crew")]
    pub team: String,
    /// How the tasks belong together; PROTOCOL's `cut`.
    #[serde(rename = "cut")]
    pub kind: Kind,
    /// What it may preempt and be preempted by; PROTOCOL's `urgency`.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// The number of tasks, which are numbered from 0; PROTOCOL's `boards`.
    #[serde(rename = "boards")]
    pub tasks: u32,
    /// CPUs of each task; PROTOCOL's `vcpus`.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators of each task; PROTOCOL's `cards`.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of each task, in GB; PROTOCOL's `ram_gb`.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// The image that a machine needs before a task starts; PROTOCOL's
    /// `blueprint`.
    #[serde(rename = "blueprint")]
    pub image: String,
    /// The size of the image, in GB; PROTOCOL's `pull_gb`.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// The allowed machine types, `None` for any; PROTOCOL's `grades`.
    #[serde(rename = "grades", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone, `None` for any; PROTOCOL's `yard`.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks must be in the same zone; PROTOCOL's `same_place`.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone; PROTOCOL's
    /// `scatter`.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// The job may use spot machines; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time without the image fetch, in
    /// seconds; PROTOCOL's `expect_s`.
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints, 0 if tasks never save;
    /// PROTOCOL's `notch_s`.
    #[serde(rename = "notch_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task takes to save when it is stopped; PROTOCOL's
    /// `stow_s`.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Seconds from the submission to the deadline, if there is one; PROTOCOL's
    /// `due_s`.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(rename = "awaits", default)]
    pub dependencies: Option<Vec<String>>,
}

/// How far a job has come, as its user is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Its user cancelled it; PROTOCOL's `aborted`.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The state of a job, as users are answered.
#[derive(Debug, Serialize)]
pub struct JobState<'a> {
    /// The job's id; PROTOCOL's `name_id`.
    #[serde(rename = "name_id")]
    pub id: &'a str,
    /// How far it has come.
    #[serde(rename = "stage")]
    pub stage: JobStage,
    /// How many tasks are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// How many tasks run, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl JobState<'_> {
    /// Whether the job is done or cancelled, which never changes again.
    pub fn is_final(&self) -> bool {
        matches!(self.stage, JobStage::Done | JobStage::Cancelled)
    }
}

/// What a worker reports a task to be doing.
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
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    PeerTable,
    /// Its gang was not complete in time; PROTOCOL's `incomplete`.
    #[serde(rename = "incomplete")]
    Alone,
    /// It failed by itself.
    #[serde(rename = "error")]
    Error,
    /// Not started: too few free resources on the machine; PROTOCOL's `full`.
    #[serde(rename = "full")]
    NoRoom,
    /// Not started: the machine has another attempt of this task.
    #[serde(rename = "busy")]
    Busy,
    /// Not started: the worker knows no such job or task; PROTOCOL's `no_such`.
    #[serde(rename = "no_such")]
    Unknown,
}

/// One task in a worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task, such as `job-000412/3`; PROTOCOL's `board`.
    #[serde(rename = "board")]
    pub task: String,
    /// The attempt that was started; PROTOCOL's `try`.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// What it is doing.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why it has ended, once it has; PROTOCOL's `cause`.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitReason>,
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
    pub kind: String,
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
    /// Seconds until the cloud takes the machine back, if it has said so;
    /// PROTOCOL's `recall_s`.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, ended ones until they are forgotten;
    /// PROTOCOL's `boards`.
    #[serde(rename = "boards", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a command tells a worker to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
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
    /// What is to be done.
    #[serde(rename = "verb")]
    pub verb: CommandKind,
    /// The task, such as `job-000412/3`; PROTOCOL's `board`.
    #[serde(rename = "board")]
    pub task: String,
    /// The attempt that is meant; PROTOCOL's `try`.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Seconds that a stopped task may take to save; PROTOCOL's `easing_s`.
    #[serde(rename = "easing_s", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// The response to a heartbeat, which renews the worker's lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token; a worker drops a lower one than it has seen.
    /// PROTOCOL's `baton`.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, executed in their order; PROTOCOL's `orders`.
    #[serde(rename = "orders")]
    pub orders: Vec<WorkerCommand>,
}

/// Direct commands, the body of `POST /orders`.
#[derive(Debug, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// The fencing token; PROTOCOL's `baton`.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The epoch that the commands are meant for; PROTOCOL's `shift`.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Commands, executed in their order; PROTOCOL's `orders`.
    #[serde(rename = "orders")]
    pub orders: Vec<WorkerCommand>,
}

/// The body of a 421 response to a heartbeat.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to, if one is known; PROTOCOL's `foreman`.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// A machine type as the cloud offers it; also kept in the state service, so
/// that a controller started during a cloud outage knows the types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The name of the type; PROTOCOL's `label`.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs; PROTOCOL's `vcpus`.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators; PROTOCOL's `cards`.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory, in GB; PROTOCOL's `ram_gb`.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Space for images, in GB; PROTOCOL's `local_gb`.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// The rate at which images are fetched, in GB a second; PROTOCOL's
    /// `pull_gb_per_s`.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// The price an hour of an ordinary machine; PROTOCOL's `hourly`.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// The present price an hour of a spot machine.
    #[serde(rename = "spot_price", default)]
    pub spot_price: f64,
    /// The usual time to boot, in seconds; PROTOCOL's `ready_s`.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// The zones in which it is offered; PROTOCOL's `yards`.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// The cloud's offer, the response to `GET /flavors`.
#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    /// All machine types; PROTOCOL's `grades`.
    #[serde(rename = "grades")]
    pub types: Vec<MachineType>,
}

/// A rental, the body of `POST /rentals`.
#[derive(Debug, Serialize)]
pub struct CreateMachinesRequest<'a> {
    /// Names the request, so that repeating it rents nothing more; PROTOCOL's
    /// `hire`.
    #[serde(rename = "hire")]
    pub request: &'a str,
    /// The machine type; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub kind: &'a str,
    /// The zone; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: &'a str,
    /// Whether to rent spot machines; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The most machines to rent; PROTOCOL's `number`.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines that were rented, or are to be returned.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineIds {
    /// Their ids; PROTOCOL's `bays`.
    #[serde(rename = "bays")]
    pub machines: Vec<String>,
}

/// What the cloud lists a machine to be doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedStage {
    /// Rented and charged, but not seen to be up.
    #[serde(rename = "booting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself; listed until it is returned.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Its id; PROTOCOL's `name_id`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its type; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub kind: String,
    /// Its zone; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// What it is doing.
    #[serde(rename = "stage")]
    pub stage: ListedStage,
    /// Seconds since it was rented, at the time that the list describes.
    #[serde(rename = "age_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list, the response to `GET /rentals`.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// Machines in the order of their ids; PROTOCOL's `bays`.
    #[serde(rename = "bays")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages; PROTOCOL's `truncated`.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

// --- the state service -----------------------------------------------------

/// A record's value as it stands in a message: it is read once, into what it
/// is. Trees of values would take many times the room, and a watch that was
/// cut off for a while brings megabytes.
pub type Raw = Box<RawValue>;

/// Records are plain data: writing them as JSON cannot fail.
pub fn raw<T: Serialize>(value: &T) -> Raw {
    serde_json::value::to_raw_value(value).unwrap_or_default()
}

/// A record of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pair {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Raw,
    /// The revision of its last change; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of records, the response to `GET /store?prefix=`.
#[derive(Debug, Deserialize)]
pub struct PairPage {
    /// The records in the order of their keys; PROTOCOL's `pairs`.
    #[serde(rename = "pairs")]
    pub items: Vec<Pair>,
    /// Whether there are further pages; PROTOCOL's `truncated`.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The service's revision when it read the page; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A condition of a commit: the key still has this version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    pub key: String,
    /// The version that it must have, 0 if it must not exist; PROTOCOL's
    /// `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change that a commit makes.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key to a value.
    Put {
        /// The key; PROTOCOL's `set`.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        value: Raw,
        /// The state lease with which the key is to end; PROTOCOL's `permit`.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key; PROTOCOL's `remove`.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// A transaction, the body of `POST /commit`: all writes are made if every
/// guard holds, and none otherwise.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Commit {
    /// The conditions.
    pub guards: Vec<Guard>,
    /// The changes.
    pub writes: Vec<Write>,
}

/// The response to a commit, or to reading a key that does not exist.
#[derive(Debug, Serialize, Deserialize)]
pub struct Revision {
    /// The service's revision; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// The response to a commit whose guards do not all hold.
#[derive(Debug, Serialize, Deserialize)]
pub struct Refused {
    /// The keys whose versions differ.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The service's revision; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// A change: a key was set to a value, or removed.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// The key that was set, if one was.
    #[serde(default)]
    pub set: Option<String>,
    /// The key that was removed, if one was.
    #[serde(default)]
    pub remove: Option<String>,
    /// The new value of a key that was set.
    #[serde(default)]
    pub value: Option<Raw>,
    /// The revision of the change; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Event {
    /// The event of a key that was set to a value.
    pub fn put<T: Serialize>(key: String, value: &T, version: u64) -> Self {
        Event {
            set: Some(key),
            remove: None,
            value: Some(raw(value)),
            version,
        }
    }
}

/// The response to `GET /watch`.
#[derive(Debug, Deserialize)]
pub struct WatchAnswer {
    /// The revision up to which it is complete; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// The changes since the revision that was asked from.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A request for a state lease, the body of `POST /holds`.
#[derive(Debug, Serialize)]
pub struct StateLeaseRequest {
    /// How long the lease lasts without being renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The response to a request for a state lease.
#[derive(Debug, Deserialize)]
pub struct StateLease {
    /// The id of the lease; PROTOCOL's `permit`.
    #[serde(rename = "permit")]
    pub lease: u64,
}
