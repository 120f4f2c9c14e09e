//! What follows from jobs that await others.

use serde_json::json;
use tokio::time::Instant;

use super::setup::{
    after, ended, hints, jobs_of, may_preempt, settings, settings_json, spec, view_with,
    view_with_types,
};
use shelfhoist::dependencies::EffectiveUrgency;
use shelfhoist::scheduler::{self, AcceleratorProtection, Plan, Transaction};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::job_key;
use shelfhoist::state::replica::Replica;

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

/// A job has the highest priority and the tightest deadline of the open jobs
/// that need it, less the expected work between; each change counts at once.
#[test]
fn what_needs_a_job_passes_its_priority_and_deadline_on() {
    use Priority::*;
    let mut replica = view_with_types();
    let jobs = [
        // A diamond with a tail, and one that nothing needs.
        ("job-1", after(&[], Low, 15.0, None)),
        ("job-2", after(&["job-1"], Low, 25.0, None)),
        ("job-3", after(&["job-1"], Normal, 20.0, Some(500.0))),
        ("job-4", after(&["job-2", "job-3"], High, 8.0, Some(100.0))),
        ("job-5", after(&["job-4"], Low, 1.0, Some(60.0))),
        ("job-6", after(&[], Normal, 5.0, Some(30.0))),
    ];
    let mut at = 10;
    let mut set = |replica: &mut Replica, id: &str, job: &Job| {
        at += 1;
        replica.apply_events(vec![Event::put(job_key(id), job, at)], at);
    };
    // In no order of theirs: the last first.
    for (id, job) in jobs.iter().rev() {
        set(&mut replica, id, job);
    }
    let check = |replica: &Replica, step: &str, expected: &[(&str, Priority, Option<f64>)]| {
        let now = Instant::now();
        for (id, priority, time_left_s) in expected {
            let spec = replica.jobs[*id].value.spec.as_ref().expect("open");
            let urgency = replica.effective_urgency(id, spec, now);
            assert_eq!(urgency.priority, *priority, "{step}: {id}");
            let near = match (urgency.time_left_s, time_left_s) {
                (Some(a), Some(b)) => (a - b).abs() < 5.0,
                (a, b) => a.is_none() && b.is_none(),
            };
            assert!(
                near,
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
    set(&mut replica, "job-5", &ended(JobStatus::Cancelled));
    check(
        &replica,
        "the tail cancelled",
        &[
            ("job-1", High, Some(67.0)),
            ("job-2", High, Some(92.0)),
            ("job-3", High, Some(92.0)),
            ("job-4", High, Some(100.0)),
        ],
    );
    set(&mut replica, "job-4", &ended(JobStatus::Cancelled));
    check(
        &replica,
        "the join cancelled",
        &[
            ("job-1", Normal, Some(480.0)),
            ("job-2", Low, None),
            ("job-3", Normal, Some(500.0)),
        ],
    );
    assert_eq!(replica.open_jobs.len(), 2, "job-1 and job-6");
    set(&mut replica, "job-1", &ended(JobStatus::Done));
    assert_eq!(replica.open_jobs.len(), 3, "job-2, job-3 and job-6");
    assert_eq!(replica.blocked_jobs().count(), 0);
}

/// Lateness goes by the deadline of what needs a job, too.
#[test]
fn a_job_is_late_for_what_needs_it() {
    let mut set = settings_json();
    set["deployment"]["objectives"] = json!([
        {"kind": "wait", "class": "w", "within_s": 40.0, "target": 0.9},
        {"kind": "deadline", "class": "d", "target": 0.9},
    ]);
    let set = Settings::parse(&set.to_string()).expect("settings");
    // Class, own deadline, time left, whether dependents have a deadline, age -> late.
    // The estimate is 10 s.
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
            ..spec(JobKind::Array, 1, 1.0)
        };
        let urgency = EffectiveUrgency {
            priority: Priority::Low,
            time_left_s,
            dependents_have_deadline,
        };
        let got = scheduler::is_late(&spec, &set, age, &urgency);
        assert_eq!(got, expected, "{case:?}");
    }
}

/// Work is preempted by the effective priority, on both sides.
#[test]
fn preemption_goes_by_the_effective_priority() {
    use Priority::*;
    let low = spec(JobKind::Array, 1, 1.0);
    let low = JobSpec {
        priority: Low,
        ..low
    };
    for (ours, theirs, expected) in [
        (Low, Low, false),
        (High, Low, true),
        (High, High, false),
        (Low, High, false),
    ] {
        let got = may_preempt((&low, ours), false, (&low, theirs), false);
        assert_eq!(got, expected, "{ours:?} {theirs:?}");
    }
}

/// What a job's state is follows from the records, however they come in: one
/// by one in any order, in arrivals, or all at once.
#[test]
fn states_follow_from_the_records_in_any_order() {
    use Priority::Low;
    let first = |status: JobStatus| match status {
        JobStatus::Open => after(&[], Low, 5.0, None),
        status => ended(status),
    };
    let jobs = |status: JobStatus, other: JobStatus| {
        vec![
            ("job-1", first(status)),
            ("job-2", first(other)),
            ("job-3", after(&["job-1"], Low, 5.0, Some(50.0))),
            ("job-4", after(&["job-2", "job-3"], Low, 5.0, None)),
            ("job-5", after(&["job-4"], Low, 5.0, None)),
            ("job-6", after(&["job-2"], Low, 5.0, None)),
        ]
    };
    use JobStatus::*;
    // What the first two are -> states of all, and the open ones.
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
    for ((status, other), states, open) in cases {
        let jobs = jobs(status, other);
        // Every order in which six records can come in.
        let mut orders = vec![vec![]];
        for n in 0..jobs.len() {
            orders = orders
                .into_iter()
                .flat_map(|o: Vec<usize>| {
                    (0..=o.len()).map(move |at| {
                        let mut o = o.clone();
                        o.insert(at, n);
                        o
                    })
                })
                .collect();
        }
        let check = |replica: &Replica, how: &str| {
            for ((id, _), state) in jobs.iter().zip(states) {
                assert_eq!(
                    replica.effective_status(id),
                    Some(state),
                    "{status:?} {other:?} {how}: {id}"
                );
            }
            let got: Vec<&str> = replica
                .open_jobs
                .iter()
                .map(|(_, id)| id.as_str())
                .collect();
            assert_eq!(got, open, "{status:?} {other:?} {how}");
            let cancelled_with_dependency = states.iter().zip(&jobs);
            let cancelled_with_dependency =
                cancelled_with_dependency.filter(|(s, (_, job))| **s == Cancelled && job.is_open());
            assert_eq!(
                replica.cancelled_with_dependency().count(),
                cancelled_with_dependency.count(),
                "{how}"
            );
            let held = 6 - open.len() - states.iter().filter(|s| **s != Open).count();
            assert_eq!(replica.blocked_jobs().count(), held, "{how}");
        };
        for order in &orders {
            let mut replica = Replica::default();
            for (step, n) in order.iter().enumerate() {
                let (id, job) = &jobs[*n];
                let at = step as u64 + 1;
                replica.apply_events(vec![Event::put(job_key(id), job, at)], at);
            }
            check(&replica, &format!("{order:?}"));
        }
        // All open at first, in one arrival; then the first two change.
        let specs = jobs_of(&jobs);
        let mut replica = Replica::default();
        let key = shelfhoist::state::keys::accepted_batch_key("x");
        let arrivals = AcceptedBatch {
            accepted_revision: 7,
            jobs: specs,
        };
        replica.apply_events(vec![Event::put(key, &arrivals, 1)], 1);
        for (n, (id, job)) in jobs[..2].iter().enumerate() {
            let at = n as u64 + 2;
            replica.apply_events(vec![Event::put(job_key(id), job, at)], at);
        }
        check(&replica, "arrivals");
        // A full read finds the same.
        let mut pairs: Vec<StoredRecord> = Vec::new();
        for (id, job) in &jobs {
            pairs.push(
                serde_json::from_value(json!({"key": job_key(id), "value": job, "stamp": 9}))
                    .expect("pair"),
            );
        }
        replica.reload(pairs, 9);
        check(&replica, "reload");
    }
}

/// Safety 7: what waits is not booked, whoever found placements for it; and once it
/// is, its record no longer names what was awaited.
#[test]
fn what_waits_is_not_booked() {
    let set = settings();
    for (status, booked) in [
        (JobStatus::Open, 0),
        (JobStatus::Cancelled, 0),
        (JobStatus::Done, 2),
    ] {
        let mut replica = view_with(&[("a", "m", 8.0)]);
        let second = after(&["job-1"], Priority::Low, 5.0, None);
        replica.apply_events(
            vec![
                Event::put(job_key("job-1"), &ended(status), 4),
                Event::put(job_key("job-2"), &second, 4),
            ],
            4,
        );
        let plan = Plan::from_replica(&replica);
        let spec = second.spec.clone().expect("spec");
        let placements = scheduler::find_placements(
            &second,
            &spec,
            &plan,
            &hints(&replica),
            &set,
            AcceleratorProtection::Lax,
        );
        let mut transaction = Transaction::new(&replica, 9);
        let got = transaction.book("job-2", &spec, &placements.expect("placements"));
        assert_eq!(got, booked, "{status:?}");
        let left = transaction.job("job-2").and_then(|j| j.spec.as_ref());
        let left = left.map_or(0, |s| s.dependencies.len());
        assert_eq!(left, usize::from(booked == 0), "{status:?}");
    }
}
