//! Handles records that cannot be decoded: logs them and keeps their versions. A commit that
//! overwrites such a record needs the version as a precondition.

use foldhash::HashMap;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::{Replica, Versioned};
use crate::state::keys::{job_id, job_key};
use crate::state::records::Job;

/// Parses a record's text. Logs the error and returns `None` if the text cannot be decoded.
pub(super) fn parse<T: DeserializeOwned>(key: &str, value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get())
        .inspect_err(|error| tracing::error!(key, %error, "record cannot be decoded"))
        .ok()
}

impl Replica {
    /// Keeps the jobs of the replica before a full read that were final and whose records can
    /// no longer be read. A final job never becomes open again.
    pub(super) fn keep_unreadable_final_jobs(
        &mut self,
        mut before: HashMap<String, Versioned<Job>>,
    ) {
        let ids = self.unreadable.keys().filter_map(|key| job_id(key));
        let known = ids.filter_map(|id| before.remove_entry(id));
        let closed: Vec<(String, Versioned<Job>)> =
            known.filter(|(_, entry)| !entry.value.is_open()).collect();
        for (id, entry) in closed {
            self.set_job(&id, entry.version, Some(entry.value));
        }
    }

    /// Parses a record's text. If the text cannot be decoded, logs the error, keeps the
    /// record's version and returns `None`.
    pub(super) fn read<T: DeserializeOwned>(
        &mut self,
        key: &str,
        version: u64,
        value: &RawValue,
    ) -> Option<T> {
        let record = parse(key, value);
        if record.is_none() {
            self.unreadable.insert(key.to_string(), version);
        }
        record
    }

    /// Returns whether the record under a key cannot be read.
    pub fn is_unreadable(&self, key: &str) -> bool {
        self.unreadable.contains_key(key)
    }

    /// Returns whether a job's record exists but cannot be read. It is then only known that
    /// the job was accepted.
    pub fn is_unreadable_job(&self, id: &str) -> bool {
        !self.unreadable.is_empty() && self.is_unreadable(&job_key(id))
    }

    /// Returns the version to expect under a key for which the replica has no record. This is
    /// 0, which means that the key does not exist, unless the record exists but is
    /// unreadable. A commit with the precondition 0 would then be refused on every attempt,
    /// so the version of the unreadable record is returned.
    pub fn absent_version(&self, key: &str) -> u64 {
        self.unreadable.get(key).copied().unwrap_or(0)
    }
}
