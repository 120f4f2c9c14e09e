//! Holds the state that a controller keeps of workers: the workers that it owns, the claims
//! that wait to be committed, and the terminations that wait to be recorded.

use std::cell::{Cell, Ref, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use super::claim_queue::ClaimQueue;
use super::command_log::{Channel, CommandCounts};
use super::redirect_history::RedirectHistory;
use super::{AttemptKey, OwnedWorker, TerminationEvidence};
use crate::controller::Controller;
use crate::wire::{CommandAction, WorkerCommand};

/// The workers that this controller owns, with their pending claims and terminations.
#[derive(Debug, Default)]
pub struct WorkerTable {
    /// Workers of the machines that this controller owns, by machine.
    owned: RefCell<HashMap<String, OwnedWorker>>,
    /// Queued terminations, by attempt, until they are recorded.
    pending_terminations: RefCell<BTreeMap<AttemptKey, TerminationEvidence>>,
    /// Claims that wait to be committed.
    pub(super) claims: ClaimQueue,
    /// Number of commands that were sent.
    counts: Cell<CommandCounts>,
    /// Latest redirects of workers to other controllers.
    redirects: RefCell<RedirectHistory>,
    /// Notification that wakes the command loop when bookings or statuses have changed.
    commands_notify: Notify,
    /// Notification that wakes the loop that records terminations when some are queued.
    terminations_notify: Notify,
    /// Notification that wakes the publication loop when capacity has changed.
    publication_notify: Notify,
}

impl WorkerTable {
    /// Returns the workers that this controller owns, by machine.
    pub fn owned(&self) -> Ref<'_, HashMap<String, OwnedWorker>> {
        self.owned.borrow()
    }

    pub(super) fn owned_mut(&self) -> RefMut<'_, HashMap<String, OwnedWorker>> {
        self.owned.borrow_mut()
    }

    /// Excludes a pause of this process from the measured silence of every worker.
    pub fn exclude_pause(&self, pause: Duration, now: Instant) {
        for owned_worker in self.owned.borrow_mut().values_mut() {
            owned_worker.exclude_pause(pause, now);
        }
    }

    /// Returns the number of commands that this run of the controller has sent.
    pub fn command_counts(&self) -> CommandCounts {
        self.counts.get()
    }

    /// Changes the numbers of commands.
    pub(super) fn count(&self, change: impl FnOnce(&mut CommandCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Counts the commands of one message.
    pub(super) fn count_commands(&self, commands: &[WorkerCommand], channel: Channel) {
        self.count(|counts| {
            for command in commands {
                let count = match (command.action, channel) {
                    (CommandAction::Start, Channel::Call) => &mut counts.started_by_call,
                    (CommandAction::Start, _) => &mut counts.started_by_heartbeat,
                    (CommandAction::Stop, _) => &mut counts.stopped,
                    (CommandAction::Forget, _) => &mut counts.forgotten,
                };
                *count += 1;
            }
        });
    }

    pub(super) fn redirects_mut(&self) -> RefMut<'_, RedirectHistory> {
        self.redirects.borrow_mut()
    }

    /// Drops the redirects to preferred owners, and the waits for claims, of machines that are
    /// not in `known`.
    pub fn retain_redirects(&self, known: &HashSet<&str>) {
        self.redirects.borrow_mut().retain_machines(known);
    }

    /// Returns the terminations that wait to be recorded.
    pub fn pending_terminations(&self) -> Ref<'_, BTreeMap<AttemptKey, TerminationEvidence>> {
        self.pending_terminations.borrow()
    }

    pub(super) fn pending_terminations_mut(
        &self,
    ) -> RefMut<'_, BTreeMap<AttemptKey, TerminationEvidence>> {
        self.pending_terminations.borrow_mut()
    }

    /// Removes terminations that have been recorded, or whose evidence is void.
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

    /// Wakes the command loop to process the machines that have changed.
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
    /// Returns whether this run of the controller owns the machine: the newest claim in the
    /// replica is one that this run has made.
    pub fn owns(&self, machine: &str) -> bool {
        let replica = self.replica.borrow();
        let owned_workers = self.workers.owned();
        match (owned_workers.get(machine), replica.machines.get(machine)) {
            (Some(owned_worker), Some(record)) => {
                owned_worker.fencing.is_recorded_in(&record.value)
                    && record.value.incarnation == self.incarnation
            }
            _ => false,
        }
    }
}
