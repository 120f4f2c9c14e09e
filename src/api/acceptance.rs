//! Acceptance of submissions: those that wait are committed together.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::users::is_hopeless;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::{guard, put};
use crate::state::keys::{accepted_batch_key, job_key};
use crate::state::records::{AcceptedBatch, Job, Spec};
use crate::wire::{Precondition, Write};

/// What became of a submission that was to be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It has been committed.
    Committed,
    /// Its id was accepted before.
    KnownBefore,
}

/// A submission that waits to be accepted, and who waits for that. It is dropped
/// when acceptance is given up.
pub struct PendingSubmission {
    pub(super) id: String,
    pub(super) spec: Spec,
    pub(super) done: oneshot::Sender<Acceptance>,
}

impl PendingSubmission {
    fn answer(self, acceptance: Acceptance) {
        // Its user may have gone.
        let _ = self.done.send(acceptance);
    }

    /// The bytes that it takes in a record of arrivals.
    fn bytes(&self) -> Option<usize> {
        // The quotes, the colon and the comma.
        let marks = 4;
        let spec = serde_json::to_vec(&self.spec).ok()?;
        Some(spec.len() + self.id.len() + marks)
    }
}

/// Accepts submissions, as many at once as have gathered while the budget or
/// the last commit was waited for: a rush costs few writes.
pub async fn run_acceptance(controller: Rc<Controller>) {
    // The first does not wait; those behind it gather for a moment.
    let gather = controller.request_gap() * 4;
    loop {
        controller.admissions.acceptance_notify.notified().await;
        while !controller
            .admissions
            .pending_submissions
            .borrow()
            .is_empty()
        {
            controller
                .store
                .wait_for_budget(RequestClass::Accept, 1)
                .await;
            let begun = Instant::now();
            let batch = take_batch(&controller);
            if !batch.is_empty() {
                commit_batch(&controller, batch).await;
            }
            sleep(gather.saturating_sub(begun.elapsed())).await;
        }
    }
}

/// Takes as many of those that wait as one record and one commit hold.
fn take_batch(controller: &Controller) -> Vec<PendingSubmission> {
    // Each is a condition, and the record of all of them one more.
    let most_jobs = controller.settings.txn_ops() * 2;
    let most_bytes = controller.settings.value_limit_bytes() * 9 / 10;
    let mut batch: Vec<PendingSubmission> = Vec::new();
    let mut bytes = 0;
    while batch.len() < most_jobs {
        let Some(next) = controller
            .admissions
            .pending_submissions
            .borrow_mut()
            .pop_front()
        else {
            break;
        };
        // Its user has gone, or asks again.
        if next.done.is_closed() {
            continue;
        }
        let is_twice = batch.iter().any(|a| a.id == next.id);
        if is_twice || controller.replica.borrow().jobs.contains_key(&next.id) {
            next.answer(Acceptance::KnownBefore);
            continue;
        }
        bytes += next.bytes().unwrap_or(most_bytes);
        if bytes > most_bytes && !batch.is_empty() {
            controller
                .admissions
                .pending_submissions
                .borrow_mut()
                .push_front(next);
            break;
        }
        batch.push(next);
    }
    batch
}

/// Commits a batch, and tells those who wait.
async fn commit_batch(controller: &Controller, batch: Vec<PendingSubmission>) {
    let (guards, write) = batch_commit(controller, &batch);
    match controller
        .commit(RequestClass::Accept, guards, vec![write])
        .await
    {
        Ok(_) => {
            tracing::debug!(jobs = batch.len(), "accepted");
            for pending in batch {
                pending.answer(Acceptance::Committed);
            }
        }
        Err(StoreError::Conflict(keys)) => sort_out(controller, batch, &keys),
        Err(error) if is_hopeless(controller, &error) => {
            tracing::debug!(%error, "not accepted: all who wait are told to come back");
            drop(batch);
            controller
                .admissions
                .pending_submissions
                .borrow_mut()
                .clear();
        }
        Err(error) => {
            tracing::debug!(%error, "not accepted");
            // It may have happened. Trying again is harmless: jobs that two
            // such records name are one job.
            put_back(controller, batch);
            sleep(controller.store.jitter(controller.request_gap() * 4)).await;
        }
    }
}

/// One job stands in a record of its own, several in a record of arrivals.
fn batch_commit(
    controller: &Controller,
    batch: &[PendingSubmission],
) -> (Vec<Precondition>, Write) {
    let accepted_revision = controller.replica.borrow().revision;
    let mut guards: Vec<Precondition> = batch.iter().map(|a| guard(job_key(&a.id), 0)).collect();
    if let [one] = batch {
        let job = Job::new(one.spec.clone(), accepted_revision);
        return (guards, put(job_key(&one.id), &job));
    }
    let jobs: BTreeMap<String, Spec> = batch
        .iter()
        .map(|a| (a.id.clone(), a.spec.clone()))
        .collect();
    let number = controller.rng.borrow_mut().random::<u64>();
    let key = accepted_batch_key(&format!("{}-{number:x}", controller.name()));
    guards.push(guard(key.clone(), 0));
    (
        guards,
        put(
            key,
            &AcceptedBatch {
                accepted_revision,
                jobs,
            },
        ),
    )
}

/// Those whose keys have failed are known by now, to another controller or by a
/// commit of our own that got no answer; the rest go into the next commit.
fn sort_out(controller: &Controller, batch: Vec<PendingSubmission>, failed: &[String]) {
    let (known, rest): (Vec<PendingSubmission>, Vec<PendingSubmission>) = batch
        .into_iter()
        .partition(|a| failed.contains(&job_key(&a.id)));
    for pending in known {
        pending.answer(Acceptance::KnownBefore);
    }
    put_back(controller, rest);
}

/// Puts these first in line again, in their order.
fn put_back(controller: &Controller, batch: Vec<PendingSubmission>) {
    let mut pending_submissions = controller.admissions.pending_submissions.borrow_mut();
    for pending in batch.into_iter().rev() {
        pending_submissions.push_front(pending);
    }
}
