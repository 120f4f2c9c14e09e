//! Keeps the newest status of each other controller. Only recent statuses are used.

use std::collections::HashMap;

use tokio::time::Instant;

use super::gossip_interval;
use super::message::PeerStatus;
use crate::controller::Controller;

/// Upper bound on the write demand that is accepted from a peer, in keys per second.
const MAX_WRITE_DEMAND: f64 = 1e6;

/// Age from which a peer's status is ignored, in gossip intervals.
const FRESH_INTERVALS: u32 = 4;

/// The newest status of another controller.
#[derive(Debug)]
struct PeerState {
    /// Time at which the status was received.
    received_at: Instant,
    status: PeerStatus,
}

/// The newest statuses of the other controllers, by name.
#[derive(Debug, Default)]
pub struct PeerTable(HashMap<String, PeerState>);

impl PeerTable {
    /// Records a received status as the controller's newest one.
    pub fn record(&mut self, mut status: PeerStatus, now: Instant) {
        status.write_demand = status.write_demand.clamp(0.0, MAX_WRITE_DEMAND);
        let state = PeerState {
            received_at: now,
            status,
        };
        self.0.insert(state.status.controller.clone(), state);
    }

    /// Returns the peers whose statuses are recent.
    fn fresh(
        &self,
        controller: &Controller,
        now: Instant,
    ) -> impl Iterator<Item = (&str, &PeerStatus)> {
        let max_age = gossip_interval(&controller.settings) * FRESH_INTERVALS;
        self.0
            .iter()
            .filter(move |(_, peer)| now.saturating_duration_since(peer.received_at) < max_age)
            .map(|(name, peer)| (name.as_str(), &peer.status))
    }

    /// Returns the names of this controller and of the peers that are up: their statuses are
    /// recent and show that the state service answers them.
    pub fn alive_controllers<'a>(
        &'a self,
        controller: &'a Controller,
        now: Instant,
    ) -> Vec<&'a str> {
        let max_staleness_ms = (controller.settings.worker_lease() / 4).as_millis() as u64;
        let mut names: Vec<&str> = self
            .fresh(controller, now)
            .filter(|(_, peer)| peer.staleness_ms.is_some_and(|age| age < max_staleness_ms))
            .map(|(name, _)| name)
            .collect();
        names.push(controller.name());
        names
    }

    /// Returns whether the newest status of a peer shows that the peer receives heartbeats from
    /// the machines that it owns. One silent machine, or up to a quarter of the owned ones, is
    /// tolerated, as single heartbeats may be lost or in flight. The check is needed because a
    /// controller that is cut off only from its workers still reaches its peers and the state
    /// service.
    pub fn receives_heartbeats(&self, controller: &Controller, peer: &str, now: Instant) -> bool {
        let mut fresh = self.fresh(controller, now);
        fresh.any(|(name, status)| {
            name == peer && status.silent_machines <= (status.owned_machines / 4).max(1)
        })
    }

    /// Returns the write demands of the other controllers, in keys per second, in the order
    /// of the settings; `None` for those without a recent status.
    pub fn write_demands(&self, controller: &Controller, now: Instant) -> Vec<Option<f64>> {
        let fresh: HashMap<&str, f64> = self
            .fresh(controller, now)
            .map(|(name, peer)| (name, peer.write_demand))
            .collect();
        let others = controller.settings.others.iter();
        others
            .map(|other| fresh.get(other.name.as_str()).copied())
            .collect()
    }

    /// Returns the names of the cloud's offers of machines that were recently refused to the
    /// other controllers.
    pub fn refused_offers(&self, controller: &Controller, now: Instant) -> Vec<String> {
        self.fresh(controller, now)
            .flat_map(|(_, peer)| peer.refused_offers.iter().cloned())
            .collect()
    }

    /// Returns whether the state service answers at least one other controller.
    pub fn is_state_service_reachable_by_peer(
        &self,
        controller: &Controller,
        now: Instant,
    ) -> bool {
        self.alive_controllers(controller, now).len() > 1
    }
}
