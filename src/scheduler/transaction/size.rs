//! Remaining capacity of a commit, by the number and the estimated size of its records.

use std::collections::BTreeSet;

use super::Transaction;
use crate::accounting::{BookingAccounts, CommitCapacity};
use crate::state::records::Job;

/// Maximum number of preconditions of a commit for each write that it may have, as defined
/// by the protocol.
pub const PRECONDITIONS_PER_WRITE: usize = 4;

/// Maximum estimated size of a commit, in bytes: the protocol's limit less a tenth. The
/// margin, about the size of a zone shard, is for everything that the estimates below leave
/// out.
pub const COMMIT_BYTES: usize = crate::http::BODY_LIMIT * 9 / 10;

/// Estimated size of a machine in a zone shard's record, and of a guard in a commit, in
/// bytes.
const SLOT_BYTES: usize = 110;

/// Estimated size of a machine in a zone shard's compact encoding, in bytes.
const COMPACT_SLOT_BYTES: usize = 10;

/// Estimated size of a job's spec in its record, in bytes.
const SPEC_BYTES: usize = 500;

/// Estimated size of a run in its job's record, in bytes.
const RUN_BYTES: usize = 100;

/// Estimated size of a task in its job's record, in bytes.
const TASK_BYTES: usize = 8;

/// Returns the estimated size of a job's record, in bytes.
fn job_bytes(job: &Job) -> usize {
    let tasks = job.booked_count() + job.retry.len();
    SPEC_BYTES + job.runs.len() * RUN_BYTES + tasks * TASK_BYTES
}

/// Records that a booking or termination of one job writes.
pub(super) struct TouchedRecords<'a> {
    /// Id of the job.
    pub(super) job: &'a str,
    /// Team whose account is charged, or `None` if the change books nothing.
    pub(super) team: Option<&'a str>,
    /// Ids of the zone shards of the booked machines.
    pub(super) zone_shards: &'a BTreeSet<&'a str>,
    /// Number of booked machines.
    pub(super) machines: usize,
}

impl Transaction<'_> {
    /// Returns the estimated size of the transaction as a request, in bytes.
    fn estimated_bytes(&self) -> usize {
        let jobs: usize = self.jobs.values().map(job_bytes).sum();
        let slots: usize = self.zone_shards.values().map(|s| s.machines.len()).sum();
        let records = self.len() + self.guarded_machine_shards.len();
        jobs + slots * self.slot_bytes() + records * SLOT_BYTES
    }

    /// Returns the estimated size of a machine in the encoding that its zone shard will
    /// have, in bytes.
    fn slot_bytes(&self) -> usize {
        if self.replica.uses_compact_encoding() {
            COMPACT_SLOT_BYTES
        } else {
            SLOT_BYTES
        }
    }

    /// Returns whether the transaction has capacity for a change of these records.
    pub(super) fn has_capacity_for(&self, touched: &TouchedRecords) -> bool {
        let new_job = !self.jobs.contains_key(touched.job);
        let new_job_bytes = match new_job {
            true => self.job(touched.job).map_or(0, job_bytes),
            false => 0,
        };
        let (new_shards, new_shard_slots) = self.new_zone_shards(touched.zone_shards);
        let slots = new_shard_slots + touched.machines;
        let added_bytes = slots * self.slot_bytes() + new_job_bytes;
        if self.estimated_bytes() + added_bytes > COMMIT_BYTES {
            return false;
        }
        let new_account = touched
            .team
            .is_some_and(|team| self.is_new_account(touched.job, team));
        let new_records = usize::from(new_job) + usize::from(new_account) + new_shards;
        self.len() + new_records <= self.max_records
    }

    /// Returns how many of these zone shards the transaction does not write yet, and the
    /// total number of machines in those.
    fn new_zone_shards(&self, zone_shards: &BTreeSet<&str>) -> (usize, usize) {
        let new = zone_shards
            .iter()
            .filter(|shard| !self.zone_shards.contains_key(**shard));
        new.fold((0, 0), |(shards, slots), shard| {
            let known = self.replica.zone_shards.get(*shard);
            (
                shards + 1,
                slots + known.map_or(0, |e| e.value.machines.len()),
            )
        })
    }

    /// Returns whether the transaction has capacity for the records of these jobs, without
    /// any other records.
    pub fn has_capacity_for_jobs<'b>(&self, ids: impl Iterator<Item = &'b str>) -> bool {
        let new: BTreeSet<&str> = ids.filter(|id| !self.jobs.contains_key(*id)).collect();
        let known_jobs = new.iter().filter_map(|id| self.job(id));
        let added_bytes: usize = known_jobs.map(job_bytes).sum();
        self.len() + new.len() <= self.max_records
            && self.estimated_bytes() + added_bytes <= COMMIT_BYTES
    }

    /// Returns the number of further records that the commit can write and guard.
    pub(super) fn remaining_space(&self) -> CommitCapacity {
        let preconditions = self.len() + self.guarded_records();
        CommitCapacity {
            writes: self.max_records.saturating_sub(self.len()),
            preconditions: (self.max_records * PRECONDITIONS_PER_WRITE)
                .saturating_sub(preconditions),
        }
    }

    /// Returns whether the commit already guards the machine shard or has space for another
    /// guard. One precondition per permitted write is kept free for the records that are
    /// written.
    pub(super) fn can_guard(&self, machine_shard: &str) -> bool {
        let max_preconditions = self.max_records * (PRECONDITIONS_PER_WRITE - 1);
        self.guarded_records() < max_preconditions
            || self.guarded_machine_shards.contains(machine_shard)
    }

    /// Returns the number of records that are guarded but not written.
    fn guarded_records(&self) -> usize {
        let reads = self.accounts.as_ref().map_or(0, BookingAccounts::reads);
        self.guarded_machine_shards.len() + reads
    }
}
