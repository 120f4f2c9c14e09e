//! Reconciles the cloud's inventory of machines with the records: adopts machines that have
//! no record and decommissions machines that have failed.

use std::collections::HashSet;
use std::time::Duration;

use super::client::CloudError;
use super::fleet_state::FleetState;
use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::unrecorded_machines::{UnrecordedMachine, record_machines, unbooted_machine};
use crate::controller::Controller;
use crate::state::records::MachineLifecycle;
use crate::state::replica::Replica;
use crate::wire::{ListedMachine, ListedMachineStage, MachineList};

/// The time for which a gone machine may still be listed, as a multiple of the inventory's
/// lag.
const GONE_LAGS: u32 = 6;

/// The time after which a listed machine without a record is adopted, in worker leases. A
/// running worker sends a heartbeat sooner than that, and its machine gets a record when a
/// controller claims the machine.
const UNRECORDED_LEASES: u32 = 2;

/// The differences between the cloud's inventory and the records.
#[derive(Debug, Default)]
struct InventoryDifferences {
    /// The recorded machines that the cloud lists as failed.
    failed: Vec<String>,
    /// The machines without a record that are to be recorded.
    unrecorded: Vec<UnrecordedMachine>,
}

/// Reads the cloud's inventory when it is due, records the machines that have no record, and
/// decommissions those that have failed.
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
        fleet.prune_gone(lag * GONE_LAGS);
        fleet.prune_recorded(|id| replica.machines.contains_key(id));
        let lease = controller.settings.worker_lease();
        compare(&replica, &mut fleet, &listed, lease)
    };
    record_machines(controller, &differences.unrecorded).await;
    let returning: Vec<LifecycleChange> = differences
        .failed
        .iter()
        .map(|id| LifecycleChange::new(id, MachineLifecycle::Returning))
        .collect();
    set_lifecycles(controller, &returning).await;
}

/// Reads all pages of the cloud's inventory.
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

/// Compares the inventory with the machine records and with the provisioning requests.
fn compare(
    replica: &Replica,
    fleet: &mut FleetState,
    listed: &[ListedMachine],
    lease: Duration,
) -> InventoryDifferences {
    let requests = || replica.provisioning_requests.values();
    let has_unanswered_requests = requests().any(|entry| entry.value.machines.is_empty());
    let provisioned: HashSet<&str> = requests()
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
            // The inventory is outdated: the cloud has confirmed that this machine is gone.
        } else if provisioned.contains(machine.id.as_str()) {
            if has_failed {
                differences
                    .unrecorded
                    .extend(unbooted_machine(replica, &machine.id));
            }
        } else if has_unanswered_requests {
            // The machine may belong to a provisioning request that the cloud has not answered
            // yet. In that case the answer will list the machine.
        } else if fleet.is_unrecorded_longer_than(&machine.id, lease * UNRECORDED_LEASES) {
            differences
                .unrecorded
                .push(UnrecordedMachine::adopted(machine));
        }
    }
    differences
}
