//! A model of the state service: records with versions, and the changes of every revision.

use std::collections::BTreeMap;

use serde_json::Value;
use shelfhoist::state::full_read::Snapshot;
use shelfhoist::wire::{Event, StoredRecord, StoredRecordPage, Write, to_raw_json};

/// A write of a key: its new value, or `None` if the key is removed.
pub type KeyWrite = (String, Option<Value>);

/// Records with their versions, by key.
pub type Records = BTreeMap<String, (Value, u64)>;

/// The model of the state service.
#[derive(Default)]
pub struct Service {
    pub records: Records,
    /// The writes of each revision, the first one at index 0.
    changes: Vec<Vec<KeyWrite>>,
    /// The records after each revision, the first one at index 0.
    earlier: Vec<Records>,
}

/// Applies the writes of a commit to records.
pub fn apply(records: &mut Records, writes: &[KeyWrite], revision: u64) {
    for (key, value) in writes {
        match value {
            Some(value) => records.insert(key.clone(), (value.clone(), revision)),
            None => records.remove(key),
        };
    }
}

/// Returns the writes in the form in which a controller commits them.
pub fn commit_writes(writes: &[KeyWrite]) -> Vec<Write> {
    let write = |(key, value): &KeyWrite| match value {
        Some(value) => Write::Put {
            key: key.clone(),
            value: to_raw_json(value),
            lease_id: None,
        },
        None => Write::Delete { key: key.clone() },
    };
    writes.iter().map(write).collect()
}

/// Returns these records as the snapshot at a revision.
pub fn snapshot_of(records: &Records, revision: u64) -> Snapshot {
    let records = records.iter().map(stored_record).collect();
    Snapshot { records, revision }
}

fn stored_record((key, (value, version)): (&String, &(Value, u64))) -> StoredRecord {
    StoredRecord {
        key: key.clone(),
        value: to_raw_json(value),
        version: *version,
    }
}

impl Service {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the version of a key, or 0 if the key does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.records.get(key).map_or(0, |record| record.1)
    }

    /// Executes a commit and returns its revision.
    pub fn commit(&mut self, writes: Vec<KeyWrite>) -> u64 {
        let revision = self.revision() + 1;
        apply(&mut self.records, &writes, revision);
        self.changes.push(writes);
        self.earlier.push(self.records.clone());
        revision
    }

    /// Returns the page of at most `max_records` records after a key.
    pub fn page(&self, after: &str, max_records: usize) -> StoredRecordPage {
        let rest = self.records.iter().filter(|(key, _)| key.as_str() > after);
        let records: Vec<StoredRecord> = rest.take(max_records).map(stored_record).collect();
        StoredRecordPage {
            has_more: !records.is_empty(),
            records,
            revision: self.revision(),
        }
    }

    /// Returns the events after a revision.
    pub fn events_after(&self, revision: u64) -> Vec<Event> {
        let later = self.changes.iter().enumerate().skip(revision as usize);
        let event = |version: u64, (key, value): &KeyWrite| Event {
            set: value.is_some().then(|| key.clone()),
            remove: value.is_none().then(|| key.clone()),
            value: value.as_ref().map(to_raw_json),
            version,
        };
        later
            .flat_map(|(index, writes)| writes.iter().map(move |w| event(index as u64 + 1, w)))
            .collect()
    }

    /// Returns the records at a revision.
    pub fn records_at(&self, revision: u64) -> Records {
        match revision.checked_sub(1) {
            Some(index) => self.earlier[index as usize].clone(),
            None => Records::new(),
        }
    }
}
