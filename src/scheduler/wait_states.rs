//! Why a job waits, as the last placement decision about it found.

use serde::Serialize;
use tokio::time::Instant;

/// Why a job has to wait, as the decision found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No zone has capacity for the whole gang, or no machine for a task.
    NoRoom,
    /// No single zone holds a gang that must stay in one.
    NoZone,
    /// The team is at its limit.
    TeamLimit,
    /// Tasks of an earlier attempt are not surely gone yet.
    OldAttempt,
    /// It failed before and is tried again later.
    BackOff,
    /// It fails wherever it runs: a part of it is tried now and then.
    Fails,
    /// Its tasks may not all be in the zones that have capacity.
    Spread,
    /// More tasks would not fit into the job's record.
    RecordFull,
    /// Other work goes first in this round.
    Queue,
    /// The cloud has refused every machine that would hold it.
    Refused,
}

/// A job's reason to wait, as the last round that looked at it found.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct WaitState {
    /// Why it waits.
    #[serde(rename = "why")]
    pub reason: WaitReason,
    /// Since when it has waited for that reason.
    #[serde(skip)]
    pub since: Instant,
}
