//! Redirects workers to the controllers that should receive their heartbeats.
//!
//! The preferred owner of a machine is the controller whose name is part of the name of the
//! machine's shard. If the preferred owner makes the commits for the work on its machines,
//! these commits conflict with none of other controllers. A worker is redirected to the
//! preferred owner if that controller is up and receives heartbeats. A worker that has lost
//! contact with the present owner of its machine for a short time is redirected back to that
//! owner. Both kinds of redirect are limited, as the worker may be unable to reach the other
//! controller.

use tokio::time::Instant;

use super::redirect_history::RedirectHistory;
use crate::controller::Controller;
use crate::state::records::Machine;
use crate::wire::WorkerStatus;

/// Returns the preferred owner of the machines in a shard, which is the part of the shard's
/// name before the last dot; empty if there is none.
pub fn preferred_owner_of(shard: &str) -> &str {
    shard
        .rsplit_once('.')
        .map_or("", |(controller, _number)| controller)
}

impl Controller {
    /// Returns the owner in a machine's record if the owner is another controller.
    pub(super) fn recorded_other_owner(&self, machine: &Machine) -> Option<String> {
        (machine.owner != self.name()).then(|| machine.owner.clone())
    }

    /// Returns the preferred owner that the worker should be redirected to now, and records
    /// the redirect. The preferred owner is then another controller that is up and receives
    /// heartbeats.
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
        // The rate limit applies only to owned machines, whose redirect costs another claim.
        // A machine without an owner has to be claimed once at either controller.
        let is_owned = machine.is_some_and(|m| !m.owner.is_empty());
        if is_owned && !self.may_change_owner(&redirects, now) {
            return None;
        }
        redirects.record_redirect_to_preferred_owner(&status.machine, is_owned, now);
        Some(preferred_owner)
    }

    /// Returns the preferred owner according to the machine's shard, if that controller is up
    /// and receives heartbeats. Otherwise selects a controller that is up and does, in the
    /// machine's zone if possible: heartbeats within a zone still arrive when zones are
    /// partitioned from one another.
    fn reachable_preferred_owner(
        &self,
        status: &WorkerStatus,
        machine: Option<&Machine>,
        now: Instant,
    ) -> Option<String> {
        let peers = self.peers.borrow();
        // A controller that receives no heartbeats has lost contact with its workers, and
        // would not receive those of a redirected worker either.
        let mut alive = peers.alive_controllers(self, now);
        alive.retain(|n| *n == self.name() || peers.receives_heartbeats(self, n, now));
        let preferred_owner = machine.map_or("", |m| preferred_owner_of(&m.shard));
        match alive.contains(&preferred_owner) {
            true => Some(preferred_owner.to_string()),
            false => self.select_preferred_owner(&status.machine, &status.zone, &alive),
        }
    }

    /// Returns whether a worker of an owned machine may be redirected to its preferred owner
    /// now. These redirects are limited in rate, and none is made while claims are queued.
    /// Otherwise very many could be due at once: after a restart of many controllers, all
    /// workers send their heartbeats to the first one that is up.
    fn may_change_owner(&self, redirects: &RedirectHistory, now: Instant) -> bool {
        let interval = self.request_interval() / 4;
        self.workers.claims.is_empty() && !redirects.has_redirected_owned_within(interval, now)
    }

    /// Selects the preferred owner of a machine by hash from the given controllers, or only
    /// from those in the machine's zone if there are any.
    pub fn select_preferred_owner(
        &self,
        machine: &str,
        zone: &str,
        alive: &[&str],
    ) -> Option<String> {
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
        crate::hash::preferred_controller(machine, candidates.iter().copied()).map(str::to_string)
    }

    /// Returns the other controller that owns a machine, if the worker should be redirected
    /// to that owner, and records the redirect. The redirect costs no claim if the worker has
    /// lost contact with the owner only for a short time; at most one is made in a lease. If
    /// this controller is the preferred owner, it does not redirect the worker to the present
    /// owner, as the two controllers would redirect the worker back and forth. An owner that
    /// receives no heartbeats gets no redirects either, as an attempt to reach it would use
    /// up the rest of the lease.
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

    /// Returns whether the controller that owns a machine is up, in the run that claimed the
    /// machine, and receives heartbeats.
    fn is_owner_reachable(&self, owner: &str, machine: &Machine, now: Instant) -> bool {
        let replica = self.replica.borrow();
        let is_same_run = replica
            .controllers
            .get(owner)
            .is_some_and(|record| record.value.incarnation == machine.incarnation);
        let peers = self.peers.borrow();
        is_same_run
            && peers.alive_controllers(self, now).contains(&owner)
            && peers.receives_heartbeats(self, owner, now)
    }
}
