//! Shards in large fleets: the machine shard in which a new machine is recorded, and the size
//! limits of zone shards.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use serde_json::json;
use shelfhoist::compaction;
use shelfhoist::scheduler::{MachineShardEdits, ShardCandidates};
use shelfhoist::settings::Settings;
use shelfhoist::state::encoding;
use shelfhoist::state::keys::{FORMATS_KEY, machine_shard_key};
use shelfhoist::state::records::*;
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Commit, Event, Precondition};

use super::setup::{active_machine, settings};

proptest! {
    /// No shard is in two groups, no group exceeds its maximum size, and machines of one
    /// scale-out select the same group.
    #[test]
    fn shard_groups_are_disjoint_and_bounded(shards in 0usize..400, max_shards in 1usize..16, block in 0u32..9000) {
        let machines = (0..64).map(|n| format!("host-{:06}", block * 64 + n));
        let first = ShardCandidates::select(&format!("host-{:06}", block * 64), shards, max_shards);
        for machine in machines {
            prop_assert_eq!(&ShardCandidates::select(&machine, shards, max_shards), &first);
        }
        prop_assert!(first.numbers().count() <= max_shards);
        prop_assert_eq!(first.next_number(), shards);
        let groups: BTreeSet<Vec<usize>> = (0..20_000)
            .map(|n| ShardCandidates::select(&format!("host-{n:06}"), shards, max_shards))
            .map(|candidates| candidates.numbers().collect())
            .collect();
        let covered: Vec<usize> = groups.iter().flatten().copied().collect();
        let distinct: BTreeSet<usize> = covered.iter().copied().collect();
        prop_assert_eq!(covered.len(), distinct.len(), "a shard in two groups");
        prop_assert!(distinct.iter().all(|number| *number < shards));
    }

    /// The bound on the length of a zone shard's text still holds after any machines are removed
    /// from the shard.
    #[test]
    fn zone_shards_stay_within_their_bound(
        numbers in proptest::collection::btree_set(0u32..5000, 1..400),
        is_removed in proptest::collection::vec(any::<bool>(), 400),
    ) {
        let slot = |n: u32| MachineSlot {
            kind: ["big", "small"][n as usize % 2].into(),
            spot: n % 3 == 0,
            free: Resources::default(),
            unbooked: Resources::default(),
        };
        let machines = numbers.iter().map(|n| (format!("host-{n:06}"), slot(*n)));
        let mut shard = ZoneShard { machines: machines.collect() };
        let bound = encoding::zone_shard_bytes_bound(&shard);
        let mut is_removed = is_removed.into_iter();
        shard.machines.retain(|_, _| !is_removed.next().unwrap_or(false));
        let length = encoding::encode_zone_shard(&shard).expect("a text").len();
        // The bound does not include the braces and brackets around the shard's classes.
        prop_assert!(length <= bound + "{\"m\":[]}".len(), "{length} of {bound}");
    }
}

/// The machine shards of one controller, the only one in zone `a`. In the replica, all
/// controllers can read the newest formats.
struct OwnerShards {
    settings: Settings,
    replica: Replica,
    version: u64,
}

impl OwnerShards {
    fn new(shards: usize) -> Self {
        let mut owner = OwnerShards {
            settings: settings(),
            replica: Replica::default(),
            version: 1,
        };
        let formats = json!({"n": {}, "a": FORMATS});
        owner.apply(vec![Event::put(FORMATS_KEY.into(), &formats, 1)]);
        for number in 0..shards {
            owner.put_shard(number, 70);
        }
        owner
    }

    fn owner_name(&self) -> String {
        self.settings
            .preferred_owner("host-000000", "a")
            .to_string()
    }

    fn apply(&mut self, events: Vec<Event>) {
        self.replica.apply_events(events, self.version);
    }

    /// Records a shard with the given number of machines.
    fn put_shard(&mut self, number: usize, machines: usize) {
        self.version += 1;
        let id = format!("a/{}.{number}", self.owner_name());
        let member = |n: usize| {
            let name = format!("known-{:06}", number * 100 + n);
            (name, Machine::new("grande-occhio", "a"))
        };
        let shard = MachineShard {
            machines: (0..machines).map(member).collect::<BTreeMap<_, _>>(),
        };
        let event = Event::put(machine_shard_key(&id), &shard, self.version);
        self.apply(vec![event]);
    }

    /// Returns the commit that records a new machine, based on the present replica.
    fn commit_of_new_machine(&self, machine: &str) -> Commit {
        let mut shards = MachineShardEdits::new(&self.replica);
        let shard = shards
            .allocate_shard(&self.settings, machine, "grande-occhio", "a")
            .expect("a shard");
        let record = Machine {
            shard,
            ..Machine::new("grande-occhio", "a")
        };
        shards.put(machine, record);
        shards.into_commit()
    }

    /// Applies a commit if its preconditions are met. Returns whether it was applied.
    fn commit(&mut self, commit: Commit) -> bool {
        let Commit {
            preconditions,
            writes,
        } = commit;
        let is_met = |precondition: &Precondition| {
            let id = precondition.key.trim_start_matches("sh/machine/");
            self.replica.machine_shard_version(id) == precondition.version
        };
        let is_applied = preconditions.iter().all(is_met);
        if is_applied {
            self.version += 1;
            self.replica.apply_commit(&writes, self.version);
        }
        is_applied
    }
}

