//! Tests of jobs that depend on other jobs, with stand-ins, in simulated time. The stand-ins
//! check that no task starts before the dependencies of its job are done, that no answer is
//! older than an earlier one, and that the dependents of a cancelled job are reported as
//! cancelled in time.

#[allow(dead_code)]
mod stand_ins;

use std::future::{Future, poll_fn};
use std::task::Poll;
use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::{
    CONTROLLERS, DeploymentOptions, Simulation, StateFault, controller_addr, job,
    run_in_simulated_time, state_addr, with_dependencies,
};
use tokio::time::{Instant, sleep};

/// Sends a submission to one controller, without a retry.
async fn submit_once(simulation: &Simulation, i: usize, body: &Value) -> (u16, Value) {
    simulation
        .send_request(i, "POST", "/submissions", Some(body))
        .await
}

/// Runs the futures concurrently on this thread, and returns their results in order.
async fn run_concurrently<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<_> = futures.map(|future| (Box::pin(future), None)).collect();
    poll_fn(|cx| {
        for (future, result) in &mut pending {
            if result.is_none()
                && let Poll::Ready(output) = future.as_mut().poll(cx)
            {
                *result = Some(output);
            }
        }
        match pending.iter().all(|(_, r)| r.is_some()) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
    pending.into_iter().filter_map(|(_, r)| r).collect()
}

/// Waits until the controllers accept jobs with dependencies. They do so once every controller is
/// known to read the newer formats.
async fn wait_for_upgrade(simulation: &Simulation) {
    let first = simulation.submit(job(900_000, "batch", 1, 0.5)).await;
    let probe = with_dependencies(job(900_001, "batch", 1, 0.5), &[&first]);
    simulation.submit(probe).await;
}

#[test]
fn chains_and_diamonds_of_jobs_run_in_order() {
    for (seed, trouble) in [
        (1, StateFault::None),
        (2, StateFault::LostResponses),
        (3, StateFault::LateCommits),
    ] {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::new(seed).await;
            wait_for_upgrade(&simulation).await;
            simulation.state.fault.set(trouble);
            let disturb_next_commits = || simulation.state.faulty_commits_left.set(3);
            let top = simulation.submit(job(1, "batch", 5, 3.0)).await;
            disturb_next_commits();
            let left = simulation
                .submit(with_dependencies(job(2, "gang", 2, 4.0), &[&top]))
                .await;
            let right = simulation
                .submit(with_dependencies(job(3, "batch", 3, 2.0), &[&top]))
                .await;
            disturb_next_commits();
            let bottom = simulation
                .submit(with_dependencies(job(4, "batch", 2, 1.0), &[&left, &right]))
                .await;
            let last = simulation
                .submit(with_dependencies(job(5, "gang", 2, 1.0), &[&bottom]))
                .await;
            assert_eq!(
                simulation.query_stage(0, &last).await.as_deref(),
                Some("queued")
            );
            // Restarts each controller in turn.
            for i in 0..CONTROLLERS {
                disturb_next_commits();
                simulation.kill_controller(i);
                sleep(Duration::from_secs(3)).await;
                simulation.start(i);
                sleep(Duration::from_secs(3)).await;
            }
            simulation.wait_for_stage(&last, "done", 400).await;
            for id in [&top, &left, &right, &bottom] {
                simulation.wait_for_stage(id, "done", 10).await;
            }
            simulation.assert_no_violations();
        });
    }
}

