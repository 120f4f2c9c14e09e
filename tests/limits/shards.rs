//! Shards are split, merged and looked into.

use std::collections::{BTreeSet, HashMap};

use serde_json::json;

use super::setup::{LIMIT, next, production_view, spec, yard};
use shelfhoist::compaction;
use shelfhoist::scheduler::{
    self, AcceleratorProtection, MachineShardEdits, PlacementHints, Plan, Transaction, WaitReason,
};
use shelfhoist::state::encoding;
use shelfhoist::state::keys::{FORMATS_KEY, TYPES_KEY, job_key, zone_shard_key};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Commit, Event, JobKind, Write};

use shelfhoist::state::records::*;

/// A machine shard that is too long in its compact encoding, too, is split in the commit that
/// writes it: none is lost, doubled or changed, whichever record comes first.
#[test]
fn a_long_machine_shard_is_split_in_one_commit() {
    let mut replica = production_view(1, 60);
    let before = replica.machines.clone();
    // While what an older version decided may still arrive, it stays whole.
    let mut machine_shards = MachineShardEdits::new(&replica);
    machine_shards.edit("a/n0.0");
    assert_eq!(machine_shards.into_commit().1.len(), 1);
    let shard = replica.zone_shards["a/n0.0"].value.clone();
    let write = replica.put_zone_shard("a/n0.0", &shard);
    replica.apply_commit(&[write], 101);
    assert!(replica.is_compact_zone_shard("a/n0.0"));
    let mut version = 102;
    while replica.machine_shards.values().any(|g| {
        let text = encoding::encode_machine_shard(&g.value).expect("text");
        text.len() > LIMIT
    }) {
        let long = replica.machine_shards.iter().find(|(_, g)| {
            let text = encoding::encode_machine_shard(&g.value).expect("text");
            text.len() > LIMIT
        });
        let id = long.expect("a long one").0.clone();
        // A zone shard that is not there yet has to be, before a second split.
        let writes = [replica.put_zone_shard(
            &id,
            &replica
                .zone_shards
                .get(&id)
                .map_or(ZoneShard::default(), |p| p.value.clone()),
        )];
        replica.apply_commit(&writes, version);
        let mut machine_shards = MachineShardEdits::new(&replica);
        machine_shards.edit(&id);
        let (preconditions, mut writes) = machine_shards.into_commit();
        assert_eq!(writes.len(), 2, "{id}");
        for w in &writes {
            assert!(
                preconditions.iter().any(|g| g.key == w.key()),
                "{}",
                w.key()
            );
        }
        if version % 2 == 0 {
            writes.reverse();
        }
        replica.apply_commit(&writes, version + 1);
        version += 2;
    }
    assert_eq!(replica.machines.len(), before.len());
    let listed: usize = replica
        .machine_shards
        .values()
        .map(|g| g.value.machines.len())
        .sum();
    assert_eq!(listed, before.len());
    for (name, machine) in &before {
        let now = &replica.machines[name].value;
        let as_before = Machine {
            shard: machine.value.shard.clone(),
            ..now.clone()
        };
        assert_eq!(as_before, machine.value);
        let machine_shard = format!("{}/{}", now.zone, now.shard);
        assert!(
            replica.machine_shards[&machine_shard]
                .value
                .machines
                .contains_key(name)
        );
    }
}

