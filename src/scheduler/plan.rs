//! Free resources as a placement round plans with them: a copy in which the round
//! reserves placements and releases freed resources.

use std::rc::Rc;

use foldhash::HashMap;

use crate::settings::TeamQuota;
use crate::state::records::{Amount, Resources};
use crate::state::replica::{PlanSlot, Replica};

/// Stands for a machine that has no name yet, as it is not provisioned yet.
pub(super) const UNASSIGNED: u32 = u32::MAX;

/// Free capacity as a round plans with it: what the replica's bookings leave, less
/// what the round has given out already. Copied often, so it holds no text.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The machines that take work, with what is free on them.
    pub plan_slots: Vec<PlanSlot>,
    /// The index of a machine in `plan_slots`, by the machine's number.
    slot_index_by_machine: Vec<u32>,
    /// What each team uses.
    pub team_usage: HashMap<String, Resources>,
}

impl Plan {
    /// The plan that a round on this replica starts from.
    pub fn from_replica(replica: &Replica) -> Self {
        let mut plan = Plan {
            plan_slots: replica
                .plan_slots()
                .map(|slot| replica.with_free_resources(slot))
                .collect(),
            slot_index_by_machine: vec![UNASSIGNED; replica.machine_names.len()],
            team_usage: replica.teams_used().clone(),
        };
        for (index, slot) in plan.plan_slots.iter().enumerate() {
            plan.slot_index_by_machine[slot.machine as usize] = index as u32;
        }
        plan
    }

    /// What a team uses.
    pub fn team_used(&self, team: &str) -> Resources {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// The index of a machine among the plan slots, if it takes work.
    pub fn slot_index_of(&self, replica: &Replica, machine: &str) -> Option<usize> {
        let number = replica.machine_names.find(machine)?;
        let index = *self.slot_index_by_machine.get(number as usize)?;
        (index != UNASSIGNED).then_some(index as usize)
    }

    /// Adds a machine of this class that is not provisioned yet.
    pub fn add_unassigned(&mut self, class: u32, free: Resources) {
        self.plan_slots.push(PlanSlot {
            machine: UNASSIGNED,
            shard: UNASSIGNED,
            class,
            free,
        });
    }

    /// Reserves one task's resources for this placement.
    pub fn reserve(&mut self, placement: &TaskPlacement, team: &str, need: Resources) {
        self.plan_slots[placement.slot_index].free -= need;
        match self.team_usage.get_mut(team) {
            Some(used) => *used += need,
            None => {
                self.team_usage.insert(team.to_string(), need);
            }
        }
    }

    /// Gives back resources that are, or will be, free again.
    pub fn release(&mut self, replica: &Replica, machine: &str, team: &str, freed: Resources) {
        match self.slot_index_of(replica, machine) {
            Some(slot_index) => self.release_at(slot_index, team, freed),
            None => self.release_team_usage(team, freed),
        }
    }

    /// The same where the machine's index among the plan slots is known.
    pub fn release_at(&mut self, slot_index: usize, team: &str, freed: Resources) {
        self.plan_slots[slot_index].free += freed;
        self.release_team_usage(team, freed);
    }

    fn release_team_usage(&mut self, team: &str, freed: Resources) {
        if let Some(used) = self.team_usage.get_mut(team) {
            *used -= freed;
        }
    }
}

/// The machine that one task is placed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskPlacement {
    /// The index of the machine in the plan.
    pub slot_index: usize,
    /// The machine's name.
    pub machine: Rc<str>,
    /// The machine's zone.
    pub zone: Rc<str>,
    /// The zone shard whose record has the machine.
    pub shard: Rc<str>,
}

/// How many more tasks the team's quota lets run.
pub fn tasks_within_quota(quota: &TeamQuota, used: &Resources, need: &Resources) -> usize {
    let (max_cpus, max_gpus) = quota.limit();
    let tasks = |limit: Option<Amount>, used: i64, need: i64| match limit {
        Some(limit) if need > 0 => ((limit.0 - used).max(0) / need) as usize,
        _ => usize::MAX,
    };
    let by_cpus = tasks(max_cpus, used.cpus.0, need.cpus.0);
    let by_gpus = tasks(max_gpus, used.gpus.0, need.gpus.0);
    by_cpus.min(by_gpus)
}
