//! The state service's limits fall: compact encodings, zone shards that are merged, machine shards
//! that are split, and a deployment that goes on throughout.

// Each file of tests uses a part of them.
#[allow(dead_code)]
mod stand_ins;

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use shelfhoist::scheduler::{
    self, Care, Hints, Place, Plan, WaitReason, least_record, record_slots,
};
use shelfhoist::scheduler::{MachineShardEdits, Transaction, book};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{FORMATS_KEY, TYPES_KEY, job_key, machine_shard_key, zone_shard_key};
use shelfhoist::state::records::*;
use shelfhoist::state::replica::Replica;
use shelfhoist::state::{compaction, encoding};
use shelfhoist::wire::{Event, Kind, Priority, Write};
use stand_ins::{Shape, StateLimits, Trouble, World, in_world, job};
use tokio::time::{Instant, sleep};

const LIMIT: usize = 2048;

// --- production's own texts ---------------------------------------------------

/// What the version in production (`f00c9ea`) writes for each record, as its own
/// serializer gave it.
const JOB: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5},"n":1800,"b":412,"a":3,"x":40,"q":"0-4,7","r":[{"m":"host-000231","z":"a","a":1,"t":"10-19,21"},{"m":"host-000231","z":"a","a":3,"t":"30","x":true}],"c":true,"e":2,"ea":2,"em":["host-000007"]}"#;
const NEW_JOB: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"gang","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0},"n":1800,"b":9,"a":0,"x":0}"#;
const DONE_JOB: &str = r#"{"f":"d","n":1800,"b":412,"a":3,"x":40,"c":true}"#;
const ARRIVALS: &str = r#"{"b":7,"j":{"job-000001":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5},"job-000002":{"l":"train","w":"vision","k":"gang","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0}}}"#;
const TEAM: &str = r#"{"u":{"c":3000,"g":1000,"m":2000}}"#;
const PART: &str = r#"{"m":{"host-000231":{"t":"g8","l":true,"f":{"c":6000,"g":0,"m":12000},"o":{"c":2000,"g":0,"m":1800}},"host-000232":{"t":"g16","f":{"c":16000,"g":2000,"m":12000}}}}"#;
const GROUP: &str = r#"{"m":{"host-000231":{"h":"bay-1","i":4000000000,"k":41,"s":[41,3608],"f":"a","t":"g8","l":true},"host-000232":{"h":"","i":0,"k":0,"s":[0,0],"f":"b","t":"g8"},"host-000233":{"h":"bay-2","i":4000000000,"k":2,"s":[2,176],"f":"d","t":"g8"},"host-000234":{"h":"bay-1","i":4000000000,"k":3,"s":[3,264],"f":"r","t":"g8"},"host-000235":{"h":"bay-1","i":4000000000,"k":4,"s":[4,352],"f":"g","t":"g8","l":true}}}"#;
const HIRE: &str = r#"{"t":"g8","z":"a","l":true,"n":3,"m":["host-000236"]}"#;
const TYPES: &str = r#"{"types":[{"label":"g8","vcpus":8.0,"cards":1.0,"ram_gb":64.0,"local_gb":50.0,"pull_gb_per_s":1.5,"hourly":0.14,"spot_price":0.04,"ready_s":20.0,"yards":["a","b"]}]}"#;
const RENTER: &str = r#"{"h":"bay-1","i":4000000000}"#;

fn same_bytes<T: serde::Serialize + serde::de::DeserializeOwned>(text: &str) -> T {
    let value: T = serde_json::from_str(text).expect(text);
    assert_eq!(serde_json::to_string(&value).expect("text"), text);
    value
}

