//! Changes the lifecycle states of machines: active, draining, returning, gone.

use std::collections::{BTreeMap, HashSet};

use super::commit::commit_unless_empty;
use crate::controller::Controller;
use crate::scheduler::{COMMIT_BYTES, MachineShardEdits};
use crate::state::budget::RequestClass;
use crate::state::commit::precondition;
use crate::state::keys::{shard_id, zone_shard_key};
use crate::state::records::{Machine, MachineLifecycle, ZoneShard};
use crate::state::replica::Replica;
use crate::wire::Commit;

/// A change of a machine to its next lifecycle state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LifecycleChange {
    pub(super) machine: String,
    pub(super) lifecycle: MachineLifecycle,
}

impl LifecycleChange {
    /// Returns the change of a machine to a lifecycle state.
    pub(super) fn new(machine: &str, lifecycle: MachineLifecycle) -> Self {
        LifecycleChange {
            machine: machine.to_string(),
            lifecycle,
        }
    }
}

/// Writes one machine's new lifecycle state, and returns whether it was written.
pub(super) async fn set_lifecycle(
    controller: &Controller,
    id: &str,
    lifecycle: MachineLifecycle,
) -> bool {
    let changed = set_lifecycles(controller, &[LifecycleChange::new(id, lifecycle)]).await;
    changed.contains(id)
}

/// Writes new lifecycle states of machines, as many as fit in one commit, and returns the
/// machines that were changed. Machines that do not become active are removed from their
/// zone shards' records. The commit is also guarded by the zone shards' versions, so that
/// it fails if a booking on one of these machines is committed first.
pub(super) async fn set_lifecycles(
    controller: &Controller,
    changes: &[LifecycleChange],
) -> HashSet<String> {
    let (mut changed, commit) = {
        let replica = controller.replica.borrow();
        let mut commit =
            LifecycleCommit::new(&replica, controller.settings.max_writes_per_commit());
        for change in changes {
            commit.add(change);
        }
        let changed = std::mem::take(&mut commit.changed);
        (changed, commit.into_commit())
    };
    if let Err(error) = commit_unless_empty(controller, RequestClass::Lifecycle, commit).await {
        tracing::debug!(?changes, %error, "machine lifecycles not changed");
        changed.clear();
    }
    changed
}

/// A zone shard's record whose version guards a commit. The commit writes the record if
/// a machine was removed from it.
struct EditedZoneShard {
    record: ZoneShard,
    /// Set if a machine was removed from the record.
    changed: bool,
}

/// The builder of a commit that changes the lifecycle states of machines.
struct LifecycleCommit<'a> {
    replica: &'a Replica,
    /// The maximum number of writes in one commit.
    max_writes: usize,
    machine_shards: MachineShardEdits<'a>,
    zone_shards: BTreeMap<String, EditedZoneShard>,
    /// The machines whose states the commit changes.
    changed: HashSet<String>,
}

impl<'a> LifecycleCommit<'a> {
    fn new(replica: &'a Replica, max_writes: usize) -> Self {
        LifecycleCommit {
            replica,
            max_writes,
            machine_shards: MachineShardEdits::new(replica),
            zone_shards: BTreeMap::new(),
            changed: HashSet::new(),
        }
    }

    /// Adds a change if the machine's current state allows the change and the commit has space
    /// for it.
    fn add(&mut self, change: &LifecycleChange) {
        let id = &change.machine;
        let Some(entry) = self.replica.machines.get(id) else {
            return;
        };
        let mut machine = entry.value.clone();
        let machine_shard = shard_id(&machine.zone, &machine.shard);
        let zone_shard = self.replica.zone_shard_of(id);
        let zone_shard = zone_shard.map_or_else(
            || machine_shard.clone(),
            |zone_shard| zone_shard.to_string(),
        );
        if !is_allowed(&machine, change.lifecycle) || !self.has_space(&machine_shard, &zone_shard) {
            return;
        }
        machine.lifecycle = change.lifecycle;
        self.machine_shards.put(id, machine);
        self.changed.insert(id.clone());
        if change.lifecycle != MachineLifecycle::Active {
            self.remove_from_zone_shard(id, zone_shard);
        }
    }

    /// Returns whether the records of a machine shard and a zone shard fit into the commit.
    fn has_space(&self, machine_shard: &str, zone_shard: &str) -> bool {
        // A change writes a machine shard and often also a zone shard of about the same
        // size, so half of the writes are for machine shards and half for zone shards.
        let max_machine_shards = self.max_writes / 2;
        let max_zone_shards = self.max_writes - max_machine_shards;
        let machine_shards_full = self.machine_shards.is_full(max_machine_shards)
            || self.machine_shards.bytes() > COMMIT_BYTES / 3;
        let zone_shards_full = self.zone_shards.len() >= max_zone_shards;
        (self.zone_shards.contains_key(zone_shard) || !zone_shards_full)
            && (self.machine_shards.contains(machine_shard) || !machine_shards_full)
    }

    /// Removes a machine from its zone shard's record. The zone shard guards the commit
    /// even if the machine is not in its record, or if it has no record yet, because the
    /// shard's owner may be adding the machine at the same time.
    fn remove_from_zone_shard(&mut self, id: &str, zone_shard: String) {
        let replica = self.replica;
        let edited = self
            .zone_shards
            .entry(zone_shard)
            .or_insert_with_key(|zone_shard| {
                let known = replica.zone_shards.get(zone_shard);
                EditedZoneShard {
                    record: known.map(|entry| entry.value.clone()).unwrap_or_default(),
                    changed: false,
                }
            });
        edited.changed |= edited.record.machines.remove(id).is_some();
    }

    /// Returns the commit.
    fn into_commit(self) -> Commit {
        let mut commit = self.machine_shards.into_commit();
        for (id, zone_shard) in self.zone_shards {
            commit.preconditions.push(precondition(
                zone_shard_key(&id),
                self.replica.zone_shard_version(&id),
            ));
            if zone_shard.changed {
                let write = self.replica.put_zone_shard(&id, &zone_shard.record);
                commit.writes.push(write);
            }
        }
        commit
    }
}

/// Returns whether a machine may change to this lifecycle state. Safety 5: a machine that
/// is being returned never goes back into service.
fn is_allowed(machine: &Machine, lifecycle: MachineLifecycle) -> bool {
    match machine.lifecycle {
        MachineLifecycle::Gone => false,
        MachineLifecycle::Returning => lifecycle == MachineLifecycle::Gone,
        current => current != lifecycle,
    }
}
