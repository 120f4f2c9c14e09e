//! Job records that would exceed the coming limit are trimmed to what the job
//! still needs, and allow nothing that they did not allow before.

use std::collections::BTreeSet;

use serde_json::json;
use shelfhoist::state::encoding;
use shelfhoist::state::keys::{FORMATS_KEY, TYPES_KEY, job_key};
use shelfhoist::state::record_trim::{TrimContext, trim_job};
use shelfhoist::state::records::{Amount, Job, JobSpec, JobStatus, NumberSet, Resources, Run};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, JobKind, MachineType, Priority, Write};

const LIMIT: usize = 2048;

fn machine_type(name: &str, cpus: f64, zones: &[&str]) -> MachineType {
    let value = json!({"label": name, "vcpus": cpus, "cards": 0.0, "ram_gb": 64.0,
        "hourly": 1.0, "yards": zones});
    serde_json::from_value(value).expect("a machine type")
}

/// `small` is too small, `far` in another zone, `unnamed` not allowed.
fn offered() -> Vec<MachineType> {
    vec![
        machine_type("small", 1.0, &["a", "b"]),
        machine_type("big", 8.0, &["a", "b"]),
        machine_type("huge", 64.0, &["a"]),
        machine_type("far", 64.0, &["b"]),
        machine_type("unnamed", 64.0, &["a"]),
    ]
}

/// A specification of about 2 KiB, as older versions accept at 8 KiB a record.
fn long_spec(kind: JobKind) -> JobSpec {
    let mut types: Vec<String> = (0..60)
        .map(|n| format!("retired-machine-type-{n}"))
        .collect();
    types.extend(["big", "small", "huge", "far", "big"].map(str::to_string));
    JobSpec {
        class: "c".repeat(200),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks: 40,
        need: Resources {
            cpus: Amount(2000),
            gpus: Amount(0),
            ram: Amount(1000),
        },
        image: "i".repeat(200),
        image_gb: 1.0,
        types: Some(types),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 100.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: Vec::new(),
    }
}

fn running(kind: JobKind) -> Job {
    let run = |n: u32| Run {
        machine: format!("host-{n:06}"),
        zone: "a".into(),
        attempt: 1,
        tasks: NumberSet(vec![(n * 2, n * 2 + 1)]),
        stop: false,
    };
    Job {
        attempt: 1,
        next_task: 20,
        retry: NumberSet(vec![(10, 12)]),
        runs: (0..4).map(run).collect(),
        failed_on: vec!["host-000090".into()],
        ..Job::new(long_spec(kind), 7)
    }
}

fn length(job: &Job) -> usize {
    encoding::encode_job(job).expect("text").len()
}

fn trimmed(job: &Job, aimed: &[&str], limit: usize) -> Option<Job> {
    let context = TrimContext {
        machine_types: &offered(),
        slo_classes: &aimed.iter().map(|c| c.to_string()).collect(),
        is_done: &|id| id == "job-000001",
    };
    trim_job(job, &context, |job| length(job) <= limit)
}

fn spec(job: &Job) -> &JobSpec {
    job.spec.as_ref().expect("a specification")
}

#[test]
fn a_record_that_fits_is_left_as_it_is() {
    let job = running(JobKind::Array);
    assert_eq!(trimmed(&job, &[], length(&job)), None);
    assert_eq!(trimmed(&job, &[], usize::MAX), None);
}

