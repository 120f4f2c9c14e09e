//! How long machines take to boot, and which offers fail to deliver any.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::offers::Offer;
use crate::controller::shifted_past_pause;
use crate::state::records::MachineLifecycle;
use crate::state::replica::Replica;
use crate::wire::MachineType;

/// PROTOCOL: a boot usually takes at most so many times what the cloud says.
const USUAL_BOOT_RATIO: f64 = 1.5;

/// The weight of the latest boot in the learned mean is one over this.
const LEARNING_WINDOW: f64 = 4.0;

/// The pause after a failure doubles with each one in a row, so many times at
/// most.
const MAX_FAILURE_DOUBLINGS: u32 = 3;

/// A machine that was rented and has not reported yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct BootingMachine<'a> {
    pub(super) id: &'a str,
    pub(super) kind: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// Machines that boot: those of rentals that have no record of their own yet,
/// and those that were found in the cloud's list.
pub(super) fn booting(replica: &Replica) -> impl Iterator<Item = BootingMachine<'_>> {
    let rented = replica.provisioning_requests.values().flat_map(|entry| {
        let rental = &entry.value;
        rental
            .machines
            .iter()
            .filter(|id| !replica.machines.contains_key(*id))
            .map(|id| BootingMachine {
                id,
                kind: &rental.kind,
                zone: &rental.zone,
                spot: rental.spot,
            })
    });
    let found = replica.machines.iter().filter_map(|(id, entry)| {
        let machine = &entry.value;
        (machine.lifecycle == MachineLifecycle::Booting).then_some(BootingMachine {
            id,
            kind: &machine.kind,
            zone: &machine.zone,
            spot: machine.spot,
        })
    });
    rented.chain(found)
}

/// A machine type in a zone: boots take different times in each.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct BootPlace {
    kind: String,
    zone: String,
}

impl BootPlace {
    fn new(kind: &str, zone: &str) -> Self {
        BootPlace {
            kind: kind.to_string(),
            zone: zone.to_string(),
        }
    }
}

/// A boot that is under way.
#[derive(Debug)]
struct Boot {
    since: Instant,
    offer: Offer,
}

/// An offer that is not asked for until a time, and how often in a row it has
/// failed or been refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) until: Instant,
    pub(super) failures: u32,
}

impl Backoff {
    /// No pause yet.
    pub(super) fn none(now: Instant) -> Self {
        Backoff {
            until: now,
            failures: 0,
        }
    }

    /// The pause after one more failure: doubled with each in a row, at most
    /// `max_doublings` times.
    pub(super) fn extend(&mut self, pause: Duration, max_doublings: u32, now: Instant) {
        self.until = now + pause * 2u32.pow(self.failures.min(max_doublings));
        self.failures += 1;
    }
}

/// What boots have taken of late, by type and zone, and what boots now.
#[derive(Debug, Default)]
pub(super) struct BootHistory {
    /// The mean of the boots seen, the latest counting most, in seconds.
    mean_s: HashMap<BootPlace, f64>,
    /// The machines that boot.
    under_way: HashMap<String, Boot>,
    /// When a machine of an offer last came up.
    last_up: HashMap<Offer, Instant>,
    /// Machines that are late.
    late: HashSet<String>,
    /// Offers of which no machine comes up.
    failed: HashMap<Offer, Backoff>,
}

impl BootHistory {
    /// Takes in what boots now and which of the others has come up.
    pub(super) fn observe<'a>(
        &mut self,
        booting: impl Iterator<Item = BootingMachine<'a>>,
        is_up: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        let mut still: HashSet<&str> = HashSet::new();
        for machine in booting {
            still.insert(machine.id);
            if !self.under_way.contains_key(machine.id) {
                let offer = Offer::new(machine.kind, machine.zone, machine.spot);
                let boot = Boot { since: now, offer };
                self.under_way.insert(machine.id.to_string(), boot);
            }
        }
        self.late.retain(|id| still.contains(id.as_str()));
        let mut ended = Vec::new();
        self.under_way.retain(|id, boot| {
            let boots = still.contains(id.as_str());
            if !boots && is_up(id) {
                ended.push((boot.offer.clone(), boot.since));
            }
            boots
        });
        for (offer, since) in ended {
            self.came_up(offer, since, now);
        }
    }

    /// A machine of this offer has come up.
    fn came_up(&mut self, offer: Offer, since: Instant, now: Instant) {
        let took_s = now.saturating_duration_since(since).as_secs_f64();
        self.mean_s
            .entry(BootPlace::new(&offer.kind, &offer.zone))
            .and_modify(|mean| *mean += (took_s - *mean) / LEARNING_WINDOW)
            .or_insert(took_s);
        self.failed.remove(&offer);
        self.last_up.insert(offer, now);
    }

    /// After how many seconds a machine of this type is late: what is usual by
    /// the cloud's word, more where boots have been seen to take longer; never
    /// so much that one waits for it to the end.
    pub(super) fn late_after_s(&self, kind: &MachineType, zone: &str, limit_s: f64) -> f64 {
        let usual = kind.boot_s * USUAL_BOOT_RATIO;
        let place = BootPlace::new(&kind.name, zone);
        let mean = self.mean_s.get(&place).copied().unwrap_or(0.0);
        (mean * USUAL_BOOT_RATIO)
            .max(usual)
            .min(limit_s / 2.0)
            .max(usual.min(limit_s))
    }

    /// Notes that a machine is late; whether it was not known before.
    pub(super) fn mark_late(&mut self, id: &str) -> bool {
        self.late.insert(id.to_string())
    }

    /// Whether a machine that boots is late.
    pub(super) fn is_late(&self, id: &str) -> bool {
        self.late.contains(id)
    }

    /// A machine that boots is late, or is given up. Where no other of its offer
    /// has come up since it was rented, the next is tried later, and later each
    /// time; a few of many may fail at any time.
    pub(super) fn note_failure(&mut self, id: &str, pause: Duration, now: Instant) {
        let Some(boot) = self.under_way.get(id) else {
            return;
        };
        let last_up = self.last_up.get(&boot.offer);
        if last_up.is_some_and(|up| *up > boot.since) {
            return;
        }
        let backoff = self.failed.entry(boot.offer.clone());
        let backoff = backoff.or_insert(Backoff::none(now));
        // Those of one rental count once.
        if backoff.until <= now {
            backoff.extend(pause, MAX_FAILURE_DOUBLINGS, now);
        }
    }

    /// Whether an offer is not asked for now, as its machines do not come up.
    pub(super) fn is_backed_off(&self, offer: &Offer, now: Instant) -> bool {
        let backoff = self.failed.get(offer);
        backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// Takes a gap in which this process did not run out of the boots' times.
    pub(super) fn exclude_pause(&mut self, gap: Duration, now: Instant) {
        for boot in self.under_way.values_mut() {
            boot.since = shifted_past_pause(boot.since, gap, now);
        }
    }
}
