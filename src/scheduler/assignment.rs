//! The assignment of a job's tasks to machines: the best candidate first, under a cap
//! on the tasks in each zone.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::candidates::{MachineCandidates, Score};
use super::plan::Plan;
use crate::state::replica::PlanSlot;
use crate::wire::JobKind;

/// The machines that tasks of a job are assigned to.
#[derive(Default)]
pub(super) struct Assignment {
    /// One entry a task: the index of its machine in the plan.
    pub(super) slot_indices: Vec<usize>,
    /// The sum of the machines' scores.
    pub(super) score: Score,
}

/// A machine with capacity for a task. The order is that of the choice: the least
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// How many tasks on accelerators lose their place.
    accelerator_slots_lost: i64,
    /// How many tasks of the job the machine has been assigned already.
    assigned: i64,
    score: Score,
    /// The index of the machine in the plan.
    slot_index: usize,
}

impl Candidate {
    /// The machine as a candidate after it was assigned that many tasks.
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

/// Assigns tasks one by one in the zones with a cap, best machines first; at most
/// `limit`.
///
/// Replicas go to different zones and machines while there are some; other
/// tasks fill the best machine first.
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

/// An assignment in the making.
struct Assigner<'a> {
    machines: &'a MachineCandidates<'a>,
    plan: &'a Plan,
    /// The most tasks that are assigned.
    limit: usize,
    zones: ZoneCandidates,
    assignment: Assignment,
}

impl Assigner<'_> {
    /// Assigns tasks to a machine. Its capacity is used up before the next machine is
    /// looked at, but for replicas, of which it gets one at a time.
    fn assign_to_machine(&mut self, zone: usize, candidate: Candidate) {
        let spec = self.machines.spec;
        let is_service = spec.kind == JobKind::Service;
        let mut slot = self.plan.plan_slots[candidate.slot_index];
        for _ in 0..candidate.assigned {
            slot.free -= spec.need;
        }
        loop {
            self.assignment.score.add(&candidate.score);
            self.assignment.slot_indices.push(candidate.slot_index);
            slot.free -= spec.need;
            self.zones.count_assigned(zone);
            let more = self.assignment.slot_indices.len() < self.limit
                && self.zones.caps[zone] > 0
                && self.machines.accepts_task(&slot);
            if is_service || !more {
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

/// What makes one zone's best candidate better than another's: the least first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneOrder {
    accelerator_slots_lost: i64,
    /// How many tasks the zone has been assigned, if they are to be spread.
    assigned_in_zone: i64,
    assigned_to_machine: i64,
    score: Score,
    zone: usize,
}

/// The candidates by zone: a heap for each, the best machine on top.
struct ZoneCandidates {
    heaps: Vec<BinaryHeap<Reverse<Candidate>>>,
    /// How many more tasks each zone may take.
    caps: Vec<usize>,
    /// How many tasks each zone has been assigned.
    assigned: Vec<i64>,
    /// Zones that were assigned fewer tasks come first.
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

    /// Takes the best candidate of all zones, and returns it with its zone.
    fn pop_best(&mut self) -> Option<(usize, Candidate)> {
        let zones = (0..self.heaps.len()).filter(|zone| self.caps[*zone] > 0);
        let best = zones.filter_map(|zone| self.order(zone)).min()?;
        let Reverse(candidate) = self.heaps[best.zone].pop()?;
        Some((best.zone, candidate))
    }

    fn order(&self, zone: usize) -> Option<ZoneOrder> {
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
