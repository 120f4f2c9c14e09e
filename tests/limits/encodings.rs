//! Compact encodings are read back, and stay within the limits.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::setup::{LIMIT, name, places, read, spec};
use shelfhoist::scheduler::{TaskPlacement, book, min_record_bytes, tasks_within_record_limit};
use shelfhoist::state::encoding;
use shelfhoist::wire::JobKind;

use shelfhoist::state::records::*;

#[test]
fn short_texts_of_jobs_are_read_back() {
    let mut rng = SmallRng::seed_from_u64(7);
    for tasks in [1, 5, 64, 4096, 4097, 100_000, 262_145, u32::MAX] {
        for machines in [0, 1, 3, 40] {
            let mut job = Job::new(spec(JobKind::Array, tasks), u64::MAX);
            job.attempt = rng.random();
            job.next_task = rng.random_range(0..=tasks);
            job.has_preempted = rng.random();
            let mut left: BTreeSet<u32> = (0..400).map(|_| rng.random_range(0..tasks)).collect();
            left.insert(tasks - 1);
            for n in left.iter().filter(|n| *n % 3 == 0) {
                job.retry.insert(*n);
            }
            for at in 0..machines {
                let mut set = NumberSet::default();
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
    let mut job = Job::new(spec(JobKind::Array, 100), 1);
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
                4 => spec(JobKind::Array, 1).need,
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
                owner: format!("bay-{}", n % 3),
                incarnation: rng.random::<u32>().into(),
                fencing_token: rng.random::<u64>() >> rng.random_range(0..64),
                claim_heartbeat: HeartbeatId::new(rng.random(), rng.random()),
                lifecycle: lives[n % 5],
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
                owner: "bay-1".into(),
                incarnation: u64::from(u32::MAX),
                fencing_token: 60,
                claim_heartbeat: HeartbeatId::new(3, 4000),
                lifecycle: MachineLifecycle::Active,
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
    let types: MachineTypesRecord = serde_json::from_value(json!({"types": types})).expect("types");
    let bytes = serde_json::to_string(&types).expect("text").len();
    assert!(bytes <= LIMIT, "{bytes} bytes");
}

/// At 2 KiB an array runs as wide as it did at 8, and the largest gang and
/// service of the page have room to spare.
#[test]
fn a_short_record_holds_as_much() {
    let array = Job::new(spec(JobKind::Array, 1800), 1 << 40);
    let before = tasks_within_record_limit(&array, &places(40, 12), 8192, false);
    let slots = tasks_within_record_limit(&array, &places(40, 12), LIMIT, true);
    assert!(slots * 10 >= before.min(450) * 9, "{slots} of {before}");
    for (kind, tasks, most) in [
        (JobKind::Gang, 8, 8),
        (JobKind::Service, 16, 16),
        (JobKind::Array, 1800, 400),
    ] {
        let job = Job::new(spec(kind, tasks), 1 << 40);
        let places = places(most.min(40), most.div_ceil(40));
        assert!(
            tasks_within_record_limit(&job, &places, LIMIT, true) >= most,
            "{kind:?}"
        );
        let least = min_record_bytes(&spec(kind, tasks), "host-000231", "capannone-nord");
        assert!(least <= LIMIT, "{kind:?} {least}");
    }
}

/// However the bookings of a full record fall apart, fail and are stopped, it
/// stays within its limit.
#[test]
fn a_full_short_record_stays_within_the_limit() {
    for (tasks, seed) in [(1800, 1), (4096, 2), (100_000, 3)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let s = spec(JobKind::Array, tasks);
        let mut job = Job::new(s.clone(), 1 << 40);
        job.attempt = 1;
        let mut widest = 0;
        for round in 0..60 {
            let mut wanted = places(40, 14);
            wanted.truncate(job.waiting_count());
            let n = tasks_within_record_limit(&job, &wanted, LIMIT, true);
            let taken: Vec<&TaskPlacement> = wanted[..n].iter().collect();
            if !taken.is_empty() {
                book(&mut job, &s, &taken);
            }
            widest = widest.max(job.booked_count());
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
                    0 => TaskOutcome::Done,
                    1 => TaskOutcome::Lost,
                    2 if round % 5 == 0 => TaskOutcome::Failed,
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
