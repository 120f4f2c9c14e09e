//! Any two faults meet while users submit, cancel and ask.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::scenario::{cancel, ending_at, secs, settle};
use crate::stand_ins::{Scenario, StateTroubles, Trouble, Worker, World, job};

/// What can go wrong. The leader is the controller that holds most machines.
#[derive(Debug, Clone, Copy)]
enum Fault {
    LeaderEnds,
    AllControllersEnd,
    LeaderStandsStill,
    LeaderRefusedByState,
    StateOutage,
    LateCommits,
    UnansweredCommits,
    SlowState,
    DeafWorkers,
    MuteWorkers,
    HangingMachines,
    DelayedOrders,
    LateReports,
    WorkersCut,
    ZoneCut,
    LeaderCutFromStateAndPeers,
    MachineLost,
    JobsCancelled,
}

impl Fault {
    /// The order is part of the seeds.
    const ALL: [Fault; 18] = [
        Fault::LeaderEnds,
        Fault::AllControllersEnd,
        Fault::LeaderStandsStill,
        Fault::LeaderRefusedByState,
        Fault::StateOutage,
        Fault::LateCommits,
        Fault::UnansweredCommits,
        Fault::SlowState,
        Fault::DeafWorkers,
        Fault::MuteWorkers,
        Fault::HangingMachines,
        Fault::DelayedOrders,
        Fault::LateReports,
        Fault::WorkersCut,
        Fault::ZoneCut,
        Fault::LeaderCutFromStateAndPeers,
        Fault::MachineLost,
        Fault::JobsCancelled,
    ];
}

/// One fault from its beginning to its end, and whom it hits.
struct Occurrence {
    world: Rc<World>,
    leader: usize,
    /// Workers that run something.
    busy: Vec<Rc<Worker>>,
    /// Every other one of them.
    some: Vec<Rc<Worker>>,
    span: Duration,
    /// A drawn number that chooses between variants.
    draw: usize,
}

impl Occurrence {
    fn new(world: Rc<World>, span: Duration, draw: usize) -> Self {
        let busy = world.busy();
        let some = busy.iter().skip(draw % 3).step_by(2).cloned().collect();
        Occurrence {
            leader: world.busiest(),
            busy,
            some,
            span,
            draw,
            world,
        }
    }

    async fn bring_about(&self, fault: Fault) {
        match fault {
            Fault::LeaderEnds => self.end_leader().await,
            Fault::AllControllersEnd => self.end_all_controllers().await,
            Fault::LeaderStandsStill => self.freeze_leader().await,
            Fault::LeaderRefusedByState => {
                self.alter_state(|t| _ = t.refused.insert(self.leader));
                sleep(self.span).await;
                self.alter_state(|t| _ = t.refused.remove(&self.leader));
            }
            Fault::StateOutage => self.state_outage().await,
            Fault::LateCommits => {
                self.alter_state(|t| t.late = 0.2);
                sleep(self.span).await;
                self.alter_state(|t| t.late = 0.0);
            }
            Fault::UnansweredCommits => {
                self.alter_state(|t| t.unanswered = 0.3);
                sleep(self.span).await;
                self.alter_state(|t| t.unanswered = 0.0);
            }
            Fault::SlowState => {
                self.alter_state(|t| t.slow = secs(1.2));
                sleep(self.span).await;
                self.alter_state(|t| t.slow = Duration::ZERO);
            }
            Fault::DeafWorkers => self.deaf_workers().await,
            Fault::MuteWorkers => self.mute_workers().await,
            Fault::HangingMachines => self.some.iter().for_each(|w| w.hang(self.span)),
            Fault::DelayedOrders => self.delay_orders().await,
            Fault::LateReports => {
                sleep(self.span).await;
                self.world.deliver_copies();
            }
            Fault::WorkersCut => self.cut_workers().await,
            Fault::ZoneCut => self.cut_zone().await,
            Fault::LeaderCutFromStateAndPeers => self.cut_leader().await,
            Fault::MachineLost => self.lose_machine(),
            Fault::JobsCancelled => self.cancel_running_jobs(),
        }
    }
}

