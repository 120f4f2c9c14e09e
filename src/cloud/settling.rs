//! Records that have served their turn, and jobs' records that are still to say
//! what follows from others.

use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::commit::{guard, put};
use crate::state::keys::{accepted_batch_key, job_key, rental_key};
use crate::wire::{Precondition, Write};

/// Drops what has served its turn: rentals whose machines all have a record of
/// their own, arrivals whose jobs all have. Those records never go while this
/// one stands (`scale_in::record_drops`) or at all, so what the replica shows holds.
pub(super) async fn settle_records(controller: &Controller) {
    let (guards, writes): (Vec<Precondition>, Vec<Write>) = {
        let replica = controller.replica.borrow();
        let provisioning_requests = replica.provisioning_requests.iter().filter(|(_, entry)| {
            let machines = &entry.value.machines;
            !machines.is_empty() && machines.iter().all(|id| replica.machines.contains_key(id))
        });
        let accepted_batches = replica.accepted_batches.iter().filter(|(_, entry)| {
            let mut jobs = entry.value.jobs.keys();
            jobs.all(|id| replica.job_version(id) > 0)
        });
        let provisioning_requests =
            provisioning_requests.map(|(id, entry)| (rental_key(id), entry.version));
        let accepted_batches =
            accepted_batches.map(|(id, entry)| (accepted_batch_key(id), entry.version));
        provisioning_requests
            .chain(accepted_batches)
            .take(controller.settings.txn_ops())
            .map(|(key, version)| (guard(key.clone(), version), Write::Delete { key }))
            .unzip()
    };
    if !writes.is_empty()
        && let Err(error) = controller
            .commit(RequestClass::Publication, guards, writes)
            .await
    {
        tracing::debug!(%error, "settled records stay");
    }
}

/// Writes onto jobs' own records that they are cancelled with what they await:
/// some at a time, in any order. All controllers know it without, and what it
/// follows from stays: final records are never dropped.
pub(super) async fn settle_cancelled(controller: &Controller) {
    let (guards, writes): (Vec<Precondition>, Vec<Write>) = {
        let replica = controller.replica.borrow();
        replica
            .cancelled_with_dependency()
            .filter_map(|id| {
                let mut job = replica.jobs.get(id)?.value.clone();
                job.cancel();
                let version = replica.job_version(id);
                Some((guard(job_key(id), version), put(job_key(id), &job)))
            })
            .take(controller.settings.txn_ops())
            .unzip()
    };
    if !writes.is_empty()
        && let Err(error) = controller
            .commit(RequestClass::Publication, guards, writes)
            .await
    {
        tracing::debug!(%error, "cancelled jobs not settled yet");
    }
}