/// Of a cancelled or done job with runs that end, what those need is kept.
#[test]
fn a_closed_job_keeps_what_its_last_runs_need() {
    for kind in [JobKind::Array, JobKind::Gang, JobKind::Service] {
        for status in [JobStatus::Cancelled, JobStatus::Done] {
            let job = Job {
                status,
                ..running(kind)
            };
            assert!(length(&job) > LIMIT, "{}", length(&job));
            let short = trimmed(&job, &[], LIMIT).expect("trimmed");
            assert!(length(&short) < 600, "{}", length(&short));
            assert_eq!(short.status, job.status);
            assert_eq!(short.runs, job.runs);
            assert_eq!(short.booked_count(), job.booked_count());
            assert_eq!(short.done_count(), job.done_count());
            assert_eq!(short.waiting_count(), job.waiting_count());
            assert_eq!(
                (short.tasks, short.accepted_revision),
                (job.tasks, job.accepted_revision)
            );
            assert_eq!(short.attempt, job.attempt);
            let (before, after) = (spec(&job), spec(&short));
            assert_eq!(after.team, before.team);
            assert_eq!(after.need, before.need);
            assert_eq!((after.kind, after.tasks), (before.kind, before.tasks));
            assert_eq!(after.checkpoint_s, before.checkpoint_s);
            // Every field that older versions require is there.
            let plain = serde_json::to_value(&short).expect("text");
            for field in ["l", "w", "k", "p", "n", "r", "i", "ig", "e", "cs", "ss"] {
                assert!(!plain["s"][field].is_null(), "{field}");
            }
            let again: Job = serde_json::from_value(plain).expect("a job");
            assert_eq!(again, short);
            assert_eq!(trimmed(&short, &[], 0), None, "trimmed again");
        }
    }
}

/// The steps for an open job, the least important first: each is taken only when
/// those before it were not enough.
#[test]
fn an_open_job_is_trimmed_step_by_step() {
    let mut job = running(JobKind::Array);
    if let Some(spec) = &mut job.spec {
        spec.dependencies = vec!["job-000001".into(), "job-000002".into()];
    }
    let full = length(&job);
    let without_awaits = trimmed(&job, &[], full - 1).expect("trimmed");
    assert_eq!(spec(&without_awaits).dependencies, ["job-000002"]);
    assert_eq!(spec(&without_awaits).types, spec(&job).types);

    let narrowed = trimmed(&job, &[], length(&without_awaits) - 1).expect("trimmed");
    let types = spec(&narrowed).types.clone().expect("types");
    assert_eq!(types, ["big", "huge"]);
    assert_eq!(spec(&narrowed).image, spec(&job).image);

    let short_image = trimmed(&job, &[], length(&narrowed) - 1).expect("trimmed");
    assert!(spec(&short_image).image.starts_with("iiiiiiii~"));
    assert_eq!(spec(&short_image).class, spec(&job).class);

    let short_class = trimmed(&job, &[], length(&short_image) - 1).expect("trimmed");
    assert!(spec(&short_class).class.starts_with("cccccccc~"));
    let aimed = trimmed(&job, &[&"c".repeat(200)], 0).expect("trimmed");
    assert_eq!(spec(&aimed).class, spec(&job).class);

    // All else stands as it did.
    let restored = Job {
        spec: job.spec.clone(),
        ..short_class.clone()
    };
    assert_eq!(restored, job);
    let restored = JobSpec {
        class: spec(&job).class.clone(),
        image: spec(&job).image.clone(),
        types: spec(&job).types.clone(),
        dependencies: spec(&job).dependencies.clone(),
        ..spec(&short_class).clone()
    };
    assert_eq!(&restored, spec(&job));
    assert_eq!(trimmed(&short_class, &[], 0), None, "trimmed again");
}

/// What was not allowed is not allowed after; a job that allows any type, or none
/// that is offered, keeps its types.
#[test]
fn trimmed_types_never_allow_more() {
    let all: Vec<MachineType> = offered();
    let names: BTreeSet<&str> = all.iter().map(|t| t.name.as_str()).collect();
    let subsets = 1 << names.len();
    for subset in 0..subsets {
        let named = names.iter().enumerate();
        let named = named.filter(|(n, _)| subset >> n & 1 == 1);
        let named: Vec<String> = named.map(|(_, name)| name.to_string()).collect();
        for zone in [None, Some("a"), Some("b"), Some("c")] {
            let mut job = running(JobKind::Gang);
            if let Some(spec) = &mut job.spec {
                spec.types = Some(named.clone());
                spec.zone = zone.map(str::to_string);
            }
            let short = trimmed(&job, &[], 0).expect("trimmed");
            assert_eq!(spec(&short).zone, spec(&job).zone);
            for machine_type in &all {
                let allows = |job: &Job| {
                    let zones = ["a", "b"].into_iter().filter(|zone| {
                        let offered = machine_type.zones.iter().any(|z| z == zone);
                        offered && spec(job).allows(&machine_type.name, zone, true)
                    });
                    zones.collect::<Vec<_>>()
                };
                let fits = machine_type.resources().fits(&spec(&job).need);
                if fits {
                    assert_eq!(allows(&short), allows(&job), "{named:?} {zone:?}");
                } else {
                    let before = allows(&job);
                    assert!(allows(&short).iter().all(|zone| before.contains(zone)));
                }
            }
            assert!(spec(&short).types.is_some());
        }
    }
    let mut any = running(JobKind::Array);
    if let Some(spec) = &mut any.spec {
        spec.types = None;
    }
    assert_eq!(spec(&trimmed(&any, &[], 0).expect("trimmed")).types, None);
    let unknown = TrimContext {
        machine_types: &[],
        slo_classes: &BTreeSet::new(),
        is_done: &|_| false,
    };
    let job = running(JobKind::Array);
    let short = trim_job(&job, &unknown, |_| false).expect("trimmed");
    assert_eq!(spec(&short).types, spec(&job).types);
}

