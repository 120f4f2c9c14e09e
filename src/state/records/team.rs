//! Defines the record of the resources that are booked for a team.

use resources::Resources;
use serde::{Deserialize, Serialize};

/// Value of the record `team/T`, the resources that the bookings of team T take, and of the
/// record `use/T/C`, the part of them that counts against the share of controller C.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Resources of the booked tasks.
    #[serde(rename = "u")]
    pub used: Resources,
}
