//! Hints for the choice among machines with capacity, and the levels of protection of
//! accelerator machines from work that does not need accelerators.

use std::collections::BTreeSet;

use crate::state::replica::Replica;

/// Hints for the choice among machines with capacity. Placement is correct without them.
pub struct PlacementHints<'a> {
    /// Replica that the plan is based on.
    pub replica: &'a Replica,
    /// Name of the controller that places the job. Among equally good machines, those in
    /// the zone shards that this controller prefers to own are chosen, as its commits
    /// rarely conflict with others there.
    pub placing_controller: &'a str,
    /// Ids of the zone shards that the commit writes anyway. Their machines are preferred,
    /// even to those in the controller's own zone shards.
    pub touched_shards: BTreeSet<String>,
    /// True if machines that the job has failed on may be used again, as the job has
    /// waited long enough for another.
    pub retry_failed_machines: bool,
}

impl<'a> PlacementHints<'a> {
    /// Creates the hints of a controller whose commit does not write any zone shards yet.
    pub fn new(replica: &'a Replica, placing_controller: &'a str) -> Self {
        PlacementHints {
            replica,
            placing_controller,
            touched_shards: BTreeSet::new(),
            retry_failed_machines: false,
        }
    }
}

/// Level of protection of machines with accelerators from work that does not need
/// accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceleratorProtection {
    /// Full protection: work without accelerators takes no resources that accelerator work
    /// needs, and services do not keep accelerator machines provisioned.
    Strict,
    /// Partial protection: work without accelerators may use resources that accelerator
    /// work cannot use.
    Mild,
    /// No protection from gangs and services: they may use accelerator machines, but prefer
    /// other machines. Arrays are restricted as before.
    Lax,
    /// No protection from any work. For jobs that have waited as long as the protection may
    /// make them wait.
    Lifted,
}
