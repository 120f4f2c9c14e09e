//! The controllers under test: the real program, each in a task set of its own.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use shelfhoist::controller::Controller;
use shelfhoist::state::records::MachineShard;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

use super::scenario::{World, addr, controller, mesh};

/// A controller that can stand still while its clocks run on.
struct Freezable {
    set: LocalSet,
    frozen: watch::Sender<bool>,
}

impl Future for Freezable {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if *self.frozen.borrow() {
            // Whoever thaws it wakes it.
            let mut thawed = self.frozen.subscribe();
            let waker = cx.waker().clone();
            spawn_local(async move {
                let _ = thawed.wait_for(|f| !f).await;
                waker.wake();
            });
            return Poll::Pending;
        }
        Pin::new(&mut self.set).poll(cx)
    }
}

impl World {
    /// A controller stands still while its clocks run on, or goes on.
    pub fn freeze(&self, i: usize, frozen: bool) {
        self.frozen[i].send_replace(frozen);
    }

    /// Starts a controller as a new process.
    pub fn start(&self, i: usize) {
        let net = self.net(controller(i));
        // Another run of the process draws other numbers.
        self.runs.set(self.runs.get() + 1);
        let seed = self.seed * 1000 + self.runs.get();
        let mut shape = self.shape.clone();
        if !self.next.borrow().is_null() {
            shape.state["next"] = self.next.borrow().clone();
        }
        if let Some(on) = self.shares.borrow().get(&i) {
            shape.shares = *on;
        }
        let controller = Controller::new(shape.settings(i), net, seed);
        // A set of its own: all that the controller spawned ends with it.
        let set = LocalSet::new();
        set.spawn_local(async move {
            let _ = shelfhoist::daemon::run(controller).await;
        });
        let frozen = self.frozen[i].clone();
        self.controllers.borrow_mut()[i] = Some(spawn_local(Freezable { set, frozen }));
    }

    /// Ends a controller at once; its connections are refused.
    pub fn kill(&self, i: usize) {
        if let Some(task) = self.controllers.borrow_mut()[i].take() {
            task.abort();
        }
        self.fabric.remove_listener(controller(i));
        self.fabric.remove_listener(addr(&mesh(i)));
    }

    /// Each machine's home and owner, as the state has them.
    pub fn holders(&self) -> Vec<(String, String)> {
        let pairs = self.state.pairs.borrow();
        let mut all = Vec::new();
        for (key, (machine_shard, _)) in pairs.iter() {
            let shard = key
                .strip_prefix("sh/machine/")
                .and_then(|k| k.split_once('/'));
            let Some((_, shard)) = shard else { continue };
            let home = shard.split('.').next().unwrap_or("");
            let machine_shard: MachineShard =
                serde_json::from_str(&machine_shard.to_string()).expect("group");
            for machine in machine_shard.machines.into_values() {
                all.push((home.to_string(), machine.owner));
            }
        }
        all
    }

    /// The controller that holds most machines.
    pub fn busiest(&self) -> usize {
        let holders = self.holders();
        let held = |i: usize| holders.iter().filter(|h| h.1 == format!("n{i}")).count();
        let all = 0..self.shape.controllers;
        all.max_by_key(|i| held(*i)).unwrap_or(0)
    }
}
