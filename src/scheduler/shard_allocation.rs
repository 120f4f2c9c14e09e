//! Selection of the machine shards that a machine without a record may be put into.
//!
//! The machine shards of a zone that have the same preferred owner are numbered:
//! `owner.0`, `owner.1` and so on. They are called the owner's shards below. A new machine
//! is put into one of its owner's shards.
//!
//! Two controllers that add the same new machine concurrently must not put it into two
//! shards. A commit that adds a machine therefore guards every shard that the machine
//! could have been put into, and the absence of the owner's next shard. While an owner has
//! few shards, these are all of them. If it has more shards than one commit could guard,
//! the shards are divided into groups, and the machine's name and the number of shards
//! select the group that the machine belongs to.
//!
//! Two commits that see the same number of shards select the same group, so each of them
//! guards what the other writes. If they see different numbers, a shard was created in
//! between. The commit that saw fewer shards guards the absence of the new shard, so it
//! either precedes the creation of that shard or fails. If it precedes the creation, the
//! commit that saw more shards was decided on a replica that already contains the machine
//! along with the new shard.
//!
//! Shards are never removed, and are numbered without gaps.

use crate::hash::fnv1a;
use crate::settings::Settings;
use crate::state::encoding::split_name;
use crate::state::keys::shard_id;
use crate::state::replica::Replica;

use super::transaction::PRECONDITIONS_PER_WRITE;

/// Number of successive machine numbers that select the same group. Machines of one
/// scale-out have successive numbers in their names, so a scale-out is recorded in few
/// writes; one request to the cloud adds at most 50 machines.
const NUMBERS_PER_BLOCK: u32 = 64;

/// Machine shards of an owner that a new machine may be put into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardCandidates {
    /// Number of the group's first shard.
    first: usize,
    /// Distance between the numbers of successive shards of the group.
    step: usize,
    /// Number of shards that the owner has in the zone.
    shards: usize,
}

impl ShardCandidates {
    /// Selects a machine's group among the owner's shards. A group has at most
    /// `max_group_size` shards.
    pub fn select(machine: &str, shards: usize, max_group_size: usize) -> Self {
        let groups = shards.div_ceil(max_group_size.max(1)).next_power_of_two();
        let selected = block_hash(machine) % groups as u64;
        ShardCandidates {
            first: selected as usize,
            step: groups,
            shards,
        }
    }

    /// Selects all shards of the owner.
    pub fn all(shards: usize) -> Self {
        ShardCandidates {
            first: 0,
            step: 1,
            shards,
        }
    }

    /// Returns the numbers of the selected shards, in ascending order.
    pub fn numbers(&self) -> impl Iterator<Item = usize> + use<> {
        (self.first..self.shards).step_by(self.step)
    }

    /// Returns the number of the shard that is created if none of the selected shards has
    /// capacity.
    pub fn next_number(&self) -> usize {
        self.shards
    }
}

/// Returns a hash that is the same for machines whose numbers are in the same block.
fn block_hash(machine: &str) -> u64 {
    let (prefix, _, number) = split_name(machine);
    let block = number / NUMBERS_PER_BLOCK;
    fnv1a(prefix.bytes().chain(block.to_le_bytes()))
}

/// Returns the maximum number of shards in a group: an eighth of the guards that a commit
/// may have, so that machines of several groups fit into one commit.
pub(super) fn max_group_size(settings: &Settings) -> usize {
    settings.max_writes_per_commit() * PRECONDITIONS_PER_WRITE / 8
}

/// Returns whether the shards with this id prefix (`zone/owner`) may be used in groups.
///
/// All controllers must support groups: an older program guards all shards of an owner and
/// relies on other controllers to do the same.
///
/// Even when all controllers support groups, a commit that was sent earlier may still be
/// applied, and it relies on guards of all shards as well. As it guards all shards of the
/// owner itself, it fails once any of them has been written. Groups are therefore used only
/// after one of the owner's shards has been written after the `formats` record that enabled
/// groups.
pub(super) fn uses_groups(replica: &Replica, prefix: &str) -> bool {
    let Some(known_since) = replica.grouped_shards_since() else {
        return false;
    };
    let versions = numbered_shard_ids(replica, prefix).map(|id| replica.machine_shard_version(&id));
    versions.max().is_some_and(|newest| newest > known_since)
}

/// Returns the ids of the machine shards in the replica with this id prefix
/// (`zone/owner`).
fn numbered_shard_ids(replica: &Replica, prefix: &str) -> impl Iterator<Item = String> {
    (0..)
        .map(move |number| format!("{prefix}.{number}"))
        .take_while(|id| replica.machine_shards.contains_key(id))
}

/// Returns the id of an owner's shard with this number.
pub(super) fn numbered_shard_id(zone: &str, owner: &str, number: usize) -> String {
    shard_id(zone, &format!("{owner}.{number}"))
}
