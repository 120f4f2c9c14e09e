//! The state that a controller keeps of workers: those that it owns, the claims
//! that are under way, and terminations that are yet to be recorded.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};

use tokio::sync::Notify;

use super::{AttemptKey, Claim, OwnedWorker, TerminationEvidence};

/// The workers that this controller owns, and what waits to be committed for them.
#[derive(Debug, Default)]
pub struct WorkerTable {
    /// The workers of the machines that this controller owns, by machine.
    pub owned_workers: RefCell<HashMap<String, OwnedWorker>>,
    /// Terminations of tasks that wait to be recorded.
    pub pending_terminations: RefCell<BTreeMap<AttemptKey, TerminationEvidence>>,
    /// Claims that wait to be committed, by machine.
    pub(crate) claims: RefCell<BTreeMap<String, Claim>>,
    /// How many heartbeats wait for their claims, each with its connection.
    pub(crate) claims_awaited: Cell<usize>,
    /// Wakes the commits of claims.
    pub(crate) claims_notify: Notify,
    /// Wakes the direct commands: bookings or statuses of machines have changed.
    pub(crate) commands_notify: Notify,
    /// Wakes the recording of terminations.
    pub(crate) terminations_notify: Notify,
    /// Wakes the publication of capacity: a machine can take work from now on.
    pub(crate) publication_notify: Notify,
}
