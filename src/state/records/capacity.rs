//! Defines the capacity of a machine: what its tasks share.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use resources::Resources;

use crate::wire::{MAX_TASKS_PER_MESSAGE, MachineType};

/// Capacity of a machine or a part of it: free, or taken by tasks. Besides the resources it
/// contains the number of tasks, which is limited because the machine's worker has to list
/// all of them in one message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Resources of the tasks.
    pub resources: Resources,
    /// Number of tasks, which is negative for the free capacity of a machine with too many.
    pub tasks: i64,
}

impl Capacity {
    /// Returns the capacity that one task with this need takes.
    pub fn of_task(need: &Resources) -> Self {
        Capacity::of_tasks(need, 1)
    }

    /// Returns the capacity that `count` equal tasks take.
    pub fn of_tasks(need: &Resources, count: usize) -> Self {
        Capacity {
            resources: need.times(count),
            tasks: count as i64,
        }
    }

    /// Returns whether a task with this need fits into the capacity.
    pub fn fits_task(&self, need: &Resources) -> bool {
        self.tasks > 0 && self.resources.fits(need)
    }

    /// Returns the number of tasks with this need that fit at the same time.
    pub fn task_slots(&self, need: &Resources) -> usize {
        let slots = usize::try_from(self.tasks).unwrap_or(0);
        slots.min(self.resources.slots(need))
    }
}

impl MachineType {
    /// Returns the capacity of a machine of this type.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            resources: self.resources(),
            tasks: MAX_TASKS_PER_MESSAGE as i64,
        }
    }
}

impl Add for Capacity {
    type Output = Capacity;
    fn add(self, other: Capacity) -> Capacity {
        Capacity {
            resources: self.resources + other.resources,
            tasks: self.tasks + other.tasks,
        }
    }
}

impl Sub for Capacity {
    type Output = Capacity;
    fn sub(self, other: Capacity) -> Capacity {
        Capacity {
            resources: self.resources - other.resources,
            tasks: self.tasks - other.tasks,
        }
    }
}

impl AddAssign for Capacity {
    fn add_assign(&mut self, other: Capacity) {
        *self = *self + other;
    }
}

impl SubAssign for Capacity {
    fn sub_assign(&mut self, other: Capacity) {
        *self = *self - other;
    }
}
