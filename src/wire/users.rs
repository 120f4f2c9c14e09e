//! Messages between users and a controller: submissions and job states.

use serde::{Deserialize, Serialize};

/// Kind of a job, which determines how its tasks run together; PROTOCOL's `cut`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobKind {
    /// The tasks are independent, and each runs to completion. PROTOCOL's `batch`.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time, or none does.
    #[serde(rename = "gang")]
    Gang,
    /// The tasks are replicas that run until the job is cancelled. PROTOCOL's `daemon`.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job. Variants are ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Lowest priority. Jobs of every other priority may preempt the job.
    #[serde(rename = "low")]
    Low,
    /// Usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Priority above the usual one; PROTOCOL's `urgent`.
    #[serde(rename = "urgent")]
    High,
    /// Priority of production jobs. They are never preempted because of priority. Called `prod`
    /// in PROTOCOL.
    #[serde(rename = "prod")]
    Production,
}

/// Job that a user submits; the body of `POST /submissions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Unique id of the job, chosen by the user; PROTOCOL's `name_id`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Class of the job, to which objectives refer; PROTOCOL's `lot`.
    #[serde(rename = "lot")]
    pub class: String,
    /// Team whose guarantee and limit apply; PROTOCOL's `crew`.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job; PROTOCOL's `cut`.
    #[serde(rename = "cut")]
    pub kind: JobKind,
    /// Priority, which determines which jobs this job may preempt and which may preempt it.
    /// Called `urgency` in PROTOCOL.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, which are numbered from 0; PROTOCOL's `boards`.
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
    /// Image that a machine must have fetched before a task starts. Called `blueprint` in
    /// PROTOCOL.
    #[serde(rename = "blueprint")]
    pub image: String,
    /// Size of the image, in GB; PROTOCOL's `pull_gb`.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Allowed machine types, or `None` if all are allowed. Called `grades` in PROTOCOL.
    #[serde(rename = "grades", default)]
    pub types: Option<Vec<String>>,
    /// Only allowed zone, or `None` if all are allowed. Called `yard` in PROTOCOL.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// True if all tasks must be in the same zone; PROTOCOL's `same_place`.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// True if at most half of the tasks, rounded up, may be in one zone. Called `scatter` in
    /// PROTOCOL.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// True if the job may use spot machines; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// User's estimate of a task's run time, in seconds. It does not include the time to fetch
    /// the image. Called `expect_s` in PROTOCOL.
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    /// Progress of a task between two checkpoints, in seconds, or 0 if tasks never save
    /// checkpoints. Called `notch_s` in PROTOCOL.
    #[serde(rename = "notch_s")]
    pub checkpoint_s: f64,
    /// Time that a task takes to save a checkpoint when it is stopped, in seconds. Called
    /// `stow_s` in PROTOCOL.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Time from the submission to the deadline, in seconds, or `None` if there is no deadline.
    /// Called `due_s` in PROTOCOL.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that have to be done before any task of this job starts. Called `awaits`
    /// in PROTOCOL.
    #[serde(rename = "awaits", default)]
    pub dependencies: Option<Vec<String>>,
}

/// Stage of a job, as users and operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// The job is open, but none of its tasks runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task of the job runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks of the job are done.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled. PROTOCOL's `aborted`.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// State of a job, as a controller reports it to users.
#[derive(Debug, Serialize)]
pub struct JobState<'a> {
    /// Id of the job; PROTOCOL's `name_id`.
    #[serde(rename = "name_id")]
    pub id: &'a str,
    /// Stage of the job.
    #[serde(rename = "stage")]
    pub stage: JobStage,
    /// Number of tasks that are done, for display only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks, for display only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl JobState<'_> {
    /// Returns whether the job is done or cancelled. The stage of such a job never changes
    /// again.
    pub fn is_final(&self) -> bool {
        matches!(self.stage, JobStage::Done | JobStage::Cancelled)
    }
}
