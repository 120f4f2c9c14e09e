//! Faults of the network and of messages, and their end.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use super::scenario::{CLOUD, USERS, World, addr, controller, mesh_address, state_addr};
use super::state_service::{StateTroubles, Trouble};

impl World {
    /// Zones a and b no longer reach each other.
    pub fn partition_zones(&self) {
        for (w, _) in self.workers.borrow().values() {
            for i in (0..self.shape.controllers).filter(|i| self.shape.locations[*i] != w.zone) {
                self.fabric.cut(w.address, controller(i));
                self.fabric.cut(controller(i), w.address);
            }
        }
    }

    /// A controller and the others lose each other, and nobody else.
    pub fn cut_peers(&self, i: usize, cut: bool) {
        for j in (0..self.shape.controllers).filter(|j| *j != i) {
            for (from, to) in [(i, j), (j, i)] {
                match cut {
                    true => self.fabric.cut(controller(from), addr(&mesh_address(to))),
                    false => self
                        .fabric
                        .repair(controller(from), addr(&mesh_address(to))),
                }
            }
        }
    }

    /// A controller is cut off from everything, or is back.
    pub fn cut_controller(&self, i: usize, cut: bool) {
        let mut others = vec![state_addr(i), addr(CLOUD), addr(USERS)];
        others.extend(self.workers.borrow().values().map(|(w, _)| w.address));
        for j in (0..self.shape.controllers).filter(|j| *j != i) {
            others.extend([controller(j), addr(&mesh_address(j))]);
        }
        let own = [controller(i), addr(&mesh_address(i))];
        for (here, there) in others.iter().flat_map(|o| own.map(|h| (h, *o))) {
            for (from, to) in [(here, there), (there, here)] {
                match cut {
                    true => self.fabric.cut(from, to),
                    false => self.fabric.repair(from, to),
                }
            }
        }
    }

    /// A controller and the workers that are there lose each other, and no one
    /// else, or have each other back.
    pub fn cut_workers(&self, i: usize, cut: bool) {
        for (w, _) in self.workers.borrow().values() {
            for (from, to) in [(w.address, controller(i)), (controller(i), w.address)] {
                match cut {
                    true => self.fabric.cut(from, to),
                    false => self.fabric.repair(from, to),
                }
            }
        }
    }

    /// A zone with its machines and controllers is cut off from everything, or
    /// is back.
    pub fn cut_zone(&self, zone: &str, cut: bool) {
        let set = |a: SocketAddrV4, b: SocketAddrV4| {
            for (from, to) in [(a, b), (b, a)] {
                match cut {
                    true => self.fabric.cut(from, to),
                    false => self.fabric.repair(from, to),
                }
            }
        };
        for i in 0..self.shape.controllers {
            let here = self.shape.locations[i] == zone;
            for (w, _) in self.workers.borrow().values() {
                if (w.zone == zone) != here {
                    set(w.address, controller(i));
                }
            }
            for j in 0..self.shape.controllers {
                if here && self.shape.locations[j] != zone {
                    set(controller(i), controller(j));
                    set(controller(i), addr(&mesh_address(j)));
                    set(controller(j), addr(&mesh_address(i)));
                }
            }
            if here {
                set(controller(i), state_addr(i));
                set(controller(i), addr(CLOUD));
            }
        }
    }

    /// The kept copies of reports reach all controllers, each at once.
    pub fn deliver_copies(self: &Rc<Self>) {
        let copies = std::mem::take(&mut *self.heartbeat_copies.borrow_mut());
        for i in 0..self.shape.controllers {
            let (world, copies) = (self.clone(), copies.clone());
            spawn_local(async move { world.send_heartbeat_copies(i, &copies).await });
        }
    }

    /// All that a test has brought about is over, and who ended is back.
    pub fn heal(&self) {
        self.state.trouble.set(Trouble::None);
        self.state.troubles.replace(StateTroubles::default());
        self.copied.set(0.0);
        for (w, _) in self.workers.borrow().values() {
            w.deaf.set(false);
            w.mute.set(false);
            w.orders_held.set(Duration::ZERO);
        }
        self.restore_controllers();
    }

    /// Those that have ended start anew, and none stands still.
    pub fn restore_controllers(&self) {
        for i in 0..self.shape.controllers {
            self.freeze(i, false);
            if self.controllers.borrow()[i].is_none() {
                self.start(i);
            }
        }
    }

    /// Late copies of all that a worker has ever reported, to one controller.
    pub async fn send_heartbeat_copies(&self, i: usize, beats: &[Vec<u8>]) {
        for body in beats {
            let body = Some(body.clone());
            let limit = Duration::from_secs(5);
            let call = self
                .client
                .call(controller(i), "POST", "/agent/beat", body, limit);
            let _ = call.await;
        }
    }
}
