//! What the loops of this module remember between their rounds. Nothing of it
//! is needed for correctness: a controller that starts has none of it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::boots::{Backoff, BootHistory};
use super::offers::Offer;
use crate::controller::shifted_past_pause;
use crate::state::budget::TokenBucket;
use crate::wire::WorkerStatus;

/// A worker that has not taken up its token for longer than this times its
/// lease cannot be reached.
const STALE_TOKEN_LEASES: f64 = 1.1;

/// The pause after a refusal doubles with each one in a row, so many times at
/// most.
const MAX_REFUSAL_DOUBLINGS: u32 = 2;

/// Reports of a worker that show a token below the recorded one.
#[derive(Debug, Clone, Copy)]
struct StaleReports {
    first: Instant,
    last: Instant,
    /// Session and number of the newest of them.
    newest: (u64, u64),
}

impl StaleReports {
    /// Whether they have come for longer than the worker's lease.
    fn exceed(&self, lease: Duration) -> bool {
        let span = self.last.saturating_duration_since(self.first);
        span > lease.mul_f64(STALE_TOKEN_LEASES)
    }
}

/// What one controller remembers of the fleet and of the cloud.
#[derive(Default)]
pub struct FleetState {
    /// The last report of a worker that asked to be claimed, without tasks:
    /// its address and its kind.
    pub reports: HashMap<String, WorkerStatus>,
    /// When a machine was last sent to its home, and whether it was soon back.
    pub sent_home: HashMap<String, (Instant, bool)>,
    /// Since when a worker is kept here that waits to be claimed.
    pub kept: HashMap<String, Instant>,
    /// When a machine was last sent back to its owner.
    pub sent_back: HashMap<String, Instant>,
    /// When any was sent home that another controller holds.
    pub last_sent_home: Option<Instant>,
    /// Machines with a notice that are not draining yet.
    pub recalled: HashSet<String>,
    /// Offers that the cloud has refused.
    refused: HashMap<Offer, Backoff>,
    /// What boots now, and what boots have taken.
    pub(super) boots: BootHistory,
    /// Since when machines have had no work that keeps them rented.
    pub(super) empty_since: HashMap<String, Instant>,
    /// Since when machines boot, or have a owner that is not up.
    pub(super) first_seen: HashMap<String, Instant>,
    /// Machines whose live reports show a token below the recorded one.
    stale: HashMap<String, StaleReports>,
    /// Since when the cloud lists machines that have no record.
    pub(super) unrecorded: HashMap<String, Instant>,
    /// Machines confirmed gone: a late list may still name them.
    pub(super) gone: HashMap<String, Instant>,
    /// The state lease of this controller.
    pub(super) lease: Option<u64>,
    /// When that was last extended.
    pub(super) lease_extended_at: Option<Instant>,
    /// When the cloud's list was last read.
    pub(super) list_read_at: Option<Instant>,
    /// When the fleet was last described in the log.
    pub(super) logged_at: Option<Instant>,
    /// When a machine was last emptied of its services.
    pub(super) consolidated_at: Option<Instant>,
    /// When the machine types were last read.
    pub(super) types_read_at: Option<Instant>,
    /// The cloud is not called until then.
    pub(super) cloud_pause: Option<Instant>,
    /// The limit on calls to the cloud.
    pub(super) cloud_calls: Option<TokenBucket>,
    /// Rentals whose call is under way.
    pub(super) calling: HashSet<String>,
}

impl FleetState {
    /// Whether a worker has reported for longer than its lease without taking
    /// up the token under which its machine is held, by whomever: its reports
    /// arrive, but no answer and no order does. It tries one controller after
    /// another, and is not claimed again and again: it goes back.
    pub fn is_unreachable(
        &mut self,
        report: &WorkerStatus,
        fencing_token: u64,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let id = &report.machine;
        if report.fencing_token >= fencing_token {
            self.stale.remove(id);
            return false;
        }
        let number = (report.epoch, report.sequence);
        let fresh = StaleReports {
            first: now,
            last: now,
            newest: (0, 0),
        };
        let seen = self.stale.entry(id.clone()).or_insert(fresh);
        // A late copy is not a sign of anything.
        if number <= seen.newest {
            return false;
        }
        // It may have been with others meanwhile, and heard them.
        if now.saturating_duration_since(seen.last) > lease * 2 {
            *seen = fresh;
        }
        seen.last = now;
        seen.newest = number;
        seen.exceed(lease)
    }

    /// Machines that were found unreachable just now.
    pub(super) fn unreachable(&self, lease: Duration, now: Instant) -> Vec<String> {
        let recent = |seen: &StaleReports| now.saturating_duration_since(seen.last) < lease / 2;
        self.stale
            .iter()
            .filter(|(_, seen)| seen.exceed(lease) && recent(seen))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes a gap in which this process did not run out of every span.
    pub fn exclude_pause(&mut self, gap: Duration, now: Instant) {
        let spans = [
            &mut self.empty_since,
            &mut self.first_seen,
            &mut self.unrecorded,
        ];
        for since in spans.into_iter().flat_map(|span| span.values_mut()) {
            *since = shifted_past_pause(*since, gap, now);
        }
        self.boots.exclude_pause(gap, now);
        for seen in self.stale.values_mut() {
            seen.first = shifted_past_pause(seen.first, gap, now);
            seen.last = shifted_past_pause(seen.last, gap, now);
        }
    }

    /// Whether a listed machine has had no record for longer than `limit`.
    pub(super) fn is_unclaimed(&mut self, id: &str, limit: Duration) -> bool {
        let first = self
            .unrecorded
            .entry(id.to_string())
            .or_insert_with(Instant::now);
        first.elapsed() > limit
    }

    /// Keeps the report of a worker that asks to be claimed, without its tasks.
    pub fn remember(&mut self, report: &WorkerStatus) {
        let mut kept = report.clone();
        kept.tasks = Vec::new();
        self.reports.insert(report.machine.clone(), kept);
    }

    /// The cloud had no capacity for an offer: each time in a row it is left
    /// alone for longer.
    pub(super) fn note_refusal(&mut self, offer: Offer, pause: Duration, now: Instant) {
        let backoff = self.refused.entry(offer).or_insert(Backoff::none(now));
        backoff.extend(pause, MAX_REFUSAL_DOUBLINGS, now);
    }

    /// The cloud has delivered all that was asked of an offer.
    pub(super) fn clear_refusal(&mut self, offer: &Offer) {
        self.refused.remove(offer);
    }

    /// Whether an offer was refused and is not asked for yet.
    pub(super) fn is_refused(&self, offer: &Offer, now: Instant) -> bool {
        let backoff = self.refused.get(offer);
        backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// Offers that the cloud has refused of late, for the report.
    pub fn refused_now(&self, now: Instant) -> Vec<String> {
        let mut all: Vec<String> = self
            .refused
            .iter()
            .filter(|(_, backoff)| backoff.until > now)
            .map(|(offer, _)| offer.to_string())
            .collect();
        all.sort();
        all
    }
}
