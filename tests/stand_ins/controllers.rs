//! The controllers under test: each runs the real program in a task set of its own.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use shelfhoist::controller::Controller;
use shelfhoist::state::records::MachineShard;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

use super::scenario::{Simulation, addr, controller_addr, mesh_address};

/// A controller that can be paused while its clocks keep running, like a suspended
/// process.
struct PausableController {
    task_set: LocalSet,
    paused: watch::Sender<bool>,
}

impl Future for PausableController {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if *self.paused.borrow() {
            // This future is polled again as soon as `paused` is set to false.
            let mut pause = self.paused.subscribe();
            let waker = cx.waker().clone();
            spawn_local(async move {
                let _ = pause.wait_for(|is_paused| !is_paused).await;
                waker.wake();
            });
            return Poll::Pending;
        }
        Pin::new(&mut self.task_set).poll(cx)
    }
}

impl Simulation {
    /// Pauses a controller while its clocks keep running, or resumes it if `paused` is
    /// false.
    pub fn set_paused(&self, i: usize, paused: bool) {
        self.paused[i].send_replace(paused);
    }

    /// Starts a controller as a new process would start: without any state in memory.
    pub fn start(&self, i: usize) {
        let net = self.net(controller_addr(i));
        // Each start of the process draws different random numbers.
        self.runs.set(self.runs.get() + 1);
        let seed = self.seed * 1000 + self.runs.get();
        let mut shape = self.shape.clone();
        if !self.next.borrow().is_null() {
            shape.state["next"] = self.next.borrow().clone();
        }
        if let Some(enabled) = self.shares.borrow().get(&i) {
            shape.shares = *enabled;
        }
        let controller = Controller::new(shape.settings(i), net, seed);
        // The controller has a task set of its own, so that every task that it spawns ends
        // with it.
        let task_set = LocalSet::new();
        task_set.spawn_local(async move {
            let _ = shelfhoist::daemon::run(controller).await;
        });
        let paused = self.paused[i].clone();
        self.controllers.borrow_mut()[i] =
            Some(spawn_local(PausableController { task_set, paused }));
    }

    /// Ends a controller without a shutdown; connections to it are refused afterwards.
    pub fn kill_controller(&self, i: usize) {
        if let Some(task) = self.controllers.borrow_mut()[i].take() {
            task.abort();
        }
        self.simulated_network.remove_listener(controller_addr(i));
        self.simulated_network
            .remove_listener(addr(&mesh_address(i)));
    }

    /// Returns the preferred owner and the present owner of each machine. Both are read from
    /// the stored machine shards: the shard's key contains the preferred owner.
    pub fn machine_owners(&self) -> Vec<(String, String)> {
        let pairs = self.state.pairs.borrow();
        let mut owners = Vec::new();
        for (key, (machine_shard, _)) in pairs.iter() {
            let shard = key
                .strip_prefix("sh/machine/")
                .and_then(|k| k.split_once('/'));
            let Some((_, shard)) = shard else { continue };
            let home = shard.split('.').next().unwrap_or("");
            let machine_shard: MachineShard =
                serde_json::from_str(&machine_shard.to_string()).expect("a machine shard record");
            for machine in machine_shard.machines.into_values() {
                owners.push((home.to_string(), machine.owner));
            }
        }
        owners
    }

    /// Returns the index of the controller that owns the most machines.
    pub fn controller_with_most_machines(&self) -> usize {
        let holders = self.machine_owners();
        let owned_count = |i: usize| holders.iter().filter(|h| h.1 == format!("n{i}")).count();
        let controllers = 0..self.shape.controllers;
        controllers.max_by_key(|i| owned_count(*i)).unwrap_or(0)
    }
}
