//! How far the replica is up to date with the state service, and who waits for it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The progress of the replica, of the watch that feeds it, and of the read barriers
/// that show how recent it is.
#[derive(Debug, Default)]
pub struct StateSync {
    /// The revision that the replica has reached.
    pub(super) applied_revision: watch::Sender<u64>,
    pub(super) barriers: ReadBarriers,
    /// Ends the present watch, as it may be stuck.
    pub(super) reopen_watch: Notify,
    /// Has the next watch opened without delay, as someone waits for the replica.
    pub(super) expedite_watch: Notify,
}

impl StateSync {
    /// The send time of the last read barrier that the replica has reached; `None`
    /// before the first.
    pub fn last_barrier(&self) -> Option<Instant> {
        self.barriers.last_completed.get()
    }

    /// Tells those who wait that the replica has reached this revision.
    pub(super) fn advance_to(&self, revision: u64) {
        self.applied_revision.send_if_modified(|applied| {
            let is_newer = *applied < revision;
            *applied = revision.max(*applied);
            is_newer
        });
    }
}

/// Read barriers, numbered in the order in which they are started.
#[derive(Debug, Default)]
pub(super) struct ReadBarriers {
    /// Wakes the loop that issues barriers.
    pub(super) requested: Notify,
    /// The number of the last barrier that was started.
    pub(super) started: Cell<u64>,
    /// The number of the last barrier that the replica has reached.
    pub(super) completed: watch::Sender<u64>,
    /// The number of the last barrier that the state service refused to serve.
    pub(super) refused: watch::Sender<u64>,
    /// The send time of the last barrier that the replica has reached.
    pub(super) last_completed: Cell<Option<Instant>>,
    /// Machines with launches that wait for the next barrier.
    pub(super) deferred_launches: RefCell<BTreeSet<String>>,
}

impl ReadBarriers {
    /// Counts one more barrier as started and returns its number.
    pub(super) fn start_next(&self) -> u64 {
        let number = self.next_number();
        self.started.set(number);
        number
    }

    /// The number of the next barrier to start, which is surely sent after this call.
    pub(super) fn next_number(&self) -> u64 {
        self.started.get() + 1
    }
}
