//! What a team may use, and what of it is its own.

use serde::Deserialize;

use crate::state::records::{Amount, Resources};

/// A team's guarantee and limit. A figure of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamQuota {
    /// The team's name.
    pub name: String,
    /// The CPUs that are guaranteed to it.
    #[serde(default)]
    pub cpus: f64,
    /// The most CPUs that it may use at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// The accelerators that are guaranteed to it.
    #[serde(default)]
    pub gpus: f64,
    /// The most accelerators that it may use at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamQuota {
    /// The most CPUs and accelerators that the team may use at any time;
    /// `None` where there is no limit.
    pub fn limit(&self) -> (Option<Amount>, Option<Amount>) {
        let limit = |figure: f64| (figure > 0.0).then(|| Amount::rounded_down(figure));
        (limit(self.cpus_max), limit(self.gpus_max))
    }

    /// What is guaranteed to the team. Memory is not part of a guarantee.
    pub fn guarantee(&self) -> Resources {
        Resources {
            cpus: Amount::rounded_down(self.cpus),
            gpus: Amount::rounded_down(self.gpus),
            ram: Amount(0),
        }
    }

    /// True when `used` stays within the team's limit.
    pub fn allows(&self, used: &Resources) -> bool {
        let (cpus, gpus) = self.limit();
        cpus.is_none_or(|limit| used.cpus <= limit) && gpus.is_none_or(|limit| used.gpus <= limit)
    }

    /// True when the team is beyond its guarantee by as much as `part`, so that
    /// it still has all of it when that part is taken away.
    pub fn can_lend(&self, used: &Resources, part: &Resources) -> bool {
        let guarantee = self.guarantee();
        let rest = *used - *part;
        let counts_gpus = part.gpus.0 > 0 && guarantee.gpus.0 > 0;
        rest.cpus >= guarantee.cpus || (counts_gpus && rest.gpus >= guarantee.gpus)
    }

    /// True when `used` stays within the team's guarantee. Work that uses
    /// no accelerator is not held against a missing accelerator guarantee.
    pub fn guarantee_covers(&self, used: &Resources) -> bool {
        let guarantee = self.guarantee();
        used.cpus <= guarantee.cpus && used.gpus <= guarantee.gpus
    }
}
