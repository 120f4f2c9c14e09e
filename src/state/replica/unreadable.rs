//! Logs records that cannot be read and keeps their versions, which are needed to
//! overwrite the records.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::Replica;
use crate::state::keys::job_key;

/// Parses a record's text. Logs a record that cannot be read.
pub(super) fn parse<T: DeserializeOwned>(key: &str, value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get())
        .inspect_err(|error| tracing::error!(key, %error, "record cannot be decoded"))
        .ok()
}

impl Replica {
    /// Parses a record's text. Logs a record that cannot be read and keeps its version.
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

    /// Returns whether a job's record exists but cannot be read: the job was accepted, and
    /// nothing else is known about it.
    pub fn is_unreadable_job(&self, id: &str) -> bool {
        !self.unreadable.is_empty() && self.is_unreadable(&job_key(id))
    }

    /// Returns the version of a record that is not in the replica: its version if the
    /// record cannot be read, otherwise 0. If an unreadable record exists, a commit with
    /// the precondition 0 would be refused on every attempt.
    pub fn absent_version(&self, key: &str) -> u64 {
        self.unreadable.get(key).copied().unwrap_or(0)
    }
}
