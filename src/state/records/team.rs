//! The record of what is booked for a team.

use resources::Resources;
use serde::{Deserialize, Serialize};

/// `team/T`: what the team's bookings take; `use/T/C`: what those take that count
/// against the share of controller C.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The resources of all booked tasks.
    #[serde(rename = "u")]
    pub used: Resources,
}
