//! Offers of the cloud, their prices, and the best offer for a job.

use std::collections::{BTreeMap, HashSet};
use std::fmt;

use tokio::time::Instant;

use super::state::FleetState;
use crate::policy::MachineFacts;
use crate::scheduler::AcceleratorProtection;
use crate::state::records::{ProvisioningRequest, Spec};
use crate::state::replica::Replica;
use crate::wire::{Kind, MachineType};

/// The most machines that one rental may ask for, by the protocol.
pub(super) const MAX_RENTAL_SIZE: u32 = 50;

/// What the cloud rents out: a machine type in a zone, as a spot machine or at
/// the regular price.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Offer {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

impl Offer {
    pub(super) fn new(kind: &str, zone: &str, spot: bool) -> Self {
        Offer {
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }

    /// The offer that a recorded rental asks for.
    pub(super) fn of_rental(rental: &ProvisioningRequest) -> Self {
        Offer::new(&rental.kind, &rental.zone, rental.spot)
    }
}

impl fmt::Display for Offer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}", self.kind, self.zone)?;
        if self.spot {
            write!(f, " (spot)")?;
        }
        Ok(())
    }
}

/// Rentals that are planned and not recorded yet: how many machines of each
/// offer. An offer that is asked for more than once becomes one rental.
#[derive(Debug, Default)]
pub(super) struct PlannedProvisioning {
    by_offer: BTreeMap<Offer, PlannedRental>,
}

#[derive(Debug)]
struct PlannedRental {
    /// Its place in the order in which the offers were first asked for.
    position: usize,
    count: u32,
}

impl PlannedProvisioning {
    /// Adds one machine of the offer.
    pub(super) fn add(&mut self, offer: Offer) {
        let position = self.by_offer.len();
        let rental = self
            .by_offer
            .entry(offer)
            .or_insert(PlannedRental { position, count: 0 });
        rental.count += 1;
    }

    /// Whether one rental holds no more machines of this offer.
    fn is_full(&self, offer: &Offer) -> bool {
        let rental = self.by_offer.get(offer);
        rental.is_some_and(|rental| rental.count >= MAX_RENTAL_SIZE)
    }

    /// The records of the first `limit` rentals, in the order in which they
    /// were asked for.
    pub(super) fn into_records(self, limit: usize) -> Vec<ProvisioningRequest> {
        let mut provisioning_requests: Vec<(Offer, PlannedRental)> =
            self.by_offer.into_iter().collect();
        provisioning_requests.sort_by_key(|(_, rental)| rental.position);
        provisioning_requests
            .into_iter()
            .map(|(offer, rental)| ProvisioningRequest {
                kind: offer.kind,
                zone: offer.zone,
                spot: offer.spot,
                count: rental.count,
                machines: Vec::new(),
            })
            .take(limit)
            .collect()
    }
}

/// What restricts the choice of an offer, besides the job's own terms.
pub(super) struct OfferBounds<'a> {
    pub(super) care: AcceleratorProtection,
    /// The most that a task's place may cost, over the cheapest one.
    pub(super) max_price_ratio: f64,
    /// Zones where more room would not help.
    pub(super) excluded_zones: &'a HashSet<String>,
}

/// A search for the best offer: what it may choose from.
pub(super) struct OfferSearch<'a, 's> {
    pub(super) replica: &'a Replica,
    pub(super) fleet: &'s FleetState,
    pub(super) provisioning_requests: &'s PlannedProvisioning,
    pub(super) now: Instant,
}

impl<'a> OfferSearch<'a, '_> {
    /// The offer that is cheapest for each task that it would hold of those
    /// wanted.
    pub(super) fn best(
        &self,
        spec: &Spec,
        wanted: usize,
        bounds: &OfferBounds,
    ) -> Option<(&'a MachineType, Offer)> {
        // Work that can wait is not worth any price.
        let max_price = cheapest_place(self.replica, spec) * bounds.max_price_ratio;
        let mut best: Option<(f64, &MachineType, Offer)> = None;
        for kind in &self.replica.types.value.types {
            let slots = kind.resources().slots(&spec.need);
            if slots == 0 || !spec.allows_type(&kind.name) {
                continue;
            }
            let places = kind
                .zones
                .iter()
                .flat_map(|zone| [(zone, true), (zone, false)]);
            for (zone, spot) in places {
                let price = price_of(kind, spot);
                if price / slots as f64 > max_price
                    || !self.is_usable(kind, zone, spot, spec, bounds)
                {
                    continue;
                }
                let offer = Offer::new(&kind.name, zone, spot);
                if !self.is_available(&offer) {
                    continue;
                }
                let price_per_task = price / slots.min(wanted) as f64;
                if best
                    .as_ref()
                    .is_none_or(|(least, _, _)| price_per_task < *least)
                {
                    best = Some((price_per_task, kind, offer));
                }
            }
        }
        best.map(|(_, kind, offer)| (kind, offer))
    }

    /// Whether the job may run on machines of this offer, within the bounds.
    fn is_usable(
        &self,
        kind: &MachineType,
        zone: &str,
        spot: bool,
        spec: &Spec,
        bounds: &OfferBounds,
    ) -> bool {
        if !spec.allows(&kind.name, zone, spot) || bounds.excluded_zones.contains(zone) {
            return false;
        }
        let avoids_accelerators = (spec.kind == Kind::Array
            || bounds.care == AcceleratorProtection::Strict)
            && spec.need.gpus.0 == 0
            && kind.gpus > 0.0;
        // There it would stand in the way of work on accelerators, see
        // `admission`.
        let wanted_by_gpu_work = || {
            let gpu = self.replica.gpu_spec.as_ref();
            gpu.is_none_or(|gpu| gpu.allows(&kind.name, zone, spot))
        };
        !(avoids_accelerators && wanted_by_gpu_work())
    }

    /// Whether the cloud can be expected to deliver one more of this offer.
    fn is_available(&self, offer: &Offer) -> bool {
        !self.fleet.is_refused(offer, self.now)
            && !self.fleet.boots.is_backed_off(offer, self.now)
            && !self.provisioning_requests.is_full(offer)
    }
}

/// The least that a place for a task of this shape costs anywhere, by nominal
/// price.
pub(super) fn cheapest_place(replica: &Replica, spec: &Spec) -> f64 {
    let mut least = f64::INFINITY;
    for kind in &replica.types.value.types {
        let slots = kind.resources().slots(&spec.need);
        if slots > 0 && spec.allows_type(&kind.name) {
            least = least.min(price_of(kind, spec.spot) / slots as f64);
        }
    }
    least
}

/// The price of a machine.
pub(super) fn price_of(kind: &MachineType, spot: bool) -> f64 {
    if spot { kind.spot_price } else { kind.price }
}

/// What the policy may know of a machine.
pub(super) fn machine_facts(kind: &MachineType, spot: bool) -> MachineFacts {
    MachineFacts {
        boot_s: kind.boot_s,
        price: price_of(kind, spot),
        cpus: kind.cpus,
        gpus: kind.gpus,
        spot,
    }
}
