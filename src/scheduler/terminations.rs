//! Recording of proven task terminations in a round's transaction.

use super::plan::Plan;
use super::round_state::RoundState;
use super::transaction::{ReleaseOutcome, Transaction};
use crate::controller::Controller;
use crate::state::records::Capacity;
use crate::state::replica::Replica;
use crate::wire::JobKind;
use crate::workers::{AttemptKey, TerminationEvidence};

/// Records the pending terminations in the transaction and releases their resources in the
/// plan. Returns the terminations that were recorded.
///
/// Terminations of gangs, services and jobs with dependents are recorded first, as many
/// jobs wait for the resources that these release. Terminations of other arrays are
/// recorded last, up to a limit of their own. They start with the first one that did not
/// fit into the last round, so that none waits forever.
pub(super) fn record_terminations(
    controller: &Controller,
    replica: &Replica,
    state: &mut RoundState,
    transaction: &mut Transaction,
    plan: &mut Plan,
    max_records_for_arrays: usize,
) -> Vec<AttemptKey> {
    let mut recorder = TerminationRecorder {
        controller,
        replica,
        transaction,
        plan,
        recorded: Vec::new(),
        stale: Vec::new(),
    };
    recorder.record_pending(state, max_records_for_arrays);
    controller.workers.remove_terminations(&recorder.stale);
    recorder.recorded
}

/// Returns whether the termination belongs to an array without dependents.
fn is_plain_array(replica: &Replica, key: &AttemptKey) -> bool {
    let job = replica.jobs.get(&key.job);
    let spec = job.and_then(|e| e.value.spec.as_ref());
    spec.is_some_and(|s| s.kind == JobKind::Array) && !replica.has_dependents(&key.job)
}

/// State of one call of [`record_terminations`].
struct TerminationRecorder<'a, 'r> {
    controller: &'a Controller,
    replica: &'a Replica,
    transaction: &'a mut Transaction<'r>,
    plan: &'a mut Plan,
    /// Terminations that were added to the transaction.
    recorded: Vec<AttemptKey>,
    /// Terminations to discard, as the task is no longer booked or the evidence no longer
    /// valid.
    stale: Vec<AttemptKey>,
}

impl TerminationRecorder<'_, '_> {
    /// Records as many of the pending terminations as the transaction has capacity for.
    fn record_pending(&mut self, state: &mut RoundState, max_records_for_arrays: usize) {
        let pending = self.controller.workers.pending_terminations();
        let first = state.next_termination.take();
        let (later, earlier): (Vec<_>, Vec<_>) = pending
            .iter()
            .partition(|(key, _)| first.as_ref().is_none_or(|first| *key >= first));
        let in_order = later.into_iter().chain(earlier);
        let in_order = in_order.filter(|(key, _)| !state.is_excluded(&key.job));
        let (arrays, others): (Vec<_>, Vec<_>) =
            in_order.partition(|(key, _)| is_plain_array(self.replica, key));
        for (key, evidence) in others {
            self.record(key, *evidence);
        }
        let max_records = self.transaction.max_records;
        self.transaction.max_records = max_records_for_arrays;
        for (key, evidence) in arrays {
            let outcome = self.record(key, *evidence);
            let is_full = outcome == ReleaseOutcome::TransactionFull;
            if is_full && state.next_termination.is_none() {
                state.next_termination = Some(key.clone());
            }
        }
        self.transaction.max_records = max_records;
    }

    /// Records one termination if the transaction has capacity for it.
    fn record(&mut self, key: &AttemptKey, evidence: TerminationEvidence) -> ReleaseOutcome {
        let (name, incarnation) = (self.controller.name(), self.controller.incarnation);
        let outcome = self.transaction.release(key, evidence, name, incarnation);
        match outcome {
            ReleaseOutcome::Recorded => {
                self.release_in_plan(key);
                self.recorded.push(key.clone());
            }
            ReleaseOutcome::TransactionFull => {}
            ReleaseOutcome::Stale => self.stale.push(key.clone()),
        }
        outcome
    }

    /// Releases the task's resources in the plan.
    fn release_in_plan(&mut self, key: &AttemptKey) {
        let job = self.replica.jobs.get(&key.job);
        if let Some(spec) = job.and_then(|e| e.value.spec.as_ref()) {
            let freed = Capacity::of_task(&spec.need);
            self.plan
                .release(self.replica, &key.machine, &spec.team, freed);
        }
    }
}
