//! Ends of tasks: those that are proven go into a round's transaction.

use super::plan::Plan;
use super::round_state::RoundState;
use super::transaction::{ReleaseOutcome, Transaction};
use crate::controller::Controller;
use crate::state::replica::Replica;
use crate::wire::Kind;
use crate::workers::{AttemptKey, TerminationEvidence};

/// Ends that a transaction takes in, and those that are void.
#[derive(Default)]
struct Ends {
    recorded: Vec<AttemptKey>,
    stale: Vec<AttemptKey>,
}

/// Records ends in the transaction and gives their resources back to the plan;
/// returns which ends it has taken.
///
/// Gangs and services come first, whose resources many wait for, and jobs that
/// others depend on. The ends of other arrays come last, up to a limit of their
/// own, and begin where the last round stopped, so that none waits for ever.
pub(super) fn record_ends(
    controller: &Controller,
    replica: &Replica,
    state: &mut RoundState,
    transaction: &mut Transaction,
    plan: &mut Plan,
    limit_for_arrays: usize,
) -> Vec<AttemptKey> {
    let mut ends = Ends::default();
    {
        let pending = controller.workers.pending_terminations();
        let first = state.next_end.take();
        let (later, earlier): (Vec<_>, Vec<_>) = pending
            .iter()
            .partition(|(key, _)| first.as_ref().is_none_or(|first| *key >= first));
        let in_order = later.into_iter().chain(earlier);
        let in_order = in_order.filter(|(key, _)| !state.is_excluded(&key.job));
        let (arrays, others): (Vec<_>, Vec<_>) =
            in_order.partition(|(key, _)| is_plain_array(replica, key));
        for (key, proof) in others {
            ends.record(controller, replica, transaction, plan, key, *proof);
        }
        let limit = std::mem::replace(&mut transaction.max_records, limit_for_arrays);
        for (key, proof) in arrays {
            let released = ends.record(controller, replica, transaction, plan, key, *proof);
            if released == ReleaseOutcome::Full && state.next_end.is_none() {
                state.next_end = Some(key.clone());
            }
        }
        transaction.max_records = limit;
    }
    controller.workers.remove_terminations(&ends.stale);
    ends.recorded
}

/// Whether the end is of an array that no other job depends on.
fn is_plain_array(replica: &Replica, key: &AttemptKey) -> bool {
    let spec = replica
        .jobs
        .get(&key.job)
        .and_then(|e| e.value.spec.as_ref());
    spec.is_some_and(|s| s.kind == Kind::Array) && !replica.has_dependents(&key.job)
}

impl Ends {
    /// Records one end, if the transaction has room for it.
    fn record(
        &mut self,
        controller: &Controller,
        replica: &Replica,
        transaction: &mut Transaction,
        plan: &mut Plan,
        key: &AttemptKey,
        proof: TerminationEvidence,
    ) -> ReleaseOutcome {
        let released = transaction.release(key, proof, controller.name(), controller.incarnation);
        match released {
            ReleaseOutcome::Yes => {
                if let Some(spec) = replica
                    .jobs
                    .get(&key.job)
                    .and_then(|e| e.value.spec.as_ref())
                {
                    plan.release(replica, &key.machine, &spec.team, spec.need);
                }
                self.recorded.push(key.clone());
            }
            ReleaseOutcome::Full => {}
            ReleaseOutcome::Stale => self.stale.push(key.clone()),
        }
        released
    }
}
