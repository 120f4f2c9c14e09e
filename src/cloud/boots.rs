//! How long machines take to boot, and which offers fail to deliver any.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::wire::MachineType;

/// A kind of offer: type, zone, spot.
pub(super) type Offer = (String, String, bool);

/// What boots have taken of late, by type and zone, and what boots now.
#[derive(Debug, Default)]
pub struct Boots {
    /// The mean of those seen, the latest counting most, in seconds.
    learned: HashMap<(String, String), f64>,
    /// Since when a machine boots, and by which offer.
    pub(super) since: HashMap<String, (Instant, Offer)>,
    /// When a machine of an offer last came up.
    up: HashMap<Offer, Instant>,
    /// Machines that are late.
    pub(super) late: HashSet<String>,
    /// Offers of which no machine comes up: how often in a row one was late or
    /// given up, and until when they are left alone.
    failed: HashMap<Offer, (Instant, u32)>,
}

impl Boots {
    /// Takes in what boots now and which of the others has come up.
    pub fn see<'a>(
        &mut self,
        booting: impl Iterator<Item = (&'a str, &'a str, &'a str, bool)>,
        is_up: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        let mut still: HashSet<&str> = HashSet::new();
        for (id, kind, zone, spot) in booting {
            still.insert(id);
            if !self.since.contains_key(id) {
                let offer = (kind.to_string(), zone.to_string(), spot);
                self.since.insert(id.to_string(), (now, offer));
            }
        }
        let (learned, failed, up) = (&mut self.learned, &mut self.failed, &mut self.up);
        self.late.retain(|id| still.contains(id.as_str()));
        self.since.retain(|id, (since, offer)| {
            if still.contains(id.as_str()) {
                return true;
            }
            if is_up(id) {
                up.insert(offer.clone(), now);
                let took = now.saturating_duration_since(*since).as_secs_f64();
                let mean = learned.entry((offer.0.clone(), offer.1.clone()));
                mean.and_modify(|m| *m += (took - *m) / 4.0).or_insert(took);
                failed.remove(offer);
            }
            false
        });
    }

    /// After how many seconds a machine of this type is late: what is usual by
    /// the cloud's word, more where boots have been seen to take longer; never
    /// so much that one waits for it to the end.
    pub fn late_s(&self, kind: &MachineType, zone: &str, limit_s: f64) -> f64 {
        let usual = kind.boot_s * BOOT_USUAL;
        let key = (kind.name.clone(), zone.to_string());
        let seen = self.learned.get(&key).copied().unwrap_or(0.0);
        (seen * BOOT_USUAL)
            .max(usual)
            .min(limit_s / 2.0)
            .max(usual.min(limit_s))
    }

    /// A machine that boots is late, or is given up. Where no other of its offer
    /// has come up since it was rented, the next is tried later, and later each
    /// time; a few of many may fail at any time.
    pub fn fails(&mut self, id: &str, pause: Duration, now: Instant) {
        let Some((since, offer)) = self.since.get(id) else {
            return;
        };
        if self.up.get(offer).is_some_and(|t| t > since) {
            return;
        }
        let (until, count) = self.failed.entry(offer.clone()).or_insert((now, 0));
        // Those of one rental count once.
        if *until <= now {
            *until = now + pause * 2u32.pow((*count).min(3));
            *count += 1;
        }
    }

    pub fn is_left_alone(&self, offer: &Offer, now: Instant) -> bool {
        self.failed
            .get(offer)
            .is_some_and(|(until, _)| *until > now)
    }
}

/// PROTOCOL: a boot usually takes at most so many times what the cloud says.
const BOOT_USUAL: f64 = 1.5;
