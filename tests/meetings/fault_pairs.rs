//! Pairs of faults that overlap while users submit, cancel and query jobs.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::scenario::{cancel, heal_and_check, secs};
use crate::stand_ins::{
    Scenario, Simulation, StateFault, StateFaultOptions, Worker, job, job_with_run_times,
};

/// A fault that a test injects. The leader is the controller that owns the most
/// machines.
#[derive(Debug, Clone, Copy)]
enum Fault {
    LeaderRestart,
    AllControllersRestart,
    LeaderFrozen,
    LeaderRefusedByState,
    StateOutage,
    LateCommits,
    UnansweredCommits,
    SlowState,
    MessagesToWorkersBlocked,
    MessagesFromWorkersBlocked,
    HangingMachines,
    DelayedCommands,
    LateReportCopies,
    LeaderPartitionedFromWorkers,
    ZonePartitioned,
    LeaderPartitionedFromStateAndPeers,
    MachineLost,
    JobsCancelled,
}

impl Fault {
    /// All faults. The position of a pair in this order determines its seed, so the order must
    /// not change.
    const ALL: [Fault; 18] = [
        Fault::LeaderRestart,
        Fault::AllControllersRestart,
        Fault::LeaderFrozen,
        Fault::LeaderRefusedByState,
        Fault::StateOutage,
        Fault::LateCommits,
        Fault::UnansweredCommits,
        Fault::SlowState,
        Fault::MessagesToWorkersBlocked,
        Fault::MessagesFromWorkersBlocked,
        Fault::HangingMachines,
        Fault::DelayedCommands,
        Fault::LateReportCopies,
        Fault::LeaderPartitionedFromWorkers,
        Fault::ZonePartitioned,
        Fault::LeaderPartitionedFromStateAndPeers,
        Fault::MachineLost,
        Fault::JobsCancelled,
    ];
}

/// Targets and duration of a fault that is injected.
struct Injection {
    simulation: Rc<Simulation>,
    leader: usize,
    /// Workers that run at least one task.
    busy_workers: Vec<Rc<Worker>>,
    /// Every second busy worker, beginning with one of the first three.
    affected: Vec<Rc<Worker>>,
    duration: Duration,
    /// Random number that selects a variant of the fault.
    variant: usize,
}

impl Injection {
    fn new(simulation: Rc<Simulation>, duration: Duration, variant: usize) -> Self {
        let busy_workers = simulation.busy_workers();
        let affected = busy_workers
            .iter()
            .skip(variant % 3)
            .step_by(2)
            .cloned()
            .collect();
        Injection {
            leader: simulation.controller_with_most_machines(),
            busy_workers,
            affected,
            duration,
            variant,
            simulation,
        }
    }

    async fn inject(&self, fault: Fault) {
        match fault {
            Fault::LeaderRestart => self.restart_leader().await,
            Fault::AllControllersRestart => self.restart_all_controllers().await,
            Fault::LeaderFrozen => self.freeze_leader().await,
            Fault::LeaderRefusedByState => {
                self.modify_state_faults(|faults| {
                    _ = faults.refused_controllers.insert(self.leader)
                });
                sleep(self.duration).await;
                self.modify_state_faults(|faults| {
                    _ = faults.refused_controllers.remove(&self.leader)
                });
            }
            Fault::StateOutage => self.interrupt_state_service().await,
            Fault::LateCommits => {
                self.modify_state_faults(|faults| faults.late_commit_fraction = 0.2);
                sleep(self.duration).await;
                self.modify_state_faults(|faults| faults.late_commit_fraction = 0.0);
            }
            Fault::UnansweredCommits => {
                self.modify_state_faults(|faults| faults.unanswered_commit_fraction = 0.3);
                sleep(self.duration).await;
                self.modify_state_faults(|faults| faults.unanswered_commit_fraction = 0.0);
            }
            Fault::SlowState => {
                self.modify_state_faults(|faults| faults.response_delay = secs(1.2));
                sleep(self.duration).await;
                self.modify_state_faults(|faults| faults.response_delay = Duration::ZERO);
            }
            Fault::MessagesToWorkersBlocked => self.block_messages_to_workers().await,
            Fault::MessagesFromWorkersBlocked => self.block_messages_from_workers().await,
            Fault::HangingMachines => self.affected.iter().for_each(|w| w.hang(self.duration)),
            Fault::DelayedCommands => self.delay_commands().await,
            Fault::LateReportCopies => {
                sleep(self.duration).await;
                self.simulation.send_recorded_copies();
            }
            Fault::LeaderPartitionedFromWorkers => self.partition_leader_from_workers().await,
            Fault::ZonePartitioned => self.partition_zone().await,
            Fault::LeaderPartitionedFromStateAndPeers => {
                self.partition_leader_from_state_and_peers().await
            }
            Fault::MachineLost => self.lose_machine(),
            Fault::JobsCancelled => self.cancel_running_jobs(),
        }
    }
}

