//! Questions of operators about shares, and the answers, as JSON has them.

use resources::{Amount, Resources};
use serde::{Deserialize, Serialize};
use shares::MoveState;

/// Resources in whole units, as people write them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Accelerators.
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

/// The largest figure of a move.
const MAX_AMOUNT: f64 = 1e9;

impl Amounts {
    /// The amounts as the scheduler counts them; `None` if one is negative, too large or
    /// not a number.
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

/// What one controller has of a team's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerShare {
    /// The controller.
    pub controller: String,
    /// What it may have booked.
    pub granted: Amounts,
    /// What it will have once nothing is left to move.
    pub wanted: Amounts,
    /// What is booked.
    pub used: Amounts,
}

/// The split of a team's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamShares {
    /// The team.
    pub team: String,
    /// Whether its bookings count against shares.
    pub split: bool,
    /// How many moves were asked for.
    pub generation: u64,
    /// The latest generation at which nothing was left to move.
    pub settled: u64,
    /// The controllers that have or are to have a part.
    pub controllers: Vec<ControllerShare>,
    /// What stands in the way of what is left to move.
    #[serde(default)]
    pub obstacle: Option<String>,
}

/// The answer to `GET /ops/shares`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The revision of the state that it describes.
    pub revision: u64,
    /// What all shares may hold together.
    pub capacity: Amounts,
    /// What they do.
    pub granted: Amounts,
    /// The teams.
    pub teams: Vec<TeamShares>,
}

/// The body of `POST /ops/shares/move`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveRequest {
    /// The operation's id: however often it is sent, it takes effect once.
    pub id: String,
    /// The team.
    pub team: String,
    /// The controller that gives.
    pub from: String,
    /// The controller that receives.
    pub to: String,
    /// How much.
    #[serde(flatten)]
    pub amount: Amounts,
    /// Only say what would be done.
    #[serde(default)]
    pub dry_run: bool,
}

/// A move, and how far it has come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The operation's id.
    pub id: String,
    /// The team.
    pub team: String,
    /// The controller that gives.
    pub from: String,
    /// The controller that receives.
    pub to: String,
    /// How much was asked for.
    pub amount: Amounts,
    /// The generation of the split that it began.
    pub generation: u64,
    /// How far it has come.
    pub state: MoveState,
    /// What stands in the way, if it is not done.
    #[serde(default)]
    pub obstacle: Option<String>,
}

/// The answer to `GET /ops/shares/moves` and to `POST /ops/shares/move`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveAnswer {
    /// The revision of the state that it describes.
    pub revision: u64,
    /// The moves, by their ids.
    pub moves: Vec<MoveReport>,
}
