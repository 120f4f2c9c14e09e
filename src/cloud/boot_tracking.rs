//! Tracks the boots in progress, the boot durations of recent machines, and the offers
//! whose machines do not come up.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::backoff::Backoff;
use super::booting_machines::BootingMachine;
use super::machine_offer::MachineOffer;
use crate::controller::shifted_past_pause;
use crate::wire::MachineType;

/// A usual boot takes at most this many times the duration that the cloud states (PROTOCOL).
const USUAL_BOOT_RATIO: f64 = 1.5;

/// The latest boot has a weight of one in this many in the moving average of boot durations.
const AVERAGING_WINDOW: f64 = 4.0;

/// The maximum number of times that the pause after consecutive failures is doubled.
const MAX_FAILURE_DOUBLINGS: u32 = 3;

/// A machine type in a zone. Boot durations are averaged for each such pair, because they
/// depend on the machine type and on the zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct BootLocation {
    machine_type: String,
    zone: String,
}

impl BootLocation {
    fn new(machine_type: &str, zone: &str) -> Self {
        BootLocation {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
        }
    }
}

/// A boot in progress.
#[derive(Debug, Clone)]
struct Boot {
    started_at: Instant,
    /// The offer of which the machine was provisioned.
    offer: MachineOffer,
}

/// The boots in progress, and the durations and failures of recent ones.
#[derive(Debug, Default)]
pub(super) struct BootTracker {
    /// The moving average of boot durations, in seconds.
    mean_duration_s: HashMap<BootLocation, f64>,
    /// Boots in progress, by machine.
    in_progress: HashMap<String, Boot>,
    /// The time at which a machine of an offer last came up.
    last_completed: HashMap<MachineOffer, Instant>,
    /// Machines whose boot is overdue.
    overdue: HashSet<String>,
    /// The backoffs of offers whose machines do not come up.
    backoffs: HashMap<MachineOffer, Backoff>,
}

impl BootTracker {
    /// Updates the boots in progress from the list of booting machines. A machine that is up
    /// and no longer in the list has completed its boot.
    pub(super) fn observe<'a>(
        &mut self,
        booting: impl Iterator<Item = BootingMachine<'a>>,
        is_up: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        let mut still_booting: HashSet<&str> = HashSet::new();
        for machine in booting {
            still_booting.insert(machine.id);
            if !self.in_progress.contains_key(machine.id) {
                let offer = MachineOffer::new(machine.machine_type, machine.zone, machine.spot);
                let boot = Boot {
                    started_at: now,
                    offer,
                };
                self.in_progress.insert(machine.id.to_string(), boot);
            }
        }
        self.overdue
            .retain(|id| still_booting.contains(id.as_str()));
        let mut completed = Vec::new();
        self.in_progress.retain(|id, boot| {
            let is_booting = still_booting.contains(id.as_str());
            if !is_booting && is_up(id) {
                completed.push(boot.clone());
            }
            is_booting
        });
        for boot in completed {
            self.record_completed(boot, now);
        }
    }

    /// Records a completed boot: updates the mean duration and ends the offer's backoff.
    fn record_completed(&mut self, boot: Boot, now: Instant) {
        let Boot { started_at, offer } = boot;
        let duration_s = now.saturating_duration_since(started_at).as_secs_f64();
        self.mean_duration_s
            .entry(BootLocation::new(&offer.machine_type, &offer.zone))
            .and_modify(|mean| *mean += (duration_s - *mean) / AVERAGING_WINDOW)
            .or_insert(duration_s);
        self.backoffs.remove(&offer);
        self.last_completed.insert(offer, now);
    }

    /// Returns the boot duration, in seconds, after which a machine of this type is overdue
    /// and a replacement may be provisioned. The duration is `USUAL_BOOT_RATIO` times the
    /// duration that the cloud states, but never longer than the boot limit `limit_s`.
    ///
    /// If the observed boots took longer on average, the ratio is applied to their mean
    /// instead, up to half of `limit_s`. Without this cap, the replacement of a machine could
    /// be delayed until the boot limit has passed.
    pub(super) fn overdue_after_s(
        &self,
        machine_type: &MachineType,
        zone: &str,
        limit_s: f64,
    ) -> f64 {
        let usual = machine_type.boot_s * USUAL_BOOT_RATIO;
        let location = BootLocation::new(&machine_type.name, zone);
        let mean = self.mean_duration_s.get(&location).copied().unwrap_or(0.0);
        (mean * USUAL_BOOT_RATIO)
            .max(usual)
            .min(limit_s / 2.0)
            .max(usual.min(limit_s))
    }

    /// Records that a machine's boot is overdue, and returns whether this is new.
    #[must_use]
    pub(super) fn mark_overdue(&mut self, id: &str) -> bool {
        self.overdue.insert(id.to_string())
    }

    /// Returns whether the boot of a machine is overdue.
    #[must_use]
    pub(super) fn is_overdue(&self, id: &str) -> bool {
        self.overdue.contains(id)
    }

    /// Records that the boot of a machine is overdue or has timed out. If no other machine
    /// of its offer has come up since the boot started, the offer is backed off
    /// exponentially. Otherwise the failure is ignored, because a few failures among many
    /// boots do not show that the offer has a problem.
    pub(super) fn record_failure(&mut self, id: &str, pause: Duration, now: Instant) {
        let Some(boot) = self.in_progress.get(id) else {
            return;
        };
        let last_completed = self.last_completed.get(&boot.offer);
        if last_completed.is_some_and(|completed| *completed > boot.started_at) {
            return;
        }
        let backoff = self.backoffs.entry(boot.offer.clone());
        let backoff = backoff.or_insert(Backoff::inactive(now));
        // The machines of one request fail at about the same time and count as one failure.
        if !backoff.is_active(now) {
            backoff.extend(pause, MAX_FAILURE_DOUBLINGS, now);
        }
    }

    /// Returns whether an offer is backed off because its machines do not come up.
    #[must_use]
    pub(super) fn is_backed_off(&self, offer: &MachineOffer, now: Instant) -> bool {
        let backoff = self.backoffs.get(offer);
        backoff.is_some_and(|backoff| backoff.is_active(now))
    }

    /// Excludes a pause of this process from the durations of the boots.
    pub(super) fn exclude_pause(&mut self, pause: Duration, now: Instant) {
        for boot in self.in_progress.values_mut() {
            boot.started_at = shifted_past_pause(boot.started_at, pause, now);
        }
    }
}
