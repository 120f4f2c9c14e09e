//! Defines the records of controllers and of the formats that they can read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Record `node/N`, which exists while controller N runs, and record `fleet`, which identifies
/// the fleet leader, the controller that provisions machines. Either record is removed when
/// the state lease of the controller that wrote it expires.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Name of the controller.
    #[serde(rename = "h")]
    pub controller: String,
    /// Incarnation of the controller that wrote the record.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Newest record formats that the controller can read. Versions of the scheduler from
    /// before the introduction of formats neither write nor read this field.
    #[serde(rename = "v", default, skip_serializing_if = "super::is_zero")]
    pub formats: u32,
}

/// Formats with compact encodings for zone shards, machine shards and runs, and with
/// dependencies between jobs.
pub const FORMATS_COMPACT: u32 = 2;

/// Formats in which the machine shards of a home controller, whose name is part of their
/// ids, may be used in groups. The records are unchanged, but a commit that adds a machine
/// has different preconditions.
pub const FORMATS_GROUPED_SHARDS: u32 = 3;

/// Newest formats that a controller announces while no feature is enabled.
pub const FORMATS: u32 = FORMATS_GROUPED_SHARDS;

/// Formats in which the quotas of teams are split into shares. A controller announces them
/// only while the feature is enabled, but can always read them.
pub const FORMATS_SHARES: u32 = 4;

/// Record `formats`: the newest formats that each controller has announced, and the newest
/// that all controllers can read. Neither value ever decreases. Data that an older version
/// could not read or would corrupt is written only once `all` includes the formats of that
/// data. A controller that stopped before its upgrade still counts with its old formats, so
/// it can be started again without finding unreadable records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formats {
    /// Newest formats that each controller can read, by controller.
    #[serde(rename = "n", default)]
    pub controllers: BTreeMap<String, u32>,
    /// Newest formats that every controller can read.
    #[serde(rename = "a", default)]
    pub all: u32,
}

impl Formats {
    /// Returns the record updated with the announcements `seen`, pairs of a controller and its
    /// newest formats. `configured` lists the controllers in the settings; `all` advances
    /// only after each of them has announced the newer formats.
    pub fn with<'a>(
        &self,
        seen: impl Iterator<Item = (&'a str, u32)>,
        configured: &[&str],
    ) -> Formats {
        let mut next = self.clone();
        for (name, formats) in seen.filter(|(_, formats)| *formats > 0) {
            let known = next.controllers.entry(name.to_string()).or_default();
            *known = formats.max(*known);
        }
        let known_to = |name: &&str| next.controllers.get(*name).copied().unwrap_or(0);
        let known_to_all = configured.iter().map(known_to).min().unwrap_or(0);
        next.all = next.all.max(known_to_all);
        next
    }
}
