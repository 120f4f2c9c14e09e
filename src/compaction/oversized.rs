//! Records that are longer than any may be later are written anew, the oldest first.

use super::DeferredKeys;
use crate::scheduler::MachineShardEdits;
use crate::state::commit::precondition;
use crate::state::keys::{PREFIX, job_key, machine_shard_key, zone_shard_key};
use crate::state::replica::Replica;
use crate::wire::{Commit, Write};

/// What an oversized record holds. The order is part of the order in which records of
/// the same version are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RecordKind {
    Job,
    MachineShard,
    ZoneShard,
}

/// A record that is to be written anew; the order is that of the writing.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OversizedRecord<'a> {
    version: u64,
    kind: RecordKind,
    id: &'a str,
}

/// Writes the oldest record anew that is longer than any may be later, or that of an
/// open job which leaves no capacity for its tasks.
pub(super) fn rewrite(
    replica: &Replica,
    deferred: &DeferredKeys,
    is_responsible: &dyn Fn(&str) -> bool,
    is_preferred: &dyn Fn(&str) -> bool,
) -> Option<Commit> {
    let mut records: Vec<OversizedRecord> = replica
        .oversized_records
        .keys()
        .filter(|key| !deferred.contains_key(*key))
        .filter_map(|key| oversized_record(replica, key, is_responsible, is_preferred))
        .collect();
    records.extend(trimmable_jobs(replica, deferred, is_preferred));
    records.sort_unstable();
    records
        .into_iter()
        .find_map(|record| rewritten(replica, &record))
}

/// The record of a key, if it is for this controller to write.
fn oversized_record<'a>(
    replica: &Replica,
    key: &'a str,
    is_responsible: &dyn Fn(&str) -> bool,
    is_preferred: &dyn Fn(&str) -> bool,
) -> Option<OversizedRecord<'a>> {
    let (table, id) = key.strip_prefix(PREFIX)?.split_once('/')?;
    let (kind, version) = match table {
        "job" if is_preferred(id) => (RecordKind::Job, replica.job_version(id)),
        "machine" if is_responsible(id) => {
            let version = replica.machine_shard_version(id);
            (RecordKind::MachineShard, version)
        }
        "zone" if is_responsible(id) => (RecordKind::ZoneShard, replica.zone_shard_version(id)),
        _ => return None,
    };
    (version > 0).then_some(OversizedRecord { version, kind, id })
}

/// Open jobs whose records leave no capacity for their tasks, and can be shortened.
/// Those that are too long as they stand are among the oversized records already.
fn trimmable_jobs<'a>(
    replica: &'a Replica,
    deferred: &DeferredKeys,
    is_preferred: &dyn Fn(&str) -> bool,
) -> Vec<OversizedRecord<'a>> {
    let mut found = Vec::new();
    for id in &replica.long_jobs {
        let key = job_key(id);
        if deferred.contains_key(&key)
            || replica.oversized_records.contains_key(&key)
            || !is_preferred(id)
        {
            continue;
        }
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        if job.is_some_and(|job| replica.trimmed_job(job).is_some()) {
            found.push(OversizedRecord {
                // Version 0: it stands among the arrivals until this is written.
                version: replica.job_version(id),
                kind: RecordKind::Job,
                id,
            });
        }
    }
    found
}

/// The commit that writes a record anew, if that makes it short enough.
fn rewritten(replica: &Replica, record: &OversizedRecord) -> Option<Commit> {
    let OversizedRecord { version, kind, id } = *record;
    match kind {
        RecordKind::Job => rewritten_job(replica, id, version),
        RecordKind::ZoneShard => {
            let write = replica.put_zone_shard(id, &replica.zone_shards.get(id)?.value);
            Some(Commit {
                preconditions: vec![precondition(zone_shard_key(id), version)],
                writes: vec![write],
            })
        }
        RecordKind::MachineShard => {
            // One that is too long in the compact encoding, too, is split by this.
            let mut machine_shards = MachineShardEdits::new(replica);
            machine_shards.edit(id);
            let (preconditions, writes) = machine_shards.into_commit();
            debug_assert!(preconditions.iter().any(|g| g.key == machine_shard_key(id)));
            Some(Commit {
                preconditions,
                writes,
            })
        }
    }
}

/// A job's record as it is to be, if that is within the coming limit: one that
/// cannot be is left to become shorter as its tasks end.
fn rewritten_job(replica: &Replica, id: &str, version: u64) -> Option<Commit> {
    let write = replica.put_job(id, &replica.jobs.get(id)?.value);
    let Write::Put { value, .. } = &write else {
        return None;
    };
    let fits = value.get().len() <= replica.compact_limit.unwrap_or(usize::MAX);
    fits.then(|| Commit {
        preconditions: vec![precondition(job_key(id), version)],
        writes: vec![write],
    })
}
