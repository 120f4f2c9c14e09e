//! Requests claims on behalf of heartbeats, and limits how long and how many heartbeats
//! wait for them.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::claim_queue::{ClaimPriority, ClaimProgress};
use crate::controller::Controller;
use crate::wire::WorkerStatus;

/// Maximum time that a heartbeat waits for its claim. A worker waits 4 s for an answer. The
/// shorter limit leaves time for the answer to reach the worker if the claim is not
/// committed.
const CLAIM_WAIT_TIMEOUT: Duration = Duration::from_millis(3200);

/// Divisor that limits the heartbeats that wait for their claims when there may be more
/// workers than connections: one connection in this many may be held by such a heartbeat.
const CONNECTIONS_PER_AWAITED_CLAIM: usize = 16;

impl Controller {
    /// Requests a claim of the machine that sent the status, and returns a receiver of the
    /// claim's state.
    pub(super) fn request_claim(
        &self,
        status: &WorkerStatus,
        priority: ClaimPriority,
    ) -> watch::Receiver<ClaimProgress> {
        self.fleet.borrow_mut().record_claim_status(status);
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

    /// Requests a claim of the machine, waits for its commit, and returns whether this
    /// controller owns the machine afterwards. There is no wait if too many heartbeats wait
    /// already, and the wait ends early if the state service refuses the commit.
    pub(super) async fn claim(&self, status: &WorkerStatus) -> bool {
        let mut progress = self.request_claim(status, ClaimPriority::Urgent);
        let max_waiting = self.max_waiting_heartbeats();
        if let Some(_waiting) = self.workers.claims.begin_wait(max_waiting) {
            let resolved = progress.wait_for(|progress| *progress != ClaimProgress::Pending);
            let _ = timeout(CLAIM_WAIT_TIMEOUT, resolved).await;
        }
        self.owns(&status.machine)
    }

    /// Returns the maximum number of heartbeats that may wait for their claims. Each waiting
    /// heartbeat holds a connection. If there may be more workers than connections, most
    /// heartbeats are answered without a wait, and their workers send another one, so that
    /// connections remain for all workers.
    fn max_waiting_heartbeats(&self) -> usize {
        let connections = self.settings.served_connections();
        let machines = self.replica.borrow().machines.len();
        match machines > connections / 4 * 3 {
            true => connections / CONNECTIONS_PER_AWAITED_CLAIM,
            false => connections,
        }
    }
}
