//! The acceptance loop: commits pending submissions in batches.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::is_retry_futile;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::state::commit::{precondition, put};
use crate::state::keys::{accepted_batch_key, job_key};
use crate::state::records::{AcceptedBatch, Job, JobSpec};
use crate::wire::{Precondition, Write};

/// The outcome of a submission that waited for its commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptanceOutcome {
    /// It has been committed.
    Committed,
    /// Its id was accepted before.
    AlreadyKnown,
}

/// A submission that waits for its commit, and the channel to its request. It is
/// dropped without an outcome when acceptance is given up.
pub struct PendingSubmission {
    pub(super) id: String,
    pub(super) spec: JobSpec,
    pub(super) outcome_sender: oneshot::Sender<AcceptanceOutcome>,
}

impl PendingSubmission {
    fn complete(self, outcome: AcceptanceOutcome) {
        // The request may be gone.
        let _ = self.outcome_sender.send(outcome);
    }

    /// Whether nobody waits for the outcome any more.
    fn is_abandoned(&self) -> bool {
        self.outcome_sender.is_closed()
    }

    /// The bytes that it takes in the record of an accepted batch; `None` if it
    /// cannot be serialized.
    fn record_bytes(&self) -> Option<usize> {
        // The quotes, the colon and the comma.
        const PUNCTUATION_BYTES: usize = 4;
        let spec = serde_json::to_vec(&self.spec).ok()?;
        Some(spec.len() + self.id.len() + PUNCTUATION_BYTES)
    }
}

/// Accepts submissions, as many at once as have gathered while the budget or
/// the last commit was waited for: a burst costs few writes.
pub async fn run_acceptance(controller: Rc<Controller>) {
    // The first does not wait; those behind it gather for this long.
    let batch_interval = controller.request_interval() * 4;
    loop {
        controller.admissions.wait_for_submission().await;
        while !controller.admissions.is_queue_empty() {
            controller
                .state_client
                .wait_for_budget(RequestClass::Accept, 1)
                .await;
            let began = Instant::now();
            let batch = take_batch(&controller);
            if !batch.is_empty() {
                commit_batch(&controller, batch).await;
            }
            sleep(batch_interval.saturating_sub(began.elapsed())).await;
        }
    }
}

/// Takes as many pending submissions as one record and one commit hold.
fn take_batch(controller: &Controller) -> Vec<PendingSubmission> {
    // Each job is a precondition, and the record of all of them one more.
    let max_jobs = controller.settings.txn_ops() * 2;
    let max_bytes = controller.settings.value_limit_bytes() * 9 / 10;
    let mut batch: Vec<PendingSubmission> = Vec::new();
    let mut bytes = 0;
    while batch.len() < max_jobs {
        let Some(next) = controller.admissions.dequeue() else {
            break;
        };
        // Its user has gone, or asks again.
        if next.is_abandoned() {
            continue;
        }
        let is_duplicate = batch.iter().any(|pending| pending.id == next.id);
        if is_duplicate || controller.replica.borrow().jobs.contains_key(&next.id) {
            next.complete(AcceptanceOutcome::AlreadyKnown);
            continue;
        }
        bytes += next.record_bytes().unwrap_or(max_bytes);
        if bytes > max_bytes && !batch.is_empty() {
            controller.admissions.requeue(std::iter::once(next));
            break;
        }
        batch.push(next);
    }
    batch
}

/// Commits a batch, and completes its submissions.
async fn commit_batch(controller: &Controller, batch: Vec<PendingSubmission>) {
    let BatchCommit {
        preconditions,
        write,
    } = batch_commit(controller, &batch);
    let committed = controller
        .commit(RequestClass::Accept, preconditions, vec![write])
        .await;
    match committed {
        Ok(_) => {
            tracing::debug!(jobs = batch.len(), "submissions accepted");
            for pending in batch {
                pending.complete(AcceptanceOutcome::Committed);
            }
        }
        Err(StateClientError::Conflict(keys)) => resolve_conflict(controller, batch, &keys),
        Err(error) if is_retry_futile(controller, &error) => {
            tracing::debug!(%error, "acceptance failed: all pending submissions are rejected");
            drop(batch);
            controller.admissions.reject_all();
        }
        Err(error) => {
            tracing::debug!(%error, "acceptance failed: the batch is retried");
            // It may have happened. Trying again is harmless: jobs that two
            // such records name are one job.
            controller.admissions.requeue(batch.into_iter());
            sleep(
                controller
                    .state_client
                    .jitter(controller.request_interval() * 4),
            )
            .await;
        }
    }
}

/// The commit that accepts a batch.
struct BatchCommit {
    preconditions: Vec<Precondition>,
    write: Write,
}

/// A single job gets a record of its own, several share the record of an accepted
/// batch.
fn batch_commit(controller: &Controller, batch: &[PendingSubmission]) -> BatchCommit {
    let accepted_revision = controller.replica.borrow().revision;
    let mut preconditions: Vec<Precondition> = batch
        .iter()
        .map(|pending| precondition(job_key(&pending.id), 0))
        .collect();
    if let [single] = batch {
        let job = Job::new(single.spec.clone(), accepted_revision);
        return BatchCommit {
            preconditions,
            write: put(job_key(&single.id), &job),
        };
    }
    let jobs: BTreeMap<String, JobSpec> = batch
        .iter()
        .map(|pending| (pending.id.clone(), pending.spec.clone()))
        .collect();
    let suffix = controller.rng.borrow_mut().random::<u64>();
    let key = accepted_batch_key(&format!("{}-{suffix:x}", controller.name()));
    preconditions.push(precondition(key.clone(), 0));
    let record = AcceptedBatch {
        accepted_revision,
        jobs,
    };
    BatchCommit {
        preconditions,
        write: put(key, &record),
    }
}

/// Completes the submissions whose keys exist by now, written by another controller
/// or by a commit of our own that got no response; the rest go into the next commit.
fn resolve_conflict(
    controller: &Controller,
    batch: Vec<PendingSubmission>,
    conflicting_keys: &[String],
) {
    let (known, rest): (Vec<PendingSubmission>, Vec<PendingSubmission>) = batch
        .into_iter()
        .partition(|pending| conflicting_keys.contains(&job_key(&pending.id)));
    for pending in known {
        pending.complete(AcceptanceOutcome::AlreadyKnown);
    }
    controller.admissions.requeue(rest.into_iter());
}
