//! Chooses the zone shard that lists a machine.
//!
//! A machine shard is a record that states the owners of its machines; a zone shard lists
//! machines that take new work, each with an entry called slot. Both kinds have names of the
//! form `CONTROLLER.NUMBER`, where the controller is the preferred owner of the machines. A
//! machine's own zone shard is the one with the name of its machine shard.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};

use super::preferred_owner_of;
use crate::state::encoding;
use crate::state::keys::{machine_shard_key, shard_id, zone_shard_key};
use crate::state::records::{Machine, ZoneShard};
use crate::state::replica::Replica;

/// A zone shard's record with the changes that the planned commit makes.
#[derive(Default)]
pub(super) struct ShardEdit {
    pub record: ZoneShard,
    /// Flag set if machines are added to or removed from the record.
    pub changes_members: bool,
}

/// Versions of the records on which the choice of a zone shard depends, by key.
pub(super) type PreconditionVersions = BTreeMap<String, u64>;

/// The zone shard chosen for a machine's slot, with the versions that the records behind
/// the choice must still have when it is committed.
pub(super) struct ShardChoice {
    pub shard: String,
    pub preconditions: PreconditionVersions,
}

/// Cached upper bounds of the encoded lengths, in bytes, that zone shard records will have
/// after the planned commit. A bound is computed only after a change of its record, as
/// thousands of machines may be checked against the same record.
#[derive(Default)]
pub(super) struct ShardLengths(RefCell<HashMap<String, usize>>);

impl ShardLengths {
    /// Drops the cached length of a record that is about to change.
    pub(super) fn invalidate(&mut self, shard: &str) {
        self.0.get_mut().remove(shard);
    }

    fn length(&self, shard: &str, record: &ZoneShard) -> usize {
        if let Some(length) = self.0.borrow().get(shard) {
            return *length;
        }
        let length = encoding::zone_shard_bytes_bound(record);
        self.0.borrow_mut().insert(shard.to_string(), length);
        length
    }
}

/// The inputs for the choice of a zone shard.
pub(super) struct ShardChooser<'a> {
    pub replica: &'a Replica,
    pub edits: &'a BTreeMap<String, ShardEdit>,
    pub lengths: &'a ShardLengths,
    /// Number of zone shards that are the first candidates for every machine of the same
    /// preferred owner.
    pub shared_candidates: usize,
}

impl ShardChooser<'_> {
    /// Chooses the zone shard for the slot of a machine that is in none yet, such that no
    /// concurrent or delayed commit can list the machine in a second one, or after it has left
    /// service:
    ///
    /// - Every choice has a precondition on the machine shard. Only the machine's owner adds the
    ///   machine to a zone shard, while the machine is active. Each claim and each lifecycle
    ///   change, and the deletion of the machine's record, change the machine shard.
    /// - The machine's own zone shard is chosen before compact encodings are in use, and
    ///   afterwards until that zone shard is stored in the compact encoding. Until then a
    ///   commit that was decided by an earlier version of the software may still arrive, and
    ///   its only precondition is the version of the machine's own zone shard.
    /// - After that, the machine's first candidate with capacity is chosen. The choice has
    ///   further preconditions on all candidates up to the chosen one, and on the machine's own
    ///   zone shard: an unanswered commit of this controller, which may be applied later, made
    ///   its choice by these records. None of the records may be newer than the revision that
    ///   the replica has reached, as a choice that another controller made since then would be
    ///   missing from the replica. `None` is returned in that case.
    pub(super) fn choose(&self, id: &str, machine: &Machine) -> Option<ShardChoice> {
        let own_shard = shard_id(&machine.zone, &machine.shard);
        let machine_shard_precondition = (
            machine_shard_key(&own_shard),
            self.replica.machine_shard_version(&own_shard),
        );
        if !self.replica.uses_compact_encoding() || !self.replica.is_compact_zone_shard(&own_shard)
        {
            return Some(ShardChoice {
                shard: own_shard,
                preconditions: PreconditionVersions::from([machine_shard_precondition]),
            });
        }
        let mut preconditions = PreconditionVersions::from([
            machine_shard_precondition,
            (
                zone_shard_key(&own_shard),
                self.replica.zone_shard_version(&own_shard),
            ),
        ]);
        let mut shard = own_shard;
        for number in candidate_numbers(&machine.shard, self.shared_candidates) {
            let candidate = shard_id(
                &machine.zone,
                &format!("{}.{number}", preferred_owner_of(&machine.shard)),
            );
            let version = self.replica.zone_shard_version(&candidate);
            preconditions.insert(zone_shard_key(&candidate), version);
            if self.has_capacity(&candidate, id, machine) {
                shard = candidate;
                break;
            }
        }
        let is_replicated = preconditions.values().all(|v| *v <= self.replica.revision);
        is_replicated.then_some(ShardChoice {
            shard,
            preconditions,
        })
    }

    /// Returns whether the zone shard, as edited so far, is empty or has capacity for the
    /// machine's slot. The result depends only on the record and on the names of the machine
    /// and its type. It must not depend on the resources of unbooked tasks, which change.
    fn has_capacity(&self, shard: &str, id: &str, machine: &Machine) -> bool {
        let edited = self.edits.get(shard).map(|edit| &edit.record);
        let known = || self.replica.zone_shards.get(shard).map(|e| &e.value);
        let Some(record) = edited.or_else(known) else {
            return true;
        };
        if record.machines.is_empty() {
            return true;
        }
        let added = encoding::slot_bytes_bound(id, &machine.kind);
        let length = self.lengths.length(shard, record);
        self.replica
            .fits_zone_shard_bytes(record.machines.len() + 1, length.saturating_add(added))
    }
}

/// Returns the numbers of the zone shards that may list a machine, in an order that is
/// determined by the machine shard and the settings alone. The first `shared_count` numbers
/// are the same for all machines of a preferred owner, so that few zone shards hold all of
/// these machines. If they are full, there may be more zone shards than one commit can have
/// preconditions on, so not all can be candidates. The candidates continue with the number
/// of the machine shard and then at doubling distances from that number, so that the empty
/// zone shards after the last used one are reached after few steps.
fn candidate_numbers(machine_shard: &str, shared_count: usize) -> impl Iterator<Item = usize> {
    let number = machine_shard
        .rsplit_once('.')
        .and_then(|parts| parts.1.parse().ok());
    let own_number: usize = number.unwrap_or(0);
    let steps = (0..usize::BITS).map(|exponent| 1usize << exponent);
    let from_own = std::iter::once(0)
        .chain(steps)
        .map(move |step| own_number.saturating_add(step));
    (0..shared_count).chain(from_own.filter(move |number| *number >= shared_count))
}
