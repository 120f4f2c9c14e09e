//! Reasons why jobs wait. The last placement decision on a job determines its reason.

use serde::Serialize;
use tokio::time::Instant;

/// Reason why a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No machine has capacity for a task of the job or, for a gang, the machines do not
    /// have capacity for all its tasks.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// The gang requires a single zone, and no zone has capacity for all its tasks.
    NoZone,
    /// The job's team has reached its limit.
    TeamLimit,
    /// Tasks of an earlier attempt are not proven to have ended yet.
    OldAttempt,
    /// The job's retry back-off after a failure is not over.
    BackOff,
    /// The job has failed on several machines. Only some of its tasks are retried, at
    /// intervals.
    #[serde(rename = "fails")]
    SuspectedFaulty,
    /// The job's tasks are limited per zone, and the limit leaves no zone with capacity.
    #[serde(rename = "spread")]
    ZoneCapReached,
    /// The job's record has no space for more tasks.
    RecordFull,
    /// The round's commit was full before all of the job's placements were booked.
    #[serde(rename = "queue")]
    CommitFull,
    /// The cloud has refused to provide every machine type that the job could run on.
    #[serde(rename = "refused")]
    RefusedByCloud,
}

/// Wait reason of a job, as found by the last round that examined it.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct WaitState {
    /// Reason why the job waits.
    #[serde(rename = "why")]
    pub reason: WaitReason,
    /// Time since which the job has waited for this reason.
    #[serde(skip)]
    pub since: Instant,
}
