//! A fleet of the largest size that operators have named, and half as many
//! machines again, goes through mass failures one after another.

use std::time::Duration;

use crate::stand_ins::{Shape, Trouble, World, in_world, job};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Five controllers in three zones, 1,905 machines.
fn yard() -> Shape {
    Shape {
        controllers: 5,
        locations: vec!["a", "b", "c", "a", "b"],
        zones: vec!["a", "b", "c"],
        machine_zones: vec!["a", "b", "c"],
        report_s: 5.0,
        report_jitter: 0.25,
        lease_s: 26.5,
        cancel_s: 46.5,
        teams: (0..16).map(|n| (format!("t{n}"), 1500.0, 6000.0)).collect(),
        state: json!({"rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16}),
        sockets: 2752,
        machines: 1905,
        ready_s: 3600.0,
        boot_s: 4.0,
        shares: false,
        loopback: false,
    }
}

/// Three controllers in two zones, 1,295 machines.
fn clubs() -> Shape {
    Shape {
        controllers: 3,
        locations: vec!["a", "a", "b"],
        zones: vec!["a", "b"],
        machine_zones: vec!["a", "b"],
        report_s: 4.0,
        report_jitter: 0.25,
        lease_s: 22.0,
        cancel_s: 52.0,
        teams: (0..4).map(|n| (format!("t{n}"), 5000.0, 18000.0)).collect(),
        state: json!({"rps": 700.0, "write_rps": 300.0, "value_kb": 16.0, "txn_ops": 12}),
        sockets: 3004,
        machines: 1295,
        ready_s: 3600.0,
        boot_s: 4.0,
        shares: false,
        loopback: false,
    }
}

/// Submits jobs of each kind, `wave` tells them apart.
async fn submit(w: &World, wave: u32) -> Vec<String> {
    let teams = w.shape.teams.len() as u32;
    let mut ids = Vec::new();
    for n in 0..12 {
        let (cut, tasks, run) =
            [("batch", 60, 20.0), ("gang", 4, 25.0), ("daemon", 9, 0.0)][n as usize % 3];
        let mut one = job(wave * 100 + n, cut, tasks, run);
        one["crew"] = json!(format!("t{}", n % teams));
        one["scatter"] = json!(cut == "daemon");
        one["same_place"] = json!(cut == "gang");
        ids.push(w.submit(one).await);
    }
    ids
}

/// Each accepted job is answered for at every controller: services run whole,
/// the rest is done.
async fn all_answered(w: &World, ids: &[String], limit: f64, after: &str) {
    let began = Instant::now();
    let mut left: Vec<(usize, &String)> = Vec::new();
    for i in 0..w.shape.controllers {
        left.extend(ids.iter().map(|id| (i, id)));
    }
    while !left.is_empty() {
        let mut open = Vec::new();
        for (i, id) in left {
            let stage = w.stage(i, id).await;
            let service = w.is_service(id);
            let met = match stage.as_deref() {
                Some("done") => true,
                Some("running") => service && w.running(id) == 9,
                _ => false,
            };
            if !met {
                open.push((i, id));
            }
        }
        left = open;
        let spent = began.elapsed().as_secs_f64();
        assert!(spent < limit, "after {after}: not answered for: {left:?}");
        sleep(Duration::from_secs_f64(w.shape.report_s)).await;
    }
}

fn goes_through(shape: Shape) {
    in_world(|| async move {
        let lease = shape.lease_s;
        let all = shape.controllers;
        let seconds = Duration::from_secs_f64;
        let w = World::of(21, shape).await;
        let mut ids = submit(&w, 1).await;
        all_answered(&w, &ids, lease * 4.0, "a start").await;

        // All machines on one controller.
        for i in 1..all {
            w.kill(i);
        }
        sleep(seconds(lease * 1.2)).await;
        assert!(w.workers.borrow().len() >= w.shape.machines);
        assert_eq!(w.lapsed(), 0, "leases ran out on the way to one controller");
        ids.extend(submit_to(&w, 0, 2).await);
        for i in 1..all {
            w.start(i);
        }
        all_answered(&w, &ids, lease * 6.0, "all on one controller").await;

        // The same by a cut, behind which connections hang: whoever tries one
        // who is cut off loses seconds of his lease.
        for i in 1..all {
            w.cut_controller(i, true);
        }
        sleep(seconds(lease * 1.5)).await;
        let lapsed = w.lapsed() as usize;
        for i in 1..all {
            w.cut_controller(i, false);
        }
        assert!(lapsed * 20 < w.shape.machines, "{lapsed} leases ran out");
        all_answered(&w, &ids, lease * 6.0, "a cut of all but one").await;

        // A fifth of the machines gone at once, all controllers with them.
        let names: Vec<String> = w.workers.borrow().keys().cloned().collect();
        for name in names.iter().step_by(5) {
            w.lose(name);
        }
        for i in 0..all {
            w.kill(i);
            w.start(i);
        }
        ids.extend(submit(&w, 3).await);
        all_answered(&w, &ids, lease * 10.0, "a fifth gone").await;

        // A zone cut off for longer than a lease, and back.
        w.cut_zone("b", true);
        sleep(seconds(lease * 2.0)).await;
        w.cut_zone("b", false);
        ids.extend(submit(&w, 4).await);
        all_answered(&w, &ids, lease * 10.0, "a zone cut").await;

        // The state service away for longer than a lease; one controller
        // stands still in the middle of it, another is back at once.
        w.state.trouble.set(Trouble::Down);
        sleep(seconds(lease * 0.6)).await;
        w.freeze(0, true);
        w.kill(1);
        w.start(1);
        sleep(seconds(lease * 0.6)).await;
        w.state.trouble.set(Trouble::None);
        sleep(seconds(lease * 0.6)).await;
        w.freeze(0, false);
        ids.extend(submit(&w, 5).await);
        all_answered(&w, &ids, lease * 10.0, "an outage").await;

        // Repeats of all submissions, and withdrawals: carried out already.
        for id in &ids {
            if w.is_service(id) {
                assert_eq!(w.withdraw(0, id).await.as_deref(), Some("aborted"), "{id}");
                assert_eq!(w.withdraw(1, id).await.as_deref(), Some("aborted"), "{id}");
            }
            let stage = w.stage(all - 1, id).await;
            let want = if w.is_service(id) { "aborted" } else { "done" };
            assert_eq!(stage.as_deref(), Some(want), "{id}");
        }
        sleep(seconds(lease)).await;
        assert!(w.workers.borrow().len() * 2 > w.shape.machines);
        w.assert_kept();
    });
}

async fn submit_to(w: &World, i: usize, wave: u32) -> Vec<String> {
    let mut one = job(wave * 100, "batch", 60, 10.0);
    one["crew"] = json!("t1");
    w.remember(&one);
    let (status, answer) = w.ask(i, "POST", "/submissions", Some(&one)).await;
    assert_eq!(status, 201, "{answer}");
    vec![format!("job-{:06}", wave * 100)]
}

#[test]
fn the_yard_s_fleet_goes_through_mass_failures() {
    goes_through(yard());
}

#[test]
fn the_clubs_fleet_goes_through_mass_failures() {
    goes_through(clubs());
}
