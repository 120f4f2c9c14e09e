//! Which controller a worker should report to.
//!
//! A machine has a home, the controller whose name its zone shard bears: commits on its
//! work conflict with no others there. A worker is sent home when its home is up
//! and hears its workers, and back to the owner of its machine when it has lost
//! that for a moment. Each is done seldom, as the worker may not reach it.

use tokio::time::Instant;

use crate::controller::Controller;
use crate::state::records::Machine;
use crate::wire::WorkerStatus;

/// For so many leases a worker is left alone that did not reach its home.
const LEASES_NOT_SENT_HOME: u32 = 3;

/// The controller whose name a zone shard bears.
pub fn preferred_owner_of(shard: &str) -> &str {
    shard.rsplit_once('.').map_or("", |(home, _)| home)
}

impl Controller {
    /// The controller that a worker whose machine is held elsewhere should report
    /// to, as far as the record of the machine tells.
    pub(super) fn recorded_holder(&self, machine: &Machine) -> Option<String> {
        (machine.owner != self.name()).then(|| machine.owner.clone())
    }

    /// The home that the worker is to be sent to now: another controller than this,
    /// which is up and hears its workers.
    pub(super) fn redirect_to_preferred_owner(
        &self,
        report: &WorkerStatus,
        now: Instant,
    ) -> Option<String> {
        let replica = self.replica.borrow();
        let machine = replica.machines.get(&report.machine).map(|e| &e.value);
        let home = self.reachable_home(report, machine, now)?;
        if home == self.name() || self.was_sent_home(&report.machine, now) {
            return None;
        }
        // A machine that nobody holds yet costs no more there than here.
        let free = machine.is_none_or(|m| m.owner.is_empty());
        if !free && !self.may_send_home(now) {
            return None;
        }
        let mut fleet = self.fleet.borrow_mut();
        if !free {
            fleet.last_sent_home = Some(now);
        }
        fleet.sent_home.insert(report.machine.clone(), (now, false));
        Some(home)
    }

    /// The controller of the machine's part, or one in its zone, as reports that
    /// cross no zone survive when zones are cut off from one another.
    fn reachable_home(
        &self,
        report: &WorkerStatus,
        machine: Option<&Machine>,
        now: Instant,
    ) -> Option<String> {
        let peers = self.peers.borrow();
        // A controller that does not hear its workers has lost them.
        let mut alive = peers.alive(self, now);
        alive.retain(|n| *n == self.name() || peers.receives_heartbeats(self, n, now));
        let home = machine.map_or("", |m| preferred_owner_of(&m.shard));
        match alive.iter().find(|n| **n == home) {
            Some(home) => Some(home.to_string()),
            None => self.nearest(&report.machine, &report.zone, &alive),
        }
    }

    /// Whether the worker has been sent home before and is to stay here. One that
    /// is back soon has not reached its home, and is left alone for a while; one
    /// that comes back later has lost it since.
    fn was_sent_home(&self, machine: &str, now: Instant) -> bool {
        let lease = self.settings.worker_lease();
        let mut fleet = self.fleet.borrow_mut();
        let Some((sent, back)) = fleet.sent_home.get_mut(machine) else {
            return false;
        };
        let age = now.saturating_duration_since(*sent);
        *back |= age < lease;
        *back && age < lease * LEASES_NOT_SENT_HOME
    }

    /// Workers of held machines are sent home a few at a time, and none while
    /// claims wait: after a restart of many controllers, all workers report to the
    /// first that is up.
    fn may_send_home(&self, now: Instant) -> bool {
        let gap = self.request_gap() / 4;
        let last = self.fleet.borrow().last_sent_home;
        let recent = last.is_some_and(|t| now.saturating_duration_since(t) < gap);
        self.workers.claims.borrow().is_empty() && !recent
    }

    /// Which of these controllers a machine without a home should report to:
    /// one of its zone, if there is any.
    pub fn nearest(&self, machine: &str, zone: &str, alive: &[&str]) -> Option<String> {
        let zone_of = |name: &str| {
            let others = &self.settings.others;
            let peer = others.iter().find(|p| p.name == name);
            peer.map_or(&self.settings.zone, |p| &p.zone).as_str()
        };
        let there: Vec<&str> = alive
            .iter()
            .copied()
            .filter(|n| zone_of(n) == zone)
            .collect();
        let choice = if there.is_empty() { alive } else { &there };
        crate::hash::preferred(machine, choice.iter().copied()).map(str::to_string)
    }

    /// The controller that holds a machine, if it is up and hears its workers: a
    /// worker that has lost it for a moment goes back once, which costs no claim.
    /// Not from its home, where it was sent: the two would send it to and fro.
    /// Nor to a controller that does not hear its workers: another try there takes
    /// what is left of the lease.
    pub(super) fn redirect_to_owner(
        &self,
        id: &str,
        machine: Option<&Machine>,
        now: Instant,
    ) -> Option<String> {
        let machine = machine.filter(|m| m.owner != self.name() && m.fencing_token > 0)?;
        if preferred_owner_of(&machine.shard) == self.name() {
            return None;
        }
        let replica = self.replica.borrow();
        let owner = machine.owner.as_str();
        let up = replica.controllers.get(owner)?.value.incarnation == machine.incarnation;
        let peers = self.peers.borrow();
        let alive = peers.alive(self, now).contains(&owner);
        if !up || !alive || !peers.receives_heartbeats(self, owner, now) {
            return None;
        }
        let mut fleet = self.fleet.borrow_mut();
        let sent = fleet.sent_back.get(id);
        if sent.is_some_and(|t| now.saturating_duration_since(*t) < self.settings.worker_lease()) {
            return None;
        }
        fleet.sent_back.insert(id.to_string(), now);
        Some(owner.to_string())
    }
}
