//! Defines the record of the resources that are booked for a team.

use resources::Resources;
use serde::{Deserialize, Serialize};

/// Record `team/T` of the resources that the team's bookings take, and record `use/T/C` of
/// the part of them that counts against the share of controller C.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Resources of the booked tasks.
    #[serde(rename = "u")]
    pub used: Resources,
}
