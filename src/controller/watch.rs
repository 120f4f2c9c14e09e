//! Keeps the replica up to date with the state service: a full read, then one watch
//! after another.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Controller;
use crate::state::client::StoreError;
use crate::state::keys::PREFIX;

/// The pause before a read that has failed is tried again, with jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How a watch has ended.
enum WatchEnd {
    /// The replica has been brought up to the answer.
    Advanced,
    /// Someone asked for a new watch, as this one may be stuck.
    Reopened,
    /// The service no longer has the changes, or they are too many for one answer:
    /// the records must be read anew.
    FallenBehind,
    /// The watch has failed, and may be tried again.
    Failed,
}

impl Controller {
    /// Waits until the replica has reached a revision; false if it takes longer.
    pub async fn wait_for_revision(&self, revision: u64, limit: Duration) -> bool {
        let mut applied = self.state_sync.applied_revision.subscribe();
        matches!(
            timeout(limit, applied.wait_for(|applied| *applied >= revision)).await,
            Ok(Ok(_))
        )
    }

    /// Has the next watch opened without delay: something that others have committed
    /// is known to be ahead of the replica.
    pub fn expedite_watch(&self) {
        self.state_sync.expedite_watch.notify_one();
    }

    /// Keeps the replica: a full read, then one watch after another.
    pub async fn run_watch(self: Rc<Self>) {
        let min_interval = self.request_interval() * 2;
        // A watch brings every change since, however often a record was
        // written: after a long silence that is many times the state itself,
        // and more than the memory holds.
        let max_silence = self.settings.worker_lease() / 2;
        let mut last_answered = Instant::now();
        let mut fallen_behind = false;
        loop {
            let is_stale = fallen_behind || last_answered.elapsed() > max_silence;
            if !self.replica.borrow().loaded || is_stale {
                if let Err(error) = self.load().await {
                    tracing::debug!(%error, "reading the state failed");
                    sleep(self.store.jitter(RETRY_PAUSE)).await;
                    continue;
                }
                last_answered = Instant::now();
                fallen_behind = false;
            }
            let opened = Instant::now();
            match self.watch_once().await {
                WatchEnd::Advanced => last_answered = Instant::now(),
                WatchEnd::FallenBehind => fallen_behind = true,
                WatchEnd::Failed => {}
                WatchEnd::Reopened => continue,
            }
            // Each opened watch counts as a request: while changes come in a
            // steady stream, they are taken some at a time.
            let pause = min_interval.saturating_sub(opened.elapsed());
            let _ = timeout(pause, self.state_sync.expedite_watch.notified()).await;
        }
    }

    /// Reads all records anew.
    async fn load(&self) -> Result<(), StoreError> {
        let mut pairs = Vec::new();
        let mut after = String::new();
        let mut oldest_revision = u64::MAX;
        let mut newest_revision = 0;
        loop {
            let page = self.store.read_page(PREFIX, &after).await?;
            oldest_revision = oldest_revision.min(page.revision);
            newest_revision = newest_revision.max(page.revision);
            if let Some(last) = page.records.last() {
                after = last.key.clone();
            }
            pairs.extend(page.records);
            if !page.has_more {
                break;
            }
        }
        tracing::info!(
            keys = pairs.len(),
            revision = oldest_revision,
            "state loaded"
        );
        // Pages read at different revisions may together show a removed key
        // or half of a commit: bookings without the zone shard that they changed.
        // The events after the oldest mend both, before anyone decides.
        let events_since = match newest_revision > oldest_revision {
            true => Some(
                self.store
                    .watch(PREFIX, oldest_revision, Duration::ZERO)
                    .await?,
            ),
            false => None,
        };
        let mut replica = self.replica.borrow_mut();
        replica.reload(pairs, oldest_revision);
        if let Some(answer) = events_since {
            replica.advance(answer.events, answer.revision);
        }
        drop(replica);
        self.notify_replica_changed();
        Ok(())
    }

    /// Watches until something changes, and brings the replica up to that.
    async fn watch_once(&self) -> WatchEnd {
        let block = self.settings.worker_lease() / 4;
        let after = self.replica.borrow().revision;
        let answer = tokio::select! {
            answer = self.store.watch(PREFIX, after, block) => answer,
            () = self.state_sync.reopen_watch.notified() => {
                tracing::debug!("watch reopened");
                return WatchEnd::Reopened;
            }
        };
        match answer {
            Ok(answer) => {
                let mut replica = self.replica.borrow_mut();
                replica.advance(answer.events, answer.revision);
                drop(replica);
                self.notify_replica_changed();
                WatchEnd::Advanced
            }
            Err(error @ (StoreError::TooOld | StoreError::TooLarge)) => {
                // The same request would bring the same answer: pages are
                // bounded, and hold each record once.
                tracing::info!(%error, "watch fallen behind, reading the state anew");
                WatchEnd::FallenBehind
            }
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                sleep(self.store.jitter(RETRY_PAUSE)).await;
                WatchEnd::Failed
            }
        }
    }
}
