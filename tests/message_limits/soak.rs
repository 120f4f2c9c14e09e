//! A seeded soak: random jobs of tiny tasks, cancellations and faults on machines that are full
//! of tasks. The run of the test suite is short; `MESSAGE_SOAK_FROM` and `MESSAGE_SOAK_SEEDS`
//! set the first seed and the number of seeds of a longer one.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time::sleep;

use crate::setup::{start, tiny_tasks};
use crate::stand_ins::{CONTROLLERS, Simulation, StateFault, Worker, run_in_simulated_time};

/// Number of seeds in a run of the test suite.
const SEEDS: u64 = 4;

/// Number of random steps of a seed, after each of which some time passes.
const STEPS: u32 = 40;

/// Time in seconds within which all jobs are done once the faults are over: a job must not wait
/// for 90 s while there is capacity, and the capacity is enough for some at a time.
const COMPLETION_S: u64 = 400;

/// A step of the soak.
#[derive(Debug, Clone, Copy)]
enum Step {
    SubmitArray,
    SubmitGang,
    CancelJob,
    RestartController,
    HangMachine,
    BlockHeartbeats,
    DelayCommands,
    StateOutage,
}

impl Step {
    /// All steps. Jobs are submitted more often than faults occur.
    const ALL: [Step; 12] = [
        Step::SubmitArray,
        Step::SubmitArray,
        Step::SubmitArray,
        Step::SubmitArray,
        Step::SubmitGang,
        Step::CancelJob,
        Step::CancelJob,
        Step::RestartController,
        Step::HangMachine,
        Step::BlockHeartbeats,
        Step::DelayCommands,
        Step::StateOutage,
    ];
}

/// State of one seed's run.
struct Soak {
    simulation: Rc<Simulation>,
    rng: SmallRng,
    /// Jobs that have been submitted and not cancelled.
    jobs: Vec<String>,
    submitted: u32,
}

impl Soak {
    async fn new(seed: u64) -> Self {
        let simulation = start(seed).await;
        simulation.command_copies.fraction.set(0.2);
        Soak {
            simulation,
            rng: SmallRng::seed_from_u64(seed),
            jobs: Vec::new(),
            submitted: 0,
        }
    }

    async fn perform(&mut self, step: Step) {
        match step {
            Step::SubmitArray => self.submit("batch", 100..=1200).await,
            Step::SubmitGang => self.submit("gang", 20..=600).await,
            Step::CancelJob => self.cancel_job().await,
            Step::RestartController => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                self.simulation.kill_controller(controller);
                sleep(Duration::from_millis(200)).await;
                self.simulation.start(controller);
            }
            Step::HangMachine => {
                let span = Duration::from_secs_f64(self.rng.random_range(0.5..14.0));
                if let Some(worker) = self.any_worker() {
                    worker.hang(span);
                }
            }
            Step::BlockHeartbeats => {
                if let Some(worker) = self.any_worker() {
                    let blocked = !worker.heartbeats_blocked.get();
                    worker.heartbeats_blocked.set(blocked);
                }
            }
            Step::DelayCommands => {
                let delay = Duration::from_secs_f64(self.rng.random_range(0.0..3.0));
                if let Some(worker) = self.any_worker() {
                    worker.command_delay.set(delay);
                }
            }
            Step::StateOutage => {
                self.simulation.state.fault.set(StateFault::Outage);
                sleep(Duration::from_secs_f64(self.rng.random_range(0.5..6.0))).await;
                self.simulation.state.fault.set(StateFault::None);
            }
        }
    }

    fn any_worker(&mut self) -> Option<Rc<Worker>> {
        let workers = self.simulation.busy_workers();
        workers.choose(&mut self.rng).cloned()
    }

    async fn submit(&mut self, kind: &str, tasks: std::ops::RangeInclusive<u32>) {
        self.submitted += 1;
        let tasks = self.rng.random_range(tasks);
        let run_s = self.rng.random_range(0.5..15.0);
        let mut submission = tiny_tasks(self.submitted, kind, tasks, run_s);
        let urgency = ["low", "normal", "urgent"].choose(&mut self.rng);
        submission["urgency"] = json!(urgency);
        self.jobs.push(self.simulation.submit(submission).await);
    }

    async fn cancel_job(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.jobs.len());
        let id = self.jobs.swap_remove(index);
        while self.simulation.cancel(0, &id).await.is_none() {
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Ends all faults, and checks that all remaining jobs get done.
    async fn finish(&mut self, seed: u64) {
        for (worker, _) in self.simulation.workers.borrow().values() {
            worker.heartbeats_blocked.set(false);
            worker.command_delay.set(Duration::ZERO);
        }
        for id in &self.jobs {
            self.simulation
                .wait_for_stage(id, "done", COMPLETION_S)
                .await;
        }
        let violations = self.simulation.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against messages over the limit, and jobs that never get done, where full machines
/// meet faults.
#[test]
fn soak_of_full_machines() {
    let first = number_from_env("MESSAGE_SOAK_FROM", 1);
    let seeds = number_from_env("MESSAGE_SOAK_SEEDS", SEEDS);
    for seed in first..first + seeds {
        run_in_simulated_time(|| async move {
            let mut soak = Soak::new(seed).await;
            for _ in 0..STEPS {
                let step = Step::ALL.choose(&mut soak.rng).copied();
                soak.perform(step.expect("a step")).await;
                let pause = soak.rng.random_range(0.1..4.0);
                sleep(Duration::from_secs_f64(pause)).await;
            }
            soak.finish(seed).await;
        });
    }
}
