//! Deployments and jobs for the tests of message limits.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::stand_ins::{DeploymentOptions, Simulation, job};

/// Time in seconds within which a job must not wait while it could run, from the stated target.
pub const MAX_WAIT_S: u64 = 90;

/// Name of the machine that exists at the start.
pub const MACHINE: &str = "host-000000";

/// Time after the start until the machine takes work.
const SETTLING: Duration = Duration::from_secs(10);

/// Starts a deployment with one machine, in zone a, and waits until it takes work.
pub async fn start(seed: u64) -> Rc<Simulation> {
    let options = DeploymentOptions {
        machines: 1,
        initial_machine_zones: vec!["a"],
        // Idle machines are kept for this time.
        ready_s: 600.0,
        // The jobs' records have space for all of their tasks.
        state: json!({"rps": 150.0, "write_rps": 90.0, "value_kb": 16.0, "txn_ops": 12}),
        teams: vec![("t".into(), 64.0, 64.0), ("u".into(), 64.0, 64.0)],
        ..DeploymentOptions::default()
    };
    let simulation = Simulation::with_options(seed, options).await;
    sleep(SETTLING).await;
    simulation
}

/// Returns the number of leases of the machine's worker that have expired.
pub fn expired_leases(simulation: &Simulation) -> u64 {
    simulation.workers.borrow()[MACHINE].0.epoch.get() - 1
}

/// Returns a job of team `t` whose tasks take so little that a machine has the resources for
/// 1,600 of them.
pub fn tiny_tasks(number: u32, kind: &str, tasks: u32, run_s: f64) -> Value {
    let mut tiny = job(number, kind, tasks, run_s);
    tiny["vcpus"] = json!(0.005);
    tiny["ram_gb"] = json!(0.005);
    tiny
}

/// Submits a service of team `u` with two replicas, and waits until it runs.
pub async fn run_service(simulation: &Simulation, number: u32) -> String {
    let mut service = job(number, "daemon", 2, 0.0);
    service["crew"] = json!("u");
    service["urgency"] = json!("prod");
    service["vcpus"] = json!(1.0);
    let id = simulation.submit(service).await;
    simulation.wait_for_stage(&id, "running", 60).await;
    while simulation.running_task_count(&id) < 2 {
        sleep(Duration::from_millis(100)).await;
    }
    id
}
