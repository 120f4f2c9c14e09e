//! Once compact encodings may be written, what stands in longer ones comes below the
//! limits that are to fall, in the background: zone shards of this controller's homes
//! take the compact encoding and are merged, and records that are too long are written
//! anew, the oldest first. Nothing waits for this: whoever writes such a record
//! meanwhile writes the compact encoding by itself.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use tokio::time::{Instant, sleep};

use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::guard;
use crate::state::keys::{PREFIX, job_key, machine_shard_key, zone_shard_key};
use crate::state::records::ZoneShard;
use crate::state::replica::Replica;
use crate::wire::{Guard, Write};
use crate::workers::preferred_owner_of;

/// One commit of this loop: conditions and writes, and what it is for.
type Step = (Vec<Guard>, Vec<Write>);

/// Writes records anew that are to be shorter, a commit at a time, as the budget
/// allows.
pub async fn run_compaction(controller: Rc<Controller>) {
    let tick = controller.settings.heartbeat_interval() / 4;
    // Records that could not be written as they were, and until when they wait.
    let mut left: HashMap<String, Instant> = HashMap::new();
    loop {
        if !controller.replica.borrow().uses_compact_encoding() {
            sleep(tick).await;
            continue;
        }
        sleep(controller.store.jitter(tick)).await;
        if !controller.replica.borrow().uses_compact_encoding()
            || !controller.is_state_service_reachable()
        {
            continue;
        }
        let now = Instant::now();
        left.retain(|_, until| *until > now);
        let Some((class, _)) = step(&controller, &left) else {
            continue;
        };
        controller.store.wait_for_budget(class, 2).await;
        // Decided on what is known once the budget is there.
        let Some((class, (guards, writes))) = step(&controller, &left) else {
            continue;
        };
        let keys: Vec<String> = writes.iter().map(|w| w.key().to_string()).collect();
        match controller.commit(class, guards, writes).await {
            Ok(_) => tracing::debug!(?keys, "shortened"),
            Err(StoreError::Conflict(_)) => controller.expedite_watch(),
            Err(error) => {
                tracing::debug!(?keys, %error, "not shortened");
                let again = now + controller.settings.worker_lease();
                left.extend(keys.into_iter().map(|k| (k, again)));
            }
        }
    }
}

/// Whether this controller looks after a home: its own; the fleet_leader after those
/// whose controller is not up.
fn tends(controller: &Controller, replica: &Replica, home: &str) -> bool {
    home == controller.name()
        || (controller.is_fleet_leader() && !replica.controllers.contains_key(home))
}

/// Zone shards come by turns with the rounds: until they are few a gang may have its
/// places in more of them than a commit writes. The rest comes last.
fn step(controller: &Controller, left: &HashMap<String, Instant>) -> Option<(RequestClass, Step)> {
    let replica = controller.replica.borrow();
    let tended = |id: &str| {
        let shard = id.split_once('/').map_or("", |p| p.1);
        tends(controller, &replica, preferred_owner_of(shard))
    };
    compact_zone_shards(&replica, left, &tended, controller.settings.txn_ops())
        .or_else(|| split_long(&replica, left, &tended))
        .or_else(|| merge(&replica, left, &tended))
        .map(|step| (RequestClass::Claim, step))
        .or_else(|| {
            Some((
                RequestClass::Lifecycle,
                oversized(controller, &replica, left, &tended)?,
            ))
        })
}

/// Zone shards that do not stand in the compact encoding yet, one for each machine shard, there or
/// not: from then on a commit that was decided before cannot change them.
fn compact_zone_shards(
    replica: &Replica,
    left: &HashMap<String, Instant>,
    tended: &dyn Fn(&str) -> bool,
    most: usize,
) -> Option<Step> {
    let mut step = Step::default();
    let ids = replica
        .machine_shards
        .keys()
        .chain(replica.zone_shards.keys());
    for id in ids.filter(|id| tended(id) && !replica.is_compact_zone_shard(id)) {
        let key = zone_shard_key(id);
        let known = step.0.iter().any(|g| g.key == key);
        if step.1.len() == most || left.contains_key(&key) || known {
            continue;
        }
        let shard = replica.zone_shards.get(id).map(|e| e.value.clone());
        step.1
            .push(replica.put_zone_shard(id, &shard.unwrap_or_default()));
        step.0.push(guard(key, replica.zone_shard_version(id)));
    }
    (!step.1.is_empty()).then_some(step)
}

/// Moves half of the machines of a zone shard that may outgrow its record into one
/// of the home that is empty: its text becomes longer as machines leave it, and one that
/// is too long could not be written. Both are written under guard, as with a merge.
pub fn split_long(
    replica: &Replica,
    left: &HashMap<String, Instant>,
    tended: &dyn Fn(&str) -> bool,
) -> Option<Step> {
    let (id, entry) = replica.zone_shards.iter().find(|(id, entry)| {
        tended(id)
            && replica.is_compact_zone_shard(id)
            && !left.contains_key(&zone_shard_key(id))
            && replica.may_outgrow_record(&entry.value)
    })?;
    let (home, _) = id.rsplit_once('.')?;
    let is_empty = |id: &String| {
        let shard = replica.zone_shards.get(id);
        shard.is_none_or(|entry| entry.value.machines.is_empty())
            && !left.contains_key(&zone_shard_key(id))
    };
    let empty = (0..)
        .map(|number| format!("{home}.{number}"))
        .find(is_empty)?;
    let mut first = entry.value.clone();
    let middle = first.machines.keys().nth(first.machines.len() / 2)?.clone();
    let second = ZoneShard {
        machines: first.machines.split_off(&middle),
    };
    let guards = [id, &empty].map(|id| guard(zone_shard_key(id), replica.zone_shard_version(id)));
    let writes = vec![
        replica.put_zone_shard(id, &first),
        replica.put_zone_shard(&empty, &second),
    ];
    Some((guards.to_vec(), writes))
}

