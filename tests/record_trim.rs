//! Tests that job records above the upcoming limit are trimmed to what the job still needs,
//! and that a trimmed record allows nothing that the original did not allow. The upcoming limit
//! is a lower limit of the state service that the settings announce before it is in force.

use std::collections::BTreeSet;

use serde_json::json;
use shelfhoist::state::encoding;
use shelfhoist::state::keys::{FORMATS_KEY, TYPES_KEY, job_key};
use shelfhoist::state::record_trim::{TrimContext, trim_job};
use shelfhoist::state::records::{Amount, Job, JobSpec, JobStatus, NumberSet, Resources, Run};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, JobKind, MachineType, Priority, Write};

/// The upcoming limit of the size of a record.
const LIMIT_BYTES: usize = 2048;

fn machine_type(name: &str, cpus: f64, zones: &[&str]) -> MachineType {
    let value = json!({"label": name, "vcpus": cpus, "cards": 0.0, "ram_gb": 64.0,
        "hourly": 1.0, "yards": zones});
    serde_json::from_value(value).expect("a machine type")
}

/// Returns the offered machine types. `small` is too small for the jobs of these tests, `far`
/// is in another zone, and `unnamed` is not allowed by their specifications.
fn offered_types() -> Vec<MachineType> {
    vec![
        machine_type("small", 1.0, &["a", "b"]),
        machine_type("big", 8.0, &["a", "b"]),
        machine_type("huge", 64.0, &["a"]),
        machine_type("far", 64.0, &["b"]),
        machine_type("unnamed", 64.0, &["a"]),
    ]
}

/// Returns a specification of about 2 KiB. Older versions accept such a specification while
/// the limit is 8 KiB for each record.
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

