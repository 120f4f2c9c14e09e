//! Messages to and from the state service: records, transactions, watches and
//! state leases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A record's value as it stands in a message: it is read once, into what it
/// is. Trees of values would take many times the room, and a watch that was
/// cut off for a while brings megabytes.
pub type Raw = Box<RawValue>;

/// Records are plain data: writing them as JSON cannot fail.
pub fn raw<T: Serialize>(value: &T) -> Raw {
    serde_json::value::to_raw_value(value).unwrap_or_default()
}

/// A record of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pair {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Raw,
    /// The revision of its last change; PROTOCOL's `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of records, the response to `GET /store?prefix=`.
#[derive(Debug, Deserialize)]
pub struct PairPage {
    /// The records in the order of their keys; PROTOCOL's `pairs`.
    #[serde(rename = "pairs")]
    pub items: Vec<Pair>,
    /// Whether there are further pages; PROTOCOL's `truncated`.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The service's revision when it read the page; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A condition of a commit: the key still has this version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    pub key: String,
    /// The version that it must have, 0 if it must not exist; PROTOCOL's
    /// `stamp`.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change that a commit makes.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key to a value.
    Put {
        /// The key; PROTOCOL's `set`.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        value: Raw,
        /// The state lease with which the key is to end; PROTOCOL's `permit`.
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
/// guard holds, and none otherwise.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Commit {
    /// The conditions.
    pub guards: Vec<Guard>,
    /// The changes.
    pub writes: Vec<Write>,
}

/// The response to a commit, or to reading a key that does not exist.
#[derive(Debug, Serialize, Deserialize)]
pub struct Revision {
    /// The service's revision; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// The response to a commit whose guards do not all hold.
#[derive(Debug, Serialize, Deserialize)]
pub struct Refused {
    /// The keys whose versions differ.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The service's revision; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// A change: a key was set to a value, or removed.
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
    pub value: Option<Raw>,
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
            value: Some(raw(value)),
            version,
        }
    }
}

/// The response to `GET /watch`.
#[derive(Debug, Deserialize)]
pub struct WatchAnswer {
    /// The revision up to which it is complete; PROTOCOL's `ledger_rev`.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// The changes since the revision that was asked from.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A request for a state lease, the body of `POST /holds`.
#[derive(Debug, Serialize)]
pub struct StateLeaseRequest {
    /// How long the lease lasts without being renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The response to a request for a state lease.
#[derive(Debug, Deserialize)]
pub struct StateLease {
    /// The id of the lease; PROTOCOL's `permit`.
    #[serde(rename = "permit")]
    pub lease: u64,
}