/// One name gives one text, different names give different ones, and short names
/// stand as they are.
#[test]
fn long_names_stay_apart() {
    let image = |name: String| {
        let mut job = running(JobKind::Array);
        if let Some(spec) = &mut job.spec {
            spec.image = name;
        }
        spec(&trimmed(&job, &[], 0).expect("trimmed")).image.clone()
    };
    let names = (0..500).map(|n| format!("{}{n}", "registry/team/image".repeat(9)));
    let short: BTreeSet<String> = names.clone().map(image).collect();
    assert_eq!(short.len(), 500);
    assert!(short.iter().all(|name| name.len() == 25), "{short:?}");
    assert_eq!(image("img-07".into()), "img-07");
    // The hash is part of what is stored: the same in all versions.
    assert_eq!(image("i".repeat(200)), "iiiiiiii~e9b67c6c8af1ef7d");
    let wide = image("größe/".repeat(30));
    assert_eq!(image(wide.clone()), wide);
}

fn replica(formats: u32) -> Replica {
    let mut replica = Replica::with_compact_limit(Some(LIMIT));
    let events = vec![
        Event::put(FORMATS_KEY.into(), &json!({"n": {}, "a": formats}), 1),
        Event::put(TYPES_KEY.into(), &json!({"types": offered()}), 1),
    ];
    replica.apply_events(events, 2);
    replica
}

fn written(replica: &Replica, job: &Job) -> Job {
    let Write::Put { value, .. } = replica.put_job("job-000007", job) else {
        panic!("not a record")
    };
    serde_json::from_str(value.get()).expect("a job")
}

/// The replica trims in the commit that writes the record, once all versions
/// read the compact encoding, and knows those that leave no room for their tasks.
#[test]
fn records_are_trimmed_as_they_are_written() {
    let job = running(JobKind::Array);
    assert_eq!(written(&replica(0), &job), job);
    let mut replica = replica(2);
    let short = written(&replica, &job);
    assert!(length(&short) <= LIMIT, "{}", length(&short));
    assert_ne!(short, job);
    assert!(replica.fits_job(&job, LIMIT));
    let mut cancelled = job.clone();
    cancelled.cancel();
    assert!(spec(&written(&replica, &cancelled)).class.is_empty());

    // It fits as it waits, but none of its tasks would.
    let mut waiting = Job::new(long_spec(JobKind::Array), 7);
    if let Some(spec) = &mut waiting.spec {
        spec.class = "c".into();
        spec.zone = None;
    }
    while length(&waiting) > LIMIT - 20 {
        let spec = waiting.spec.as_mut().expect("a specification");
        spec.types.as_mut().expect("types").remove(0);
    }
    replica.apply_events(vec![Event::put(job_key("job-000007"), &waiting, 3)], 3);
    assert!(replica.oversized_records.is_empty());
    assert!(replica.long_jobs.contains("job-000007"));
    let short = written(&replica, &waiting);
    assert!(spec(&short).types < spec(&waiting).types);
    replica.apply_events(vec![Event::put(job_key("job-000007"), &short, 4)], 4);
    assert_eq!(replica.trimmed_job(&short), None);
    assert!(replica.long_jobs.is_empty());
}
