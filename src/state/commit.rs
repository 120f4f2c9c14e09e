//! Conditions and writes of a commit.

use serde::Serialize;

use crate::wire::{Precondition, Write, to_raw_json};

/// A condition of a commit: the record's version is still this one.
pub fn precondition(key: String, version: u64) -> Precondition {
    Precondition { key, version }
}

/// A write of `value` under `key`.
pub fn put<T: Serialize>(key: String, value: &T) -> Write {
    Write::Put {
        key,
        value: to_raw_json(value),
        lease: None,
    }
}