/// Checks that a job may be submitted immediately after the job that it depends on, at another
/// controller that has not yet seen the commit of that dependency.
#[test]
fn dependent_may_be_submitted_at_another_controller_immediately() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(4).await;
        wait_for_upgrade(&simulation).await;
        for n in 0..12u32 {
            let (first_controller, second_controller) =
                (n as usize % CONTROLLERS, (n as usize + 1) % CONTROLLERS);
            let first = job(10 + n, "batch", 1, 1.0);
            let id = first["name_id"].as_str().expect("id").to_string();
            simulation.register_job(&first);
            let second = with_dependencies(job(100 + n, "batch", 1, 1.0), &[&id]);
            simulation.register_job(&second);
            assert_eq!(
                submit_once(&simulation, first_controller, &first).await.0,
                201
            );
            let (status, body) = submit_once(&simulation, second_controller, &second).await;
            assert_eq!((status, &body["stage"]), (201, &json!("queued")));
            // The repeated submission of a known id returns the job's stage, whatever
            // it awaits.
            let other = with_dependencies(job(100 + n, "batch", 1, 1.0), &["job-777777"]);
            assert_eq!(
                submit_once(&simulation, first_controller, &other).await.0,
                200
            );
        }
        for n in 0..12 {
            simulation
                .wait_for_stage(&format!("job-{:06}", 100 + n), "done", 200)
                .await;
        }
        simulation.assert_no_violations();
    });
}

#[test]
fn unknown_and_malformed_dependencies_are_rejected() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(5).await;
        wait_for_upgrade(&simulation).await;
        let known = simulation.submit(job(1, "batch", 1, 1.0)).await;
        let cases = [
            (json!(["job-000777"]), 422),
            (json!([known, "job-000777"]), 422),
            (json!(["job-000002"]), 422), // the job itself
            (json!(["task-1"]), 400),
            (json!(["job-"]), 400),
            (json!([7]), 400),
            (json!("job-000001"), 400),
            (json!({"job-000001": 1}), 400),
            (json!(null), 201),
        ];
        for (dependencies, expected) in cases {
            let mut body = job(2, "batch", 1, 1.0);
            body["awaits"] = dependencies.clone();
            simulation.register_job(&body);
            assert_eq!(
                submit_once(&simulation, 1, &body).await.0,
                expected,
                "{dependencies}"
            );
        }
        // A controller that cannot bring its view up to date (no barrier succeeds) cannot tell
        // whether an id is unknown.
        simulation
            .simulated_network
            .partition(controller_addr(0), state_addr(0));
        let body = with_dependencies(job(3, "batch", 1, 1.0), &["job-000777"]);
        assert_eq!(submit_once(&simulation, 0, &body).await.0, 503);
        simulation.wait_for_stage("job-000002", "done", 100).await;
        simulation.assert_no_violations();
    });
}

/// Checks that a list of dependencies that does not fit into a record is rejected. A job with a
/// slightly shorter list waits and then runs, because its record still has space for the state
/// of its tasks.
#[test]
fn long_dependency_lists_are_rejected_or_run() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(6).await;
        wait_for_upgrade(&simulation).await;
        // This job uses all of the team's limit, so that no other job runs meanwhile.
        let first = simulation.submit(job(1, "gang", 6, 60.0)).await;
        simulation.wait_for_stage(&first, "running", 60).await;
        let mut ids = Vec::new();
        for n in 0..320 {
            let mut submission = job(1000 + n, "batch", 1, 0.5);
            submission["vcpus"] = json!(0.1);
            simulation.register_job(&submission);
            ids.push(submission);
        }
        for chunk in ids.chunks(20) {
            let requests = chunk
                .iter()
                .map(|submission| submit_once(&simulation, 0, submission));
            for (status, _) in run_concurrently(requests).await {
                assert_eq!(status, 201);
            }
        }
        let dependencies: Vec<&str> = ids.iter().filter_map(|j| j["name_id"].as_str()).collect();
        let (too_long, fitting) = (dependencies.as_slice(), &dependencies[..280]);
        // A dependency that is listed twice counts once.
        let repeated = [fitting, fitting].concat();
        for (n, list, expected) in [
            (2, too_long, 400),
            (3, fitting, 201),
            (4, &repeated[..], 201),
        ] {
            let submission = with_dependencies(job(n, "batch", 9, 1.0), list);
            simulation.register_job(&submission);
            assert_eq!(
                submit_once(&simulation, 1, &submission).await.0,
                expected,
                "{n}"
            );
        }
        simulation.wait_for_stage("job-000003", "done", 300).await;
        simulation.wait_for_stage("job-000004", "done", 300).await;
        // Dependencies that are done by now take no space in the record.
        let done = with_dependencies(job(2, "batch", 9, 1.0), too_long);
        assert_eq!(submit_once(&simulation, 1, &done).await.0, 201);
        simulation.wait_for_stage("job-000002", "done", 100).await;
        simulation.assert_no_violations();
    });
}

