//! Jobs that depend on other jobs: effective priorities and deadlines, statuses, bookings.

use serde_json::json;
use tokio::time::Instant;

use super::setup::{
    closed_job, job_spec, job_specs, job_with_dependencies, may_preempt, placement_hints,
    replica_with_machine_types, replica_with_machines, settings, settings_json,
};
use shelfhoist::dependencies::EffectiveUrgency;
use shelfhoist::scheduler::{self, AcceleratorProtection, Plan, Transaction};
use shelfhoist::settings::Settings;
use shelfhoist::state::full_read::Snapshot;
use shelfhoist::state::keys::job_key;
use shelfhoist::state::replica::Replica;

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

/// The effective priority of a job is the highest of its own and those of its open dependents.
/// Its effective deadline is the earliest of its own and those of its open dependents; each of
/// these is reduced by the estimated run times of the dependent and of the jobs in between. Every
/// change of a record takes effect immediately.
#[test]
fn job_inherits_priority_and_deadline_of_its_dependents() {
    use Priority::*;
    let mut replica = replica_with_machine_types();
    let jobs = [
        // A diamond (1 to 4) with a tail (5), and a job without dependents (6).
        ("job-1", job_with_dependencies(&[], Low, 15.0, None)),
        ("job-2", job_with_dependencies(&["job-1"], Low, 25.0, None)),
        (
            "job-3",
            job_with_dependencies(&["job-1"], Normal, 20.0, Some(500.0)),
        ),
        (
            "job-4",
            job_with_dependencies(&["job-2", "job-3"], High, 8.0, Some(100.0)),
        ),
        (
            "job-5",
            job_with_dependencies(&["job-4"], Low, 1.0, Some(60.0)),
        ),
        ("job-6", job_with_dependencies(&[], Normal, 5.0, Some(30.0))),
    ];
    let mut version = 10;
    let mut put = |replica: &mut Replica, id: &str, job: &Job| {
        version += 1;
        replica.apply_events(vec![Event::put(job_key(id), job, version)], version);
    };
    // Dependents are applied before their dependencies.
    for (id, job) in jobs.iter().rev() {
        put(&mut replica, id, job);
    }
    let check = |replica: &Replica, step: &str, expected: &[(&str, Priority, Option<f64>)]| {
        let now = Instant::now();
        for (id, priority, time_left_s) in expected {
            let spec = replica.jobs[*id].value.spec.as_ref().expect("open");
            let urgency = replica.effective_urgency(id, spec, now);
            assert_eq!(urgency.priority, *priority, "{step}: {id}");
            let is_close = match (urgency.time_left_s, time_left_s) {
                (Some(a), Some(b)) => (a - b).abs() < 5.0,
                (a, b) => a.is_none() && b.is_none(),
            };
            assert!(
                is_close,
                "{step}: {id}: {:?}, not {time_left_s:?}",
                urgency.time_left_s
            );
        }
    };
    check(
        &replica,
        "all open",
        &[
            ("job-1", High, Some(26.0)), // 60 - 1 - 8 - 25
            ("job-2", High, Some(51.0)),
            ("job-3", High, Some(51.0)),
            ("job-4", High, Some(59.0)),
            ("job-5", Low, Some(60.0)),
            ("job-6", Normal, Some(30.0)),
        ],
    );
    put(&mut replica, "job-5", &closed_job(JobStatus::Cancelled));
    check(
        &replica,
        "job-5 cancelled",
        &[
            ("job-1", High, Some(67.0)),
            ("job-2", High, Some(92.0)),
            ("job-3", High, Some(92.0)),
            ("job-4", High, Some(100.0)),
        ],
    );
    put(&mut replica, "job-4", &closed_job(JobStatus::Cancelled));
    check(
        &replica,
        "job-4 and job-5 cancelled",
        &[
            ("job-1", Normal, Some(480.0)),
            ("job-2", Low, None),
            ("job-3", Normal, Some(500.0)),
        ],
    );
    assert_eq!(replica.open_jobs.len(), 2, "job-1 and job-6");
    put(&mut replica, "job-1", &closed_job(JobStatus::Done));
    assert_eq!(replica.open_jobs.len(), 3, "job-2, job-3 and job-6");
    assert_eq!(replica.blocked_jobs().count(), 0);
}

