//! Records that cannot be read: they are logged, and written anew under their
//! own versions.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::Replica;
use crate::state::keys::job_key;

/// Reads a record's text; one that cannot be read is logged.
pub(super) fn parse<T: DeserializeOwned>(key: &str, value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get())
        .inspect_err(|error| tracing::error!(key, %error, "record not understood"))
        .ok()
}

impl Replica {
    /// Reads a record's text; one that cannot be read is logged, and its version kept.
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

    /// Whether a key has a record that cannot be read.
    pub fn is_unreadable(&self, key: &str) -> bool {
        self.unreadable.contains_key(key)
    }

    /// Whether a job is known to exist, though its record cannot be read: it
    /// was accepted, and nothing more can be said of it.
    pub fn is_unreadable_job(&self, id: &str) -> bool {
        !self.unreadable.is_empty() && self.is_unreadable(&job_key(id))
    }

    /// The version of a record that is not in the replica: that of one which cannot
    /// be read, or 0 as there is none. Guarding 0 where an unreadable record
    /// stands would be refused again and again.
    pub fn absent_version(&self, key: &str) -> u64 {
        self.unreadable.get(key).copied().unwrap_or(0)
    }
}
