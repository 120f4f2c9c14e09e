//! Worker statuses, evidence of terminations, leases and failing machines.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::setup::{held, report, settings, spec};
use shelfhoist::cloud::{FailureAttribution, attribute_failure};
use shelfhoist::scheduler::{ReleaseOutcome, Transaction};
use shelfhoist::state::keys::machine_shard_key;
use shelfhoist::workers::{
    self, AttemptKey, OwnedWorker, TaskAttempt, TerminationEvidence, reconcile,
};

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

/// A job that fails on several machines is to blame itself, until it succeeds
/// anywhere; a machine is, where what failed on it succeeds elsewhere.
#[test]
fn failures_are_blamed_on_the_job_or_on_the_machine() {
    use TaskOutcome::{Done, Failed, Lost};
    type Ends = &'static [(&'static str, u64, TaskOutcome)];
    let cases: [(Ends, u32, FailureAttribution); 8] = [
        (&[("m", 1, Failed)], 1, FailureAttribution::Unknown),
        // However many tasks of an attempt fail, the back-off counts one.
        (
            &[("m", 1, Failed), ("m", 1, Failed)],
            1,
            FailureAttribution::Unknown,
        ),
        (
            &[("m", 1, Failed), ("n", 2, Failed)],
            2,
            FailureAttribution::Unknown,
        ),
        (
            &[("m", 1, Failed), ("n", 1, Failed), ("o", 1, Failed)],
            1,
            FailureAttribution::Job,
        ),
        (
            &[("m", 1, Failed), ("n", 1, Done)],
            0,
            FailureAttribution::Machine,
        ),
        (
            &[("m", 1, Failed), ("n", 1, Lost)],
            1,
            FailureAttribution::Unknown,
        ),
        (
            &[("n", 1, Done), ("m", 2, Failed)],
            1,
            FailureAttribution::Unknown,
        ),
        (
            &[
                ("m", 1, Failed),
                ("n", 1, Failed),
                ("o", 1, Failed),
                ("p", 2, Done),
            ],
            0,
            FailureAttribution::Machine,
        ),
    ];
    for (n, (ends, errors, whose)) in cases.into_iter().enumerate() {
        let mut job = Job::new(spec(JobKind::Array, 9, 1.0), 1);
        for (machine, attempt, outcome) in ends {
            let task = job.take_unstarted_task().expect("waiting");
            job.book(machine, "a", *attempt, task);
            assert!(job.release(machine, *attempt, task, *outcome));
        }
        assert_eq!(
            (job.failure_count, attribute_failure(&job, "m")),
            (errors, whose),
            "case {n}"
        );
        let mut cancelled = job.clone();
        cancelled.cancel();
        assert_eq!(
            attribute_failure(&cancelled, "m"),
            FailureAttribution::Job,
            "case {n}"
        );
    }
}

