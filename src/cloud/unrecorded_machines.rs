//! Records machines that have no record yet, either to be used or to be decommissioned.

use super::provisioning::find_request_of;
use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::state::budget::RequestClass;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::wire::{Commit, ListedMachine};

/// A machine that has no record yet, with the record to be written.
#[derive(Debug, Clone)]
pub(super) struct UnrecordedMachine {
    pub(super) id: String,
    pub(super) machine: Machine,
}

impl UnrecordedMachine {
    /// Returns a new booting machine for a machine that the cloud lists although it has neither
    /// a record nor a provisioning request.
    pub(super) fn adopted(listed: &ListedMachine) -> Self {
        UnrecordedMachine {
            id: listed.id.clone(),
            machine: Machine {
                spot: listed.spot,
                ..Machine::new(&listed.machine_type, &listed.zone)
            },
        }
    }
}

/// Returns a provisioned machine that has not come up, to be recorded as returning. Returns
/// `None` if no provisioning request lists the machine.
pub(super) fn unbooted_machine(replica: &Replica, id: &str) -> Option<UnrecordedMachine> {
    let request = &find_request_of(replica, id)?.entry.value;
    let machine = Machine {
        lifecycle: MachineLifecycle::Returning,
        spot: request.spot,
        ..Machine::new(&request.kind, &request.zone)
    };
    Some(UnrecordedMachine {
        id: id.to_string(),
        machine,
    })
}

/// Records the machines that still have no record, as many as fit in one commit.
pub(super) async fn record_machines(controller: &Controller, machines: &[UnrecordedMachine]) {
    let max_writes = controller.settings.max_writes_per_commit();
    let mut recorded = Vec::new();
    let Commit {
        preconditions,
        writes,
    } = {
        let replica = controller.replica.borrow();
        let mut machine_shards = MachineShardEdits::new(&replica);
        for UnrecordedMachine { id, machine } in machines {
            if replica.machines.contains_key(id) || machine_shards.is_full(max_writes) {
                continue;
            }
            let mut machine = machine.clone();
            let shard = machine_shards.allocate_shard(
                &controller.settings,
                id,
                &machine.kind,
                &machine.zone,
            );
            let Some(shard) = shard else {
                continue;
            };
            machine.shard = shard;
            recorded.push((id, machine.lifecycle));
            machine_shards.put(id, machine);
        }
        machine_shards.into_commit()
    };
    if writes.is_empty() {
        return;
    }
    match controller
        .commit(RequestClass::Lifecycle, preconditions, writes)
        .await
    {
        Ok(_) => {
            for (machine, lifecycle) in recorded {
                tracing::info!(machine, ?lifecycle, "machine recorded");
            }
        }
        Err(error) => tracing::debug!(%error, "machines not recorded"),
    }
}