/// A job can also be late because of the deadline of its dependents.
#[test]
fn lateness_considers_the_deadline_of_dependents() {
    let mut settings = settings_json();
    settings["deployment"]["objectives"] = json!([
        {"kind": "wait", "class": "w", "within_s": 40.0, "target": 0.9},
        {"kind": "deadline", "class": "d", "target": 0.9},
    ]);
    let settings = Settings::parse(&settings.to_string()).expect("settings");
    // Each case has the class, the own deadline, the time left, whether dependents have a
    // deadline, the age, and whether the job is late. The estimated run time is 10 s.
    let cases = [
        ("x", None, None, false, 999.0, false),
        ("x", None, Some(20.0), true, 999.0, false),
        ("x", None, Some(9.0), true, 0.0, true),
        ("w", None, None, false, 39.0, false),
        ("w", None, None, false, 41.0, true),
        ("w", None, Some(9.0), true, 39.0, false),
        ("w", None, Some(20.0), true, 41.0, false),
        ("w", None, Some(9.0), true, 41.0, true),
        ("d", Some(50.0), Some(11.0), false, 0.0, false),
        ("d", Some(50.0), Some(9.0), false, 0.0, true),
        ("d", Some(50.0), Some(-3.0), true, 0.0, true),
        ("d", None, None, false, 999.0, false),
    ];
    for case in cases {
        let (class, deadline_s, time_left_s, dependents_have_deadline, age, expected) = case;
        let spec = JobSpec {
            class: class.into(),
            deadline_s,
            ..job_spec(JobKind::Array, 1, 1.0)
        };
        let urgency = EffectiveUrgency {
            priority: Priority::Low,
            time_left_s,
            dependents_have_deadline,
        };
        let got = scheduler::is_late(&spec, &settings, age, &urgency);
        assert_eq!(got, expected, "{case:?}");
    }
}

/// Preemption compares the effective priorities of the waiting job and of the running work.
#[test]
fn preemption_uses_effective_priorities() {
    use Priority::*;
    let low = job_spec(JobKind::Array, 1, 1.0);
    let low = JobSpec {
        priority: Low,
        ..low
    };
    for (job_priority, running_priority, expected) in [
        (Low, Low, false),
        (High, Low, true),
        (High, High, false),
        (Low, High, false),
    ] {
        let got = may_preempt((&low, job_priority), false, (&low, running_priority), false);
        assert_eq!(got, expected, "{job_priority:?} {running_priority:?}");
    }
}

