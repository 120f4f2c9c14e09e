//! The writes of this controller's commits that are newer than the revision of the replica.
//!
//! Neither the watch nor a full read has returned these writes yet. The replica contains them
//! ahead of the watch, and a full read of an older revision must not remove them.

use foldhash::HashMap;

use crate::wire::{RawJson, Write};

/// The last write of a key by this controller.
#[derive(Debug)]
pub(super) struct LocalWrite {
    /// Revision of the commit.
    pub(super) version: u64,
    /// Value that was set, or `None` if the key was removed.
    pub(super) value: Option<RawJson>,
}

/// The writes of this controller that are newer than the revision of the replica, by key.
#[derive(Debug, Default)]
pub(super) struct LocalWrites {
    by_key: HashMap<String, LocalWrite>,
}

impl LocalWrites {
    /// Records a write of a commit with this revision, unless a later write of the key is
    /// recorded. Commits may be answered in another order than they were executed.
    pub(super) fn record(&mut self, write: &Write, version: u64) {
        if self.version_of(write.key()) >= Some(version) {
            return;
        }
        let value = match write {
            Write::Put { value, .. } => Some(value.clone()),
            Write::Delete { .. } => None,
        };
        let local_write = LocalWrite { version, value };
        self.by_key.insert(write.key().to_string(), local_write);
    }

    /// Returns the revision of the last recorded write of a key.
    pub(super) fn version_of(&self, key: &str) -> Option<u64> {
        self.by_key.get(key).map(|write| write.version)
    }

    /// Discards the writes up to this revision, which the replica has reached.
    pub(super) fn discard_through(&mut self, revision: u64) {
        self.by_key.retain(|_, write| write.version > revision);
    }

    /// Returns the number of keys with a recorded write.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the recorded writes with their keys, in the order of their commits.
    pub(super) fn in_commit_order(&self) -> Vec<(&str, &LocalWrite)> {
        let writes = self.by_key.iter().map(|(key, write)| (key.as_str(), write));
        let mut ordered: Vec<_> = writes.collect();
        ordered.sort_unstable_by_key(|(key, write)| (write.version, *key));
        ordered
    }
}