fn read<T: serde::de::DeserializeOwned>(text: Option<String>) -> T {
    let text = text.expect("a text");
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

/// What production wrote is read with nothing lost, and a record without the new
/// fields is its text byte for byte.
#[test]
fn the_texts_of_production_are_read_and_written() {
    let job: Job = same_bytes(JOB);
    assert_eq!(job.runs.len(), 2);
    assert!(job.runs[1].stop);
    assert_eq!(job.runs[0].tasks, Ranges(vec![(10, 19), (21, 21)]));
    assert_eq!(job.failed_on, ["host-000007"]);
    same_bytes::<Job>(NEW_JOB);
    same_bytes::<Job>(DONE_JOB);
    same_bytes::<Arrivals>(ARRIVALS);
    same_bytes::<Team>(TEAM);
    let shard: ZoneShard = same_bytes(PART);
    assert_eq!(shard.machines["host-000231"].unbooked.cpus, Amount(2000));
    let machine_shard: MachineShard = same_bytes(GROUP);
    assert_eq!(machine_shard.machines.len(), 5);
    same_bytes::<Rental>(HIRE);
    same_bytes::<Types>(TYPES);
    same_bytes::<ControllerRecord>(RENTER);
    // And through the compact encoding and back, byte for byte; of a zone shard all but what
    // is free, which nobody reads.
    let again: Job = read(encoding::encode_job(&job));
    assert_eq!(serde_json::to_string(&again).expect("text"), JOB);
    let again: MachineShard = read(encoding::encode_machine_shard(&machine_shard));
    assert_eq!(serde_json::to_string(&again).expect("text"), GROUP);
    let again: ZoneShard = read(encoding::encode_zone_shard(&shard));
    assert_eq!(again, without_free(&shard));
}

// --- compact encodings ---------------------------------------------------------------

fn without_free(shard: &ZoneShard) -> ZoneShard {
    let mut shard = shard.clone();
    for slot in shard.machines.values_mut() {
        slot.free = Resources::default();
    }
    shard
}

/// Names that are not like the cloud's, or only nearly.
const ODD: [&str; 12] = [
    "host",
    "h",
    "7",
    "host-",
    "host-0",
    "host-00",
    "x-12345678901234567890",
    "a b:c!d.e-9",
    "quote\"d\\-3",
    "größe-17",
    "host-000231",
    "999999999",
];

fn name(n: usize) -> String {
    match n % 7 {
        0 => ODD[n / 7 % ODD.len()].to_string(),
        1 => format!("gpu-{n:04}"),
        _ => format!("host-{n:06}"),
    }
}

fn spec(kind: Kind, tasks: u32) -> Spec {
    Spec {
        class: "reprice-array".into(),
        team: "squadra-piazzale-07".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        need: Resources {
            cpus: Amount(2000),
            gpus: Amount(0),
            ram: Amount(1800),
        },
        image: "nightly-reprice-image-07".into(),
        image_gb: 1.5,
        types: Some(vec![
            "bancone".into(),
            "cavalletto".into(),
            "trave".into(),
            "occhio".into(),
        ]),
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 25.25,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(912.5),
        awaits: Vec::new(),
    }
}

#[test]
fn short_texts_of_jobs_are_read_back() {
    let mut rng = SmallRng::seed_from_u64(7);
    for tasks in [1, 5, 64, 4096, 4097, 100_000, 262_145, u32::MAX] {
        for machines in [0, 1, 3, 40] {
            let mut job = Job::new(spec(Kind::Array, tasks), u64::MAX);
            job.attempt = rng.random();
            job.next = rng.random_range(0..=tasks);
            job.cleared = rng.random();
            let mut left: BTreeSet<u32> = (0..400).map(|_| rng.random_range(0..tasks)).collect();
            left.insert(tasks - 1);
            for n in left.iter().filter(|n| *n % 3 == 0) {
                job.retry.insert(*n);
            }
            for at in 0..machines {
                let mut set = Ranges::default();
                let some = left.iter().filter(|n| **n as usize % machines == at);
                some.for_each(|n| set.insert(*n));
                job.runs.push(Run {
                    machine: name(at),
                    zone: ["a", "capannone \"nord\""][at % 2].into(),
                    attempt: rng.random::<u64>() >> rng.random_range(0..64),
                    tasks: set,
                    stop: rng.random(),
                });
            }
            let again: Job = read(encoding::encode_job(&job));
            assert_eq!(again, job);
        }
    }
    // As many kinds of names as no table holds: the longer text stands.
    let mut job = Job::new(spec(Kind::Array, 100), 1);
    for n in 0..70 {
        job.book(&format!("{n}-of-another-name"), "a", 1, n);
    }
    assert_eq!(encoding::encode_job(&job), None);
    for bad in [
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 1A.1:0001"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1:001"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1:00-"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1:0100"}}"#,
        r#"{"r":{"t":""}}"#,
        r#"{"q":".2000"}"#,
        r#"{"q":"."}"#,
    ] {
        assert!(serde_json::from_str::<Job>(bad).is_err(), "{bad}");
    }
}

