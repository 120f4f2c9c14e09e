//! The commit that drops the records of gone machines.

use std::collections::BTreeMap;

use shares::release_machines;

use super::provisioning::{RecordedRequest, find_request_of};
use crate::scheduler::MachineShardEdits;
use crate::settings::Settings;
use crate::state::commit::{precondition, put};
use crate::state::keys::{POOL_KEY, provisioning_request_key, shard_id};
use crate::state::records::{ProvisioningRequest, Resources};
use crate::state::replica::Replica;
use crate::wire::{Commit, Write};

/// The commit that drops the records of gone machines, and their names from the
/// request that may still list them: they would count as booting again.
pub(super) fn plan_record_drops(settings: &Settings, replica: &Replica, gone: &[String]) -> Commit {
    let mut drops = RecordDrops::new(replica, settings.txn_ops());
    for id in gone {
        drops.add(id);
    }
    drops.into_commit(settings)
}

/// That commit in the making.
struct RecordDrops<'a> {
    replica: &'a Replica,
    max_writes: usize,
    /// The capacity of the machines whose records are dropped.
    released: Resources,
    machine_shards: MachineShardEdits<'a>,
    /// The requests that still list them, without them.
    requests: BTreeMap<&'a String, ProvisioningRequest>,
}

impl<'a> RecordDrops<'a> {
    fn new(replica: &'a Replica, txn_ops: usize) -> Self {
        // The pool is written with them.
        let has_pool = replica.pool.is_some();
        RecordDrops {
            replica,
            max_writes: txn_ops - usize::from(has_pool),
            released: Resources::default(),
            machine_shards: MachineShardEdits::new(replica),
            requests: BTreeMap::new(),
        }
    }

    /// Adds a machine, if nothing is booked on it and the commit has space for it.
    fn add(&mut self, id: &str) {
        // Nothing was booked meanwhile: its zone shard has lost it, and its machine shard
        // is guarded.
        let Some(machine) = self.replica.machines.get(id).map(|entry| &entry.value) else {
            return;
        };
        if self.replica.bookings.contains_key(id) {
            return;
        }
        let request = find_request_of(self.replica, id);
        let machine_shard = shard_id(&machine.zone, &machine.shard);
        if !self.has_space(&machine_shard, request) {
            return;
        }
        if self.replica.is_counted_shard(&machine_shard) {
            self.released += self.replica.resources_of(&machine.kind);
        }
        self.machine_shards.edit(&machine_shard).remove(id);
        if let Some(RecordedRequest { id: name, entry }) = request {
            let request = self
                .requests
                .entry(name)
                .or_insert_with(|| entry.value.clone());
            request.machines.retain(|machine| machine != id);
        }
    }

    /// Whether the records of a machine shard and of a request fit into the commit.
    fn has_space(&self, machine_shard: &str, request: Option<RecordedRequest>) -> bool {
        let has_machine_shard = self.machine_shards.contains(machine_shard);
        let adds_request = request.is_some_and(|request| !self.requests.contains_key(request.id));
        let added = usize::from(!has_machine_shard) + usize::from(adds_request);
        self.machine_shards.len() + self.requests.len() + added <= self.max_writes
            && (has_machine_shard || !self.machine_shards.is_full(self.max_writes))
    }

    fn into_commit(self, settings: &Settings) -> Commit {
        let replica = self.replica;
        let (mut preconditions, mut writes) = self.machine_shards.into_commit();
        for (id, request) in self.requests {
            let key = provisioning_request_key(id);
            let version = replica.provisioning_requests[id].version;
            preconditions.push(precondition(key.clone(), version));
            writes.push(match request.machines.is_empty() {
                true => Write::Delete { key },
                false => put(key, &request),
            });
        }
        if writes.is_empty() || replica.shares_since().is_none() {
            return Commit {
                preconditions,
                writes,
            };
        }
        // Capacity falls in the commit that takes machines off the record, or before: while
        // shares hold more than what remains, the machines stay on record.
        let ledger = replica.ledger(settings);
        match release_machines(&ledger, self.released) {
            Ok(pool) => {
                preconditions.push(precondition(POOL_KEY.to_string(), replica.pool_version()));
                writes.extend(pool.map(|pool| put(POOL_KEY.to_string(), &pool)));
                Commit {
                    preconditions,
                    writes,
                }
            }
            Err(shortage) => {
                tracing::debug!(%shortage, "records of gone machines not dropped");
                Commit {
                    preconditions: Vec::new(),
                    writes: Vec::new(),
                }
            }
        }
    }
}
