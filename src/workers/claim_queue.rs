//! Claims that heartbeats have asked for and that wait to be committed.

use std::cell::{Cell, Ref, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// What has become of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimProgress {
    /// Its commit is yet to be answered.
    Pending,
    /// It is decided; the replica shows whether the machine is owned.
    Decided,
    /// The state service serves this controller nothing at present. The claim is
    /// tried again, but no heartbeat is kept waiting for it.
    Refused,
}

/// Which claims are committed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ClaimPriority {
    /// The worker's lease is renewed meanwhile, or nothing runs there.
    Normal,
    /// The worker waits for the answer, or has to be told to stop something.
    Urgent,
}

/// A claim that a heartbeat has asked for.
#[derive(Debug)]
pub(super) struct Claim {
    progress: watch::Sender<ClaimProgress>,
    /// When it was last asked for: a worker that has gone on to another
    /// controller meanwhile is not to be drawn back.
    pub requested_at: Instant,
    /// The machine's fencing token in the replica when it was asked for.
    pub known_fencing_token: u64,
    priority: ClaimPriority,
}

impl Claim {
    /// Claims are committed in the order of this key: urgent ones first, and of these
    /// the ones that heartbeats wait for.
    pub(super) fn commit_order(&self) -> (Reverse<ClaimPriority>, bool) {
        (Reverse(self.priority), self.progress.is_closed())
    }
}

/// The claims that wait to be committed.
#[derive(Debug, Default)]
pub(super) struct ClaimQueue {
    /// By machine.
    claims: RefCell<BTreeMap<String, Claim>>,
    /// How many heartbeats wait for their claims, each with its connection.
    waiting_heartbeats: Cell<usize>,
    /// Wakes the commits of claims.
    notify: Notify,
}

impl ClaimQueue {
    pub(super) fn claims(&self) -> Ref<'_, BTreeMap<String, Claim>> {
        self.claims.borrow()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.claims.borrow().is_empty()
    }

    /// Adds a claim, or renews the one that waits already.
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

    /// Counts a heartbeat that waits for its claim while the value lives; `None` if
    /// `max` of them wait already.
    pub(super) fn begin_wait(&self, max: usize) -> Option<WaitingHeartbeat<'_>> {
        let count = &self.waiting_heartbeats;
        (count.get() < max).then(|| WaitingHeartbeat::new(count))
    }

    /// Waits until a claim has been asked for.
    pub(super) async fn requested(&self) {
        self.notify.notified().await;
    }

    /// Takes a claim off the queue and tells those who wait that it is decided.
    pub(super) fn resolve(&self, machine: &str) {
        if let Some(claim) = self.claims.borrow_mut().remove(machine) {
            claim.progress.send_replace(ClaimProgress::Decided);
        }
    }

    /// Ends the wait of all heartbeats whose claims cannot be committed for now.
    pub(super) fn refuse_all(&self) {
        for claim in self.claims.borrow().values() {
            claim.progress.send_replace(ClaimProgress::Refused);
        }
    }

    /// Drops the claims that a condition does not hold for.
    pub(super) fn retain(&self, mut keeps: impl FnMut(&str, &Claim) -> bool) {
        let mut claims = self.claims.borrow_mut();
        claims.retain(|machine, claim| keeps(machine, claim));
    }

    /// Drops all claims.
    pub(super) fn clear(&self) {
        self.claims.borrow_mut().clear();
    }
}

/// Counts a heartbeat that waits for its claim, for as long as it does.
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
