//! The responses to operators, as JSON has them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::wire::JobStage;

/// Tasks of one attempt of a job on one machine.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunDetails {
    /// The machine.
    pub machine: String,
    /// The machine's zone.
    pub zone: String,
    /// The attempt.
    pub attempt: u64,
    /// How many tasks of it the machine has.
    pub tasks: usize,
    /// Whether they are being stopped.
    pub stopping: bool,
}

/// The state of one job.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobDetails {
    /// The job's id.
    pub job: String,
    /// How far it has come.
    pub stage: JobStage,
    /// Its class; `None` once a job that is over has left all machines.
    pub class: Option<String>,
    /// Its team; `None` as with the class.
    pub team: Option<String>,
    /// The number of its tasks.
    pub tasks: u32,
    /// How many of them are done.
    pub done: u32,
    /// How many of them wait for a machine.
    pub waiting: usize,
    /// How many of them are on machines.
    pub running: usize,
    /// How many attempts have failed since the last success.
    pub failures: u32,
    /// The machines that it failed on since it last succeeded anywhere.
    #[serde(default)]
    pub failed_on: Vec<String>,
    /// How long this controller has known it, in seconds; `None` once it is over.
    pub known_s: Option<f64>,
    /// Whether it is past its deadline, or too late for every objective.
    pub late: bool,
    /// Why it is not over; `None` once it is.
    pub reason: Option<String>,
    /// For how many seconds that has been the reason.
    pub reason_s: Option<f64>,
    /// Its tasks on machines, a hundred entries at most.
    pub runs: Vec<RunDetails>,
}

/// What a team uses and what it waits for.
#[derive(Debug, Serialize, Deserialize)]
pub struct TeamDetails {
    /// The team's name.
    pub team: String,
    /// CPUs that its tasks take.
    pub cpus_used: f64,
    /// CPUs that are guaranteed to it.
    pub cpus_guaranteed: f64,
    /// The most CPUs that it may use; 0 for no limit.
    pub cpus_limit: f64,
    /// CPUs that it uses beyond its guarantee.
    pub cpus_borrowed: f64,
    /// Accelerators that its tasks take.
    pub gpus_used: f64,
    /// Accelerators that are guaranteed to it.
    pub gpus_guaranteed: f64,
    /// The most accelerators that it may use; 0 for no limit.
    pub gpus_limit: f64,
    /// Accelerators that it uses beyond its guarantee.
    pub gpus_borrowed: f64,
    /// How many of its jobs have tasks that wait.
    pub waiting_jobs: usize,
    /// How many of its tasks wait.
    pub waiting_tasks: usize,
    /// Why the first of its waiting jobs waits.
    pub why: Option<String>,
}

/// A job that is neither done nor cancelled.
#[derive(Debug, Serialize, Deserialize)]
pub struct UnfinishedJob {
    /// The job's id.
    pub job: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// How far it has come.
    pub stage: JobStage,
    /// How many of its tasks are not done.
    pub left: u32,
    /// Whether it is past its deadline, or too late for every objective.
    pub late: bool,
    /// How long this controller has known it, in seconds.
    pub known_s: f64,
    /// Why it is not over.
    pub reason: String,
    /// For how many seconds that has been the reason.
    pub reason_s: f64,
}

/// What is unfinished or late, one page of the jobs.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetReport {
    /// The name of the controller that reports.
    #[serde(rename = "node")]
    pub controller: String,
    /// The age of what this controller knows, in seconds.
    pub state_age_s: Option<f64>,
    /// How many jobs are unfinished; services that lack no replica are not.
    pub unfinished: usize,
    /// How many of them are late.
    pub late: usize,
    /// How many of them are services that lack replicas.
    pub services_short: usize,
    /// How many machines are in each state.
    pub machines: BTreeMap<String, usize>,
    /// Offers that the cloud has refused of late.
    pub refused_by_cloud: Vec<String>,
    /// Unfinished jobs in the order of their ids, a hundred at most.
    pub jobs: Vec<UnfinishedJob>,
    /// Where the next page goes on.
    pub next: Option<String>,
}
