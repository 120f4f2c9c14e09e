//! Tests that lower the limits of the state service while controllers serve.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::setup::{
    LIMIT_BYTES, deployment, lower_limits, oversized_records, restart_with_upcoming_limits,
    submit_largest_jobs, upcoming_limits, wait_until_formats_recorded, wait_until_jobs_progress,
};
use crate::stand_ins::{Simulation, StateFault, StateLimits, job, run_in_simulated_time};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{FORMATS_KEY, job_key};

use shelfhoist::state::records::*;

/// Lowers the limits `delay` after the compaction of records has begun, and restarts every
/// controller at the same moment. Asserts that earlier jobs of the largest sizes continue, that
/// further jobs start and end, and that no commit exceeds a size limit. `trouble` is a fault of
/// some commits of the compaction: they are applied late, or their responses are lost.
fn lower_limits_around_compaction(delay: Option<Duration>, trouble: StateFault) {
    run_in_simulated_time(|| async move {
        let simulation = Simulation::with_options(31, deployment()).await;
        sleep(Duration::from_secs(15)).await;
        let first_jobs = submit_largest_jobs(&simulation, 1, 1800).await;
        let cancelled_job = simulation.submit(job(5, "batch", 300, 500.0)).await;
        sleep(Duration::from_secs(12)).await;
        let oversized = oversized_records(&simulation);
        for table in ["sh/zone/", "sh/machine/", "sh/job/"] {
            let has_oversized = oversized.iter().any(|(key, _)| key.starts_with(table));
            assert!(
                has_oversized,
                "no oversized record of {table}: {has_oversized}"
            );
        }
        restart_with_upcoming_limits(&simulation).await;
        wait_until_formats_recorded(&simulation).await;
        simulation.state.fault.set(trouble);
        simulation.state.faulty_commits_left.set(12);
        // Without a delay, the limits are lowered as soon as the formats record shows that all
        // controllers read the new formats.
        sleep(delay.unwrap_or_default()).await;
        if delay.is_some_and(|t| t > Duration::from_secs(20)) {
            assert!(
                oversized_records(&simulation).is_empty(),
                "{:?}",
                oversized_records(&simulation)
            );
        }
        for i in 0..3 {
            simulation.kill_controller(i);
        }
        lower_limits(&simulation);
        for i in 0..3 {
            simulation.start(i);
        }
        let second_jobs = submit_largest_jobs(&simulation, 2, 1800).await;
        assert_eq!(
            simulation.cancel(1, &cancelled_job).await.as_deref(),
            Some("aborted")
        );
        wait_until_jobs_progress(&simulation, &first_jobs).await;
        wait_until_jobs_progress(&simulation, &second_jobs).await;
        sleep(Duration::from_secs(30)).await;
        assert_eq!(simulation.running_task_count(&cancelled_job), 0);
        let refused = simulation.state.rate_limited_commits.get();
        assert!(refused < 40, "{refused} refused for the rate");
        assert!(
            oversized_records(&simulation).is_empty(),
            "{:?}",
            oversized_records(&simulation)
        );
        let beyond = simulation.state.rejected_commits.borrow().clone();
        assert!(beyond.is_empty(), "{beyond:?}");
        simulation.assert_no_violations();
    });
}

#[test]
fn limits_are_lowered_before_compaction() {
    lower_limits_around_compaction(None, StateFault::None);
}

#[test]
fn limits_are_lowered_during_compaction() {
    lower_limits_around_compaction(Some(Duration::from_secs(2)), StateFault::None);
}

#[test]
fn limits_are_lowered_after_compaction() {
    lower_limits_around_compaction(Some(Duration::from_secs(40)), StateFault::None);
}