// Faults of controllers.
impl Injection {
    async fn restart_leader(&self) {
        self.simulation.kill_controller(self.leader);
        let downtime = self.duration.mul_f64([0.0, 0.2, 1.0][self.variant % 3]);
        sleep(downtime).await;
        self.simulation.restore_controllers();
    }

    async fn restart_all_controllers(&self) {
        for i in 0..self.simulation.shape.controllers {
            self.simulation.kill_controller(i);
        }
        sleep(self.duration).await;
        self.simulation.restore_controllers();
    }

    async fn freeze_leader(&self) {
        self.simulation.set_paused(self.leader, true);
        sleep(self.duration).await;
        self.simulation.set_paused(self.leader, false);
    }
}

// Faults of the state service.
impl Injection {
    fn modify_state_faults(&self, change: impl Fn(&mut StateFaultOptions)) {
        change(&mut self.simulation.state.fault_options.borrow_mut());
    }

    async fn interrupt_state_service(&self) {
        self.simulation.state.fault.set(StateFault::Outage);
        sleep(self.duration.mul_f64([1.0, 3.0][self.variant % 2])).await;
        self.simulation.state.fault.set(StateFault::None);
    }
}

// Faults of workers and their machines.
impl Injection {
    async fn block_messages_to_workers(&self) {
        self.affected
            .iter()
            .for_each(|worker| worker.inbound_blocked.set(true));
        sleep(self.duration).await;
        self.affected
            .iter()
            .for_each(|worker| worker.inbound_blocked.set(false));
    }

    async fn block_messages_from_workers(&self) {
        self.affected
            .iter()
            .for_each(|worker| worker.heartbeats_blocked.set(true));
        sleep(self.duration).await;
        self.affected
            .iter()
            .for_each(|worker| worker.heartbeats_blocked.set(false));
    }

    async fn delay_commands(&self) {
        let delay = |by: Duration| {
            self.busy_workers
                .iter()
                .for_each(|w| w.command_delay.set(by))
        };
        delay(self.duration.div_f64(2.0));
        sleep(self.duration).await;
        delay(Duration::ZERO);
    }

    fn lose_machine(&self) {
        if let Some(worker) = self.affected.first() {
            self.simulation.lose_machine(worker.name());
        }
    }
}

// Network partitions.
impl Injection {
    async fn partition_leader_from_workers(&self) {
        self.simulation.set_worker_partition(self.leader, true);
        sleep(self.duration).await;
        self.simulation.set_worker_partition(self.leader, false);
    }

    async fn partition_zone(&self) {
        let zone = self.simulation.shape.zones[self.variant % 2];
        self.simulation.set_zone_partition(zone, true);
        sleep(self.duration).await;
        self.simulation.set_zone_partition(zone, false);
    }

    async fn partition_leader_from_state_and_peers(&self) {
        self.simulation.set_peer_partition(self.leader, true);
        self.modify_state_faults(|faults| _ = faults.refused_controllers.insert(self.leader));
        sleep(self.duration).await;
        self.simulation.set_peer_partition(self.leader, false);
        self.modify_state_faults(|faults| _ = faults.refused_controllers.remove(&self.leader));
    }
}

// Cancellations by users.
impl Injection {
    /// Cancels up to five running jobs concurrently, while two of the affected
    /// machines hang.
    fn cancel_running_jobs(&self) {
        for id in self.simulation.running_jobs().into_iter().take(5) {
            let simulation = self.simulation.clone();
            spawn_local(async move { cancel(&simulation, None, &id).await });
        }
        let hanging = self.affected.iter().take(2);
        hanging.for_each(|worker| worker.hang(self.duration.div_f64(2.0)));
    }
}

/// A job that a user submits, and the requests that the user sends for it.
struct Submission {
    job: Value,
    /// Time from the submission to the cancellation, in seconds; `None` for a job
    /// that the user does not cancel.
    cancel_after_s: Option<f64>,
    /// Makes the user query all controllers as soon as the job is accepted, and again after a
    /// cancellation.
    queries_immediately: bool,
}