#[test]
fn cancellation_includes_all_dependents() {
    // Each case has a seed, the index of the cancelled job in the chain, and whether the first
    // job runs.
    for (seed, cancelled_index, first_runs) in [
        (20, 0, true),
        (21, 0, false),
        (22, 1, true),
        (23, 2, true),
        (24, 3, true),
    ] {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::new(seed).await;
            wait_for_upgrade(&simulation).await;
            let mut ids: Vec<String> = Vec::new();
            for n in 0..5 {
                let mut submission = job(1 + n, "batch", 2, 60.0);
                if let Some(previous) = ids.last() {
                    submission = with_dependencies(submission, &[previous]);
                }
                ids.push(simulation.submit(submission).await);
            }
            if first_runs {
                simulation.wait_for_stage(&ids[0], "running", 60).await;
            }
            let stage = simulation
                .cancel(seed as usize % CONTROLLERS, &ids[cancelled_index])
                .await;
            assert_eq!(stage.as_deref(), Some("aborted"));
            // The dependents are cancelled with the same revision, at every controller,
            // without further writes.
            for id in &ids[cancelled_index..] {
                for i in 0..CONTROLLERS {
                    assert_eq!(
                        simulation.query_stage(i, id).await.as_deref(),
                        Some("aborted"),
                        "{id} at {i}"
                    );
                }
                let repeated_stage = simulation.cancel(0, id).await;
                assert_eq!(repeated_stage.as_deref(), Some("aborted"));
            }
            for id in &ids[..cancelled_index] {
                assert_ne!(
                    simulation.query_stage(0, id).await.as_deref(),
                    Some("aborted"),
                    "{id}"
                );
            }
            // A job that awaits a cancelled job is accepted, and is cancelled.
            let late_dependent = with_dependencies(job(50, "batch", 1, 1.0), &[&ids[4]]);
            simulation.register_job(&late_dependent);
            let (status, body) = submit_once(&simulation, 1, &late_dependent).await;
            assert!([200, 201].contains(&status));
            assert_eq!(body["stage"], "aborted");
            sleep(Duration::from_secs(40)).await;
            for id in &ids[cancelled_index..] {
                let record = simulation
                    .state
                    .value(&format!("sh/job/{id}"))
                    .expect("a record");
                assert_eq!((&record["f"], &record["s"]), (&json!("c"), &Value::Null));
                assert_eq!(simulation.running_task_count(id), 0);
            }
            for i in 0..CONTROLLERS {
                simulation.kill_controller(i);
                simulation.start(i);
            }
            sleep(Duration::from_secs(5)).await;
            for i in 0..CONTROLLERS {
                for id in ids[cancelled_index..]
                    .iter()
                    .map(String::as_str)
                    .chain(["job-000050"])
                {
                    assert_eq!(
                        simulation.query_stage(i, id).await.as_deref(),
                        Some("aborted")
                    );
                }
            }
            for id in &ids[..cancelled_index] {
                simulation.wait_for_stage(id, "done", 400).await;
            }
            simulation.assert_no_violations();
        });
    }
}

