//! Scale-in: machines are given back to the cloud, and their records dropped.

use std::collections::BTreeMap;

use shares::release_machines;
use tokio::time::Instant;

use super::client::CloudError;
use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::provisioning::{RecordedRequest, find_request_of};
use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::state::budget::RequestClass;
use crate::state::commit::{guard, put};
use crate::state::keys::{POOL_KEY, rental_key, shard_id};
use crate::state::records::{MachineLifecycle, ProvisioningRequest, Resources};
use crate::state::replica::Replica;
use crate::wire::{MachineIds, Precondition, Write};

/// The most machines that one call gives back.
const MAX_MACHINES_PER_CALL: usize = 100;

/// Gives back the machines that leave, and drops the records of those that are gone.
pub(super) async fn scale_in(controller: &Controller) {
    let (returning, gone) = {
        let replica = controller.replica.borrow();
        let returning = machines_in(&replica, MachineLifecycle::Returning)
            .take(MAX_MACHINES_PER_CALL)
            .cloned()
            .collect::<Vec<_>>();
        let gone = machines_in(&replica, MachineLifecycle::Gone)
            .filter(|id| !replica.bookings.contains_key(*id))
            .take(controller.settings.txn_ops())
            .cloned()
            .collect::<Vec<_>>();
        (returning, gone)
    };
    if !returning.is_empty() {
        match decommission(controller, &returning).await {
            Ok(()) => record_decommissioned(controller, returning).await,
            Err(error) => tracing::debug!(%error, "machines not decommissioned"),
        }
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

/// Gives machines back to the cloud.
async fn decommission(controller: &Controller, machines: &[String]) -> Result<(), CloudError> {
    let body = serde_json::to_vec(&MachineIds {
        machines: machines.to_vec(),
    })?;
    let response = controller
        .call_cloud("POST", "/rentals/return", Some(body))
        .await?;
    match response.status {
        200 => Ok(()),
        status => Err(CloudError::Refused(status)),
    }
}

/// Records that machines are gone.
async fn record_decommissioned(controller: &Controller, decommissioned: Vec<String>) {
    let now = Instant::now();
    // Nothing is booked on most: their records go at once.
    let (booked, empty): (Vec<String>, Vec<String>) = {
        let replica = controller.replica.borrow();
        let is_booked = |id: &String| replica.bookings.contains_key(id);
        decommissioned.iter().cloned().partition(is_booked)
    };
    let changes: Vec<LifecycleChange> = booked
        .iter()
        .map(|id| LifecycleChange::new(id, MachineLifecycle::Gone))
        .collect();
    set_lifecycles(controller, &changes).await;
    drop_records(controller, &empty).await;
    let mut fleet = controller.fleet.borrow_mut();
    for id in decommissioned {
        fleet.confirm_gone(id, now);
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
        tracing::debug!(%error, "records of gone machines not dropped");
    }
}

/// The commit that drops the records of gone machines, and their names from the
/// request that may still list them: they would count as booting again.
fn record_drops(controller: &Controller, gone: &[String]) -> (Vec<Precondition>, Vec<Write>) {
    let replica = controller.replica.borrow();
    // The pool is written with them.
    let has_pool = replica.pool.is_some();
    let max_writes = controller.settings.txn_ops() - usize::from(has_pool);
    let mut leaving = Resources::default();
    let mut machine_shards = MachineShardEdits::new(&replica);
    let mut requests: BTreeMap<&String, ProvisioningRequest> = BTreeMap::new();
    for id in gone {
        // Nothing was booked meanwhile: its zone shard has lost it, and its machine shard
        // is guarded.
        let Some(machine) = replica.machines.get(id).map(|entry| &entry.value) else {
            continue;
        };
        if replica.bookings.contains_key(id) {
            continue;
        }
        let request = find_request_of(&replica, id);
        let machine_shard = shard_id(&machine.zone, &machine.shard);
        let has_machine_shard = machine_shards.contains(&machine_shard);
        let adds_request = request.is_some_and(|request| !requests.contains_key(request.id));
        let added = usize::from(!has_machine_shard) + usize::from(adds_request);
        if machine_shards.len() + requests.len() + added > max_writes
            || (!has_machine_shard && machine_shards.is_full(max_writes))
        {
            continue;
        }
        if replica.is_counted_shard(&machine_shard) {
            leaving += replica.resources_of(&machine.kind);
        }
        machine_shards.edit(&machine_shard).remove(id);
        if let Some(RecordedRequest { id: name, entry }) = request {
            let request = requests.entry(name).or_insert_with(|| entry.value.clone());
            request.machines.retain(|machine| machine != id);
        }
    }
    let (mut guards, mut writes) = machine_shards.into_commit();
    for (id, request) in requests {
        let key = rental_key(id);
        guards.push(guard(
            key.clone(),
            replica.provisioning_requests[id].version,
        ));
        writes.push(match request.machines.is_empty() {
            true => Write::Delete { key },
            false => put(key, &request),
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
            tracing::debug!(%shortage, "records of gone machines not dropped");
            (Vec::new(), Vec::new())
        }
    }
}
