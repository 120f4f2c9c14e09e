//! Prices of machines, by the price list that the cloud gives.

use crate::policy::MachineFacts;
use crate::state::records::Spec;
use crate::state::replica::Replica;
use crate::wire::MachineType;

/// The lowest price of a slot for a task of this shape on any machine type, by
/// the list price; infinite if no type can hold one.
pub(super) fn cheapest_slot_price(replica: &Replica, spec: &Spec) -> f64 {
    let mut cheapest = f64::INFINITY;
    for machine_type in &replica.types.value.types {
        let slots = machine_type.resources().slots(&spec.need);
        if slots > 0 && spec.allows_type(&machine_type.name) {
            cheapest = cheapest.min(machine_price(machine_type, spec.spot) / slots as f64);
        }
    }
    cheapest
}

/// The price of a machine, as a spot machine or at the regular price.
pub(super) fn machine_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// The facts of a machine that the policy's rules may use.
pub(super) fn machine_facts(machine_type: &MachineType, spot: bool) -> MachineFacts {
    MachineFacts {
        boot_s: machine_type.boot_s,
        price: machine_price(machine_type, spot),
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        spot,
    }
}
