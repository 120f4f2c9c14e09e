//! Applies accepted batches to the replica. The record of an accepted batch contains the jobs
//! that were accepted in one write. A job has no record of its own until its first change
//! after the acceptance.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::Replica;
use super::tables::{RecordUpdate, put_if_newer};
use super::unreadable::parse;
use crate::state::keys::job_key;
use crate::state::records::{AcceptedBatch, Job, JobSpec};

/// Accepted batch whose jobs are not parsed yet.
#[derive(Deserialize)]
struct RawAcceptedBatch {
    #[serde(rename = "b")]
    accepted_revision: u64,
    #[serde(rename = "j")]
    jobs: BTreeMap<String, Box<RawValue>>,
}

impl Replica {
    /// Applies an update of an accepted batch. The jobs are read one by one, so that an
    /// unreadable job does not hide the others. The batch enters `accepted_batches` only if
    /// all of its jobs can be read. Only batches in that table are removed from the state
    /// service, so the record with an unreadable job is kept.
    pub(super) fn set_accepted_batch(&mut self, update: RecordUpdate) {
        let batch = update.value.and_then(|value| {
            let raw = self.read::<RawAcceptedBatch>(update.key, update.version, value)?;
            self.set_accepted_jobs(raw)
        });
        put_if_newer(&mut self.accepted_batches, update.id, update.version, batch);
    }

    /// Adds the jobs of a batch to the replica. Returns the batch if all of its jobs can
    /// be read.
    fn set_accepted_jobs(&mut self, raw: RawAcceptedBatch) -> Option<AcceptedBatch> {
        let accepted_revision = raw.accepted_revision;
        let count = raw.jobs.len();
        let mut jobs = BTreeMap::new();
        for (id, text) in raw.jobs {
            if let Some(spec) = self.set_accepted_job(&id, accepted_revision, &text) {
                jobs.insert(id, spec);
            }
        }
        (jobs.len() == count).then_some(AcceptedBatch {
            accepted_revision,
            jobs,
        })
    }

    /// Adds a job of a batch to the replica, unless the job has a record of its own. Returns
    /// the job's specification in the batch, or `None` if the specification cannot be read.
    fn set_accepted_job(
        &mut self,
        id: &str,
        accepted_revision: u64,
        text: &RawValue,
    ) -> Option<JobSpec> {
        let key = job_key(id);
        // A record of the job's own is newer than the batch, even if that record is
        // unreadable.
        let has_own = self.jobs.contains_key(id) || self.is_unreadable(&key);
        let spec = parse::<JobSpec>(&key, text);
        if has_own {
            return spec;
        }
        match &spec {
            Some(spec) => self.place_job(id, 0, Job::new(spec.clone(), accepted_revision)),
            None => {
                self.unreadable.insert(key, 0);
            }
        }
        spec
    }
}
