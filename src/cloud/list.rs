//! The cloud's list of machines, compared with the records: adopts those that
//! nobody knows, gives up those that have failed.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::scale_out::rental_of;
use super::state::FleetState;
use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::state::budget::RequestClass;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::wire::{ListedMachine, ListedStage, MachineList};

/// How long, over the list's lag, a machine that is gone may still be listed.
const GONE_LAGS: u32 = 6;

/// A listed machine without a record is recorded here after so many leases:
/// one that runs reports sooner, and is claimed with a record of its own.
const UNCLAIMED_LEASES: u32 = 2;

/// A machine that has no record yet.
#[derive(Debug, Clone)]
pub(super) struct NewMachine {
    pub(super) id: String,
    pub(super) machine: Machine,
}

/// What the cloud's list shows that the records do not.
#[derive(Debug, Default)]
struct Differences {
    /// Recorded machines that the cloud lists as failed.
    failed: Vec<String>,
    /// Machines to be recorded.
    new: Vec<NewMachine>,
}

/// Reads the cloud's list when it is due, and carries out what it shows.
pub(super) async fn reconcile_list(controller: &Controller) {
    let lag = Duration::from_secs_f64(controller.settings.deployment.cloud.list_lag_s);
    let read_at = controller.fleet.borrow().list_read_at;
    if read_at.is_some_and(|read| read.elapsed() <= lag) {
        return;
    }
    let Some(listed) = read_list(controller).await else {
        return;
    };
    controller.fleet.borrow_mut().list_read_at = Some(Instant::now());
    let differences = {
        let replica = controller.replica.borrow();
        let mut fleet = controller.fleet.borrow_mut();
        fleet
            .gone
            .retain(|_, since| since.elapsed() < lag * GONE_LAGS);
        fleet
            .unrecorded
            .retain(|id, _| !replica.machines.contains_key(id));
        compare(
            &replica,
            &mut fleet,
            &listed,
            controller.settings.worker_lease(),
        )
    };
    record_machines(controller, &differences.new).await;
    let returning: Vec<LifecycleChange> = differences
        .failed
        .iter()
        .map(|id| LifecycleChange::new(id, MachineLifecycle::Returning))
        .collect();
    set_lifecycles(controller, &returning).await;
}

/// All pages of the cloud's list.
async fn read_list(controller: &Controller) -> Option<Vec<ListedMachine>> {
    let mut all = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("/rentals?after={after}&limit=500");
        let response = controller.cloud("GET", &path, None).await?;
        let list = response.parse::<MachineList>().ok()?;
        let Some(last) = list.machines.last() else {
            return Some(all);
        };
        after = last.id.clone();
        all.extend(list.machines);
        if !list.more {
            return Some(all);
        }
    }
}

fn compare(
    replica: &Replica,
    fleet: &mut FleetState,
    listed: &[ListedMachine],
    lease: Duration,
) -> Differences {
    let unanswered = replica
        .provisioning_requests
        .values()
        .any(|entry| entry.value.machines.is_empty());
    let provisioning_requests = replica.provisioning_requests.values();
    let rented: HashSet<&str> = provisioning_requests
        .flat_map(|entry| entry.value.machines.iter().map(String::as_str))
        .collect();
    let mut differences = Differences::default();
    for machine in listed {
        let has_failed = machine.stage == ListedStage::Failed;
        if let Some(known) = replica.machines.get(&machine.id) {
            if has_failed && known.value.lifecycle != MachineLifecycle::Gone {
                differences.failed.push(machine.id.clone());
            }
        } else if fleet.gone.contains_key(&machine.id) {
            // A late list.
        } else if rented.contains(machine.id.as_str()) {
            if has_failed {
                differences
                    .new
                    .extend(rented_but_not_up(replica, &machine.id));
            }
        } else if unanswered {
            // The answer to a rental that is under way will name it.
        } else if fleet.is_unclaimed(&machine.id, lease * UNCLAIMED_LEASES) {
            differences.new.push(NewMachine {
                id: machine.id.clone(),
                machine: Machine {
                    spot: machine.spot,
                    ..Machine::new(&machine.kind, &machine.zone)
                },
            });
        }
    }
    differences
}

/// A rented machine without a record, to be sent back.
pub(super) fn rented_but_not_up(replica: &Replica, id: &str) -> Option<NewMachine> {
    let (_, rental) = rental_of(replica, id)?;
    let machine = Machine {
        lifecycle: MachineLifecycle::Returning,
        spot: rental.value.spot,
        ..Machine::new(&rental.value.kind, &rental.value.zone)
    };
    Some(NewMachine {
        id: id.to_string(),
        machine,
    })
}

/// Records machines that have no record: rented ones that have not come up,
/// which go back, and listed ones that nobody knows.
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
                tracing::info!(machine, ?lifecycle, "taken up");
            }
        }
        Err(error) => tracing::debug!(%error, "machines not taken up"),
    }
}
