//! The cloud's inventory of machines, reconciled with the records: adopts those
//! that nobody knows, gives up those that have failed.

use std::collections::HashSet;
use std::time::Duration;

use super::client::CloudError;
use super::fleet_state::FleetState;
use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::provisioning::find_request_of;
use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::state::budget::RequestClass;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::wire::{ListedMachine, ListedMachineStage, MachineList};

/// How many times the inventory's lag a machine that is gone may still be listed.
const GONE_LAGS: u32 = 6;

/// A listed machine without a record is recorded here after so many leases:
/// one that runs reports sooner, and is claimed with a record of its own.
const UNRECORDED_LEASES: u32 = 2;

/// A machine that has no record yet.
#[derive(Debug, Clone)]
pub(super) struct NewMachine {
    pub(super) id: String,
    pub(super) machine: Machine,
}

/// What the cloud's inventory shows that the records do not.
#[derive(Debug, Default)]
struct InventoryDifferences {
    /// Recorded machines that the cloud lists as failed.
    failed: Vec<String>,
    /// Machines to be recorded.
    new: Vec<NewMachine>,
}

/// Reads the cloud's inventory when it is due, and carries out what it shows.
pub(super) async fn reconcile_inventory(controller: &Controller) {
    let lag = Duration::from_secs_f64(controller.settings.deployment.cloud.list_lag_s);
    if !controller.fleet.borrow().inventory_timer.is_due(lag) {
        return;
    }
    let listed = match read_inventory(controller).await {
        Ok(listed) => listed,
        Err(error) => {
            tracing::debug!(%error, "cloud inventory not read");
            return;
        }
    };
    controller.fleet.borrow_mut().inventory_timer.restart();
    let differences = {
        let replica = controller.replica.borrow();
        let mut fleet = controller.fleet.borrow_mut();
        fleet.forget_gone(lag * GONE_LAGS);
        fleet.forget_recorded(|id| replica.machines.contains_key(id));
        let lease = controller.settings.worker_lease();
        compare(&replica, &mut fleet, &listed, lease)
    };
    record_machines(controller, &differences.new).await;
    let returning: Vec<LifecycleChange> = differences
        .failed
        .iter()
        .map(|id| LifecycleChange::new(id, MachineLifecycle::Returning))
        .collect();
    set_lifecycles(controller, &returning).await;
}

/// All pages of the cloud's inventory.
async fn read_inventory(controller: &Controller) -> Result<Vec<ListedMachine>, CloudError> {
    let mut all = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("/rentals?after={after}&limit=500");
        let response = controller.call_cloud("GET", &path, None).await?;
        let page = response.parse::<MachineList>()?;
        let Some(last) = page.machines.last() else {
            return Ok(all);
        };
        after = last.id.clone();
        all.extend(page.machines);
        if !page.has_more {
            return Ok(all);
        }
    }
}

/// Compares the inventory with the records and with what is known to be on its way.
fn compare(
    replica: &Replica,
    fleet: &mut FleetState,
    listed: &[ListedMachine],
    lease: Duration,
) -> InventoryDifferences {
    let unanswered = replica
        .provisioning_requests
        .values()
        .any(|entry| entry.value.machines.is_empty());
    let provisioning_requests = replica.provisioning_requests.values();
    let provisioned: HashSet<&str> = provisioning_requests
        .flat_map(|entry| entry.value.machines.iter().map(String::as_str))
        .collect();
    let mut differences = InventoryDifferences::default();
    for machine in listed {
        let has_failed = machine.stage == ListedMachineStage::Failed;
        if let Some(known) = replica.machines.get(&machine.id) {
            if has_failed && known.value.lifecycle != MachineLifecycle::Gone {
                differences.failed.push(machine.id.clone());
            }
        } else if fleet.is_confirmed_gone(&machine.id) {
            // A late inventory.
        } else if provisioned.contains(machine.id.as_str()) {
            if has_failed {
                differences
                    .new
                    .extend(provisioned_but_not_up(replica, &machine.id));
            }
        } else if unanswered {
            // The answer to a request that is in progress will name it.
        } else if fleet.is_long_unrecorded(&machine.id, lease * UNRECORDED_LEASES) {
            differences.new.push(NewMachine {
                id: machine.id.clone(),
                machine: Machine {
                    spot: machine.spot,
                    ..Machine::new(&machine.machine_type, &machine.zone)
                },
            });
        }
    }
    differences
}

/// A provisioned machine without a record, to be decommissioned.
pub(super) fn provisioned_but_not_up(replica: &Replica, id: &str) -> Option<NewMachine> {
    let request = &find_request_of(replica, id)?.entry.value;
    let machine = Machine {
        lifecycle: MachineLifecycle::Returning,
        spot: request.spot,
        ..Machine::new(&request.kind, &request.zone)
    };
    Some(NewMachine {
        id: id.to_string(),
        machine,
    })
}

/// Records machines that have no record: provisioned ones that have not come up,
/// which are decommissioned, and listed ones that nobody knows.
pub(super) async fn record_machines(controller: &Controller, machines: &[NewMachine]) {
    let max_writes = controller.settings.txn_ops();
    let mut recorded = Vec::new();
    let (guards, writes) = {
        let replica = controller.replica.borrow();
        let mut machine_shards = MachineShardEdits::new(&replica);
        for NewMachine { id, machine } in machines {
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
        .commit(RequestClass::Lifecycle, guards, writes)
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
