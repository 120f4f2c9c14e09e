//! The part of a zone's record that a machine's slot is put into.

use std::collections::BTreeMap;

use super::home_of;
use crate::state::keys::{machine_shard_key, shard_id, zone_shard_key};
use crate::state::records::{Machine, MachineSlot, Resources, ZoneShard};
use crate::state::replica::Replica;

/// A part's record as a commit will leave it.
#[derive(Default)]
pub(super) struct PartEdit {
    pub record: ZoneShard,
    /// Machines join or leave.
    pub members: bool,
}

/// The records that a choice depends on, with their versions.
pub(super) type Conditions = BTreeMap<String, u64>;

/// The part that a machine's slot is put into, with all that must be as the replica
/// has it.
pub(super) struct PartChoice {
    pub part: String,
    pub conditions: Conditions,
}

/// Chooses the part for the slot of a machine that stands in none, so that the
/// slot comes to stand in no other:
///
/// - Before compact encodings, the part of its group, as ever. So it is while that part
///   does not stand in the compact encoding: a commit that an earlier version decided
///   may still arrive, and knows no condition but the part's.
/// - Then the first part of its home with room. The group is a condition: only
///   its holder puts a machine anywhere, and a claim changes the group. So are
///   all parts up to that one, and the group's own: a commit of ours without an
///   answer, which may be carried out later, had chosen by them. None of these
///   may be newer than what the replica has wholly: a choice made elsewhere since
///   would be missing from it.
pub(super) fn choose_part(
    replica: &Replica,
    edits: &BTreeMap<String, PartEdit>,
    id: &str,
    machine: &Machine,
    slot: Option<&MachineSlot>,
) -> Option<PartChoice> {
    let own = shard_id(&machine.zone, &machine.part);
    if !replica.uses_compact_encoding() || !replica.is_compact_zone_shard(&own) {
        return Some(PartChoice {
            part: own,
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
    let mut part = own;
    for number in 0.. {
        let next = shard_id(
            &machine.zone,
            &format!("{}.{number}", home_of(&machine.part)),
        );
        conditions.insert(zone_shard_key(&next), replica.zone_shard_version(&next));
        if has_room(replica, edits, &next, id, slot.as_ref()) {
            part = next;
            break;
        }
    }
    let whole = conditions.values().all(|v| *v <= replica.revision);
    whole.then_some(PartChoice { part, conditions })
}

/// Whether the part, as edited so far, is empty or takes the slot besides.
fn has_room(
    replica: &Replica,
    edits: &BTreeMap<String, PartEdit>,
    part: &str,
    id: &str,
    slot: Option<&MachineSlot>,
) -> bool {
    let edited = edits.get(part).map(|p| &p.record);
    let known = || replica.zone_shards.get(part).map(|e| &e.value);
    let mut record = edited.or_else(known).cloned().unwrap_or_default();
    if record.machines.is_empty() {
        return true;
    }
    let slot = slot.map(|s| (id.to_string(), s.clone()));
    record.machines.extend(slot);
    replica.fits_zone_shard(&record)
}
