//! Which controller a worker should send its heartbeats to.
//!
//! A machine has a preferred owner, the controller whose name its shard bears: commits
//! on its work conflict with no others there. A worker is redirected to its preferred
//! owner when that is up and receives heartbeats, and to the owner of its machine when
//! it has lost that for a moment. Each is done seldom, as the worker may not reach it.

use tokio::time::Instant;

use super::redirect_history::RedirectHistory;
use crate::controller::Controller;
use crate::state::records::Machine;
use crate::wire::WorkerStatus;

/// The controller whose name a shard bears.
pub fn preferred_owner_of(shard: &str) -> &str {
    shard
        .rsplit_once('.')
        .map_or("", |(controller, _number)| controller)
}

impl Controller {
    /// The other controller that owns a machine, as far as its record tells.
    pub(super) fn recorded_other_owner(&self, machine: &Machine) -> Option<String> {
        (machine.owner != self.name()).then(|| machine.owner.clone())
    }

    /// The preferred owner that the worker is to be redirected to now: another
    /// controller than this, which is up and receives heartbeats.
    pub(super) fn redirect_to_preferred_owner(
        &self,
        status: &WorkerStatus,
        now: Instant,
    ) -> Option<String> {
        let replica = self.replica.borrow();
        let machine = replica.machines.get(&status.machine).map(|e| &e.value);
        let preferred_owner = self.reachable_preferred_owner(status, machine, now)?;
        if preferred_owner == self.name() {
            return None;
        }
        let lease = self.settings.worker_lease();
        let mut redirects = self.workers.redirects_mut();
        if redirects.has_failed_to_reach_preferred_owner(&status.machine, lease, now) {
            return None;
        }
        // A machine that nobody owns yet costs no more there than here.
        let is_owned = machine.is_some_and(|m| !m.owner.is_empty());
        if is_owned && !self.may_change_owner(&redirects, now) {
            return None;
        }
        redirects.record_to_preferred_owner(&status.machine, is_owned, now);
        Some(preferred_owner)
    }

    /// The controller of the machine's shard, or one in its zone, as heartbeats that
    /// cross no zone survive when zones are cut off from one another.
    fn reachable_preferred_owner(
        &self,
        status: &WorkerStatus,
        machine: Option<&Machine>,
        now: Instant,
    ) -> Option<String> {
        let peers = self.peers.borrow();
        // A controller that receives no heartbeats has lost its workers.
        let mut alive = peers.alive(self, now);
        alive.retain(|n| *n == self.name() || peers.receives_heartbeats(self, n, now));
        let preferred_owner = machine.map_or("", |m| preferred_owner_of(&m.shard));
        match alive.contains(&preferred_owner) {
            true => Some(preferred_owner.to_string()),
            false => self.nearest(&status.machine, &status.zone, &alive),
        }
    }

    /// Workers of owned machines are redirected to their preferred owners a few at a
    /// time, and none while claims wait: after a restart of many controllers, all
    /// workers send their heartbeats to the first that is up.
    fn may_change_owner(&self, redirects: &RedirectHistory, now: Instant) -> bool {
        let interval = self.request_interval() / 4;
        self.workers.claims.is_empty() && !redirects.has_redirected_owned_within(interval, now)
    }

    /// Which of these controllers a machine without a shard should belong to: one of
    /// its zone, if there is any.
    pub fn nearest(&self, machine: &str, zone: &str, alive: &[&str]) -> Option<String> {
        let zone_of = |name: &str| {
            let others = &self.settings.others;
            let peer = others.iter().find(|p| p.name == name);
            peer.map_or(&self.settings.zone, |p| &p.zone).as_str()
        };
        let in_zone: Vec<&str> = alive
            .iter()
            .copied()
            .filter(|name| zone_of(name) == zone)
            .collect();
        let candidates = if in_zone.is_empty() { alive } else { &in_zone };
        crate::hash::preferred(machine, candidates.iter().copied()).map(str::to_string)
    }

    /// The controller that owns a machine, if it is up and receives heartbeats: a
    /// worker that has lost it for a moment goes back once, which costs no claim.
    /// Not from its preferred owner, where it was redirected to: the two would send it
    /// to and fro. Nor to a controller that receives no heartbeats: another try there
    /// takes what is left of the lease.
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
        let owner = machine.owner.as_str();
        if !self.is_owner_reachable(owner, machine, now) {
            return None;
        }
        let lease = self.settings.worker_lease();
        let mut redirects = self.workers.redirects_mut();
        redirects
            .try_redirect_to_owner(id, lease, now)
            .then(|| owner.to_string())
    }

    /// Whether the run of the controller that owns a machine is up and receives
    /// heartbeats.
    fn is_owner_reachable(&self, owner: &str, machine: &Machine, now: Instant) -> bool {
        let replica = self.replica.borrow();
        let is_same_run = replica
            .controllers
            .get(owner)
            .is_some_and(|record| record.value.incarnation == machine.incarnation);
        let peers = self.peers.borrow();
        is_same_run
            && peers.alive(self, now).contains(&owner)
            && peers.receives_heartbeats(self, owner, now)
    }
}
