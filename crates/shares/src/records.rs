//! The records as they are stored.

use std::collections::BTreeMap;

use resources::Resources;
use serde::{Deserialize, Serialize};

use crate::names::{ControllerName, TeamName};

/// A split over controllers; who has nothing is left out.
pub(crate) type ResourcesByController = BTreeMap<ControllerName, Resources>;

/// `share/TEAM`: how a team's quota is split over the controllers. While it exists the
/// team's bookings count against shares; without it, against the team's own record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// How many moves were asked for.
    #[serde(rename = "n")]
    pub generation: u64,
    /// The latest generation at which nothing was left to move.
    #[serde(rename = "d")]
    pub settled: u64,
    /// Whose share the bookings of jobs count against that name none.
    #[serde(rename = "f")]
    pub fallback: ControllerName,
    /// What each controller may have booked.
    #[serde(rename = "g")]
    pub granted: ResourcesByController,
    /// What each controller is still to receive, or to give where it is negative. It
    /// adds up to nothing, and with what is granted it is the split that is wanted.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub pending: ResourcesByController,
}

impl Share {
    /// What a controller may have booked.
    pub fn granted_to(&self, controller: &str) -> Resources {
        self.granted.get(controller).copied().unwrap_or_default()
    }

    /// What a controller is still to receive; negative where it is to give.
    pub fn pending_for(&self, controller: &str) -> Resources {
        self.pending.get(controller).copied().unwrap_or_default()
    }

    /// What a controller is still to give.
    pub(crate) fn outgoing_from(&self, controller: &str) -> Resources {
        (Resources::default() - self.pending_for(controller)).positive()
    }

    /// What a controller is still to receive, nothing where it is to give.
    pub(crate) fn incoming_to(&self, controller: &str) -> Resources {
        self.pending_for(controller).positive()
    }

    /// What a controller will have once nothing is left to move.
    pub fn target_for(&self, controller: &str) -> Resources {
        self.granted_to(controller) + self.pending_for(controller)
    }

    /// What all controllers may have booked together.
    pub fn total(&self) -> Resources {
        self.granted.values().copied().sum()
    }

    /// Every controller that has a part in the split.
    pub fn controllers(&self) -> Vec<ControllerName> {
        let names = self.granted.keys().chain(self.pending.keys());
        let mut names: Vec<ControllerName> = names.cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    pub(crate) fn add_granted(&mut self, controller: &ControllerName, amount: Resources) {
        add(&mut self.granted, controller, amount);
    }

    pub(crate) fn add_pending(&mut self, controller: &ControllerName, amount: Resources) {
        add(&mut self.pending, controller, amount);
    }
}

/// Adds an amount to a controller's part of a split.
fn add(split: &mut ResourcesByController, controller: &ControllerName, amount: Resources) {
    let part = split.entry(controller.clone()).or_default();
    *part += amount;
    if part.is_empty() {
        split.remove(controller);
    }
}

/// `pool`: what all shares together may hold, and what they do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// No more than the machines on record have.
    #[serde(rename = "c")]
    pub capacity: Resources,
    /// What all shares of all teams add up to.
    #[serde(rename = "g")]
    pub granted: Resources,
}

impl Pool {
    /// What no share holds.
    pub fn free(&self) -> Resources {
        self.capacity - self.granted
    }
}

/// `move/ID`: a move that was asked for. It is written in the commit that adds it to
/// what is pending, under the condition that the id is new, so that an id takes effect
/// once, whoever repeats it and however late. It never changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The team whose quota share moves.
    #[serde(rename = "t")]
    pub team: TeamName,
    /// The controller that gives.
    #[serde(rename = "f")]
    pub from: ControllerName,
    /// The controller that receives.
    #[serde(rename = "o")]
    pub to: ControllerName,
    /// How much.
    #[serde(rename = "a")]
    pub amount: Resources,
    /// The generation of the split that it began.
    #[serde(rename = "n")]
    pub generation: u64,
}

/// How far a move has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MoveState {
    /// Something of it is left to move.
    Pending,
    /// A later move of the team came before it was done: the two are one now.
    Superseded,
    /// Nothing is left to move.
    Done,
}

impl MoveRecord {
    /// How far the move has come; a team whose quota is split no longer has nothing
    /// left to move.
    pub fn state(&self, share: Option<&Share>) -> MoveState {
        match share {
            Some(share) if share.settled < self.generation => {
                match share.generation > self.generation {
                    true => MoveState::Superseded,
                    false => MoveState::Pending,
                }
            }
            _ => MoveState::Done,
        }
    }
}