// Controllers.
impl Occurrence {
    async fn end_leader(&self) {
        self.world.kill(self.leader);
        let away = self.span.mul_f64([0.0, 0.2, 1.0][self.draw % 3]);
        sleep(away).await;
        self.world.restore_controllers();
    }

    async fn end_all_controllers(&self) {
        for i in 0..self.world.shape.controllers {
            self.world.kill(i);
        }
        sleep(self.span).await;
        self.world.restore_controllers();
    }

    async fn freeze_leader(&self) {
        self.world.freeze(self.leader, true);
        sleep(self.span).await;
        self.world.freeze(self.leader, false);
    }
}

// The state service.
impl Occurrence {
    fn alter_state(&self, change: impl Fn(&mut StateTroubles)) {
        change(&mut self.world.state.troubles.borrow_mut());
    }

    async fn state_outage(&self) {
        self.world.state.trouble.set(Trouble::Down);
        sleep(self.span.mul_f64([1.0, 3.0][self.draw % 2])).await;
        self.world.state.trouble.set(Trouble::None);
    }
}

// Workers and their machines.
impl Occurrence {
    async fn deaf_workers(&self) {
        self.some.iter().for_each(|worker| worker.deaf.set(true));
        sleep(self.span).await;
        self.some.iter().for_each(|worker| worker.deaf.set(false));
    }

    async fn mute_workers(&self) {
        self.some.iter().for_each(|worker| worker.mute.set(true));
        sleep(self.span).await;
        self.some.iter().for_each(|worker| worker.mute.set(false));
    }

    async fn delay_orders(&self) {
        let delay = |by: Duration| self.busy.iter().for_each(|w| w.orders_held.set(by));
        delay(self.span.div_f64(2.0));
        sleep(self.span).await;
        delay(Duration::ZERO);
    }

    fn lose_machine(&self) {
        if let Some(worker) = self.some.first() {
            self.world.lose(worker.name());
        }
    }
}

// The network.
impl Occurrence {
    async fn cut_workers(&self) {
        self.world.cut_workers(self.leader, true);
        sleep(self.span).await;
        self.world.cut_workers(self.leader, false);
    }

    async fn cut_zone(&self) {
        let zone = self.world.shape.zones[self.draw % 2];
        self.world.cut_zone(zone, true);
        sleep(self.span).await;
        self.world.cut_zone(zone, false);
    }

    async fn cut_leader(&self) {
        self.world.cut_peers(self.leader, true);
        self.alter_state(|t| _ = t.refused.insert(self.leader));
        sleep(self.span).await;
        self.world.cut_peers(self.leader, false);
        self.alter_state(|t| _ = t.refused.remove(&self.leader));
    }
}

// Users.
impl Occurrence {
    /// Up to five that run, within a fifth of a second, some machines hang.
    fn cancel_running_jobs(&self) {
        for id in self.world.running_jobs().into_iter().take(5) {
            let world = self.world.clone();
            spawn_local(async move { cancel(&world, None, &id).await });
        }
        let two = self.some.iter().take(2);
        two.for_each(|worker| worker.hang(self.span.div_f64(2.0)));
    }
}

/// One of a user's jobs, and what the user does with it.
struct Submission {
    job: Value,
    /// When the user cancels it, after its submission.
    cancel_after_s: Option<f64>,
    /// Whether the user asks all controllers as soon as it is accepted.
    looks_closely: bool,
}

