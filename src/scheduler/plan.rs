//! Plan of free capacity: the copy of the replica's free capacity in which a placement round
//! reserves placements and releases what has become free.

use std::rc::Rc;

use foldhash::HashMap;

use crate::settings::TeamQuota;
use crate::state::records::{Amount, Capacity, Resources};
use crate::state::replica::{PlaceableMachine, Replica};
use crate::wire::MachineType;

/// Machine and zone shard number of a machine that is not provisioned yet, and index of a
/// machine that is not in the plan.
pub(super) const UNASSIGNED: u32 = u32::MAX;

/// Machine in a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanSlot {
    /// Number of the machine in `Replica::machine_names`, or `UNASSIGNED`.
    pub machine: u32,
    /// Number of the machine's zone shard in `Replica::zone_shard_names`, or `UNASSIGNED`.
    pub shard: u32,
    /// Number of the machine's class in `Replica::classes`.
    pub class: u32,
    /// Free capacity that the plan has not reserved.
    pub free: Capacity,
}

impl PlanSlot {
    /// Creates the slot of a machine with the capacity that its bookings leave.
    fn new(replica: &Replica, machine: &PlaceableMachine) -> Self {
        PlanSlot {
            machine: machine.machine,
            shard: machine.shard,
            class: machine.class,
            free: replica.free_capacity(machine),
        }
    }
}

/// Free capacity that a round plans with: what the bookings in the replica leave, less what
/// the round has already reserved. Plans are cloned often, so the plan
/// slots contain numbers instead of names.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Machines that accept tasks, with their free capacity.
    pub plan_slots: Vec<PlanSlot>,
    /// Index of each machine in `plan_slots`, by machine number; `UNASSIGNED` if the
    /// machine accepts no tasks.
    slot_index_by_machine: Vec<u32>,
    /// Resources in use by each team.
    pub team_usage: HashMap<String, Resources>,
}

impl Plan {
    /// Creates the plan that a round on this replica starts from.
    pub fn from_replica(replica: &Replica) -> Self {
        let mut plan = Plan {
            plan_slots: replica
                .placeable_machines()
                .map(|machine| PlanSlot::new(replica, machine))
                .collect(),
            slot_index_by_machine: vec![UNASSIGNED; replica.machine_names.len()],
            team_usage: replica.teams_used().clone(),
        };
        for (index, slot) in plan.plan_slots.iter().enumerate() {
            plan.slot_index_by_machine[slot.machine as usize] = index as u32;
        }
        plan
    }

    /// Returns a copy of the plan in which all machines are empty, and no team uses anything.
    pub fn emptied(&self, replica: &Replica) -> Plan {
        let mut plan = self.clone();
        plan.team_usage.clear();
        for slot in &mut plan.plan_slots {
            let machine_type = replica.class_type(&replica.classes[slot.class as usize]);
            slot.free = machine_type.map_or(Capacity::default(), MachineType::capacity);
        }
        plan
    }

    /// Returns the resources that a team uses.
    pub fn team_used(&self, team: &str) -> Resources {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Returns the index of a machine in `plan_slots`, or `None` if the machine accepts no
    /// tasks.
    pub fn slot_index_of(&self, replica: &Replica, machine: &str) -> Option<usize> {
        let number = replica.machine_names.find(machine)?;
        let index = *self.slot_index_by_machine.get(number as usize)?;
        (index != UNASSIGNED).then_some(index as usize)
    }

    /// Adds a machine of this class that is not provisioned yet.
    pub fn add_unassigned(&mut self, class: u32, free: Capacity) {
        self.plan_slots.push(PlanSlot {
            machine: UNASSIGNED,
            shard: UNASSIGNED,
            class,
            free,
        });
    }

    /// Reserves one task's capacity for this placement.
    pub fn reserve(&mut self, placement: &TaskPlacement, team: &str, need: Resources) {
        self.plan_slots[placement.slot_index].free -= Capacity::of_task(&need);
        match self.team_usage.get_mut(team) {
            Some(used) => *used += need,
            None => {
                self.team_usage.insert(team.to_string(), need);
            }
        }
    }

    /// Releases capacity that a team's tasks have used on a machine, or will soon stop using:
    /// adds it to the machine's free capacity and subtracts its resources from the team's
    /// usage. If the machine is not in the plan, only the team's usage changes.
    pub fn release(&mut self, replica: &Replica, machine: &str, team: &str, freed: Capacity) {
        match self.slot_index_of(replica, machine) {
            Some(slot_index) => self.release_at(slot_index, team, freed),
            None => self.release_team_usage(team, freed.resources),
        }
    }

    /// Releases capacity like [`Self::release`], on the machine with this index in
    /// `plan_slots`.
    pub fn release_at(&mut self, slot_index: usize, team: &str, freed: Capacity) {
        self.plan_slots[slot_index].free += freed;
        self.release_team_usage(team, freed.resources);
    }

    fn release_team_usage(&mut self, team: &str, freed: Resources) {
        if let Some(used) = self.team_usage.get_mut(team) {
            *used -= freed;
        }
    }
}

/// Machine that one task is placed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskPlacement {
    /// Index of the machine in the plan.
    pub slot_index: usize,
    /// Name of the machine.
    pub machine: Rc<str>,
    /// Zone of the machine.
    pub zone: Rc<str>,
    /// Id of the zone shard whose record contains the machine.
    pub shard: Rc<str>,
}

/// Returns the number of further tasks that the team's quota allows to run.
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
