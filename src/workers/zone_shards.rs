//! The zone shard that a machine's slot is put into.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};

use super::preferred_owner_of;
use crate::state::encoding;
use crate::state::keys::{machine_shard_key, shard_id, zone_shard_key};
use crate::state::records::{Machine, ZoneShard};
use crate::state::replica::Replica;

/// A zone shard's record as a commit will leave it.
#[derive(Default)]
pub(super) struct ShardEdit {
    pub record: ZoneShard,
    /// Machines join or leave it.
    pub changes_members: bool,
}

/// The records that a choice depends on, with their versions.
pub(super) type Conditions = BTreeMap<String, u64>;

/// The zone shard that a machine's slot is put into, with all that must be as the replica
/// has it.
pub(super) struct ShardChoice {
    pub shard: String,
    pub conditions: Conditions,
}

/// What zone shards' records may come to take, in bytes, as a commit in the making
/// leaves them. A preferred owner may have thousands of machines: each length is worked
/// out once for each change.
#[derive(Default)]
pub(super) struct ShardLengths(RefCell<HashMap<String, usize>>);

impl ShardLengths {
    /// The record is about to change.
    pub(super) fn forget(&mut self, shard: &str) {
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

/// What the choice of a zone shard follows from.
pub(super) struct ShardChooser<'a> {
    pub replica: &'a Replica,
    pub edits: &'a BTreeMap<String, ShardEdit>,
    pub lengths: &'a ShardLengths,
    /// Every machine's candidates begin with so many zone shards of its preferred owner.
    pub first_candidates: usize,
}

impl ShardChooser<'_> {
    /// Chooses the zone shard for the slot of a machine that stands in none, so that
    /// the slot comes to stand in no other:
    ///
    /// - Before compact encodings, the zone shard of its machine shard, as ever. So it
    ///   is while that zone shard does not stand in the compact encoding: a commit that
    ///   an earlier version decided may still arrive, and knows no condition but the
    ///   zone shard's.
    /// - Then the first of its candidates with capacity. The machine shard is a condition:
    ///   only its owner puts a machine anywhere, and a claim changes the machine
    ///   shard. So are all candidates up to that one, and the machine shard's own zone
    ///   shard: a commit of ours without an answer, which may be carried out later, had
    ///   chosen by them. None of these may be newer than what the replica has wholly:
    ///   a choice made elsewhere since would be missing from it.
    pub(super) fn choose(&self, id: &str, machine: &Machine) -> Option<ShardChoice> {
        let own = shard_id(&machine.zone, &machine.shard);
        if !self.replica.uses_compact_encoding() || !self.replica.is_compact_zone_shard(&own) {
            return Some(ShardChoice {
                shard: own,
                conditions: Conditions::new(),
            });
        }
        let mut conditions = Conditions::from([
            (
                machine_shard_key(&own),
                self.replica.machine_shard_version(&own),
            ),
            (zone_shard_key(&own), self.replica.zone_shard_version(&own)),
        ]);
        let mut shard = own;
        for number in candidate_numbers(&machine.shard, self.first_candidates) {
            let next = shard_id(
                &machine.zone,
                &format!("{}.{number}", preferred_owner_of(&machine.shard)),
            );
            let version = self.replica.zone_shard_version(&next);
            conditions.insert(zone_shard_key(&next), version);
            if self.has_capacity(&next, id, machine) {
                shard = next;
                break;
            }
        }
        let is_known_wholly = conditions.values().all(|v| *v <= self.replica.revision);
        is_known_wholly.then_some(ShardChoice { shard, conditions })
    }

    /// Whether the zone shard, as edited so far, is empty or takes the slot besides.
    /// What follows must depend on the record and the machine's names alone: not on
    /// what unbooked tasks take there just now.
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

/// The numbers of the zone shards that a machine may be put into, in an order that
/// follows from its machine shard and the settings alone. The first ones are the same
/// for all machines of a preferred owner, so that few zone shards hold them all. One whose
/// machines fill these has more than the conditions of one commit could tell of: then
/// come those from the machine shard's own on, in steps that double, so that the empty
/// ones at the end are soon reached.
fn candidate_numbers(machine_shard: &str, first: usize) -> impl Iterator<Item = usize> {
    let number = machine_shard
        .rsplit_once('.')
        .and_then(|p| p.1.parse().ok());
    let own: usize = number.unwrap_or(0);
    let steps = (0..usize::BITS).map(|exponent| 1usize << exponent);
    let from_own = std::iter::once(0)
        .chain(steps)
        .map(move |step| own.saturating_add(step));
    (0..first).chain(from_own.filter(move |number| *number >= first))
}
