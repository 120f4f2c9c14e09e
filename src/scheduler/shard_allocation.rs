//! Which machine shards of its home a machine without a record may be put into.
//!
//! Two controllers that take up a new machine at once must not put it into two
//! shards. So a commit that adds a machine guards every shard that the machine could
//! have been put into, and the absence of the next shard of its home. While a home
//! has few shards these are all of them. A home with more, of which the guards
//! of one commit could not hold all, has its shards in groups: a machine belongs to
//! the group that its name and the number of shards select.
//!
//! Why this is enough: two commits that see the same number of shards select the same
//! group, so each guards what the other writes. If they see different numbers, a
//! shard was created in between. The commit that saw fewer guards the absence of that
//! shard, so it comes before the shard or fails; the commit that saw more follows
//! from a replica with that shard, and so with the machine.
//!
//! Shards are never removed, and are numbered without gaps.

use crate::hash::fnv1a;
use crate::settings::Settings;
use crate::state::encoding::split_name;
use crate::state::keys::shard_id;
use crate::state::replica::Replica;

use super::transaction::PRECONDITIONS_PER_WRITE;

/// Machines of one scale-out have successive numbers in their names. So many of them in
/// a row select the same group, so that a scale-out is recorded in few writes; one call
/// to the cloud rents 50 at most.
const NUMBERS_PER_BLOCK: u32 = 64;

/// The machine shards of a home that a new machine may be put into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardCandidates {
    /// The first shard of the group.
    first: usize,
    /// The distance between successive shards of the group.
    step: usize,
    /// The number of shards that the home has.
    shards: usize,
}

impl ShardCandidates {
    /// Selects the group of a machine among a home's shards, with at most
    /// `max_group` shards a group.
    pub fn select(machine: &str, shards: usize, max_group: usize) -> Self {
        let groups = shards.div_ceil(max_group.max(1)).next_power_of_two();
        let selected = block_hash(machine) % groups as u64;
        ShardCandidates {
            first: selected as usize,
            step: groups,
            shards,
        }
    }

    /// All shards of the home.
    pub fn all(shards: usize) -> Self {
        ShardCandidates {
            first: 0,
            step: 1,
            shards,
        }
    }

    /// The numbers of the shards, in order.
    pub fn numbers(&self) -> impl Iterator<Item = usize> + use<> {
        (self.first..self.shards).step_by(self.step)
    }

    /// The number of the shard that is created if none of the others has capacity.
    pub fn next(&self) -> usize {
        self.shards
    }
}

/// A hash that is the same for machines whose numbers are in one block.
fn block_hash(machine: &str) -> u64 {
    let (prefix, _, number) = split_name(machine);
    let block = number / NUMBERS_PER_BLOCK;
    fnv1a(prefix.bytes().chain(block.to_le_bytes()))
}

/// The most shards that a new machine is chosen among: an eighth of the guards
/// that a commit may have, so that machines of several groups fit into one.
pub(super) fn max_group(settings: &Settings) -> usize {
    settings.txn_ops() * PRECONDITIONS_PER_WRITE / 8
}

/// Whether the shards of this home may be used in groups.
///
/// All controllers have to know the groups: an older program guards all shards, and
/// relies on others doing so. What such a program, or this one before it knew, has
/// sent may still be carried out. That commit guards all shards of the home, so it
/// cannot succeed any more once one of them was written after `formats`.
pub(super) fn uses_groups(replica: &Replica, home: &str) -> bool {
    let Some(known_since) = replica.grouped_shards_since() else {
        return false;
    };
    let versions = shards_of(replica, home).map(|id| replica.machine_shard_version(&id));
    versions.max().is_some_and(|newest| newest > known_since)
}

/// The ids of the machine shards of a home, given as `zone/home`, that the replica
/// has.
fn shards_of(replica: &Replica, home: &str) -> impl Iterator<Item = String> {
    (0..)
        .map(move |number| format!("{home}.{number}"))
        .take_while(|id| replica.machine_shards.contains_key(id))
}

/// The id of a home's shard of this number.
pub(super) fn numbered_id(zone: &str, home: &str, number: usize) -> String {
    shard_id(zone, &format!("{home}.{number}"))
}
