//! Searches for the offer that can run a job's tasks at the lowest price.

use std::collections::HashSet;

use tokio::time::Instant;

use super::fleet_state::FleetState;
use super::machine_offer::MachineOffer;
use super::planned_provisioning::PlannedProvisioning;
use super::pricing::{cheapest_slot_price, machine_price};
use crate::scheduler::AcceleratorProtection;
use crate::state::records::JobSpec;
use crate::state::replica::Replica;
use crate::wire::{JobKind, MachineType};

/// The constraints on the choice of an offer, in addition to the job's own constraints.
pub(super) struct OfferConstraints<'a> {
    /// The protection of machines with accelerators for jobs that need them.
    pub(super) protection: AcceleratorProtection,
    /// The maximum price of a slot, as a multiple of the cheapest slot's price.
    pub(super) max_price_ratio: f64,
    /// The zones in which more capacity would not help the job, because the job has its maximum
    /// number of tasks there.
    pub(super) excluded_zones: &'a HashSet<String>,
}

/// The inputs of a search for the best offer.
pub(super) struct OfferSearch<'a, 'plan> {
    pub(super) replica: &'a Replica,
    pub(super) fleet: &'plan FleetState,
    pub(super) planned_requests: &'plan PlannedProvisioning,
    pub(super) now: Instant,
}

/// The offer that a search has chosen.
pub(super) struct ChosenOffer<'a> {
    pub(super) machine_type: &'a MachineType,
    pub(super) offer: MachineOffer,
    /// The machine's price divided by the number of wanted tasks that it can run.
    price_per_task: f64,
}

impl<'a> OfferSearch<'a, '_> {
    /// Returns the usable and available offer with the lowest price per task. If a machine has
    /// more than `wanted_slots` slots, the excess slots are not counted.
    pub(super) fn best(
        &self,
        spec: &JobSpec,
        wanted_slots: usize,
        constraints: &OfferConstraints,
    ) -> Option<ChosenOffer<'a>> {
        // The policy limits the price per slot for jobs that can wait.
        let max_slot_price = cheapest_slot_price(self.replica, spec) * constraints.max_price_ratio;
        let mut best: Option<ChosenOffer> = None;
        for machine_type in &self.replica.types.value.types {
            let slots = machine_type.capacity().task_slots(&spec.need);
            if slots == 0 || !spec.allows_type(&machine_type.name) {
                continue;
            }
            let locations = machine_type
                .zones
                .iter()
                .flat_map(|zone| [(zone, true), (zone, false)]);
            for (zone, spot) in locations {
                let price = machine_price(machine_type, spot);
                if price / slots as f64 > max_slot_price
                    || !self.is_usable(machine_type, zone, spot, spec, constraints)
                {
                    continue;
                }
                let price_per_task = price / slots.min(wanted_slots) as f64;
                let offer = MachineOffer::new(&machine_type.name, zone, spot);
                if self.is_available(&offer)
                    && best
                        .as_ref()
                        .is_none_or(|best| price_per_task < best.price_per_task)
                {
                    best = Some(ChosenOffer {
                        machine_type,
                        offer,
                        price_per_task,
                    });
                }
            }
        }
        best
    }

    /// Returns whether the job may run on machines of this offer within the constraints.
    fn is_usable(
        &self,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        spec: &JobSpec,
        constraints: &OfferConstraints,
    ) -> bool {
        if !spec.allows(&machine_type.name, zone, spot) || constraints.excluded_zones.contains(zone)
        {
            return false;
        }
        let avoids_accelerators = (spec.kind == JobKind::Array
            || constraints.protection == AcceleratorProtection::Strict)
            && spec.need.gpus.0 == 0
            && machine_type.gpus > 0.0;
        // A job without accelerators would take CPUs and memory that jobs need which use the
        // machine's accelerators. Placement keeps the job off such machines for the same reason
        // (`scheduler::candidates`).
        let wanted_by_gpu_work = || {
            let gpu_spec = self.replica.latest_gpu_spec.as_ref();
            gpu_spec.is_none_or(|gpu_spec| gpu_spec.allows(&machine_type.name, zone, spot))
        };
        !(avoids_accelerators && wanted_by_gpu_work())
    }

    /// Returns whether one more machine of this offer can be requested: the offer is not
    /// backed off after refusals or failed boots, and its planned request is not full.
    fn is_available(&self, offer: &MachineOffer) -> bool {
        !self.fleet.refusals.is_backed_off(offer, self.now)
            && !self.fleet.boots.is_backed_off(offer, self.now)
            && !self.planned_requests.is_full(offer)
    }
}
