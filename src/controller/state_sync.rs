//! How far the replica is up to date with the state service, and who waits for it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The progress of the replica and of the read barriers.
#[derive(Debug, Default)]
pub struct StateSync {
    /// The revision that the replica has reached, for those who wait on it.
    pub applied_revision: watch::Sender<u64>,
    /// The send time of the last barrier that the replica has reached.
    pub last_barrier: Cell<Option<Instant>>,
    /// Wakes the loop that issues read barriers.
    pub(super) barrier_notify: Notify,
    /// The number of the last barrier that was started.
    pub(super) barrier_started: Cell<u64>,
    /// The number of the last barrier that the replica has reached.
    pub(super) barrier_done: watch::Sender<u64>,
    /// The number of the last barrier that the state service refused to serve.
    pub(super) barrier_refused: watch::Sender<u64>,
    /// Machines with launches that wait for the next read barrier.
    pub(super) deferred_launches: RefCell<BTreeSet<String>>,
    /// Has the present watch given up, as it may be stuck.
    pub(super) watch_again: Notify,
    /// Someone waits for the replica: the next watch is opened without delay.
    pub(super) watch_expedited: Notify,
}
