//! The builder of scenarios: a seed, what differs from the usual deployment, and
//! the test that runs in it.

use std::future::Future;
use std::rc::Rc;

use super::scenario::{Shape, World, in_world};

/// A deployment that a test runs in, in simulated time.
pub struct Scenario {
    seed: u64,
    shape: Shape,
}

impl Scenario {
    /// The usual deployment: three controllers in two zones, two small teams.
    pub fn new(seed: u64) -> Self {
        let shape = Shape::default();
        Scenario { seed, shape }
    }

    /// Teams with room for all that a test submits.
    pub fn with_large_teams(seed: u64) -> Self {
        let teams = [("t", 64.0), ("u", 64.0)];
        let shape = Shape {
            teams: teams.map(|(name, cpus)| (name.into(), cpus, cpus)).to_vec(),
            ..Shape::default()
        };
        Scenario { seed, shape }
    }

    /// How long a cancelled task may still be on its machine.
    pub fn cancel_s(mut self, seconds: f64) -> Self {
        self.shape.cancel_s = seconds;
        self
    }

    /// How long a machine takes before its worker reports.
    pub fn boot_s(mut self, seconds: f64) -> Self {
        self.shape.boot_s = seconds;
        self
    }

    /// How often a worker reports.
    pub fn report_s(mut self, seconds: f64) -> Self {
        self.shape.report_s = seconds;
        self
    }

    /// One controller, in one zone.
    pub fn single_controller(mut self) -> Self {
        self.shape.controllers = 1;
        self.shape.locations = vec!["a"];
        self.shape.zones = vec!["a"];
        self.shape.machine_zones = vec!["a"];
        self
    }

    /// Starts the deployment and runs the test in it.
    pub fn run<F: Future<Output = ()>>(self, test: impl FnOnce(Rc<World>) -> F) {
        in_world(|| async move {
            let world = World::of(self.seed, self.shape).await;
            test(world).await;
        });
    }
}
