//! Messages between users and a controller: submissions, and the state of a job.

use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together; PROTOCOL's `cut`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobKind {
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
    pub kind: JobKind,
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
