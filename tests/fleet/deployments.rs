//! Deployments with the parameters that operators have given, for fleets of the largest size.

use serde_json::json;

use crate::stand_ins::DeploymentOptions;

/// Returns a deployment with five controllers in three zones and 1,905 machines.
pub fn five_controller_deployment() -> DeploymentOptions {
    DeploymentOptions {
        controllers: 5,
        controller_locations: vec!["a", "b", "c", "a", "b"],
        zones: vec!["a", "b", "c"],
        initial_machine_zones: vec!["a", "b", "c"],
        report_s: 5.0,
        report_jitter: 0.25,
        lease_s: 26.5,
        cancel_s: 46.5,
        teams: teams(16, 1500.0, 6000.0),
        state: json!({"rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16}),
        sockets: 2752,
        machines: 1905,
        ready_s: 3600.0,
        boot_s: 4.0,
        has_accelerators: false,
        shares: false,
        uses_loopback_sockets: false,
    }
}

/// Returns a deployment with three controllers in two zones and 1,295 machines.
pub fn three_controller_deployment() -> DeploymentOptions {
    DeploymentOptions {
        controllers: 3,
        controller_locations: vec!["a", "a", "b"],
        zones: vec!["a", "b"],
        initial_machine_zones: vec!["a", "b"],
        report_s: 4.0,
        report_jitter: 0.25,
        lease_s: 22.0,
        cancel_s: 52.0,
        teams: teams(4, 5000.0, 18000.0),
        state: json!({"rps": 700.0, "write_rps": 300.0, "value_kb": 16.0, "txn_ops": 12}),
        sockets: 3004,
        machines: 1295,
        ready_s: 3600.0,
        boot_s: 4.0,
        has_accelerators: false,
        shares: false,
        uses_loopback_sockets: false,
    }
}

/// Returns teams `t0`, `t1` and so on, all with the same limits.
pub fn teams(count: usize, max_cpus: f64, max_memory: f64) -> Vec<(String, f64, f64)> {
    let team = |number| (format!("t{number}"), max_cpus, max_memory);
    (0..count).map(team).collect()
}
