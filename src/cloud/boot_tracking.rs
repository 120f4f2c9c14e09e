//! How long machines take to boot, and which offers fail to deliver any.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::backoff::Backoff;
use super::booting_machines::BootingMachine;
use super::machine_offer::MachineOffer;
use crate::controller::shifted_past_pause;
use crate::wire::MachineType;

/// PROTOCOL: a boot usually takes at most so many times what the cloud says.
const USUAL_BOOT_RATIO: f64 = 1.5;

/// The weight of the latest boot in the moving average is one over this.
const AVERAGING_WINDOW: f64 = 4.0;

/// The pause after a failure doubles with each one in a row, so many times at
/// most.
const MAX_FAILURE_DOUBLINGS: u32 = 3;

/// A machine type in a zone: boots take different times in each.
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
    offer: MachineOffer,
}

/// The boots in progress, and the durations and failures of recent ones.
#[derive(Debug, Default)]
pub(super) struct BootTracker {
    /// The moving average of boot durations, in seconds.
    mean_s: HashMap<BootLocation, f64>,
    /// Boots in progress, by machine.
    in_progress: HashMap<String, Boot>,
    /// When a machine of an offer last came up.
    last_completed: HashMap<MachineOffer, Instant>,
    /// Machines whose boot is overdue.
    overdue: HashSet<String>,
    /// Offers of which no machine comes up.
    failed: HashMap<MachineOffer, Backoff>,
}

impl BootTracker {
    /// Records which machines boot now and which of the others have come up.
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

    /// A machine has come up.
    fn record_completed(&mut self, boot: Boot, now: Instant) {
        let Boot { started_at, offer } = boot;
        let duration_s = now.saturating_duration_since(started_at).as_secs_f64();
        self.mean_s
            .entry(BootLocation::new(&offer.machine_type, &offer.zone))
            .and_modify(|mean| *mean += (duration_s - *mean) / AVERAGING_WINDOW)
            .or_insert(duration_s);
        self.failed.remove(&offer);
        self.last_completed.insert(offer, now);
    }

    /// After how many seconds the boot of a machine of this type is overdue: what
    /// is usual by the cloud's word, more where boots have been seen to take
    /// longer; never so much that one waits for it to the end of `limit_s`.
    pub(super) fn overdue_after_s(
        &self,
        machine_type: &MachineType,
        zone: &str,
        limit_s: f64,
    ) -> f64 {
        let usual = machine_type.boot_s * USUAL_BOOT_RATIO;
        let location = BootLocation::new(&machine_type.name, zone);
        let mean = self.mean_s.get(&location).copied().unwrap_or(0.0);
        (mean * USUAL_BOOT_RATIO)
            .max(usual)
            .min(limit_s / 2.0)
            .max(usual.min(limit_s))
    }

    /// Records that a machine's boot is overdue; whether that is new.
    #[must_use]
    pub(super) fn mark_overdue(&mut self, id: &str) -> bool {
        self.overdue.insert(id.to_string())
    }

    /// Whether the boot of a machine is overdue.
    #[must_use]
    pub(super) fn is_overdue(&self, id: &str) -> bool {
        self.overdue.contains(id)
    }

    /// The boot of a machine is overdue, or is given up. Where no other of its
    /// offer has come up since it was provisioned, the next is tried later, and
    /// later each time; a few of many may fail at any time.
    pub(super) fn record_failure(&mut self, id: &str, pause: Duration, now: Instant) {
        let Some(boot) = self.in_progress.get(id) else {
            return;
        };
        let last_completed = self.last_completed.get(&boot.offer);
        if last_completed.is_some_and(|completed| *completed > boot.started_at) {
            return;
        }
        let backoff = self.failed.entry(boot.offer.clone());
        let backoff = backoff.or_insert(Backoff::none(now));
        // Those of one request count once.
        if !backoff.is_active(now) {
            backoff.extend(pause, MAX_FAILURE_DOUBLINGS, now);
        }
    }

    /// Whether an offer is not asked for now, as its machines do not come up.
    #[must_use]
    pub(super) fn is_backed_off(&self, offer: &MachineOffer, now: Instant) -> bool {
        let backoff = self.failed.get(offer);
        backoff.is_some_and(|backoff| backoff.is_active(now))
    }

    /// Excludes a gap in which this process did not run from the boots' durations.
    pub(super) fn exclude_pause(&mut self, gap: Duration, now: Instant) {
        for boot in self.in_progress.values_mut() {
            boot.started_at = shifted_past_pause(boot.started_at, gap, now);
        }
    }
}