/// The settings may announce all upcoming limits, some or none. Controllers keep to an upcoming
/// size limit from the start, but to an upcoming rate limit only after refusals show that it is
/// in force.
#[test]
fn upcoming_limits_may_be_absent_or_partial() {
    let settings_with = |next: Value| {
        let mut shape = deployment();
        if !next.is_null() {
            shape.state["next"] = next;
        }
        shape.settings(0)
    };
    let limits_of = |settings: &Settings| {
        let rates = (
            settings.max_writes_per_s(false),
            settings.max_writes_per_s(true),
            settings.max_requests_per_s(true),
        );
        (
            settings.value_limit_bytes(),
            settings.max_writes_per_commit(),
            rates,
            settings.limits_will_decrease(),
        )
    };
    let present = (8192, 12, (90.0, 90.0, 200.0), false);
    for (next, expected) in [
        (Value::Null, present),
        (json!({}), present),
        (json!({"what_is_new": {"value_kb": 1.0}}), present),
        (json!({"value_kb": null, "rps": null}), present),
        (
            json!({"value_kb": 16.0, "txn_ops": 20, "write_rps": 900.0}),
            present,
        ),
        (json!({"value_kb": 2.0}), (2048, 12, present.2, true)),
        (json!({"txn_ops": 5}), (8192, 5, present.2, true)),
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
        assert_eq!(limits_of(&settings_with(next.clone())), expected, "{next}");
    }
    for (field, value) in [
        ("value_kb", json!(1.9)),
        ("value_kb", json!(-2)),
        ("txn_ops", json!(3)),
        ("write_rps", json!(0)),
        ("rps", json!(1e9)),
    ] {
        let mut shape = deployment();
        shape.state["next"] = json!({field: value});
        let text = shape.settings_text(0);
        let error = Settings::parse(&text).expect_err("refused").to_string();
        let name = format!("deployment.state.next.{field}");
        assert!(error.contains(&name), "{error}");
    }
}

/// One controller takes over every machine at the lower write rate before a lease expires.
#[test]
fn one_controller_takes_over_every_machine_at_the_lower_rate() {
    run_in_simulated_time(|| async move {
        let simulation = Simulation::with_options(32, deployment()).await;
        sleep(Duration::from_secs(15)).await;
        restart_with_upcoming_limits(&simulation).await;
        wait_until_formats_recorded(&simulation).await;
        sleep(Duration::from_secs(20)).await;
        lower_limits(&simulation);
        let first_jobs = submit_largest_jobs(&simulation, 1, 1800).await;
        sleep(Duration::from_secs(5)).await;
        let lapsed = simulation.expired_lease_count();
        simulation.kill_controller(0);
        simulation.kill_controller(1);
        sleep(Duration::from_secs(25)).await;
        assert_eq!(simulation.expired_lease_count(), lapsed, "leases ran out");
        let holders = simulation.machine_owners();
        assert_eq!(holders.len(), 160);
        assert!(
            holders.iter().all(|(_, owner)| owner == "n2"),
            "{holders:?}"
        );
        wait_until_jobs_progress(&simulation, &first_jobs).await;
        let beyond = simulation.state.rejected_commits.borrow().clone();
        assert!(beyond.is_empty(), "{beyond:?}");
        simulation.assert_no_violations();
    });
}

/// The limits are lowered although the settings do not announce it. A write that is refused for
/// its size does not stop the loop that sent it and is not repeated endlessly, and other jobs
/// continue.
#[test]
fn oversized_write_does_not_block_other_jobs() {
    run_in_simulated_time(|| async move {
        let mut shape = deployment();
        shape.machines = 45;
        let simulation = Simulation::with_options(33, shape).await;
        sleep(Duration::from_secs(15)).await;
        let mut request = job(1, "batch", 1800, 15.0);
        for field in ["blueprint", "lot"] {
            request[field] = json!("a-name-that-is-long".repeat(10));
        }
        let oversized_job = simulation.submit(request).await;
        // The record of this job exceeds the limit; zone shards and machine shards do not.
        simulation.state.limits.set(StateLimits {
            value_limit_bytes: 3000,
            txn_ops: 12,
            write_rps: 90.0,
            ..simulation.state.limits.get()
        });
        let mut small_jobs = Vec::new();
        for n in 0..6 {
            small_jobs.push(simulation.submit(job(10 + n, "gang", 2, 5.0)).await);
        }
        for id in &small_jobs {
            simulation.wait_for_stage(id, "done", 120).await;
        }
        sleep(Duration::from_secs(20)).await;
        let stage = simulation.query_stage(0, &oversized_job).await;
        assert!(stage.is_some(), "{stage:?}");
        let beyond = simulation.state.rejected_commits.borrow().clone();
        let of_oversized_job = beyond
            .iter()
            .filter(|b| b.contains(&job_key(&oversized_job)));
        assert_eq!(of_oversized_job.count(), beyond.len(), "{beyond:?}");
        assert!((1..60).contains(&beyond.len()), "{beyond:?}");
        simulation.assert_no_violations();
    });
}

