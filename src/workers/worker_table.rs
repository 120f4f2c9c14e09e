//! The state that a controller keeps of workers: those that it owns, the claims
//! that are under way, and terminations that are yet to be recorded.

use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use super::claim_queue::ClaimQueue;
use super::redirect_history::RedirectHistory;
use super::{AttemptKey, OwnedWorker, TerminationEvidence};
use crate::controller::Controller;

/// The workers that this controller owns, and what waits to be committed for them.
#[derive(Debug, Default)]
pub struct WorkerTable {
    /// The workers of the machines that this controller owns, by machine.
    owned: RefCell<HashMap<String, OwnedWorker>>,
    /// Terminations of tasks that wait to be recorded.
    pending_terminations: RefCell<BTreeMap<AttemptKey, TerminationEvidence>>,
    /// Claims that wait to be committed.
    pub(super) claims: ClaimQueue,
    /// The latest redirects of workers to other controllers.
    redirects: RefCell<RedirectHistory>,
    /// Wakes the direct commands: bookings or statuses of machines have changed.
    commands_notify: Notify,
    /// Wakes the recording of terminations.
    terminations_notify: Notify,
    /// Wakes the publication of capacity: a machine can take work from now on.
    publication_notify: Notify,
}

impl WorkerTable {
    /// The workers that this controller owns, by machine.
    pub fn owned(&self) -> Ref<'_, HashMap<String, OwnedWorker>> {
        self.owned.borrow()
    }

    pub(super) fn owned_mut(&self) -> RefMut<'_, HashMap<String, OwnedWorker>> {
        self.owned.borrow_mut()
    }

    /// Takes a pause of this process out of every worker's span of silence.
    pub fn exclude_pause(&self, pause: Duration, now: Instant) {
        for owned_worker in self.owned.borrow_mut().values_mut() {
            owned_worker.exclude_pause(pause, now);
        }
    }

    pub(super) fn redirects_mut(&self) -> RefMut<'_, RedirectHistory> {
        self.redirects.borrow_mut()
    }

    /// Drops what is remembered of the redirects of all machines but the known ones.
    pub fn retain_redirects(&self, known: &HashSet<&str>) {
        self.redirects.borrow_mut().retain_machines(known);
    }

    /// The terminations that wait to be recorded.
    pub fn pending_terminations(&self) -> Ref<'_, BTreeMap<AttemptKey, TerminationEvidence>> {
        self.pending_terminations.borrow()
    }

    pub(super) fn pending_terminations_mut(
        &self,
    ) -> RefMut<'_, BTreeMap<AttemptKey, TerminationEvidence>> {
        self.pending_terminations.borrow_mut()
    }

    /// Drops terminations that have been recorded, or whose evidence is void.
    pub fn remove_terminations(&self, keys: &[AttemptKey]) {
        let mut pending = self.pending_terminations.borrow_mut();
        for key in keys {
            pending.remove(key);
        }
    }

    /// Waits until terminations have been queued.
    pub fn terminations_queued(&self) -> Notified<'_> {
        self.terminations_notify.notified()
    }

    pub(super) fn wake_termination_recording(&self) {
        self.terminations_notify.notify_one();
    }

    /// Has the loop of direct commands look for what has changed.
    pub fn wake_commands(&self) {
        self.commands_notify.notify_one();
    }

    pub(super) fn commands_woken(&self) -> Notified<'_> {
        self.commands_notify.notified()
    }

    pub(super) fn wake_publication(&self) {
        self.publication_notify.notify_one();
    }

    pub(super) fn publication_woken(&self) -> Notified<'_> {
        self.publication_notify.notified()
    }
}

impl Controller {
    /// Whether this run of the controller owns the machine, as far as its replica
    /// tells.
    pub fn owns(&self, machine: &str) -> bool {
        let replica = self.replica.borrow();
        let owned_workers = self.workers.owned();
        match (owned_workers.get(machine), replica.machines.get(machine)) {
            (Some(owned_worker), Some(record)) => {
                owned_worker.fencing_token == record.value.fencing_token
                    && record.value.incarnation == self.incarnation
            }
            _ => false,
        }
    }
}
