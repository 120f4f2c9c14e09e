//! Compacts zone shards, the records that list the machines which take new work. Zone shards
//! are written in the compact encoding, split if they may become too long for a record, and
//! merged until they are few.

use std::collections::BTreeMap;

use super::DeferredKeys;
use crate::state::commit::precondition;
use crate::state::keys::zone_shard_key;
use crate::state::records::ZoneShard;
use crate::state::replica::Replica;
use crate::wire::{Commit, Precondition};

/// Returns a commit that rewrites zone shards which are not stored in the compact encoding
/// yet. For each machine shard, the zone shard with the same id is included even if it has no
/// record: after this write, commits that were decided earlier can no longer change that zone
/// shard.
pub(super) fn compact(
    replica: &Replica,
    deferred: &DeferredKeys,
    is_responsible: &dyn Fn(&str) -> bool,
    max_writes: usize,
) -> Option<Commit> {
    let (mut preconditions, mut writes) = (Vec::<Precondition>::new(), Vec::new());
    let ids = replica
        .machine_shards
        .keys()
        .chain(replica.zone_shards.keys());
    for id in ids.filter(|id| is_responsible(id) && !replica.is_compact_zone_shard(id)) {
        let key = zone_shard_key(id);
        let is_included = preconditions.iter().any(|p| p.key == key);
        if writes.len() == max_writes || deferred.contains_key(&key) || is_included {
            continue;
        }
        let shard = replica.zone_shards.get(id).map(|e| e.value.clone());
        writes.push(replica.put_zone_shard(id, &shard.unwrap_or_default()));
        preconditions.push(precondition(key, replica.zone_shard_version(id)));
    }
    (!writes.is_empty()).then_some(Commit {
        preconditions,
        writes,
    })
}

/// Returns a commit that splits a zone shard which may become too long for a record: half of
/// the machines move to an empty zone shard of the same preferred owner. The encoded record
/// can grow even when machines are removed from it, and the removal could not be committed if
/// the record became too long. The versions of both records are preconditions, as in a merge.
pub fn split_long(
    replica: &Replica,
    deferred: &DeferredKeys,
    is_responsible: &dyn Fn(&str) -> bool,
) -> Option<Commit> {
    let (id, entry) = replica.zone_shards.iter().find(|(id, entry)| {
        is_responsible(id)
            && replica.is_compact_zone_shard(id)
            && !deferred.contains_key(&zone_shard_key(id))
            && replica.may_outgrow_record(&entry.value)
    })?;
    let (zone_and_owner, _) = id.rsplit_once('.')?;
    let empty = first_empty(replica, deferred, zone_and_owner)?;
    let mut first = entry.value.clone();
    let middle = first.machines.keys().nth(first.machines.len() / 2)?.clone();
    let second = ZoneShard {
        machines: first.machines.split_off(&middle),
    };
    Some(write_both(replica, [(id, &first), (&empty, &second)]))
}

/// Returns the first zone shard of a preferred owner in a zone that lists no machines.
fn first_empty(replica: &Replica, deferred: &DeferredKeys, zone_and_owner: &str) -> Option<String> {
    let is_empty = |id: &String| {
        let shard = replica.zone_shards.get(id);
        shard.is_none_or(|entry| entry.value.machines.is_empty())
            && !deferred.contains_key(&zone_shard_key(id))
    };
    (0..)
        .map(|number| format!("{zone_and_owner}.{number}"))
        .find(is_empty)
}

/// Returns the commit that writes two zone shards, with both versions as preconditions.
fn write_both(replica: &Replica, shards: [(&str, &ZoneShard); 2]) -> Commit {
    let preconditions =
        shards.map(|(id, _)| precondition(zone_shard_key(id), replica.zone_shard_version(id)));
    let writes = shards.map(|(id, shard)| replica.put_zone_shard(id, shard));
    Commit {
        preconditions: preconditions.into(),
        writes: writes.into(),
    }
}

/// A zone shard that may be merged with others of the same preferred owner and zone.
struct MergeCandidate<'a> {
    /// Number at the end of the zone shard's name.
    number: u32,
    id: &'a String,
    shard: &'a ZoneShard,
}

/// Returns a commit that moves all machines of a zone shard to the first zone shard of the
/// same preferred owner with capacity for all of them. The commit writes both records, with
/// their versions as preconditions, so each machine is listed in exactly one of the two at
/// any time.
pub fn merge(
    replica: &Replica,
    deferred: &DeferredKeys,
    is_responsible: &dyn Fn(&str) -> bool,
) -> Option<Commit> {
    let mut by_owner: BTreeMap<&str, Vec<MergeCandidate>> = BTreeMap::new();
    for (id, entry) in &replica.zone_shards {
        let Some((zone_and_owner, number)) = id.rsplit_once('.') else {
            continue;
        };
        let Ok(number) = number.parse() else { continue };
        if !is_responsible(id)
            || !replica.is_compact_zone_shard(id)
            || deferred.contains_key(&zone_shard_key(id))
        {
            continue;
        }
        by_owner
            .entry(zone_and_owner)
            .or_default()
            .push(MergeCandidate {
                number,
                id,
                shard: &entry.value,
            });
    }
    by_owner.into_values().find_map(|mut candidates| {
        candidates.sort_unstable_by_key(|candidate| candidate.number);
        merge_last(replica, &candidates)
    })
}

/// Returns a commit that empties the last zone shard whose machines all fit into an earlier
/// one. Zone shards are filled in the order of their numbers, so the last ones are needed
/// least.
fn merge_last(replica: &Replica, candidates: &[MergeCandidate]) -> Option<Commit> {
    let reversed = candidates.iter().enumerate().rev();
    let mut nonempty = reversed.filter(|(_, last)| !last.shard.machines.is_empty());
    nonempty.find_map(|(index, source)| {
        candidates[..index].iter().find_map(|target| {
            let merged = merged(target.shard, source.shard);
            let emptied = ZoneShard::default();
            replica
                .fits_zone_shard(&merged)
                .then(|| write_both(replica, [(source.id, &emptied), (target.id, &merged)]))
        })
    })
}

/// Returns a zone shard with the machines of both given ones.
fn merged(shard: &ZoneShard, other: &ZoneShard) -> ZoneShard {
    let mut merged = shard.clone();
    let added = other
        .machines
        .iter()
        .map(|(id, slot)| (id.clone(), slot.clone()));
    merged.machines.extend(added);
    merged
}