#[test]
fn limits_are_lowered_after_late_compaction_commits() {
    lower_limits_around_compaction(Some(Duration::from_secs(30)), StateFault::LateCommits);
}

#[test]
fn limits_are_lowered_after_lost_compaction_responses() {
    lower_limits_around_compaction(Some(Duration::from_secs(30)), StateFault::LostResponses);
}

/// Controllers write at the present rate until refusals show that the lower rate is in force.
/// From then on they keep to the lower rate, apart from occasional attempts at a higher rate,
/// and all jobs complete.
#[test]
fn lower_write_rate_is_kept_after_refusals_show_it() {
    run_in_simulated_time(|| async move {
        let mut shape = deployment();
        shape.machines = 60;
        shape.state["next"] = json!({"write_rps": 12.0});
        let simulation = Simulation::with_options(34, shape).await;
        sleep(Duration::from_secs(15)).await;
        simulation.state.limits.set(StateLimits {
            write_rps: 12.0,
            ..simulation.state.limits.get()
        });
        let mut ids = Vec::new();
        let mut refused = Vec::new();
        let mut refused_before = 0;
        for n in 0..40 {
            for k in 0..3 {
                ids.push(
                    simulation
                        .submit(job(100 + n * 3 + k, "batch", 8, 3.0))
                        .await,
                );
            }
            sleep(Duration::from_secs(1)).await;
            let refused_total = simulation.state.rate_limited_commits.get();
            refused.push(refused_total - refused_before);
            refused_before = refused_total;
        }
        for id in &ids {
            simulation.wait_for_stage(id, "done", 120).await;
        }
        assert!(refused_before > 0, "no write was refused for the rate");
        // Detecting the lower rate costs some refusals: 64 in all here, against 25 under the
        // same load when the rate is known from the start.
        assert!(refused_before < 90, "{refused:?}");
        let late_refusals: usize = refused[20..].iter().sum();
        assert!(late_refusals < 40, "{refused:?}");
        simulation.assert_no_violations();
    });
}

