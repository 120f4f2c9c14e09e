//! Tests that compact encodings are decoded without loss and stay within the record limit.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::setup::{LIMIT_BYTES, decode, job_spec, machine_name, placements};
use shelfhoist::scheduler::{TaskPlacement, book, min_record_bytes, tasks_within_record_limit};
use shelfhoist::state::encoding;
use shelfhoist::wire::JobKind;

use shelfhoist::state::records::*;

#[test]
fn compact_jobs_are_decoded_without_loss() {
    let mut rng = SmallRng::seed_from_u64(7);
    for tasks in [1, 5, 64, 4096, 4097, 100_000, 262_145, u32::MAX] {
        for machines in [0, 1, 3, 40] {
            let mut job = Job::new(job_spec(JobKind::Array, tasks), u64::MAX);
            job.attempt = rng.random();
            job.next_task = rng.random_range(0..=tasks);
            job.has_preempted = rng.random();
            let mut left: BTreeSet<u32> = (0..400).map(|_| rng.random_range(0..tasks)).collect();
            left.insert(tasks - 1);
            for n in left.iter().filter(|n| *n % 3 == 0) {
                job.retry.insert(*n);
            }
            for index in 0..machines {
                let mut set = NumberSet::default();
                let of_machine = left.iter().filter(|n| **n as usize % machines == index);
                of_machine.for_each(|n| set.insert(*n));
                job.runs.push(Run {
                    machine: machine_name(index),
                    zone: ["a", "capannone \"nord\""][index % 2].into(),
                    attempt: rng.random::<u64>() >> rng.random_range(0..64),
                    tasks: set,
                    stop: rng.random(),
                });
            }
            let decoded: Job = decode(encoding::encode_job(&job));
            assert_eq!(decoded, job);
        }
    }
    // The machine names have more prefixes than the table of the compact encoding can hold.
    // Such a job can be stored only in the plain encoding.
    let mut job = Job::new(job_spec(JobKind::Array, 100), 1);
    for n in 0..70 {
        job.book(&format!("{n}-of-another-name"), "a", 1, n);
    }
    assert_eq!(encoding::encode_job(&job), None);
    for invalid in [
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 1A.1:0001"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1:001"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1:00-"}}"#,
        r#"{"r":{"k":[["host-",6,"a"]],"t":"2 0A.1:0100"}}"#,
        r#"{"r":{"t":""}}"#,
        r#"{"q":".2000"}"#,
        r#"{"q":"."}"#,
    ] {
        assert!(serde_json::from_str::<Job>(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn compact_shards_are_decoded_without_loss() {
    let mut rng = SmallRng::seed_from_u64(8);
    for count in [0, 1, 2, 90, 400] {
        let mut shard = ZoneShard::default();
        let mut machine_shard = MachineShard::default();
        for n in 0..count {
            let n = n * rng.random_range(1..3);
            let kind = ["small", "\"big\" one"][rng.random_range(0..2)];
            let unbooked = match n % 9 {
                4 => job_spec(JobKind::Array, 1).need,
                _ => Resources::default(),
            };
            let slot = MachineSlot {
                kind: kind.into(),
                spot: rng.random(),
                free: Resources::default(),
                unbooked,
            };
            shard.machines.insert(machine_name(n), slot);
            let lifecycles = [
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
                lifecycle: lifecycles[n % 5],
                spot: rng.random(),
                ..Machine::new(kind, "")
            };
            machine_shard.machines.insert(machine_name(n), machine);
        }
        assert_eq!(
            decode::<ZoneShard>(encoding::encode_zone_shard(&shard)),
            shard
        );
        assert_eq!(
            decode::<MachineShard>(encoding::encode_machine_shard(&machine_shard)),
            machine_shard
        );
        assert!(encoding::is_compact_zone_shard(
            &encoding::encode_zone_shard(&shard).expect("text")
        ));
        let plain = serde_json::to_string(&shard).expect("text");
        assert!(!encoding::is_compact_zone_shard(&plain));
    }
    for invalid in [
        r#"{"m":[["bay",1,"a","big",0,[["host-",6,"1.2.3"]]]]}"#,
        r#"{"m":[["bay",1,"a","big",0,[["host-",6,"1.2.3.4.5"]]]]}"#,
        r#"{"m":[["bay",1,"a","big",0,[["host-",6,""]]]]}"#,
    ] {
        assert!(
            serde_json::from_str::<MachineShard>(invalid).is_err(),
            "{invalid}"
        );
    }
}

/// All machines of one zone with the same preferred owner fit one zone shard, whatever the
/// numbers in their names, and more than a hundred of them fit one machine shard.
#[test]
fn machines_of_one_controller_fit_one_zone_shard() {
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
    assert!(
        bytes <= LIMIT_BYTES * 9 / 10,
        "{bytes} bytes for 320 machines"
    );
    let bytes = encoding::encode_machine_shard(&machine_shard)
        .expect("text")
        .len();
    assert!(bytes <= LIMIT_BYTES, "{bytes} bytes for 110 machines");
}

/// The machine types of the documented deployments fit one record.
#[test]
fn machine_types_fit_one_record() {
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
    assert!(bytes <= LIMIT_BYTES, "{bytes} bytes");
}

/// A compact record of 2 KiB holds about as many tasks of an array as a plain record of
/// 8 KiB. It also has space for all tasks of the largest documented gang and service.
#[test]
fn compact_record_holds_as_many_tasks() {
    let array = Job::new(job_spec(JobKind::Array, 1800), 1 << 40);
    let plain_tasks = tasks_within_record_limit(&array, &placements(40, 12), 8192, false);
    let compact_tasks = tasks_within_record_limit(&array, &placements(40, 12), LIMIT_BYTES, true);
    assert!(
        compact_tasks * 10 >= plain_tasks.min(450) * 9,
        "{compact_tasks} of {plain_tasks}"
    );
    for (kind, tasks, max_tasks) in [
        (JobKind::Gang, 8, 8),
        (JobKind::Service, 16, 16),
        (JobKind::Array, 1800, 400),
    ] {
        let job = Job::new(job_spec(kind, tasks), 1 << 40);
        let placements = placements(max_tasks.min(40), max_tasks.div_ceil(40));
        assert!(
            tasks_within_record_limit(&job, &placements, LIMIT_BYTES, true) >= max_tasks,
            "{kind:?}"
        );
        let min_bytes = min_record_bytes(&job_spec(kind, tasks), "host-000231", "capannone-nord");
        assert!(min_bytes <= LIMIT_BYTES, "{kind:?} {min_bytes}");
    }
}

/// A full record stays within its limit, in whatever order tasks are booked, end, fail and are
/// stopped.
#[test]
fn full_compact_record_stays_within_the_limit() {
    for (tasks, seed) in [(1800, 1), (4096, 2), (100_000, 3)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let spec = job_spec(JobKind::Array, tasks);
        let mut job = Job::new(spec.clone(), 1 << 40);
        job.attempt = 1;
        let mut max_booked = 0;
        for round in 0..60 {
            let mut candidates = placements(40, 14);
            candidates.truncate(job.waiting_count());
            let n = tasks_within_record_limit(&job, &candidates, LIMIT_BYTES, true);
            let booked: Vec<&TaskPlacement> = candidates[..n].iter().collect();
            if !booked.is_empty() {
                book(&mut job, &spec, &booked);
            }
            max_booked = max_booked.max(job.booked_count());
            let check = |job: &Job| {
                let bytes = encoding::encode_job(job).expect("text").len();
                assert!(bytes <= LIMIT_BYTES, "{bytes} bytes in round {round}");
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
            let fits =
                |job: &Job| encoding::encode_job(job).is_some_and(|t| t.len() <= LIMIT_BYTES);
            if let Some(machine) = job.runs.first().map(|r| r.machine.clone()) {
                job.stop_tasks(&machine, 2, fits);
                check(&job);
            }
        }
        assert!(max_booked > 300, "{max_booked} of {tasks}");
    }
}
