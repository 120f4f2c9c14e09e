//! Amounts of CPUs, accelerators and memory, in whole thousandths of a unit.

#![warn(missing_docs, unreachable_pub, clippy::expect_used)]

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount in thousandths of a unit. Whole numbers make every controller compute
/// identical sums.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(pub i64);

impl Amount {
    /// Converts a task's need from whole units, rounding up.
    pub fn rounded_up(units: f64) -> Self {
        Amount((units * 1000.0 - 1e-6).ceil().max(0.0) as i64)
    }
    /// Converts the capacity of a machine or a limit from whole units, rounding down.
    pub fn rounded_down(units: f64) -> Self {
        Amount((units * 1000.0 + 1e-6).floor().max(0.0) as i64)
    }
    /// Returns the amount in whole units, as people write it.
    pub fn units(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// Resources of a machine or a task: needed, free or used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Number of CPUs.
    #[serde(rename = "c")]
    pub cpus: Amount,
    /// Number of accelerators.
    #[serde(rename = "g")]
    pub gpus: Amount,
    /// Memory, in GB.
    #[serde(rename = "m")]
    pub ram: Amount,
}

impl Resources {
    /// Returns whether all amounts are 0.
    pub fn is_empty(&self) -> bool {
        *self == Resources::default()
    }

    /// Returns whether a task with this need fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus && need.gpus <= self.gpus && need.ram <= self.ram
    }

    /// Returns the resources of `count` equal tasks.
    pub fn times(&self, count: usize) -> Resources {
        self.scaled(count as i64)
    }

    /// Returns the resources multiplied by a factor, which may be negative.
    pub fn scaled(&self, factor: i64) -> Resources {
        Resources {
            cpus: Amount(self.cpus.0.saturating_mul(factor)),
            gpus: Amount(self.gpus.0.saturating_mul(factor)),
            ram: Amount(self.ram.0.saturating_mul(factor)),
        }
    }

    /// Returns the smaller amount of the two in each dimension.
    pub fn min(&self, other: &Resources) -> Resources {
        self.combine(other, i64::min)
    }

    /// Returns the larger amount of the two in each dimension.
    pub fn max(&self, other: &Resources) -> Resources {
        self.combine(other, i64::max)
    }

    /// Returns the resources with negative amounts replaced by 0.
    pub fn positive(&self) -> Resources {
        self.max(&Resources::default())
    }

    fn combine(&self, other: &Resources, operation: impl Fn(i64, i64) -> i64) -> Resources {
        Resources {
            cpus: Amount(operation(self.cpus.0, other.cpus.0)),
            gpus: Amount(operation(self.gpus.0, other.gpus.0)),
            ram: Amount(operation(self.ram.0, other.ram.0)),
        }
    }

    /// Returns the number of tasks with this need that fit at the same time.
    pub fn slots(&self, need: &Resources) -> usize {
        let part = |have: Amount, want: Amount| {
            if want.0 <= 0 {
                usize::MAX
            } else {
                (have.0.max(0) / want.0) as usize
            }
        };
        part(self.cpus, need.cpus)
            .min(part(self.gpus, need.gpus))
            .min(part(self.ram, need.ram))
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: Amount(self.cpus.0 + other.cpus.0),
            gpus: Amount(self.gpus.0 + other.gpus.0),
            ram: Amount(self.ram.0 + other.ram.0),
        }
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: Amount(self.cpus.0 - other.cpus.0),
            gpus: Amount(self.gpus.0 - other.gpus.0),
            ram: Amount(self.ram.0 - other.ram.0),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}

impl Sum for Resources {
    fn sum<I: Iterator<Item = Resources>>(parts: I) -> Resources {
        parts.fold(Resources::default(), Add::add)
    }
}
