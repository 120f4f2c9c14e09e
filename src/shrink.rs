//! Once short texts may be written, what stands in longer ones comes below the
//! limits that are to fall, in the background: parts of this controller's homes
//! take the short text and are merged, and records that are too long are written
//! anew, the oldest first. Nothing waits for this: whoever writes such a record
//! meanwhile writes the short text by itself.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use tokio::time::{Instant, sleep};

use crate::draft::Groups;
use crate::machines::home_of;
use crate::model::Part;
use crate::node::{Node, guard};
use crate::store::{Class, StoreError};
use crate::view::{PREFIX, View, group_key, job_key, part_key};
use crate::wire::{Guard, Write};

/// One commit of this loop: conditions and writes, and what it is for.
type Step = (Vec<Guard>, Vec<Write>);

pub async fn keep_small(node: Rc<Node>) {
    let tick = node.settings.report() / 4;
    // Records that could not be written as they were, and until when they wait.
    let mut left: HashMap<String, Instant> = HashMap::new();
    loop {
        if !node.view.borrow().is_short() {
            sleep(tick).await;
            continue;
        }
        sleep(node.store.jitter(tick)).await;
        if !node.view.borrow().is_short() || !node.has_state() {
            continue;
        }
        let now = Instant::now();
        left.retain(|_, until| *until > now);
        let Some((class, _)) = step(&node, &left) else {
            continue;
        };
        node.store.ready(class, 2).await;
        // Decided on what is known once the budget is there.
        let Some((class, (guards, writes))) = step(&node, &left) else {
            continue;
        };
        let keys: Vec<String> = writes.iter().map(|w| w.key().to_string()).collect();
        match node.commit(class, guards, writes).await {
            Ok(_) => tracing::debug!(?keys, "shortened"),
            Err(StoreError::Conflict(_)) => node.hurry(),
            Err(error) => {
                tracing::debug!(?keys, %error, "not shortened");
                let again = now + node.settings.lease();
                left.extend(keys.into_iter().map(|k| (k, again)));
            }
        }
    }
}

/// Whether this controller looks after a home: its own; the renter after those
/// whose controller is not up.
fn tends(node: &Node, view: &View, home: &str) -> bool {
    home == node.name() || (node.is_renter() && !view.nodes.contains_key(home))
}

/// Parts come by turns with the rounds: until they are few a gang may have its
/// places in more of them than a commit writes. The rest stands behind.
fn step(node: &Node, left: &HashMap<String, Instant>) -> Option<(Class, Step)> {
    let view = node.view.borrow();
    let tended = |id: &str| {
        let part = id.split_once('/').map_or("", |p| p.1);
        tends(node, &view, home_of(part))
    };
    short_parts(&view, left, &tended, node.settings.txn_ops())
        .or_else(|| merge(&view, left, &tended))
        .map(|step| (Class::Claim, step))
        .or_else(|| Some((Class::Life, oversized(node, &view, left, &tended)?)))
}

/// Parts that do not stand in the short text yet, one for each group, there or
/// not: from then on a commit that was decided before cannot change them.
fn short_parts(
    view: &View,
    left: &HashMap<String, Instant>,
    tended: &dyn Fn(&str) -> bool,
    most: usize,
) -> Option<Step> {
    let mut step = Step::default();
    let ids = view.groups.keys().chain(view.parts.keys());
    for id in ids.filter(|id| tended(id) && !view.is_short_part(id)) {
        let key = part_key(id);
        let known = step.0.iter().any(|g| g.key == key);
        if step.1.len() == most || left.contains_key(&key) || known {
            continue;
        }
        let part = view.parts.get(id).map(|e| e.value.clone());
        step.1.push(view.put_part(id, &part.unwrap_or_default()));
        step.0.push(guard(key, view.part_version(id)));
    }
    (!step.1.is_empty()).then_some(step)
}