/// Returns the name of a machine whose preferred owner is the owner of the shards.
fn machine_of_owner(owner: &OwnerShards) -> String {
    let expected_owner = owner.owner_name();
    let mut names = (0..1000).map(|n| format!("host-{n:06}"));
    names
        .find(|name| owner.settings.preferred_owner(name, "a") == expected_owner)
        .expect("a machine")
}

/// Two controllers record the same machine. Their replicas differ, because shards were filled,
/// emptied or created in between. The commit that is applied second must fail, or the machine
/// would be recorded in two shards.
#[test]
fn concurrent_commits_put_a_new_machine_into_one_shard() {
    type Change = fn(&mut OwnerShards);
    let changes: [(&str, Change); 5] = [
        ("no change", |_| ()),
        ("a shard is created", |owner| owner.put_shard(40, 1)),
        ("two shards are created", |owner| {
            owner.put_shard(40, 70);
            owner.put_shard(41, 1);
        }),
        ("all shards have capacity", |owner| {
            for number in 0..40 {
                owner.put_shard(number, 1);
            }
        }),
        ("the first group has capacity", |owner| {
            owner.put_shard(0, 1)
        }),
    ];
    for (name, change) in changes {
        let mut owner = OwnerShards::new(40);
        let machine = machine_of_owner(&owner);
        let older_commit = owner.commit_of_new_machine(&machine);
        let max_preconditions = owner.settings.max_writes_per_commit() * 4;
        assert!(
            older_commit.preconditions.len() <= max_preconditions / 2,
            "{} preconditions",
            older_commit.preconditions.len()
        );
        change(&mut owner);
        let newer_commit = owner.commit_of_new_machine(&machine);
        let newer_applied = owner.commit(newer_commit);
        let older_applied = owner.commit(older_commit);
        assert!(
            newer_applied,
            "{name}: the commit based on the newer replica failed"
        );
        assert!(!older_applied, "{name}: the machine is recorded twice");
        assert!(owner.replica.machines.contains_key(&machine));
    }
}

/// A commit that records a new machine normally has preconditions only on the owner's shards in
/// one group. Older versions of the program expect a precondition on every shard of the owner.
/// All of them are therefore preconditions until every controller supports groups and, after
/// that, a shard of the owner has been written, so that older commits in flight fail.
#[test]
fn all_shards_are_preconditions_until_older_commits_are_void() {
    let mut owner = OwnerShards::new(10);
    let machine = machine_of_owner(&owner);
    let grouped_count = owner.commit_of_new_machine(&machine).preconditions.len();
    for (formats, precondition_count) in [(FORMATS_COMPACT, 11), (FORMATS, 11)] {
        owner.version += 1;
        let formats_record = json!({"n": {}, "a": formats});
        let version = owner.version;
        owner.apply(vec![Event::put(
            FORMATS_KEY.into(),
            &formats_record,
            version,
        )]);
        assert_eq!(
            owner.commit_of_new_machine(&machine).preconditions.len(),
            precondition_count,
            "{formats}"
        );
    }
    owner.put_shard(3, 70);
    assert_eq!(
        owner.commit_of_new_machine(&machine).preconditions.len(),
        grouped_count
    );
    assert!(grouped_count < 11, "{grouped_count}");
}

/// A zone shard whose record would be too large once machines are removed from it is split in
/// one commit, and the halves are not merged again.
#[test]
fn zone_shard_that_may_exceed_its_record_is_split() {
    let mut replica = Replica::with_compact_limit(Some(2048));
    let slot = MachineSlot {
        kind: "big".into(),
        spot: false,
        free: Resources::default(),
        unbooked: Resources::default(),
    };
    let names = || (0..700).map(|n| format!("host-{n:06}"));
    let shard = ZoneShard {
        machines: names().map(|name| (name, slot.clone())).collect(),
    };
    let machine = active_machine("big", "a");
    let machine_shard = MachineShard {
        machines: names().map(|name| (name, machine.clone())).collect(),
    };
    let formats = json!({"n": {}, "a": FORMATS});
    let events = vec![
        Event::put(FORMATS_KEY.into(), &formats, 1),
        Event::put(machine_shard_key("a/n0.0"), &machine_shard, 1),
    ];
    replica.apply_events(events, 1);
    let write = replica.put_zone_shard("a/n0.0", &shard);
    replica.apply_commit(&[write], 2);
    let left = Default::default();
    let Commit {
        preconditions,
        writes,
    } = compaction::split_long(&replica, &left, &|_| true).expect("a split");
    assert_eq!((preconditions.len(), writes.len()), (2, 2));
    replica.apply_commit(&writes, 3);
    assert_eq!(replica.placeable_machines().count(), 700);
    assert!(compaction::split_long(&replica, &left, &|_| true).is_none());
    assert!(compaction::merge(&replica, &left, &|_| true).is_none());
}