#[test]
fn compact_encodings_of_shards_are_read_back() {
    let mut rng = SmallRng::seed_from_u64(8);
    for count in [0, 1, 2, 90, 400] {
        let mut shard = ZoneShard::default();
        let mut machine_shard = MachineShard::default();
        for n in 0..count {
            let n = n * rng.random_range(1..3);
            let kind = ["small", "\"big\" one"][rng.random_range(0..2)];
            let unbooked = match n % 9 {
                4 => spec(Kind::Array, 1).need,
                _ => Resources::default(),
            };
            let slot = MachineSlot {
                kind: kind.into(),
                spot: rng.random(),
                free: Resources::default(),
                unbooked,
            };
            shard.machines.insert(name(n), slot);
            let lives = [
                MachineLifecycle::Booting,
                MachineLifecycle::Active,
                MachineLifecycle::Draining,
                MachineLifecycle::Returning,
                MachineLifecycle::Gone,
            ];
            let machine = Machine {
                holder: format!("bay-{}", n % 3),
                incarnation: rng.random::<u32>().into(),
                token: rng.random::<u64>() >> rng.random_range(0..64),
                seen: (rng.random(), rng.random()),
                life: lives[n % 5],
                spot: rng.random(),
                ..Machine::new(kind, "")
            };
            machine_shard.machines.insert(name(n), machine);
        }
        assert_eq!(
            read::<ZoneShard>(encoding::encode_zone_shard(&shard)),
            shard
        );
        assert_eq!(
            read::<MachineShard>(encoding::encode_machine_shard(&machine_shard)),
            machine_shard
        );
        assert!(encoding::is_compact_zone_shard(
            &encoding::encode_zone_shard(&shard).expect("text")
        ));
        let long = serde_json::to_string(&shard).expect("text");
        assert!(!encoding::is_compact_zone_shard(&long));
    }
    for bad in [
        r#"{"m":[["bay",1,"a","big",0,[["host-",6,"1.2.3"]]]]}"#,
        r#"{"m":[["bay",1,"a","big",0,[["host-",6,"1.2.3.4.5"]]]]}"#,
        r#"{"m":[["bay",1,"a","big",0,[["host-",6,""]]]]}"#,
    ] {
        assert!(serde_json::from_str::<MachineShard>(bad).is_err(), "{bad}");
    }
}

/// The machines of a home stand in one zone shard, however their numbers fall apart,
/// and a hundred and more in a machine shard.
#[test]
fn a_home_stands_in_one_zone_shard() {
    let mut shard = ZoneShard::default();
    let mut machine_shard = MachineShard::default();
    for n in (0..320).map(|n| n * 2) {
        let kind = ["bancone", "cavalletto", "trave", "occhio", "grande-occhio"][n / 2 % 5];
        let slot = MachineSlot {
            kind: kind.into(),
            spot: n % 3 == 0,
            free: Resources::default(),
            unbooked: Resources::default(),
        };
        shard.machines.insert(format!("host-{n:06}"), slot);
        if n < 220 {
            let machine = Machine {
                holder: "bay-1".into(),
                incarnation: u64::from(u32::MAX),
                token: 60,
                seen: (3, 4000),
                life: MachineLifecycle::Active,
                spot: n % 3 == 0,
                ..Machine::new(kind, "")
            };
            machine_shard
                .machines
                .insert(format!("host-{n:06}"), machine);
        }
    }
    let bytes = encoding::encode_zone_shard(&shard).expect("text").len();
    assert!(bytes <= LIMIT * 9 / 10, "{bytes} bytes for 320 machines");
    let bytes = encoding::encode_machine_shard(&machine_shard)
        .expect("text")
        .len();
    assert!(bytes <= LIMIT, "{bytes} bytes for 110 machines");
}

/// The machine types of the page's deployments fit one record.
#[test]
fn the_types_record_stays_small() {
    let types: Vec<Value> = (0..5)
        .map(|n| {
            json!({"label": format!("grande-occhio-{n}"), "vcpus": 32.25, "cards": 4.0,
                "ram_gb": 256.5, "local_gb": 500.5, "pull_gb_per_s": 1.25, "hourly": 14.2215,
                "spot_price": 4.4215, "ready_s": 60.5,
                "yards": ["capannone-nord", "capannone-sud", "ufficio-porto"]})
        })
        .collect();
    let types: Types = serde_json::from_value(json!({"types": types})).expect("types");
    let bytes = serde_json::to_string(&types).expect("text").len();
    assert!(bytes <= LIMIT, "{bytes} bytes");
}

fn places(machines: usize, each: usize) -> Vec<Place> {
    let place = |at: usize| Place {
        at,
        machine: format!("host-{:06}", at * 17).into(),
        zone: ["capannone-nord", "capannone-sud", "ufficio-porto"][at % 3].into(),
        shard: "capannone-nord/bay-1.0".into(),
    };
    (0..machines * each).map(|n| place(n / each)).collect()
}