/// Checks a cancellation that races with the completion of the job's last task. If the
/// cancellation is first, the dependent job is cancelled, too. Otherwise the dependent runs.
#[test]
fn cancellation_races_with_the_last_task() {
    for n in 0..10u64 {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::new(40 + n).await;
            wait_for_upgrade(&simulation).await;
            let first = simulation.submit(job(1, "batch", 1, 5.0)).await;
            let second = simulation
                .submit(with_dependencies(job(2, "batch", 1, 1.0), &[&first]))
                .await;
            simulation.wait_for_stage(&first, "running", 60).await;
            sleep(Duration::from_millis(4000 + n * 350)).await;
            let (first_answer, second_answer) =
                tokio::join!(simulation.cancel(0, &first), simulation.cancel(1, &first));
            let final_stage = first_answer.or(second_answer).expect("an answer");
            match final_stage.as_str() {
                "done" => simulation.wait_for_stage(&second, "done", 100).await,
                _ => {
                    for i in 0..CONTROLLERS {
                        assert_eq!(
                            simulation.query_stage(i, &second).await.as_deref(),
                            Some("aborted")
                        );
                    }
                }
            }
            sleep(Duration::from_secs(40)).await;
            for i in 0..CONTROLLERS {
                assert_eq!(
                    simulation.query_stage(i, &first).await.as_deref(),
                    Some(final_stage.as_str())
                );
                assert_eq!(
                    simulation.query_stage(i, &second).await.as_deref(),
                    Some(final_stage.as_str())
                );
            }
            simulation.assert_no_violations();
        });
    }
}

#[test]
fn finished_jobs_may_be_dependencies() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(60).await;
        wait_for_upgrade(&simulation).await;
        let done = simulation.submit(job(1, "batch", 1, 1.0)).await;
        let cancelled = simulation.submit(job(2, "batch", 1, 300.0)).await;
        let mut running = job(3, "gang", 2, 30.0);
        running["crew"] = json!("u");
        let running = simulation.submit(running).await;
        simulation.wait_for_stage(&done, "done", 100).await;
        assert_eq!(
            simulation.cancel(0, &cancelled).await.as_deref(),
            Some("aborted")
        );
        // By then, the records contain only the final stage.
        sleep(Duration::from_secs(60)).await;
        let record = simulation
            .state
            .value("sh/job/job-000001")
            .expect("a record");
        assert_eq!((&record["f"], &record["s"]), (&json!("d"), &Value::Null));
        let after_done = simulation
            .submit(with_dependencies(job(11, "batch", 1, 1.0), &[&done]))
            .await;
        let after_cancelled = simulation
            .submit(with_dependencies(
                job(12, "batch", 1, 1.0),
                &[&done, &cancelled],
            ))
            .await;
        let after_running = simulation
            .submit(with_dependencies(
                job(13, "batch", 1, 1.0),
                &[&done, &running],
            ))
            .await;
        assert_eq!(
            simulation.query_stage(2, &after_cancelled).await.as_deref(),
            Some("aborted")
        );
        simulation.wait_for_stage(&after_done, "done", 100).await;
        simulation.wait_for_stage(&after_running, "done", 200).await;
        simulation.assert_no_violations();
    });
}

/// Checks that a job that waits for its dependencies uses nothing of its team's limit, and that
/// no machine is kept idle for it.
#[test]
fn waiting_job_uses_no_resources() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(61).await;
        wait_for_upgrade(&simulation).await;
        let first = simulation.submit(job(1, "batch", 1, 90.0)).await;
        // This job needs all of the team's limit, and waits.
        let wide = simulation
            .submit(with_dependencies(job(2, "gang", 6, 5.0), &[&first]))
            .await;
        simulation.wait_for_stage(&first, "running", 60).await;
        let start = Instant::now();
        let other = simulation.submit(job(3, "gang", 4, 5.0)).await;
        simulation.wait_for_stage(&other, "done", 60).await;
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "{:?}",
            start.elapsed()
        );
        sleep(Duration::from_secs(30)).await;
        assert!(
            simulation.workers.borrow().len() <= 1,
            "machines are kept idle"
        );
        let (_, teams) = simulation.send_request(0, "GET", "/ops/teams", None).await;
        assert_eq!(teams[0]["waiting_tasks"], 0, "{teams}");
        let (_, details) = simulation
            .send_request(1, "GET", &format!("/ops/job/{wide}"), None)
            .await;
        assert_eq!(details["reason"], format!("it awaits {first}"));
        let (_, report) = simulation.send_request(1, "GET", "/ops/report", None).await;
        assert!(report["jobs"].to_string().contains("it awaits"), "{report}");
        simulation.wait_for_stage(&wide, "done", 200).await;
        simulation.assert_no_violations();
    });
}

