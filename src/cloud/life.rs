//! Changes of machines' life cycle states.

use std::collections::{BTreeMap, HashSet};

use crate::draft::{COMMIT_BYTES, Groups};
use crate::model::{Life, Part};
use crate::node::{Node, guard};
use crate::store::Class;
use crate::view::{part_id, part_key};

pub(super) async fn set_life(node: &Node, id: &str, life: Life) -> bool {
    let all = set_lives(node, &[(id.to_string(), life)]).await;
    all.contains(id)
}

/// Writes machines' new lives, taking them out of their parts' records unless
/// they stay active; as many as one commit holds, and tells which. Guarded by
/// the parts, too, so that no booking slips in between.
pub(super) async fn set_lives(node: &Node, lives: &[(String, Life)]) -> HashSet<String> {
    let ops = node.settings.txn_ops();
    let mut changed = HashSet::new();
    let (mut guards, mut writes);
    {
        let view = node.view.borrow();
        let mut groups = Groups::new(&view);
        let mut parts: BTreeMap<String, (Part, bool)> = BTreeMap::new();
        for (id, life) in lives {
            let Some(entry) = view.machines.get(id) else {
                continue;
            };
            let mut machine = entry.value.clone();
            // Safety 5: returning is never undone.
            let onward = match machine.life {
                Life::Gone => false,
                Life::Returning => *life == Life::Gone,
                _ => machine.life != *life,
            };
            // A group and perhaps its part, which is about as long.
            let group = part_id(&machine.zone, &machine.part);
            let part = view
                .part_of(id)
                .map_or_else(|| group.clone(), |p| p.to_string());
            let full = groups.is_full(ops / 2) || groups.bytes() > COMMIT_BYTES / 3;
            // The other half is for parts.
            let crowded = !parts.contains_key(&part) && parts.len() >= ops - ops / 2;
            if !onward || crowded || (!groups.has(&group) && full) {
                continue;
            }
            machine.life = *life;
            groups.put(id, machine);
            changed.insert(id.clone());
            if *life != Life::Active
                && let Some(entry) = view.parts.get(&part)
            {
                // The part is guarded even if the machine is not in its
                // record: its holder could be putting it there just now.
                let record = parts.entry(part);
                let record = record.or_insert_with(|| (entry.value.clone(), false));
                record.1 |= record.0.machines.remove(id).is_some();
            }
        }
        (guards, writes) = groups.into_commit();
        for (id, (part, changed)) in parts {
            guards.push(guard(part_key(&id), view.part_version(&id)));
            if changed {
                writes.push(view.put_part(&id, &part));
            }
        }
    }
    if writes.is_empty() {
        return changed;
    }
    if let Err(error) = node.commit(Class::Life, guards, writes).await {
        tracing::debug!(?lives, %error, "lives not changed");
        changed.clear();
    }
    changed
}