/// Safety 2 and 3: what a report proves, and what it does not.
#[test]
fn only_a_newer_report_under_our_token_proves_an_end() {
    let running = json!([{"board":"job-1/0","try":1,"stage":"running"}]);
    let done = json!([{"board":"job-1/0","try":1,"stage":"ended","cause":"done"}]);
    let none = json!([]);
    type Edit = fn(&mut OwnedWorker);
    let unchanged: Edit = |_| {};
    let launched: Edit = |worker| {
        worker
            .launched_attempts
            .insert(TaskAttempt::new("job-1/0", 1));
    };
    let cases: &[(&str, JobKind, u64, &serde_json::Value, Edit, &str)] = &[
        (
            "absent: launch",
            JobKind::Array,
            5,
            &none,
            unchanged,
            "launch",
        ),
        (
            "absent array task: launch again",
            JobKind::Array,
            5,
            &none,
            launched,
            "launch",
        ),
        (
            "absent gang task that was there: gone",
            JobKind::Gang,
            5,
            &none,
            launched,
            "end lost",
        ),
        (
            "running: nothing",
            JobKind::Array,
            5,
            &running,
            unchanged,
            "",
        ),
        (
            "done: recorded first, not forgotten",
            JobKind::Array,
            5,
            &done,
            unchanged,
            "end done",
        ),
        (
            "an older token proves nothing",
            JobKind::Gang,
            4,
            &none,
            launched,
            "",
        ),
        (
            "a call under way: no verdict",
            JobKind::Gang,
            5,
            &none,
            |worker| {
                worker
                    .launched_attempts
                    .insert(TaskAttempt::new("job-1/0", 1));
                worker.in_flight = true;
            },
            "",
        ),
        (
            "an unanswered launch may land late",
            JobKind::Gang,
            5,
            &none,
            |worker| {
                worker
                    .launched_attempts
                    .insert(TaskAttempt::new("job-1/0", 1));
                worker.has_unanswered_launch = true;
            },
            "",
        ),
        (
            "nor is an end released meanwhile",
            JobKind::Array,
            5,
            &done,
            |worker| worker.has_unanswered_launch = true,
            "",
        ),
        (
            "a launch in a beat answer is on its way",
            JobKind::Array,
            5,
            &none,
            |worker| {
                worker.launches_offered_on = Some(HeartbeatId::new(1, 99));
            },
            "",
        ),
        (
            "the view has not reached the claim",
            JobKind::Array,
            5,
            &none,
            |worker| worker.claim_revision = 11,
            "",
        ),
    ];
    for (name, kind, fencing_token, tasks, edit, expected) in cases {
        let replica = held(*kind, |_| {});
        let now = Instant::now();
        let mut owned_worker = OwnedWorker::new(5, 9, now);
        owned_worker.accept_status(report(7, *fencing_token, (*tasks).clone()), true);
        edit(&mut owned_worker);
        let plan = reconcile(
            "m",
            &owned_worker,
            &replica,
            &BTreeMap::new(),
            Duration::from_secs(2),
            now,
        );
        let mut got: Vec<String> = plan
            .commands
            .iter()
            .map(|o| {
                serde_json::to_value(o.action)
                    .expect("verb")
                    .as_str()
                    .unwrap_or("")
                    .to_string()
            })
            .collect();
        got.extend(
            plan.terminations
                .iter()
                .map(|t| format!("end {:?}", t.outcome).to_lowercase()),
        );
        assert_eq!(got.join(" "), *expected, "{name}");
    }
}

#[test]
fn an_ended_task_is_forgotten_only_once_recorded() {
    let done = json!([{"board":"job-1/0","try":1,"stage":"ended","cause":"done"}]);
    let now = Instant::now();
    let mut owned_worker = OwnedWorker::new(5, 9, now);
    owned_worker.accept_status(report(7, 5, done), true);
    let recorded = held(JobKind::Array, |j| {
        j.release("m", 1, 0, TaskOutcome::Done);
    });
    let plan = |owned_worker: &OwnedWorker| {
        reconcile(
            "m",
            owned_worker,
            &recorded,
            &BTreeMap::<AttemptKey, TerminationEvidence>::new(),
            Duration::from_secs(2),
            now,
        )
    };
    assert_eq!(
        plan(&owned_worker).commands[0].action,
        CommandAction::Forget
    );
    owned_worker.has_unanswered_launch = true;
    assert!(
        plan(&owned_worker).commands.is_empty(),
        "a late launch would start it again"
    );
}

#[test]
fn older_reports_are_passed_over() {
    let now = Instant::now();
    let mut owned_worker = OwnedWorker::new(5, 9, now);
    assert!(owned_worker.accept_status(report(7, 5, json!([])), true));
    assert!(
        !owned_worker.accept_status(report(7, 5, json!([])), true),
        "the same again"
    );
    assert!(
        !owned_worker.accept_status(report(6, 5, json!([])), true),
        "late"
    );
    assert!(
        !owned_worker.accept_status(report(8, 4, json!([])), true),
        "another token"
    );
    assert!(owned_worker.accept_status(report(8, 5, json!([])), false));
}

