//! Machine shards as one transaction will leave them. A machine shard's record says
//! which controller holds each of its machines.

use std::collections::{BTreeMap, BTreeSet};

use super::machine_shard_limits::{ShardRecordSizes, max_preconditions, max_shard_bytes};
use super::shard_allocation::{ShardCandidates, max_group, numbered_id, uses_groups};
use super::transaction::{COMMIT_BYTES, PRECONDITIONS_PER_WRITE};
use crate::settings::Settings;
use crate::state::commit::precondition;
use crate::state::encoding;
use crate::state::keys::{machine_shard_key, shard_id};
use crate::state::records::{Machine, MachineShard, machine_entry_bytes};
use crate::state::replica::Replica;
use crate::wire::{Precondition, Write};

/// About what a machine takes in a machine shard's record, in bytes.
const MACHINE_BYTES: usize = 125;

/// Machine shards as one transaction will leave them.
pub struct MachineShardEdits<'a> {
    replica: &'a Replica,
    /// The machine shards that are changed, by id.
    edited: BTreeMap<String, MachineShard>,
    /// The ids of shards that must be as they are, too.
    guarded: BTreeSet<String>,
}

impl<'a> MachineShardEdits<'a> {
    /// No machine shard is changed yet.
    pub fn new(replica: &'a Replica) -> Self {
        MachineShardEdits {
            replica,
            edited: BTreeMap::new(),
            guarded: BTreeSet::new(),
        }
    }

    /// How many machine shards are changed.
    pub fn len(&self) -> usize {
        self.edited.len()
    }

    /// Whether no machine shard is changed.
    pub fn is_empty(&self) -> bool {
        self.edited.is_empty()
    }

    /// Whether a commit of `ops` writes, with its guards, can hold no more.
    pub fn is_full(&self, ops: usize) -> bool {
        let preconditions = self.edited.len() + self.guarded.len();
        // The next may bring a whole machine shard with it.
        let sizes = self
            .replica
            .machine_shards
            .values()
            .map(|shard| shard.value.machines.len());
        let largest = sizes.max().unwrap_or(0).max(1);
        let bytes = self.bytes() + (largest + preconditions) * self.machine_bytes();
        // One that is to be split is written as two.
        let split = self
            .edited
            .iter()
            .filter(|(id, shard)| self.must_split(id, shard));
        let writes = self.edited.len() + split.count();
        bytes > COMMIT_BYTES
            || writes >= ops
            || preconditions >= ops * (PRECONDITIONS_PER_WRITE - 1)
    }

    /// About how long it is as a request, in bytes.
    pub fn bytes(&self) -> usize {
        let machines: usize = self.edited.values().map(|s| s.machines.len()).sum();
        machines * self.machine_bytes()
    }

    /// About what a machine takes in the text that its machine shard will have.
    fn machine_bytes(&self) -> usize {
        match self.replica.uses_compact_encoding() {
            true => encoding::MACHINE_ENTRY_BYTES,
            false => MACHINE_BYTES,
        }
    }

    /// Whether a machine shard is too long for a record even in the compact encoding. One
    /// whose zone shard could still be changed by what was decided before these were
    /// written stays whole: its machines' slots must not be looked for elsewhere.
    fn must_split(&self, id: &str, machine_shard: &MachineShard) -> bool {
        let Some(limit) = self
            .replica
            .compact_limit
            .filter(|_| self.replica.uses_compact_encoding())
        else {
            return false;
        };
        // The upper bound is quickly told.
        let upper_bound = |(name, machine): (&String, &Machine)| {
            name.len() * 2 + machine_entry_bytes("", &machine.kind, machine.owner.len())
        };
        machine_shard.machines.len() > 1
            && machine_shard
                .machines
                .iter()
                .map(upper_bound)
                .sum::<usize>()
                > limit
            && self.replica.is_compact_zone_shard(id)
            && encoding::encode_machine_shard(machine_shard).is_some_and(|text| text.len() > limit)
    }

    /// Takes the last machines out of machine shards that are too long, into new ones
    /// of the same home. Both are in the commit, under guard: no machine is lost
    /// or doubled.
    fn split_oversized(&mut self) {
        let oversized = self
            .edited
            .iter()
            .filter(|(id, shard)| self.must_split(id, shard));
        let oversized: Vec<String> = oversized.map(|(id, _)| id.clone()).collect();
        for id in oversized {
            let Some((home, _)) = id.rsplit_once('.') else {
                continue;
            };
            let Some(free) = self.free_id(home) else {
                continue;
            };
            if let Some(machine_shard) = self.edited.get_mut(&id) {
                let half = second_half(machine_shard, &free);
                self.edited.insert(free, half);
            }
        }
    }

    /// The first id of a home's machine shards that is not taken.
    fn free_id(&self, home: &str) -> Option<String> {
        let taken = |id: &String| {
            self.replica.machine_shards.contains_key(id) || self.edited.contains_key(id)
        };
        (0..)
            .map(|number| format!("{home}.{number}"))
            .find(|id| !taken(id))
    }

