//! Changes of machine shards in one transaction. A machine shard's record states which
//! controller owns each of its machines.

use std::collections::{BTreeMap, BTreeSet};

use super::machine_shard_limits::{ShardRecordSizes, max_preconditions, max_shard_bytes};
use super::shard_allocation::{ShardCandidates, max_group_size, numbered_shard_id, uses_groups};
use super::transaction::{COMMIT_BYTES, PRECONDITIONS_PER_WRITE};
use crate::settings::Settings;
use crate::state::commit::precondition;
use crate::state::encoding;
use crate::state::keys::{machine_shard_key, shard_id};
use crate::state::records::{Machine, MachineShard, machine_entry_bytes};
use crate::state::replica::Replica;
use crate::wire::Commit;

/// Estimated size of a machine in a machine shard's record, in bytes.
const MACHINE_BYTES: usize = 125;

/// Changes of machine shards in one transaction.
pub struct MachineShardEdits<'a> {
    replica: &'a Replica,
    /// Changed machine shards, by id.
    edited: BTreeMap<String, MachineShard>,
    /// Ids of machine shards that the commit guards (with a precondition on their version)
    /// in addition to the changed ones.
    guarded: BTreeSet<String>,
}

impl<'a> MachineShardEdits<'a> {
    /// Creates a set of edits without changes.
    pub fn new(replica: &'a Replica) -> Self {
        MachineShardEdits {
            replica,
            edited: BTreeMap::new(),
            guarded: BTreeSet::new(),
        }
    }

    /// Returns the number of changed machine shards.
    pub fn len(&self) -> usize {
        self.edited.len()
    }

    /// Returns whether no machine shard is changed.
    pub fn is_empty(&self) -> bool {
        self.edited.is_empty()
    }

    /// Returns whether a commit of at most `ops` writes, with its guards, has no capacity
    /// for another change.
    pub fn is_full(&self, ops: usize) -> bool {
        let preconditions = self.edited.len() + self.guarded.len();
        // The next change may add a whole machine shard to the commit.
        let sizes = self
            .replica
            .machine_shards
            .values()
            .map(|shard| shard.value.machines.len());
        let largest = sizes.max().unwrap_or(0).max(1);
        let bytes = self.bytes() + (largest + preconditions) * self.machine_bytes();
        // A machine shard that must be split is written as two records.
        let split = self
            .edited
            .iter()
            .filter(|(id, shard)| self.must_split(id, shard));
        let writes = self.edited.len() + split.count();
        bytes > COMMIT_BYTES
            || writes >= ops
            || preconditions >= ops * (PRECONDITIONS_PER_WRITE - 1)
    }

    /// Returns the estimated size of the changes as a request, in bytes.
    pub fn bytes(&self) -> usize {
        let machines: usize = self.edited.values().map(|s| s.machines.len()).sum();
        machines * self.machine_bytes()
    }

    /// Returns the estimated size of a machine in the encoding that its machine shard will
    /// have, in bytes.
    fn machine_bytes(&self) -> usize {
        match self.replica.uses_compact_encoding() {
            true => encoding::MACHINE_ENTRY_BYTES,
            false => MACHINE_BYTES,
        }
    }

