//! Tests of a thousand moves while machines are added and lost, jobs start and end, and
//! controllers, the state service and messages fail.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::setup::*;
use crate::stand_ins::{Simulation, StateFault, job, run_in_simulated_time};

/// A fault that the test injects while a move is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    ControllerStops,
    ControllerRestarts,
    ControllerCutOff,
    ControllerLosesPeers,
    ControllerFreezes,
    StateServiceRefusesController,
    StateServiceDown,
    CommitsLate,
    CommitsUnanswered,
    MachineLost,
    TwoControllersStop,
}

const FAULTS: [Fault; 11] = [
    Fault::ControllerStops,
    Fault::ControllerRestarts,
    Fault::ControllerCutOff,
    Fault::ControllerLosesPeers,
    Fault::ControllerFreezes,
    Fault::StateServiceRefusesController,
    Fault::StateServiceDown,
    Fault::CommitsLate,
    Fault::CommitsUnanswered,
    Fault::MachineLost,
    Fault::TwoControllersStop,
];

/// Number of moves between two faults.
const MOVES_PER_FAULT: usize = 8;

/// Number of unfinished jobs that the test maintains.
const OPEN_JOBS: usize = 24;

/// The state of one run of the test.
struct ChurnTest {
    simulation: Rc<Simulation>,
    checker: Rc<Checker>,
    rng: RefCell<SmallRng>,
    /// Requests of accepted moves, which are repeated at random.
    accepted_moves: RefCell<Vec<Value>>,
    request_count: RefCell<u32>,
    submitted_count: RefCell<u32>,
    open_jobs: RefCell<VecDeque<String>>,
    services: RefCell<Vec<String>>,
    /// Number of times that each fault occurred while a move was pending.
    pending_during: RefCell<BTreeMap<Fault, usize>>,
}

impl ChurnTest {
    /// Returns a random index below `n`.
    fn random_index(&self, n: usize) -> usize {
        self.rng.borrow_mut().random_range(0..n)
    }

    /// Requests a random move that the share record allows, at a random controller. Sometimes
    /// repeats a random earlier request at another controller.
    async fn request_random_move(&self) {
        let team = TEAMS[self.random_index(TEAMS.len())];
        let Some(share) = self.checker.share(team) else {
            return;
        };
        let count = self.simulation.shape.controllers;
        let has_capacity =
            |controller: &usize| share.target_for(&format!("n{controller}")).cpus.units() >= 1.0;
        let sources: Vec<usize> = (0..count).filter(has_capacity).collect();
        let Some(from) = sources.choose(&mut *self.rng.borrow_mut()).copied() else {
            return;
        };
        let to = (from + 1 + self.random_index(count - 1)) % count;
        let max_cpus = share.target_for(&format!("n{from}")).cpus.units().min(12.0);
        let cpus = 1 + self.random_index(max_cpus as usize);
        let number = *self.request_count.borrow() + 1;
        *self.request_count.borrow_mut() = number;
        let body = move_request(&format!("m-{number}"), team, from, to, cpus as f64);
        let (status, _) = request_move(&self.simulation, self.random_index(count), &body).await;
        if status == 200 {
            self.accepted_moves.borrow_mut().push(body);
        }
        let repeat = self.random_index(4) == 0 && !self.accepted_moves.borrow().is_empty();
        if repeat {
            let accepted_count = self.accepted_moves.borrow().len();
            let body = self.accepted_moves.borrow()[self.random_index(accepted_count)].clone();
            request_move(&self.simulation, self.random_index(count), &body).await;
        }
    }

    /// Submits jobs of all kinds until [`OPEN_JOBS`] are unfinished, and cancels some.
    async fn submit_and_cancel_jobs(&self) {
        while self.open_jobs.borrow().len() < OPEN_JOBS {
            let n = *self.submitted_count.borrow() + 1;
            *self.submitted_count.borrow_mut() = n;
            let kind = ["batch", "gang", "daemon", "batch"][self.random_index(4)];
            let run_s = 4.0 + self.random_index(20) as f64;
            let mut job_request = job(n, kind, 1 + self.random_index(4) as u32, run_s);
            job_request["crew"] = json!(TEAMS[self.random_index(TEAMS.len())]);
            let id = self.simulation.submit(job_request).await;
            if kind == "daemon" {
                self.services.borrow_mut().push(id.clone());
            }
            self.open_jobs.borrow_mut().push_back(id);
        }
        let oldest = self.open_jobs.borrow_mut().pop_front();
        if let Some(id) = oldest
            && (self.simulation.is_service(&id) || self.random_index(3) == 0)
        {
            self.cancel(&id).await;
        }
    }

    /// Cancels a job at the controllers in turn until one of them confirms.
    async fn cancel(&self, id: &str) {
        for attempt in 0..30 {
            if self
                .simulation
                .cancel(attempt % self.simulation.shape.controllers, id)
                .await
                .is_some()
            {
                return;
            }
            sleep(secs(0.5)).await;
        }
        panic!("{id} was not cancelled");
    }

