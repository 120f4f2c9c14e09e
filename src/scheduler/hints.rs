//! What guides the choice among machines with capacity, and how accelerators are
//! protected from work that does not need them.

use std::collections::BTreeSet;

use crate::state::replica::Replica;

/// Hints for choosing among machines with capacity; none of them is needed.
pub struct PlacementHints<'a> {
    /// The replica that is planned on.
    pub replica: &'a Replica,
    /// The controller that plans: between machines that are as good, those of
    /// its own zone shards, where its commits meet no others.
    pub home_controller: &'a str,
    /// Zone shards that the commit in the making writes anyway come before those.
    pub touched_shards: BTreeSet<String>,
    /// Machines that the job has failed on may be tried again: it has waited
    /// long enough for another.
    pub retry_failed_machines: bool,
}

impl<'a> PlacementHints<'a> {
    /// The hints of a controller whose commit touches no zone shards yet.
    pub fn new(replica: &'a Replica, home_controller: &'a str) -> Self {
        PlacementHints {
            replica,
            home_controller,
            touched_shards: BTreeSet::new(),
            retry_failed_machines: false,
        }
    }
}

/// How far work without accelerators may take resources of machines that have
/// them from work that needs them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceleratorProtection {
    /// Not at all, and no service keeps their machines provisioned.
    Strict,
    /// Only what work on the accelerators cannot use.
    Mild,
    /// If there is no other machine.
    Lax,
}
