//! JSON messages of the operators' endpoints for shares: requests and responses.

use resources::{Amount, Resources};
use serde::{Deserialize, Serialize};
use shares::MoveState;

/// An amount of resources in whole units, as people write it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// Number of CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Number of accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(default)]
    pub memory_gb: f64,
}

impl From<Resources> for Amounts {
    fn from(resources: Resources) -> Self {
        Amounts {
            cpus: resources.cpus.units(),
            gpus: resources.gpus.units(),
            memory_gb: resources.ram.units(),
        }
    }
}

/// The largest amount of a move in each dimension, in whole units.
const MAX_AMOUNT: f64 = 1e9;

impl Amounts {
    /// Converts the amounts to the scheduler's units; `None` if one is negative, too large
    /// or not a number.
    pub fn resources(&self) -> Option<Resources> {
        let amounts = [self.cpus, self.gpus, self.memory_gb];
        let valid = amounts
            .iter()
            .all(|amount| (0.0..=MAX_AMOUNT).contains(amount));
        valid.then(|| Resources {
            cpus: Amount::rounded_down(self.cpus),
            gpus: Amount::rounded_down(self.gpus),
            ram: Amount::rounded_down(self.memory_gb),
        })
    }
}

/// One controller's share of a team's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerShare {
    /// The controller.
    pub controller: String,
    /// The resources that the controller may have booked.
    pub granted: Amounts,
    /// The resources that the controller will have once all pending moves are complete.
    pub wanted: Amounts,
    /// The resources that are booked.
    pub used: Amounts,
}

/// The distribution of a team's limit over the controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamShares {
    /// The team.
    pub team: String,
    /// True if the team's bookings are charged to shares.
    pub split: bool,
    /// The number of moves that were requested.
    pub generation: u64,
    /// The latest generation at which no move was pending.
    pub settled: u64,
    /// The controllers that have a share, will receive one, or have bookings.
    pub controllers: Vec<ControllerShare>,
    /// The reason why a pending move cannot proceed, if any.
    #[serde(default)]
    pub obstacle: Option<String>,
}

/// The response to `GET /ops/shares`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The revision of the state that the response describes.
    pub revision: u64,
    /// The resources that all shares together may have.
    pub capacity: Amounts,
    /// The resources that all shares together have.
    pub granted: Amounts,
    /// The teams.
    pub teams: Vec<TeamShares>,
}

/// The body of `POST /ops/shares/move`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveRequest {
    /// The operation's id, which makes the request idempotent: it takes effect once,
    /// however often it is sent.
    pub id: String,
    /// The team.
    pub team: String,
    /// The source controller.
    pub from: String,
    /// The destination controller.
    pub to: String,
    /// The resources to move.
    #[serde(flatten)]
    pub amount: Amounts,
    /// True if the request only asks what the move would do.
    #[serde(default)]
    pub dry_run: bool,
}

/// A move and its progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The operation's id.
    pub id: String,
    /// The team.
    pub team: String,
    /// The source controller.
    pub from: String,
    /// The destination controller.
    pub to: String,
    /// The resources that were requested to move.
    pub amount: Amounts,
    /// The generation of the team's share record that the move created.
    pub generation: u64,
    /// The progress of the move.
    pub state: MoveState,
    /// The reason why the move cannot proceed, if it is not done.
    #[serde(default)]
    pub obstacle: Option<String>,
}

/// The response to `GET /ops/shares/moves` and to `POST /ops/shares/move`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveAnswer {
    /// The revision of the state that the response describes.
    pub revision: u64,
    /// The moves.
    pub moves: Vec<MoveReport>,
}
