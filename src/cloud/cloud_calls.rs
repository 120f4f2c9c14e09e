//! When the cloud may be called: its rate limit, its pauses, and the calls in
//! progress.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::budget::TokenBucket;

/// The part of the cloud's rate limit that is used.
const RATE_LIMIT_SHARE: f64 = 0.9;

/// The calls of one controller to the cloud.
#[derive(Default)]
pub(super) struct CloudCalls {
    /// The cloud is not called until then.
    paused_until: Option<Instant>,
    /// The limit on calls; absent until the first one.
    limit: Option<TokenBucket>,
    /// Provisioning requests whose call is in progress.
    in_progress: HashSet<String>,
}

impl CloudCalls {
    /// Whether the cloud is not called now, as it has refused calls.
    #[must_use]
    pub(super) fn is_paused(&self) -> bool {
        self.paused_until
            .is_some_and(|until| until > Instant::now())
    }

    /// Does not call the cloud for a while.
    pub(super) fn pause(&mut self, pause: Duration) {
        self.paused_until = Some(Instant::now() + pause);
    }

    /// Takes one call out of the cloud's limit of `max_rps` calls a second, or
    /// says how long to wait for it.
    pub(super) fn take(&mut self, max_rps: f64, now: Instant) -> Result<(), Duration> {
        let limit = self
            .limit
            .get_or_insert_with(|| TokenBucket::new(max_rps * RATE_LIMIT_SHARE, max_rps, now));
        limit.take_one(now)
    }

    /// Begins the call for a provisioning request; false if one is in progress.
    #[must_use]
    pub(super) fn begin(&mut self, request: &str) -> bool {
        self.in_progress.insert(request.to_string())
    }

    /// The call for a provisioning request has ended.
    pub(super) fn end(&mut self, request: &str) {
        self.in_progress.remove(request);
    }

    /// Whether the call for any provisioning request is in progress.
    #[must_use]
    pub(super) fn is_any_in_progress(&self) -> bool {
        !self.in_progress.is_empty()
    }
}
