//! The in-memory state that the loops of this module keep between their passes. None of it
//! is needed for correctness: a controller starts without it.

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

/// The in-memory state that one controller keeps about the fleet and the cloud.
#[derive(Default)]
pub struct FleetState {
    /// The boots in progress, and the durations and failures of recent ones.
    pub(super) boots: BootTracker,
    /// The offers that the cloud has refused.
    pub(super) refusals: OfferRefusals,
    /// The state of the calls to the cloud.
    pub(super) cloud_calls: CloudCalls,
    /// The timer for reading the cloud's inventory.
    pub(super) inventory_timer: IntervalTimer,
    /// The timer for logging a summary of the fleet.
    pub(super) summary_timer: IntervalTimer,
    /// The timer for consolidating machines.
    pub(super) consolidation_timer: IntervalTimer,
    /// The timer for reading the machine types.
    pub(super) machine_types_timer: IntervalTimer,
    /// The last status, without tasks, of each worker that requested a claim, by machine.
    /// The status contains the worker's address and machine type.
    claim_statuses: HashMap<String, WorkerStatus>,
    /// The machines that are queued for draining.
    pending_drains: HashSet<String>,
    /// The time since which each machine has had no work that justifies its price.
    idle_since: HashMap<String, Instant>,
    /// The time since which each machine has had no owner that is up. A booting machine has
    /// no owner yet.
    ownerless_since: HashMap<String, Instant>,
    /// The heartbeats that show a fencing token below the recorded one. They reveal workers
    /// that no answer or command reaches.
    stale_tokens: StaleTokens,
    /// The time since which the cloud has listed each machine that has no record.
    unrecorded_since: HashMap<String, Instant>,
    /// The time at which the cloud confirmed that a machine is gone. An outdated inventory
    /// may still list the machine after that.
    gone_since: HashMap<String, Instant>,
    /// The lease that this controller holds in the state service, or `None` if the controller
    /// has none or knows that it has expired.
    state_lease: Option<HeldLease>,
}

/// The lease that this controller holds in the state service.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: u64,
    extended_at: Instant,
}

// Methods for the workers that have requested a claim.
impl FleetState {
    /// Records the status of a worker that requests a claim, without its tasks.
    pub fn record_claim_status(&mut self, status: &WorkerStatus) {
        let mut stored_status = status.clone();
        stored_status.tasks = Vec::new();
        self.claim_statuses
            .insert(status.machine.clone(), stored_status);
    }

    /// Returns the last status, without tasks, of a worker that requested a claim.
    #[must_use]
    pub fn claim_status(&self, id: &str) -> Option<&WorkerStatus> {
        self.claim_statuses.get(id)
    }

    /// Returns the last status of a worker that requested a claim, for updating it.
    pub fn claim_status_mut(&mut self, id: &str) -> Option<&mut WorkerStatus> {
        self.claim_statuses.get_mut(id)
    }

    /// Records a heartbeat, and returns whether the worker is unreachable: its heartbeats
    /// arrive, but answers and commands do not reach the worker. This is the case if its
    /// heartbeats have shown a fencing token below `first_token`, the first one of the recorded
    /// claim, for longer than the worker's lease, regardless of which controller owns the machine.
    ///
    /// An unreachable worker tries one controller after another, and each of them would claim
    /// the machine again. The machine is decommissioned instead.
    pub fn check_unreachable(
        &mut self,
        status: &WorkerStatus,
        first_token: u64,
        lease: Duration,
        now: Instant,
    ) -> bool {
        self.stale_tokens.observe(status, first_token, lease, now)
    }

    /// Returns the machines whose latest heartbeats show that they are unreachable.
    pub(super) fn unreachable(&self, lease: Duration, now: Instant) -> Vec<String> {
        self.stale_tokens.unreachable(lease, now)
    }
}

// Methods for the machines that are queued for draining, idle, without an owner, without a
// record, or gone.
impl FleetState {
    /// Queues a machine to be drained in the next pass.
    pub fn queue_drain(&mut self, id: &str) {
        self.pending_drains.insert(id.to_string());
    }

    /// Takes the machines that are queued for draining.
    pub(super) fn take_pending_drains(&mut self) -> Vec<String> {
        self.pending_drains.drain().collect()
    }

