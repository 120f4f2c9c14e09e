//! The placements of a round as bookings of its transaction.

use super::{JobPlacement, Round};
use crate::scheduler::wait_states::WaitReason;
use crate::wire::JobKind;

impl Round<'_> {
    /// Books the placements, and returns how many jobs got any of theirs. Each has
    /// its resources by the queue's order; but into the transaction go first
    /// those whose tasks stay or start together: arrays come back with every
    /// termination, and would fill one after another while whole machines stand empty.
    /// Those of a pipeline are few, and the rest of it follows.
    pub(super) fn book_placements(&mut self, terminations_first: bool) -> usize {
        let mut placements = std::mem::take(&mut self.placements);
        placements.sort_by_key(|placement| self.is_plain_array(placement));
        self.state.gangs_deferred = false;
        let mut admitted = 0;
        for placement in &placements {
            let JobPlacement { id, spec, tasks } = placement;
            let booked = self.transaction.book(id, spec, tasks);
            if booked < tasks.len() {
                // The rest go into the next commit, every other time before
                // terminations.
                self.state.gangs_deferred |= terminations_first && spec.kind != JobKind::Array;
                self.record_wait_reason(id, WaitReason::Queue);
            }
            if booked > 0 {
                admitted += 1;
                self.report_booking(placement, booked);
            }
        }
        admitted
    }

    /// Whether the job is an array that is not a part of a pipeline.
    fn is_plain_array(&self, placement: &JobPlacement) -> bool {
        placement.spec.kind == JobKind::Array
            && placement.spec.dependencies.is_empty()
            && !self.replica.has_dependents(placement.id)
    }

    /// Logs a booking, and records why the rest of the job waits.
    fn report_booking(&mut self, placement: &JobPlacement, booked: usize) {
        let JobPlacement { id, spec, tasks } = placement;
        let class = self.plan.plan_slots[tasks[0].slot_index].class;
        tracing::debug!(
            job = id,
            class = spec.class,
            tasks = booked,
            machine = &*tasks[0].machine,
            kind = self.replica.classes[class as usize].kind,
            "tasks booked"
        );
        let job = self.transaction.job(id);
        if job.is_none_or(|job| job.waiting() == 0) {
            self.controller.placement.clear_wait_reason(id);
        } else if booked == tasks.len() && job.is_some_and(|job| !job.is_suspected_faulty()) {
            self.blocked.push((*id).to_string());
            self.record_wait_reason(id, WaitReason::NoRoom);
        }
    }

    fn record_wait_reason(&self, id: &str, reason: WaitReason) {
        let placement = &self.controller.placement;
        placement.record_wait_reason(id, reason, self.now);
    }
}
