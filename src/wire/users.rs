//! Messages between users and a controller: submissions and job states.

use serde::{Deserialize, Serialize};

/// Kind of a job, which determines how its tasks run together; PROTOCOL's `cut`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion; PROTOCOL's `batch`.
    #[serde(rename = "batch")]
    Array,
    /// Tasks that all run at the same time, or not at all.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled; PROTOCOL's `daemon`.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job. Variants are ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Lowest priority, which jobs of every other priority may preempt.
    #[serde(rename = "low")]
    Low,
    /// Usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Priority above the usual one; PROTOCOL's `urgent`.
    #[serde(rename = "urgent")]
    High,
    /// Priority of production jobs, which are never preempted because of priority;
    /// PROTOCOL's `prod`.
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
    /// Priority, which determines which jobs it may preempt and may be preempted by;
    /// PROTOCOL's `urgency`.
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
    /// Image that a machine must have fetched before a task starts; PROTOCOL's `blueprint`.
    #[serde(rename = "blueprint")]
    pub image: String,
    /// Size of the image, in GB; PROTOCOL's `pull_gb`.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Allowed machine types, or `None` for any; PROTOCOL's `grades`.
    #[serde(rename = "grades", default)]
    pub types: Option<Vec<String>>,
    /// Only allowed zone, or `None` for any; PROTOCOL's `yard`.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// True if all tasks must be in the same zone; PROTOCOL's `same_place`.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// True if at most half of the tasks, rounded up, may be in one zone; PROTOCOL's
    /// `scatter`.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// True if the job may use spot machines; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// User's estimate of a task's run time, without fetching the image, in seconds;
    /// PROTOCOL's `expect_s`.
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    /// Progress between checkpoints, in seconds, or 0 if tasks never save checkpoints;
    /// PROTOCOL's `notch_s`.
    #[serde(rename = "notch_s")]
    pub checkpoint_s: f64,
    /// Time that a task takes to save a checkpoint when it is stopped, in seconds;
    /// PROTOCOL's `stow_s`.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Time from the submission to the deadline, in seconds, or `None` without a deadline;
    /// PROTOCOL's `due_s`.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this job starts; PROTOCOL's `awaits`.
    #[serde(rename = "awaits", default)]
    pub dependencies: Option<Vec<String>>,
}

/// Stage of a job, as users and operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStage {
    /// Job without running tasks.
    #[serde(rename = "queued")]
    Queued,
    /// Job with at least one running task.
    #[serde(rename = "running")]
    Running,
    /// Job whose tasks are all done.
    #[serde(rename = "done")]
    Done,
    /// Job that was cancelled; PROTOCOL's `aborted`.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// State of a job, as in the responses to users.
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
    /// Returns whether the job is done or cancelled, which never changes again.
    pub fn is_final(&self) -> bool {
        matches!(self.stage, JobStage::Done | JobStage::Cancelled)
    }
}