/// At 2 KiB an array runs as wide as it did at 8, and the largest gang and
/// service of the page have room to spare.
#[test]
fn a_short_record_holds_as_much() {
    let array = Job::new(spec(Kind::Array, 1800), 1 << 40);
    let before = record_slots(&array, &places(40, 12), 8192, false);
    let slots = record_slots(&array, &places(40, 12), LIMIT, true);
    assert!(slots * 10 >= before.min(450) * 9, "{slots} of {before}");
    for (kind, tasks, most) in [
        (Kind::Gang, 8, 8),
        (Kind::Service, 16, 16),
        (Kind::Array, 1800, 400),
    ] {
        let job = Job::new(spec(kind, tasks), 1 << 40);
        let places = places(most.min(40), most.div_ceil(40));
        assert!(record_slots(&job, &places, LIMIT, true) >= most, "{kind:?}");
        let least = least_record(&spec(kind, tasks), "host-000231", "capannone-nord");
        assert!(least <= LIMIT, "{kind:?} {least}");
    }
}

/// However the bookings of a full record fall apart, fail and are stopped, it
/// stays within its limit.
#[test]
fn a_full_short_record_stays_within_the_limit() {
    for (tasks, seed) in [(1800, 1), (4096, 2), (100_000, 3)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let s = spec(Kind::Array, tasks);
        let mut job = Job::new(s.clone(), 1 << 40);
        job.attempt = 1;
        let mut widest = 0;
        for round in 0..60 {
            let mut wanted = places(40, 14);
            wanted.truncate(job.waiting());
            let n = record_slots(&job, &wanted, LIMIT, true);
            let taken: Vec<&Place> = wanted[..n].iter().collect();
            if !taken.is_empty() {
                book(&mut job, &s, &taken);
            }
            widest = widest.max(job.booked());
            let check = |job: &Job| {
                let bytes = encoding::encode_job(job).expect("text").len();
                assert!(bytes <= LIMIT, "{bytes} bytes in round {round}");
            };
            check(&job);
            let all: Vec<(String, u64, u32)> = job
                .runs
                .iter()
                .flat_map(|r| r.tasks.iter().map(|t| (r.machine.clone(), r.attempt, t)))
                .collect();
            for (machine, attempt, task) in all {
                let outcome = match rng.random_range(0..6) {
                    0 => Outcome::Done,
                    1 => Outcome::Lost,
                    2 if round % 5 == 0 => Outcome::Failed,
                    _ => continue,
                };
                job.release(&machine, attempt, task, outcome);
                check(&job);
            }
            let fits = |job: &Job| encoding::encode_job(job).is_some_and(|t| t.len() <= LIMIT);
            if let Some(machine) = job.runs.first().map(|r| r.machine.clone()) {
                job.stop_tasks(&machine, 2, fits);
                check(&job);
            }
        }
        assert!(widest > 300, "{widest} of {tasks}");
    }
}

// --- zone shards and machine shards ------------------------------------------------------------

