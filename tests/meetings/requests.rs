//! What users ask and send, at the least convenient moments.

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::scenario::{cancel, roomy, secs, settle};
use crate::stand_ins::{StateTroubles, World, in_world, job};

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
            in_world(|| async move {
                let w = World::of(800 + 10 * n as u64 + k, roomy()).await;
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
        in_world(|| async move {
            let w = World::of(1400 + n as u64, roomy()).await;
            let over = w.submit(job(1, "batch", 1, 1.0)).await;
            w.until(&over, "done", 60).await;
            let open = w.submit(job(2, "batch", 2, 300.0)).await;
            w.until(&open, "running", 60).await;
            let mut troubles = StateTroubles {
                slow: secs(slow_s),
                unanswered,
                ..StateTroubles::default()
            };
            if refused {
                troubles.refused.insert(1);
            }
            w.state.troubles.replace(troubles);
            let without = |field: &str| {
                let mut one = job(50, "batch", 1, 1.0);
                one.as_object_mut().expect("an object").remove(field);
                one
            };
            let with = |field: &str, value: Value| {
                let mut one = job(50, "gang", 2, 1.0);
                one[field] = value;
                one
            };
            let mut odd: Vec<(Value, u16)> = [
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
            ]
            .map(|f| (without(f), 400))
            .to_vec();
            odd.extend([
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
            for (body, expected) in odd {
                for i in 0..w.shape.controllers {
                    let mut status = 503;
                    for _ in 0..20 {
                        status = w.ask(i, "POST", "/submissions", Some(&body)).await.0;
                        if status != 503 {
                            break;
                        }
                        sleep(secs(0.3)).await;
                    }
                    let away = refused && i == 1 && status == 503;
                    assert!(
                        status == expected || away,
                        "case {n}, n{i}: {status} for {body}"
                    );
                }
            }
            for i in 0..w.shape.controllers {
                // Repeated though it runs; called off though it is done.
                w.look_closely(&open).await;
                let told = w.withdraw(i, &over).await;
                assert_eq!(told.as_deref(), Some("done"), "case {n}, n{i}");
                // Whoever asks of a job that is not there.
                let (status, _) = w.ask(i, "GET", "/submissions/job-000050", None).await;
                assert!([404, 503].contains(&status), "{status}");
                let path = "/submissions/job-000051/withdraw";
                let (status, _) = w.ask(i, "POST", path, None).await;
                assert!([404, 503].contains(&status), "{status}");
            }
            settle(&w, &format!("{n}"), &[over, open]).await;
        });
    }
}
