//! A thousand moves while machines come and go, jobs start and end, and controllers, the
//! state service and messages fail.

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
use crate::stand_ins::{Trouble, World, in_world, job};

/// What goes wrong while something is left to move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Ends,
    ReturnsAtOnce,
    IsCutOff,
    LosesPeers,
    StandsStill,
    IsRefusedAlone,
    StateServiceOut,
    CommitsLate,
    CommitsUnanswered,
    MachineDies,
    TwoEnd,
}

const FAULTS: [Fault; 11] = [
    Fault::Ends,
    Fault::ReturnsAtOnce,
    Fault::IsCutOff,
    Fault::LosesPeers,
    Fault::StandsStill,
    Fault::IsRefusedAlone,
    Fault::StateServiceOut,
    Fault::CommitsLate,
    Fault::CommitsUnanswered,
    Fault::MachineDies,
    Fault::TwoEnd,
];

/// Moves between two faults.
const MOVES_PER_FAULT: usize = 8;

/// How many jobs are open at once.
const OPEN_JOBS: usize = 24;

struct Churn {
    w: Rc<World>,
    checker: Rc<Checker>,
    rng: RefCell<SmallRng>,
    /// Moves that were accepted, to be repeated.
    accepted: RefCell<Vec<Value>>,
    asked: RefCell<u32>,
    submitted: RefCell<u32>,
    open: RefCell<VecDeque<String>>,
    services: RefCell<Vec<String>>,
    /// How often each fault met something that was left to move.
    met: RefCell<BTreeMap<Fault, usize>>,
}

impl Churn {
    fn pick(&self, n: usize) -> usize {
        self.rng.borrow_mut().random_range(0..n)
    }

    /// A move that the split admits, asked for at some controller, and perhaps repeated at
    /// another, as it was or long after.
    async fn ask(&self) {
        let team = TEAMS[self.pick(TEAMS.len())];
        let Some(share) = self.checker.share(team) else {
            return;
        };
        let count = self.w.shape.controllers;
        let has = |i: &usize| share.target_for(&format!("n{i}")).cpus.units() >= 1.0;
        let givers: Vec<usize> = (0..count).filter(has).collect();
        let Some(from) = givers.choose(&mut *self.rng.borrow_mut()).copied() else {
            return;
        };
        let to = (from + 1 + self.pick(count - 1)) % count;
        let most = share.target_for(&format!("n{from}")).cpus.units().min(12.0);
        let cpus = 1 + self.pick(most as usize);
        let number = *self.asked.borrow() + 1;
        *self.asked.borrow_mut() = number;
        let body = move_body(&format!("m-{number}"), team, from, to, cpus as f64);
        let (status, _) = ask_move(&self.w, self.pick(count), &body).await;
        if status == 200 {
            self.accepted.borrow_mut().push(body);
        }
        let repeats = self.pick(4) == 0 && !self.accepted.borrow().is_empty();
        if repeats {
            let known = self.accepted.borrow().len();
            let body = self.accepted.borrow()[self.pick(known)].clone();
            ask_move(&self.w, self.pick(count), &body).await;
        }
    }

    /// Jobs of all kinds come; some are cancelled.
    async fn keep_jobs(&self) {
        while self.open.borrow().len() < OPEN_JOBS {
            let n = *self.submitted.borrow() + 1;
            *self.submitted.borrow_mut() = n;
            let kind = ["batch", "gang", "daemon", "batch"][self.pick(4)];
            let run_s = 4.0 + self.pick(20) as f64;
            let mut one = job(n, kind, 1 + self.pick(4) as u32, run_s);
            one["crew"] = json!(TEAMS[self.pick(TEAMS.len())]);
            let id = self.w.submit(one).await;
            if kind == "daemon" {
                self.services.borrow_mut().push(id.clone());
            }
            self.open.borrow_mut().push_back(id);
        }
        let oldest = self.open.borrow_mut().pop_front();
        if let Some(id) = oldest
            && (self.w.is_service(&id) || self.pick(3) == 0)
        {
            self.withdraw(&id).await;
        }
    }

    async fn withdraw(&self, id: &str) {
        for k in 0..30 {
            if self
                .w
                .withdraw(k % self.w.shape.controllers, id)
                .await
                .is_some()
            {
                return;
            }
            sleep(secs(0.5)).await;
        }
        panic!("{id} was not cancelled");
    }