    /// Returns the time since which a machine has been idle. For a machine that was not idle
    /// before, this is `now`.
    pub(super) fn idle_since(&mut self, id: &str, now: Instant) -> Instant {
        *self.idle_since.entry(id.to_string()).or_insert(now)
    }

    /// Records that a machine has work that justifies its price.
    pub(super) fn clear_idle(&mut self, id: &str) {
        self.idle_since.remove(id);
    }

    /// Returns the time since which a machine has had no owner that is up. For a machine that
    /// had one until now, this is `now`.
    pub(super) fn ownerless_since(&mut self, id: &str, now: Instant) -> Instant {
        *self.ownerless_since.entry(id.to_string()).or_insert(now)
    }

    /// Records that a machine's owner is up.
    pub(super) fn clear_ownerless(&mut self, id: &str) {
        self.ownerless_since.remove(id);
    }

    /// Returns whether the cloud has listed a machine without a record for longer than
    /// `limit`. The first call for a machine starts the period.
    pub(super) fn is_unrecorded_longer_than(&mut self, id: &str, limit: Duration) -> bool {
        let first = self
            .unrecorded_since
            .entry(id.to_string())
            .or_insert_with(Instant::now);
        first.elapsed() > limit
    }

    /// Stops tracking the listed machines that have a record by now.
    pub(super) fn prune_recorded(&mut self, is_recorded: impl Fn(&str) -> bool) {
        self.unrecorded_since.retain(|id, _| !is_recorded(id));
    }

    /// Records that the cloud has confirmed that a machine is gone.
    pub(super) fn confirm_gone(&mut self, id: String, now: Instant) {
        self.claim_statuses.remove(&id);
        self.idle_since.remove(&id);
        self.ownerless_since.remove(&id);
        self.gone_since.insert(id, now);
    }

    /// Returns whether a machine is confirmed gone but may still be listed.
    #[must_use]
    pub(super) fn is_confirmed_gone(&self, id: &str) -> bool {
        self.gone_since.contains_key(id)
    }

    /// Removes the machines that have been gone for at least `age`, after which no inventory
    /// lists them.
    pub(super) fn prune_gone(&mut self, age: Duration) {
        self.gone_since.retain(|_, since| since.elapsed() < age);
    }

    /// Removes the idle and ownerless times of all machines except the known ones.
    pub(super) fn retain_machines(&mut self, known: &HashSet<&str>) {
        self.ownerless_since
            .retain(|id, _| known.contains(id.as_str()));
        self.idle_since.retain(|id, _| known.contains(id.as_str()));
    }

    /// Excludes a pause of this process from all tracked durations.
    pub fn exclude_pause(&mut self, pause: Duration, now: Instant) {
        let spans = [
            &mut self.idle_since,
            &mut self.ownerless_since,
            &mut self.unrecorded_since,
        ];
        for since in spans.into_iter().flat_map(|span| span.values_mut()) {
            *since = shifted_past_pause(*since, pause, now);
        }
        self.boots.exclude_pause(pause, now);
        self.stale_tokens.exclude_pause(pause, now);
    }
}

// Methods for the lease that this controller holds in the state service (`state_lease`).
impl FleetState {
    /// Returns the ID of the state lease, unless it is known to have expired.
    #[must_use]
    pub(super) fn state_lease(&self) -> Option<u64> {
        self.state_lease.map(|lease| lease.id)
    }

    /// Returns whether the state lease was last extended longer than `interval` ago.
    #[must_use]
    pub(super) fn is_extension_due(&self, interval: Duration) -> bool {
        self.state_lease
            .is_none_or(|lease| lease.extended_at.elapsed() > interval)
    }

    /// Records the state lease after it was acquired or extended. The current time is stored as
    /// the time of its last extension.
    pub(super) fn record_state_lease(&mut self, id: u64) {
        self.state_lease = Some(HeldLease {
            id,
            extended_at: Instant::now(),
        });
    }

    /// Records that the state lease has expired.
    pub(super) fn clear_state_lease(&mut self) {
        self.state_lease = None;
    }
}

// Methods for the part of the state that is shown in reports.
impl FleetState {
    /// Returns the offers that are backed off after a refusal by the cloud, in alphabetical
    /// order.
    pub fn refused_offers(&self, now: Instant) -> Vec<String> {
        self.refusals.backed_off_offers(now)
    }
}
