//! How much more one commit can hold, by the number and the estimated length of its
//! records.

use std::collections::BTreeSet;

use super::Transaction;
use crate::accounting::{BookingAccounts, CommitCapacity};
use crate::state::records::Job;

/// How many conditions a commit may have for each write that it may have, by the
/// protocol.
pub const PRECONDITIONS_PER_WRITE: usize = 4;

/// What a commit may hold in all, by the protocol, less a zone shard for what the
/// estimates below leave out, in bytes.
pub const COMMIT_BYTES: usize = crate::http::BODY_LIMIT * 9 / 10;

/// About what a machine takes in a zone shard's record, and a guard in a commit.
const SLOT_BYTES: usize = 110;

/// About what a machine takes in a zone shard's compact encoding.
const COMPACT_SLOT_BYTES: usize = 10;

/// About what a job's spec takes in its record.
const SPEC_BYTES: usize = 500;

/// About what one of a job's runs takes in its record.
const RUN_BYTES: usize = 100;

/// About what one of a job's tasks takes in its record.
const TASK_BYTES: usize = 8;

/// About what a job takes in its record.
fn job_bytes(job: &Job) -> usize {
    let tasks = job.booked() + job.retry.len();
    SPEC_BYTES + job.runs.len() * RUN_BYTES + tasks * TASK_BYTES
}

/// The records that a change of one job touches.
pub(super) struct TouchedRecords<'a> {
    /// The job's id.
    pub(super) job: &'a str,
    /// The team whose account is charged, if the change books anything.
    pub(super) team: Option<&'a str>,
    /// The ids of the zone shards with the machines that are booked.
    pub(super) zone_shards: &'a BTreeSet<&'a str>,
    /// How many machines are booked.
    pub(super) machines: usize,
}

impl Transaction<'_> {
    /// About how long the transaction is as a request, in bytes.
    fn estimated_bytes(&self) -> usize {
        let jobs: usize = self.jobs.values().map(job_bytes).sum();
        let slots: usize = self.zone_shards.values().map(|s| s.machines.len()).sum();
        let records = self.len() + self.guarded_machine_shards.len();
        jobs + slots * self.slot_bytes() + records * SLOT_BYTES
    }

    /// About what a machine takes in the text that its zone shard will have.
    fn slot_bytes(&self) -> usize {
        if self.replica.uses_compact_encoding() {
            COMPACT_SLOT_BYTES
        } else {
            SLOT_BYTES
        }
    }

    /// Whether the transaction can take a change of these records.
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

    /// How many of these zone shards are not written yet, and how many machines they
    /// have together.
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

    /// Whether the transaction has capacity for the records of these jobs alone.
    pub fn has_capacity_for_jobs<'b>(&self, ids: impl Iterator<Item = &'b str>) -> bool {
        let new: BTreeSet<&str> = ids.filter(|id| !self.jobs.contains_key(*id)).collect();
        let known_jobs = new.iter().filter_map(|id| self.job(id));
        let added_bytes: usize = known_jobs.map(job_bytes).sum();
        self.len() + new.len() <= self.max_records
            && self.estimated_bytes() + added_bytes <= COMMIT_BYTES
    }

    /// How many more records the commit can write and guard.
    pub(super) fn remaining_space(&self) -> CommitCapacity {
        let preconditions = self.len() + self.guarded_records();
        CommitCapacity {
            writes: self.max_records.saturating_sub(self.len()),
            preconditions: (self.max_records * PRECONDITIONS_PER_WRITE)
                .saturating_sub(preconditions),
        }
    }

    /// Whether the machine shard is guarded, or can still be. The conditions of the
    /// records that may be written are left free.
    pub(super) fn can_guard(&self, machine_shard: &str) -> bool {
        let max_preconditions = self.max_records * (PRECONDITIONS_PER_WRITE - 1);
        self.guarded_records() < max_preconditions
            || self.guarded_machine_shards.contains(machine_shard)
    }

    /// How many records are guarded that are not written.
    fn guarded_records(&self) -> usize {
        let reads = self.accounts.as_ref().map_or(0, BookingAccounts::reads);
        self.guarded_machine_shards.len() + reads
    }
}
