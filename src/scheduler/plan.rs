//! Free resources as a placement round plans with them: a copy that the round
//! takes places from and gives freed resources back to.

use std::rc::Rc;

use foldhash::HashMap;

use crate::settings::TeamQuota;
use crate::state::records::{Amount, Resources};
use crate::state::replica::{PlanSlot, Replica};

/// Stands for a machine that has no name yet, as it is not rented yet.
pub const UNASSIGNED: u32 = u32::MAX;

/// Free room as a round plans with it: what the replica's bookings leave, less
/// what the round has given out already. Copied often, so it holds no text.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The machines that take work, with what is free on them.
    pub plan_slots: Vec<PlanSlot>,
    /// The index of a machine in `plan_slots`, by the machine's number.
    index: Vec<u32>,
    /// What each team uses.
    pub team_usage: HashMap<String, Resources>,
}

impl Plan {
    /// The plan that a round on this replica starts from.
    pub fn from_replica(replica: &Replica) -> Self {
        let mut plan = Plan {
            plan_slots: replica
                .plan_slots()
                .map(|s| replica.with_free_resources(s))
                .collect(),
            index: vec![UNASSIGNED; replica.machine_names.len()],
            team_usage: replica.teams_used().clone(),
        };
        for (at, slot) in plan.plan_slots.iter().enumerate() {
            plan.index[slot.machine as usize] = at as u32;
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
        let at = *self.index.get(number as usize)?;
        (at != UNASSIGNED).then_some(at as usize)
    }

    /// Adds a machine that is not there yet.
    pub fn add_unassigned(&mut self, class: u32, free: Resources) {
        self.plan_slots.push(PlanSlot {
            machine: UNASSIGNED,
            shard: UNASSIGNED,
            class,
            free,
        });
    }

    /// Takes one task's resources at this place.
    pub fn reserve(&mut self, place: &TaskPlacement, team: &str, need: Resources) {
        self.plan_slots[place.slot_index].free -= need;
        match self.team_usage.get_mut(team) {
            Some(used) => *used += need,
            None => {
                self.team_usage.insert(team.to_string(), need);
            }
        }
    }

    /// Gives back resources that are, or will be, free again.
    pub fn release(&mut self, replica: &Replica, machine: &str, team: &str, room: Resources) {
        match self.slot_index_of(replica, machine) {
            Some(at) => self.release_at(at, team, room),
            None => self.give_team(team, room),
        }
    }

    /// The same where the machine's index among the plan slots is known.
    pub fn release_at(&mut self, at: usize, team: &str, room: Resources) {
        self.plan_slots[at].free += room;
        self.give_team(team, room);
    }

    fn give_team(&mut self, team: &str, room: Resources) {
        if let Some(used) = self.team_usage.get_mut(team) {
            *used -= room;
        }
    }
}

/// One task's place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskPlacement {
    /// The index of the machine in the plan.
    pub slot_index: usize,
    /// The machine's name.
    pub machine: Rc<str>,
    /// The machine's zone.
    pub zone: Rc<str>,
    /// The part of the zone's record that has the machine.
    pub shard: Rc<str>,
}

/// How many more tasks the team's limit lets run.
pub fn tasks_within_quota(terms: &TeamQuota, used: &Resources, need: &Resources) -> usize {
    let (cpus, gpus) = terms.limit();
    let slots = |cap: Option<Amount>, used: i64, need: i64| match cap {
        Some(cap) if need > 0 => ((cap.0 - used).max(0) / need) as usize,
        _ => usize::MAX,
    };
    let by_cpus = slots(cpus, used.cpus.0, need.cpus.0);
    let by_gpus = slots(gpus, used.gpus.0, need.gpus.0);
    by_cpus.min(by_gpus)
}