/// Controllers are upgraded one after another while jobs run, and one of them restarts with
/// the older version before it is upgraded. Until the last controller is upgraded, the version
/// in production can read every stored record. After that, the controllers write the compact
/// encodings and accept jobs with dependencies, and all jobs continue when the limits are lowered.
#[test]
fn controllers_are_upgraded_one_after_another() {
    for seed in [51, 52] {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::with_options(seed, deployment()).await;
            simulation
                .state
                .previous_version_controllers
                .borrow_mut()
                .extend(0..3);
            sleep(Duration::from_secs(15)).await;
            let first_jobs = submit_largest_jobs(&simulation, 1, 600).await;
            let long_job = simulation.submit(job(5, "batch", 40, 120.0)).await;
            simulation.wait_for_stage(&long_job, "running", 60).await;
            let dependent_job =
                crate::stand_ins::with_dependencies(job(6, "batch", 2, 1.0), &[&long_job]);
            simulation.register_job(&dependent_job);
            // Checks for `seconds` that production can read every stored record. Then checks
            // that jobs with dependencies are refused and that the new formats are not in use.
            let check_while_old = async |seconds: u32| {
                for _ in 0..seconds * 4 {
                    assert_eq!(
                        simulation.state.keys_unreadable_by_production(),
                        Vec::<String>::new()
                    );
                    sleep(Duration::from_millis(250)).await;
                }
                for i in 0..3 {
                    let response = simulation
                        .send_request(i, "POST", "/submissions", Some(&dependent_job))
                        .await;
                    assert_eq!(response.0, 503, "n{i}: {}", response.1);
                }
                let formats = simulation.state.value(FORMATS_KEY).unwrap_or_default();
                assert!(formats["a"].as_u64().unwrap_or(0) == 0, "{formats}");
            };
            let upgrade = |i: usize| {
                simulation.kill_controller(i);
                simulation
                    .state
                    .previous_version_controllers
                    .borrow_mut()
                    .remove(&i);
                *simulation.next.borrow_mut() = upcoming_limits();
                simulation.start(i);
            };
            check_while_old(2).await;
            upgrade(0);
            check_while_old(15).await;
            // Controller 2 restarts with the older version before it is upgraded.
            simulation.kill_controller(2);
            *simulation.next.borrow_mut() = Value::Null;
            simulation.start(2);
            check_while_old(6).await;
            upgrade(1);
            let second_jobs = submit_largest_jobs(&simulation, 2, 600).await;
            check_while_old(15).await;
            upgrade(2);
            wait_until_formats_recorded(&simulation).await;
            simulation.submit(dependent_job.clone()).await;
            assert_eq!(
                simulation.query_stage(1, "job-000006").await.as_deref(),
                Some("queued")
            );
            sleep(Duration::from_secs(5)).await;
            lower_limits(&simulation);
            for jobs in [&first_jobs, &second_jobs] {
                wait_until_jobs_progress(&simulation, jobs).await;
            }
            simulation.wait_for_stage("job-000006", "done", 300).await;
            assert_eq!(simulation.state.misplaced_machines.borrow().len(), 0);
            assert!(
                !simulation.state.keys_unreadable_by_production().is_empty(),
                "no compact encoding was written"
            );
            simulation.assert_no_violations();
        });
    }
}

/// The record of an accepted batch exceeds the lower limit. Its jobs are still read and run, each
/// with a record of its own. The oversized record is deleted later, but never rewritten.
#[test]
fn oversized_accepted_batch_is_completed_and_deleted() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(53, deployment()).await;
        sleep(Duration::from_secs(15)).await;
        let mut batch = AcceptedBatch {
            accepted_revision: 1,
            jobs: Default::default(),
        };
        let jobs: Vec<Value> = (700..716).map(|n| job(n, "batch", 2, 2.0)).collect();
        for (submission, n) in jobs.iter().zip(700..) {
            simulation.register_job(submission);
            let read = shelfhoist::api::read_submission(submission.to_string().as_bytes());
            let spec = JobSpec::from(&read.expect("a submission"));
            batch.jobs.insert(format!("job-{n:06}"), spec);
        }
        let text = serde_json::to_value(&batch).expect("text");
        assert!(
            text.to_string().len() > LIMIT_BYTES,
            "{}",
            text.to_string().len()
        );
        restart_with_upcoming_limits(&simulation).await;
        wait_until_formats_recorded(&simulation).await;
        simulation.state.write("sh/new/n0-long", &text);
        // Users repeat their submissions. Controllers recognize the jobs as already accepted.
        for submission in &jobs {
            simulation.submit(submission.clone()).await;
        }
        for i in 0..3 {
            simulation.kill_controller(i);
        }
        lower_limits(&simulation);
        for i in 0..3 {
            simulation.start(i);
        }
        for id in batch.jobs.keys() {
            simulation.wait_for_stage(id, "done", 200).await;
        }
        sleep(Duration::from_secs(10)).await;
        assert_eq!(simulation.state.value("sh/new/n0-long"), None);
        assert_eq!(
            simulation.state.rejected_commits.borrow().clone(),
            Vec::<String>::new()
        );
        simulation.assert_no_violations();
    });
}
