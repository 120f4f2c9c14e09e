//! Handles records that cannot be decoded: logs them and keeps their versions. A commit that
//! overwrites such a record needs the version as a precondition.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::Replica;
use crate::state::keys::job_key;

/// Parses a record's text. Logs the error and returns `None` if the text cannot be decoded.
pub(super) fn parse<T: DeserializeOwned>(key: &str, value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get())
        .inspect_err(|error| tracing::error!(key, %error, "record cannot be decoded"))
        .ok()
}

impl Replica {
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
