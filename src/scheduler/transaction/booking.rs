//! Bookings of waiting tasks: as many placements as one commit can record.

use std::collections::BTreeSet;

use super::Transaction;
use super::size::TouchedRecords;
use crate::scheduler::plan::TaskPlacement;
use crate::state::records::{Job, Spec};
use crate::wire::JobKind;

impl Transaction<'_> {
    /// Books a job's waiting tasks, and returns how many; none when the commit
    /// is full.
    pub fn book(&mut self, id: &str, spec: &Spec, placements: &[TaskPlacement]) -> usize {
        let placements = self.bookable(id, spec, placements);
        if placements.is_empty() {
            return 0;
        }
        // Safety 7: no task starts before all dependencies of its job are done. That
        // is final, so this replica, which the commit is decided on, can only be
        // late in knowing it; what is launched follows from bookings alone.
        if !self.replica.dependencies_done(spec) {
            return 0;
        }
        let admitted = self.admit(id, spec, &placements);
        let placements = &placements[..admitted];
        if placements.is_empty() || !self.book_in_job(id, spec, placements) {
            return 0;
        }
        for placement in placements {
            self.book_in_zone_shard(placement, spec);
        }
        placements.len()
    }

    /// Books the placements in the job's record; false if there is no such job.
    fn book_in_job(&mut self, id: &str, spec: &Spec, placements: &[&TaskPlacement]) -> bool {
        let share = self.share_to_name(id, spec);
        let Some(job) = self.edit_job(id) else {
            return false;
        };
        if let Some(spec) = &mut job.spec {
            spec.dependencies.clear();
        }
        if share.is_some() {
            job.share = share;
        }
        book(job, spec, placements);
        true
    }

    /// Takes the task's resources from what the zone shard's record has as free.
    fn book_in_zone_shard(&mut self, placement: &TaskPlacement, spec: &Spec) {
        let shard = self.edit_zone_shard(&placement.shard);
        if let Some(slot) = shard.machines.get_mut(&*placement.machine) {
            slot.free -= spec.need;
        }
    }

    /// The placements that this commit can hold: all of a gang's or none, of
    /// other jobs as many as fit. An array may have its placements in more
    /// zone shards than any commit writes: the rest follow, or it would wait for ever.
    fn bookable<'p>(
        &self,
        id: &str,
        spec: &Spec,
        placements: &'p [TaskPlacement],
    ) -> Vec<&'p TaskPlacement> {
        let zone_shards: BTreeSet<&str> = placements.iter().map(|p| &*p.shard).collect();
        let machines: BTreeSet<usize> = placements.iter().map(|p| p.slot_index).collect();
        let all = TouchedRecords {
            job: id,
            team: Some(&spec.team),
            zone_shards: &zone_shards,
            machines: machines.len(),
        };
        if self.has_capacity_for(&all) {
            return placements.iter().collect();
        }
        if spec.is_gang() {
            return Vec::new();
        }
        self.bookable_one_by_one(id, spec, placements)
    }

    /// The placements that the commit can hold if they are added one after another.
    fn bookable_one_by_one<'p>(
        &self,
        id: &str,
        spec: &Spec,
        placements: &'p [TaskPlacement],
    ) -> Vec<&'p TaskPlacement> {
        let mut zone_shards: BTreeSet<&str> = BTreeSet::new();
        let mut machines: BTreeSet<usize> = BTreeSet::new();
        let mut bookable = Vec::new();
        for placement in placements {
            let new_shard = zone_shards.insert(&placement.shard);
            let new_machine = machines.insert(placement.slot_index);
            let with_placement = TouchedRecords {
                job: id,
                team: Some(&spec.team),
                zone_shards: &zone_shards,
                machines: machines.len(),
            };
            if (!new_shard && !new_machine) || self.has_capacity_for(&with_placement) {
                bookable.push(placement);
                continue;
            }
            if new_shard {
                zone_shards.remove(&*placement.shard);
            }
            if new_machine {
                machines.remove(&placement.slot_index);
            }
        }
        bookable
    }
}

/// Books the placements for the job's next waiting tasks. A gang's attempt is new.
/// Tasks that were never started share the first attempt, so that those on one
/// machine share one run in the job's record; those that were get a new one.
pub fn book(job: &mut Job, spec: &Spec, placements: &[&TaskPlacement]) {
    job.has_preempted = false;
    // More replicas follow what has failed only once others run well.
    if spec.kind == JobKind::Service && job.is_suspected_faulty() && job.booked() > 0 {
        job.record_success();
    }
    let retry_attempt = job.attempt.max(1) + 1;
    if spec.is_gang() {
        job.attempt += 1;
    } else {
        job.attempt = job.attempt.max(1);
    }
    for (index, placement) in placements.iter().enumerate() {
        let (task, attempt) = if spec.is_gang() {
            (Some(index as u32), job.attempt)
        } else if let Some(task) = job.retry.pop_first() {
            job.attempt = retry_attempt;
            (Some(task), retry_attempt)
        } else {
            (job.take_unstarted_task(), 1)
        };
        if let Some(task) = task {
            job.book(&placement.machine, &placement.zone, attempt, task);
        }
    }
}
