//! Requests of users while jobs change their stage and the state service has faults.

use std::rc::Rc;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::scenario::{cancel, heal_and_check, secs};
use crate::stand_ins::{Scenario, Simulation, StateFaultOptions, job};

/// Checks that no answer is older than an earlier one. Users query all controllers and
/// repeat the submission within milliseconds after a job was accepted, completed or
/// cancelled, and some cancel it as it completes.
#[test]
fn queries_after_a_change_return_no_older_stage() {
    let cases = [
        ("plain", 0.0, 0.0, 0.0, 0.0),
        ("lost answers", 0.25, 0.0, 0.0, 0.0),
        ("late commits", 0.0, 0.15, 0.0, 0.0),
        ("slow", 0.0, 0.0, 0.4, 0.0),
        ("one controller refused", 0.0, 0.0, 0.0, 3.0),
        (
            "slow, lost answers, one controller refused",
            0.15,
            0.0,
            0.3,
            2.0,
        ),
    ];
    for (n, (name, unanswered, late, slow_s, refused_s)) in cases.into_iter().enumerate() {
        for variant in 0..2u64 {
            Scenario::with_large_teams(800 + 10 * n as u64 + variant).run(
                |simulation| async move {
                    let mut ids = vec![simulation.submit(job(1, "batch", 2, 1.0)).await];
                    simulation.wait_for_stage(&ids[0], "done", 60).await;
                    simulation.state.fault_options.replace(StateFaultOptions {
                        unanswered_commit_fraction: unanswered,
                        late_commit_fraction: late,
                        response_delay: secs(slow_s),
                        ..StateFaultOptions::default()
                    });
                    for n in 0..12u32 {
                        let kind = ["batch", "gang", "daemon"][n as usize % 3];
                        let run_s = 2.0 + f64::from(n % 4) * 0.3;
                        let leader = simulation.controller_with_most_machines();
                        if refused_s > 0.0 {
                            simulation
                                .state
                                .fault_options
                                .borrow_mut()
                                .refused_controllers = [(n as usize) % 3].into();
                        }
                        let id = simulation.submit(job(10 + n, kind, 2, run_s)).await;
                        simulation.query_concurrently(&id).await;
                        match n % 4 {
                            // Cancelled immediately.
                            0 => {
                                cancel(&simulation, None, &id).await;
                            }
                            // Cancelled at two controllers concurrently, as it completes.
                            1 | 2 => {
                                sleep(secs(run_s + 0.3 * f64::from(n % 3))).await;
                                let (a, b) = ((leader + 1) % 3, (leader + 2) % 3);
                                tokio::join!(
                                    simulation.cancel(a, &id),
                                    simulation.cancel(b, &id),
                                    simulation.query_concurrently(&id)
                                );
                                cancel(&simulation, None, &id).await;
                            }
                            _ if kind == "daemon" => {}
                            _ => simulation.wait_for_stage(&id, "done", 60).await,
                        }
                        simulation.query_concurrently(&id).await;
                        sleep(secs(0.3)).await;
                        simulation.query_concurrently(&id).await;
                        ids.push(id);
                    }
                    heal_and_check(&simulation, &format!("{name}, {variant}"), &ids).await;
                },
            );
        }
    }
}

/// Returns a submission without the field `field`.
fn job_without(field: &str) -> Value {
    let mut submission = job(50, "batch", 1, 1.0);
    submission.as_object_mut().expect("an object").remove(field);
    submission
}

/// Returns a submission in which `field` has the given value.
fn job_with(field: &str, value: Value) -> Value {
    let mut submission = job(50, "gang", 2, 1.0);
    submission[field] = value;
    submission
}

