//! Provisioning requests that are planned and not recorded yet.

use std::collections::BTreeMap;

use super::machine_offer::MachineOffer;
use crate::state::records::ProvisioningRequest;

/// The most machines that one request may ask for, by the protocol.
pub(super) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// How many machines of each offer are planned. An offer that is asked for more
/// than once becomes one request.
#[derive(Debug, Default)]
pub(super) struct PlannedProvisioning {
    by_offer: BTreeMap<MachineOffer, PlannedRequest>,
}

#[derive(Debug)]
struct PlannedRequest {
    /// Its place in the order in which the offers were first asked for.
    position: usize,
    count: u32,
}

impl PlannedProvisioning {
    /// Adds one machine of the offer.
    pub(super) fn add(&mut self, offer: MachineOffer) {
        let position = self.by_offer.len();
        let request = self
            .by_offer
            .entry(offer)
            .or_insert(PlannedRequest { position, count: 0 });
        request.count += 1;
    }

    /// Whether one request takes no more machines of this offer.
    #[must_use]
    pub(super) fn is_full(&self, offer: &MachineOffer) -> bool {
        let request = self.by_offer.get(offer);
        request.is_some_and(|request| request.count >= MAX_MACHINES_PER_REQUEST)
    }

    /// The records of the first `limit` requests, in the order in which their
    /// offers were first asked for.
    pub(super) fn into_records(self, limit: usize) -> Vec<ProvisioningRequest> {
        let mut planned: Vec<(MachineOffer, PlannedRequest)> = self.by_offer.into_iter().collect();
        planned.sort_by_key(|(_, request)| request.position);
        planned
            .into_iter()
            .map(|(offer, request)| ProvisioningRequest {
                kind: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
                count: request.count,
                machines: Vec::new(),
            })
            .take(limit)
            .collect()
    }
}
