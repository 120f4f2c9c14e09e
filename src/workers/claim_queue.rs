//! Claims that heartbeats have asked for and that wait to be committed.

use std::cell::{Cell, Ref, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

use crate::controller::Controller;
use crate::wire::WorkerStatus;

/// How long a heartbeat waits for its claim: a worker drops an answer that takes
/// 4 s, so one that cannot be claimed soon is refused while that still helps it.
const CLAIM_WAIT: Duration = Duration::from_millis(3200);

/// With more workers than connections, one connection in so many may be held by a
/// heartbeat that waits for its claim.
const CONNECTIONS_PER_AWAITED_CLAIM: usize = 16;

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
    fn request(
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
struct WaitingHeartbeat<'a>(&'a Cell<usize>);

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

impl Controller {
    /// Whether this run of the controller owns the machine, as far as its replica
    /// tells.
    pub fn owns(&self, machine: &str) -> bool {
        let replica = self.replica.borrow();
        let owned_workers = self.workers.owned();
        match (owned_workers.get(machine), replica.machines.get(machine)) {
            (Some(owned_worker), Some(record)) => {
                owned_worker.fencing_token == record.value.fencing_token
                    && record.value.incarnation == self.incarnation
            }
            _ => false,
        }
    }

    /// Asks for a claim of the machine that the status is of; the receiver tells what
    /// becomes of it.
    pub(super) fn request_claim(
        &self,
        status: &WorkerStatus,
        priority: ClaimPriority,
    ) -> watch::Receiver<ClaimProgress> {
        self.fleet.borrow_mut().record_claim_report(status);
        let machine = status.machine.as_str();
        let known_fencing_token = {
            let replica = self.replica.borrow();
            let record = replica.machines.get(machine);
            record.map_or(0, |entry| entry.value.fencing_token)
        };
        self.workers
            .claims
            .request(machine, known_fencing_token, priority, Instant::now())
    }

    /// Claims the machine and waits for the commit; true if it is owned then. What
    /// the state service refuses is not waited for.
    pub(super) async fn claim(&self, status: &WorkerStatus) -> bool {
        let mut progress = self.request_claim(status, ClaimPriority::Urgent);
        let waiting = &self.workers.claims.waiting_heartbeats;
        if waiting.get() < self.max_waiting_heartbeats() {
            let _waiting = WaitingHeartbeat::new(waiting);
            let answered = progress.wait_for(|progress| *progress != ClaimProgress::Pending);
            let _ = timeout(CLAIM_WAIT, answered).await;
        }
        self.owns(&status.machine)
    }

    /// How many heartbeats may wait for their claims, each with its connection.
    /// Where there may be more workers than connections, those that wait must not
    /// shut the others out: most are told to stay, and send another heartbeat.
    fn max_waiting_heartbeats(&self) -> usize {
        let connections = self.settings.served_connections();
        let machines = self.replica.borrow().machines.len();
        match machines > connections / 4 * 3 {
            true => connections / CONNECTIONS_PER_AWAITED_CLAIM,
            false => connections,
        }
    }
}