/// Checks that the last job does not wait for machines to boot. Its machines are rented when the
/// job that it depends on is close to its end, but not long before that.
#[test]
fn machines_are_rented_shortly_before_a_job_becomes_ready() {
    run_in_simulated_time(|| async {
        let mut shape = DeploymentOptions {
            ready_s: 20.0,
            ..DeploymentOptions::default()
        };
        shape.teams[0] = ("t".into(), 40.0, 80.0);
        let simulation = Simulation::with_options(63, shape).await;
        wait_for_upgrade(&simulation).await;
        let long = simulation.submit(job(1, "batch", 1, 60.0)).await;
        let short = simulation
            .submit(with_dependencies(job(2, "batch", 1, 15.0), &[&long]))
            .await;
        let wide = simulation
            .submit(with_dependencies(job(3, "gang", 8, 5.0), &[&short]))
            .await;
        simulation.wait_for_stage(&long, "running", 60).await;
        sleep(Duration::from_secs(50)).await;
        assert!(simulation.workers.borrow().len() <= 1, "rented too early");
        simulation.wait_for_stage(&short, "running", 60).await;
        sleep(Duration::from_secs(10)).await;
        assert!(
            simulation.workers.borrow().len() > 1,
            "not rented before the job became ready"
        );
        simulation.wait_for_stage(&short, "done", 60).await;
        let start = Instant::now();
        simulation.wait_for_stage(&wide, "running", 60).await;
        assert!(
            start.elapsed() < Duration::from_secs(4),
            "{:?}",
            start.elapsed()
        );
        simulation.wait_for_stage(&wide, "done", 60).await;
        simulation.assert_no_violations();
    });
}

/// Checks that no job with dependencies is accepted until every controller has been seen to run a
/// newer release. A controller of the earlier release does not support the field `awaits`.
#[test]
fn dependencies_are_refused_until_all_controllers_are_upgraded() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(62).await;
        simulation.kill_controller(2);
        simulation
            .state
            .write("sh/node/n2", &json!({"h": "n2", "i": 5}));
        let first = simulation.submit(job(1, "batch", 1, 200.0)).await;
        sleep(Duration::from_secs(20)).await;
        let second = with_dependencies(job(2, "batch", 1, 1.0), &[&first]);
        simulation.register_job(&second);
        for i in 0..2 {
            assert_eq!(submit_once(&simulation, i, &second).await.0, 503);
            let mut independent = job(3 + i as u32, "batch", 1, 1.0);
            independent["awaits"] = json!([]);
            simulation.register_job(&independent);
            assert_eq!(submit_once(&simulation, i, &independent).await.0, 201);
        }
        assert_eq!(simulation.state.value("sh/job/job-000002"), None);
        simulation.start(2);
        let second = simulation.submit(second).await;
        assert_eq!(
            simulation.query_stage(0, &second).await.as_deref(),
            Some("queued")
        );
        // This is permanent: jobs with dependencies are accepted although a controller is down now.
        simulation.kill_controller(1);
        simulation
            .submit(with_dependencies(job(9, "batch", 1, 1.0), &[&second]))
            .await;
        simulation.wait_for_stage("job-000009", "done", 400).await;
        simulation.assert_no_violations();
    });
}
