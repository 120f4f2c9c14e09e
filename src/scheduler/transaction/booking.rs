//! Bookings of waiting tasks, for as many placements as one commit can record.

use std::collections::BTreeSet;

use super::Transaction;
use super::size::TouchedRecords;
use crate::scheduler::plan::TaskPlacement;
use crate::state::records::{Job, JobSpec};
use crate::wire::JobKind;

impl Transaction<'_> {
    /// Books a job's waiting tasks, and returns the number of booked tasks, which is 0 if
    /// the commit is full.
    pub fn book(&mut self, id: &str, spec: &JobSpec, placements: &[TaskPlacement]) -> usize {
        let placements = self.bookable(id, spec, placements);
        if placements.is_empty() {
            return 0;
        }
        // Safety 7: no task starts before all dependencies of its job are done. A
        // dependency that is done stays done, so a stale replica, on which the commit is
        // decided, can only delay the booking. Tasks are launched only if they are booked.
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

    /// Books the placements in the job's record. Returns false if there is no such job.
    fn book_in_job(&mut self, id: &str, spec: &JobSpec, placements: &[&TaskPlacement]) -> bool {
        let share = self.share_to_record(id, spec);
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

    /// Subtracts the task's resources from the machine's free resources in the zone
    /// shard's record.
    fn book_in_zone_shard(&mut self, placement: &TaskPlacement, spec: &JobSpec) {
        let shard = self.edit_zone_shard(&placement.shard);
        if let Some(slot) = shard.machines.get_mut(&*placement.machine) {
            slot.free -= spec.need;
        }
    }

    /// Returns the placements that this commit has capacity for: all or none for a gang,
    /// as many as fit for other jobs. An array can have placements in more zone shards
    /// than any single commit can write; the remaining placements are booked by later
    /// commits, as the array would otherwise wait forever.
    fn bookable<'p>(
        &self,
        id: &str,
        spec: &JobSpec,
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

    /// Returns the placements that the commit has capacity for if they are added one after
    /// another.
    fn bookable_one_by_one<'p>(
        &self,
        id: &str,
        spec: &JobSpec,
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

/// Books the placements for the job's next waiting tasks. A gang gets a new attempt with
/// each booking. Tasks that were never started share the first attempt, so that those on
/// the same machine share one run in the job's record. Tasks that were started before get
/// a new attempt.
pub fn book(job: &mut Job, spec: &JobSpec, placements: &[&TaskPlacement]) {
    job.has_preempted = false;
    // A service that is suspected faulty gets further replicas only after a booked replica
    // has run for a while. A further booking is therefore recorded as a success.
    if spec.kind == JobKind::Service && job.is_suspected_faulty() && job.booked_count() > 0 {
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