    /// Whether a machine shard is changed.
    pub fn contains(&self, id: &str) -> bool {
        self.edited.contains_key(id)
    }

    /// A machine shard's machines, to be changed.
    pub fn edit(&mut self, id: &str) -> &mut BTreeMap<String, Machine> {
        let replica = self.replica;
        let machine_shard = self.edited.entry(id.to_string()).or_insert_with(|| {
            let known = replica.machine_shards.get(id).map(|e| e.value.clone());
            known.unwrap_or_default()
        });
        &mut machine_shard.machines
    }

    /// Puts a machine into the shard that its record names.
    pub fn put(&mut self, name: &str, machine: Machine) {
        let id = shard_id(&machine.zone, &machine.shard);
        self.edit(&id).insert(name.to_string(), machine);
    }

    /// The shard that a machine without a record belongs to from now on: the first
    /// of its candidates with capacity for its records, or a new one. The home follows
    /// from the settings alone. `None` if the commit cannot hold the guards
    /// that this depends on.
    pub fn allocate_shard(
        &mut self,
        settings: &Settings,
        name: &str,
        kind: &str,
        zone: &str,
    ) -> Option<String> {
        let home = settings.preferred_owner(name, zone);
        let shards = self.shard_count(zone, home);
        let grouped = uses_groups(self.replica, &shard_id(zone, home));
        let candidates = match grouped {
            true => ShardCandidates::select(name, shards, max_group(settings)),
            false => ShardCandidates::all(shards),
        };
        let guarded: BTreeSet<String> = candidates
            .numbers()
            .chain([candidates.next()])
            .map(|number| numbered_id(zone, home, number))
            .collect();
        if self.precondition_count_with(&guarded) > max_preconditions(settings, grouped) {
            return None;
        }
        self.guarded.extend(guarded);
        let sizes = ShardRecordSizes {
            compact: self.replica.uses_compact_encoding(),
            max_name_length: settings.max_name_length(),
        };
        let added_bytes = sizes.machine_bytes(name, kind);
        let with_capacity = candidates.numbers().find(|number| {
            let max_bytes = max_shard_bytes(settings, sizes.compact, *number);
            let id = numbered_id(zone, home, *number);
            self.has_capacity_for(&id, added_bytes, max_bytes, &sizes)
        });
        let number = with_capacity.unwrap_or(candidates.next());
        Some(format!("{home}.{number}"))
    }

    /// Whether the shard's record can grow by so many bytes.
    fn has_capacity_for(
        &self,
        id: &str,
        added_bytes: usize,
        max_bytes: usize,
        sizes: &ShardRecordSizes,
    ) -> bool {
        let used_bytes = self.shard(id).map_or(0, |shard| sizes.shard_bytes(shard));
        // One that alone is too long for a record still has a shard.
        used_bytes == 0 || used_bytes + added_bytes <= max_bytes
    }

    /// How many machine shards a home has, those that this commit creates included.
    fn shard_count(&self, zone: &str, home: &str) -> usize {
        let exists = |number: &usize| self.shard(&numbered_id(zone, home, *number)).is_some();
        (0..).take_while(exists).count()
    }

    /// A machine shard as this commit leaves it.
    fn shard(&self, id: &str) -> Option<&MachineShard> {
        let known = || self.replica.machine_shards.get(id).map(|e| &e.value);
        self.edited.get(id).or_else(known)
    }

    /// How many machine shards must be as they are if these must be, too.
    fn precondition_count_with(&self, more: &BTreeSet<String>) -> usize {
        let edited: BTreeSet<&String> = self.edited.keys().collect();
        let guarded = self.guarded.iter().chain(more);
        edited
            .into_iter()
            .chain(guarded)
            .collect::<BTreeSet<_>>()
            .len()
    }

    /// Guards every machine shard that it depends on, and writes those that it changes.
    pub fn into_commit(mut self) -> (Vec<Precondition>, Vec<Write>) {
        self.split_oversized();
        let all: BTreeSet<&String> = self.edited.keys().chain(&self.guarded).collect();
        let preconditions = all
            .into_iter()
            .map(|id| {
                precondition(
                    machine_shard_key(id),
                    self.replica.machine_shard_version(id),
                )
            })
            .collect();
        // An empty machine shard stays: shards are numbered without gaps.
        let writes = self
            .edited
            .iter()
            .map(|(id, machine_shard)| self.replica.put_machine_shard(id, machine_shard))
            .collect();
        (preconditions, writes)
    }
}

/// Takes the second half of a machine shard's machines out of it, for a machine shard of this id.
fn second_half(machine_shard: &mut MachineShard, id: &str) -> MachineShard {
    let (zone, shard) = id.split_once('/').unwrap_or((id, ""));
    let names: Vec<String> = machine_shard.machines.keys().cloned().collect();
    let mut half = MachineShard::default();
    for name in &names[names.len() / 2..] {
        if let Some(mut machine) = machine_shard.machines.remove(name) {
            machine.zone = zone.to_string();
            machine.shard = shard.to_string();
            half.machines.insert(name.clone(), machine);
        }
    }
    half
}
