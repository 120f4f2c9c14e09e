//! Capacity that is reserved for a gang which has waited too long.

use super::candidates::MachineCandidates;
use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::Plan;
use crate::state::records::Spec;
use crate::state::replica::PlanSlot;

/// Keeps the resources that a gang waits for, in the zone that has the most of
/// them, from what comes behind it in the queue. Machines that hold none of its
/// tasks yet are left to others: a reservation would not free them any sooner.
pub fn reserve_capacity(spec: &Spec, plan: &mut Plan, hints: &PlacementHints) {
    let candidates = MachineCandidates::new(spec, hints, AcceleratorProtection::Strict);
    let zones = hints.replica.zone_names.len();
    let Some(best) = zone_with_most_slots(&candidates, plan, zones) else {
        return;
    };
    let mut left = spec.tasks as usize;
    for slot in &mut plan.plan_slots {
        let class = candidates.class(slot);
        while left > 0 && class.allowed && class.zone == best && slot.free.fits(&spec.need) {
            slot.free -= spec.need;
            left -= 1;
        }
    }
}

/// The zone whose machines have capacity for most of the tasks, if any has for one.
fn zone_with_most_slots(
    candidates: &MachineCandidates,
    plan: &Plan,
    zones: usize,
) -> Option<usize> {
    let mut slots = vec![0; zones];
    let allowed = |slot: &&PlanSlot| candidates.class(slot).allowed;
    for slot in plan.plan_slots.iter().filter(allowed) {
        slots[candidates.class(slot).zone] += slot.free.slots(&candidates.spec.need);
    }
    let best = (0..zones).max_by_key(|zone| slots[*zone]);
    best.filter(|zone| slots[*zone] > 0)
}
