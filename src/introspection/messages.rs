//! JSON messages in the responses to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::wire::JobStage;
use crate::workers::CommandCounts;

/// Tasks of one attempt of a job that are booked on one machine.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunDetails {
    /// Id of the machine.
    pub machine: String,
    /// Zone of the machine.
    pub zone: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Number of tasks of the attempt on the machine.
    pub tasks: usize,
    /// True if the tasks are being stopped.
    pub stopping: bool,
}

/// State of one job.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobDetails {
    /// Id of the job.
    pub job: String,
    /// Stage of the job.
    pub stage: JobStage,
    /// Class of the job; `None` for a done or cancelled job that has no tasks on machines any
    /// more.
    pub class: Option<String>,
    /// Team of the job; `None` in the same case as the class.
    pub team: Option<String>,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that wait for a machine.
    pub waiting: usize,
    /// Number of tasks that are booked on machines.
    pub running: usize,
    /// Number of attempts that have failed since the last success.
    pub failures: u32,
    /// Machines on which the job has failed since one of its tasks last succeeded.
    #[serde(default)]
    pub failed_on: Vec<String>,
    /// Time since this controller first saw the job, in seconds; `None` for a done or
    /// cancelled job.
    pub known_s: Option<f64>,
    /// True if the job is past its deadline, or too late for every objective of its class.
    pub late: bool,
    /// Reason why the job is unfinished; `None` for a done or cancelled job.
    pub reason: Option<String>,
    /// Time for which the reason has been the same, in seconds.
    pub reason_s: Option<f64>,
    /// Tasks of the job on machines, at most 100 entries.
    pub runs: Vec<RunDetails>,
}

/// Resource usage and waiting jobs of a team.
#[derive(Debug, Serialize, Deserialize)]
pub struct TeamDetails {
    /// Name of the team.
    pub team: String,
    /// CPUs that the team's tasks use.
    pub cpus_used: f64,
    /// CPUs that the team's quota in the settings guarantees to the team; 0 for no guarantee.
    pub cpus_guaranteed: f64,
    /// Maximum CPUs that the team may use by its quota; 0 for no limit.
    pub cpus_limit: f64,
    /// CPUs that the team's tasks use beyond the guaranteed CPUs.
    pub cpus_borrowed: f64,
    /// Accelerators that the team's tasks use.
    pub gpus_used: f64,
    /// Accelerators that the team's quota in the settings guarantees to the team; 0 for no
    /// guarantee.
    pub gpus_guaranteed: f64,
    /// Maximum accelerators that the team may use by its quota; 0 for no limit.
    pub gpus_limit: f64,
    /// Accelerators that the team's tasks use beyond the guaranteed accelerators.
    pub gpus_borrowed: f64,
    /// Number of the team's jobs that have waiting tasks.
    pub waiting_jobs: usize,
    /// Number of the team's waiting tasks.
    pub waiting_tasks: usize,
    /// Reason why the first waiting job of the team waits; `None` if no job waits.
    pub why: Option<String>,
}

/// Job that is neither done nor cancelled.
#[derive(Debug, Serialize, Deserialize)]
pub struct UnfinishedJob {
    /// Id of the job.
    pub job: String,
    /// Class of the job.
    pub class: String,
    /// Team of the job.
    pub team: String,
    /// Stage of the job.
    pub stage: JobStage,
    /// Number of tasks that are not done.
    pub left: u32,
    /// True if the job is past its deadline, or too late for every objective of its class.
    pub late: bool,
    /// Time since this controller first saw the job, in seconds.
    pub known_s: f64,
    /// Reason why the job is unfinished.
    pub reason: String,
    /// Time for which the reason has been the same, in seconds.
    pub reason_s: f64,
}

/// One page of the unfinished jobs, with totals and machine counts.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetReport {
    /// Name of the controller that sends the report.
    #[serde(rename = "node")]
    pub controller: String,
    /// Age of the controller's replica of the state, in seconds; `None` before the
    /// controller has completed its first barrier.
    pub state_age_s: Option<f64>,
    /// Number of unfinished jobs. Services are only counted if they lack replicas.
    pub unfinished: usize,
    /// Number of unfinished jobs that are late.
    pub late: usize,
    /// Number of unfinished jobs that are services and lack replicas.
    pub services_short: usize,
    /// Number of machines in each state.
    pub machines: BTreeMap<String, usize>,
    /// Offers that the cloud has recently refused.
    pub refused_by_cloud: Vec<String>,
    /// Numbers of commands that the controller has sent to workers since its start.
    #[serde(default)]
    pub commands: CommandCounts,
    /// Unfinished jobs in the order of their ids, at most 100.
    pub jobs: Vec<UnfinishedJob>,
    /// Last job id on this page; `None` on the last page. To get the next page, pass this id
    /// as the query parameter `after`.
    pub next: Option<String>,
}