/// Returns a job with a long specification, some running tasks and some tasks to retry.
fn running_job(kind: JobKind) -> Job {
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

/// Returns the length of the compact encoding, in bytes.
fn compact_length(job: &Job) -> usize {
    encoding::encode_job(job).expect("text").len()
}

/// Returns the job trimmed to `limit` bytes in the compact encoding, or `None` if nothing is
/// trimmed.
fn trim(job: &Job, slo_classes: &[&str], limit: usize) -> Option<Job> {
    let context = TrimContext {
        machine_types: &offered_types(),
        slo_classes: &slo_classes.iter().map(|c| c.to_string()).collect(),
        is_done: &|id| id == "job-000001",
    };
    trim_job(job, &context, |job| compact_length(job) <= limit)
}

fn spec(job: &Job) -> &JobSpec {
    job.spec.as_ref().expect("a specification")
}

#[test]
fn record_within_the_limit_is_not_trimmed() {
    let job = running_job(JobKind::Array);
    assert_eq!(trim(&job, &[], compact_length(&job)), None);
    assert_eq!(trim(&job, &[], usize::MAX), None);
}

/// The record of a cancelled or done job keeps what its remaining runs need until they end.
#[test]
fn finished_job_keeps_what_its_remaining_runs_need() {
    for kind in [JobKind::Array, JobKind::Gang, JobKind::Service] {
        for status in [JobStatus::Cancelled, JobStatus::Done] {
            let job = Job {
                status,
                ..running_job(kind)
            };
            assert!(
                compact_length(&job) > LIMIT_BYTES,
                "{}",
                compact_length(&job)
            );
            let trimmed = trim(&job, &[], LIMIT_BYTES).expect("trimmed");
            assert!(
                compact_length(&trimmed) < 600,
                "{}",
                compact_length(&trimmed)
            );
            assert_eq!(trimmed.status, job.status);
            assert_eq!(trimmed.runs, job.runs);
            assert_eq!(trimmed.booked_count(), job.booked_count());
            assert_eq!(trimmed.done_count(), job.done_count());
            assert_eq!(trimmed.waiting_count(), job.waiting_count());
            assert_eq!(
                (trimmed.tasks, trimmed.accepted_revision),
                (job.tasks, job.accepted_revision)
            );
            assert_eq!(trimmed.attempt, job.attempt);
            let (before, after) = (spec(&job), spec(&trimmed));
            assert_eq!(after.team, before.team);
            assert_eq!(after.need, before.need);
            assert_eq!((after.kind, after.tasks), (before.kind, before.tasks));
            assert_eq!(after.checkpoint_s, before.checkpoint_s);
            // Every field that older versions require is present.
            let plain = serde_json::to_value(&trimmed).expect("text");
            for field in ["l", "w", "k", "p", "n", "r", "i", "ig", "e", "cs", "ss"] {
                assert!(!plain["s"][field].is_null(), "{field}");
            }
            let decoded: Job = serde_json::from_value(plain).expect("a job");
            assert_eq!(decoded, trimmed);
            assert_eq!(trim(&trimmed, &[], 0), None, "trimmed again");
        }
    }
}

/// An unfinished job is trimmed in steps, the least important fields first. Each step is taken
/// only when the steps before it did not suffice.
#[test]
fn unfinished_job_is_trimmed_step_by_step() {
    let mut job = running_job(JobKind::Array);
    if let Some(spec) = &mut job.spec {
        spec.dependencies = vec!["job-000001".into(), "job-000002".into()];
    }
    let full = compact_length(&job);
    let without_done_dependencies = trim(&job, &[], full - 1).expect("trimmed");
    assert_eq!(
        spec(&without_done_dependencies).dependencies,
        ["job-000002"]
    );
    assert_eq!(spec(&without_done_dependencies).types, spec(&job).types);

    let with_narrowed_types =
        trim(&job, &[], compact_length(&without_done_dependencies) - 1).expect("trimmed");
    let types = spec(&with_narrowed_types).types.clone().expect("types");
    assert_eq!(types, ["big", "huge"]);
    assert_eq!(spec(&with_narrowed_types).image, spec(&job).image);

    let with_short_image =
        trim(&job, &[], compact_length(&with_narrowed_types) - 1).expect("trimmed");
    assert!(spec(&with_short_image).image.starts_with("iiiiiiii~"));
    assert_eq!(spec(&with_short_image).class, spec(&job).class);

    let with_short_class = trim(&job, &[], compact_length(&with_short_image) - 1).expect("trimmed");
    assert!(spec(&with_short_class).class.starts_with("cccccccc~"));
    let with_slo_class = trim(&job, &[&"c".repeat(200)], 0).expect("trimmed");
    assert_eq!(spec(&with_slo_class).class, spec(&job).class);

    // All other fields are unchanged.
    let restored = Job {
        spec: job.spec.clone(),
        ..with_short_class.clone()
    };
    assert_eq!(restored, job);
    let restored = JobSpec {
        class: spec(&job).class.clone(),
        image: spec(&job).image.clone(),
        types: spec(&job).types.clone(),
        dependencies: spec(&job).dependencies.clone(),
        ..spec(&with_short_class).clone()
    };
    assert_eq!(&restored, spec(&job));
    assert_eq!(trim(&with_short_class, &[], 0), None, "trimmed again");
}

/// A trimmed record allows no machine type that the original did not allow. A job that allows
/// every type, or none of the offered types, keeps its types.
#[test]
fn trimmed_types_never_allow_more() {
    let all: Vec<MachineType> = offered_types();
    let names: BTreeSet<&str> = all.iter().map(|t| t.name.as_str()).collect();
    let subsets = 1 << names.len();
    for subset in 0..subsets {
        let named = names.iter().enumerate();
        let named = named.filter(|(n, _)| subset >> n & 1 == 1);
        let named: Vec<String> = named.map(|(_, name)| name.to_string()).collect();
        for zone in [None, Some("a"), Some("b"), Some("c")] {
            let mut job = running_job(JobKind::Gang);
            if let Some(spec) = &mut job.spec {
                spec.types = Some(named.clone());
                spec.zone = zone.map(str::to_string);
            }
            let trimmed = trim(&job, &[], 0).expect("trimmed");
            assert_eq!(spec(&trimmed).zone, spec(&job).zone);
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
                    assert_eq!(allows(&trimmed), allows(&job), "{named:?} {zone:?}");
                } else {
                    let before = allows(&job);
                    assert!(allows(&trimmed).iter().all(|zone| before.contains(zone)));
                }
            }
            assert!(spec(&trimmed).types.is_some());
        }
    }
    let mut job_with_any_type = running_job(JobKind::Array);
    if let Some(spec) = &mut job_with_any_type.spec {
        spec.types = None;
    }
    assert_eq!(
        spec(&trim(&job_with_any_type, &[], 0).expect("trimmed")).types,
        None
    );
    let context_without_types = TrimContext {
        machine_types: &[],
        slo_classes: &BTreeSet::new(),
        is_done: &|_| false,
    };
    let job = running_job(JobKind::Array);
    let trimmed = trim_job(&job, &context_without_types, |_| false).expect("trimmed");
    assert_eq!(spec(&trimmed).types, spec(&job).types);
}

