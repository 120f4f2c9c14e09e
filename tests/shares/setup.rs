//! Helpers of these tests: a deployment with shares, requests for moves, and waiting.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::stand_ins::{DeploymentOptions, Simulation, job};

/// The teams of the deployment.
pub const TEAMS: [&str; 2] = ["t", "u"];

pub fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns a deployment with shares enabled, two teams and ten machines.
pub fn shape(controllers: usize) -> DeploymentOptions {
    let teams = [("t", 20.0, 48.0), ("u", 20.0, 40.0)];
    DeploymentOptions {
        controllers,
        controller_locations: (0..controllers).map(|i| ["a", "a", "b"][i % 3]).collect(),
        teams: teams
            .map(|(name, cpus, limit)| (name.to_string(), cpus, limit))
            .to_vec(),
        machines: 10,
        shares: true,
        ..DeploymentOptions::default()
    }
}

/// Waits until a condition holds.
pub async fn wait_until(condition_name: &str, limit_s: f64, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < secs(limit_s),
            "not within {limit_s} s: {condition_name}"
        );
        sleep(secs(0.05)).await;
    }
}

/// Waits until the bookings of all teams are charged to shares.
pub async fn wait_until_shares_enabled(checker: &Checker) {
    wait_until("shares are enabled", 60.0, || {
        TEAMS.iter().all(|team| checker.share(team).is_some())
    })
    .await;
}

/// Returns the request body of a move of CPUs between two controllers.
pub fn move_request(id: &str, team: &str, from: usize, to: usize, cpus: f64) -> Value {
    json!({"id": id, "team": team, "from": format!("n{from}"), "to": format!("n{to}"),
        "cpus": cpus})
}

/// Requests a move at one controller, once, and returns the status and the response.
pub async fn request_move(
    simulation: &Simulation,
    controller: usize,
    body: &Value,
) -> (u16, Value) {
    simulation
        .send_request(controller, "POST", "/ops/shares/move", Some(body))
        .await
}

/// Returns the CPUs that the share of a controller grants for a team.
pub fn granted_cpus(checker: &Checker, team: &str, controller: usize) -> f64 {
    let share = checker.share(team).expect("a share record");
    share.granted_to(&format!("n{controller}")).cpus.units()
}

/// Submits services of two tasks, which run until they are cancelled, and waits until they
/// run.
pub async fn start_services(
    simulation: &Rc<Simulation>,
    first_number: u32,
    count: u32,
    team: &str,
) -> Vec<String> {
    let mut ids = Vec::new();
    for n in first_number..first_number + count {
        let mut service = job(n, "daemon", 2, 10.0);
        service["crew"] = json!(team);
        ids.push(simulation.submit(service).await);
    }
    for id in &ids {
        let running = || simulation.running_task_count(id) == 2;
        wait_until(id, 100.0, running).await;
    }
    ids
}
