//! Where machines of large fleets are recorded: in which machine shard a new one is
//! put, and how long a zone shard may become.

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
use shelfhoist::wire::{Commit, Event, Precondition, Write};

use super::setup::settings;

proptest! {
    /// Every shard is in one group, none is larger than it may be, and machines of one
    /// rental are in the same group.
    #[test]
    fn groups_cover_all_shards(shards in 0usize..400, most in 1usize..16, block in 0u32..9000) {
        let machines = (0..64).map(|n| format!("host-{:06}", block * 64 + n));
        let first = ShardCandidates::select(&format!("host-{:06}", block * 64), shards, most);
        for machine in machines {
            prop_assert_eq!(&ShardCandidates::select(&machine, shards, most), &first);
        }
        prop_assert!(first.numbers().count() <= most);
        prop_assert_eq!(first.next_number(), shards);
        let groups: BTreeSet<Vec<usize>> = (0..20_000)
            .map(|n| ShardCandidates::select(&format!("host-{n:06}"), shards, most))
            .map(|candidates| candidates.numbers().collect())
            .collect();
        let covered: Vec<usize> = groups.iter().flatten().copied().collect();
        let distinct: BTreeSet<usize> = covered.iter().copied().collect();
        prop_assert_eq!(covered.len(), distinct.len(), "a shard in two groups");
        prop_assert!(distinct.iter().all(|number| *number < shards));
    }

    /// Whichever machines leave a zone shard, its text stays within the bound that it
    /// was filled by.
    #[test]
    fn zone_shards_stay_within_their_bound(
        numbers in proptest::collection::btree_set(0u32..5000, 1..400),
        leaving in proptest::collection::vec(any::<bool>(), 400),
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
        let mut leaving = leaving.into_iter();
        shard.machines.retain(|_, _| !leaving.next().unwrap_or(false));
        let length = encoding::encode_zone_shard(&shard).expect("a text").len();
        // The record's own brackets stand beside its classes.
        prop_assert!(length <= bound + "{\"m\":[]}".len(), "{length} of {bound}");
    }
}

/// Shards of the only home of zone `a`, full or with capacity, under the newest formats.
struct Home {
    settings: Settings,
    replica: Replica,
    version: u64,
}

impl Home {
    fn new(shards: usize) -> Self {
        let mut home = Home {
            settings: settings(),
            replica: Replica::default(),
            version: 1,
        };
        let formats = json!({"n": {}, "a": FORMATS});
        home.apply(vec![Event::put(FORMATS_KEY.into(), &formats, 1)]);
        for number in 0..shards {
            home.put_shard(number, 70);
        }
        home
    }

    fn name(&self) -> String {
        self.settings
            .preferred_owner("host-000000", "a")
            .to_string()
    }

    fn apply(&mut self, events: Vec<Event>) {
        self.replica.apply_events(events, self.version);
    }

    /// Records a shard with so many machines.
    fn put_shard(&mut self, number: usize, machines: usize) {
        self.version += 1;
        let id = format!("a/{}.{number}", self.name());
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

    /// The commit that takes up a new machine, as decided on the present state.
    fn take_up(&self, machine: &str) -> (Vec<Precondition>, Vec<Write>) {
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

    /// Carries a commit out if its conditions hold.
    fn commit(&mut self, (preconditions, writes): (Vec<Precondition>, Vec<Write>)) -> bool {
        let holds = |precondition: &Precondition| {
            let id = precondition.key.trim_start_matches("sh/machine/");
            self.replica.machine_shard_version(id) == precondition.version
        };
        let held = preconditions.iter().all(holds);
        if held {
            self.version += 1;
            self.replica.apply_commit(&writes, self.version);
        }
        held
    }
}

/// A machine whose home is the one that the shards belong to.
fn machine_of_home(home: &Home) -> String {
    let wanted = home.name();
    let mut names = (0..1000).map(|n| format!("host-{n:06}"));
    names
        .find(|name| home.settings.preferred_owner(name, "a") == wanted)
        .expect("a machine")
}

/// Two controllers take up the same machine on different views of the state: one does
/// so after the other has, after shards were filled, emptied or created, or before.
#[test]
fn a_new_machine_is_put_into_one_shard() {
    type Change = fn(&mut Home);
    let changes: [(&str, Change); 5] = [
        ("nothing", |_| ()),
        ("a shard is created", |home| home.put_shard(40, 1)),
        ("two are created", |home| {
            home.put_shard(40, 70);
            home.put_shard(41, 1);
        }),
        ("all have room", |home| {
            for number in 0..40 {
                home.put_shard(number, 1);
            }
        }),
        ("the first group has room", |home| home.put_shard(0, 1)),
    ];
    for (what, change) in changes {
        let mut home = Home::new(40);
        let machine = machine_of_home(&home);
        let early = home.take_up(&machine);
        let most = home.settings.txn_ops() * 4;
        assert!(early.0.len() <= most / 2, "{} conditions", early.0.len());
        change(&mut home);
        let late = home.take_up(&machine);
        let first = home.commit(late);
        let second = home.commit(early);
        assert!(first, "{what}: the newer view fails");
        assert!(!second, "{what}: recorded twice");
        assert!(home.replica.machines.contains_key(&machine));
    }
}

/// Before all controllers know of groups, and before a shard of the home was written
/// after that, every shard is a condition: an older program relies on it.
#[test]
fn all_shards_are_conditions_until_older_commits_are_void() {
    let mut home = Home::new(10);
    let machine = machine_of_home(&home);
    let grouped = home.take_up(&machine).0.len();
    for (formats, conditions) in [(FORMATS_COMPACT, 11), (FORMATS, 11)] {
        home.version += 1;
        let known = json!({"n": {}, "a": formats});
        let version = home.version;
        home.apply(vec![Event::put(FORMATS_KEY.into(), &known, version)]);
        assert_eq!(home.take_up(&machine).0.len(), conditions, "{formats}");
    }
    home.put_shard(3, 70);
    assert_eq!(home.take_up(&machine).0.len(), grouped);
    assert!(grouped < 11, "{grouped}");
}

/// A zone shard that would be too long once machines leave it is split in one commit,
/// and the halves are not merged again.
#[test]
fn a_zone_shard_that_may_outgrow_its_record_is_split() {
    let mut replica = Replica::with_compact_limit(Some(2048));
    let slot = MachineSlot {
        kind: "big".into(),
        spot: false,
        free: Resources::default(),
        unbooked: Resources::default(),
    };
    let machines = (0..700).map(|n| (format!("host-{n:06}"), slot.clone()));
    let shard = ZoneShard {
        machines: machines.collect(),
    };
    let formats = json!({"n": {}, "a": FORMATS});
    replica.apply_events(vec![Event::put(FORMATS_KEY.into(), &formats, 1)], 1);
    let write = replica.put_zone_shard("a/n0.0", &shard);
    replica.apply_commit(&[write], 2);
    let left = Default::default();
    let Commit {
        preconditions,
        writes,
    } = compaction::split_long(&replica, &left, &|_| true).expect("a split");
    assert_eq!((preconditions.len(), writes.len()), (2, 2));
    replica.apply_commit(&writes, 3);
    assert_eq!(replica.plan_slots().count(), 700);
    assert!(compaction::split_long(&replica, &left, &|_| true).is_none());
    assert!(compaction::merge(&replica, &left, &|_| true).is_none());
}
