//! Requests claims on behalf of heartbeats, and limits how long and how many heartbeats
//! wait for them.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::claim_queue::{ClaimPriority, ClaimProgress};
use crate::controller::Controller;
use crate::wire::WorkerStatus;

/// Maximum time that a heartbeat waits for its claim. A worker drops an answer that takes
/// 4 s, so a heartbeat whose claim is not committed in time is refused early enough for the
/// refusal to reach the worker.
const CLAIM_WAIT_TIMEOUT: Duration = Duration::from_millis(3200);

/// Number of connections per heartbeat that may wait for its claim, where there are more
/// workers than connections.
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

    /// Claims the machine and waits for the commit; returns whether the machine is owned
    /// then. The wait ends early if the state service refuses the commit.
    pub(super) async fn claim(&self, status: &WorkerStatus) -> bool {
        let mut progress = self.request_claim(status, ClaimPriority::Urgent);
        let max_waiting = self.max_waiting_heartbeats();
        if let Some(_waiting) = self.workers.claims.begin_wait(max_waiting) {
            let resolved = progress.wait_for(|progress| *progress != ClaimProgress::Pending);
            let _ = timeout(CLAIM_WAIT_TIMEOUT, resolved).await;
        }
        self.owns(&status.machine)
    }

    /// Returns the maximum number of heartbeats that may wait for their claims, each of
    /// which holds a connection. If there may be more workers than connections, waiting
    /// heartbeats must not use up the connections of the others: most are answered without
    /// a wait, and their workers send another heartbeat.
    fn max_waiting_heartbeats(&self) -> usize {
        let connections = self.settings.served_connections();
        let machines = self.replica.borrow().machines.len();
        match machines > connections / 4 * 3 {
            true => connections / CONNECTIONS_PER_AWAITED_CLAIM,
            false => connections,
        }
    }
}
