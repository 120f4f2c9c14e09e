//! Reservation of capacity for a gang that has waited longer than the starvation
//! threshold.

use super::candidates::MachineCandidates;
use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::{Plan, PlanSlot};
use crate::state::records::{Capacity, JobSpec};

/// Reserves free capacity for a waiting gang in the zone that has capacity for the most of
/// its tasks, so that jobs behind the gang in the queue do not use it. Machines
/// without capacity for any of the gang's tasks are not reserved: a reservation would not
/// free them any sooner.
pub fn reserve_capacity(spec: &JobSpec, plan: &mut Plan, hints: &PlacementHints) {
    let candidates = MachineCandidates::new(spec, hints, AcceleratorProtection::Strict);
    let zones = hints.replica.zone_names.len();
    let Some(best) = zone_with_most_slots(&candidates, plan, zones) else {
        return;
    };
    let mut unreserved_tasks = spec.tasks as usize;
    for slot in &mut plan.plan_slots {
        let class = candidates.class(slot);
        while unreserved_tasks > 0
            && class.allowed
            && class.zone == best
            && slot.free.fits_task(&spec.need)
        {
            slot.free -= Capacity::of_task(&spec.need);
            unreserved_tasks -= 1;
        }
    }
}

/// Returns the zone whose machines have capacity for the most tasks, or `None` if no zone
/// has capacity for a task.
fn zone_with_most_slots(
    candidates: &MachineCandidates,
    plan: &Plan,
    zones: usize,
) -> Option<usize> {
    let mut slots = vec![0; zones];
    let allowed = |slot: &&PlanSlot| candidates.class(slot).allowed;
    for slot in plan.plan_slots.iter().filter(allowed) {
        slots[candidates.class(slot).zone] += slot.free.task_slots(&candidates.spec.need);
    }
    let best = (0..zones).max_by_key(|zone| slots[*zone]);
    best.filter(|zone| slots[*zone] > 0)
}
