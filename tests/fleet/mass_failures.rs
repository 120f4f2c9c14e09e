//! A fleet of the largest size that operators have named, and half as many
//! machines again, goes through mass failures one after another.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::deployments::{clubs, yard};
use crate::stand_ins::{Shape, Trouble, World, in_world, job};

/// Submits jobs of each kind, `wave` tells them apart.
async fn submit(world: &World, wave: u32) -> Vec<String> {
    let teams = world.shape.teams.len() as u32;
    let mut ids = Vec::new();
    for number in 0..12 {
        let (kind, tasks, run_s) =
            [("batch", 60, 20.0), ("gang", 4, 25.0), ("daemon", 9, 0.0)][number as usize % 3];
        let mut request = job(wave * 100 + number, kind, tasks, run_s);
        request["crew"] = json!(format!("t{}", number % teams));
        request["scatter"] = json!(kind == "daemon");
        request["same_place"] = json!(kind == "gang");
        ids.push(world.submit(request).await);
    }
    ids
}

/// Each accepted job is answered for at every controller: services run whole,
/// the rest is done.
async fn wait_until_all_answered(world: &World, ids: &[String], limit_s: f64, after: &str) {
    let began = Instant::now();
    let mut left: Vec<(usize, &String)> = Vec::new();
    for controller in 0..world.shape.controllers {
        left.extend(ids.iter().map(|id| (controller, id)));
    }
    while !left.is_empty() {
        let mut open = Vec::new();
        for (controller, id) in left {
            let stage = world.stage(controller, id).await;
            let service = world.is_service(id);
            let met = match stage.as_deref() {
                Some("done") => true,
                Some("running") => service && world.running(id) == 9,
                _ => false,
            };
            if !met {
                open.push((controller, id));
            }
        }
        left = open;
        let spent = began.elapsed().as_secs_f64();
        assert!(spent < limit_s, "after {after}: not answered for: {left:?}");
        sleep(Duration::from_secs_f64(world.shape.report_s)).await;
    }
}

/// A start, failures of controllers, machines, zones and the state service one after
/// another, and repeats of all requests.
fn run_mass_failures(shape: Shape) {
    in_world(|| async move {
        let lease_s = shape.lease_s;
        let controllers = shape.controllers;
        let seconds = Duration::from_secs_f64;
        let world = World::of(21, shape).await;
        let mut ids = submit(&world, 1).await;
        wait_until_all_answered(&world, &ids, lease_s * 4.0, "a start").await;

        // All machines on one controller.
        for controller in 1..controllers {
            world.kill(controller);
        }
        sleep(seconds(lease_s * 1.2)).await;
        assert!(world.workers.borrow().len() >= world.shape.machines);
        assert_eq!(
            world.lapsed(),
            0,
            "leases ran out on the way to one controller"
        );
        ids.extend(submit_to(&world, 0, 2).await);
        for controller in 1..controllers {
            world.start(controller);
        }
        wait_until_all_answered(&world, &ids, lease_s * 6.0, "all on one controller").await;

        // The same by a cut, behind which connections hang: whoever tries one
        // who is cut off loses seconds of his lease.
        for controller in 1..controllers {
            world.cut_controller(controller, true);
        }
        sleep(seconds(lease_s * 1.5)).await;
        let lapsed = world.lapsed() as usize;
        for controller in 1..controllers {
            world.cut_controller(controller, false);
        }
        assert!(
            lapsed * 20 < world.shape.machines,
            "{lapsed} leases ran out"
        );
        wait_until_all_answered(&world, &ids, lease_s * 6.0, "a cut of all but one").await;

        // A fifth of the machines gone at once, all controllers with them.
        let names: Vec<String> = world.workers.borrow().keys().cloned().collect();
        for name in names.iter().step_by(5) {
            world.lose(name);
        }
        for controller in 0..controllers {
            world.kill(controller);
            world.start(controller);
        }
        ids.extend(submit(&world, 3).await);
        wait_until_all_answered(&world, &ids, lease_s * 10.0, "a fifth gone").await;

        // A zone cut off for longer than a lease, and back.
        world.cut_zone("b", true);
        sleep(seconds(lease_s * 2.0)).await;
        world.cut_zone("b", false);
        ids.extend(submit(&world, 4).await);
        wait_until_all_answered(&world, &ids, lease_s * 10.0, "a zone cut").await;

        // The state service away for longer than a lease; one controller
        // stands still in the middle of it, another is back at once.
        world.state.trouble.set(Trouble::Down);
        sleep(seconds(lease_s * 0.6)).await;
        world.freeze(0, true);
        world.kill(1);
        world.start(1);
        sleep(seconds(lease_s * 0.6)).await;
        world.state.trouble.set(Trouble::None);
        sleep(seconds(lease_s * 0.6)).await;
        world.freeze(0, false);
        ids.extend(submit(&world, 5).await);
        wait_until_all_answered(&world, &ids, lease_s * 10.0, "an outage").await;

        // Repeats of all submissions, and withdrawals: carried out already.
        for id in &ids {
            if world.is_service(id) {
                assert_eq!(
                    world.withdraw(0, id).await.as_deref(),
                    Some("aborted"),
                    "{id}"
                );
                assert_eq!(
                    world.withdraw(1, id).await.as_deref(),
                    Some("aborted"),
                    "{id}"
                );
            }
            let stage = world.stage(controllers - 1, id).await;
            let want = if world.is_service(id) {
                "aborted"
            } else {
                "done"
            };
            assert_eq!(stage.as_deref(), Some(want), "{id}");
        }
        sleep(seconds(lease_s)).await;
        assert!(world.workers.borrow().len() * 2 > world.shape.machines);
        world.assert_kept();
    });
}

/// Submits one job to this controller.
async fn submit_to(world: &World, controller: usize, wave: u32) -> Vec<String> {
    let mut request = job(wave * 100, "batch", 60, 10.0);
    request["crew"] = json!("t1");
    world.remember(&request);
    let (status, answer) = world
        .ask(controller, "POST", "/submissions", Some(&request))
        .await;
    assert_eq!(status, 201, "{answer}");
    vec![format!("job-{:06}", wave * 100)]
}

#[test]
fn the_yard_s_fleet_goes_through_mass_failures() {
    run_mass_failures(yard());
}

#[test]
fn the_clubs_fleet_goes_through_mass_failures() {
    run_mass_failures(clubs());
}