/// A machine that was lost and claimed again: another controller may have
/// launched the same attempt there in between, so that an end which waited in
/// the queue since before proves nothing any more.
#[test]
fn an_end_is_released_only_under_the_claim_that_proved_it() {
    let cases: &[(&str, u64, MachineLifecycle, u64, ReleaseOutcome)] = &[
        (
            "the claim that stands",
            5,
            MachineLifecycle::Active,
            1,
            ReleaseOutcome::Recorded,
        ),
        (
            "an earlier claim",
            4,
            MachineLifecycle::Active,
            1,
            ReleaseOutcome::Stale,
        ),
        (
            "another run's claim",
            5,
            MachineLifecycle::Active,
            2,
            ReleaseOutcome::Stale,
        ),
        (
            "the cloud's word",
            0,
            MachineLifecycle::Gone,
            2,
            ReleaseOutcome::Recorded,
        ),
    ];
    for (name, fencing_token, lifecycle, incarnation, want) in cases {
        let mut replica = held(JobKind::Array, |_| {});
        let mut machine = replica.machines["m"].value.clone();
        machine.lifecycle = *lifecycle;
        let machine_shard = json!({"m": {"m": serde_json::to_value(&machine).expect("machine")}});
        replica.apply_events(
            vec![Event::put(machine_shard_key("a/n0.0"), &machine_shard, 11)],
            11,
        );
        let key = AttemptKey {
            job: "job-1".into(),
            machine: "m".into(),
            attempt: 1,
            task: 0,
        };
        let outcome = TaskOutcome::Lost;
        let evidence = TerminationEvidence {
            outcome,
            fencing_token: *fencing_token,
        };
        let mut transaction = Transaction::new(&replica, 12);
        let got = transaction.release(&key, evidence, "n0", *incarnation);
        assert_eq!(&got, want, "{name}");
        // The commit depends on the machine's record, too.
        let preconditions = transaction.into_commit().0;
        let on_machine_shard = preconditions
            .iter()
            .any(|g| g.key == machine_shard_key("a/n0.0"));
        assert_eq!(
            on_machine_shard,
            *want == ReleaseOutcome::Recorded,
            "{name}"
        );
    }
}

#[test]
fn a_silent_lease_is_over_only_for_its_holder_throughout() {
    let lease = Duration::from_secs(10);
    let margin = Duration::from_secs(1);
    let start = Instant::now();
    let mut owned_worker = OwnedWorker::new(5, 9, start);
    let late = start + Duration::from_secs(12);
    assert!(
        !owned_worker.has_lease_expired(lease, margin, late),
        "the token was never shown"
    );
    owned_worker.accept_status(report(7, 5, json!([])), true);
    assert!(owned_worker.has_lease_expired(lease, margin, late));
    assert!(
        !owned_worker.has_lease_expired(lease, margin, start + Duration::from_secs(11)),
        "margin"
    );
    owned_worker.has_unanswered_launch = true;
    assert!(
        !owned_worker.has_lease_expired(lease, margin, late),
        "a launch may land late"
    );
    owned_worker.has_unanswered_launch = false;
    owned_worker.last_answered_at = start + Duration::from_secs(5);
    assert!(
        !owned_worker.has_lease_expired(lease, margin, late),
        "renewed since"
    );
}

#[test]
fn the_horizon_leaves_time_for_the_lease() {
    let s = settings();
    let w = &s.deployment.workers;
    let total = s.staleness_limit().as_secs_f64() + w.lease_s * 1.0005;
    assert!(total < w.cancel_s && total > w.cancel_s * 0.95, "{total}");
}

/// An owner that cannot give commands yet renews no lease where something has
/// to end: a cancelled task would live on.
#[test]
fn leases_are_not_renewed_by_who_cannot_stop() {
    let running = json!([{"board":"job-1/0","try":1,"stage":"running"}]);
    let other = json!([{"board":"job-9/0","try":1,"stage":"running"}]);
    let ended = json!([{"board":"job-9/0","try":1,"stage":"ended","cause":"done"}]);
    let open = held(JobKind::Service, |_| {});
    let over = held(JobKind::Service, Job::cancel);
    for (replica, tasks, must_stop) in [
        (&open, &running, false),
        (&over, &running, true),
        (&over, &json!([]), true),
        (&open, &other, true),
        (&open, &ended, false),
    ] {
        let report = report(3, 5, tasks.clone());
        assert_eq!(
            shelfhoist::workers::must_stop(&report, replica),
            must_stop,
            "{tasks}"
        );
    }
}

/// What renews a lease ends what is cancelled, by that very report: whatever was
/// told before, under whatever token the report was made.
#[test]
fn every_answer_stops_what_the_report_shows_as_cancelled() {
    let tasks = json!([
        {"board":"job-1/0","try":1,"stage":"running"},
        {"board":"job-1/1","try":1,"stage":"pulling"},
        {"board":"job-1/2","try":1,"stage":"flushing"},
        {"board":"job-1/3","try":2,"stage":"ended","cause":"stopped"},
        {"board":"job-9/0","try":1,"stage":"running"},
    ]);
    let open = held(JobKind::Service, |_| {});
    let done = held(JobKind::Gang, |j| j.status = JobStatus::Done);
    let over = held(JobKind::Service, Job::cancel);
    for fencing_token in [0, 5, 9] {
        let report = report(3, fencing_token, tasks.clone());
        for replica in [&open, &done] {
            assert_eq!(workers::stops_of_cancelled_tasks(&report, replica), vec![]);
        }
        let stops = workers::stops_of_cancelled_tasks(&report, &over);
        let told: Vec<_> = stops
            .iter()
            .map(|o| (o.action, &*o.task, o.attempt))
            .collect();
        let all = ["job-1/0", "job-1/1", "job-1/2"].map(|t| (CommandAction::Stop, t, 1));
        assert_eq!(told, all);
        assert!(stops.iter().all(|o| o.grace_s == Some(0.0)));
    }
}

