//! Combines the pages of a full read into a snapshot: all records at one revision.
//!
//! The pages are read one after another, so each may have a newer revision than the one before.
//! Together they may contain a record that was deleted, or a part of a commit, such as bookings
//! without the zone shard that they changed. The changes since the oldest page
//! correct this.

use std::collections::HashMap;

use crate::wire::{Event, StoredRecord, StoredRecordPage, WatchResponse};

/// All records of the state service at one revision.
#[derive(Debug)]
pub struct Snapshot {
    /// Records, in no particular order.
    pub records: Vec<StoredRecord>,
    /// Revision of the state service.
    pub revision: u64,
}

/// A full read in progress.
#[derive(Debug, Default)]
pub struct FullRead {
    records: Vec<StoredRecord>,
    /// Last key of the pages; empty before the first record.
    last_key: String,
    /// Lowest revision of a page; `None` before the first page.
    oldest_revision: Option<u64>,
    /// Highest revision of a page.
    newest_revision: u64,
}

impl FullRead {
    /// Adds the next page.
    pub fn add_page(&mut self, page: StoredRecordPage) {
        let oldest = self.oldest_revision.unwrap_or(page.revision);
        self.oldest_revision = Some(oldest.min(page.revision));
        self.newest_revision = self.newest_revision.max(page.revision);
        if let Some(last) = page.records.last() {
            self.last_key.clone_from(&last.key);
        }
        self.records.extend(page.records);
    }

    /// Returns the key after which the next page begins.
    pub fn last_key(&self) -> &str {
        &self.last_key
    }

    /// Returns the revision after which the changes are needed to complete the snapshot, or
    /// `None` if all pages have the same revision.
    pub fn changes_needed_after(&self) -> Option<u64> {
        self.oldest_revision
            .filter(|oldest| *oldest < self.newest_revision)
    }

    /// Returns the snapshot at the revision of the pages. They must have the same revision.
    pub fn into_snapshot(self) -> Snapshot {
        Snapshot {
            records: self.records,
            revision: self.newest_revision,
        }
    }

    /// Returns the snapshot at the revision of `changes`, which contain all changes after
    /// [`Self::changes_needed_after`], in their order.
    pub fn into_snapshot_with(self, changes: WatchResponse) -> Snapshot {
        let mut records = self.records;
        let mut latest: HashMap<String, Option<StoredRecord>> = HashMap::new();
        for event in changes.events {
            latest.extend(changed_record(event));
        }
        records.retain(|record| !latest.contains_key(&record.key));
        records.extend(latest.into_values().flatten());
        Snapshot {
            records,
            revision: changes.revision,
        }
    }
}

/// Returns the key that an event changes, with the new record, or `None` in its place if the
/// record was removed.
fn changed_record(event: Event) -> Option<(String, Option<StoredRecord>)> {
    let key = event.key()?.to_string();
    let new_value = event.value.filter(|_| event.set.is_some());
    let record = new_value.map(|value| StoredRecord {
        key: key.clone(),
        value,
        version: event.version,
    });
    Some((key, record))
}
