//! Tests of mass failures, one after another, in fleets that are half as large again as the
//! largest that operators have described.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::deployments::{five_controller_deployment, three_controller_deployment};
use crate::stand_ins::{DeploymentOptions, Simulation, StateFault, job, run_in_simulated_time};

/// Submits jobs of each kind. The number of the wave keeps their ids distinct.
async fn submit(simulation: &Simulation, wave: u32) -> Vec<String> {
    let teams = simulation.shape.teams.len() as u32;
    let mut ids = Vec::new();
    for number in 0..12 {
        let (kind, tasks, run_s) =
            [("batch", 60, 20.0), ("gang", 4, 25.0), ("daemon", 9, 0.0)][number as usize % 3];
        let mut request = job(wave * 100 + number, kind, tasks, run_s);
        request["crew"] = json!(format!("t{}", number % teams));
        request["scatter"] = json!(kind == "daemon");
        request["same_place"] = json!(kind == "gang");
        ids.push(simulation.submit(request).await);
    }
    ids
}

/// Waits until every controller reports that each accepted service runs with all its replicas
/// and that every other job is done.
async fn wait_until_running_or_done(
    simulation: &Simulation,
    ids: &[String],
    limit_s: f64,
    after: &str,
) {
    let start = Instant::now();
    let mut unfinished: Vec<(usize, &String)> = Vec::new();
    for controller in 0..simulation.shape.controllers {
        unfinished.extend(ids.iter().map(|id| (controller, id)));
    }
    while !unfinished.is_empty() {
        let mut waiting = Vec::new();
        for (controller, id) in unfinished {
            let stage = simulation.query_stage(controller, id).await;
            let service = simulation.is_service(id);
            let is_met = match stage.as_deref() {
                Some("done") => true,
                Some("running") => service && simulation.running_task_count(id) == 9,
                _ => false,
            };
            if !is_met {
                waiting.push((controller, id));
            }
        }
        unfinished = waiting;
        let elapsed_s = start.elapsed().as_secs_f64();
        assert!(
            elapsed_s < limit_s,
            "after {after}: not running or done: {unfinished:?}"
        );
        sleep(Duration::from_secs_f64(simulation.shape.report_s)).await;
    }
}

/// Starts the deployment, causes failures of controllers, machines, zones and the state
/// service one after another, and then cancels every service twice.
fn run_mass_failures(shape: DeploymentOptions) {
    run_in_simulated_time(|| async move {
        let lease_s = shape.lease_s;
        let controllers = shape.controllers;
        let seconds = Duration::from_secs_f64;
        let simulation = Simulation::with_options(21, shape).await;
        let mut ids = submit(&simulation, 1).await;
        wait_until_running_or_done(&simulation, &ids, lease_s * 4.0, "a start").await;

        // One controller takes over all machines.
        for controller in 1..controllers {
            simulation.kill_controller(controller);
        }
        sleep(seconds(lease_s * 1.2)).await;
        assert!(simulation.workers.borrow().len() >= simulation.shape.machines);
        assert_eq!(
            simulation.expired_lease_count(),
            0,
            "leases expired during the takeover by one controller"
        );
        ids.extend(submit_to(&simulation, 0, 2).await);
        for controller in 1..controllers {
            simulation.start(controller);
        }
        wait_until_running_or_done(&simulation, &ids, lease_s * 6.0, "all on one controller").await;

        // One controller takes over all machines because all connections of the others are cut.
        // New connections to those controllers hang, so a worker loses seconds of its lease with
        // each of them that it tries.
        for controller in 1..controllers {
            simulation.set_controller_partition(controller, true);
        }
        sleep(seconds(lease_s * 1.5)).await;
        let lapsed = simulation.expired_lease_count() as usize;
        for controller in 1..controllers {
            simulation.set_controller_partition(controller, false);
        }
        assert!(
            lapsed * 20 < simulation.shape.machines,
            "{lapsed} leases expired"
        );
        wait_until_running_or_done(&simulation, &ids, lease_s * 6.0, "a cut of all but one").await;

        // A fifth of the machines is lost and all controllers restart at the same time.
        let names: Vec<String> = simulation.workers.borrow().keys().cloned().collect();
        for name in names.iter().step_by(5) {
            simulation.lose_machine(name);
        }
        for controller in 0..controllers {
            simulation.kill_controller(controller);
            simulation.start(controller);
        }
        ids.extend(submit(&simulation, 3).await);
        wait_until_running_or_done(&simulation, &ids, lease_s * 10.0, "a fifth gone").await;

        // A zone is cut off for longer than a lease and then reconnected.
        simulation.set_zone_partition("b", true);
        sleep(seconds(lease_s * 2.0)).await;
        simulation.set_zone_partition("b", false);
        ids.extend(submit(&simulation, 4).await);
        wait_until_running_or_done(&simulation, &ids, lease_s * 10.0, "a zone cut").await;

        // The state service is down for longer than a lease. In the middle of the outage one
        // controller freezes and another restarts immediately.
        simulation.state.fault.set(StateFault::Outage);
        sleep(seconds(lease_s * 0.6)).await;
        simulation.set_paused(0, true);
        simulation.kill_controller(1);
        simulation.start(1);
        sleep(seconds(lease_s * 0.6)).await;
        simulation.state.fault.set(StateFault::None);
        sleep(seconds(lease_s * 0.6)).await;
        simulation.set_paused(0, false);
        ids.extend(submit(&simulation, 5).await);
        wait_until_running_or_done(&simulation, &ids, lease_s * 10.0, "an outage").await;

        // Every service is cancelled at two controllers, and every job is queried at a third.
        // The second controller finds that the service is already cancelled.
        for id in &ids {
            if simulation.is_service(id) {
                assert_eq!(
                    simulation.cancel(0, id).await.as_deref(),
                    Some("aborted"),
                    "{id}"
                );
                assert_eq!(
                    simulation.cancel(1, id).await.as_deref(),
                    Some("aborted"),
                    "{id}"
                );
            }
            let stage = simulation.query_stage(controllers - 1, id).await;
            let expected = if simulation.is_service(id) {
                "aborted"
            } else {
                "done"
            };
            assert_eq!(stage.as_deref(), Some(expected), "{id}");
        }
        sleep(seconds(lease_s)).await;
        assert!(simulation.workers.borrow().len() * 2 > simulation.shape.machines);
        simulation.assert_no_violations();
    });
}

/// Submits one job to this controller and returns its id.
async fn submit_to(simulation: &Simulation, controller: usize, wave: u32) -> Vec<String> {
    let mut request = job(wave * 100, "batch", 60, 10.0);
    request["crew"] = json!("t1");
    simulation.register_job(&request);
    let (status, answer) = simulation
        .send_request(controller, "POST", "/submissions", Some(&request))
        .await;
    assert_eq!(status, 201, "{answer}");
    vec![format!("job-{:06}", wave * 100)]
}

#[test]
fn five_controller_fleet_recovers_from_mass_failures() {
    run_mass_failures(five_controller_deployment());
}

#[test]
fn three_controller_fleet_recovers_from_mass_failures() {
    run_mass_failures(three_controller_deployment());
}
