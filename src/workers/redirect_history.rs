//! What a controller remembers of redirects, so that no worker is sent to and fro.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

/// For so many leases a worker that did not reach its preferred owner is not
/// redirected there again.
const LEASES_BEFORE_ANOTHER_REDIRECT: u32 = 3;

/// A worker's last redirect to its preferred owner.
#[derive(Debug)]
struct PreferredOwnerRedirect {
    sent_at: Instant,
    /// It was back within a lease: it has not reached its preferred owner.
    has_returned: bool,
}

/// The redirects of workers, and how long workers have waited for their claims.
#[derive(Debug, Default)]
pub(super) struct RedirectHistory {
    /// The last redirect of each machine's worker to its preferred owner.
    to_preferred_owner: HashMap<String, PreferredOwnerRedirect>,
    /// When each machine's worker was last redirected to its recorded owner.
    to_owner: HashMap<String, Instant>,
    /// When a worker was last redirected that some controller owns.
    last_owned: Option<Instant>,
    /// Since when a worker is kept here that waits to be claimed.
    claim_wait_since: HashMap<String, Instant>,
}

impl RedirectHistory {
    /// Records that a machine's worker is redirected to its preferred owner;
    /// `is_owned` if some controller owns it already.
    pub(super) fn record_to_preferred_owner(
        &mut self,
        machine: &str,
        is_owned: bool,
        now: Instant,
    ) {
        if is_owned {
            self.last_owned = Some(now);
        }
        let redirect = PreferredOwnerRedirect {
            sent_at: now,
            has_returned: false,
        };
        self.to_preferred_owner
            .insert(machine.to_string(), redirect);
    }

    /// Whether the worker has been redirected to its preferred owner before and is to
    /// stay here. One that is back within a lease has not reached it, and is left alone
    /// for a while; one that comes back later has lost it since.
    pub(super) fn has_failed_to_reach_preferred_owner(
        &mut self,
        machine: &str,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let Some(redirect) = self.to_preferred_owner.get_mut(machine) else {
            return false;
        };
        let age = now.saturating_duration_since(redirect.sent_at);
        redirect.has_returned |= age < lease;
        redirect.has_returned && age < lease * LEASES_BEFORE_ANOTHER_REDIRECT
    }

    /// Whether a worker that some controller owns was redirected within the interval.
    pub(super) fn has_redirected_owned_within(&self, interval: Duration, now: Instant) -> bool {
        self.last_owned
            .is_some_and(|at| now.saturating_duration_since(at) < interval)
    }

    /// Records a redirect of the worker to its recorded owner, unless there was one
    /// within a lease; true if it is recorded.
    pub(super) fn try_redirect_to_owner(
        &mut self,
        machine: &str,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let last = self.to_owner.get(machine);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < lease) {
            return false;
        }
        self.to_owner.insert(machine.to_string(), now);
        true
    }

    /// Whether a worker whose claim takes long has waited less than half a lease; after
    /// a whole one the wait begins anew.
    pub(super) fn may_wait_for_claim(
        &mut self,
        machine: &str,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let since = self
            .claim_wait_since
            .entry(machine.to_string())
            .or_insert(now);
        if now.saturating_duration_since(*since) > lease {
            *since = now;
        }
        now.saturating_duration_since(*since) < lease / 2
    }

    /// Drops what is remembered of all machines but the known ones.
    pub(super) fn retain_machines(&mut self, known: &HashSet<&str>) {
        self.to_preferred_owner
            .retain(|machine, _| known.contains(machine.as_str()));
        self.claim_wait_since
            .retain(|machine, _| known.contains(machine.as_str()));
    }
}
