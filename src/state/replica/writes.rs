//! Records as this controller may write them: plain or in the compact encoding.

use serde_json::value::RawValue;

use super::Replica;
use super::jobs::is_long;
use crate::state::commit;
use crate::state::encoding::{
    encode_job, encode_machine_shard, encode_zone_shard, zone_shard_bytes_bound,
};
use crate::state::keys::{job_key, machine_shard_key, zone_shard_key};
use crate::state::record_bound::min_record_bytes;
use crate::state::record_trim::{self, TrimContext};
use crate::state::records::{
    FORMATS_COMPACT, FORMATS_GROUPED_SHARDS, Job, JobStatus, MachineShard, ZoneShard,
};
use crate::wire::Write;

/// Fewer machines than these never fill a zone shard's record.
const FEW_MACHINES: usize = 8;

impl Replica {
    /// Whether records are written in their compact encodings: all controllers read
    /// them, and the limits are to fall. Otherwise they stay in the plain ones.
    pub fn uses_compact_encoding(&self) -> bool {
        self.compact_limit.is_some() && self.all_read_compact_encodings()
    }

    /// Whether a zone shard's compact encoding stays within what a record may hold,
    /// whichever machines leave it, with some to spare for what unbooked tasks take.
    pub fn fits_zone_shard(&self, shard: &ZoneShard) -> bool {
        let machines = shard.machines.len();
        machines < FEW_MACHINES
            || self.fits_zone_shard_bytes(machines, zone_shard_bytes_bound(shard))
    }

    /// The same of a zone shard with so many machines, whose compact encoding may come
    /// to have so many bytes.
    pub fn fits_zone_shard_bytes(&self, machines: usize, bytes: usize) -> bool {
        let max_bytes = self.compact_limit.unwrap_or(usize::MAX) / 10 * 9;
        machines < FEW_MACHINES || bytes <= max_bytes
    }

    /// Whether a zone shard's compact encoding may exceed the coming limit once machines
    /// leave it: then they could not leave it any more.
    pub fn may_outgrow_record(&self, shard: &ZoneShard) -> bool {
        let limit = self.compact_limit.unwrap_or(usize::MAX);
        shard.machines.len() >= FEW_MACHINES && zone_shard_bytes_bound(shard) > limit
    }

    /// Whether a job's record, as it will be written, is within `max_bytes`.
    pub fn fits_job(&self, job: &Job, max_bytes: usize) -> bool {
        let trimmed = self.trimmed_job(job);
        self.job_bytes(trimmed.as_ref().unwrap_or(job)) <= max_bytes
    }

    /// The length of a job's record as it stands, not trimmed.
    pub(super) fn job_bytes(&self, job: &Job) -> usize {
        let compact = match self.uses_compact_encoding() {
            true => encode_job(job),
            false => None,
        };
        let text = compact.or_else(|| serde_json::to_string(job).ok());
        text.map_or(usize::MAX, |t| t.len())
    }

    /// The job as it has to be written if its record would exceed the coming
    /// limit, now or with the least that it runs at once; `None` where it fits.
    pub fn trimmed_job(&self, job: &Job) -> Option<Job> {
        let max_bytes = self
            .compact_limit
            .filter(|_| self.uses_compact_encoding())?;
        // Nearly all: told by a few lengths, as every write of a job asks.
        if !is_long(job, max_bytes) && self.job_bytes(job) <= max_bytes {
            return None;
        }
        let context = TrimContext {
            machine_types: &self.types.value.types,
            slo_classes: &self.slo_classes,
            is_done: &|id| self.effective_status(id) == Some(JobStatus::Done),
        };
        record_trim::trim_job(job, &context, |job| {
            self.job_bytes(job) <= max_bytes
                && (!is_long(job, max_bytes) || self.runs_within(job, max_bytes))
        })
    }

    /// Whether an open job's record leaves space for the least that it runs at once.
    fn runs_within(&self, job: &Job, max_bytes: usize) -> bool {
        let Some(spec) = job.spec.as_ref().filter(|_| job.is_open()) else {
            return true;
        };
        let longest = |names: &mut dyn Iterator<Item = &str>| {
            let longest = names.max_by_key(|name| name.len());
            longest.unwrap_or_default().to_string()
        };
        let machine = longest(&mut self.machines.keys().map(String::as_str));
        let zone = longest(&mut self.zone_names.all());
        // What it awaits leaves its record before any of its tasks comes in.
        let min_bytes = min_record_bytes(spec, &machine, &zone);
        min_bytes.saturating_sub(spec.dependencies_bytes()) <= max_bytes
    }

    /// The write of a job's record, in the encoding in force.
    pub fn put_job(&self, id: &str, job: &Job) -> Write {
        let trimmed = self.trimmed_job(job);
        let job = trimmed.as_ref().unwrap_or(job);
        let compact = || encode_job(job);
        self.put(job_key(id), job, compact)
    }

    /// The write of a zone shard's record, in the encoding in force.
    pub fn put_zone_shard(&self, id: &str, shard: &ZoneShard) -> Write {
        let compact = || encode_zone_shard(shard);
        self.put(zone_shard_key(id), shard, compact)
    }

    /// The write of a machine shard's record, in the encoding in force.
    pub fn put_machine_shard(&self, id: &str, machine_shard: &MachineShard) -> Write {
        let compact = || encode_machine_shard(machine_shard);
        self.put(machine_shard_key(id), machine_shard, compact)
    }

    fn put<T: serde::Serialize>(
        &self,
        key: String,
        value: &T,
        compact: impl FnOnce() -> Option<String>,
    ) -> Write {
        let text = self.uses_compact_encoding().then(compact).flatten();
        match text.and_then(|t| RawValue::from_string(t).ok()) {
            Some(value) => Write::Put {
                key,
                value,
                lease: None,
            },
            None => commit::put(key, value),
        }
    }

    /// Safety 8: whether every controller of the deployment reads the formats with
    /// compact encodings, so that they may be written.
    pub fn all_read_compact_encodings(&self) -> bool {
        self.formats.value.all >= FORMATS_COMPACT
    }

    /// The revision since which every controller knows that machine shards may be
    /// used in groups; `None` while one may not.
    pub fn grouped_shards_since(&self) -> Option<u64> {
        let known = self.formats.value.all >= FORMATS_GROUPED_SHARDS;
        known.then_some(self.formats.version)
    }
}
