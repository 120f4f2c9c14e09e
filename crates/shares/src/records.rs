//! The records of the accounting by shares, as they are stored in the state service.

use std::collections::BTreeMap;

use resources::Resources;
use serde::{Deserialize, Serialize};

use crate::names::{ControllerName, TeamName};

/// Amounts of resources by controller, without entries for controllers whose amount is zero.
pub(crate) type ResourcesByController = BTreeMap<ControllerName, Resources>;

/// `share/TEAM`, the share record of a team: the distribution of the team's limit over the
/// controllers. While the share record exists, the team's bookings are charged to shares;
/// otherwise to the team's own record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// The number of moves that were requested so far. Each request creates a new generation.
    #[serde(rename = "n")]
    pub generation: u64,
    /// The latest generation at which no move was pending.
    #[serde(rename = "d")]
    pub settled: u64,
    /// The controller to whose share bookings are charged if the job's record contains no
    /// controller.
    #[serde(rename = "f")]
    pub fallback: ControllerName,
    /// The resources that each controller may have booked.
    #[serde(rename = "g")]
    pub granted: ResourcesByController,
    /// The amount that each controller is still to receive by moves, or, if negative, must
    /// still transfer to others. The amounts of all controllers add up to 0. A controller's
    /// target, its share after all moves, is the sum of its granted and its pending amount.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub pending: ResourcesByController,
}

impl Share {
    /// Returns the resources that a controller may have booked.
    pub fn granted_to(&self, controller: &str) -> Resources {
        self.granted.get(controller).copied().unwrap_or_default()
    }

    /// Returns the amount that a controller is still to receive; negative if the controller
    /// must transfer the amount to others.
    pub fn pending_for(&self, controller: &str) -> Resources {
        self.pending.get(controller).copied().unwrap_or_default()
    }

    /// Returns the amount that a controller must still transfer to others; 0 in dimensions in
    /// which the controller is to receive an amount.
    pub(crate) fn outgoing_from(&self, controller: &str) -> Resources {
        (Resources::default() - self.pending_for(controller)).positive()
    }

    /// Returns the amount that a controller is still to receive; 0 in dimensions in which the
    /// controller must transfer an amount.
    pub(crate) fn incoming_to(&self, controller: &str) -> Resources {
        self.pending_for(controller).positive()
    }

    /// Returns the resources that a controller will have once all pending moves are
    /// complete.
    pub fn target_for(&self, controller: &str) -> Resources {
        self.granted_to(controller) + self.pending_for(controller)
    }

    /// Returns the resources that all controllers together may have booked.
    pub fn total(&self) -> Resources {
        self.granted.values().copied().sum()
    }

    /// Returns all controllers with a granted or a pending amount.
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

/// Adds an amount to a controller's entry, and removes the entry if it becomes zero.
fn add(split: &mut ResourcesByController, controller: &ControllerName, amount: Resources) {
    let part = split.entry(controller.clone()).or_default();
    *part += amount;
    if part.is_empty() {
        split.remove(controller);
    }
}

/// `pool`: the capacity for the shares of all teams together, and the part of that capacity
/// that is granted to shares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// The resources that all shares together may have: at most those of the machines on
    /// record.
    #[serde(rename = "c")]
    pub capacity: Resources,
    /// The resources that all shares of all teams together have.
    #[serde(rename = "g")]
    pub granted: Resources,
}

impl Pool {
    /// Returns the capacity that is not granted to any share.
    pub fn free(&self) -> Resources {
        self.capacity - self.granted
    }
}

/// `move/ID`: a move that was requested. The record is written in the commit that adds the
/// move to the pending amounts, with the precondition that no record with this id exists. A
/// request therefore takes effect once, however often and however late it is repeated. The
/// record never changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The team whose limit the move redistributes.
    #[serde(rename = "t")]
    pub team: TeamName,
    /// The source controller.
    #[serde(rename = "f")]
    pub from: ControllerName,
    /// The destination controller.
    #[serde(rename = "o")]
    pub to: ControllerName,
    /// The resources to move.
    #[serde(rename = "a")]
    pub amount: Resources,
    /// The generation of the share record that the move created.
    #[serde(rename = "n")]
    pub generation: u64,
}

/// The progress of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MoveState {
    /// A part of the capacity has not been transferred yet.
    Pending,
    /// Another move of the team was requested before this one was done. Both count as done
    /// when all pending amounts of the team have been transferred.
    Superseded,
    /// No part of the move is left to be transferred.
    Done,
}

impl MoveRecord {
    /// Returns the progress of the move. A team without a share record has nothing left to
    /// transfer.
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
