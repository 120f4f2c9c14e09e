//! The queue of claims that heartbeats have requested and that wait to be committed.

use std::cell::{Cell, Ref, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The state of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimProgress {
    /// The claim waits in the queue; no commit that contains it has succeeded yet.
    Pending,
    /// The claim has left the queue, granted or not. The replica shows whether this
    /// controller owns the machine.
    Resolved,
    /// The commit failed because the state service serves no requests of this controller
    /// at present. The claim stays in the queue, but no heartbeat waits for it any longer.
    Refused,
}

/// The priority of a claim's commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ClaimPriority {
    /// The worker can do without the claim for now: its lease is renewed in the meantime, or
    /// no task runs on the machine.
    Normal,
    /// The worker waits for the answer to its heartbeat, which may also have to stop a task,
    /// or the outcome of a launch stays unknown until a claim increments the fencing token.
    Urgent,
}

/// A claim that a heartbeat has requested.
#[derive(Debug)]
pub(super) struct Claim {
    progress: watch::Sender<ClaimProgress>,
    /// Time of the last request. If another controller owns the machine and the worker no
    /// longer requests the claim here, the claim is dropped: the worker has moved on to the
    /// other controller and must not be taken back.
    pub requested_at: Instant,
    /// Fencing token of the machine in the replica at the time of the last request.
    pub known_fencing_token: u64,
    priority: ClaimPriority,
}

impl Claim {
    /// Returns the key by which claims are sorted for commits. Urgent claims come first;
    /// within a priority, the claims that a heartbeat waits for come first.
    pub(super) fn commit_order(&self) -> (Reverse<ClaimPriority>, bool) {
        (Reverse(self.priority), self.progress.is_closed())
    }
}

/// The claims that wait to be committed.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    /// Claims by machine.
    claims: RefCell<BTreeMap<String, Claim>>,
    /// Number of heartbeats that wait for their claims. Each of these heartbeats holds a
    /// connection.
    waiting_heartbeats: Cell<usize>,
    /// Notification that wakes the commit loop when a claim was requested.
    notify: Notify,
}

impl ClaimQueue {
    pub(super) fn claims(&self) -> Ref<'_, BTreeMap<String, Claim>> {
        self.claims.borrow()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.claims.borrow().is_empty()
    }

    /// Queues a claim of the machine, or renews the one that is queued already, and returns
    /// a receiver of the claim's state.
    pub(super) fn request(
        &self,
        machine: &str,
        known_fencing_token: u64,
        priority: ClaimPriority,
        now: Instant,
    ) -> watch::Receiver<ClaimProgress> {
        let mut claims = self.claims.borrow_mut();
        let claim = claims.entry(machine.to_string()).or_insert_with(|| Claim {
            progress: watch::Sender::new(ClaimProgress::Pending),
            requested_at: now,
            known_fencing_token,
            priority,
        });
        claim.known_fencing_token = known_fencing_token;
        claim.requested_at = now;
        claim.priority = claim.priority.max(priority);
        claim.progress.send_replace(ClaimProgress::Pending);
        let progress = claim.progress.subscribe();
        self.notify.notify_one();
        progress
    }

    /// Counts a heartbeat as waiting for its claim until the returned guard is dropped;
    /// returns `None` if `max` heartbeats are waiting already.
    pub(super) fn begin_wait(&self, max: usize) -> Option<WaitingHeartbeat<'_>> {
        let count = &self.waiting_heartbeats;
        (count.get() < max).then(|| WaitingHeartbeat::new(count))
    }

    /// Waits until a claim has been requested.
    pub(super) async fn requested(&self) {
        self.notify.notified().await;
    }

    /// Removes a claim from the queue and notifies the heartbeats that wait for it.
    pub(super) fn resolve(&self, machine: &str) {
        if let Some(claim) = self.claims.borrow_mut().remove(machine) {
            claim.progress.send_replace(ClaimProgress::Resolved);
        }
    }

    /// Marks all claims as refused, so that no heartbeat waits for them any longer.
    pub(super) fn refuse_all(&self) {
        for claim in self.claims.borrow().values() {
            claim.progress.send_replace(ClaimProgress::Refused);
        }
    }

    /// Drops all claims for which `keeps` returns false.
    pub(super) fn retain(&self, mut keeps: impl FnMut(&str, &Claim) -> bool) {
        let mut claims = self.claims.borrow_mut();
        claims.retain(|machine, claim| keeps(machine, claim));
    }

    /// Drops all claims.
    pub(super) fn clear(&self) {
        self.claims.borrow_mut().clear();
    }
}

/// A guard that counts one heartbeat as waiting for its claim until it is dropped.
pub(super) struct WaitingHeartbeat<'a>(&'a Cell<usize>);

impl<'a> WaitingHeartbeat<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        WaitingHeartbeat(count)
    }
}

impl Drop for WaitingHeartbeat<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
