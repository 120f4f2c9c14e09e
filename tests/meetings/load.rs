//! Many jobs at once: teams at their limits, and machines that are up at once.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::scenario::{cancel, secs, settle};
use crate::stand_ins::{Scenario, StateTroubles, Worker, World, job};

/// Every team is at its limit, with more in the queue, while jobs are cancelled
/// whose machines hang, are deaf or are cut off, and the leader changes.
#[test]
fn teams_at_their_limits_stay_there() {
    let kinds = [
        "hang",
        "hang past the lease",
        "deaf",
        "mute",
        "cut",
        "held",
        "hang held",
    ];
    for (n, kind) in kinds.into_iter().enumerate() {
        for k in 0..3u64 {
            Scenario::new(600 + 10 * n as u64 + k).run(|w| async move {
                at_limits(&w, kind, k).await;
            });
        }
    }
}

async fn at_limits(w: &Rc<World>, kind: &str, k: u64) {
    let mut ids = Vec::new();
    for n in 0..16u32 {
        let cut = ["batch", "gang", "daemon", "batch"][n as usize % 4];
        // The services that are not cancelled must not fill the limits for ever.
        let mut one = job(n + 1, cut, 2, 18.0);
        one["crew"] = json!(["t", "u"][n as usize / 2 % 2]);
        ids.push(w.submit(one).await);
    }
    sleep(secs(18.0)).await;
    for round in 0..3 {
        let leader = w.busiest();
        let busy = w.busy();
        for worker in busy.iter().take(3) {
            disturb(worker, kind);
        }
        if kind == "cut" {
            w.cut_workers(leader, true);
        }
        sleep(secs(0.4 * k as f64)).await;
        let running: Vec<&String> = ids.iter().filter(|id| w.running(id) > 0).collect();
        for id in running.iter().take(4) {
            cancel(w, None, id).await;
        }
        if round % 2 == 0 {
            w.kill(leader);
            sleep(secs(k as f64)).await;
            w.start(leader);
        } else {
            w.state.troubles.borrow_mut().refused.insert(leader);
        }
        sleep(secs(8.0)).await;
        w.state.troubles.borrow_mut().refused.clear();
        busy.iter().for_each(|worker| restore(worker));
        w.cut_workers(leader, false);
        sleep(secs(12.0)).await;
    }
    for id in ids.iter().filter(|id| w.is_service(id)) {
        cancel(w, None, id).await;
    }
    settle(w, &format!("{kind}, {k}"), &ids).await;
}

fn disturb(worker: &Worker, kind: &str) {
    match kind {
        "hang" => worker.hang(secs(7.0)),
        "hang past the lease" => worker.hang(secs(13.0)),
        "deaf" => worker.deaf.set(true),
        "mute" => worker.mute.set(true),
        "held" => worker.orders_held.set(secs(6.0)),
        "hang held" => {
            worker.orders_held.set(secs(3.0));
            worker.hang(secs(8.0));
        }
        _ => {}
    }
}

/// What a hang has begun goes on to its end.
fn restore(worker: &Worker) {
    worker.deaf.set(false);
    worker.mute.set(false);
    worker.orders_held.set(Duration::ZERO);
}

/// New machines are up within a second and get work at once while writes lag, and
/// the leader ends.
#[test]
fn machines_up_at_once_while_writes_lag() {
    for (n, (late, unanswered, slow_s)) in [
        (0.3, 0.0, 0.0),
        (0.0, 0.3, 0.0),
        (0.0, 0.0, 1.0),
        (0.2, 0.2, 0.5),
    ]
    .into_iter()
    .enumerate()
    {
        for k in 0..2u64 {
            let scenario = Scenario::with_large_teams(700 + 10 * n as u64 + k);
            scenario.boot_s(0.8).run(|w| async move {
                let mut ids = vec![w.submit(job(1, "batch", 1, 1.0)).await];
                w.state.troubles.replace(StateTroubles {
                    late,
                    unanswered,
                    slow: secs(slow_s),
                    ..StateTroubles::default()
                });
                for round in 0..4u32 {
                    for n in 0..3 {
                        let cut = ["batch", "gang", "daemon"][n as usize];
                        let one = job(10 + round * 3 + n, cut, 3, 25.0);
                        ids.push(w.submit(one).await);
                    }
                    sleep(secs(1.0 + 0.5 * f64::from(round))).await;
                    let i = w.busiest();
                    w.kill(i);
                    cancel(&w, Some(i), &ids[ids.len() - 1]).await;
                    sleep(secs(2.0)).await;
                    w.start(i);
                    sleep(secs(6.0)).await;
                }
                settle(
                    &w,
                    &format!("late {late}, lost {unanswered}, slow {slow_s}, {k}"),
                    &ids,
                )
                .await;
            });
        }
    }
}

/// One-task jobs come four a second for a minute, a quarter of them is cancelled,
/// and a controller ends meanwhile.
#[test]
fn many_small_jobs_and_a_quarter_called_off() {
    for (n, (late, copied)) in [(0.0, 0.0), (0.05, 0.0), (0.0, 0.1)]
        .into_iter()
        .enumerate()
    {
        Scenario::with_large_teams(900 + n as u64).run(|w| async move {
            w.state.troubles.borrow_mut().late = late;
            w.copied.set(copied);
            let mut users = Vec::new();
            for k in 0..240u32 {
                let (world, w) = (w.clone(), w.clone());
                users.push(tokio::task::spawn_local(async move {
                    let mut one = job(1 + k, "batch", 1, 2.0);
                    one["vcpus"] = json!(1.0);
                    one["crew"] = json!(["t", "u"][k as usize % 2]);
                    let id = w.submit(one).await;
                    if k % 4 == 0 {
                        sleep(secs(f64::from(k % 7) * 0.6)).await;
                        cancel(&w, None, &id).await;
                    }
                    id
                }));
                sleep(secs(0.25)).await;
                if k % 80 == 40 {
                    let i = world.busiest();
                    world.kill(i);
                    world.start(i);
                    world.deliver_copies();
                }
            }
            let mut ids = Vec::new();
            for user in users {
                ids.push(user.await.expect("a user"));
            }
            w.deliver_copies();
            sleep(secs(10.0)).await;
            settle(&w, &format!("late {late}, copied {copied}"), &ids).await;
        });
    }
}