/// Empties a part of a home into the first that takes all of it. Both are
/// written under guard, so each machine stands in one of them throughout.
pub fn merge(
    view: &View,
    left: &HashMap<String, Instant>,
    tended: &dyn Fn(&str) -> bool,
) -> Option<Step> {
    let mut homes: BTreeMap<&str, Vec<(u32, &String, &Part)>> = BTreeMap::new();
    for (id, entry) in &view.parts {
        let Some((home, number)) = id.rsplit_once('.') else {
            continue;
        };
        let Ok(number) = number.parse() else { continue };
        if !tended(id) || !view.is_short_part(id) || left.contains_key(&part_key(id)) {
            continue;
        }
        homes
            .entry(home)
            .or_default()
            .push((number, id, &entry.value));
    }
    for parts in homes.values_mut() {
        parts.sort_unstable_by_key(|p| p.0);
        // The last first: it is the one that was needed least.
        let found = parts
            .iter()
            .enumerate()
            .rev()
            .find_map(|(at, (_, from, last))| {
                if last.machines.is_empty() {
                    return None;
                }
                parts[..at].iter().find_map(|(_, id, part)| {
                    let mut all = (*part).clone();
                    let more = last.machines.iter().map(|(n, s)| (n.clone(), s.clone()));
                    all.machines.extend(more);
                    view.fits_part(&all).then_some((*from, *id, all))
                })
            });
        if let Some((from, to, all)) = found {
            let guards = [from, to].map(|id| guard(part_key(id), view.part_version(id)));
            let writes = vec![
                view.put_part(from, &Part::default()),
                view.put_part(to, &all),
            ];
            return Some((guards.to_vec(), writes));
        }
    }
    None
}

/// Records that are longer than any may be later, and open jobs whose records
/// leave no room for their tasks; the oldest first.
fn oversized(
    node: &Node,
    view: &View,
    left: &HashMap<String, Instant>,
    tended: &dyn Fn(&str) -> bool,
) -> Option<Step> {
    let peers = node.peers.borrow();
    let alive = peers.alive(node, Instant::now());
    let is_preferred = |id: &str| {
        let preferred = crate::placement::preferred(id, alive.iter().copied());
        preferred == Some(node.name())
    };
    let mut found: Vec<(u64, &str, &str)> = Vec::new();
    for key in view.oversized.keys().filter(|k| !left.contains_key(*k)) {
        let Some((table, id)) = key.strip_prefix(PREFIX).and_then(|k| k.split_once('/')) else {
            continue;
        };
        let version = match table {
            "job" => is_preferred(id).then(|| view.job_version(id)),
            "machine" => tended(id).then(|| view.group_version(id)),
            "zone" => tended(id).then(|| view.part_version(id)),
            _ => None,
        };
        found.extend(version.filter(|v| *v > 0).map(|v| (v, table, id)));
    }
    let long = view.long_jobs.iter().filter(|id| {
        // Those that are too long as they stand are among the others already.
        let key = job_key(id);
        !left.contains_key(&key) && !view.oversized.contains_key(&key)
    });
    for id in long.filter(|id| is_preferred(id)) {
        let job = view.jobs.get(id).map(|e| &e.value);
        if job.is_some_and(|job| view.trimmed_job(job).is_some()) {
            // Version 0: it stands among the arrivals until this is written.
            found.push((view.job_version(id), "job", id));
        }
    }
    found.sort_unstable();
    let mut found = found.into_iter();
    found.find_map(|(version, table, id)| match table {
        "job" => rewritten_job(view, id, version),
        "zone" => {
            let write = view.put_part(id, &view.parts.get(id)?.value);
            Some((vec![guard(part_key(id), version)], vec![write]))
        }
        _ => {
            // One that is too long in the short text, too, is split by this.
            let mut groups = Groups::new(view);
            groups.edit(id);
            let step = groups.into_commit();
            debug_assert!(step.0.iter().any(|g| g.key == group_key(id)));
            Some(step)
        }
    })
}

/// A job's record as it is to be, if that is within the coming limit: one that
/// cannot be is left to become shorter as its tasks end.
fn rewritten_job(view: &View, id: &str, version: u64) -> Option<Step> {
    let write = view.put_job(id, &view.jobs.get(id)?.value);
    let Write::Put { value, .. } = &write else {
        return None;
    };
    let fits = value.get().len() <= view.shrink_to.unwrap_or(usize::MAX);
    fits.then(|| (vec![guard(job_key(id), version)], vec![write]))
}