/// Returns submissions that are rejected permanently, each with its expected status.
fn rejected_submissions() -> Vec<(Value, u16)> {
    let required = [
        "lot",
        "crew",
        "cut",
        "urgency",
        "boards",
        "vcpus",
        "cards",
        "ram_gb",
        "same_place",
        "scatter",
        "loaners",
        "blueprint",
        "pull_gb",
        "expect_s",
        "notch_s",
        "stow_s",
    ];
    let mut rejected: Vec<(Value, u16)> = required.map(|field| (job_without(field), 400)).to_vec();
    rejected.extend([
        (job_with("vcpus", json!(9.0)), 422),
        (job_with("cards", json!(1.0)), 422),
        (job_with("ram_gb", json!(17.0)), 422),
        (job_with("grades", json!(["none"])), 422),
        (job_with("crew", json!("nobody")), 422),
        (job_with("yard", json!("z")), 422),
        (job_with("boards", json!(60)), 422),
        (job_with("boards", json!(0)), 400),
        (job_with("boards", json!(1.5)), 400),
        (job_with("vcpus", json!(-1.0)), 400),
        (job_with("vcpus", json!("2")), 400),
        (job_with("cut", json!("other")), 400),
        (job_with("urgency", json!(null)), 400),
    ]);
    rejected
}

/// Returns the status of a submission, which is retried while it is 503.
async fn submission_status(simulation: &Rc<Simulation>, i: usize, body: &Value) -> u16 {
    for _ in 0..20 {
        let (status, _) = simulation
            .send_request(i, "POST", "/submissions", Some(body))
            .await;
        if status != 503 {
            return status;
        }
        sleep(secs(0.3)).await;
    }
    503
}

/// Asserts that a query and a cancellation of jobs that nobody submitted are answered
/// 404, or 503 while the controller cannot determine whether the job exists.
async fn assert_unknown_jobs_are_not_found(simulation: &Rc<Simulation>, i: usize) {
    let (status, _) = simulation
        .send_request(i, "GET", "/submissions/job-000050", None)
        .await;
    assert!([404, 503].contains(&status), "{status}");
    let path = "/submissions/job-000051/withdraw";
    let (status, _) = simulation.send_request(i, "POST", path, None).await;
    assert!([404, 503].contains(&status), "{status}");
}

/// Checks that each request is answered with the status that the protocol defines. Users
/// send invalid submissions, repeat known ones and cancel finished jobs at every
/// controller, while the state service answers slowly, loses answers or refuses one
/// controller.
#[test]
fn invalid_and_repeated_requests_get_the_status_of_the_protocol() {
    for (n, (slow_s, unanswered, refused)) in [
        (0.0, 0.0, false),
        (0.5, 0.0, false),
        (0.0, 0.3, false),
        (0.2, 0.1, true),
    ]
    .into_iter()
    .enumerate()
    {
        Scenario::with_large_teams(1400 + n as u64).run(|simulation| async move {
            let finished = simulation.submit(job(1, "batch", 1, 1.0)).await;
            simulation.wait_for_stage(&finished, "done", 60).await;
            let running = simulation.submit(job(2, "batch", 2, 300.0)).await;
            simulation.wait_for_stage(&running, "running", 60).await;
            simulation.state.fault_options.replace(StateFaultOptions {
                response_delay: secs(slow_s),
                unanswered_commit_fraction: unanswered,
                refused_controllers: refused.then_some(1).into_iter().collect(),
                ..StateFaultOptions::default()
            });
            for (body, expected) in rejected_submissions() {
                for i in 0..simulation.shape.controllers {
                    let status = submission_status(&simulation, i, &body).await;
                    let unavailable = refused && i == 1 && status == 503;
                    assert!(
                        status == expected || unavailable,
                        "case {n}, n{i}: {status} for {body}"
                    );
                }
            }
            for i in 0..simulation.shape.controllers {
                // Repeats the submission of a running job, and cancels a finished job.
                simulation.query_concurrently(&running).await;
                let stage = simulation.cancel(i, &finished).await;
                assert_eq!(stage.as_deref(), Some("done"), "case {n}, n{i}");
                assert_unknown_jobs_are_not_found(&simulation, i).await;
            }
            heal_and_check(&simulation, &format!("{n}"), &[finished, running]).await;
        });
    }
}
