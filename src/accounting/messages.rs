//! JSON requests and responses of the endpoints by which operators view and move shares.

use resources::{Amount, Resources};
use serde::{Deserialize, Serialize};
use shares::MoveState;

/// Amounts of resources in CPUs, accelerators and GB, as requests and responses contain them.
/// Fractions are allowed.
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

/// The largest amount of a move in each dimension, in the units of [`Amounts`].
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
    /// The name of the controller.
    pub controller: String,
    /// The present size of the share: the most that may be booked against it.
    pub granted: Amounts,
    /// The size of the share once all pending moves are complete.
    pub wanted: Amounts,
    /// The resources that are booked against the share.
    pub used: Amounts,
}

/// The distribution of a team's limit over the controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamShares {
    /// The name of the team.
    pub team: String,
    /// True if the team's limit is split into shares, to which its bookings are charged.
    pub split: bool,
    /// The number of moves that were requested for the team so far.
    pub generation: u64,
    /// The latest generation at which no move was pending. All moves are complete if it
    /// equals `generation`.
    pub settled: u64,
    /// The controllers that have a share, will receive one, or have bookings.
    pub controllers: Vec<ControllerShare>,
    /// The transfer that a pending move still waits for, as text; `None` if no move is pending.
    #[serde(default)]
    pub obstacle: Option<String>,
}

/// The response to `GET /ops/shares`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The revision of the state that the response describes.
    pub revision: u64,
    /// The most resources that the shares of all teams together may have.
    pub capacity: Amounts,
    /// The resources that the shares of all teams together have.
    pub granted: Amounts,
    /// The shares of each team, or of the requested team only.
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
    /// The transfer that the team's pending moves still wait for, as text; `None` if the move
    /// is done.
    #[serde(default)]
    pub obstacle: Option<String>,
}

/// The response to `GET /ops/shares/moves` and to `POST /ops/shares/move`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveAnswer {
    /// The revision of the state that the response describes.
    pub revision: u64,
    /// The requested move, or the latest moves.
    pub moves: Vec<MoveReport>,
}
