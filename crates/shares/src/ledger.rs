//! The accounting at one revision of the state service, and the invariants that it must keep.

use std::collections::BTreeMap;

use resources::{Amount, Resources};

use crate::names::{ControllerName, TeamName};
use crate::records::{Pool, ResourcesByController, Share};

/// The most that a team may use at any time; `None` where there is no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct TeamLimit {
    /// Number of CPUs.
    pub cpus: Option<Amount>,
    /// Number of accelerators.
    pub gpus: Option<Amount>,
}

impl TeamLimit {
    /// Returns the difference between the limit and the amount that the team has; negative
    /// where it has more than the limit.
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

/// The remainder for resources without a limit: more than any fleet has, and small enough
/// that additions to it do not overflow.
const UNLIMITED: i64 = i64::MAX / 4;

/// The accounting of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TeamAccount {
    /// The team's limit.
    pub limit: TeamLimit,
    /// The team's share record, if its bookings are charged to shares.
    pub share: Option<Share>,
    /// The booked resources, by the controller to whose share they are charged.
    pub used: ResourcesByController,
}

impl TeamAccount {
    /// Returns the resources booked against a controller's share.
    pub fn used_by(&self, controller: &str) -> Resources {
        self.used.get(controller).copied().unwrap_or_default()
    }

    /// Returns the resources booked against all shares.
    pub fn total_used(&self) -> Resources {
        self.used.values().copied().sum()
    }

    /// Returns the capacity of a controller's share that is not booked.
    pub fn free(&self, controller: &str) -> Resources {
        let granted = self
            .share
            .as_ref()
            .map(|share| share.granted_to(controller));
        granted.unwrap_or_default() - self.used_by(controller)
    }

    /// Adds an amount, which may be negative, to the resources booked against a
    /// controller's share.
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
    /// The pool, once it has been created.
    pub pool: Option<Pool>,
    /// The resources of the machines on record that count for the pool: those whose removal
    /// also writes the pool (see [`crate::release_machines`]).
    pub machine_capacity: Resources,
    /// The part of `machine_capacity` on machines that are not about to leave.
    pub retained_capacity: Resources,
    /// The amount by which a share grows from the pool, as a multiple of the share's
    /// shortfall, if the pool has as much. Each growth writes the pool, so a factor above 1
    /// saves commits.
    pub growth_factor: u32,
    /// The accounts of the teams.
    pub teams: BTreeMap<TeamName, TeamAccount>,
}

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A team's shares add up to more than its limit.
    #[error("the shares of team {0} add up to more than its limit")]
    AboveLimit(TeamName),
    /// All shares together have more than the machines on record.
    #[error("all shares add up to more than the machines on record")]
    AboveMachines,
    /// The pool's capacity is more than that of the machines on record.
    #[error("the pool's capacity exceeds that of the machines on record")]
    PoolAboveMachines,
    /// The granted amount in the pool's record differs from the sum of the shares.
    #[error("the pool's granted amount is not the sum of the shares")]
    GrantedSumMismatch,
    /// The resources booked against a share exceed the granted amount.
    #[error("bookings exceed the share of controller {1} in team {0}")]
    Overbooked(TeamName, ControllerName),
    /// A granted amount is negative or less than the controller's pending outgoing amount.
    #[error("controller {1} must transfer more of team {0} than it has")]
    NegativeShare(TeamName, ControllerName),
    /// The pending amounts of a team's controllers do not add up to 0.
    #[error("the pending amounts of team {0} do not add up to 0")]
    Unbalanced(TeamName),
}

/// Returns whether an amount is negative in some dimension.
fn is_negative(amount: Resources) -> bool {
    !amount.fits(&Resources::default())
}

impl Ledger {
    /// Returns a team's share record, if its bookings are charged to shares.
    pub(crate) fn share(&self, team: &TeamName) -> Option<&Share> {
        self.teams.get(team)?.share.as_ref()
    }

    /// Returns all violations of the invariants.
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