impl Submission {
    fn random(rng: &mut SmallRng, number: u32) -> Self {
        let kind = *["batch", "gang", "daemon", "batch"]
            .choose(rng)
            .expect("a non-empty list");
        let run_s = rng.random_range(1.0..15.0);
        let task_count = rng.random_range(1..4);
        let run_times_s: Vec<f64> = (0..task_count)
            .map(|_| run_s * rng.random_range(0.3..1.7))
            .collect();
        let mut job = match kind {
            "batch" => job_with_run_times(number, kind, &run_times_s),
            _ => job(number, kind, task_count, run_s),
        };
        job["crew"] = json!(*["t", "u"].choose(rng).expect("a non-empty list"));
        let zones = [json!(null), json!(null), json!("a"), json!("b")];
        job["yard"] = zones[rng.random_range(0..4)].clone();
        job["same_place"] = json!(rng.random_bool(0.2));
        job["urgency"] = json!(
            *["low", "normal", "urgent"]
                .choose(rng)
                .expect("a non-empty list")
        );
        let cancels = kind == "daemon" || rng.random_bool(0.3);
        let drawn_cancel_s = cancels.then(|| rng.random_range(0.0..25.0));
        // A cancellation that was drawn for the first 8 s is moved to 2 s after the job's run
        // time. Many cancellations therefore coincide with the completion of the job.
        let cancel_after_s = drawn_cancel_s.map(|s| if s < 8.0 { run_s + 2.0 } else { s });
        Submission {
            job,
            cancel_after_s,
            queries_immediately: rng.random_bool(0.3),
        }
    }

    fn id(&self) -> String {
        self.job["name_id"]
            .as_str()
            .expect("name_id is a string")
            .to_string()
    }

    async fn send_requests(self, simulation: Rc<Simulation>) {
        let id = simulation.submit(self.job).await;
        if self.queries_immediately {
            simulation.query_concurrently(&id).await;
        }
        if let Some(after) = self.cancel_after_s {
            sleep(secs(after)).await;
            cancel(&simulation, None, &id).await;
            simulation.query_concurrently(&id).await;
        }
    }
}

/// Starts both faults, the second up to four seconds after the first.
fn start_both(simulation: &Rc<Simulation>, rng: &mut SmallRng, faults: [Fault; 2]) {
    for (fault, after) in faults.into_iter().zip([0.0, rng.random_range(0.0..4.0)]) {
        let duration = secs(rng.random_range(1.0..14.0));
        let (simulation, variant) = (simulation.clone(), rng.random_range(0..6));
        spawn_local(async move {
            sleep(secs(after)).await;
            let injection = Injection::new(simulation, duration, variant);
            injection.inject(fault).await;
        });
    }
}

/// Injects the two faults twice while users submit, cancel and query jobs, with
/// teams at their limits.
async fn run_fault_pair(simulation: Rc<Simulation>, seed: u64, faults: [Fault; 2]) {
    let mut rng = SmallRng::seed_from_u64(seed);
    simulation.copied_heartbeat_fraction.set(0.05);
    simulation.command_copies.fraction.set(0.2);
    let mut ids = Vec::new();
    let mut users: Vec<JoinHandle<()>> = Vec::new();
    for step in 0..110u32 {
        if step == 20 || step == 60 {
            start_both(&simulation, &mut rng, faults);
        }
        if step < 90 && step % 3 == 0 {
            let submission = Submission::random(&mut rng, step + 1);
            ids.push(submission.id());
            users.push(spawn_local(submission.send_requests(simulation.clone())));
        }
        sleep(secs(1.0)).await;
    }
    for user in users {
        user.await.expect("the task of a user");
    }
    for id in ids.iter().filter(|id| simulation.is_service(id)) {
        simulation.clear_faults();
        cancel(&simulation, None, id).await;
    }
    heal_and_check(&simulation, &format!("{faults:?}, {seed}"), &ids).await;
}

/// Runs the pairs of faults whose number modulo `shard_count` is `shard`. The
/// environment variable `MEETINGS_FROM` replaces the first seed.
fn run_fault_pairs(shard: usize, shard_count: usize) {
    let first_seed = std::env::var("MEETINGS_FROM")
        .ok()
        .and_then(|s| s.parse().ok());
    let first_seed: u64 = first_seed.unwrap_or(2000);
    let mut number = 0;
    for (n, first) in Fault::ALL.into_iter().enumerate() {
        for (m, second) in Fault::ALL.into_iter().enumerate().skip(n) {
            number += 1;
            if number % shard_count == shard {
                let seed = first_seed + 20 * n as u64 + m as u64;
                let scenario = Scenario::new(seed)
                    .cancel_s([30.0, 15.0][seed as usize % 2])
                    .boot_s([4.0, 1.0][seed as usize / 2 % 2]);
                scenario.run(|simulation| run_fault_pair(simulation, seed, [first, second]));
            }
        }
    }
}

#[test]
fn fault_pairs_of_first_shard_break_no_rule() {
    run_fault_pairs(0, 19);
}

#[test]
fn fault_pairs_of_second_shard_break_no_rule() {
    run_fault_pairs(5, 19);
}
