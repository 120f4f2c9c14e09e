//! Messages to and from the state service: records, transactions, watches and
//! state leases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A record's value as unparsed JSON, which is deserialized once, into the
/// record's own type. A tree of JSON values would take many times the memory,
/// and a watch that was interrupted for a while returns megabytes.
pub type RawJson = Box<RawValue>;

/// Serializes a record's value. Records are plain data, so this cannot fail.
pub fn to_raw_json<T: Serialize>(value: &T) -> RawJson {
    serde_json::value::to_raw_value(value).unwrap_or_default()
}

/// A record of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: RawJson,
    /// The revision of its last change; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of records, the response to `GET /store?prefix=`.
#[derive(Debug, Deserialize)]
pub struct StoredRecordPage {
    /// The records in the order of their keys; PROTOCOL's `pairs`.
    #[serde(rename = "pairs")]
    pub records: Vec<StoredRecord>,
    /// Whether there are further pages; PROTOCOL's `truncated`.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// The service's revision when it read the page; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A precondition of a commit, as in compare-and-swap: the key still has this
/// version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The version that it must have, 0 if it must not exist; PROTOCOL's
    /// `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write of a commit.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key to a value.
    Put {
        /// The key; PROTOCOL's `set`.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        value: RawJson,
        /// The state lease with which the key expires; PROTOCOL's `permit`.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key; PROTOCOL's `remove`.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// A transaction, the body of `POST /commit`: all writes are made if every
/// precondition holds, and none otherwise.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Commit {
    /// The preconditions; PROTOCOL's `guards`.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The response to a commit, or to reading a key that does not exist.
#[derive(Debug, Serialize, Deserialize)]
pub struct Revision {
    /// The service's revision; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// The response to a commit whose preconditions do not all hold.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitConflict {
    /// The keys whose versions differ.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The service's revision; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// A change of one record: its key was set to a value, or removed.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// The key that was set, if one was.
    #[serde(default)]
    pub set: Option<String>,
    /// The key that was removed, if one was.
    #[serde(default)]
    pub remove: Option<String>,
    /// The new value of a key that was set.
    #[serde(default)]
    pub value: Option<RawJson>,
    /// The revision of the change; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Event {
    /// The event of a key that was set to a value.
    pub fn put<T: Serialize>(key: String, value: &T, version: u64) -> Self {
        Event {
            set: Some(key),
            remove: None,
            value: Some(to_raw_json(value)),
            version,
        }
    }
}

/// The response to `GET /watch`.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which the events are complete; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// The changes after the revision that the request named.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A request for a state lease, the body of `POST /holds`. Keys that are written
/// with the lease are removed when it expires.
#[derive(Debug, Serialize)]
pub struct StateLeaseRequest {
    /// The lease's duration unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// A state lease, as the state service has granted it.
#[derive(Debug, Deserialize)]
pub struct StateLease {
    /// The id of the lease; PROTOCOL's `permit`.
    #[serde(rename = "permit")]
    pub lease: u64,
}
