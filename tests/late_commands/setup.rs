//! Deployments whose direct calls are all delivered once more, and the interruptions that the
//! copies meet.

use std::future::Future;
use std::panic::Location;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::stand_ins::{DeploymentOptions, Simulation, job, run_in_simulated_time};

/// Longest delay of a copy.
const MAX_COPY_DELAY: Duration = Duration::from_secs(60);

/// Time for which a controller that comes back at once is down, or a machine hangs.
const SHORT_INTERRUPTION: Duration = Duration::from_millis(600);

/// Time for which a controller is down until others have claimed its machines.
const LONG_INTERRUPTION: Duration = Duration::from_secs(6);

/// Time after the start until machines take work.
const SETTLING: Duration = Duration::from_secs(10);

/// An interruption of controllers or machines.
#[derive(Debug, Clone, Copy)]
pub enum Interruption {
    None,
    OwnerRestarts,
    OwnerIsReplaced,
    AllControllersRestart,
    MachinesHang,
}

impl Interruption {
    const ALL: [Interruption; 5] = [
        Interruption::None,
        Interruption::OwnerRestarts,
        Interruption::OwnerIsReplaced,
        Interruption::AllControllersRestart,
        Interruption::MachinesHang,
    ];

    /// Makes the interruption happen, and waits until it is over.
    pub async fn happen(self, simulation: &Rc<Simulation>) {
        match self {
            Interruption::None => {}
            Interruption::OwnerRestarts | Interruption::OwnerIsReplaced => {
                simulation.kill_controller(simulation.controller_with_most_machines());
            }
            Interruption::AllControllersRestart => {
                for i in 0..simulation.shape.controllers {
                    simulation.kill_controller(i);
                }
            }
            Interruption::MachinesHang => {
                for (worker, _) in simulation.workers.borrow().values() {
                    worker.hang(SHORT_INTERRUPTION);
                }
            }
        }
        let duration = match self {
            Interruption::OwnerIsReplaced => LONG_INTERRUPTION,
            _ => SHORT_INTERRUPTION,
        };
        sleep(duration).await;
        simulation.restore_controllers();
    }
}

/// Returns a deployment with this many machines of 8 CPUs in zone a, which are kept while idle for 30 s.
fn options(machines: usize) -> DeploymentOptions {
    DeploymentOptions {
        machines,
        initial_machine_zones: vec!["a"],
        ready_s: 30.0,
        teams: vec![("t".into(), 64.0, 64.0), ("u".into(), 64.0, 64.0)],
        ..DeploymentOptions::default()
    }
}

/// Runs a scenario with each interruption, as [`run_with_copies`] does.
pub fn check_with_copies<F: Future<Output = ()>>(
    machines: usize,
    scenario: impl Fn(Rc<Simulation>, Interruption) -> F,
) {
    for (seed, interruption) in (1..).zip(Interruption::ALL) {
        run_with_copies(seed, machines, |simulation| {
            scenario(simulation, interruption)
        });
    }
}

/// Runs a scenario. All direct calls are delivered once more after a random delay, and all of
/// them once again, in their order, at the end. Asserts that no copy starts anything and that
/// no rule is violated.
pub fn run_with_copies<F: Future<Output = ()>>(
    seed: u64,
    machines: usize,
    scenario: impl FnOnce(Rc<Simulation>) -> F,
) {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(seed, options(machines)).await;
        let copies = &simulation.command_copies;
        copies.delay.set((Duration::from_millis(1), MAX_COPY_DELAY));
        copies.fraction.set(1.0);
        copies.keeps_calls.set(true);
        sleep(SETTLING).await;
        scenario(simulation.clone()).await;
        sleep(MAX_COPY_DELAY).await;
        copies.fraction.set(0.0);
        simulation.deliver_kept_calls().await;
        sleep(Duration::from_secs(5)).await;
        assert!(copies.delivered_count.get() > 0, "seed {seed}");
        let violations = simulation.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    });
}

/// Returns a job of this priority.
pub fn job_with_priority(number: u32, kind: &str, tasks: u32, run_s: f64, priority: &str) -> Value {
    let mut submission = job(number, kind, tasks, run_s);
    submission["urgency"] = json!(priority);
    submission
}

/// Submits a job and waits until all of its tasks run.
pub async fn run_whole(simulation: &Rc<Simulation>, submission: Value) -> String {
    let tasks = submission["boards"].as_u64().expect("a number") as usize;
    let id = simulation.submit(submission).await;
    wait_until(|| simulation.running_task_count(&id) == tasks).await;
    id
}

/// Waits until the condition holds; panics after 90 s.
#[track_caller]
pub fn wait_until(condition: impl Fn() -> bool) -> impl Future<Output = ()> {
    let caller = Location::caller();
    wait_until_from(condition, caller)
}

async fn wait_until_from(condition: impl Fn() -> bool, caller: &'static Location<'static>) {
    for _ in 0..900 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("the condition at {caller} does not hold after 90 s");
}

/// Requests the cancellation of a job until a controller answers.
pub async fn cancel(simulation: &Rc<Simulation>, id: &str) {
    for _ in 0..100 {
        if simulation.cancel(0, id).await.is_some() {
            return;
        }
        sleep(Duration::from_millis(300)).await;
    }
    panic!("the cancellation of {id} is not answered");
}
