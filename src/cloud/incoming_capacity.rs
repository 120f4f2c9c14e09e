//! Capacity that a plan counts on before it is there: machines that boot, and
//! those that were requested.

use super::boot_tracking::BootTracker;
use super::booting_machines::booting_machines;
use crate::scheduler::Plan;
use crate::state::replica::Replica;
use crate::wire::MachineType;

/// Adds the capacity of one machine of an offer to the plan.
pub(super) fn add_machine(
    plan: &mut Plan,
    replica: &Replica,
    machine_type: &MachineType,
    zone: &str,
    spot: bool,
) {
    if let Some(class) = replica.find_class(&machine_type.name, zone, spot) {
        plan.add_unassigned(class, machine_type.resources());
    }
}

/// Adds the capacity that is on its way: booting machines and recorded requests.
/// Not those whose boot is overdue: another is provisioned in their stead, and
/// they are used if they come all the same.
pub(super) fn add_incoming_capacity(plan: &mut Plan, replica: &Replica, boots: &BootTracker) {
    let mut add = |machine_type: &str, zone: &str, spot: bool| {
        if let Some(machine_type) = replica.machine_type(machine_type) {
            add_machine(plan, replica, machine_type, zone, spot);
        }
    };
    for machine in booting_machines(replica).filter(|machine| !boots.is_overdue(machine.id)) {
        add(machine.machine_type, machine.zone, machine.spot);
    }
    let requests = replica.provisioning_requests.values();
    let requests = requests.map(|entry| &entry.value);
    for request in requests.filter(|request| request.machines.is_empty()) {
        for _ in 0..request.count {
            add(&request.kind, &request.zone, request.spot);
        }
    }
}
