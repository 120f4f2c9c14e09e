//! Assignment of a job's tasks to machines: the best candidate first, within a cap on the
//! number of tasks in each zone.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::candidates::{MachineCandidates, Score};
use super::plan::{Plan, PlanSlot};
use crate::state::records::Capacity;
use crate::wire::JobKind;

/// Machines that a job's tasks are assigned to.
#[derive(Default)]
pub(super) struct Assignment {
    /// Indices of the machines in the plan, one entry per task.
    pub(super) slot_indices: Vec<usize>,
    /// Sum of the machines' scores, one per task.
    pub(super) score: Score,
}

/// Machine with capacity for a task. The smallest candidate is chosen first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Number of accelerator tasks that would no longer fit on the machine.
    accelerator_slots_lost: i64,
    /// Number of the job's tasks that the machine has been assigned already.
    assigned: i64,
    score: Score,
    /// Index of the machine in the plan.
    slot_index: usize,
}

impl Candidate {
    /// Creates the candidate for a machine that has been assigned `assigned` of the job's
    /// tasks.
    fn new(
        machines: &MachineCandidates,
        slot: &PlanSlot,
        slot_index: usize,
        assigned: i64,
    ) -> Self {
        let score = machines.score(slot);
        Candidate {
            accelerator_slots_lost: score.accelerator_slots_lost(),
            assigned,
            score,
            slot_index,
        }
    }
}

/// Assigns at most `limit` tasks to machines, best machine first, within the task cap of
/// each zone.
///
/// Replicas of a service are spread over zones and machines as far as possible; other
/// tasks fill the best machine before the next one.
pub(super) fn assign(
    machines: &MachineCandidates,
    plan: &Plan,
    zone_caps: &[usize],
    limit: usize,
) -> Assignment {
    let mut assigner = Assigner {
        machines,
        plan,
        limit,
        zones: ZoneCandidates::new(machines, plan, zone_caps),
        assignment: Assignment::default(),
    };
    while assigner.assignment.slot_indices.len() < limit {
        let Some((zone, candidate)) = assigner.zones.pop_best() else {
            break;
        };
        assigner.assign_to_machine(zone, candidate);
    }
    assigner.assignment
}

/// State of an assignment that is being built.
struct Assigner<'a> {
    machines: &'a MachineCandidates<'a>,
    plan: &'a Plan,
    /// Maximum number of tasks to assign.
    limit: usize,
    zones: ZoneCandidates,
    assignment: Assignment,
}

impl Assigner<'_> {
    /// Assigns tasks to a machine: one replica of a service, or as many tasks of other
    /// jobs as the machine has capacity for.
    fn assign_to_machine(&mut self, zone: usize, candidate: Candidate) {
        let spec = self.machines.spec;
        let is_service = spec.kind == JobKind::Service;
        let task = Capacity::of_task(&spec.need);
        let mut slot = self.plan.plan_slots[candidate.slot_index];
        for _ in 0..candidate.assigned {
            slot.free -= task;
        }
        loop {
            self.assignment.score.add(&candidate.score);
            self.assignment.slot_indices.push(candidate.slot_index);
            slot.free -= task;
            self.zones.count_assigned(zone);
            let has_capacity = self.assignment.slot_indices.len() < self.limit
                && self.zones.caps[zone] > 0
                && self.machines.accepts_task(&slot);
            if is_service || !has_capacity {
                break;
            }
        }
        if is_service && self.machines.accepts_task(&slot) {
            let assigned = candidate.assigned + 1;
            let next = Candidate::new(self.machines, &slot, candidate.slot_index, assigned);
            self.zones.push(zone, next);
        }
    }
}

/// Sort key of the zones by their best candidates; the smallest is chosen first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneOrder {
    accelerator_slots_lost: i64,
    /// Number of tasks assigned in the zone, or 0 if the tasks are not spread over zones.
    assigned_in_zone: i64,
    assigned_to_machine: i64,
    score: Score,
    zone: usize,
}

/// Candidates of each zone, in one heap per zone with the best machine on top.
struct ZoneCandidates {
    heaps: Vec<BinaryHeap<Reverse<Candidate>>>,
    /// Number of further tasks that each zone may get.
    caps: Vec<usize>,
    /// Number of tasks that each zone has been assigned.
    assigned: Vec<i64>,
    /// True if zones that were assigned fewer tasks are preferred.
    spread: bool,
}

impl ZoneCandidates {
    fn new(machines: &MachineCandidates, plan: &Plan, caps: &[usize]) -> Self {
        let mut candidates: Vec<Vec<Reverse<Candidate>>> = vec![Vec::new(); caps.len()];
        for (index, slot) in plan.plan_slots.iter().enumerate() {
            let zone = machines.class(slot).zone;
            if caps.get(zone).is_some_and(|cap| *cap > 0) && machines.accepts_task(slot) {
                let candidate = Candidate::new(machines, slot, index, 0);
                candidates[zone].push(Reverse(candidate));
            }
        }
        ZoneCandidates {
            heaps: candidates.into_iter().map(BinaryHeap::from).collect(),
            caps: caps.to_vec(),
            assigned: vec![0; caps.len()],
            spread: machines.spec.kind == JobKind::Service,
        }
    }

    /// Removes the best candidate of all zones and returns it with its zone.
    fn pop_best(&mut self) -> Option<(usize, Candidate)> {
        let zones = (0..self.heaps.len()).filter(|zone| self.caps[*zone] > 0);
        let best = zones.filter_map(|zone| self.zone_order(zone)).min()?;
        let Reverse(candidate) = self.heaps[best.zone].pop()?;
        Some((best.zone, candidate))
    }

    fn zone_order(&self, zone: usize) -> Option<ZoneOrder> {
        let Reverse(candidate) = self.heaps[zone].peek()?;
        Some(ZoneOrder {
            accelerator_slots_lost: candidate.accelerator_slots_lost,
            assigned_in_zone: if self.spread { self.assigned[zone] } else { 0 },
            assigned_to_machine: candidate.assigned,
            score: candidate.score,
            zone,
        })
    }

    /// Counts one more task as assigned in the zone.
    fn count_assigned(&mut self, zone: usize) {
        self.assigned[zone] += 1;
        self.caps[zone] -= 1;
    }

    fn push(&mut self, zone: usize, candidate: Candidate) {
        self.heaps[zone].push(Reverse(candidate));
    }
}
