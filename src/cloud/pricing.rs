//! Prices of machines and slots, from the cloud's price list.

use crate::policy::MachineFacts;
use crate::state::records::JobSpec;
use crate::state::replica::Replica;
use crate::wire::MachineType;

/// Returns the lowest list price of a slot for one of the job's tasks on any machine type that
/// the job allows, or infinity if no such type can hold a task.
pub(super) fn cheapest_slot_price(replica: &Replica, spec: &JobSpec) -> f64 {
    let mut cheapest = f64::INFINITY;
    for machine_type in &replica.types.value.types {
        let slots = machine_type.capacity().task_slots(&spec.need);
        if slots > 0 && spec.allows_type(&machine_type.name) {
            cheapest = cheapest.min(machine_price(machine_type, spec.spot) / slots as f64);
        }
    }
    cheapest
}

/// Returns the spot price or the regular price of a machine.
pub(super) fn machine_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// Returns the facts about a machine that policy rules can use.
pub(super) fn machine_facts(machine_type: &MachineType, spot: bool) -> MachineFacts {
    MachineFacts {
        boot_s: machine_type.boot_s,
        price: machine_price(machine_type, spot),
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        spot,
    }
}
