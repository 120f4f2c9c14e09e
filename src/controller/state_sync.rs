//! The progress of the replica relative to the state service, and notifications of it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The progress of the replica, of the watch that updates it, and of the read barriers that
/// bound its staleness.
#[derive(Debug, Default)]
pub struct StateSync {
    /// The revision that the replica has reached.
    pub(super) applied_revision: watch::Sender<u64>,
    pub(super) barriers: ReadBarriers,
    /// Notified when the current watch may be stuck. The watch loop then abandons it and opens
    /// a new one.
    pub(super) reopen_watch: Notify,
    /// Notified when a caller needs the replica to catch up. The watch loop then opens the next
    /// watch without a pause.
    pub(super) expedite_watch: Notify,
}

impl StateSync {
    /// Returns the send time of the last read barrier that the replica has reached; `None`
    /// before the first one.
    pub fn last_barrier(&self) -> Option<Instant> {
        self.barriers.last_completed.get()
    }

    /// Notifies waiting callers that the replica has reached this revision.
    pub(super) fn advance_to(&self, revision: u64) {
        self.applied_revision.send_if_modified(|applied| {
            let is_newer = *applied < revision;
            *applied = revision.max(*applied);
            is_newer
        });
    }
}

/// The state of the read barriers, which are numbered in the order in which they are
/// started.
#[derive(Debug, Default)]
pub(super) struct ReadBarriers {
    /// Notified when a caller starts to wait for a barrier, or when launches are deferred
    /// until the next one. Wakes the barrier loop before its idle interval ends.
    pub(super) requested: Notify,
    /// The number of the last barrier that was started.
    pub(super) started: Cell<u64>,
    /// The number of the last barrier that the replica has reached.
    pub(super) completed: watch::Sender<u64>,
    /// The number of the last barrier that the state service refused to serve.
    pub(super) refused: watch::Sender<u64>,
    /// The send time of the last barrier that the replica has reached.
    pub(super) last_completed: Cell<Option<Instant>>,
    /// Machines whose launches are deferred until the next barrier.
    pub(super) deferred_launches: RefCell<BTreeSet<String>>,
}

impl ReadBarriers {
    /// Counts one more barrier as started, and returns its number.
    pub(super) fn start_next(&self) -> u64 {
        let number = self.next_number();
        self.started.set(number);
        number
    }

    /// Returns the number of the next barrier to be started. That barrier is sent after
    /// this call, so it covers everything that was committed before the call.
    pub(super) fn next_number(&self) -> u64 {
        self.started.get() + 1
    }
}
