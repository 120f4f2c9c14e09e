//! Offers for which the cloud had no capacity of late.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::backoff::Backoff;
use super::machine_offer::MachineOffer;

/// The pause after a refusal doubles with each one in a row, so many times at
/// most.
const MAX_REFUSAL_DOUBLINGS: u32 = 2;

/// Offers that the cloud has refused, and until when they are held off.
#[derive(Debug, Default)]
pub(super) struct OfferRefusals {
    by_offer: HashMap<MachineOffer, Backoff>,
}

impl OfferRefusals {
    /// The cloud had no capacity for an offer: each time in a row it is held off
    /// for longer.
    pub(super) fn record(&mut self, offer: MachineOffer, pause: Duration, now: Instant) {
        let backoff = self.by_offer.entry(offer).or_insert(Backoff::none(now));
        backoff.extend(pause, MAX_REFUSAL_DOUBLINGS, now);
    }

    /// The cloud has delivered all that was asked of an offer.
    pub(super) fn clear(&mut self, offer: &MachineOffer) {
        self.by_offer.remove(offer);
    }

    /// Whether an offer was refused and is not asked for yet.
    #[must_use]
    pub(super) fn is_held_off(&self, offer: &MachineOffer, now: Instant) -> bool {
        let backoff = self.by_offer.get(offer);
        backoff.is_some_and(|backoff| backoff.is_active(now))
    }

    /// The offers that are held off, in alphabetical order.
    pub(super) fn held_off(&self, now: Instant) -> Vec<String> {
        let mut offers: Vec<String> = self
            .by_offer
            .iter()
            .filter(|(_, backoff)| backoff.is_active(now))
            .map(|(offer, _)| offer.to_string())
            .collect();
        offers.sort();
        offers
    }
}
