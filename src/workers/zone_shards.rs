//! The part of a zone's record that a machine's slot is put into.

use std::collections::BTreeMap;

use super::home_of;
use crate::state::keys::{machine_shard_key, shard_id, zone_shard_key};
use crate::state::records::{Machine, MachineSlot, Resources, ZoneShard};
use crate::state::replica::Replica;

/// A zone shard's record as a commit will leave it.
#[derive(Default)]
pub(super) struct ShardEdit {
    pub record: ZoneShard,
    /// Machines join or leave.
    pub members: bool,
}

/// The records that a choice depends on, with their versions.
pub(super) type Conditions = BTreeMap<String, u64>;

/// The zone shard that a machine's slot is put into, with all that must be as the replica
/// has it.
pub(super) struct ShardChoice {
    pub shard: String,
    pub conditions: Conditions,
}

/// Chooses the zone shard for the slot of a machine that stands in none, so that the
/// slot comes to stand in no other:
///
/// - Before compact encodings, the zone shard of its machine shard, as ever. So it is while that zone shard
///   does not stand in the compact encoding: a commit that an earlier version decided
///   may still arrive, and knows no condition but the zone shard's.
/// - Then the first zone shard of its home with room. The machine shard is a condition: only
///   its holder puts a machine anywhere, and a claim changes the machine shard. So are
///   all zone shards up to that one, and the machine shard's own: a commit of ours without an
///   answer, which may be carried out later, had chosen by them. None of these
///   may be newer than what the replica has wholly: a choice made elsewhere since
///   would be missing from it.
pub(super) fn choose_shard(
    replica: &Replica,
    edits: &BTreeMap<String, ShardEdit>,
    id: &str,
    machine: &Machine,
    slot: Option<&MachineSlot>,
) -> Option<ShardChoice> {
    let own = shard_id(&machine.zone, &machine.shard);
    if !replica.uses_compact_encoding() || !replica.is_compact_zone_shard(&own) {
        return Some(ShardChoice {
            shard: own,
            conditions: Conditions::new(),
        });
    }
    let mut conditions = Conditions::from([
        (machine_shard_key(&own), replica.machine_shard_version(&own)),
        (zone_shard_key(&own), replica.zone_shard_version(&own)),
    ]);
    // What is chosen must follow from these alone: not from what unbooked tasks
    // take there just now.
    let slot = slot.map(|s| MachineSlot {
        unbooked: Resources::default(),
        ..s.clone()
    });
    let mut shard = own;
    for number in 0.. {
        let next = shard_id(
            &machine.zone,
            &format!("{}.{number}", home_of(&machine.shard)),
        );
        conditions.insert(zone_shard_key(&next), replica.zone_shard_version(&next));
        if has_room(replica, edits, &next, id, slot.as_ref()) {
            shard = next;
            break;
        }
    }
    let whole = conditions.values().all(|v| *v <= replica.revision);
    whole.then_some(ShardChoice { shard, conditions })
}

/// Whether the zone shard, as edited so far, is empty or takes the slot besides.
fn has_room(
    replica: &Replica,
    edits: &BTreeMap<String, ShardEdit>,
    shard: &str,
    id: &str,
    slot: Option<&MachineSlot>,
) -> bool {
    let edited = edits.get(shard).map(|p| &p.record);
    let known = || replica.zone_shards.get(shard).map(|e| &e.value);
    let mut record = edited.or_else(known).cloned().unwrap_or_default();
    if record.machines.is_empty() {
        return true;
    }
    let slot = slot.map(|s| (id.to_string(), s.clone()));
    record.machines.extend(slot);
    replica.fits_zone_shard(&record)
}