/// A replica whose records are to be short, of zone shards and machine shards as production left
/// them.
fn production_view(machine_shards: usize, each: usize) -> Replica {
    let mut replica = Replica::with_compact_limit(Some(LIMIT));
    let formats = json!({"n": {"n0": 2}, "a": 2});
    let mut events = vec![Event::put(FORMATS_KEY.into(), &formats, 1)];
    for g in 0..machine_shards {
        let mut machine_shard = MachineShard::default();
        let mut shard = ZoneShard::default();
        for n in 0..each {
            let name = format!("host-{:06}", (g * each + n) * 3);
            let machine = Machine {
                holder: "n0".into(),
                incarnation: u64::from(u32::MAX),
                token: u64::MAX - 7,
                seen: (u64::MAX, u64::MAX),
                life: MachineLifecycle::Active,
                ..Machine::new("grande-occhio", "a")
            };
            machine_shard.machines.insert(name.clone(), machine);
            let slot = MachineSlot {
                kind: "grande-occhio".into(),
                spot: false,
                free: Resources::default(),
                unbooked: Resources::default(),
            };
            shard.machines.insert(name, slot);
        }
        let id = format!("a/n0.{g}");
        events.push(Event::put(
            machine_shard_key(&id),
            &machine_shard,
            2 + g as u64,
        ));
        events.push(Event::put(zone_shard_key(&id), &shard, 2 + g as u64));
    }
    replica.advance(events, 100);
    replica
}

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
    replica.overlay(&[write], 101);
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
        replica.overlay(&writes, version);
        let mut machine_shards = MachineShardEdits::new(&replica);
        machine_shards.edit(&id);
        let (guards, mut writes) = machine_shards.into_commit();
        assert_eq!(writes.len(), 2, "{id}");
        for w in &writes {
            assert!(guards.iter().any(|g| g.key == w.key()), "{}", w.key());
        }
        if version % 2 == 0 {
            writes.reverse();
        }
        replica.overlay(&writes, version + 1);
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
        replica.overlay(&[write], version);
    }
    let mut steps = 0;
    while let Some((guards, mut writes)) = compaction::merge(&replica, &HashMap::new(), &tended) {
        assert_eq!((guards.len(), writes.len()), (2, 2));
        for w in &writes {
            let id = w.key().trim_start_matches("sh/zone/");
            let guard = guards.iter().find(|g| g.key == w.key()).expect("a guard");
            assert_eq!(guard.version, replica.zone_shard_version(id));
            let Write::Put { value, .. } = w else {
                panic!("{w:?}")
            };
            assert!(value.get().len() <= LIMIT);
        }
        if steps % 2 == 0 {
            writes.reverse();
        }
        version += 1;
        replica.overlay(&writes, version);
        steps += 1;
        assert_eq!(replica.spots().count(), 6 * 54);
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
    let mut gang = spec(Kind::Gang, 8);
    gang.team = "t".into();
    gang.types = None;
    gang.need.cpus = Amount(8000);
    for (kind, tasks) in [(Kind::Gang, 8), (Kind::Gang, 9), (Kind::Service, 9)] {
        let spec = Spec {
            kind,
            tasks,
            ..gang.clone()
        };
        let job = Job::new(spec.clone(), 1);
        let mut events = events.clone();
        events.push(Event::put(job_key("job-1"), &job, 3));
        let mut replica = Replica::with_compact_limit(Some(LIMIT));
        replica.advance(events, 5);
        let plan = Plan::of(&replica);
        let hints = Hints::new(&replica, "n0");
        let found = scheduler::fit(&job, &spec, &plan, &hints, &set, Care::Lax);
        let Ok(places) = found else {
            // It fits the rooms of three zone shards only: machines are rented for it.
            assert_eq!((kind, tasks), (Kind::Gang, 9), "{found:?}");
            assert_eq!(found, Err(WaitReason::NoRoom));
            continue;
        };
        assert_eq!(places.len(), tasks as usize, "{kind:?}");
        let zone_shards: BTreeSet<&str> = places.iter().map(|p| &*p.shard).collect();
        let mut transaction = Transaction::new(&replica, set.txn_ops());
        let booked = transaction.book("job-1", &spec, &places);
        assert!(transaction.into_commit().1.len() <= set.txn_ops());
        match kind {
            Kind::Gang => assert_eq!((zone_shards.len(), booked), (2, 8)),
            // Replica by replica: the rest go into the next commit.
            _ => assert!(
                zone_shards.len() > 2 && (5..9).contains(&booked),
                "{booked}"
            ),
        }
    }
}

// --- a deployment ------------------------------------------------------------------

fn yard() -> Shape {
    Shape {
        teams: vec![("t".into(), 4000.0, 6000.0)],
        state: json!({"rps": 200.0, "write_rps": 90.0, "value_kb": 8.0, "txn_ops": 12}),
        machines: 160,
        ready_s: 3600.0,
        ..Shape::default()
    }
}

fn next() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 27.0})
}

fn fall(w: &World) {
    w.state.limits.set(StateLimits {
        txn_ops: 4,
        value_bytes: LIMIT,
        write_rps: 27.0,
    });
}

/// All controllers end, and come back one after the other with the new settings:
/// only then is it recorded that all read the new formats.
async fn roll(w: &Rc<World>) {
    for i in 0..w.shape.controllers {
        w.kill(i);
    }
    *w.next.borrow_mut() = next();
    w.state.write(FORMATS_KEY, &json!({"n": {}, "a": 0}));
    for i in 0..w.shape.controllers {
        w.start(i);
        sleep(Duration::from_secs(2)).await;
    }
}

