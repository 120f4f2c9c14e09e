//! The last barrier: how recent the replica surely is, by read barriers.
//!
//! A barrier reads the store's revision and waits until the replica has reached it.
//! The replica then holds everything that was committed before the read was sent, and
//! this moment becomes the last barrier.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Controller;
use crate::settings::BARRIER_GAP_REQUESTS;
use crate::state::keys::BARRIER_KEY;

impl Controller {
    /// How old the last barrier is; `None` before the first barrier.
    pub fn replica_staleness(&self) -> Option<Duration> {
        self.state_sync.last_barrier.get().map(|t| t.elapsed())
    }

    /// Safety 4: a controller that may have missed a cancellation for too
    /// long must not keep workers' leases alive.
    pub fn may_renew_leases(&self) -> bool {
        self.replica_staleness()
            .is_some_and(|age| age < self.settings.staleness_limit())
    }

    /// Whether the state service serves this controller, as far as is known.
    pub fn is_state_service_reachable(&self) -> bool {
        let limit = self.settings.worker_lease() / 4;
        self.replica_staleness().is_some_and(|age| age < limit)
    }

    /// Has a machine's orders planned again after the next read barrier, and asks for
    /// one. Only the first machine asks: where the state service refuses, barriers
    /// are tried again in their normal interval.
    pub fn request_barrier_for(&self, machine: &str) {
        let mut deferred = self.state_sync.deferred_launches.borrow_mut();
        if deferred.is_empty() {
            self.state_sync.barrier_notify.notify_one();
        }
        deferred.insert(machine.to_string());
    }

    /// Takes over a newer read barrier, and has what waited for it planned again.
    fn set_last_barrier(&self, sent: Instant) {
        self.state_sync.last_barrier.set(Some(sent));
        let mut deferred = self.state_sync.deferred_launches.borrow_mut();
        if !deferred.is_empty() {
            let changes = &mut self.replica.borrow_mut().changes;
            changes.machines.append(&mut deferred);
            self.workers.wake_commands();
        }
    }

    /// Waits until the replica holds everything that was committed before this
    /// call. Many callers share one read of the revision.
    pub async fn barrier(&self, limit: Duration) -> bool {
        // The next barrier to start was surely sent after this moment.
        let wanted = self.state_sync.barrier_started.get() + 1;
        self.state_sync.barrier_notify.notify_one();
        let mut done = self.state_sync.barrier_done.subscribe();
        matches!(
            timeout(limit, done.wait_for(|d| *d >= wanted)).await,
            Ok(Ok(_))
        )
    }

    /// Keeps the last barrier and serves those who wait for a barrier.
    pub async fn run_barriers(self: Rc<Self>) {
        let idle = self.settings.barrier_pause();
        let gap = self.request_gap() * BARRIER_GAP_REQUESTS;
        loop {
            // A controller that has just started has workers whose leases run
            // out: its first barrier does not wait for anyone to ask.
            if self.state_sync.last_barrier.get().is_some() {
                let _ = timeout(idle, self.state_sync.barrier_notify.notified()).await;
            }
            let sent = Instant::now();
            let number = self.state_sync.barrier_started.get() + 1;
            self.state_sync.barrier_started.set(number);
            match self.store.revision(BARRIER_KEY).await {
                Ok(revision) => {
                    let limit = self.settings.worker_lease() / 8;
                    if self.replica.borrow().revision < revision {
                        self.expedite_watch();
                    }
                    if self.replica.borrow().loaded && self.wait_revision(revision, limit).await {
                        self.set_last_barrier(sent);
                        self.state_sync.barrier_done.send_replace(number);
                    } else {
                        // The watch is stuck, or its connection is dead.
                        self.state_sync.watch_again.notify_one();
                    }
                }
                Err(error) => {
                    tracing::debug!(%error, "barrier failed");
                    if error.is_refusal() {
                        self.state_sync.barrier_refused.send_replace(number);
                    }
                }
            }
            sleep(gap.saturating_sub(sent.elapsed())).await;
        }
    }
}
