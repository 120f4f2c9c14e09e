//! What the loops of this module remember between their rounds.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::boots::{Boots, Offer};
use crate::node::skipped;
use crate::store::Bucket;
use crate::wire::Report;

/// Since when and until when live reports have shown too low a token, and the
/// newest of them.
#[derive(Debug, Clone, Copy)]
struct Unshown {
    first: Instant,
    last: Instant,
    at: (u64, u64),
}

impl Unshown {
    fn is_deaf(&self, lease: Duration) -> bool {
        self.last.saturating_duration_since(self.first) > lease.mul_f64(1.1)
    }
}

#[derive(Default)]
pub struct FleetState {
    /// The last report of a worker that asked to be claimed, without tasks:
    /// its address and its kind.
    pub reports: HashMap<String, Report>,
    /// When a machine was last sent to its home, and whether it was soon back.
    pub sent_home: HashMap<String, (Instant, bool)>,
    /// Since when a worker is kept here that waits to be claimed.
    pub kept: HashMap<String, Instant>,
    /// When a machine was last sent back to its holder.
    pub sent_back: HashMap<String, Instant>,
    /// When any was sent home that another controller holds.
    pub last_sent_home: Option<Instant>,
    /// Machines with a notice that are not draining yet.
    pub recalled: HashSet<String>,
    /// Offers that were refused, and how often in a row.
    pub(super) refused: HashMap<Offer, (Instant, u32)>,
    pub(super) boots: Boots,
    pub(super) empty_since: HashMap<String, Instant>,
    pub(super) first_seen: HashMap<String, Instant>,
    /// Machines whose live reports show a token below the recorded one.
    unshown: HashMap<String, Unshown>,
    /// Since when the cloud lists machines that have no record.
    pub(super) listed: HashMap<String, Instant>,
    /// Machines confirmed gone: a late list may still name them.
    pub(super) gone: HashMap<String, Instant>,
    pub(super) lease: Option<u64>,
    pub(super) extended: Option<Instant>,
    pub(super) listed_at: Option<Instant>,
    pub(super) described_at: Option<Instant>,
    pub(super) consolidated_at: Option<Instant>,
    pub(super) types_at: Option<Instant>,
    /// The cloud is left alone until then.
    pub(super) cloud_pause: Option<Instant>,
    pub(super) cloud_calls: Option<Bucket>,
    /// Rentals whose call is under way.
    pub(super) calling: HashSet<String>,
}

impl FleetState {
    /// Whether a worker has reported for longer than its lease without taking
    /// up the token under which its machine is held, by whomever: its reports
    /// arrive, but no answer and no order does. It tries one controller after
    /// another, and is not claimed again and again: it goes back.
    pub fn hears_nothing(
        &mut self,
        report: &Report,
        token: u64,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let id = &report.machine;
        if report.token >= token {
            self.unshown.remove(id);
            return false;
        }
        let at = (report.session, report.seq);
        let fresh = Unshown {
            first: now,
            last: now,
            at: (0, 0),
        };
        let seen = self.unshown.entry(id.clone()).or_insert(fresh);
        // A late copy is not a sign of anything.
        if at <= seen.at {
            return false;
        }
        // It may have been with others meanwhile, and heard them.
        if now.saturating_duration_since(seen.last) > lease * 2 {
            *seen = fresh;
        }
        seen.last = now;
        seen.at = at;
        seen.is_deaf(lease)
    }

    /// Machines that were found so just now.
    pub(super) fn deaf(&self, lease: Duration, now: Instant) -> Vec<String> {
        let just = |u: &Unshown| now.saturating_duration_since(u.last) < lease / 2;
        let deaf = self
            .unshown
            .iter()
            .filter(|(_, u)| u.is_deaf(lease) && just(u));
        deaf.map(|(id, _)| id.clone()).collect()
    }

    /// Takes a gap in which this process did not run out of every span.
    pub fn skip(&mut self, gap: Duration, now: Instant) {
        let spans = [
            &mut self.empty_since,
            &mut self.first_seen,
            &mut self.listed,
        ];
        for at in spans.into_iter().flat_map(|s| s.values_mut()) {
            *at = skipped(*at, gap, now);
        }
        for (since, _) in self.boots.since.values_mut() {
            *since = skipped(*since, gap, now);
        }
        for seen in self.unshown.values_mut() {
            seen.first = skipped(seen.first, gap, now);
            seen.last = skipped(seen.last, gap, now);
        }
    }

    /// Whether a listed machine without a record has been one for so long.
    pub(super) fn unheard(&mut self, id: &str, limit: Duration) -> bool {
        let first = self
            .listed
            .entry(id.to_string())
            .or_insert_with(Instant::now);
        first.elapsed() > limit
    }

    pub fn remember(&mut self, report: &Report) {
        let mut kept = report.clone();
        kept.tasks = Vec::new();
        self.reports.insert(report.machine.clone(), kept);
    }

    /// Offers that the cloud has refused of late, for the report.
    pub fn refused_now(&self, now: Instant) -> Vec<String> {
        let mut all: Vec<String> = self
            .refused
            .iter()
            .filter(|(_, (until, _))| *until > now)
            .map(|((kind, zone, spot), _)| {
                format!("{kind} in {zone}{}", if *spot { " (spot)" } else { "" })
            })
            .collect();
        all.sort();
        all
    }
}
