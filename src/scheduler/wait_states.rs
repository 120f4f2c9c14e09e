//! Why a job waits, as the last decision about it found.

use serde::Serialize;
use tokio::time::Instant;

use crate::controller::Controller;

/// Why a job has to wait, as the decision found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No zone has room for the whole gang, or no machine for a task.
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
    /// Its tasks may not all be in the zones that have room.
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
    pub why: WaitReason,
    /// Since when it has waited for that reason.
    #[serde(skip)]
    pub since: Instant,
}

/// Notes why a job waits. What the cloud says of its machines is kept.
pub fn note(controller: &Controller, id: &str, why: WaitReason, now: Instant) {
    let mut wait_states = controller.placement.wait_states.borrow_mut();
    match wait_states.get_mut(id) {
        Some(known) if known.why == why => {}
        // The controller that rents knows better why there is no room.
        Some(known) if known.why == WaitReason::Refused && why == WaitReason::NoRoom => {}
        _ => {
            tracing::debug!(job = id, ?why, "waits");
            wait_states.insert(id.to_string(), WaitState { why, since: now });
        }
    }
}
