//! Heartbeats ask for claims of their machines, and wait for them within bounds.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::claim_queue::{ClaimPriority, ClaimProgress};
use crate::controller::Controller;
use crate::wire::WorkerStatus;

/// How long a heartbeat waits for its claim: a worker drops an answer that takes
/// 4 s, so one that cannot be claimed soon is refused while that still helps it.
const CLAIM_WAIT: Duration = Duration::from_millis(3200);

/// With more workers than connections, one connection in so many may be held by a
/// heartbeat that waits for its claim.
const CONNECTIONS_PER_AWAITED_CLAIM: usize = 16;

impl Controller {
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
        let max_waiting = self.max_waiting_heartbeats();
        if let Some(_waiting) = self.workers.claims.begin_wait(max_waiting) {
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