    /// Returns whether a machine shard must be split because it is too large for a record
    /// even in the compact encoding.
    ///
    /// A commit that was decided before compact encodings were written expects the slots of
    /// all machines of a machine shard in the zone shard with the same id. As long as such
    /// a commit could still change that zone shard, the machine shard is not split.
    fn must_split(&self, id: &str, machine_shard: &MachineShard) -> bool {
        let Some(limit) = self
            .replica
            .compact_limit
            .filter(|_| self.replica.uses_compact_encoding())
        else {
            return false;
        };
        // The upper bound is cheap to compute, so it is checked before the shard is
        // encoded.
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

    /// Moves the second half of the machines of each oversized machine shard into a new
    /// shard of the same owner and zone. Both shards are written and guarded by the same
    /// commit, so no machine is lost or duplicated.
    fn split_oversized(&mut self) {
        let oversized = self
            .edited
            .iter()
            .filter(|(id, shard)| self.must_split(id, shard));
        let oversized: Vec<String> = oversized.map(|(id, _)| id.clone()).collect();
        for id in oversized {
            let Some((prefix, _)) = id.rsplit_once('.') else {
                continue;
            };
            let Some(new_id) = self.unused_id(prefix) else {
                continue;
            };
            if let Some(machine_shard) = self.edited.get_mut(&id) {
                let half = second_half(machine_shard, &new_id);
                self.edited.insert(new_id, half);
            }
        }
    }

    /// Returns the first unused machine shard id with this prefix (`zone/owner`).
    fn unused_id(&self, prefix: &str) -> Option<String> {
        let taken = |id: &String| {
            self.replica.machine_shards.contains_key(id) || self.edited.contains_key(id)
        };
        (0..)
            .map(|number| format!("{prefix}.{number}"))
            .find(|id| !taken(id))
    }

    /// Returns whether a machine shard is changed.
    pub fn contains(&self, id: &str) -> bool {
        self.edited.contains_key(id)
    }

    /// Returns a machine shard's machines for changes, and marks the shard to be written.
    pub fn edit(&mut self, id: &str) -> &mut BTreeMap<String, Machine> {
        let replica = self.replica;
        let machine_shard = self.edited.entry(id.to_string()).or_insert_with(|| {
            let known = replica.machine_shards.get(id).map(|e| e.value.clone());
            known.unwrap_or_default()
        });
        &mut machine_shard.machines
    }

    /// Adds a machine to the machine shard given by the machine's `zone` and `shard`
    /// fields, or replaces it there.
    pub fn put(&mut self, name: &str, machine: Machine) {
        let id = shard_id(&machine.zone, &machine.shard);
        self.edit(&id).insert(name.to_string(), machine);
    }

    /// Selects the machine shard for a machine that has no record yet, guards the shards
    /// that the selection depends on, and returns the name of the selected shard. Returns
    /// `None` if the commit has no capacity for these guards.
    ///
    /// The candidates are shards that the machine's preferred owner, which is determined by
    /// the settings alone, has in the zone. The first candidate with space in its record is
    /// selected, or a new shard if none has space.
    pub fn allocate_shard(
        &mut self,
        settings: &Settings,
        name: &str,
        kind: &str,
        zone: &str,
    ) -> Option<String> {
        let owner = settings.preferred_owner(name, zone);
        let shards = self.shard_count(zone, owner);
        let grouped = uses_groups(self.replica, &shard_id(zone, owner));
        let candidates = match grouped {
            true => ShardCandidates::select(name, shards, max_group_size(settings)),
            false => ShardCandidates::all(shards),
        };
        let guarded: BTreeSet<String> = candidates
            .numbers()
            .chain([candidates.next_number()])
            .map(|number| numbered_shard_id(zone, owner, number))
            .collect();
        if self.precondition_count_with(&guarded) > max_preconditions(settings, grouped) {
            return None;
        }
        self.guarded.extend(guarded);
        let sizes = ShardRecordSizes {
            compact: self.replica.uses_compact_encoding(),
            max_name_length: settings.max_controller_name_length(),
        };
        let added_bytes = sizes.machine_bytes(name, kind);
        let with_capacity = candidates.numbers().find(|number| {
            let max_bytes = max_shard_bytes(settings, sizes.compact, *number);
            let id = numbered_shard_id(zone, owner, *number);
            self.has_capacity_for(&id, added_bytes, max_bytes, &sizes)
        });
        let number = with_capacity.unwrap_or(candidates.next_number());
        Some(format!("{owner}.{number}"))
    }

    /// Returns whether the shard's record can grow by this number of bytes.
    fn has_capacity_for(
        &self,
        id: &str,
        added_bytes: usize,
        max_bytes: usize,
        sizes: &ShardRecordSizes,
    ) -> bool {
        let used_bytes = self.shard(id).map_or(0, |shard| sizes.shard_bytes(shard));
        // A machine that is too large even for an empty record is put into an empty shard.
        used_bytes == 0 || used_bytes + added_bytes <= max_bytes
    }

    /// Returns the number of machine shards of an owner in a zone, including those that
    /// this commit creates.
    fn shard_count(&self, zone: &str, owner: &str) -> usize {
        let exists = |number: &usize| {
            self.shard(&numbered_shard_id(zone, owner, *number))
                .is_some()
        };
        (0..).take_while(exists).count()
    }

    /// Returns a machine shard as it is after this commit.
    fn shard(&self, id: &str) -> Option<&MachineShard> {
        let known = || self.replica.machine_shards.get(id).map(|e| &e.value);
        self.edited.get(id).or_else(known)
    }

    /// Returns the number of machine shards that the commit would guard, changed ones
    /// included, if the shards in `more` were guarded too.
    fn precondition_count_with(&self, more: &BTreeSet<String>) -> usize {
        let edited: BTreeSet<&String> = self.edited.keys().collect();
        let guarded = self.guarded.iter().chain(more);
        edited
            .into_iter()
            .chain(guarded)
            .collect::<BTreeSet<_>>()
            .len()
    }

    /// Returns the commit. It guards every machine shard that it changes or depends on.
    pub fn into_commit(mut self) -> Commit {
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
        // An empty machine shard is kept, as shards are numbered without gaps.
        let writes = self
            .edited
            .iter()
            .map(|(id, machine_shard)| self.replica.put_machine_shard(id, machine_shard))
            .collect();
        Commit {
            preconditions,
            writes,
        }
    }
}

/// Removes the second half of a machine shard's machines, and returns it as a machine
/// shard with this id.
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
