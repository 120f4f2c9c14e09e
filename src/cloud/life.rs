//! Changes of machines' states: active, draining, returning, gone.

use std::collections::{BTreeMap, HashSet};

use crate::draft::{COMMIT_BYTES, Groups};
use crate::model::{Life, Machine, Part};
use crate::node::{Node, guard};
use crate::store::Class;
use crate::view::{View, part_id, part_key};
use crate::wire::{Guard, Write};

/// A machine's next state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LifeChange {
    pub(super) machine: String,
    pub(super) life: Life,
}

impl LifeChange {
    pub(super) fn new(machine: &str, life: Life) -> Self {
        LifeChange {
            machine: machine.to_string(),
            life,
        }
    }
}

/// Writes one machine's new state; whether it is written.
pub(super) async fn set_life(node: &Node, id: &str, life: Life) -> bool {
    let changed = set_lives(node, &[LifeChange::new(id, life)]).await;
    changed.contains(id)
}

/// Writes machines' new states, taking them out of their parts' records unless
/// they stay active; as many as one commit holds, and tells which. Guarded by
/// the parts, too, so that no booking slips in between.
pub(super) async fn set_lives(node: &Node, changes: &[LifeChange]) -> HashSet<String> {
    let (mut changed, guards, writes) = {
        let view = node.view.borrow();
        let mut commit = LifeCommit::new(&view, node.settings.txn_ops());
        for change in changes {
            commit.add(change);
        }
        let changed = std::mem::take(&mut commit.changed);
        let (guards, writes) = commit.into_commit();
        (changed, guards, writes)
    };
    if writes.is_empty() {
        return changed;
    }
    if let Err(error) = node.commit(Class::Life, guards, writes).await {
        tracing::debug!(?changes, %error, "lives not changed");
        changed.clear();
    }
    changed
}

/// A part's record that a commit guards, and writes if a machine leaves it.
struct EditedPart {
    record: Part,
    changed: bool,
}

/// The commit that changes machines' states, in the making.
struct LifeCommit<'a> {
    view: &'a View,
    /// The most writes that one commit may have.
    max_writes: usize,
    groups: Groups<'a>,
    parts: BTreeMap<String, EditedPart>,
    /// The machines whose states it changes.
    changed: HashSet<String>,
}

impl<'a> LifeCommit<'a> {
    fn new(view: &'a View, max_writes: usize) -> Self {
        LifeCommit {
            view,
            max_writes,
            groups: Groups::new(view),
            parts: BTreeMap::new(),
            changed: HashSet::new(),
        }
    }

    /// Adds a change if it is one and there is room for it.
    fn add(&mut self, change: &LifeChange) {
        let id = &change.machine;
        let Some(entry) = self.view.machines.get(id) else {
            return;
        };
        let mut machine = entry.value.clone();
        let group = part_id(&machine.zone, &machine.part);
        let part = self.view.part_of(id);
        let part = part.map_or_else(|| group.clone(), |part| part.to_string());
        if !may_become(&machine, change.life) || !self.has_room(&group, &part) {
            return;
        }
        machine.life = change.life;
        self.groups.put(id, machine);
        self.changed.insert(id.clone());
        if change.life != Life::Active {
            self.leave_part(id, part);
        }
    }

    /// Whether the records of a group and of a part fit into the commit.
    fn has_room(&self, group: &str, part: &str) -> bool {
        // A group and perhaps its part, which is about as long: half of the
        // writes are for groups, the other half is for parts.
        let for_groups = self.max_writes / 2;
        let for_parts = self.max_writes - for_groups;
        let groups_full = self.groups.is_full(for_groups) || self.groups.bytes() > COMMIT_BYTES / 3;
        let parts_full = self.parts.len() >= for_parts;
        (self.parts.contains_key(part) || !parts_full) && (self.groups.has(group) || !groups_full)
    }

    /// Takes a machine out of its part's record. The part is guarded even if
    /// the machine is not in its record: its holder could be putting it there
    /// just now.
    fn leave_part(&mut self, id: &str, part: String) {
        let Some(entry) = self.view.parts.get(&part) else {
            return;
        };
        let edited = self.parts.entry(part).or_insert_with(|| EditedPart {
            record: entry.value.clone(),
            changed: false,
        });
        edited.changed |= edited.record.machines.remove(id).is_some();
    }

    fn into_commit(self) -> (Vec<Guard>, Vec<Write>) {
        let (mut guards, mut writes) = self.groups.into_commit();
        for (id, part) in self.parts {
            guards.push(guard(part_key(&id), self.view.part_version(&id)));
            if part.changed {
                writes.push(self.view.put_part(&id, &part.record));
            }
        }
        (guards, writes)
    }
}

/// Safety 5: returning is never undone.
fn may_become(machine: &Machine, life: Life) -> bool {
    match machine.life {
        Life::Gone => false,
        Life::Returning => life == Life::Gone,
        current => current != life,
    }
}
