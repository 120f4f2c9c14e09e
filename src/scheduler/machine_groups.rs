//! Groups of machines as one commit will leave them.

use std::collections::{BTreeMap, BTreeSet};

use super::transaction::{COMMIT_BYTES, GUARDS_PER_WRITE};
use crate::model::{Group, Machine, machine_bytes, slot_bytes};
use crate::node::guard;
use crate::settings::Settings;
use crate::text;
use crate::view::{View, group_key, part_id};
use crate::wire::{Guard, Write};

const MEMBER: usize = 125;

/// Groups of machines as one commit will leave them.
pub struct Groups<'a> {
    view: &'a View,
    edited: BTreeMap<String, Group>,
    /// Groups that must be as they are, too.
    guarded: BTreeSet<String>,
}

impl<'a> Groups<'a> {
    pub fn new(view: &'a View) -> Self {
        Groups {
            view,
            edited: BTreeMap::new(),
            guarded: BTreeSet::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.edited.len()
    }

    pub fn is_empty(&self) -> bool {
        self.edited.is_empty()
    }

    /// Whether a commit of `ops` writes, with its conditions, can hold no more.
    pub fn is_full(&self, ops: usize) -> bool {
        let guards = self.edited.len() + self.guarded.len();
        // The next may bring a whole group with it.
        let largest = self
            .view
            .groups
            .values()
            .map(|g| g.value.machines.len())
            .max();
        let largest = largest.unwrap_or(0).max(1);
        let bytes = self.bytes() + (largest + guards) * self.member();
        // One that is to be split is written as two.
        let split = self.edited.iter().filter(|(id, g)| self.splits(id, g));
        let writes = self.edited.len() + split.count();
        bytes > COMMIT_BYTES || writes >= ops || guards >= ops * (GUARDS_PER_WRITE - 1)
    }

    /// About how long it is as a request.
    pub fn bytes(&self) -> usize {
        let all: usize = self.edited.values().map(|g| g.machines.len()).sum();
        all * self.member()
    }

    /// About what a machine takes in the text that its group will have.
    fn member(&self) -> usize {
        match self.view.is_short() {
            true => text::MEMBER,
            false => MEMBER,
        }
    }

    /// Whether a group is too long for a record even in the short text. One
    /// whose part could still be changed by what was decided before these were
    /// written stays whole: its machines' slots must not be looked for elsewhere.
    fn splits(&self, id: &str, group: &Group) -> bool {
        let Some(most) = self.view.shrink_to.filter(|_| self.view.is_short()) else {
            return false;
        };
        // What it takes at the most is quickly told.
        let each = |(name, m): (&String, &Machine)| {
            name.len() * 2 + machine_bytes("", &m.kind, m.holder.len())
        };
        group.machines.len() > 1
            && group.machines.iter().map(each).sum::<usize>() > most
            && self.view.is_short_part(id)
            && text::short_group(group).is_some_and(|t| t.len() > most)
    }

    /// Takes the last machines out of groups that are too long, into new ones
    /// of the same home. Both are in the commit, under guard: no machine is lost
    /// or doubled.
    fn split_long(&mut self) {
        let long = self.edited.iter().filter(|(id, g)| self.splits(id, g));
        let long: Vec<String> = long.map(|(id, _)| id.clone()).collect();
        for id in long {
            let Some((home, _)) = id.rsplit_once('.') else {
                continue;
            };
            let used =
                |id: &String| self.view.groups.contains_key(id) || self.edited.contains_key(id);
            let Some(free) = (0..).map(|n| format!("{home}.{n}")).find(|id| !used(id)) else {
                continue;
            };
            let (zone, part) = free.split_once('/').unwrap_or((&free, ""));
            let (zone, part) = (zone.to_string(), part.to_string());
            let Some(group) = self.edited.get_mut(&id) else {
                continue;
            };
            let names: Vec<String> = group.machines.keys().cloned().collect();
            let mut new = Group::default();
            for name in &names[names.len() / 2..] {
                if let Some(mut machine) = group.machines.remove(name) {
                    machine.zone.clone_from(&zone);
                    machine.part.clone_from(&part);
                    new.machines.insert(name.clone(), machine);
                }
            }
            self.edited.insert(free, new);
        }
    }

    pub fn has(&self, id: &str) -> bool {
        self.edited.contains_key(id)
    }

    pub fn edit(&mut self, id: &str) -> &mut BTreeMap<String, Machine> {
        let view = self.view;
        let group = self.edited.entry(id.to_string()).or_insert_with(|| {
            let known = view.groups.get(id).map(|e| e.value.clone());
            known.unwrap_or_default()
        });
        &mut group.machines
    }

    /// Puts a machine where its zone and part say.
    pub fn put(&mut self, name: &str, machine: Machine) {
        let id = part_id(&machine.zone, &machine.part);
        self.edit(&id).insert(name.to_string(), machine);
    }

    /// The part that a machine without a record belongs to from now on: the
    /// first of its home controller's, in its zone, whose records have room
    /// for it. The home follows from the settings alone, and all of its parts
    /// are guarded: two controllers that take a machine up at once cannot put
    /// it into two.
    pub fn new_part(&mut self, settings: &Settings, name: &str, kind: &str, zone: &str) -> String {
        let home = settings.home(name, zone);
        let longest = settings.longest_name();
        let short = self.view.is_short();
        let bytes =
            |name: &str, kind: &str| slot_bytes(name, kind).max(machine_bytes(name, kind, longest));
        let mut found = None;
        let mut number = 0;
        loop {
            let part = format!("{home}.{number}");
            let id = part_id(zone, &part);
            // Each is a condition for the next: behind a few, those that wait for
            // the short text are as long as records may be until then.
            let most = match short || number < settings.txn_ops() {
                true => settings.value_bytes(),
                false => settings.longest_value(),
            };
            let most = most * 9 / 10;
            let known = self.view.groups.get(&id).map(|e| &e.value);
            let here = self.edited.get(&id).or(known);
            // The machines' slots stand in few parts by themselves then.
            let used: usize = match short {
                true => here.map_or(0, |g| text::group_bytes(&g.machines, longest)),
                false => here
                    .iter()
                    .flat_map(|g| &g.machines)
                    .map(|(n, m)| bytes(n, &m.kind))
                    .sum(),
            };
            let one = match short {
                true => text::member_bytes(name, kind, longest),
                false => bytes(name, kind),
            };
            self.guarded.insert(id);
            // One that alone is too long for a record still has a part.
            if found.is_none() && (used == 0 || used + one <= most) {
                found = Some(part);
            }
            // Parts are taken in order: behind one that is not there is none.
            if here.is_none() {
                return found.unwrap_or(format!("{home}.{number}"));
            }
            number += 1;
        }
    }

    pub fn into_commit(mut self) -> (Vec<Guard>, Vec<Write>) {
        self.split_long();
        let all: BTreeSet<&String> = self.edited.keys().chain(&self.guarded).collect();
        let guards = all
            .into_iter()
            .map(|id| guard(group_key(id), self.view.group_version(id)))
            .collect();
        // An empty group stays: its parts are numbered without gaps.
        let writes = self
            .edited
            .iter()
            .map(|(id, group)| self.view.put_group(id, group))
            .collect();
        (guards, writes)
    }
}
