//! Injection of network faults and of duplicate heartbeats, and their removal.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use super::scenario::{CLOUD, Simulation, USERS, addr, controller_addr, mesh_address, state_addr};
use super::state_service::{StateFault, StateFaultOptions};

impl Simulation {
    /// Cuts the connections between workers and the controllers of other zones. The controllers'
    /// connections to each other, the state service and the cloud are not affected.
    pub fn partition_zones(&self) {
        for (w, _) in self.workers.borrow().values() {
            for i in (0..self.shape.controllers)
                .filter(|i| self.shape.controller_locations[*i] != w.zone)
            {
                self.simulated_network
                    .partition(w.address, controller_addr(i));
                self.simulated_network
                    .partition(controller_addr(i), w.address);
            }
        }
    }

    /// Cuts the connections between a controller and the other controllers, or repairs them
    /// if `cut` is false. Its connections to everything else stay.
    pub fn set_peer_partition(&self, i: usize, cut: bool) {
        for j in (0..self.shape.controllers).filter(|j| *j != i) {
            for (from, to) in [(i, j), (j, i)] {
                match cut {
                    true => self
                        .simulated_network
                        .partition(controller_addr(from), addr(&mesh_address(to))),
                    false => self
                        .simulated_network
                        .heal(controller_addr(from), addr(&mesh_address(to))),
                }
            }
        }
    }

    /// Cuts all connections of a controller, or repairs them if `cut` is false.
    pub fn set_controller_partition(&self, i: usize, cut: bool) {
        let mut remote_addrs = vec![state_addr(i), addr(CLOUD), addr(USERS)];
        remote_addrs.extend(self.workers.borrow().values().map(|(w, _)| w.address));
        for j in (0..self.shape.controllers).filter(|j| *j != i) {
            remote_addrs.extend([controller_addr(j), addr(&mesh_address(j))]);
        }
        let own_addrs = [controller_addr(i), addr(&mesh_address(i))];
        for (own, remote) in remote_addrs
            .iter()
            .flat_map(|remote| own_addrs.map(|own| (own, *remote)))
        {
            for (from, to) in [(own, remote), (remote, own)] {
                match cut {
                    true => self.simulated_network.partition(from, to),
                    false => self.simulated_network.heal(from, to),
                }
            }
        }
    }

    /// Cuts the connections between a controller and the present workers, or repairs them if
    /// `cut` is false. Workers that start later are not affected.
    pub fn set_worker_partition(&self, i: usize, cut: bool) {
        for (w, _) in self.workers.borrow().values() {
            for (from, to) in [
                (w.address, controller_addr(i)),
                (controller_addr(i), w.address),
            ] {
                match cut {
                    true => self.simulated_network.partition(from, to),
                    false => self.simulated_network.heal(from, to),
                }
            }
        }
    }

    /// Cuts all connections of a zone's machines and controllers to the outside, or repairs
    /// them if `cut` is false.
    pub fn set_zone_partition(&self, zone: &str, cut: bool) {
        let set_link = |a: SocketAddrV4, b: SocketAddrV4| {
            for (from, to) in [(a, b), (b, a)] {
                match cut {
                    true => self.simulated_network.partition(from, to),
                    false => self.simulated_network.heal(from, to),
                }
            }
        };
        for i in 0..self.shape.controllers {
            let is_inside = self.shape.controller_locations[i] == zone;
            for (w, _) in self.workers.borrow().values() {
                if (w.zone == zone) != is_inside {
                    set_link(w.address, controller_addr(i));
                }
            }
            for j in 0..self.shape.controllers {
                if is_inside && self.shape.controller_locations[j] != zone {
                    set_link(controller_addr(i), controller_addr(j));
                    set_link(controller_addr(i), addr(&mesh_address(j)));
                    set_link(controller_addr(j), addr(&mesh_address(i)));
                }
            }
            if is_inside {
                set_link(controller_addr(i), state_addr(i));
                set_link(controller_addr(i), addr(CLOUD));
            }
        }
    }

    /// Sends the recorded copies of heartbeats to all controllers concurrently.
    pub fn send_recorded_copies(self: &Rc<Self>) {
        let copies = std::mem::take(&mut *self.heartbeat_copies.borrow_mut());
        for i in 0..self.shape.controllers {
            let (simulation, copies) = (self.clone(), copies.clone());
            spawn_local(async move { simulation.send_heartbeat_copies(i, &copies).await });
        }
    }

    /// Removes the faults of the state service and the workers, resumes paused controllers
    /// and restarts those that were killed. Cut connections are not repaired.
    pub fn clear_faults(&self) {
        self.state.fault.set(StateFault::None);
        self.state
            .fault_options
            .replace(StateFaultOptions::default());
        self.copied_heartbeat_fraction.set(0.0);
        self.command_copies.fraction.set(0.0);
        for (w, _) in self.workers.borrow().values() {
            w.inbound_blocked.set(false);
            w.heartbeats_blocked.set(false);
            w.command_delay.set(Duration::ZERO);
            w.refusal.set(None);
            w.unreadable_answer.set(None);
        }
        self.restore_controllers();
    }

    /// Resumes paused controllers and restarts those that were killed.
    pub fn restore_controllers(&self) {
        for i in 0..self.shape.controllers {
            self.set_paused(i, false);
            if self.controllers.borrow()[i].is_none() {
                self.start(i);
            }
        }
    }

    /// Sends copies of earlier heartbeats to one controller, as messages that the network
    /// delayed and duplicated.
    pub async fn send_heartbeat_copies(&self, i: usize, heartbeats: &[Vec<u8>]) {
        for body in heartbeats {
            let body = Some(body.clone());
            let limit = Duration::from_secs(5);
            let call = self
                .client
                .call(controller_addr(i), "POST", "/agent/beat", body, limit);
            let _ = call.await;
        }
    }
}