/// Equal long names are shortened to equal texts and different names to different texts;
/// short names are unchanged.
#[test]
fn shortened_names_stay_distinct() {
    let image = |name: String| {
        let mut job = running_job(JobKind::Array);
        if let Some(spec) = &mut job.spec {
            spec.image = name;
        }
        spec(&trim(&job, &[], 0).expect("trimmed")).image.clone()
    };
    let names = (0..500).map(|n| format!("{}{n}", "registry/team/image".repeat(9)));
    let short_names: BTreeSet<String> = names.clone().map(image).collect();
    assert_eq!(short_names.len(), 500);
    assert!(
        short_names.iter().all(|name| name.len() == 25),
        "{short_names:?}"
    );
    assert_eq!(image("img-07".into()), "img-07");
    // The hash is stored, so that all versions must compute the same one.
    assert_eq!(image("i".repeat(200)), "iiiiiiii~e9b67c6c8af1ef7d");
    let wide = image("größe/".repeat(30));
    assert_eq!(image(wide.clone()), wide);
}

/// Returns a replica in which all versions read these formats.
fn replica(formats: u32) -> Replica {
    let mut replica = Replica::with_compact_limit(Some(LIMIT_BYTES));
    let events = vec![
        Event::put(FORMATS_KEY.into(), &json!({"n": {}, "a": formats}), 1),
        Event::put(TYPES_KEY.into(), &json!({"types": offered_types()}), 1),
    ];
    replica.apply_events(events, 2);
    replica
}

/// Returns the job as the replica writes it.
fn written_job(replica: &Replica, job: &Job) -> Job {
    let Write::Put { value, .. } = replica.put_job("job-000007", job) else {
        panic!("not a record")
    };
    serde_json::from_str(value.get()).expect("a job")
}

/// Once all versions read the compact encoding, the replica trims a record in the commit that
/// writes the record. The replica also tracks jobs whose records fit but leave no space for a
/// booking.
#[test]
fn records_are_trimmed_when_written() {
    let job = running_job(JobKind::Array);
    assert_eq!(written_job(&replica(0), &job), job);
    let mut replica = replica(2);
    let trimmed = written_job(&replica, &job);
    assert!(
        compact_length(&trimmed) <= LIMIT_BYTES,
        "{}",
        compact_length(&trimmed)
    );
    assert_ne!(trimmed, job);
    assert!(replica.fits_job(&job, LIMIT_BYTES));
    let mut cancelled = job.clone();
    cancelled.cancel();
    assert!(spec(&written_job(&replica, &cancelled)).class.is_empty());

    // The record of this waiting job fits, but could not hold a booking of any of its tasks.
    let mut waiting = Job::new(long_spec(JobKind::Array), 7);
    if let Some(spec) = &mut waiting.spec {
        spec.class = "c".into();
        spec.zone = None;
    }
    while compact_length(&waiting) > LIMIT_BYTES - 20 {
        let spec = waiting.spec.as_mut().expect("a specification");
        spec.types.as_mut().expect("types").remove(0);
    }
    replica.apply_events(vec![Event::put(job_key("job-000007"), &waiting, 3)], 3);
    assert!(replica.oversized_records.is_empty());
    assert!(replica.long_jobs.contains("job-000007"));
    let trimmed = written_job(&replica, &waiting);
    assert!(spec(&trimmed).types < spec(&waiting).types);
    replica.apply_events(vec![Event::put(job_key("job-000007"), &trimmed, 4)], 4);
    assert_eq!(replica.trimmed_job(&trimmed), None);
    assert!(replica.long_jobs.is_empty());
}