/// The effective status of a job depends only on the content of the records. It is the same if
/// they are applied one by one in any order, in a batch of accepted jobs, or in a reload.
#[test]
fn effective_status_does_not_depend_on_the_order_of_records() {
    use Priority::Low;
    let job_with_status = |status: JobStatus| match status {
        JobStatus::Open => job_with_dependencies(&[], Low, 5.0, None),
        status => closed_job(status),
    };
    let jobs = |first: JobStatus, second: JobStatus| {
        vec![
            ("job-1", job_with_status(first)),
            ("job-2", job_with_status(second)),
            (
                "job-3",
                job_with_dependencies(&["job-1"], Low, 5.0, Some(50.0)),
            ),
            (
                "job-4",
                job_with_dependencies(&["job-2", "job-3"], Low, 5.0, None),
            ),
            ("job-5", job_with_dependencies(&["job-4"], Low, 5.0, None)),
            ("job-6", job_with_dependencies(&["job-2"], Low, 5.0, None)),
        ]
    };
    use JobStatus::*;
    // Each case has the statuses of the first two jobs, the effective statuses of all jobs, and
    // the jobs that can start.
    let cases = [
        ((Open, Open), [Open; 6], vec!["job-1", "job-2"]),
        (
            (Done, Open),
            [Done, Open, Open, Open, Open, Open],
            vec!["job-2", "job-3"],
        ),
        (
            (Cancelled, Open),
            [Cancelled, Open, Cancelled, Cancelled, Cancelled, Open],
            vec!["job-2"],
        ),
        (
            (Done, Cancelled),
            [Done, Cancelled, Open, Cancelled, Cancelled, Cancelled],
            vec!["job-3"],
        ),
        (
            (Done, Done),
            [Done, Done, Open, Open, Open, Open],
            vec!["job-3", "job-6"],
        ),
    ];
    for ((first, second), statuses, startable) in cases {
        let jobs = jobs(first, second);
        // Every order in which the six records can be applied.
        let mut orders = vec![vec![]];
        for n in 0..jobs.len() {
            orders = orders
                .into_iter()
                .flat_map(|order: Vec<usize>| {
                    (0..=order.len()).map(move |position| {
                        let mut order = order.clone();
                        order.insert(position, n);
                        order
                    })
                })
                .collect();
        }
        let check = |replica: &Replica, how: &str| {
            for ((id, _), status) in jobs.iter().zip(statuses) {
                assert_eq!(
                    replica.effective_status(id),
                    Some(status),
                    "{first:?} {second:?} {how}: {id}"
                );
            }
            let got: Vec<&str> = replica
                .open_jobs
                .iter()
                .map(|(_, id)| id.as_str())
                .collect();
            assert_eq!(got, startable, "{first:?} {second:?} {how}");
            let cancelled_with_dependency = statuses.iter().zip(&jobs);
            let cancelled_with_dependency =
                cancelled_with_dependency.filter(|(s, (_, job))| **s == Cancelled && job.is_open());
            assert_eq!(
                replica.cancelled_with_dependency().count(),
                cancelled_with_dependency.count(),
                "{how}"
            );
            let blocked = 6 - startable.len() - statuses.iter().filter(|s| **s != Open).count();
            assert_eq!(replica.blocked_jobs().count(), blocked, "{how}");
        };
        for order in &orders {
            let mut replica = Replica::default();
            for (step, n) in order.iter().enumerate() {
                let (id, job) = &jobs[*n];
                let version = step as u64 + 1;
                replica.apply_events(vec![Event::put(job_key(id), job, version)], version);
            }
            check(&replica, &format!("{order:?}"));
        }
        // All jobs are open at first, in one batch; then the records of the first two change.
        let specs = job_specs(&jobs);
        let mut replica = Replica::default();
        let key = shelfhoist::state::keys::accepted_batch_key("x");
        let batch = AcceptedBatch {
            accepted_revision: 7,
            jobs: specs,
        };
        replica.apply_events(vec![Event::put(key, &batch, 1)], 1);
        for (n, (id, job)) in jobs[..2].iter().enumerate() {
            let version = n as u64 + 2;
            replica.apply_events(vec![Event::put(job_key(id), job, version)], version);
        }
        check(&replica, "batch");
        // A reload of all records has the same result.
        let mut records: Vec<StoredRecord> = Vec::new();
        for (id, job) in &jobs {
            records.push(
                serde_json::from_value(json!({"key": job_key(id), "value": job, "stamp": 9}))
                    .expect("record"),
            );
        }
        let revision = 9;
        replica.reload(Snapshot { records, revision });
        check(&replica, "reload");
    }
}

/// Safety 7: a job with open dependencies is not booked, even if placements were found for it.
/// Once a job is booked, its record no longer contains its dependencies.
#[test]
fn job_with_open_dependencies_is_not_booked() {
    let settings = settings();
    for (status, expected_bookings) in [
        (JobStatus::Open, 0),
        (JobStatus::Cancelled, 0),
        (JobStatus::Done, 2),
    ] {
        let mut replica = replica_with_machines(&[("a", "m", 8.0)]);
        let dependent = job_with_dependencies(&["job-1"], Priority::Low, 5.0, None);
        replica.apply_events(
            vec![
                Event::put(job_key("job-1"), &closed_job(status), 4),
                Event::put(job_key("job-2"), &dependent, 4),
            ],
            4,
        );
        let plan = Plan::from_replica(&replica);
        let spec = dependent.spec.clone().expect("spec");
        let placements = scheduler::find_placements(
            &dependent,
            &spec,
            &plan,
            &placement_hints(&replica),
            &settings,
            AcceleratorProtection::Lax,
        );
        let mut transaction = Transaction::new(&replica, 9);
        let got = transaction.book("job-2", &spec, &placements.expect("placements"));
        assert_eq!(got, expected_bookings, "{status:?}");
        let spec = transaction.job("job-2").and_then(|job| job.spec.as_ref());
        let remaining = spec.map_or(0, |spec| spec.dependencies.len());
        assert_eq!(remaining, usize::from(expected_bookings == 0), "{status:?}");
    }
}
