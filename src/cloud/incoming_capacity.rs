//! Adds incoming capacity to a plan. This is the capacity of booting machines and of machines
//! that have been requested from the cloud.

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
        plan.add_unassigned(class, machine_type.capacity());
    }
}

/// Adds the incoming capacity to the plan: booting machines and unanswered provisioning
/// requests. Machines whose boot is overdue are left out, so that replacements are
/// provisioned for them. They are still used if they come up later.
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
