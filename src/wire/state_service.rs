//! Messages to and from the state service: records, transactions, watches and
//! state leases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Value of a record as unparsed JSON.
///
/// The value is later deserialized directly into the type of the record. Parsing it into a
/// tree of JSON values first would take many times the memory, and a watch that was
/// interrupted for a while returns megabytes.
pub type RawJson = Box<RawValue>;

/// Serializes the value of a record. Records are plain data, so this cannot fail.
pub fn to_raw_json<T: Serialize>(value: &T) -> RawJson {
    serde_json::value::to_raw_value(value).unwrap_or_default()
}

/// Record of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: RawJson,
    /// Revision of the record's last change; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Page of records; the response to `GET /store?prefix=`.
#[derive(Debug, Deserialize)]
pub struct StoredRecordPage {
    /// Records, sorted by key; PROTOCOL's `pairs`.
    #[serde(rename = "pairs")]
    pub records: Vec<StoredRecord>,
    /// True if there are further pages; PROTOCOL's `truncated`.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// Revision of the state service at which it read the page; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Precondition of a commit, as in compare-and-swap: a key must have a certain version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Precondition {
    /// Key that is checked.
    pub key: String,
    /// Version that the key must have, or 0 if the key must not exist; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Single write of a commit.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key to a value, whether the key exists or not.
    Put {
        /// Key; PROTOCOL's `set`.
        #[serde(rename = "set")]
        key: String,
        /// New value.
        value: RawJson,
        /// Id of the state lease that the key is tied to: the key is removed when the lease
        /// expires. PROTOCOL's `permit`.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key; PROTOCOL's `remove`.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// Returns the key that is written or removed.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// Transaction; the body of `POST /commit`. The state service executes all writes if every
/// precondition is met, and none otherwise.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Commit {
    /// Preconditions; PROTOCOL's `guards`.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Writes that the state service executes together.
    pub writes: Vec<Write>,
}

/// Response to a commit that was executed, or to a read of a key that does not exist.
#[derive(Debug, Serialize, Deserialize)]
pub struct Revision {
    /// Current revision of the state service; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Response to a commit with a precondition that is not met.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitConflict {
    /// Keys whose versions differ from the preconditions.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Current revision of the state service; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// Event of a watch: a key was set to a value, or removed.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// Key that was set; `None` if a key was removed.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was removed; `None` if a key was set.
    #[serde(default)]
    pub remove: Option<String>,
    /// New value of a key that was set; `None` if a key was removed.
    #[serde(default)]
    pub value: Option<RawJson>,
    /// Revision of the change; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Event {
    /// Returns the event for a key that was set to a value.
    pub fn put<T: Serialize>(key: String, value: &T, version: u64) -> Self {
        Event {
            set: Some(key),
            remove: None,
            value: Some(to_raw_json(value)),
            version,
        }
    }

    /// Returns the key that was set or removed; `None` if the event is malformed.
    pub fn key(&self) -> Option<&str> {
        self.set.as_deref().or(self.remove.as_deref())
    }

    /// Returns the new value of the key, or `None` if the key was removed.
    pub fn new_value(&self) -> Option<&RawValue> {
        self.value.as_deref().filter(|_| self.set.is_some())
    }
}

/// Response to `GET /watch`.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the events are complete; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Changes after the revision that the request specified.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Request for a state lease; the body of `POST /holds`. Keys that are written with the
/// lease are removed when it expires.
#[derive(Debug, Serialize)]
pub struct StateLeaseRequest {
    /// Time after which the lease expires unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// State lease that the state service has granted.
#[derive(Debug, Deserialize)]
pub struct StateLease {
    /// Id of the lease; PROTOCOL's `permit`.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}
