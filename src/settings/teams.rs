//! Resource guarantees and limits of teams.

use serde::Deserialize;

use crate::state::records::{Amount, Resources};

/// Guarantee and limit of a team. An amount of 0 means no guarantee or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamQuota {
    /// Name of the team.
    pub name: String,
    /// Number of CPUs that are guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs that the team may use at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of accelerators that are guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of accelerators that the team may use at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamQuota {
    /// Returns the maximum amounts of CPUs and accelerators that the team may use at any
    /// time, with `None` for a resource without a limit.
    pub fn limit(&self) -> (Option<Amount>, Option<Amount>) {
        let limit = |amount: f64| (amount > 0.0).then(|| Amount::rounded_down(amount));
        (limit(self.cpus_max), limit(self.gpus_max))
    }

    /// Returns the resources that are guaranteed to the team. Memory is not guaranteed.
    pub fn guarantee(&self) -> Resources {
        Resources {
            cpus: Amount::rounded_down(self.cpus),
            gpus: Amount::rounded_down(self.gpus),
            ram: Amount(0),
        }
    }

    /// Returns whether `used` is within the team's limit.
    pub fn allows(&self, used: &Resources) -> bool {
        let (cpus, gpus) = self.limit();
        cpus.is_none_or(|limit| used.cpus <= limit) && gpus.is_none_or(|limit| used.gpus <= limit)
    }

    /// Returns whether the team would still use its whole guarantee if `reclaimed` were taken
    /// from the resources `used`. It is sufficient if the team still uses all of its
    /// guaranteed CPUs. If accelerators are guaranteed and among the reclaimed resources, it
    /// is also sufficient if the team still uses all of its guaranteed accelerators.
    pub fn can_lend(&self, used: &Resources, reclaimed: &Resources) -> bool {
        let guarantee = self.guarantee();
        let remaining = *used - *reclaimed;
        let counts_gpus = reclaimed.gpus.0 > 0 && guarantee.gpus.0 > 0;
        remaining.cpus >= guarantee.cpus || (counts_gpus && remaining.gpus >= guarantee.gpus)
    }

    /// Returns whether `used` is within the team's guarantee. A team without guaranteed
    /// accelerators can be within its guarantee as long as it uses none.
    pub fn guarantee_covers(&self, used: &Resources) -> bool {
        let guarantee = self.guarantee();
        used.cpus <= guarantee.cpus && used.gpus <= guarantee.gpus
    }
}
