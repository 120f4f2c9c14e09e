//! Records that have served their turn.

use crate::node::{Node, guard, put};
use crate::store::Class;
use crate::view::{arrivals_key, hire_key, job_key};
use crate::wire::{Guard, Write};

/// Drops what has served its turn: rentals whose machines all have a record of
/// their own, arrivals whose jobs all have. Those records never go while this
/// one stands (`drop_gone`) or at all, so what the view shows holds.
pub(super) async fn settle_records(node: &Node) {
    let (guards, writes): (Vec<Guard>, Vec<Write>) = {
        let view = node.view.borrow();
        let hires = view.hires.iter().filter(|(_, e)| {
            let machines = &e.value.machines;
            !machines.is_empty() && machines.iter().all(|m| view.machines.contains_key(m))
        });
        let arrivals = view.arrivals.iter().filter(|(_, e)| {
            let mut jobs = e.value.jobs.keys();
            jobs.all(|id| view.job_version(id) > 0)
        });
        let hires = hires.map(|(id, e)| (hire_key(id), e.version));
        let arrivals = arrivals.map(|(id, e)| (arrivals_key(id), e.version));
        hires
            .chain(arrivals)
            .take(node.settings.txn_ops())
            .map(|(key, version)| (guard(key.clone(), version), Write::Delete { key }))
            .unzip()
    };
    if !writes.is_empty()
        && let Err(error) = node.commit(Class::Room, guards, writes).await
    {
        tracing::debug!(%error, "settled records stay");
    }
}

/// Writes onto jobs' own records that they are cancelled with what they await:
/// some at a time, in any order. All controllers know it without, and what it
/// follows from stays: final records are never dropped.
pub(super) async fn settle_doomed(node: &Node) {
    let (guards, writes): (Vec<Guard>, Vec<Write>) = {
        let view = node.view.borrow();
        view.doomed()
            .filter_map(|id| {
                let mut job = view.jobs.get(id)?.value.clone();
                job.cancel();
                let version = view.job_version(id);
                Some((guard(job_key(id), version), put(job_key(id), &job)))
            })
            .take(node.settings.txn_ops())
            .unzip()
    };
    if !writes.is_empty()
        && let Err(error) = node.commit(Class::Room, guards, writes).await
    {
        tracing::debug!(%error, "cancelled jobs not settled yet");
    }
}
