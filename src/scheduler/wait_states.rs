//! Reasons why jobs wait, as found by the last placement decision about each.

use serde::Serialize;
use tokio::time::Instant;

/// Reason why a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// Lack of a zone with capacity for the whole gang, or of a machine with capacity for
    /// a task.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// Lack of a single zone with capacity for a gang that requires one zone.
    NoZone,
    /// Team at its limit.
    TeamLimit,
    /// Tasks of an earlier attempt that are not proven to have ended.
    OldAttempt,
    /// Retry back-off after a failure.
    BackOff,
    /// Failures on several machines. Only a part of the job is retried, at intervals.
    #[serde(rename = "fails")]
    SuspectedFaulty,
    /// Cap on the job's tasks per zone: the zones with capacity have reached it.
    #[serde(rename = "spread")]
    ZoneCapReached,
    /// Lack of space for more tasks in the job's record.
    RecordFull,
    /// Other work that took precedence in the round and filled its commit.
    #[serde(rename = "queue")]
    CommitFull,
    /// Refusal by the cloud of every machine type that the job could run on.
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
