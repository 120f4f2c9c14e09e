//! Tests that split and merge shards and place jobs in them.

use std::collections::{BTreeSet, HashMap};

use serde_json::json;

use super::setup::{LIMIT_BYTES, deployment, job_spec, production_replica, upcoming_limits};
use shelfhoist::compaction;
use shelfhoist::scheduler::{
    self, AcceleratorProtection, MachineShardEdits, PlacementHints, Plan, Transaction, WaitReason,
};
use shelfhoist::state::encoding;
use shelfhoist::state::keys::{FORMATS_KEY, TYPES_KEY, job_key, machine_shard_key, zone_shard_key};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Commit, Event, JobKind, Write};

use shelfhoist::state::records::*;

/// A machine shard whose compact encoding still exceeds the limit is split in the commit that
/// writes the shard. No machine is lost, duplicated or changed, whichever of the two resulting
/// records the replica applies first.
#[test]
fn oversized_machine_shard_is_split_in_one_commit() {
    let mut replica = production_replica(1, 60);
    let before = replica.machines.clone();
    // The shard is not split while commits that an older version prepared may still arrive.
    let mut machine_shards = MachineShardEdits::new(&replica);
    machine_shards.edit("a/n0.0");
    assert_eq!(machine_shards.into_commit().writes.len(), 1);
    let shard = replica.zone_shards["a/n0.0"].value.clone();
    let write = replica.put_zone_shard("a/n0.0", &shard);
    replica.apply_commit(&[write], 101);
    assert!(replica.is_compact_zone_shard("a/n0.0"));
    let mut version = 102;
    while replica.machine_shards.values().any(|shard| {
        let text = encoding::encode_machine_shard(&shard.value).expect("text");
        text.len() > LIMIT_BYTES
    }) {
        let oversized = replica.machine_shards.iter().find(|(_, shard)| {
            let text = encoding::encode_machine_shard(&shard.value).expect("text");
            text.len() > LIMIT_BYTES
        });
        let id = oversized.expect("an oversized shard").0.clone();
        // The new zone shard has to exist before the shard is split again.
        let writes = [replica.put_zone_shard(
            &id,
            &replica
                .zone_shards
                .get(&id)
                .map_or(ZoneShard::default(), |shard| shard.value.clone()),
        )];
        replica.apply_commit(&writes, version);
        let mut machine_shards = MachineShardEdits::new(&replica);
        machine_shards.edit(&id);
        let Commit {
            preconditions,
            mut writes,
        } = machine_shards.into_commit();
        assert_eq!(writes.len(), 2, "{id}");
        for write in &writes {
            assert!(
                preconditions
                    .iter()
                    .any(|precondition| precondition.key == write.key()),
                "{}",
                write.key()
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
        .map(|shard| shard.value.machines.len())
        .sum();
    assert_eq!(listed, before.len());
    for (name, machine) in &before {
        let after = &replica.machines[name].value;
        let with_previous_shard = Machine {
            shard: machine.value.shard.clone(),
            ..after.clone()
        };
        assert_eq!(with_previous_shard, machine.value);
        let machine_shard = format!("{}/{}", after.zone, after.shard);
        assert!(
            replica.machine_shards[&machine_shard]
                .value
                .machines
                .contains_key(name)
        );
    }
}

/// Zone shards are merged in pairs while their machines fit one record. After each merge,
/// every machine is found in its shard, and the commit has both shards as preconditions, so
/// that a booking based on an old shard conflicts.
#[test]
fn zone_shards_are_merged() {
    let mut replica = production_replica(6, 54);
    let is_responsible = |_: &str| true;
    assert!(compaction::merge(&replica, &HashMap::new(), &is_responsible).is_none());
    let mut version = 200;
    for number in 0..6 {
        let id = format!("a/n0.{number}");
        let write = replica.put_zone_shard(&id, &replica.zone_shards[&id].value);
        version += 1;
        replica.apply_commit(&[write], version);
    }
    let mut merges = 0;
    while let Some(Commit {
        preconditions,
        mut writes,
    }) = compaction::merge(&replica, &HashMap::new(), &is_responsible)
    {
        assert_eq!((preconditions.len(), writes.len()), (2, 2));
        for write in &writes {
            let id = write.key().trim_start_matches("sh/zone/");
            let precondition = preconditions
                .iter()
                .find(|precondition| precondition.key == write.key())
                .expect("a precondition");
            assert_eq!(precondition.version, replica.zone_shard_version(id));
            let Write::Put { value, .. } = write else {
                panic!("{write:?}")
            };
            assert!(value.get().len() <= LIMIT_BYTES);
        }
        if merges % 2 == 0 {
            writes.reverse();
        }
        version += 1;
        replica.apply_commit(&writes, version);
        merges += 1;
        assert_eq!(replica.placeable_machines().count(), 6 * 54);
        for name in replica.machines.keys() {
            let shard = replica
                .zone_shard_of(name)
                .expect("a zone shard")
                .to_string();
            assert!(
                replica.zone_shards[&shard]
                    .value
                    .machines
                    .contains_key(name)
            );
            assert!(replica.slot(name).is_some());
        }
    }
    let nonempty = replica
        .zone_shards
        .values()
        .filter(|shard| !shard.value.machines.is_empty());
    assert_eq!(nonempty.count(), 1, "after {merges}");
}

/// A gang is placed in at most two zone shards: it must be booked in one commit, and two of the
/// commit's four writes are those of the job and its team. A service may be booked in several
/// commits.
#[test]
fn gang_is_placed_in_at_most_two_zone_shards() {
    let mut shape = deployment();
    shape.state["next"] = upcoming_limits();
    let settings = shape.settings(0);
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
        let mut machine_shard = MachineShard::default();
        for _ in 0..machines {
            number += 1;
            let machine = Machine {
                lifecycle: MachineLifecycle::Active,
                ..Machine::new("big", "a")
            };
            let name = format!("host-{number:06}");
            machine_shard.machines.insert(name.clone(), machine);
            let slot = MachineSlot {
                kind: "big".into(),
                spot: false,
                free: Resources::default(),
                unbooked: Resources::default(),
            };
            shard.machines.insert(name, slot);
        }
        events.push(Event::put(machine_shard_key(id), &machine_shard, 2));
        events.push(Event::put(zone_shard_key(id), &shard, 2));
    }
    let mut gang = job_spec(JobKind::Gang, 8);
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
        let mut replica = Replica::with_compact_limit(Some(LIMIT_BYTES));
        replica.apply_events(events, 5);
        let plan = Plan::from_replica(&replica);
        let hints = PlacementHints::new(&replica, "n0");
        let result = scheduler::find_placements(
            &job,
            &spec,
            &plan,
            &hints,
            &settings,
            AcceleratorProtection::Lax,
        );
        let Ok(places) = result else {
            // The gang would need the free capacity of three zone shards, which one commit
            // cannot write. It waits until machines are rented for it.
            assert_eq!((kind, tasks), (JobKind::Gang, 9), "{result:?}");
            assert_eq!(result, Err(WaitReason::NoCapacity));
            continue;
        };
        assert_eq!(places.len(), tasks as usize, "{kind:?}");
        let zone_shards: BTreeSet<&str> = places.iter().map(|p| &*p.shard).collect();
        let mut transaction = Transaction::new(&replica, settings.max_writes_per_commit());
        let booked = transaction.book("job-1", &spec, &places);
        assert!(transaction.into_commit().writes.len() <= settings.max_writes_per_commit());
        match kind {
            JobKind::Gang => assert_eq!((zone_shards.len(), booked), (2, 8)),
            // Replicas of a service can be booked separately. The commit books those that fit, and
            // the next commit books the rest.
            _ => assert!(
                zone_shards.len() > 2 && (5..9).contains(&booked),
                "{booked}"
            ),
        }
    }
}
