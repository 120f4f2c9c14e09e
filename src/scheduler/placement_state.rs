//! What placement remembers of waiting jobs outside its rounds.

use std::cell::RefCell;
use std::collections::HashMap;

use tokio::sync::Notify;

use super::{FirstSeenTimes, WaitState};

/// Why and since when jobs wait, and the wake-up of the placement loop.
#[derive(Debug, Default)]
pub struct PlacementState {
    /// Why each open job waits, as the decision that made it wait said.
    pub(crate) wait_states: RefCell<HashMap<String, WaitState>>,
    /// When each open job was first seen here.
    pub(crate) first_seen: RefCell<FirstSeenTimes>,
    /// Wakes placement: something that it depends on has changed.
    pub(crate) placement_notify: Notify,
}
