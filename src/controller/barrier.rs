//! Read barriers, which bound the staleness of the replica.
//!
//! A read barrier reads the state service's revision and waits until the replica has
//! reached it. The replica then contains everything that was committed before the read was
//! sent, so the send time of the last completed read bounds the replica's staleness.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Controller;
use crate::settings::REQUESTS_PER_BARRIER;
use crate::state::client::StateClientError;
use crate::state::keys::BARRIER_KEY;

impl Controller {
    /// Returns the time since the last completed barrier was sent, or `None` if no barrier
    /// has completed yet.
    pub fn replica_staleness(&self) -> Option<Duration> {
        self.state_sync.last_barrier().map(|sent| sent.elapsed())
    }

    /// Returns whether this controller may renew its workers' leases. Safety 4: a
    /// controller that may have missed a cancellation for longer than the staleness limit
    /// must not extend its workers' leases.
    pub fn may_renew_leases(&self) -> bool {
        self.replica_staleness()
            .is_some_and(|age| age < self.settings.staleness_limit())
    }

    /// Returns whether this controller sent its last completed read barrier less than a
    /// quarter of a worker's lease ago.
    pub fn is_state_service_reachable(&self) -> bool {
        let limit = self.settings.worker_lease() / 4;
        self.replica_staleness().is_some_and(|age| age < limit)
    }

    /// Defers the launches on a machine until the next read barrier completes, and requests
    /// that barrier. Machines that are deferred while others wait already request no
    /// further barrier. If the state service refuses the barrier, it is retried at the
    /// normal interval and not once per deferred machine.
    pub fn defer_launches_until_barrier(&self, machine: &str) {
        let barriers = &self.state_sync.barriers;
        let mut deferred = barriers.deferred_launches.borrow_mut();
        if deferred.is_empty() {
            barriers.requested.notify_one();
        }
        deferred.insert(machine.to_string());
    }

    /// Waits until the replica contains everything that was committed before this call.
    /// Returns false if the wait takes longer than `limit`. Concurrent callers share one
    /// read of the revision.
    pub async fn wait_for_barrier(&self, limit: Duration) -> bool {
        let barriers = &self.state_sync.barriers;
        let awaited = barriers.next_number();
        barriers.requested.notify_one();
        let mut completed = barriers.completed.subscribe();
        matches!(
            timeout(limit, completed.wait_for(|number| *number >= awaited)).await,
            Ok(Ok(_))
        )
    }

    /// Waits like [`Self::wait_for_barrier`], but returns false as soon as the state
    /// service refuses to serve the barrier, so that a user's request does not wait for the
    /// whole limit.
    pub async fn wait_for_barrier_unless_refused(&self, limit: Duration) -> bool {
        let barriers = &self.state_sync.barriers;
        let awaited = barriers.next_number();
        let mut refused = barriers.refused.subscribe();
        tokio::select! {
            biased;
            is_complete = self.wait_for_barrier(limit) => is_complete,
            _ = refused.wait_for(|number| *number >= awaited) => false,
        }
    }

    /// Issues read barriers: one per idle interval, and earlier when one is requested.
    pub async fn run_barriers(self: Rc<Self>) {
        let idle = self.settings.idle_barrier_interval();
        let min_interval = self.request_interval() * REQUESTS_PER_BARRIER;
        let barriers = &self.state_sync.barriers;
        loop {
            // After a start of the controller, its workers' leases are already running out
            // and cannot be renewed before a barrier has completed. The first barrier is
            // therefore sent without waiting for a request.
            if barriers.last_completed.get().is_some() {
                let _ = timeout(idle, barriers.requested.notified()).await;
            }
            let sent = Instant::now();
            let number = barriers.start_next();
            match self.state_client.revision(BARRIER_KEY).await {
                Ok(revision) => self.complete_barrier(number, sent, revision).await,
                Err(error) => self.record_failed_barrier(number, &error),
            }
            sleep(min_interval.saturating_sub(sent.elapsed())).await;
        }
    }

    /// Waits until the replica has reached the revision that a barrier read, then records
    /// the barrier as completed.
    async fn complete_barrier(&self, number: u64, sent: Instant, revision: u64) {
        let limit = self.settings.worker_lease() / 8;
        if self.replica.borrow().revision < revision {
            self.expedite_watch();
        }
        if self.replica.borrow().loaded && self.wait_for_revision(revision, limit).await {
            self.record_completed_barrier(sent);
            let barriers = &self.state_sync.barriers;
            barriers.completed.send_replace(number);
        } else {
            // The watch is stuck, or its connection is dead.
            self.state_sync.reopen_watch.notify_one();
        }
    }

    fn record_failed_barrier(&self, number: u64, error: &StateClientError) {
        tracing::debug!(%error, "read barrier failed");
        if error.is_refusal() {
            self.state_sync.barriers.refused.send_replace(number);
        }
    }

    /// Records the send time of a newly completed barrier, and schedules the launches that
    /// were deferred until it.
    fn record_completed_barrier(&self, sent: Instant) {
        let barriers = &self.state_sync.barriers;
        barriers.last_completed.set(Some(sent));
        let mut deferred = barriers.deferred_launches.borrow_mut();
        if !deferred.is_empty() {
            let changes = &mut self.replica.borrow_mut().changes;
            changes.machines.append(&mut deferred);
            self.workers.wake_commands();
        }
    }
}
