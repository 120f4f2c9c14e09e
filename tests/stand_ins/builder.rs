//! A builder for simulated deployments: it takes a seed and the options that differ
//! from the defaults, and runs a test in the deployment.

use std::future::Future;
use std::rc::Rc;

use super::scenario::{DeploymentOptions, Simulation, run_in_simulated_time};

/// A builder for a deployment in simulated time that runs one test.
pub struct Scenario {
    seed: u64,
    shape: DeploymentOptions,
}

impl Scenario {
    /// Returns a scenario with the default deployment: three controllers in two zones and
    /// two teams with small quotas.
    pub fn new(seed: u64) -> Self {
        let shape = DeploymentOptions::default();
        Scenario { seed, shape }
    }

    /// Returns a scenario whose teams have quotas above anything that a test submits.
    pub fn with_large_teams(seed: u64) -> Self {
        let teams = [("t", 64.0), ("u", 64.0)];
        let shape = DeploymentOptions {
            teams: teams.map(|(name, cpus)| (name.into(), cpus, cpus)).to_vec(),
            ..DeploymentOptions::default()
        };
        Scenario { seed, shape }
    }

    /// Sets the time in seconds within which a cancelled task must leave its machine.
    pub fn cancel_s(mut self, seconds: f64) -> Self {
        self.shape.cancel_s = seconds;
        self
    }

    /// Sets the time in seconds between the rental of a machine and its worker's first
    /// heartbeat.
    pub fn boot_s(mut self, seconds: f64) -> Self {
        self.shape.boot_s = seconds;
        self
    }

    /// Sets the interval between the heartbeats of a worker, in seconds.
    pub fn report_s(mut self, seconds: f64) -> Self {
        self.shape.report_s = seconds;
        self
    }

    /// Reduces the deployment to one controller and one zone.
    pub fn single_controller(mut self) -> Self {
        self.shape.controllers = 1;
        self.shape.controller_locations = vec!["a"];
        self.shape.zones = vec!["a"];
        self.shape.initial_machine_zones = vec!["a"];
        self
    }

    /// Starts the deployment and runs `test` in it.
    pub fn run<F: Future<Output = ()>>(self, test: impl FnOnce(Rc<Simulation>) -> F) {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::with_options(self.seed, self.shape).await;
            test(simulation).await;
        });
    }
}