/// Empties a zone shard of a home into the first that takes all of it. Both are
/// written under guard, so each machine stands in one of them throughout.
pub fn merge(
    replica: &Replica,
    left: &HashMap<String, Instant>,
    tended: &dyn Fn(&str) -> bool,
) -> Option<Step> {
    let mut homes: BTreeMap<&str, Vec<(u32, &String, &ZoneShard)>> = BTreeMap::new();
    for (id, entry) in &replica.zone_shards {
        let Some((home, number)) = id.rsplit_once('.') else {
            continue;
        };
        let Ok(number) = number.parse() else { continue };
        if !tended(id)
            || !replica.is_compact_zone_shard(id)
            || left.contains_key(&zone_shard_key(id))
        {
            continue;
        }
        homes
            .entry(home)
            .or_default()
            .push((number, id, &entry.value));
    }
    for zone_shards in homes.values_mut() {
        zone_shards.sort_unstable_by_key(|p| p.0);
        // The last first: it is the one that was needed least.
        let found = zone_shards
            .iter()
            .enumerate()
            .rev()
            .find_map(|(at, (_, from, last))| {
                if last.machines.is_empty() {
                    return None;
                }
                zone_shards[..at].iter().find_map(|(_, id, shard)| {
                    let mut all = (*shard).clone();
                    let more = last.machines.iter().map(|(n, s)| (n.clone(), s.clone()));
                    all.machines.extend(more);
                    replica.fits_zone_shard(&all).then_some((*from, *id, all))
                })
            });
        if let Some((from, to, all)) = found {
            let guards =
                [from, to].map(|id| guard(zone_shard_key(id), replica.zone_shard_version(id)));
            let writes = vec![
                replica.put_zone_shard(from, &ZoneShard::default()),
                replica.put_zone_shard(to, &all),
            ];
            return Some((guards.to_vec(), writes));
        }
    }
    None
}

/// Records that are longer than any may be later, and open jobs whose records
/// leave no room for their tasks; the oldest first.
fn oversized(
    controller: &Controller,
    replica: &Replica,
    left: &HashMap<String, Instant>,
    tended: &dyn Fn(&str) -> bool,
) -> Option<Step> {
    let peers = controller.peers.borrow();
    let alive = peers.alive(controller, Instant::now());
    let is_preferred = |id: &str| {
        let preferred = crate::hash::preferred(id, alive.iter().copied());
        preferred == Some(controller.name())
    };
    let mut found: Vec<(u64, &str, &str)> = Vec::new();
    for key in replica
        .oversized_records
        .keys()
        .filter(|k| !left.contains_key(*k))
    {
        let Some((table, id)) = key.strip_prefix(PREFIX).and_then(|k| k.split_once('/')) else {
            continue;
        };
        let version = match table {
            "job" => is_preferred(id).then(|| replica.job_version(id)),
            "machine" => tended(id).then(|| replica.machine_shard_version(id)),
            "zone" => tended(id).then(|| replica.zone_shard_version(id)),
            _ => None,
        };
        found.extend(version.filter(|v| *v > 0).map(|v| (v, table, id)));
    }
    let long = replica.long_jobs.iter().filter(|id| {
        // Those that are too long as they stand are among the others already.
        let key = job_key(id);
        !left.contains_key(&key) && !replica.oversized_records.contains_key(&key)
    });
    for id in long.filter(|id| is_preferred(id)) {
        let job = replica.jobs.get(id).map(|e| &e.value);
        if job.is_some_and(|job| replica.trimmed_job(job).is_some()) {
            // Version 0: it stands among the arrivals until this is written.
            found.push((replica.job_version(id), "job", id));
        }
    }
    found.sort_unstable();
    let mut found = found.into_iter();
    found.find_map(|(version, table, id)| match table {
        "job" => rewritten_job(replica, id, version),
        "zone" => {
            let write = replica.put_zone_shard(id, &replica.zone_shards.get(id)?.value);
            Some((vec![guard(zone_shard_key(id), version)], vec![write]))
        }
        _ => {
            // One that is too long in the compact encoding, too, is split by this.
            let mut machine_shards = MachineShardEdits::new(replica);
            machine_shards.edit(id);
            let step = machine_shards.into_commit();
            debug_assert!(step.0.iter().any(|g| g.key == machine_shard_key(id)));
            Some(step)
        }
    })
}

/// A job's record as it is to be, if that is within the coming limit: one that
/// cannot be is left to become shorter as its tasks end.
fn rewritten_job(replica: &Replica, id: &str, version: u64) -> Option<Step> {
    let write = replica.put_job(id, &replica.jobs.get(id)?.value);
    let Write::Put { value, .. } = &write else {
        return None;
    };
    let fits = value.get().len() <= replica.compact_limit.unwrap_or(usize::MAX);
    fits.then(|| (vec![guard(job_key(id), version)], vec![write]))
}
