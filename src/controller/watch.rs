//! The watch that keeps the replica up to date with the state service: a full read, then a
//! sequence of watch requests.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Controller;
use crate::state::client::StateClientError;
use crate::state::full_read::{FullRead, Snapshot};
use crate::state::keys::PREFIX;

/// Pause before a failed read is retried, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The result of one watch request.
enum WatchEnd {
    /// The replica was updated with the response.
    Advanced,
    /// A new watch was requested, as the current one may be stuck.
    Reopened,
    /// The service no longer has the changes since the replica's revision, or they exceed
    /// the size of one response. All records must be read again.
    FallenBehind,
    /// The watch failed and may be retried.
    Failed,
}

impl Controller {
    /// Waits until the replica has reached a revision. Returns false if that takes longer
    /// than `limit`.
    pub async fn wait_for_revision(&self, revision: u64, limit: Duration) -> bool {
        let mut applied = self.state_sync.applied_revision.subscribe();
        matches!(
            timeout(limit, applied.wait_for(|applied| *applied >= revision)).await,
            Ok(Ok(_))
        )
    }

    /// Ends the pause before the next watch request. Called when the replica is known to
    /// lack a commit of another controller.
    pub fn expedite_watch(&self) {
        self.state_sync.expedite_watch.notify_one();
    }

    /// Keeps the replica up to date: reads all records, then issues one watch request after
    /// another.
    pub async fn run_watch(self: Rc<Self>) {
        let min_interval = self.request_interval() * 2;
        // A watch delivers every change since the replica's revision, however often a
        // record was written. After a long time without a response, these changes can be
        // many times larger than the state itself and exceed the process's memory, so the
        // state is read again instead.
        let max_silence = self.settings.worker_lease() / 2;
        let mut last_response = Instant::now();
        let mut fallen_behind = false;
        loop {
            let is_stale = fallen_behind || last_response.elapsed() > max_silence;
            if !self.replica.borrow().loaded || is_stale {
                if let Err(error) = self.load().await {
                    tracing::debug!(%error, "reading the state failed");
                    sleep(self.state_client.jitter(RETRY_PAUSE)).await;
                    continue;
                }
                last_response = Instant::now();
                fallen_behind = false;
            }
            let opened = Instant::now();
            match self.watch_once().await {
                WatchEnd::Advanced => last_response = Instant::now(),
                WatchEnd::FallenBehind => fallen_behind = true,
                WatchEnd::Failed => {}
                WatchEnd::Reopened => continue,
            }
            // Each watch counts against the request budget. While changes arrive
            // continuously, the pause lets one watch deliver several of them.
            let pause = min_interval.saturating_sub(opened.elapsed());
            let _ = timeout(pause, self.state_sync.expedite_watch.notified()).await;
        }
    }

    /// Reads all records again and replaces the contents of the replica, except for the
    /// commits of this controller that are newer than the read.
    async fn load(&self) -> Result<(), StateClientError> {
        let snapshot = self.read_snapshot().await?;
        let keys = snapshot.records.len();
        let mut replica = self.replica.borrow_mut();
        replica.reload(snapshot);
        tracing::info!(
            keys,
            revision = replica.revision,
            local_writes = replica.local_write_count(),
            "state loaded"
        );
        drop(replica);
        self.notify_replica_changed();
        Ok(())
    }

    /// Reads all records, in pages. If the pages differ in revision, also reads the changes
    /// since the first page.
    async fn read_snapshot(&self) -> Result<Snapshot, StateClientError> {
        let mut read = FullRead::default();
        loop {
            let page = self.state_client.read_page(PREFIX, read.last_key()).await?;
            let has_more = page.has_more;
            read.add_page(page);
            if !has_more {
                break;
            }
        }
        let Some(after) = read.changes_needed_after() else {
            return Ok(read.into_snapshot());
        };
        let watch = self.state_client.watch(PREFIX, after, Duration::ZERO);
        Ok(read.into_snapshot_with(watch.await?))
    }

    /// Waits for a change with one watch request, and applies it to the replica.
    async fn watch_once(&self) -> WatchEnd {
        let block = self.settings.worker_lease() / 4;
        let after = self.replica.borrow().revision;
        let answer = tokio::select! {
            answer = self.state_client.watch(PREFIX, after, block) => answer,
            () = self.state_sync.reopen_watch.notified() => {
                tracing::debug!("watch reopened");
                return WatchEnd::Reopened;
            }
        };
        match answer {
            Ok(answer) => {
                let mut replica = self.replica.borrow_mut();
                replica.apply_events(answer.events, answer.revision);
                drop(replica);
                self.notify_replica_changed();
                WatchEnd::Advanced
            }
            Err(error @ (StateClientError::TooOld | StateClientError::TooLarge)) => {
                // Repeating the request would give the same result. The pages of a full
                // read are bounded, and contain each record once.
                tracing::info!(%error, "watch fell behind, reloading the state");
                WatchEnd::FallenBehind
            }
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                sleep(self.state_client.jitter(RETRY_PAUSE)).await;
                WatchEnd::Failed
            }
        }
    }
}
