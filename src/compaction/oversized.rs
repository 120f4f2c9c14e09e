//! Rewrites records that are longer than the upcoming limit of the state service allows, the
//! oldest first.

use super::DeferredKeys;
use crate::scheduler::MachineShardEdits;
use crate::state::commit::precondition;
use crate::state::keys::{PREFIX, job_key, machine_shard_key, zone_shard_key};
use crate::state::replica::Replica;
use crate::wire::{Commit, Precondition, Write};

/// The kind of an oversized record. Records with the same version are rewritten in the order
/// of these variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RecordKind {
    Job,
    MachineShard,
    ZoneShard,
}

/// A record to be rewritten. Its derived order, by version first, is the order of rewriting.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OversizedRecord<'a> {
    version: u64,
    kind: RecordKind,
    id: &'a str,
}

/// Returns the commit that rewrites the oldest of the records that this controller should
/// shorten: records longer than the upcoming limit, and records of open jobs in which no
/// capacity is left for the bookings of the job's tasks.
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
        .find_map(|record| rewrite_commit(replica, &record))
}

/// Returns the record of a key, if it exists and this controller is the one to rewrite it.
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

/// Returns the open jobs whose records leave no capacity for the bookings of their tasks and
/// can be shortened. Jobs whose records exceed the upcoming limit are left out, as they are
/// among the oversized records already.
fn trimmable_jobs<'a>(
    replica: &'a Replica,
    deferred: &DeferredKeys,
    is_preferred: &dyn Fn(&str) -> bool,
) -> Vec<OversizedRecord<'a>> {
    let mut trimmable = Vec::new();
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
            trimmable.push(OversizedRecord {
                // Version 0 means that the job has no record of its own yet and is stored only
                // in a batch of accepted jobs.
                version: replica.job_version(id),
                kind: RecordKind::Job,
                id,
            });
        }
    }
    trimmable
}

/// Returns the commit that rewrites a record; `None` for a job whose record would still be too
/// long.
fn rewrite_commit(replica: &Replica, record: &OversizedRecord) -> Option<Commit> {
    let OversizedRecord { version, kind, id } = *record;
    match kind {
        RecordKind::Job => rewrite_job_commit(replica, id, version),
        RecordKind::ZoneShard => {
            let write = replica.put_zone_shard(id, &replica.zone_shards.get(id)?.value);
            Some(Commit {
                preconditions: vec![precondition(zone_shard_key(id), version)],
                writes: vec![write],
            })
        }
        RecordKind::MachineShard => {
            // The edit also splits a machine shard that is too long even in the compact
            // encoding.
            let mut machine_shards = MachineShardEdits::new(replica);
            machine_shards.edit(id);
            let commit = machine_shards.into_commit();
            let is_guarded = |p: &Precondition| p.key == machine_shard_key(id);
            debug_assert!(commit.preconditions.iter().any(is_guarded));
            Some(commit)
        }
    }
}

/// Returns the commit that rewrites a job's record, if the new record is within the upcoming
/// limit. A record that would still be too long is not rewritten: it becomes shorter as the
/// job's tasks end.
fn rewrite_job_commit(replica: &Replica, id: &str, version: u64) -> Option<Commit> {
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
