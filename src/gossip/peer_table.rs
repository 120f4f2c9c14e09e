//! What the other controllers have last told of themselves.

use std::collections::HashMap;

use tokio::time::Instant;

use super::gossip_interval;
use super::message::PeerStatus;
use crate::controller::Controller;

/// The most that is believed of what a controller would write, in keys a second.
const MAX_WRITES_PER_S: f64 = 1e6;

/// A controller that has sent nothing for so many intervals counts as not
/// heard of.
const FRESH_INTERVALS: u32 = 4;

/// What another controller has last told of itself.
#[derive(Debug)]
struct PeerState {
    /// When it told so.
    received_at: Instant,
    status: PeerStatus,
}

/// What the other controllers have told, by name.
#[derive(Debug, Default)]
pub struct PeerTable(HashMap<String, PeerState>);

impl PeerTable {
    /// Records what a controller tells.
    pub fn record(&mut self, mut status: PeerStatus, now: Instant) {
        status.writes = status.writes.clamp(0.0, MAX_WRITES_PER_S);
        let state = PeerState {
            received_at: now,
            status,
        };
        self.0.insert(state.status.controller.clone(), state);
    }

    /// Those that were heard of late.
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

    /// This controller and those that were heard of late and are served by the state
    /// service.
    pub fn alive<'a>(&'a self, controller: &'a Controller, now: Instant) -> Vec<&'a str> {
        let max_staleness_ms = (controller.settings.worker_lease() / 4).as_millis() as u64;
        let mut names: Vec<&str> = self
            .fresh(controller, now)
            .filter(|(_, peer)| peer.staleness_ms.is_some_and(|age| age < max_staleness_ms))
            .map(|(name, _)| name)
            .collect();
        names.push(controller.name());
        names
    }

    /// Whether a peer receives heartbeats of the machines that it owns, as far as it
    /// has told: one or a quarter may be lost or on their way. One that is cut off from
    /// workers alone still talks to us and to the state service.
    pub fn receives_heartbeats(&self, controller: &Controller, peer: &str, now: Instant) -> bool {
        let mut fresh = self.fresh(controller, now);
        fresh.any(|(name, status)| name == peer && status.silent <= (status.machines / 4).max(1))
    }

    /// What the other controllers would write, in keys a second, in the order of the
    /// settings; nothing for those that have not been heard of late.
    pub fn write_demands(&self, controller: &Controller, now: Instant) -> Vec<Option<f64>> {
        let fresh: HashMap<&str, f64> = self
            .fresh(controller, now)
            .map(|(name, peer)| (name, peer.writes))
            .collect();
        let others = controller.settings.others.iter();
        others
            .map(|other| fresh.get(other.name.as_str()).copied())
            .collect()
    }

    /// What the cloud has refused the others.
    pub fn refused(&self, controller: &Controller, now: Instant) -> Vec<String> {
        self.fresh(controller, now)
            .flat_map(|(_, peer)| peer.refused.iter().cloned())
            .collect()
    }

    /// Whether some other controller is served by the state service.
    pub fn state_serves_another(&self, controller: &Controller, now: Instant) -> bool {
        self.alive(controller, now).len() > 1
    }
}