    /// Brings a fault about while something is left to move, and mends it.
    async fn strike(&self, fault: Fault) {
        for _ in 0..20 {
            if self.checker.is_moving() {
                break;
            }
            self.ask().await;
        }
        if self.checker.is_moving() {
            *self.met.borrow_mut().entry(fault).or_default() += 1;
        }
        let w = &self.w;
        let i = self.pick(w.shape.controllers);
        let span = secs(2.0 + self.pick(12) as f64);
        match fault {
            Fault::Ends => {
                w.kill(i);
                self.ask_during(span).await;
            }
            Fault::ReturnsAtOnce => {
                w.kill(i);
                sleep(secs(0.2)).await;
                w.start(i);
            }
            Fault::TwoEnd => {
                w.kill(i);
                w.kill((i + 1) % w.shape.controllers);
                self.ask_during(span).await;
            }
            Fault::IsCutOff => {
                w.cut_controller(i, true);
                self.ask_during(span).await;
                w.cut_controller(i, false);
            }
            Fault::LosesPeers => {
                w.cut_peers(i, true);
                self.ask_during(span).await;
                w.cut_peers(i, false);
            }
            Fault::StandsStill => {
                w.freeze(i, true);
                self.ask_during(span).await;
                w.freeze(i, false);
            }
            Fault::IsRefusedAlone => {
                w.state.troubles.borrow_mut().refused.insert(i);
                self.ask_during(span).await;
            }
            Fault::StateServiceOut => {
                w.state.trouble.set(Trouble::Down);
                sleep(span).await;
            }
            Fault::CommitsLate => {
                w.state.troubles.borrow_mut().late = 0.3;
                self.ask_during(span).await;
            }
            Fault::CommitsUnanswered => {
                w.state.troubles.borrow_mut().unanswered = 0.3;
                self.ask_during(span).await;
            }
            Fault::MachineDies => {
                let busy = w.busy();
                if let Some(machine) = busy.choose(&mut *self.rng.borrow_mut()) {
                    w.lose(machine.name());
                }
            }
        }
        w.heal();
    }

    /// Moves are asked for in the middle of a fault, too.
    async fn ask_during(&self, span: std::time::Duration) {
        let began = Instant::now();
        while began.elapsed() < span {
            self.ask().await;
            sleep(secs(0.5)).await;
        }
    }

    /// However the room is split by now, each team has all of it.
    async fn fill_the_limits(&self) {
        let first = *self.submitted.borrow() + 1;
        // Services of four CPUs each: together the limits.
        let mut ids = services(&self.w, first, 12, "t").await;
        ids.extend(services(&self.w, first + 12, 10, "u").await);
        assert!(ids.iter().all(|id| self.w.running(id) == 2));
    }

    /// All is over: what is left to move moves, and every job ends or runs.
    async fn settle(&self) {
        self.w.heal();
        for id in self.services.take() {
            if !self.w.is_cancelled(&id) {
                self.withdraw(&id).await;
            }
        }
        let began = Instant::now();
        while self.checker.is_moving() {
            let pending = self.checker.pending();
            assert!(began.elapsed() < secs(150.0), "still to move: {pending}");
            sleep(secs(0.5)).await;
        }
        for id in self.open.take() {
            if !self.w.is_cancelled(&id) {
                self.w.until(&id, "done", 150).await;
            }
        }
    }
}

/// So many moves at so many controllers.
fn churn(seed: u64, controllers: usize, moves: usize) {
    in_world(|| async move {
        let w = World::of(seed, shape(controllers)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        let churn = Churn {
            w: w.clone(),
            checker: checker.clone(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            accepted: RefCell::default(),
            asked: RefCell::default(),
            submitted: RefCell::default(),
            open: RefCell::default(),
            services: RefCell::default(),
            met: RefCell::default(),
        };
        let mut round = 0;
        while checker.counts().moves < moves {
            churn.keep_jobs().await;
            for _ in 0..MOVES_PER_FAULT {
                churn.ask().await;
                sleep(secs(0.1)).await;
            }
            churn.strike(FAULTS[round % FAULTS.len()]).await;
            checker.assert_kept(&format!("seed {seed}, round {round}"));
            round += 1;
            assert!(round < moves, "moves are no longer accepted");
        }
        churn.settle().await;
        churn.fill_the_limits().await;
        let spans = checker.spans();
        let at = |part: usize| spans[spans.len() * part / 100];
        println!(
            "moves took {:?}, 9 of 10 up to {:?}, 99 of 100 up to {:?}",
            at(50),
            at(90),
            at(99)
        );
        let met = churn.met.borrow();
        println!(
            "{controllers} controllers: {:?}, faults met {met:?}",
            checker.counts()
        );
        for fault in FAULTS {
            assert!(met.contains_key(&fault), "{fault:?} met no unfinished move");
        }
        let counts = checker.counts();
        for count in [
            counts.superseded,
            counts.jobs_taken_along,
            counts.machines_dropped,
        ] {
            assert!(count > 0, "{counts:?}");
        }
        checker.assert_kept(&format!("seed {seed}"));
        assert_eq!(*w.state.beyond.borrow(), Vec::<String>::new());
        w.assert_kept();
    });
}

#[test]
fn a_thousand_moves_under_churn_at_five_controllers() {
    churn(31, 5, 1000);
}

#[test]
fn a_thousand_moves_under_churn_at_three_controllers() {
    churn(32, 3, 1000);
}
