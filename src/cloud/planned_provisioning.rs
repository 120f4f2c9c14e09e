//! Collects provisioning requests that are planned but not recorded yet.

use std::collections::BTreeMap;

use super::machine_offer::MachineOffer;
use crate::state::records::ProvisioningRequest;

/// The maximum number of machines that the cloud's protocol allows in one provisioning
/// request.
pub(super) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// The number of planned machines of each offer. All planned machines of an offer become one
/// request.
#[derive(Debug, Default)]
pub(super) struct PlannedProvisioning {
    by_offer: BTreeMap<MachineOffer, PlannedRequest>,
}

/// The planned machines of one offer.
#[derive(Debug)]
struct PlannedRequest {
    /// The position of the offer in the order in which offers were first planned.
    position: usize,
    /// The number of machines.
    count: u32,
}

impl PlannedProvisioning {
    /// Adds one machine of an offer.
    pub(super) fn add(&mut self, offer: MachineOffer) {
        let position = self.by_offer.len();
        let request = self
            .by_offer
            .entry(offer)
            .or_insert(PlannedRequest { position, count: 0 });
        request.count += 1;
    }

    /// Returns whether the request for an offer has the maximum number of machines.
    #[must_use]
    pub(super) fn is_full(&self, offer: &MachineOffer) -> bool {
        let request = self.by_offer.get(offer);
        request.is_some_and(|request| request.count >= MAX_MACHINES_PER_REQUEST)
    }

    /// Returns the records of the first `limit` requests, in the order in which their offers
    /// were first planned.
    pub(super) fn into_records(self, limit: usize) -> Vec<ProvisioningRequest> {
        let mut requests: Vec<(MachineOffer, PlannedRequest)> = self.by_offer.into_iter().collect();
        requests.sort_by_key(|(_, request)| request.position);
        requests
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
