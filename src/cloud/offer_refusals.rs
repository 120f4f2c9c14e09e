//! Tracks the offers that the cloud has refused because it had no capacity.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::backoff::Backoff;
use super::machine_offer::MachineOffer;

/// The maximum number of times that the pause after consecutive refusals is doubled.
const MAX_REFUSAL_DOUBLINGS: u32 = 2;

/// The offers that the cloud has refused, with their backoffs.
#[derive(Debug, Default)]
pub(super) struct OfferRefusals {
    by_offer: HashMap<MachineOffer, Backoff>,
}

impl OfferRefusals {
    /// Records that the cloud had no capacity for an offer. The pause grows with each
    /// consecutive refusal.
    pub(super) fn record(&mut self, offer: MachineOffer, pause: Duration, now: Instant) {
        let backoff = self.by_offer.entry(offer).or_insert(Backoff::inactive(now));
        backoff.extend(pause, MAX_REFUSAL_DOUBLINGS, now);
    }

    /// Records that the cloud has delivered all requested machines of an offer.
    pub(super) fn clear(&mut self, offer: &MachineOffer) {
        self.by_offer.remove(offer);
    }

    /// Returns whether an offer was refused and must not be requested yet.
    #[must_use]
    pub(super) fn is_backed_off(&self, offer: &MachineOffer, now: Instant) -> bool {
        let backoff = self.by_offer.get(offer);
        backoff.is_some_and(|backoff| backoff.is_active(now))
    }

    /// Returns the offers that were refused and must not be requested yet, in alphabetical
    /// order.
    pub(super) fn backed_off_offers(&self, now: Instant) -> Vec<String> {
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
