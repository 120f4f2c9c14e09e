//! Records the redirects of workers, so that controllers do not redirect a worker back and
//! forth.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two redirects of a worker to a preferred owner that it did not reach,
/// in leases.
const REDIRECT_RETRY_LEASES: u32 = 3;

/// A worker's last redirect to its preferred owner.
#[derive(Debug)]
struct PreferredOwnerRedirect {
    sent_at: Instant,
    /// Flag set if the worker came back within a lease, which shows that it did not reach its
    /// preferred owner.
    has_returned: bool,
}

/// The last redirects of workers, and the times since which workers wait for their claims.
#[derive(Debug, Default)]
pub(super) struct RedirectHistory {
    /// Last redirect of each machine's worker to its preferred owner.
    to_preferred_owner: HashMap<String, PreferredOwnerRedirect>,
    /// Time of the last redirect of each machine's worker to the owner in the machine's record.
    to_owner: HashMap<String, Instant>,
    /// Time at which a worker of an owned machine was last redirected to its preferred owner.
    last_owned_redirect: Option<Instant>,
    /// Time since which each machine's worker has stayed here and waited for its claim.
    claim_wait_since: HashMap<String, Instant>,
}

impl RedirectHistory {
    /// Records a redirect of a machine's worker to its preferred owner. `is_owned` is true if
    /// some controller owns the machine already.
    pub(super) fn record_redirect_to_preferred_owner(
        &mut self,
        machine: &str,
        is_owned: bool,
        now: Instant,
    ) {
        if is_owned {
            self.last_owned_redirect = Some(now);
        }
        let redirect = PreferredOwnerRedirect {
            sent_at: now,
            has_returned: false,
        };
        self.to_preferred_owner
            .insert(machine.to_string(), redirect);
    }

    /// Returns whether the worker has failed to reach its preferred owner after a redirect, and
    /// so should stay here. A worker that returns within a lease has not reached its preferred
    /// owner, and is not redirected again until [`REDIRECT_RETRY_LEASES`] have passed. A worker
    /// that returns later did reach its preferred owner and has lost contact since, so it may
    /// be redirected again.
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
        redirect.has_returned && age < lease * REDIRECT_RETRY_LEASES
    }

    /// Returns whether any worker of an owned machine was redirected to its preferred owner
    /// within the interval.
    pub(super) fn has_redirected_owned_within(&self, interval: Duration, now: Instant) -> bool {
        self.last_owned_redirect
            .is_some_and(|at| now.saturating_duration_since(at) < interval)
    }

    /// Records a redirect of a machine's worker to the owner in the machine's record, and
    /// returns true. Returns false if such a redirect was already recorded within a lease.
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

    /// Returns whether a machine's worker has waited less than half a lease for the claim of
    /// the machine. If more than a lease has passed, a new wait begins.
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

    /// Drops the redirects to preferred owners, and the waits for claims, of machines that are
    /// not in `known`.
    pub(super) fn retain_machines(&mut self, known: &HashSet<&str>) {
        self.to_preferred_owner
            .retain(|machine, _| known.contains(machine.as_str()));
        self.claim_wait_since
            .retain(|machine, _| known.contains(machine.as_str()));
    }
}
