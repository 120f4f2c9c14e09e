//! Worker statuses, evidence of terminations, leases, and attribution of failures.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::setup::{job_spec, replica_with_booking, settings, worker_status};
use shelfhoist::cloud::{FailureAttribution, attribute_failure};
use shelfhoist::scheduler::{ReleaseOutcome, Transaction};
use shelfhoist::state::keys::machine_shard_key;
use shelfhoist::workers::{
    self, AttemptKey, OwnedWorker, TaskAttempt, TerminationEvidence, TokenRange, reconcile,
};

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

/// A failure is attributed to the job if it has failed on several machines and succeeded on
/// none. It is attributed to the machine if a job that failed there succeeds elsewhere.
#[test]
fn failures_are_attributed_to_the_job_or_the_machine() {
    use TaskOutcome::{Done, Failed, Lost};
    type Terminations = &'static [(&'static str, u64, TaskOutcome)];
    let cases: [(Terminations, u32, FailureAttribution); 8] = [
        (&[("m", 1, Failed)], 1, FailureAttribution::Unknown),
        // Several failed tasks of one attempt count as one failure for the back-off.
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
    for (n, (terminations, failure_count, attribution)) in cases.into_iter().enumerate() {
        let mut job = Job::new(job_spec(JobKind::Array, 9, 1.0), 1);
        for (machine, attempt, outcome) in terminations {
            let task = job.take_unstarted_task().expect("waiting");
            job.book(machine, "a", *attempt, task);
            assert!(job.release(machine, *attempt, task, *outcome));
        }
        assert_eq!(
            (job.failure_count, attribute_failure(&job, "m")),
            (failure_count, attribution),
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

/// Safety 2 and 3: a status proves that a task has ended only if it is newer than the launch
/// and carries the fencing token of this controller's claim.
#[test]
fn only_a_newer_status_with_the_fencing_token_proves_a_termination() {
    let running = json!([{"board":"job-1/0","try":1,"stage":"running"}]);
    let done = json!([{"board":"job-1/0","try":1,"stage":"ended","cause":"done"}]);
    let none = json!([]);
    type EditWorker = fn(&mut OwnedWorker);
    let unchanged: EditWorker = |_| {};
    let launched: EditWorker = |worker| {
        worker
            .launched_attempts
            .insert(TaskAttempt::new("job-1/0", 1));
    };
    let cases: &[(&str, JobKind, u64, &serde_json::Value, EditWorker, &str)] = &[
        (
            "absent task: launch",
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
            "absent gang task that was launched: lost",
            JobKind::Gang,
            5,
            &none,
            launched,
            "end lost",
        ),
        (
            "running task: no command",
            JobKind::Array,
            5,
            &running,
            unchanged,
            "",
        ),
        (
            "ended task: recorded first, not forgotten",
            JobKind::Array,
            5,
            &done,
            unchanged,
            "end done",
        ),
        (
            "older fencing token: no conclusion",
            JobKind::Gang,
            4,
            &none,
            launched,
            "",
        ),
        (
            "direct call in flight: no conclusion",
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
            "unanswered launch that may be executed late: no conclusion",
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
            "unanswered launch: the termination is not recorded",
            JobKind::Array,
            5,
            &done,
            |worker| worker.has_unanswered_launch = true,
            "",
        ),
        (
            "launch in the answer to a heartbeat: no conclusion",
            JobKind::Array,
            5,
            &none,
            |worker| {
                worker.launches_offered_on = Some(HeartbeatId::new(1, 99));
            },
            "",
        ),
        (
            "replica older than the claim: no command",
            JobKind::Array,
            5,
            &none,
            |worker| worker.claim_revision = 11,
            "",
        ),
    ];
    for (name, kind, fencing_token, tasks, edit, expected) in cases {
        let replica = replica_with_booking(*kind, |_| {});
        let now = Instant::now();
        let mut owned_worker = OwnedWorker::new(TokenRange::new(5, 5), 9, now);
        owned_worker.accept_status(worker_status(7, *fencing_token, (*tasks).clone()), true);
        edit(&mut owned_worker);
        let plan = reconcile(
            "m",
            &owned_worker,
            &replica,
            &BTreeMap::new(),
            Duration::from_secs(2),
            now,
        );
        let mut planned: Vec<String> = plan
            .commands
            .iter()
            .map(|command| {
                serde_json::to_value(command.action)
                    .expect("verb")
                    .as_str()
                    .unwrap_or("")
                    .to_string()
            })
            .collect();
        planned.extend(
            plan.terminations
                .iter()
                .map(|termination| format!("end {:?}", termination.outcome).to_lowercase()),
        );
        assert_eq!(planned.join(" "), *expected, "{name}");
    }
}

#[test]
fn ended_task_is_forgotten_only_once_recorded() {
    let done = json!([{"board":"job-1/0","try":1,"stage":"ended","cause":"done"}]);
    let now = Instant::now();
    let mut owned_worker = OwnedWorker::new(TokenRange::new(5, 5), 9, now);
    owned_worker.accept_status(worker_status(7, 5, done), true);
    let recorded = replica_with_booking(JobKind::Array, |job| {
        job.release("m", 1, 0, TaskOutcome::Done);
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
        "a launch that is executed late would start the task again"
    );
}

#[test]
fn older_statuses_are_ignored() {
    let now = Instant::now();
    let mut owned_worker = OwnedWorker::new(TokenRange::new(5, 5), 9, now);
    assert!(owned_worker.accept_status(worker_status(7, 5, json!([])), true));
    assert!(
        !owned_worker.accept_status(worker_status(7, 5, json!([])), true),
        "the same sequence number"
    );
    assert!(
        !owned_worker.accept_status(worker_status(6, 5, json!([])), true),
        "an older sequence number"
    );
    assert!(
        !owned_worker.accept_status(worker_status(8, 4, json!([])), true),
        "another fencing token"
    );
    assert!(owned_worker.accept_status(worker_status(8, 5, json!([])), false));
}

/// After a machine was lost and claimed again, another controller may have launched the same
/// attempt of a task on it in the meantime. Evidence of a termination that was queued under the
/// earlier claim is therefore no longer valid.
#[test]
fn termination_is_recorded_only_under_the_claim_that_proved_it() {
    let cases: &[(&str, u64, MachineLifecycle, u64, ReleaseOutcome)] = &[
        (
            "the present claim",
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
            "a claim of another incarnation",
            5,
            MachineLifecycle::Active,
            2,
            ReleaseOutcome::Stale,
        ),
        (
            "a machine that is gone according to the cloud",
            0,
            MachineLifecycle::Gone,
            2,
            ReleaseOutcome::Recorded,
        ),
    ];
    for (name, fencing_token, lifecycle, incarnation, expected) in cases {
        let mut replica = replica_with_booking(JobKind::Array, |_| {});
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
        let outcome_of_release = transaction.release(&key, evidence, "n0", *incarnation);
        assert_eq!(&outcome_of_release, expected, "{name}");
        // The machine's record is a precondition of the commit.
        let preconditions = transaction.into_commit().preconditions;
        let depends_on_machine = preconditions
            .iter()
            .any(|precondition| precondition.key == machine_shard_key("a/n0.0"));
        assert_eq!(
            depends_on_machine,
            *expected == ReleaseOutcome::Recorded,
            "{name}"
        );
    }
}

/// Guards against jobs that never run (review/4): a booking on a machine whose record has been
/// deleted was never released. It is released only if the replica proves that the machine is
/// gone.
#[test]
fn booking_on_a_machine_without_a_record_is_released() {
    let cases: [(&str, bool, bool, bool, ReleaseOutcome); 4] = [
        (
            "the record exists",
            false,
            false,
            false,
            ReleaseOutcome::Stale,
        ),
        (
            "the record is deleted",
            true,
            false,
            false,
            ReleaseOutcome::Recorded,
        ),
        (
            "the booking is ahead of the replica",
            true,
            true,
            false,
            ReleaseOutcome::Stale,
        ),
        (
            "a machine shard is unreadable",
            true,
            false,
            true,
            ReleaseOutcome::Stale,
        ),
    ];
    for (name, is_deleted, is_ahead, is_unreadable, expected) in cases {
        let mut replica = replica_with_booking(JobKind::Array, |_| {});
        let mut events = Vec::new();
        if is_deleted {
            let machine_shard = json!({"m": {}});
            events.push(Event::put(machine_shard_key("a/n0.0"), &machine_shard, 11));
        }
        if is_unreadable {
            events.push(Event::put(
                machine_shard_key("b/n1.0"),
                &json!({"m": 7}),
                11,
            ));
        }
        replica.apply_events(events, 11);
        if is_ahead {
            let write = replica.put_job("job-1", &replica.jobs["job-1"].value.clone());
            replica.apply_commit(&[write], 12);
        }
        let key = AttemptKey {
            job: "job-1".into(),
            machine: "m".into(),
            attempt: 1,
            task: 0,
        };
        let evidence = TerminationEvidence {
            outcome: TaskOutcome::Lost,
            fencing_token: 0,
        };
        let mut transaction = Transaction::new(&replica, 12);
        let outcome = transaction.release(&key, evidence, "n1", 2);
        assert_eq!(outcome, expected, "{name}");
        assert_eq!(
            replica.booked_machines_without_record().count(),
            usize::from(is_deleted && !is_unreadable),
            "{name}"
        );
    }
}

#[test]
fn silent_lease_expires_only_for_its_continuous_owner() {
    let lease = Duration::from_secs(10);
    let margin = Duration::from_secs(1);
    let start = Instant::now();
    let mut owned_worker = OwnedWorker::new(TokenRange::new(5, 5), 9, start);
    let after_lease = start + Duration::from_secs(12);
    assert!(
        !owned_worker.has_lease_expired(lease, margin, after_lease),
        "the worker has never shown the fencing token"
    );
    owned_worker.accept_status(worker_status(7, 5, json!([])), true);
    assert!(owned_worker.has_lease_expired(lease, margin, after_lease));
    assert!(
        !owned_worker.has_lease_expired(lease, margin, start + Duration::from_secs(11)),
        "the margin has not elapsed"
    );
    owned_worker.has_unanswered_launch = true;
    assert!(
        !owned_worker.has_lease_expired(lease, margin, after_lease),
        "a launch may be executed late"
    );
    owned_worker.has_unanswered_launch = false;
    owned_worker.last_answered_at = start + Duration::from_secs(5);
    assert!(
        !owned_worker.has_lease_expired(lease, margin, after_lease),
        "the lease has been renewed"
    );
}

#[test]
fn staleness_limit_leaves_time_for_the_lease() {
    let settings = settings();
    let workers = &settings.deployment.workers;
    let total = settings.staleness_limit().as_secs_f64() + workers.lease_s * 1.0005;
    assert!(
        total < workers.cancel_s && total > workers.cancel_s * 0.95,
        "{total}"
    );
}

/// An owner that cannot send commands yet does not renew the lease of a worker that runs a task
/// that must be stopped. Otherwise a cancelled task would keep running.
#[test]
fn lease_is_not_renewed_while_a_task_must_be_stopped() {
    let running = json!([{"board":"job-1/0","try":1,"stage":"running"}]);
    let unknown_task = json!([{"board":"job-9/0","try":1,"stage":"running"}]);
    let ended = json!([{"board":"job-9/0","try":1,"stage":"ended","cause":"done"}]);
    let open_job = replica_with_booking(JobKind::Service, |_| {});
    let cancelled_job = replica_with_booking(JobKind::Service, Job::cancel);
    for (replica, tasks, must_stop) in [
        (&open_job, &running, false),
        (&cancelled_job, &running, true),
        (&cancelled_job, &json!([]), true),
        (&open_job, &unknown_task, true),
        (&open_job, &ended, false),
    ] {
        let status = worker_status(3, 5, tasks.clone());
        assert_eq!(
            shelfhoist::workers::must_stop(&status, replica),
            must_stop,
            "{tasks}"
        );
    }
}

/// An answer that renews a lease contains a stop command for every cancelled task in the
/// heartbeat's status. Earlier commands and the fencing token in the status make no difference.
#[test]
fn every_heartbeat_answer_stops_cancelled_tasks() {
    let tasks = json!([
        {"board":"job-1/0","try":1,"stage":"running"},
        {"board":"job-1/1","try":1,"stage":"pulling"},
        {"board":"job-1/2","try":1,"stage":"flushing"},
        {"board":"job-1/3","try":2,"stage":"ended","cause":"stopped"},
        {"board":"job-9/0","try":1,"stage":"running"},
    ]);
    let open_job = replica_with_booking(JobKind::Service, |_| {});
    let done_job = replica_with_booking(JobKind::Gang, |job| job.status = JobStatus::Done);
    let cancelled_job = replica_with_booking(JobKind::Service, Job::cancel);
    for fencing_token in [0, 5, 9] {
        let status = worker_status(3, fencing_token, tasks.clone());
        for replica in [&open_job, &done_job] {
            assert_eq!(workers::stops_of_cancelled_tasks(&status, replica), vec![]);
        }
        let stops = workers::stops_of_cancelled_tasks(&status, &cancelled_job);
        let stopped: Vec<_> = stops
            .iter()
            .map(|stop| (stop.action, &*stop.task, stop.attempt))
            .collect();
        let expected = ["job-1/0", "job-1/1", "job-1/2"].map(|task| (CommandAction::Stop, task, 1));
        assert_eq!(stopped, expected);
        assert!(stops.iter().all(|stop| stop.grace_s == Some(0.0)));
    }
}

/// A worker's heartbeats arrive, but the answers do not reach the worker. There are two signs of
/// this: the worker's epoch increases although its heartbeats were answered, or the worker does
/// not report the fencing token that it was sent.
#[test]
fn worker_that_receives_no_answers_is_detected() {
    let lease = Duration::from_secs(10);
    let time_after = |start: Instant, seconds: f64| start + Duration::from_secs_f64(seconds);
    // Each heartbeat has the time in seconds, the epoch, the sequence number, the fencing token,
    // and whether the worker counts as unreachable after it.
    type HeartbeatCase = (f64, u64, u64, u64, bool);
    let cases: &[(&str, &[HeartbeatCase])] = &[
        (
            "reachable",
            &[(1.0, 1, 1, 5, false), (12.0, 1, 12, 5, false)],
        ),
        (
            "receives no answers",
            &[
                (1.0, 1, 1, 5, false),
                (9.0, 1, 9, 5, false),
                (12.0, 2, 12, 5, true),
            ],
        ),
        (
            "silent for a time",
            &[(1.0, 1, 1, 5, false), (40.0, 2, 2, 5, false)],
        ),
        (
            "receives answers again",
            &[
                (1.0, 1, 1, 5, false),
                (9.0, 1, 9, 5, false),
                (12.0, 2, 12, 5, true),
                (20.0, 2, 20, 5, true),
                (26.0, 2, 26, 5, false),
            ],
        ),
        (
            "fencing token not accepted",
            &[(1.0, 1, 1, 4, false), (11.0, 1, 11, 4, true)],
        ),
    ];
    for (name, heartbeats) in cases {
        let start = Instant::now();
        let mut owned_worker = OwnedWorker::new(TokenRange::new(5, 5), 1, start);
        for (n, (seconds, epoch, sequence, fencing_token, is_unreachable)) in
            heartbeats.iter().enumerate()
        {
            let now = time_after(start, *seconds);
            let heartbeat = WorkerStatus {
                epoch: *epoch,
                ..worker_status(*sequence, *fencing_token, json!([]))
            };
            assert!(
                owned_worker.record_heartbeat(&heartbeat, lease, now),
                "{name} {n}"
            );
            owned_worker.last_answered_at = now;
            assert_eq!(
                owned_worker.unreachable_since.is_some(),
                *is_unreachable,
                "{name} {n}"
            );
            // A heartbeat with the same sequence number is a late copy.
            assert!(
                !owned_worker.record_heartbeat(
                    &heartbeat,
                    lease,
                    time_after(start, seconds + 500.0)
                ),
                "{name} {n}"
            );
            assert_eq!(
                owned_worker.last_message_at, now,
                "{name} {n}: a late copy counted as a message"
            );
        }
    }
}

/// The heartbeats of a worker do not arrive, but it answers direct calls. Its lease is no
/// longer renewed and expires repeatedly. Each time, its epoch increases and the tasks that were
/// launched on it end.
#[test]
fn worker_that_sends_no_heartbeats_is_detected() {
    let lease = Duration::from_secs(10);
    let start = Instant::now();
    let mut owned_worker = OwnedWorker::new(TokenRange::new(5, 5), 1, start);
    // Each status has the time in seconds, the epoch, the sequence number, whether it came in a
    // heartbeat, and whether the worker counts as unreachable after it.
    for (seconds, epoch, sequence, is_heartbeat, is_unreachable) in [
        (1.0, 1, 1, true, false),
        (5.0, 1, 2, false, false),
        (9.0, 1, 3, false, false),
        (11.5, 2, 4, false, true),
        (16.0, 2, 5, false, true),
        (22.0, 3, 6, false, true),
        // Heartbeats arrive again. The worker counts as reachable once it has stayed in one
        // epoch for a whole lease.
        (25.0, 4, 7, true, true),
        (31.0, 4, 8, true, true),
        (38.0, 4, 9, true, false),
    ] {
        let now = start + Duration::from_secs_f64(seconds);
        let status = WorkerStatus {
            epoch,
            ..worker_status(sequence, 5, json!([]))
        };
        match is_heartbeat {
            true => assert!(
                owned_worker.record_heartbeat(&status, lease, now),
                "{seconds}"
            ),
            false => owned_worker.observe_status(&status, lease, now),
        }
        owned_worker.last_answered_at = if is_heartbeat {
            now
        } else {
            owned_worker.last_answered_at
        };
        assert_eq!(
            owned_worker.unreachable_since.is_some(),
            is_unreachable,
            "{seconds}"
        );
    }
}
