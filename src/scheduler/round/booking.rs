//! Bookings of the placements that a round has found.

use super::{JobPlacement, Round};
use crate::scheduler::wait_states::WaitReason;
use crate::wire::JobKind;

impl Round<'_> {
    /// Books the placements in the transaction, and returns the number of jobs with
    /// bookings.
    ///
    /// Resources were reserved in queue order, but the transaction is filled in a
    /// different order: gangs, services and arrays in pipelines first, all other arrays
    /// last. Otherwise the arrays, which return to the queue with every termination, would
    /// fill one transaction after another while whole machines stay empty. Arrays in
    /// pipelines come early as they are few and other jobs of the pipeline depend on them.
    pub(super) fn book_placements(&mut self, terminations_first: bool) -> usize {
        let mut placements = std::mem::take(&mut self.placements);
        placements.sort_by_key(|placement| self.is_plain_array(placement));
        self.state.gangs_deferred = false;
        let mut admitted = 0;
        for placement in &placements {
            let JobPlacement { id, spec, tasks } = placement;
            let booked = self.transaction.book(id, spec, tasks);
            if booked < tasks.len() {
                // The remaining placements are booked by later commits. If terminations
                // took the space of gangs or services in this commit, the next round adds
                // bookings first and clears the flag, so the two orders alternate.
                self.state.gangs_deferred |= terminations_first && spec.kind != JobKind::Array;
                self.record_wait_reason(id, WaitReason::CommitFull);
            }
            if booked > 0 {
                admitted += 1;
                self.report_booking(placement, booked);
            }
        }
        admitted
    }

    /// Returns whether the job is an array that is not part of a pipeline.
    fn is_plain_array(&self, placement: &JobPlacement) -> bool {
        placement.spec.kind == JobKind::Array
            && placement.spec.dependencies.is_empty()
            && !self.replica.has_dependents(placement.id)
    }

    /// Logs a booking, and records why the remaining tasks of the job wait.
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
        if job.is_none_or(|job| job.waiting_count() == 0) {
            self.controller.placement.clear_wait_reason(id);
        } else if booked == tasks.len() && job.is_some_and(|job| !job.is_suspected_faulty()) {
            self.blocked.push((*id).to_string());
            self.record_wait_reason(id, WaitReason::NoCapacity);
        }
    }

    fn record_wait_reason(&self, id: &str, reason: WaitReason) {
        let placement = &self.controller.placement;
        placement.record_wait_reason(id, reason, self.now);
    }
}