/// Parts are merged by twos while there is room, and each machine is found where
/// it stands; a booking that counted on the old part meets a conflict.
#[test]
fn zone_shards_are_merged() {
    let mut replica = production_view(6, 54);
    let tended = |_: &str| true;
    assert!(compaction::merge(&replica, &HashMap::new(), &tended).is_none());
    let mut version = 200;
    for g in 0..6 {
        let id = format!("a/n0.{g}");
        let write = replica.put_zone_shard(&id, &replica.zone_shards[&id].value);
        version += 1;
        replica.apply_commit(&[write], version);
    }
    let mut steps = 0;
    while let Some(Commit {
        preconditions,
        mut writes,
    }) = compaction::merge(&replica, &HashMap::new(), &tended)
    {
        assert_eq!((preconditions.len(), writes.len()), (2, 2));
        for w in &writes {
            let id = w.key().trim_start_matches("sh/zone/");
            let precondition = preconditions
                .iter()
                .find(|g| g.key == w.key())
                .expect("a guard");
            assert_eq!(precondition.version, replica.zone_shard_version(id));
            let Write::Put { value, .. } = w else {
                panic!("{w:?}")
            };
            assert!(value.get().len() <= LIMIT);
        }
        if steps % 2 == 0 {
            writes.reverse();
        }
        version += 1;
        replica.apply_commit(&writes, version);
        steps += 1;
        assert_eq!(replica.plan_slots().count(), 6 * 54);
        for name in replica.machines.keys() {
            let shard = replica.zone_shard_of(name).expect("a part").to_string();
            assert!(
                replica.zone_shards[&shard]
                    .value
                    .machines
                    .contains_key(name)
            );
            assert!(replica.slot(name).is_some());
        }
    }
    let filled = replica
        .zone_shards
        .values()
        .filter(|p| !p.value.machines.is_empty());
    assert_eq!(filled.count(), 1, "after {steps}");
}

/// Places in as few zone shards as one commit writes beside the job and its team.
#[test]
fn a_gang_is_looked_for_in_two_zone_shards() {
    let mut shape = yard();
    shape.state["next"] = next();
    let set = shape.settings(0);
    let big = json!({"label": "big", "vcpus": 8.0, "cards": 0.0, "ram_gb": 16.0, "hourly": 0.8,
        "yards": ["a", "b"]});
    let formats = json!({"n": {}, "a": FORMATS});
    let mut events = vec![
        Event::put(FORMATS_KEY.into(), &formats, 1),
        Event::put(TYPES_KEY.into(), &json!({"types": [big]}), 1),
    ];
    let mut number = 0;
    for (id, machines) in [("a/n0.0", 3), ("a/n1.0", 3), ("b/n2.0", 5), ("b/n3.0", 2)] {
        let mut shard = ZoneShard::default();
        for _ in 0..machines {
            number += 1;
            let slot = MachineSlot {
                kind: "big".into(),
                spot: false,
                free: Resources::default(),
                unbooked: Resources::default(),
            };
            shard.machines.insert(format!("host-{number:06}"), slot);
        }
        events.push(Event::put(zone_shard_key(id), &shard, 2));
    }
    let mut gang = spec(JobKind::Gang, 8);
    gang.team = "t".into();
    gang.types = None;
    gang.need.cpus = Amount(8000);
    for (kind, tasks) in [
        (JobKind::Gang, 8),
        (JobKind::Gang, 9),
        (JobKind::Service, 9),
    ] {
        let spec = JobSpec {
            kind,
            tasks,
            ..gang.clone()
        };
        let job = Job::new(spec.clone(), 1);
        let mut events = events.clone();
        events.push(Event::put(job_key("job-1"), &job, 3));
        let mut replica = Replica::with_compact_limit(Some(LIMIT));
        replica.apply_events(events, 5);
        let plan = Plan::from_replica(&replica);
        let hints = PlacementHints::new(&replica, "n0");
        let found = scheduler::find_placements(
            &job,
            &spec,
            &plan,
            &hints,
            &set,
            AcceleratorProtection::Lax,
        );
        let Ok(places) = found else {
            // It fits the rooms of three zone shards only: machines are rented for it.
            assert_eq!((kind, tasks), (JobKind::Gang, 9), "{found:?}");
            assert_eq!(found, Err(WaitReason::NoCapacity));
            continue;
        };
        assert_eq!(places.len(), tasks as usize, "{kind:?}");
        let zone_shards: BTreeSet<&str> = places.iter().map(|p| &*p.shard).collect();
        let mut transaction = Transaction::new(&replica, set.txn_ops());
        let booked = transaction.book("job-1", &spec, &places);
        assert!(transaction.into_commit().1.len() <= set.txn_ops());
        match kind {
            JobKind::Gang => assert_eq!((zone_shards.len(), booked), (2, 8)),
            // Replica by replica: the rest go into the next commit.
            _ => assert!(
                zone_shards.len() > 2 && (5..9).contains(&booked),
                "{booked}"
            ),
        }
    }
}
