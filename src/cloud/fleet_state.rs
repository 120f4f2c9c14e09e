//! What the loops of this module remember between their passes. Nothing of it
//! is needed for correctness: a controller that starts has none of it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::boot_tracking::BootTracker;
use super::cloud_calls::CloudCalls;
use super::interval_timer::IntervalTimer;
use super::offer_refusals::OfferRefusals;
use super::stale_tokens::StaleTokens;
use crate::controller::shifted_past_pause;
use crate::wire::WorkerStatus;

/// What one controller remembers of the fleet and of the cloud.
#[derive(Default)]
pub struct FleetState {
    /// The boots in progress, and the durations and failures of recent ones.
    pub(super) boots: BootTracker,
    /// Offers that the cloud has refused.
    pub(super) refusals: OfferRefusals,
    /// The calls to the cloud.
    pub(super) cloud_calls: CloudCalls,
    /// The pace of reading the cloud's inventory.
    pub(super) inventory_timer: IntervalTimer,
    /// The pace of the log's summaries of the fleet.
    pub(super) summary_timer: IntervalTimer,
    /// The pace of emptying machines of their services.
    pub(super) consolidation_timer: IntervalTimer,
    /// The pace of reading the machine types.
    pub(super) machine_types_timer: IntervalTimer,
    /// The last report of a worker that asked to be claimed, without tasks:
    /// its address and its machine type.
    claim_reports: HashMap<String, WorkerStatus>,
    /// Machines that are to be drained and are not yet.
    pending_drains: HashSet<String>,
    /// Since when machines have had no work that justifies their price.
    idle_since: HashMap<String, Instant>,
    /// Since when machines boot, or have an owner that is not up.
    not_up_since: HashMap<String, Instant>,
    /// Machines whose live reports show a token below the recorded one.
    stale_tokens: StaleTokens,
    /// Since when the cloud lists machines that have no record.
    unrecorded_since: HashMap<String, Instant>,
    /// Machines confirmed gone: a late inventory may still name them.
    gone_since: HashMap<String, Instant>,
    /// The state lease of this controller, if one is held as far as is known.
    state_lease: Option<HeldLease>,
}

/// The state lease of this controller.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: u64,
    extended_at: Instant,
}

/// The reports of workers that are or were to be claimed.
impl FleetState {
    /// Keeps the report of a worker that asks to be claimed, without its tasks.
    pub fn record_claim_report(&mut self, report: &WorkerStatus) {
        let mut kept = report.clone();
        kept.tasks = Vec::new();
        self.claim_reports.insert(report.machine.clone(), kept);
    }

    /// The last report of a worker that asked to be claimed, without tasks.
    #[must_use]
    pub fn claim_report(&self, id: &str) -> Option<&WorkerStatus> {
        self.claim_reports.get(id)
    }

    /// The same, to be brought up to date.
    pub fn claim_report_mut(&mut self, id: &str) -> Option<&mut WorkerStatus> {
        self.claim_reports.get_mut(id)
    }

    /// Whether a worker has reported for longer than its lease without taking
    /// up the token under which its machine is held, by whomever: its reports
    /// arrive, but no answer and no command does. It tries one controller after
    /// another, and is not claimed again and again: it is decommissioned.
    pub fn check_unreachable(
        &mut self,
        report: &WorkerStatus,
        fencing_token: u64,
        lease: Duration,
        now: Instant,
    ) -> bool {
        self.stale_tokens.observe(report, fencing_token, lease, now)
    }

    /// Machines that were found unreachable just now.
    pub(super) fn unreachable(&self, lease: Duration, now: Instant) -> Vec<String> {
        self.stale_tokens.unreachable(lease, now)
    }
}

/// The machines: idle, not up, to be drained, without a record, gone.
impl FleetState {
    /// Has a machine drained by the next pass.
    pub fn queue_drain(&mut self, id: &str) {
        self.pending_drains.insert(id.to_string());
    }

    /// Takes the machines that are to be drained.
    pub(super) fn take_pending_drains(&mut self) -> Vec<String> {
        self.pending_drains.drain().collect()
    }

