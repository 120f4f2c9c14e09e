//! Builds the preconditions and writes of a commit.

use serde::Serialize;

use crate::wire::{Precondition, Write, to_raw_json};

/// Returns the precondition that the record under `key` still has the version `version`.
pub fn precondition(key: String, version: u64) -> Precondition {
    Precondition { key, version }
}

/// Returns the write of `value` under `key`.
pub fn put<T: Serialize>(key: String, value: &T) -> Write {
    Write::Put {
        key,
        value: to_raw_json(value),
        lease_id: None,
    }
}