async fn upgraded(w: &World) {
    let began = Instant::now();
    loop {
        let formats = w.state.value(FORMATS_KEY).unwrap_or_default();
        if formats["a"] == json!(FORMATS) {
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(60), "{formats}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// One of each kind, of the largest size: ids of gang, service and array.
async fn largest(w: &World, wave: u32, array: u32) -> [String; 3] {
    let mut gang = job(wave * 10, "gang", 8, 20.0);
    gang["same_place"] = json!(true);
    gang["vcpus"] = json!(6.0);
    let mut service = job(wave * 10 + 1, "daemon", 16, 0.0);
    service["scatter"] = json!(true);
    let array = job(wave * 10 + 2, "batch", array, 10.0);
    [
        w.submit(gang).await,
        w.submit(service).await,
        w.submit(array).await,
    ]
}

async fn all_go_on(w: &World, [gang, service, array]: &[String; 3]) {
    w.until(gang, "done", 200).await;
    w.until(array, "done", 400).await;
    let began = Instant::now();
    while w.running(service) < 16 {
        assert!(began.elapsed() < Duration::from_secs(200), "{service}");
        sleep(Duration::from_secs(1)).await;
    }
}

fn too_long(w: &World) -> Vec<(String, usize)> {
    let mut all = w.state.sizes("sh/");
    all.retain(|(key, n)| *n > LIMIT && !key.starts_with("sh/new/"));
    all
}

/// The limits fall before, in and after the shrinking, and every controller ends
/// at that very moment: jobs of the largest sizes begun before go on, others are
/// begun and end, and nothing is sent that the service would refuse.
/// With `trouble`, some commits in the shrinking are carried out late, or their
/// answers are lost.
fn limits_fall(after: Option<Duration>, trouble: Trouble) {
    in_world(|| async move {
        let w = World::of(31, yard()).await;
        sleep(Duration::from_secs(15)).await;
        let first = largest(&w, 1, 1800).await;
        let stopped = w.submit(job(5, "batch", 300, 500.0)).await;
        sleep(Duration::from_secs(12)).await;
        let long = too_long(&w);
        for table in ["sh/zone/", "sh/machine/", "sh/job/"] {
            let long = long.iter().any(|(key, _)| key.starts_with(table));
            assert!(long, "no long record of {table}: {long}");
        }
        roll(&w).await;
        upgraded(&w).await;
        w.state.trouble.set(trouble);
        w.state.troubled.set(12);
        // With nothing to wait for, as soon as it may be.
        sleep(after.unwrap_or_default()).await;
        if after.is_some_and(|t| t > Duration::from_secs(20)) {
            assert!(too_long(&w).is_empty(), "{:?}", too_long(&w));
        }
        for i in 0..3 {
            w.kill(i);
        }
        fall(&w);
        for i in 0..3 {
            w.start(i);
        }
        let second = largest(&w, 2, 1800).await;
        assert_eq!(w.withdraw(1, &stopped).await.as_deref(), Some("aborted"));
        all_go_on(&w, &first).await;
        all_go_on(&w, &second).await;
        sleep(Duration::from_secs(30)).await;
        assert_eq!(w.running(&stopped), 0);
        let refused = w.state.too_many.get();
        assert!(refused < 40, "{refused} refused for the rate");
        assert!(too_long(&w).is_empty(), "{:?}", too_long(&w));
        let beyond = w.state.beyond.borrow().clone();
        assert!(beyond.is_empty(), "{beyond:?}");
        w.assert_kept();
    });
}

#[test]
fn limits_fall_before_the_shrinking() {
    limits_fall(None, Trouble::None);
}

#[test]
fn limits_fall_in_the_shrinking() {
    limits_fall(Some(Duration::from_secs(2)), Trouble::None);
}

#[test]
fn limits_fall_after_the_shrinking() {
    limits_fall(Some(Duration::from_secs(40)), Trouble::None);
}

/// The coming limits may be absent or partial; what is to come bounds sizes from
/// the start, and rates once refusals show it.
#[test]
fn coming_limits_may_be_absent_or_partial() {
    let with = |next: Value| {
        let mut shape = yard();
        if !next.is_null() {
            shape.state["next"] = next;
        }
        shape.settings(0)
    };
    let of = |s: &Settings| {
        let rates = (s.write_rps(false), s.write_rps(true), s.rps(true));
        (s.value_bytes(), s.txn_ops(), rates, s.limits_will_fall())
    };
    let now = (8192, 12, (90.0, 90.0, 200.0), false);
    for (next, expected) in [
        (Value::Null, now),
        (json!({}), now),
        (json!({"what_is_new": {"value_kb": 1.0}}), now),
        (json!({"value_kb": null, "rps": null}), now),
        (
            json!({"value_kb": 16.0, "txn_ops": 20, "write_rps": 900.0}),
            now,
        ),
        (json!({"value_kb": 2.0}), (2048, 12, now.2, true)),
        (json!({"txn_ops": 5}), (8192, 5, now.2, true)),
        (
            json!({"write_rps": 27.0}),
            (8192, 12, (90.0, 27.0, 200.0), false),
        ),
        (json!({"rps": 50.0}), (8192, 12, (90.0, 90.0, 50.0), false)),
        (
            json!({"value_kb": 2.5, "txn_ops": 4, "write_rps": 27.0, "rps": 99.0}),
            (2560, 4, (90.0, 27.0, 99.0), true),
        ),
    ] {
        assert_eq!(of(&with(next.clone())), expected, "{next}");
    }
    for (field, value) in [
        ("value_kb", json!(1.9)),
        ("value_kb", json!(-2)),
        ("txn_ops", json!(3)),
        ("write_rps", json!(0)),
        ("rps", json!(1e9)),
    ] {
        let mut shape = yard();
        shape.state["next"] = json!({field: value});
        let text = shape.settings_text(0);
        let error = Settings::parse(&text).expect_err("refused").to_string();
        let name = format!("deployment.state.next.{field}");
        assert!(error.contains(&name), "{error}");
    }
}

/// One controller takes over every machine at the lower rate, in time.
#[test]
fn a_takeover_of_every_machine_at_the_lower_rate() {
    in_world(|| async move {
        let w = World::of(32, yard()).await;
        sleep(Duration::from_secs(15)).await;
        roll(&w).await;
        upgraded(&w).await;
        sleep(Duration::from_secs(20)).await;
        fall(&w);
        let first = largest(&w, 1, 1800).await;
        sleep(Duration::from_secs(5)).await;
        let lapsed = w.lapsed();
        w.kill(0);
        w.kill(1);
        sleep(Duration::from_secs(25)).await;
        assert_eq!(w.lapsed(), lapsed, "leases ran out");
        let holders = w.holders();
        assert_eq!(holders.len(), 160);
        assert!(holders.iter().all(|(_, h)| h == "n2"), "{holders:?}");
        all_go_on(&w, &first).await;
        let beyond = w.state.beyond.borrow().clone();
        assert!(beyond.is_empty(), "{beyond:?}");
        w.assert_kept();
    });
}

/// Settings that say nothing of the fall: what is refused for its size ends no
/// loop and is not sent again and again, and the rest goes on.
#[test]
fn what_is_beyond_the_limits_holds_up_nothing_else() {
    in_world(|| async move {
        let mut shape = yard();
        shape.machines = 45;
        let w = World::of(33, shape).await;
        sleep(Duration::from_secs(15)).await;
        let mut wide = job(1, "batch", 1800, 15.0);
        for field in ["blueprint", "lot"] {
            wide[field] = json!("a-name-that-is-long".repeat(10));
        }
        let large = w.submit(wide).await;
        // Zone and machine shards are small enough, the record of this job is not.
        w.state.limits.set(StateLimits {
            value_bytes: 3000,
            txn_ops: 12,
            write_rps: 90.0,
        });
        let mut small = Vec::new();
        for n in 0..6 {
            small.push(w.submit(job(10 + n, "gang", 2, 5.0)).await);
        }
        for id in &small {
            w.until(id, "done", 120).await;
        }
        sleep(Duration::from_secs(20)).await;
        let stage = w.stage(0, &large).await;
        assert!(stage.is_some(), "{stage:?}");
        let beyond = w.state.beyond.borrow().clone();
        let of_large = beyond.iter().filter(|b| b.contains(&job_key(&large)));
        assert_eq!(of_large.count(), beyond.len(), "{beyond:?}");
        assert!((1..60).contains(&beyond.len()), "{beyond:?}");
        w.assert_kept();
    });
}

#[test]
fn commits_of_the_shrinking_come_late() {
    limits_fall(Some(Duration::from_secs(30)), Trouble::Late);
}

#[test]
fn answers_in_the_shrinking_are_lost() {
    limits_fall(Some(Duration::from_secs(30)), Trouble::LoseAnswers);
}

/// The present rate is used until refusals show the lower one, which is kept to
/// from then on but for a try now and then; all goes on.
#[test]
fn the_lower_rate_is_kept_to_once_it_shows() {
    in_world(|| async move {
        let mut shape = yard();
        shape.machines = 60;
        shape.state["next"] = json!({"write_rps": 12.0});
        let w = World::of(34, shape).await;
        sleep(Duration::from_secs(15)).await;
        w.state.limits.set(StateLimits {
            write_rps: 12.0,
            ..w.state.limits.get()
        });
        let mut ids = Vec::new();
        let mut refused = Vec::new();
        let mut before = 0;
        for n in 0..40 {
            for k in 0..3 {
                ids.push(w.submit(job(100 + n * 3 + k, "batch", 8, 3.0)).await);
            }
            sleep(Duration::from_secs(1)).await;
            let all = w.state.too_many.get();
            refused.push(all - before);
            before = all;
        }
        for id in &ids {
            w.until(id, "done", 120).await;
        }
        assert!(before > 0, "the load shows nothing");
        // Learning it costs some. What is left is what the same load meets where
        // the rate is known from the start: 25 in all, here 64 with the learning.
        assert!(before < 90, "{refused:?}");
        let later: usize = refused[20..].iter().sum();
        assert!(later < 40, "{refused:?}");
        w.assert_kept();
    });
}

/// An upgrade, one controller after another, with jobs running; one ends before
/// its turn and comes back with the older program. Until the last has its turn
/// all that stands in the state is what production reads and writes itself; then
/// the compact encodings come, jobs may await others, and all goes on as the limits
/// fall.
#[test]
fn controllers_are_upgraded_one_after_another() {
    for seed in [51, 52] {
        in_world(|| async move {
            let w = World::of(seed, yard()).await;
            w.state.older.borrow_mut().extend(0..3);
            sleep(Duration::from_secs(15)).await;
            let first = largest(&w, 1, 600).await;
            let long = w.submit(job(5, "batch", 40, 120.0)).await;
            w.until(&long, "running", 60).await;
            let follower = stand_ins::after(job(6, "batch", 2, 1.0), &[&long]);
            w.remember(&follower);
            // What all know of the formats, while `seconds` pass.
            let pass = async |seconds: u32| {
                for _ in 0..seconds * 4 {
                    assert_eq!(w.state.unreadable(), Vec::<String>::new());
                    sleep(Duration::from_millis(250)).await;
                }
                for i in 0..3 {
                    let asked = w.ask(i, "POST", "/submissions", Some(&follower)).await;
                    assert_eq!(asked.0, 503, "n{i}: {}", asked.1);
                }
                let formats = w.state.value(FORMATS_KEY).unwrap_or_default();
                assert!(formats["a"].as_u64().unwrap_or(0) == 0, "{formats}");
            };
            let turn = |i: usize| {
                w.kill(i);
                w.state.older.borrow_mut().remove(&i);
                *w.next.borrow_mut() = next();
                w.start(i);
            };
            pass(2).await;
            turn(0);
            pass(15).await;
            // Before its turn: the older program again, in the midst of it all.
            w.kill(2);
            *w.next.borrow_mut() = Value::Null;
            w.start(2);
            pass(6).await;
            turn(1);
            let second = largest(&w, 2, 600).await;
            pass(15).await;
            turn(2);
            upgraded(&w).await;
            w.submit(follower.clone()).await;
            assert_eq!(w.stage(1, "job-000006").await.as_deref(), Some("queued"));
            sleep(Duration::from_secs(5)).await;
            fall(&w);
            for all in [&first, &second] {
                all_go_on(&w, all).await;
            }
            w.until("job-000006", "done", 300).await;
            assert_eq!(w.state.misplaced.borrow().len(), 0);
            assert!(
                !w.state.unreadable().is_empty(),
                "no short text was written"
            );
            w.assert_kept();
        });
    }
}

/// Arrivals in a record that is too long when the limits fall are read, run each
/// under a record of its own, and the long one goes: nobody writes it again.
#[test]
fn long_arrivals_come_to_their_end() {
    in_world(|| async {
        let w = World::of(53, yard()).await;
        sleep(Duration::from_secs(15)).await;
        let mut arrivals = Arrivals {
            accepted_revision: 1,
            jobs: Default::default(),
        };
        let jobs: Vec<Value> = (700..716).map(|n| job(n, "batch", 2, 2.0)).collect();
        for (one, n) in jobs.iter().zip(700..) {
            w.remember(one);
            let read = shelfhoist::api::read_submission(one.to_string().as_bytes());
            let spec = Spec::from(&read.expect("a submission"));
            arrivals.jobs.insert(format!("job-{n:06}"), spec);
        }
        let text = serde_json::to_value(&arrivals).expect("text");
        assert!(text.to_string().len() > LIMIT, "{}", text.to_string().len());
        roll(&w).await;
        upgraded(&w).await;
        w.state.write("sh/new/n0-long", &text);
        // Their users ask again, as they may: each is known.
        for one in &jobs {
            w.submit(one.clone()).await;
        }
        for i in 0..3 {
            w.kill(i);
        }
        fall(&w);
        for i in 0..3 {
            w.start(i);
        }
        for id in arrivals.jobs.keys() {
            w.until(id, "done", 200).await;
        }
        sleep(Duration::from_secs(10)).await;
        assert_eq!(w.state.value("sh/new/n0-long"), None);
        assert_eq!(w.state.beyond.borrow().clone(), Vec::<String>::new());
        w.assert_kept();
    });
}
