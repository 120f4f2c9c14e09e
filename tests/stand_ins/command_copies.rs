//! Copies of direct calls: the network delivers a call to a worker once more after the worker
//! has executed and answered it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shelfhoist::wire::WorkerCommands;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::scenario::Simulation;
use super::worker::Worker;

/// A direct call that a worker has executed and answered.
struct ExecutedCall {
    worker: Rc<Worker>,
    body: Vec<u8>,
}

/// The calls that are delivered once more, and the starts that they have caused.
pub struct CommandCopies {
    /// Probability with which a call is delivered once more after a random delay.
    pub fraction: Cell<f64>,
    /// Limits of the random delay. Its logarithm is distributed uniformly.
    pub delay: Cell<(Duration, Duration)>,
    /// Flag that makes all executed calls be kept for [`Simulation::deliver_kept_calls`].
    pub keeps_calls: Cell<bool>,
    kept: RefCell<Vec<ExecutedCall>>,
    rng: RefCell<SmallRng>,
    /// Number of copies that a worker has executed or refused.
    pub delivered_count: Cell<usize>,
    /// Descriptions of the starts that copies have caused.
    pub starts: RefCell<Vec<String>>,
}

impl CommandCopies {
    pub(super) fn new(seed: u64) -> Self {
        CommandCopies {
            fraction: Cell::new(0.0),
            delay: Cell::new((Duration::from_millis(1), Duration::from_secs(120))),
            keeps_calls: Cell::new(false),
            kept: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            delivered_count: Cell::new(0),
            starts: RefCell::default(),
        }
    }

    /// Returns the delay of a call's copy, or `None` if the call is not delivered once more.
    fn draw_delay(&self) -> Option<Duration> {
        let fraction = self.fraction.get();
        let mut rng = self.rng.borrow_mut();
        if fraction == 0.0 || !rng.random_bool(fraction) {
            return None;
        }
        let (min, max) = self.delay.get();
        let exponent = rng.random_range(0.0..1.0);
        let ratio = max.as_secs_f64() / min.as_secs_f64();
        Some(min.mul_f64(ratio.powf(exponent)))
    }
}

impl Simulation {
    /// Schedules the copy of a call that the worker has executed, if the call is one of those
    /// that are delivered once more.
    pub(super) fn copy_executed_call(self: &Rc<Self>, worker: &Rc<Worker>, body: &[u8]) {
        let copies = &self.command_copies;
        if copies.keeps_calls.get() {
            copies.kept.borrow_mut().push(ExecutedCall {
                worker: worker.clone(),
                body: body.to_vec(),
            });
        }
        let Some(delay) = copies.draw_delay() else {
            return;
        };
        let (simulation, worker, body) = (self.clone(), worker.clone(), body.to_vec());
        spawn_local(async move {
            sleep(delay).await;
            simulation.deliver_copy(&worker, &body).await;
        });
    }

    /// Delivers all kept calls once more, in the order of their execution.
    pub async fn deliver_kept_calls(&self) {
        let count = self.command_copies.kept.borrow().len();
        for index in 0..count {
            let (worker, body) = {
                let kept = self.command_copies.kept.borrow();
                (kept[index].worker.clone(), kept[index].body.clone())
            };
            self.deliver_copy(&worker, &body).await;
        }
    }

    async fn deliver_copy(&self, worker: &Worker, body: &[u8]) {
        let is_present = self.workers.borrow().contains_key(&worker.name);
        if !is_present || worker.inbound_blocked.get() {
            return;
        }
        worker.wait_while_hung(self.shape.lease()).await;
        let commands: WorkerCommands = serde_json::from_slice(body).expect("commands");
        let copies = &self.command_copies;
        copies.delivered_count.set(copies.delivered_count.get() + 1);
        let starts_before = worker.start_count.get();
        worker.receive_commands(self, &commands);
        if worker.start_count.get() > starts_before {
            self.report_start_by_copy(worker, &commands);
        }
    }
}