/// Heartbeats that arrive while answers do not: an epoch that rises although its
/// heartbeats were answered, or a fencing token that is not shown.
#[test]
fn a_worker_that_hears_nothing_is_found_out() {
    let lease = Duration::from_secs(10);
    let at = |start: Instant, s: f64| start + Duration::from_secs_f64(s);
    // (seconds, epoch, sequence, fencing token) and whether it is unreachable after that.
    type HeartbeatCase = (f64, u64, u64, u64, bool);
    let cases: &[(&str, &[HeartbeatCase])] = &[
        ("well", &[(1.0, 1, 1, 5, false), (12.0, 1, 12, 5, false)]),
        (
            "deaf",
            &[
                (1.0, 1, 1, 5, false),
                (9.0, 1, 9, 5, false),
                (12.0, 2, 12, 5, true),
            ],
        ),
        (
            "silent, then back",
            &[(1.0, 1, 1, 5, false), (40.0, 2, 2, 5, false)],
        ),
        (
            "hears again",
            &[
                (1.0, 1, 1, 5, false),
                (9.0, 1, 9, 5, false),
                (12.0, 2, 12, 5, true),
                (20.0, 2, 20, 5, true),
                (26.0, 2, 26, 5, false),
            ],
        ),
        (
            "token not taken up",
            &[(1.0, 1, 1, 4, false), (11.0, 1, 11, 4, true)],
        ),
    ];
    for (name, beats) in cases {
        let start = Instant::now();
        let mut owned_worker = OwnedWorker::new(5, 1, start);
        for (n, (s, epoch, sequence, fencing_token, unreachable)) in beats.iter().enumerate() {
            let now = at(start, *s);
            let heartbeat = WorkerStatus {
                epoch: *epoch,
                ..report(*sequence, *fencing_token, json!([]))
            };
            assert!(
                owned_worker.record_heartbeat(&heartbeat, lease, now),
                "{name} {n}"
            );
            owned_worker.last_answered_at = now;
            assert_eq!(
                owned_worker.unreachable_since.is_some(),
                *unreachable,
                "{name} {n}"
            );
            // The same again, or an older one, is a late copy.
            assert!(
                !owned_worker.record_heartbeat(&heartbeat, lease, at(start, s + 500.0)),
                "{name} {n}"
            );
            assert_eq!(
                owned_worker.last_message_at, now,
                "{name} {n}: a copy kept it alive"
            );
        }
    }
}

/// A worker that answers commands but sends no heartbeat has no lease: its epoch
/// rises again and again, and what is started there ends each time.
#[test]
fn a_worker_that_cannot_report_is_found_out() {
    let lease = Duration::from_secs(10);
    let start = Instant::now();
    let mut owned_worker = OwnedWorker::new(5, 1, start);
    // Seconds, epoch, sequence, whether it is a heartbeat, whether the worker counts as
    // unreachable.
    for (s, epoch, sequence, is_heartbeat, unreachable) in [
        (1.0, 1, 1, true, false),
        (5.0, 1, 2, false, false),
        (9.0, 1, 3, false, false),
        (11.5, 2, 4, false, true),
        (16.0, 2, 5, false, true),
        (22.0, 3, 6, false, true),
        // It reaches us again; one whole lease has to pass in one epoch.
        (25.0, 4, 7, true, true),
        (31.0, 4, 8, true, true),
        (38.0, 4, 9, true, false),
    ] {
        let now = start + Duration::from_secs_f64(s);
        let report = WorkerStatus {
            epoch,
            ..report(sequence, 5, json!([]))
        };
        match is_heartbeat {
            true => assert!(owned_worker.record_heartbeat(&report, lease, now), "{s}"),
            false => owned_worker.observe_status(&report, lease, now),
        }
        owned_worker.last_answered_at = if is_heartbeat {
            now
        } else {
            owned_worker.last_answered_at
        };
        assert_eq!(owned_worker.unreachable_since.is_some(), unreachable, "{s}");
    }
}