    /// Since when a machine is idle: from now on if it was not.
    pub(super) fn idle_since(&mut self, id: &str, now: Instant) -> Instant {
        *self.idle_since.entry(id.to_string()).or_insert(now)
    }

    /// A machine has work that justifies its price.
    pub(super) fn clear_idle(&mut self, id: &str) {
        self.idle_since.remove(id);
    }

    /// Since when a machine boots or its owner is not up: from now on if it was
    /// not known to be so.
    pub(super) fn not_up_since(&mut self, id: &str, now: Instant) -> Instant {
        *self.not_up_since.entry(id.to_string()).or_insert(now)
    }

    /// A machine's owner is up.
    pub(super) fn clear_not_up(&mut self, id: &str) {
        self.not_up_since.remove(id);
    }

    /// Whether a listed machine has had no record for longer than `limit`.
    pub(super) fn is_long_unrecorded(&mut self, id: &str, limit: Duration) -> bool {
        let first = self
            .unrecorded_since
            .entry(id.to_string())
            .or_insert_with(Instant::now);
        first.elapsed() > limit
    }

    /// Drops the machines without a record that have one now.
    pub(super) fn forget_recorded(&mut self, is_recorded: impl Fn(&str) -> bool) {
        self.unrecorded_since.retain(|id, _| !is_recorded(id));
    }

    /// The cloud has confirmed that it has taken a machine back.
    pub(super) fn confirm_gone(&mut self, id: String, now: Instant) {
        self.claim_reports.remove(&id);
        self.idle_since.remove(&id);
        self.not_up_since.remove(&id);
        self.gone_since.insert(id, now);
    }

    /// Whether a machine is confirmed gone, and may still be listed.
    #[must_use]
    pub(super) fn is_confirmed_gone(&self, id: &str) -> bool {
        self.gone_since.contains_key(id)
    }

    /// Drops the machines that are gone for so long that no list names them.
    pub(super) fn forget_gone(&mut self, age: Duration) {
        self.gone_since.retain(|_, since| since.elapsed() < age);
    }

    /// Drops what is remembered of all machines but the known ones.
    pub(super) fn retain_machines(&mut self, known: &HashSet<&str>) {
        self.not_up_since
            .retain(|id, _| known.contains(id.as_str()));
        self.idle_since.retain(|id, _| known.contains(id.as_str()));
    }

    /// Excludes a gap in which this process did not run from every span.
    pub fn exclude_pause(&mut self, gap: Duration, now: Instant) {
        let spans = [
            &mut self.idle_since,
            &mut self.not_up_since,
            &mut self.unrecorded_since,
        ];
        for since in spans.into_iter().flat_map(|span| span.values_mut()) {
            *since = shifted_past_pause(*since, gap, now);
        }
        self.boots.exclude_pause(gap, now);
        self.stale_tokens.exclude_pause(gap, now);
    }
}

/// The state lease of this controller.
impl FleetState {
    /// The state lease, if one is held as far as is known.
    #[must_use]
    pub(super) fn state_lease(&self) -> Option<u64> {
        self.state_lease.map(|lease| lease.id)
    }

    /// Whether the state lease was extended longer than `interval` ago.
    #[must_use]
    pub(super) fn is_extension_due(&self, interval: Duration) -> bool {
        self.state_lease
            .is_none_or(|lease| lease.extended_at.elapsed() > interval)
    }

    /// The state lease was granted or extended just now.
    pub(super) fn record_state_lease(&mut self, id: u64) {
        self.state_lease = Some(HeldLease {
            id,
            extended_at: Instant::now(),
        });
    }

    /// The state lease has expired.
    pub(super) fn clear_state_lease(&mut self) {
        self.state_lease = None;
    }
}

/// What reports say of this state.
impl FleetState {
    /// Offers that the cloud has refused of late, in alphabetical order.
    pub fn refused_offers(&self, now: Instant) -> Vec<String> {
        self.refusals.held_off(now)
    }
}