impl Submission {
    fn draw(rng: &mut SmallRng, number: u32) -> Self {
        let kind = *["batch", "gang", "daemon", "batch"]
            .choose(rng)
            .expect("one");
        let run_s = rng.random_range(1.0..15.0);
        let count = rng.random_range(1..4);
        let ends: Vec<f64> = (0..count)
            .map(|_| run_s * rng.random_range(0.3..1.7))
            .collect();
        let mut job = match kind {
            "batch" => ending_at(number, kind, &ends),
            _ => job(number, kind, count, run_s),
        };
        job["crew"] = json!(*["t", "u"].choose(rng).expect("one"));
        let zones = [json!(null), json!(null), json!("a"), json!("b")];
        job["yard"] = zones[rng.random_range(0..4)].clone();
        job["same_place"] = json!(rng.random_bool(0.2));
        job["urgency"] = json!(*["low", "normal", "urgent"].choose(rng).expect("one"));
        let is_cancelled = kind == "daemon" || rng.random_bool(0.3);
        let after_s = is_cancelled.then(|| rng.random_range(0.0..25.0));
        // Many cancellations come at the job's very end.
        let cancel_after_s = after_s.map(|s| if s < 8.0 { run_s + 2.0 } else { s });
        Submission {
            job,
            cancel_after_s,
            looks_closely: rng.random_bool(0.3),
        }
    }

    fn id(&self) -> String {
        self.job["name_id"].as_str().expect("id").to_string()
    }

    async fn play(self, world: Rc<World>) {
        let id = world.submit(self.job).await;
        if self.looks_closely {
            world.look_closely(&id).await;
        }
        if let Some(after) = self.cancel_after_s {
            sleep(secs(after)).await;
            cancel(&world, None, &id).await;
            world.look_closely(&id).await;
        }
    }
}

/// Two faults begin within four seconds.
fn begin_both(world: &Rc<World>, rng: &mut SmallRng, faults: [Fault; 2]) {
    for (fault, after) in faults.into_iter().zip([0.0, rng.random_range(0.0..4.0)]) {
        let span = secs(rng.random_range(1.0..14.0));
        let (world, draw) = (world.clone(), rng.random_range(0..6));
        spawn_local(async move {
            sleep(secs(after)).await;
            let occurrence = Occurrence::new(world, span, draw);
            occurrence.bring_about(fault).await;
        });
    }
}

/// The two faults meet twice while users submit, cancel and ask, with teams at
/// their limits.
async fn two_meet(world: Rc<World>, seed: u64, faults: [Fault; 2]) {
    let mut rng = SmallRng::seed_from_u64(seed);
    world.copied.set(0.05);
    let mut ids = Vec::new();
    let mut users: Vec<JoinHandle<()>> = Vec::new();
    for step in 0..110u32 {
        if step == 20 || step == 60 {
            begin_both(&world, &mut rng, faults);
        }
        if step < 90 && step % 3 == 0 {
            let submission = Submission::draw(&mut rng, step + 1);
            ids.push(submission.id());
            users.push(spawn_local(submission.play(world.clone())));
        }
        sleep(secs(1.0)).await;
    }
    for user in users {
        user.await.expect("a user");
    }
    for id in ids.iter().filter(|id| world.is_service(id)) {
        world.heal();
        cancel(&world, None, id).await;
    }
    settle(&world, &format!("{faults:?}, {seed}"), &ids).await;
}

/// The pairs whose number leaves `shard` of `of`; `MEETINGS_FROM` gives other seeds.
fn pairs_meet(shard: usize, of: usize) {
    let from = std::env::var("MEETINGS_FROM")
        .ok()
        .and_then(|s| s.parse().ok());
    let from: u64 = from.unwrap_or(2000);
    let mut number = 0;
    for (n, a) in Fault::ALL.into_iter().enumerate() {
        for (m, b) in Fault::ALL.into_iter().enumerate().skip(n) {
            number += 1;
            if number % of == shard {
                let seed = from + 20 * n as u64 + m as u64;
                let scenario = Scenario::new(seed)
                    .cancel_s([30.0, 15.0][seed as usize % 2])
                    .boot_s([4.0, 1.0][seed as usize / 2 % 2]);
                scenario.run(|w| two_meet(w, seed, [a, b]));
            }
        }
    }
}

#[test]
fn any_two_troubles_meet() {
    pairs_meet(0, 19);
}

#[test]
fn any_other_two_troubles_meet() {
    pairs_meet(5, 19);
}
