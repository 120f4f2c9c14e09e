//! Builds the writes of records, in the plain or the compact encoding, and checks whether
//! records fit the size limit of the state service.

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

/// Number of machines below which a zone shard's record is assumed to fit the size limit.
const MIN_CHECKED_MACHINES: usize = 8;

impl Replica {
    /// Returns whether records are written in their compact encodings. This is the case if
    /// the settings announce lower limits of the state service and all controllers can read
    /// compact encodings. Otherwise records are written in their plain encodings.
    pub fn uses_compact_encoding(&self) -> bool {
        self.compact_limit.is_some() && self.all_read_compact_encodings()
    }

    /// Returns whether a zone shard's compact encoding fits a record and continues to fit
    /// while machines leave the shard, with a margin for the resources of unbooked tasks.
    pub fn fits_zone_shard(&self, shard: &ZoneShard) -> bool {
        let machines = shard.machines.len();
        machines < MIN_CHECKED_MACHINES
            || self.fits_zone_shard_bytes(machines, zone_shard_bytes_bound(shard))
    }

    /// Returns whether a zone shard with this number of machines, whose compact encoding
    /// may grow to `bytes`, fits a record.
    pub fn fits_zone_shard_bytes(&self, machines: usize, bytes: usize) -> bool {
        let max_bytes = self.compact_limit.unwrap_or(usize::MAX) / 10 * 9;
        machines < MIN_CHECKED_MACHINES || bytes <= max_bytes
    }

    /// Returns whether a zone shard's compact encoding may exceed the lower size limit while
    /// machines leave the shard, as that may split ranges of numbers. The commits that remove
    /// the machines would then be refused.
    pub fn may_outgrow_record(&self, shard: &ZoneShard) -> bool {
        let limit = self.compact_limit.unwrap_or(usize::MAX);
        shard.machines.len() >= MIN_CHECKED_MACHINES && zone_shard_bytes_bound(shard) > limit
    }

    /// Returns whether a job's record has at most `max_bytes` once it is trimmed as for a
    /// write.
    pub fn fits_job(&self, job: &Job, max_bytes: usize) -> bool {
        let trimmed = self.trimmed_job(job);
        self.job_bytes(trimmed.as_ref().unwrap_or(job)) <= max_bytes
    }

    /// Returns the length of a job's record without trimming, in bytes.
    pub(super) fn job_bytes(&self, job: &Job) -> usize {
        let compact = match self.uses_compact_encoding() {
            true => encode_job(job),
            false => None,
        };
        let text = compact.or_else(|| serde_json::to_string(job).ok());
        text.map_or(usize::MAX, |text| text.len())
    }

    /// Returns the job trimmed for the lower size limit, or `None` if nothing has to be trimmed
    /// or can be. A job has to be trimmed if compact encodings are used and its record either
    /// exceeds the limit or has no space for the fewest booked tasks with which the job can
    /// run.
    pub fn trimmed_job(&self, job: &Job) -> Option<Job> {
        let max_bytes = self
            .compact_limit
            .filter(|_| self.uses_compact_encoding())?;
        // Every write of a job runs this check, so it has to be cheap. Most jobs need no
        // further one.
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
                && (!is_long(job, max_bytes) || self.can_run_within(job, max_bytes))
        })
    }

    /// Returns whether a job's record has space for the fewest booked tasks with which the job
    /// can run. Returns true for a final job, which starts no more tasks.
    fn can_run_within(&self, job: &Job, max_bytes: usize) -> bool {
        let Some(spec) = job.spec.as_ref().filter(|_| job.is_open()) else {
            return true;
        };
        let longest = |names: &mut dyn Iterator<Item = &str>| {
            let longest = names.max_by_key(|name| name.len());
            longest.unwrap_or_default().to_string()
        };
        let machine = longest(&mut self.machines.keys().map(String::as_str));
        let zone = longest(&mut self.zone_names.all());
        // The dependencies are removed from the record before the first task is booked.
        let min_bytes = min_record_bytes(spec, &machine, &zone);
        min_bytes.saturating_sub(spec.dependencies_bytes()) <= max_bytes
    }

    /// Returns the write of a job's record, in the encoding that
    /// `uses_compact_encoding` selects.
    pub fn put_job(&self, id: &str, job: &Job) -> Write {
        let trimmed = self.trimmed_job(job);
        let job = trimmed.as_ref().unwrap_or(job);
        let compact = || encode_job(job);
        self.put(job_key(id), job, compact)
    }

    /// Returns the write of a zone shard's record, in the encoding that
    /// `uses_compact_encoding` selects.
    pub fn put_zone_shard(&self, id: &str, shard: &ZoneShard) -> Write {
        let compact = || encode_zone_shard(shard);
        self.put(zone_shard_key(id), shard, compact)
    }

    /// Returns the write of a machine shard's record, in the encoding that
    /// `uses_compact_encoding` selects.
    pub fn put_machine_shard(&self, id: &str, machine_shard: &MachineShard) -> Write {
        let compact = || encode_machine_shard(machine_shard);
        self.put(machine_shard_key(id), machine_shard, compact)
    }

    /// Returns the write of a record. The record is written in the plain encoding if compact
    /// encodings are not used or if `compact` returns `None`.
    fn put<T: serde::Serialize>(
        &self,
        key: String,
        value: &T,
        compact: impl FnOnce() -> Option<String>,
    ) -> Write {
        let text = self.uses_compact_encoding().then(compact).flatten();
        match text.and_then(|text| RawValue::from_string(text).ok()) {
            Some(value) => Write::Put {
                key,
                value,
                lease_id: None,
            },
            None => commit::put(key, value),
        }
    }

    /// Returns whether every controller of the deployment can read compact encodings. Only
    /// then may they be written (Safety 8).
    pub fn all_read_compact_encodings(&self) -> bool {
        self.formats.value.all >= FORMATS_COMPACT
    }

    /// Returns a revision since which every controller supports groups of machine shards: that
    /// of the last change of the formats record. Returns `None` while some controller may not
    /// support them.
    pub fn grouped_shards_since(&self) -> Option<u64> {
        let known = self.formats.value.all >= FORMATS_GROUPED_SHARDS;
        known.then_some(self.formats.version)
    }
}