    /// Injects a fault while a move is pending, and removes the fault afterwards.
    async fn cause_fault(&self, fault: Fault) {
        for _ in 0..20 {
            if self.checker.is_moving() {
                break;
            }
            self.request_random_move().await;
        }
        if self.checker.is_moving() {
            *self.pending_during.borrow_mut().entry(fault).or_default() += 1;
        }
        let simulation = &self.simulation;
        let controller = self.random_index(simulation.shape.controllers);
        let duration = secs(2.0 + self.random_index(12) as f64);
        match fault {
            Fault::ControllerStops => {
                simulation.kill_controller(controller);
                self.request_moves_for(duration).await;
            }
            Fault::ControllerRestarts => {
                simulation.kill_controller(controller);
                sleep(secs(0.2)).await;
                simulation.start(controller);
            }
            Fault::TwoControllersStop => {
                simulation.kill_controller(controller);
                simulation.kill_controller((controller + 1) % simulation.shape.controllers);
                self.request_moves_for(duration).await;
            }
            Fault::ControllerCutOff => {
                simulation.set_controller_partition(controller, true);
                self.request_moves_for(duration).await;
                simulation.set_controller_partition(controller, false);
            }
            Fault::ControllerLosesPeers => {
                simulation.set_peer_partition(controller, true);
                self.request_moves_for(duration).await;
                simulation.set_peer_partition(controller, false);
            }
            Fault::ControllerFreezes => {
                simulation.set_paused(controller, true);
                self.request_moves_for(duration).await;
                simulation.set_paused(controller, false);
            }
            Fault::StateServiceRefusesController => {
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .refused_controllers
                    .insert(controller);
                self.request_moves_for(duration).await;
            }
            Fault::StateServiceDown => {
                simulation.state.fault.set(StateFault::Outage);
                sleep(duration).await;
            }
            Fault::CommitsLate => {
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .late_commit_fraction = 0.3;
                self.request_moves_for(duration).await;
            }
            Fault::CommitsUnanswered => {
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .unanswered_commit_fraction = 0.3;
                self.request_moves_for(duration).await;
            }
            Fault::MachineLost => {
                let busy = simulation.busy_workers();
                if let Some(machine) = busy.choose(&mut *self.rng.borrow_mut()) {
                    simulation.lose_machine(machine.name());
                }
            }
        }
        simulation.clear_faults();
    }

    /// Requests moves during a fault, for this time.
    async fn request_moves_for(&self, duration: std::time::Duration) {
        let start = Instant::now();
        while start.elapsed() < duration {
            self.request_random_move().await;
            sleep(secs(0.5)).await;
        }
    }

    /// Fills the limits of both teams with services. This checks that each team can use its whole
    /// limit, however it is divided into shares by then.
    async fn fill_team_limits(&self) {
        let first_number = *self.submitted_count.borrow() + 1;
        // Services of four CPUs each, which together fill the limits.
        let mut ids = start_services(&self.simulation, first_number, 12, "t").await;
        ids.extend(start_services(&self.simulation, first_number + 12, 10, "u").await);
        assert!(
            ids.iter()
                .all(|id| self.simulation.running_task_count(id) == 2)
        );
    }

    /// Ends all faults, cancels the services, and waits until no move is pending and every other
    /// job is done.
    async fn wait_until_settled(&self) {
        self.simulation.clear_faults();
        for id in self.services.take() {
            if !self.simulation.is_cancelled(&id) {
                self.cancel(&id).await;
            }
        }
        let start = Instant::now();
        while self.checker.is_moving() {
            let pending = self.checker.pending();
            assert!(start.elapsed() < secs(150.0), "still pending: {pending}");
            sleep(secs(0.5)).await;
        }
        for id in self.open_jobs.take() {
            if !self.simulation.is_cancelled(&id) {
                self.simulation.wait_for_stage(&id, "done", 150).await;
            }
        }
    }
}

/// Runs jobs, moves and faults until this number of moves is accepted, and checks the end
/// state.
fn run_churn(seed: u64, controllers: usize, moves: usize) {
    run_in_simulated_time(|| async move {
        let simulation = Simulation::with_options(seed, shape(controllers)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        let test = ChurnTest {
            simulation: simulation.clone(),
            checker: checker.clone(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            accepted_moves: RefCell::default(),
            request_count: RefCell::default(),
            submitted_count: RefCell::default(),
            open_jobs: RefCell::default(),
            services: RefCell::default(),
            pending_during: RefCell::default(),
        };
        let mut round = 0;
        while checker.counts().moves < moves {
            test.submit_and_cancel_jobs().await;
            for _ in 0..MOVES_PER_FAULT {
                test.request_random_move().await;
                sleep(secs(0.1)).await;
            }
            test.cause_fault(FAULTS[round % FAULTS.len()]).await;
            checker.assert_no_violations(&format!("seed {seed}, round {round}"));
            round += 1;
            assert!(round < moves, "too few moves are accepted");
        }
        test.wait_until_settled().await;
        test.fill_team_limits().await;
        let durations = checker.durations();
        let percentile = |part: usize| durations[durations.len() * part / 100];
        println!(
            "moves took {:?}, 9 of 10 up to {:?}, 99 of 100 up to {:?}",
            percentile(50),
            percentile(90),
            percentile(99)
        );
        let pending_during = test.pending_during.borrow();
        println!(
            "{controllers} controllers: {:?}, faults met {pending_during:?}",
            checker.counts()
        );
        for fault in FAULTS {
            assert!(
                pending_during.contains_key(&fault),
                "no move was pending during {fault:?}"
            );
        }
        let counts = checker.counts();
        for count in [
            counts.superseded,
            counts.jobs_reassigned,
            counts.machines_removed,
        ] {
            assert!(count > 0, "{counts:?}");
        }
        checker.assert_no_violations(&format!("seed {seed}"));
        assert_eq!(
            *simulation.state.rejected_commits.borrow(),
            Vec::<String>::new()
        );
        simulation.assert_no_violations();
    });
}

#[test]
fn a_thousand_moves_under_churn_with_five_controllers() {
    run_churn(31, 5, 1000);
}

#[test]
fn a_thousand_moves_under_churn_with_three_controllers() {
    run_churn(32, 3, 1000);
}
