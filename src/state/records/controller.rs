//! Records of controllers and of the formats that they know.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// `fleet`: who rents; `node/N`: that controller N is up. Both are tied to the
/// controller's state lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The controller's name.
    #[serde(rename = "h")]
    pub controller: String,
    /// Which of the controller's starts it is from.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The newest formats that its program knows. Programs from before there
    /// were any leave it out, and pass over it.
    #[serde(rename = "v", default, skip_serializing_if = "super::is_zero")]
    pub formats: u32,
}

/// The formats with compact encodings for zone shards, machine shards and runs, and
/// with jobs that await others.
pub const FORMATS_COMPACT: u32 = 2;

/// The formats in which a home's machine shards may be used in groups: the records
/// are as before, but other conditions go with a new machine.
pub const FORMATS_GROUPED_SHARDS: u32 = 3;

/// The newest formats that a controller tells of while no feature is on.
pub const FORMATS: u32 = FORMATS_GROUPED_SHARDS;

/// The formats with shares: a controller tells of them while it has the feature on, and
/// reads them always.
pub const FORMATS_SHARES: u32 = 4;

/// `formats`: which controllers have been seen to run a program that knows the
/// newer formats, and whether all have. A controller is never seen to go back:
/// one that ends before its turn in an upgrade has not been seen yet. What an
/// older program could not read, or would spoil, is written only once `all`
/// stands here; that is for good.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formats {
    /// The newest format that each controller can read, by their names.
    #[serde(rename = "n", default)]
    pub controllers: BTreeMap<String, u32>,
    /// The newest format that every controller can read.
    #[serde(rename = "a", default)]
    pub all: u32,
}

impl Formats {
    /// The record as it should be, once these controllers have been seen; all
    /// that the settings name have to be before anything new is written.
    pub fn with<'a>(
        &self,
        seen: impl Iterator<Item = (&'a str, u32)>,
        configured: &[&str],
    ) -> Formats {
        let mut next = self.clone();
        for (name, formats) in seen.filter(|(_, f)| *f > 0) {
            let known = next.controllers.entry(name.to_string()).or_default();
            *known = formats.max(*known);
        }
        let known_to = |name: &&str| next.controllers.get(*name).copied().unwrap_or(0);
        let known_to_all = configured.iter().map(known_to).min().unwrap_or(0);
        next.all = next.all.max(known_to_all);
        next
    }
}
