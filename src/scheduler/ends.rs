//! Recorded ends of tasks, taken into a transaction.

use super::plan::Plan;
use super::rounds::Rounds;
use super::transaction::{Draft, Released};
use crate::machines::EndKey;
use crate::node::Node;
use crate::wire::Kind;

/// Lays recorded ends into the draft, and their room into the plan. Begins
/// where the last round ended, so that none waits for ever in a flood.
pub(super) fn take_ends(
    node: &Node,
    rounds: &mut Rounds,
    draft: &mut Draft,
    plan: &mut Plan,
    for_arrays: usize,
) -> Vec<EndKey> {
    let view = node.view.borrow();
    let mut taken = Vec::new();
    let mut stale = Vec::new();
    let ends = node.ends.borrow();
    let first = rounds.last_end.take();
    let (later, earlier): (Vec<_>, Vec<_>) = ends
        .iter()
        .partition(|(key, _)| first.as_ref().is_none_or(|f| *key >= f));
    let is_array = |key: &EndKey| {
        let spec = view.jobs.get(&key.job).and_then(|e| e.value.spec.as_ref());
        spec.is_some_and(|s| s.kind == Kind::Array) && !view.is_needed(&key.job)
    };
    // Gangs and services first, whose room many wait for, and jobs that others
    // await; the ends of other arrays leave part of the commit to what is to be
    // placed.
    let (arrays, others): (Vec<_>, Vec<_>) = later
        .into_iter()
        .chain(earlier)
        .partition(|(key, _)| is_array(key));
    let most = draft.most;
    let all = others.into_iter().chain(arrays);
    for (key, proof) in all.filter(|(key, _)| !rounds.left.contains_key(&key.job)) {
        if is_array(key) {
            draft.most = for_arrays;
        }
        match draft.release(key, *proof, node.name(), node.incarnation) {
            Released::Yes => {
                if let Some(spec) = view.jobs.get(&key.job).and_then(|e| e.value.spec.as_ref()) {
                    plan.give(&view, &key.machine, &spec.team, spec.need);
                }
                taken.push(key.clone());
            }
            Released::Full if is_array(key) && rounds.last_end.is_none() => {
                rounds.last_end = Some(key.clone());
            }
            Released::Full => {}
            Released::Stale => stale.push(key.clone()),
        }
    }
    draft.most = most;
    drop(ends);
    let mut ends = node.ends.borrow_mut();
    for key in stale {
        ends.remove(&key);
    }
    taken
}
