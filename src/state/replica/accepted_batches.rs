//! Jobs that were accepted together, as they come into the replica.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::Replica;
use super::unreadable::parse;
use super::updates::{RecordUpdate, put};
use crate::state::keys::job_key;
use crate::state::records::{AcceptedBatch, Job, Spec};

/// The record with its jobs yet to be read.
#[derive(Deserialize)]
struct RawAcceptedBatch {
    #[serde(rename = "b")]
    accepted_revision: u64,
    #[serde(rename = "j")]
    jobs: BTreeMap<String, Box<RawValue>>,
}

impl Replica {
    /// Takes jobs that were accepted together. Each stands alone: one that cannot
    /// be read keeps none of the others away. The batch itself is only in the table
    /// while all of its jobs can be read, so that it is never removed before.
    pub(super) fn set_accepted_batch(&mut self, update: RecordUpdate) {
        let batch = update.value.and_then(|value| {
            let raw = self.read::<RawAcceptedBatch>(update.key, update.version, value)?;
            self.set_accepted_jobs(raw)
        });
        put(&mut self.accepted_batches, update.id, update.version, batch);
    }

    /// Takes the jobs of a batch; returns it if all of them can be read.
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

    fn set_accepted_job(
        &mut self,
        id: &str,
        accepted_revision: u64,
        text: &RawValue,
    ) -> Option<Spec> {
        let key = job_key(id);
        // A record of its own, whatever it says, is newer.
        let has_own = self.jobs.contains_key(id) || self.is_unreadable(&key);
        let spec = parse::<Spec>(&key, text);
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
