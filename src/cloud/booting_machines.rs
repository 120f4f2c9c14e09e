//! Lists the booting machines that the replica shows.

use crate::state::records::MachineLifecycle;
use crate::state::replica::Replica;

/// A provisioned machine whose worker has not sent a heartbeat yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct BootingMachine<'a> {
    pub(super) id: &'a str,
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// Returns the booting machines: those of answered provisioning requests that have no
/// record of their own yet, and those that were adopted from the cloud's inventory.
pub(super) fn booting_machines(replica: &Replica) -> impl Iterator<Item = BootingMachine<'_>> {
    let requested = replica.provisioning_requests.values().flat_map(|entry| {
        let request = &entry.value;
        request
            .machines
            .iter()
            .filter(|id| !replica.machines.contains_key(*id))
            .map(|id| BootingMachine {
                id,
                machine_type: &request.kind,
                zone: &request.zone,
                spot: request.spot,
            })
    });
    let adopted = replica.machines.iter().filter_map(|(id, entry)| {
        let machine = &entry.value;
        (machine.lifecycle == MachineLifecycle::Booting).then_some(BootingMachine {
            id,
            machine_type: &machine.kind,
            zone: &machine.zone,
            spot: machine.spot,
        })
    });
    requested.chain(adopted)
}
