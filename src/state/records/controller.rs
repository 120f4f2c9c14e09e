//! Defines the records of controllers and of the formats that they can read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Record `fleet` of the fleet leader, the controller that provisions machines, and record
/// `node/N` of the running controller N. Both are tied to the controller's state lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Name of the controller.
    #[serde(rename = "h")]
    pub controller: String,
    /// Incarnation of the controller that wrote the record.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Newest formats that the controller's program can read. Programs from before the
    /// introduction of formats omit the field and ignore it.
    #[serde(rename = "v", default, skip_serializing_if = "super::is_zero")]
    pub formats: u32,
}

/// Formats with compact encodings for zone shards, machine shards and runs, and with
/// dependencies between jobs.
pub const FORMATS_COMPACT: u32 = 2;

/// Formats in which the machine shards of a home controller may be used in groups. The
/// records are unchanged, but a commit that adds a machine has different preconditions.
pub const FORMATS_GROUPED_SHARDS: u32 = 3;

/// Newest formats that a controller announces while no feature is enabled.
pub const FORMATS: u32 = FORMATS_GROUPED_SHARDS;

/// Formats with shares. A controller announces them while the feature is enabled, and can
/// always read them.
pub const FORMATS_SHARES: u32 = 4;

/// Record `formats`: the newest formats that each controller has announced, and the newest
/// that all can read. Neither ever decreases. A controller that stops before it is
/// upgraded has not announced newer formats yet. Data that an older program could not read
/// or would corrupt is written only once `all` includes its formats, which is permanent.
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
    /// Returns the record updated with the announcements `seen`. Newer formats are written
    /// only after all `configured` controllers, those of the settings, have announced
    /// them.
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
