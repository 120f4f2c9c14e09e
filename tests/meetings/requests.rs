//! What users ask and send, at the least convenient moments.

use std::rc::Rc;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::scenario::{cancel, secs, settle};
use crate::stand_ins::{Scenario, StateTroubles, World, job};

/// Users ask all controllers, and repeat the submission, within milliseconds after
/// a job was accepted, ended or cancelled, some of them cancelling at its end.
#[test]
fn close_looks_find_nothing_older() {
    let cases = [
        ("plain", 0.0, 0.0, 0.0, 0.0),
        ("answers lost", 0.25, 0.0, 0.0, 0.0),
        ("late writes", 0.0, 0.15, 0.0, 0.0),
        ("slow", 0.0, 0.0, 0.4, 0.0),
        ("one refused", 0.0, 0.0, 0.0, 3.0),
        ("slow, lost, one refused", 0.15, 0.0, 0.3, 2.0),
    ];
    for (n, (name, unanswered, late, slow_s, refused_s)) in cases.into_iter().enumerate() {
        for k in 0..2u64 {
            Scenario::with_large_teams(800 + 10 * n as u64 + k).run(|w| async move {
                let mut ids = vec![w.submit(job(1, "batch", 2, 1.0)).await];
                w.until(&ids[0], "done", 60).await;
                w.state.troubles.replace(StateTroubles {
                    unanswered,
                    late,
                    slow: secs(slow_s),
                    ..StateTroubles::default()
                });
                for n in 0..12u32 {
                    let cut = ["batch", "gang", "daemon"][n as usize % 3];
                    let run_s = 2.0 + f64::from(n % 4) * 0.3;
                    let i = w.busiest();
                    if refused_s > 0.0 {
                        w.state.troubles.borrow_mut().refused = [(n as usize) % 3].into();
                    }
                    let one = w.submit(job(10 + n, cut, 2, run_s)).await;
                    w.look_closely(&one).await;
                    match n % 4 {
                        // Called off at once.
                        0 => {
                            cancel(&w, None, &one).await;
                        }
                        // At its end, by two controllers at once.
                        1 | 2 => {
                            sleep(secs(run_s + 0.3 * f64::from(n % 3))).await;
                            let (a, b) = ((i + 1) % 3, (i + 2) % 3);
                            tokio::join!(
                                w.withdraw(a, &one),
                                w.withdraw(b, &one),
                                w.look_closely(&one)
                            );
                            cancel(&w, None, &one).await;
                        }
                        _ if cut == "daemon" => {}
                        _ => w.until(&one, "done", 60).await,
                    }
                    w.look_closely(&one).await;
                    sleep(secs(0.3)).await;
                    w.look_closely(&one).await;
                    ids.push(one);
                }
                settle(&w, &format!("{name}, {k}"), &ids).await;
            });
        }
    }
}

/// A job without one field.
fn without(field: &str) -> Value {
    let mut one = job(50, "batch", 1, 1.0);
    one.as_object_mut().expect("an object").remove(field);
    one
}

/// A job with another value of one field.
fn with(field: &str, value: Value) -> Value {
    let mut one = job(50, "gang", 2, 1.0);
    one[field] = value;
    one
}

/// Submissions that are refused for good, and the status of each.
fn refused_submissions() -> Vec<(Value, u16)> {
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
    let mut refused: Vec<(Value, u16)> = required.map(|field| (without(field), 400)).to_vec();
    refused.extend([
        (with("vcpus", json!(9.0)), 422),
        (with("cards", json!(1.0)), 422),
        (with("ram_gb", json!(17.0)), 422),
        (with("grades", json!(["none"])), 422),
        (with("crew", json!("nobody")), 422),
        (with("yard", json!("z")), 422),
        (with("boards", json!(60)), 422),
        (with("boards", json!(0)), 400),
        (with("boards", json!(1.5)), 400),
        (with("vcpus", json!(-1.0)), 400),
        (with("vcpus", json!("2")), 400),
        (with("cut", json!("other")), 400),
        (with("urgency", json!(null)), 400),
    ]);
    refused
}

/// The status of a submission, asked again while it is 503.
async fn status_of(w: &Rc<World>, i: usize, body: &Value) -> u16 {
    for _ in 0..20 {
        let (status, _) = w.ask(i, "POST", "/submissions", Some(body)).await;
        if status != 503 {
            return status;
        }
        sleep(secs(0.3)).await;
    }
    503
}

/// Questions about jobs that nobody submitted are answered 404, or not now.
async fn ask_of_unknown_jobs(w: &Rc<World>, i: usize) {
    let (status, _) = w.ask(i, "GET", "/submissions/job-000050", None).await;
    assert!([404, 503].contains(&status), "{status}");
    let path = "/submissions/job-000051/withdraw";
    let (status, _) = w.ask(i, "POST", path, None).await;
    assert!([404, 503].contains(&status), "{status}");
}

/// What users should not send, at every controller and while the state service
/// answers slowly, loses answers or refuses one: refused for good, or known.
#[test]
fn odd_requests_are_answered_as_the_protocol_says() {
    for (n, (slow_s, unanswered, refused)) in [
        (0.0, 0.0, false),
        (0.5, 0.0, false),
        (0.0, 0.3, false),
        (0.2, 0.1, true),
    ]
    .into_iter()
    .enumerate()
    {
        Scenario::with_large_teams(1400 + n as u64).run(|w| async move {
            let over = w.submit(job(1, "batch", 1, 1.0)).await;
            w.until(&over, "done", 60).await;
            let open = w.submit(job(2, "batch", 2, 300.0)).await;
            w.until(&open, "running", 60).await;
            w.state.troubles.replace(StateTroubles {
                slow: secs(slow_s),
                unanswered,
                refused: refused.then_some(1).into_iter().collect(),
                ..StateTroubles::default()
            });
            for (body, expected) in refused_submissions() {
                for i in 0..w.shape.controllers {
                    let status = status_of(&w, i, &body).await;
                    let away = refused && i == 1 && status == 503;
                    assert!(
                        status == expected || away,
                        "case {n}, n{i}: {status} for {body}"
                    );
                }
            }
            for i in 0..w.shape.controllers {
                // Repeated though it runs; cancelled though it is done.
                w.look_closely(&open).await;
                let told = w.withdraw(i, &over).await;
                assert_eq!(told.as_deref(), Some("done"), "case {n}, n{i}");
                ask_of_unknown_jobs(&w, i).await;
            }
            settle(&w, &format!("{n}"), &[over, open]).await;
        });
    }
}
