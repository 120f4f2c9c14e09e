//! Keeps the replica up to date with the state service.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Controller;
use crate::state::client::StoreError;
use crate::state::keys::PREFIX;

/// The pause before a read that has failed is tried again, with jitter.
const RETRY: Duration = Duration::from_millis(200);

/// How a watch has ended.
enum Watched {
    /// The replica has been brought up to the answer.
    Advanced,
    /// Someone asked for a new watch, as this one may be stuck.
    Reopened,
    /// The records must be read anew.
    Behind,
    Failed,
}

impl Controller {
    /// Waits until the replica has reached the revision; false if it takes too long.
    /// The same for a user's request, which is not kept waiting once the state
    /// service has refused to serve the barrier.
    pub async fn barrier_unless_refused(&self, limit: Duration) -> bool {
        let wanted = self.state_sync.barrier_started.get() + 1;
        let mut refused = self.state_sync.barrier_refused.subscribe();
        tokio::select! {
            biased;
            reached = self.barrier(limit) => reached,
            _ = refused.wait_for(|r| *r >= wanted) => false,
        }
    }

    /// Waits until the replica has reached a revision; false if it takes longer.
    pub async fn wait_revision(&self, revision: u64, limit: Duration) -> bool {
        let mut reached = self.state_sync.applied_revision.subscribe();
        matches!(
            timeout(limit, reached.wait_for(|r| *r >= revision)).await,
            Ok(Ok(_))
        )
    }

    /// Reads all records anew.
    async fn load(&self) -> Result<(), StoreError> {
        let mut pairs = Vec::new();
        let mut after = String::new();
        let mut revision = u64::MAX;
        let mut newest = 0;
        loop {
            let page = self.store.page(PREFIX, &after).await?;
            revision = revision.min(page.revision);
            newest = newest.max(page.revision);
            if let Some(last) = page.records.last() {
                after = last.key.clone();
            }
            pairs.extend(page.records);
            if !page.has_more {
                break;
            }
        }
        tracing::info!(keys = pairs.len(), revision, "state read");
        // Pages read at different revisions may together show a removed key
        // or half of a commit: bookings without the zone shard that they changed.
        // The events after the oldest mend both, before anyone decides.
        let mended = match newest > revision {
            true => Some(self.store.watch(PREFIX, revision, Duration::ZERO).await?),
            false => None,
        };
        let mut replica = self.replica.borrow_mut();
        replica.reload(pairs, revision);
        if let Some(answer) = mended {
            replica.advance(answer.events, answer.revision);
        }
        drop(replica);
        self.announce();
        Ok(())
    }

    /// Keeps the replica: a full read, then one watch after another.
    pub async fn run_watch(self: Rc<Self>) {
        let gap = self.request_gap() * 2;
        // A watch brings every change since, however often a record was
        // written: after a long silence that is many times the state itself,
        // and more than the memory holds.
        let stale = self.settings.worker_lease() / 2;
        let mut heard = Instant::now();
        let mut behind = false;
        loop {
            if !self.replica.borrow().loaded || behind || heard.elapsed() > stale {
                if let Err(error) = self.load().await {
                    tracing::debug!(%error, "state not read");
                    sleep(self.store.jitter(RETRY)).await;
                    continue;
                }
                heard = Instant::now();
                behind = false;
            }
            let opened = Instant::now();
            match self.watch_once().await {
                Watched::Advanced => heard = Instant::now(),
                Watched::Behind => behind = true,
                Watched::Failed => {}
                Watched::Reopened => continue,
            }
            // Each opened watch counts as a request: while changes come in a
            // steady stream, they are taken some at a time.
            let pause = gap.saturating_sub(opened.elapsed());
            let _ = timeout(pause, self.state_sync.watch_expedited.notified()).await;
        }
    }

    /// Watches until something changes, and brings the replica up to that.
    async fn watch_once(&self) -> Watched {
        let block = self.settings.worker_lease() / 4;
        let after = self.replica.borrow().revision;
        let answer = tokio::select! {
            answer = self.store.watch(PREFIX, after, block) => answer,
            () = self.state_sync.watch_again.notified() => {
                tracing::debug!("watch opened again");
                return Watched::Reopened;
            }
        };
        match answer {
            Ok(answer) => {
                let mut replica = self.replica.borrow_mut();
                replica.advance(answer.events, answer.revision);
                drop(replica);
                self.announce();
                Watched::Advanced
            }
            Err(error @ (StoreError::TooOld | StoreError::TooLarge)) => {
                // The same request would bring the same answer: pages are
                // bounded, and hold each record once.
                tracing::info!(%error, "the watch has fallen behind: reading all again");
                Watched::Behind
            }
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                sleep(self.store.jitter(RETRY)).await;
                Watched::Failed
            }
        }
    }

    /// Something committed by others is known to be ahead of the replica.
    pub fn expedite_watch(&self) {
        self.state_sync.watch_expedited.notify_one();
    }
}
