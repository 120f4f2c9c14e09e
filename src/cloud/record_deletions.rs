//! Plans the commit that deletes the records of gone machines.

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

/// Returns the commit that deletes the records of gone machines. The commit also removes the
/// machines from provisioning requests that still list them: without a record, a listed
/// machine would count as booting again.
pub(super) fn plan_record_deletions(
    settings: &Settings,
    replica: &Replica,
    gone: &[String],
) -> Commit {
    let mut deletions = RecordDeletions::new(replica, settings.max_writes_per_commit());
    for id in gone {
        deletions.add(id);
    }
    deletions.into_commit(settings)
}

/// The builder of a commit that deletes the records of gone machines.
struct RecordDeletions<'a> {
    replica: &'a Replica,
    max_writes: usize,
    /// The capacity by which the commit reduces the pool, which is the capacity that the
    /// controllers' shares are taken from. Only machines in shards that the pool counts
    /// contribute to it.
    released: Resources,
    machine_shards: MachineShardEdits<'a>,
    /// The updated requests, by name, from which the machines are removed.
    requests: BTreeMap<&'a String, ProvisioningRequest>,
}

impl<'a> RecordDeletions<'a> {
    fn new(replica: &'a Replica, txn_ops: usize) -> Self {
        // One write is kept for the pool, which is written in the same commit.
        let has_pool = replica.pool.is_some();
        RecordDeletions {
            replica,
            max_writes: txn_ops - usize::from(has_pool),
            released: Resources::default(),
            machine_shards: MachineShardEdits::new(replica),
            requests: BTreeMap::new(),
        }
    }

    /// Adds the deletion of a machine's record if nothing is booked on the machine, no zone
    /// shard lists it and the commit has space for the deletion.
    fn add(&mut self, id: &str) {
        // No booking can be added before the commit: a booking needs a slot in a zone shard.
        // Whoever adds a slot has the machine shard as a precondition, and this commit writes
        // the machine shard.
        let Some(machine) = self.replica.machines.get(id).map(|entry| &entry.value) else {
            return;
        };
        if self.replica.bookings.contains_key(id) || self.replica.zone_shard_of(id).is_some() {
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

    /// Returns whether the records of a machine shard and a request fit into the commit.
    fn has_space(&self, machine_shard: &str, request: Option<RecordedRequest>) -> bool {
        let has_machine_shard = self.machine_shards.contains(machine_shard);
        let adds_request = request.is_some_and(|request| !self.requests.contains_key(request.id));
        let added = usize::from(!has_machine_shard) + usize::from(adds_request);
        self.machine_shards.len() + self.requests.len() + added <= self.max_writes
            && (has_machine_shard || !self.machine_shards.is_full(self.max_writes))
    }

    /// Returns the commit. The commit is empty while the shares hold more capacity than would
    /// remain in the pool.
    fn into_commit(self, settings: &Settings) -> Commit {
        let replica = self.replica;
        let mut commit = self.machine_shards.into_commit();
        for (id, request) in self.requests {
            let key = provisioning_request_key(id);
            let version = replica.provisioning_requests[id].version;
            commit
                .preconditions
                .push(precondition(key.clone(), version));
            commit.writes.push(match request.machines.is_empty() {
                true => Write::Delete { key },
                false => put(key, &request),
            });
        }
        if commit.writes.is_empty() || replica.shares_since().is_none() {
            return commit;
        }
        // The pool's capacity must be reduced no later than in the commit that deletes the
        // machines' records. While shares hold more than the remaining capacity, the records
        // are kept.
        let ledger = replica.ledger(settings);
        match release_machines(&ledger, self.released) {
            Ok(pool) => {
                let pool_key = POOL_KEY.to_string();
                commit
                    .preconditions
                    .push(precondition(pool_key.clone(), replica.pool_version()));
                commit.writes.extend(pool.map(|pool| put(pool_key, &pool)));
                commit
            }
            Err(shortage) => {
                tracing::debug!(%shortage, "records of gone machines not deleted");
                Commit::default()
            }
        }
    }
}
