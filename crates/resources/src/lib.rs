//! Processors, accelerators and memory in whole thousandths.

#![warn(missing_docs, unreachable_pub, clippy::expect_used)]

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// A thousandth of a unit. Whole numbers, so that every controller adds up to
/// the same figure.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(pub i64);

impl Amount {
    /// What a task needs: rounded up.
    pub fn rounded_up(units: f64) -> Self {
        Amount((units * 1000.0 - 1e-6).ceil().max(0.0) as i64)
    }
    /// What a machine or a limit gives: rounded down.
    pub fn rounded_down(units: f64) -> Self {
        Amount((units * 1000.0 + 1e-6).floor().max(0.0) as i64)
    }
    /// The amount in whole units, as people write it.
    pub fn units(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// Resources of a machine: what a task needs, what is free, or what is used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    #[serde(rename = "c")]
    pub cpus: Amount,
    /// Accelerators.
    #[serde(rename = "g")]
    pub gpus: Amount,
    /// Memory, in GB.
    #[serde(rename = "m")]
    pub ram: Amount,
}

impl Resources {
    /// Whether it is nothing at all.
    pub fn is_empty(&self) -> bool {
        *self == Resources::default()
    }

    /// Whether a task that needs this much fits into it.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus && need.gpus <= self.gpus && need.ram <= self.ram
    }

    /// The resources of so many equal tasks.
    pub fn times(&self, count: usize) -> Resources {
        self.scaled(count as i64)
    }

    /// As `times`, with a sign.
    pub fn scaled(&self, factor: i64) -> Resources {
        Resources {
            cpus: Amount(self.cpus.0.saturating_mul(factor)),
            gpus: Amount(self.gpus.0.saturating_mul(factor)),
            ram: Amount(self.ram.0.saturating_mul(factor)),
        }
    }

    /// The smaller of the two in each dimension.
    pub fn min(&self, other: &Resources) -> Resources {
        self.combine(other, i64::min)
    }

    /// The larger of the two in each dimension.
    pub fn max(&self, other: &Resources) -> Resources {
        self.combine(other, i64::max)
    }

    /// What is above nothing in each dimension.
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

    /// How many tasks of `need` fit at once.
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
