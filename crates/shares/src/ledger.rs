//! The accounting at one revision of the state service, and its invariants.

use std::collections::BTreeMap;

use resources::{Amount, Resources};

use crate::names::{ControllerName, TeamName};
use crate::records::{Pool, ResourcesByController, Share};

/// The most that a team may use at any time; `None` where there is no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct TeamLimit {
    /// CPUs.
    pub cpus: Option<Amount>,
    /// Accelerators.
    pub gpus: Option<Amount>,
}

impl TeamLimit {
    /// What the team may have beyond an amount that it has; negative where it has more
    /// than its limit.
    #[must_use]
    pub fn remaining(&self, has: Resources) -> Resources {
        let remaining = |limit: Option<Amount>, has: Amount| match limit {
            Some(limit) => Amount(limit.0 - has.0),
            None => Amount(UNLIMITED),
        };
        Resources {
            cpus: remaining(self.cpus, has.cpus),
            gpus: remaining(self.gpus, has.gpus),
            ram: Amount(UNLIMITED),
        }
    }
}

/// More than any fleet has, far enough from overflow to add to it.
const UNLIMITED: i64 = i64::MAX / 4;

/// What is accounted for one team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TeamAccount {
    /// The team's limit.
    pub limit: TeamLimit,
    /// The split of its limit, while its bookings count against shares.
    pub share: Option<Share>,
    /// What is booked, by the controller whose share it counts against.
    pub used: ResourcesByController,
}

impl TeamAccount {
    /// What is booked against a controller's share.
    pub fn used_by(&self, controller: &str) -> Resources {
        self.used.get(controller).copied().unwrap_or_default()
    }

    /// What is booked against all shares.
    pub fn total_used(&self) -> Resources {
        self.used.values().copied().sum()
    }

    /// What a controller's share has that is not booked.
    pub fn free(&self, controller: &str) -> Resources {
        let granted = self
            .share
            .as_ref()
            .map(|share| share.granted_to(controller));
        granted.unwrap_or_default() - self.used_by(controller)
    }

    /// Books more against a controller's share, or less.
    pub fn book(&mut self, controller: &ControllerName, amount: Resources) {
        let used = self.used.entry(controller.clone()).or_default();
        *used += amount;
        if used.is_empty() {
            self.used.remove(controller);
        }
    }
}

/// The accounting at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// The pool, once there is one.
    pub pool: Option<Pool>,
    /// What the machines on record have whose removal would be seen (see
    /// [`crate::release_machines`]).
    pub machine_capacity: Resources,
    /// What those of them have that are not about to leave.
    pub retained_capacity: Resources,
    /// A share that grows from the pool takes so many times what it lacks, where the pool
    /// has as much: each growth writes the pool.
    pub growth_factor: u32,
    /// The teams.
    pub teams: BTreeMap<TeamName, TeamAccount>,
}

/// A breach of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A team's shares add up to more than its limit.
    #[error("the shares of {0} add up to more than its limit")]
    AboveLimit(TeamName),
    /// All shares add up to more than the machines on record have.
    #[error("shares add up to more than the machines on record")]
    AboveMachines,
    /// The pool counts more than the machines on record have.
    #[error("the pool counts more than the machines on record")]
    PoolAboveMachines,
    /// The pool's sum is not that of the shares.
    #[error("the pool's sum of shares is wrong")]
    GrantedSumMismatch,
    /// More is booked against a share than it has.
    #[error("more is booked than {1} has of {0}")]
    Overbooked(TeamName, ControllerName),
    /// A share is negative, or is to give what it has not.
    #[error("{1} is to give more of {0} than it has")]
    NegativeShare(TeamName, ControllerName),
    /// What is to be received is not what is to be given.
    #[error("what is left to move of {0} does not add up to nothing")]
    Unbalanced(TeamName),
}

/// Whether an amount is negative in some dimension.
fn is_negative(amount: Resources) -> bool {
    !amount.fits(&Resources::default())
}

impl Ledger {
    /// The split of a team's limit, if its bookings count against shares.
    pub(crate) fn share(&self, team: &TeamName) -> Option<&Share> {
        self.teams.get(team)?.share.as_ref()
    }

    /// All breaches of the invariants.
    pub fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut sum = Resources::default();
        for (team, account) in &self.teams {
            if let Some(share) = &account.share {
                sum += share.total();
                found.extend(team_violations(team, account, share));
            }
        }
        if !self.machine_capacity.fits(&sum) {
            found.push(Violation::AboveMachines);
        }
        if let Some(pool) = &self.pool {
            if !self.machine_capacity.fits(&pool.capacity) {
                found.push(Violation::PoolAboveMachines);
            }
            if pool.granted != sum {
                found.push(Violation::GrantedSumMismatch);
            }
        } else if !sum.is_empty() {
            found.push(Violation::GrantedSumMismatch);
        }
        found
    }
}

fn team_violations(team: &TeamName, account: &TeamAccount, share: &Share) -> Vec<Violation> {
    let mut found = Vec::new();
    if is_negative(account.limit.remaining(share.total())) {
        found.push(Violation::AboveLimit(team.clone()));
    }
    let pending: Resources = share.pending.values().copied().sum();
    if !pending.is_empty() {
        found.push(Violation::Unbalanced(team.clone()));
    }
    for controller in share.controllers() {
        let name = controller.as_str();
        if is_negative(share.granted_to(name)) || is_negative(share.target_for(name)) {
            found.push(Violation::NegativeShare(team.clone(), controller));
        }
    }
    for (controller, used) in &account.used {
        if !share.granted_to(controller.as_str()).fits(used) {
            found.push(Violation::Overbooked(team.clone(), controller.clone()));
        }
    }
    found
}
