//! Returns of machines to the cloud, and the end of their records.

use std::collections::BTreeMap;

use shares::release_machines;
use tokio::time::Instant;

use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::scale_out::rental_of;
use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::state::budget::RequestClass;
use crate::state::commit::{guard, put};
use crate::state::keys::{POOL_KEY, rental_key, shard_id};
use crate::state::records::{MachineLifecycle, ProvisioningRequest, Resources};
use crate::state::replica::Replica;
use crate::wire::{Guard, MachineIds, Write};

/// The most machines that one call returns.
const MAX_RETURNED: usize = 100;

/// Returns what is to go, and drops the records of what is gone.
pub(super) async fn finish_returns(controller: &Controller) {
    let (returning, gone) = {
        let replica = controller.replica.borrow();
        let returning = machines_in(&replica, MachineLifecycle::Returning)
            .take(MAX_RETURNED)
            .cloned()
            .collect::<Vec<_>>();
        let gone = machines_in(&replica, MachineLifecycle::Gone)
            .filter(|id| !replica.bookings.contains_key(*id))
            .take(controller.settings.txn_ops())
            .cloned()
            .collect::<Vec<_>>();
        (returning, gone)
    };
    if !returning.is_empty() && return_to_cloud(controller, &returning).await {
        record_returned(controller, returning).await;
    }
    drop_records(controller, &gone).await;
}

fn machines_in(replica: &Replica, lifecycle: MachineLifecycle) -> impl Iterator<Item = &String> {
    replica
        .machines
        .iter()
        .filter(move |(_, entry)| entry.value.lifecycle == lifecycle)
        .map(|(id, _)| id)
}

/// Whether the cloud has taken the machines back.
async fn return_to_cloud(controller: &Controller, machines: &[String]) -> bool {
    let names = MachineIds {
        machines: machines.to_vec(),
    };
    let Ok(body) = serde_json::to_vec(&names) else {
        return false;
    };
    let response = controller
        .cloud("POST", "/rentals/return", Some(body))
        .await;
    response.is_some_and(|response| response.status == 200)
}

/// Records that machines are gone.
async fn record_returned(controller: &Controller, returned: Vec<String>) {
    let now = Instant::now();
    // Nothing is booked on most: their records go at once.
    let (booked, empty): (Vec<String>, Vec<String>) = {
        let replica = controller.replica.borrow();
        let is_booked = |id: &String| replica.bookings.contains_key(id);
        returned.iter().cloned().partition(is_booked)
    };
    let changes: Vec<LifecycleChange> = booked
        .iter()
        .map(|id| LifecycleChange::new(id, MachineLifecycle::Gone))
        .collect();
    set_lifecycles(controller, &changes).await;
    drop_records(controller, &empty).await;
    let mut fleet = controller.fleet.borrow_mut();
    for id in returned {
        fleet.reports.remove(&id);
        fleet.empty_since.remove(&id);
        fleet.first_seen.remove(&id);
        fleet.gone.insert(id, now);
    }
}

/// Drops the records of machines that the cloud has taken back.
async fn drop_records(controller: &Controller, ids: &[String]) {
    let (guards, writes) = record_drops(controller, ids);
    if !writes.is_empty()
        && let Err(error) = controller
            .commit(RequestClass::Publication, guards, writes)
            .await
    {
        tracing::debug!(%error, "records of gone machines stay");
    }
}

/// The commit that drops the records of gone machines, and their names from the
/// rental that may still list them: they would count as booting again.
fn record_drops(controller: &Controller, gone: &[String]) -> (Vec<Guard>, Vec<Write>) {
    let replica = controller.replica.borrow();
    // The pool is written with them.
    let has_pool = replica.pool.is_some();
    let max_writes = controller.settings.txn_ops() - usize::from(has_pool);
    let mut leaving = Resources::default();
    let mut machine_shards = MachineShardEdits::new(&replica);
    let mut provisioning_requests: BTreeMap<&String, ProvisioningRequest> = BTreeMap::new();
    for id in gone {
        // Nothing was booked meanwhile: its zone shard has lost it, and its machine shard
        // is guarded.
        let Some(machine) = replica.machines.get(id).map(|entry| &entry.value) else {
            continue;
        };
        if replica.bookings.contains_key(id) {
            continue;
        }
        let rental = rental_of(&replica, id);
        let machine_shard = shard_id(&machine.zone, &machine.shard);
        let has_machine_shard = machine_shards.contains(&machine_shard);
        let adds_rental = rental.is_some_and(|(name, _)| !provisioning_requests.contains_key(name));
        let added = usize::from(!has_machine_shard) + usize::from(adds_rental);
        if machine_shards.len() + provisioning_requests.len() + added > max_writes
            || (!has_machine_shard && machine_shards.is_full(max_writes))
        {
            continue;
        }
        if replica.is_counted_shard(&machine_shard) {
            leaving += replica.resources_of(&machine.kind);
        }
        machine_shards.edit(&machine_shard).remove(id);
        if let Some((name, entry)) = rental {
            let rental = provisioning_requests
                .entry(name)
                .or_insert_with(|| entry.value.clone());
            rental.machines.retain(|machine| machine != id);
        }
    }
    let (mut guards, mut writes) = machine_shards.into_commit();
    for (id, rental) in provisioning_requests {
        let key = rental_key(id);
        guards.push(guard(
            key.clone(),
            replica.provisioning_requests[id].version,
        ));
        writes.push(match rental.machines.is_empty() {
            true => Write::Delete { key },
            false => put(key, &rental),
        });
    }
    if writes.is_empty() || replica.shares_since().is_none() {
        return (guards, writes);
    }
    // Capacity falls in the commit that takes machines off the record, or before: while
    // shares hold more than what remains, the machines stay on record.
    let ledger = replica.ledger(&controller.settings);
    match release_machines(&ledger, leaving) {
        Ok(pool) => {
            guards.push(guard(POOL_KEY.to_string(), replica.pool_version()));
            writes.extend(pool.map(|pool| put(POOL_KEY.to_string(), &pool)));
            (guards, writes)
        }
        Err(shortage) => {
            tracing::debug!(%shortage, "records of gone machines stay");
            (Vec::new(), Vec::new())
        }
    }
}
