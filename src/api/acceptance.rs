//! Accepts jobs: the acceptance loop commits pending submissions in batches.

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

/// Outcome that the acceptance loop reports for a pending submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptanceOutcome {
    /// The job was new and has been committed.
    Committed,
    /// A job with the same id was accepted earlier; this submission wrote nothing.
    AlreadyKnown,
}

/// Submission that waits for its commit, and the channel to the request handler that waits
/// for the outcome. If the acceptance loop gives up on a submission, it drops the submission
/// without sending an outcome, and the handler sees a closed channel.
pub struct PendingSubmission {
    pub(super) id: String,
    pub(super) spec: JobSpec,
    pub(super) outcome_sender: oneshot::Sender<AcceptanceOutcome>,
}

impl PendingSubmission {
    /// Sends the outcome to the request handler.
    fn complete(self, outcome: AcceptanceOutcome) {
        // Sending fails if the request has timed out. Nobody needs the outcome then.
        let _ = self.outcome_sender.send(outcome);
    }

    /// Returns whether the request no longer waits for the outcome.
    fn is_abandoned(&self) -> bool {
        self.outcome_sender.is_closed()
    }

    /// Returns the size of this submission in the record of an accepted batch, in
    /// bytes, or `None` if its spec cannot be serialized.
    fn record_bytes(&self) -> Option<usize> {
        // Two quotes, a colon and a comma around each JSON map entry.
        const PUNCTUATION_BYTES: usize = 4;
        let spec = serde_json::to_vec(&self.spec).ok()?;
        Some(spec.len() + self.id.len() + PUNCTUATION_BYTES)
    }
}

/// Runs the acceptance loop, which commits pending submissions in batches.
///
/// Submissions that arrive while the loop waits for the request budget or for the
/// previous commit share the next commit, so that a burst costs few writes.
pub async fn run_acceptance(controller: Rc<Controller>) {
    // The first submission is committed without delay; later ones are collected into
    // a batch for this long.
    let batch_interval = controller.request_interval() * 4;
    loop {
        controller.admissions.wait_for_submission().await;
        while !controller.admissions.is_queue_empty() {
            controller
                .state_client
                .wait_for_budget(RequestClass::Accept, 1)
                .await;
            let started_at = Instant::now();
            let batch = take_batch(&controller);
            if !batch.is_empty() {
                commit_batch(&controller, batch).await;
            }
            sleep(batch_interval.saturating_sub(started_at.elapsed())).await;
        }
    }
}

/// Dequeues as many pending submissions as fit into one record and one commit.
///
/// Abandoned submissions are dropped. Submissions whose job is already known are completed
/// with [`AcceptanceOutcome::AlreadyKnown`].
fn take_batch(controller: &Controller) -> Vec<PendingSubmission> {
    // The commit has one precondition for each job, and one for the batch's record. This is
    // well below the protocol's limit, which allows four preconditions for each write that a
    // commit may have.
    let max_jobs = controller.settings.max_writes_per_commit() * 2;
    let max_bytes = controller.settings.value_limit_bytes() * 9 / 10;
    let mut batch: Vec<PendingSubmission> = Vec::new();
    let mut bytes = 0;
    while batch.len() < max_jobs {
        let Some(next) = controller.admissions.dequeue() else {
            break;
        };
        // The request has timed out, or the user has disconnected and will retry.
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

/// Commits a batch and completes its submissions.
///
/// After a conflict, the submissions whose jobs exist already are completed, and the others
/// are requeued. After any other error, the whole batch is requeued. But if a retry would be
/// futile, all pending submissions are rejected.
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
            // The commit may have been executed. A retry is harmless: two batch records
            // that contain the same job id describe one job.
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

/// Contents of the commit that accepts a batch.
struct BatchCommit {
    preconditions: Vec<Precondition>,
    write: Write,
}

/// Builds the commit that accepts a batch.
///
/// A single job gets its own job record; several jobs share one [`AcceptedBatch`]
/// record.
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

/// Completes the submissions whose job keys exist already, and requeues the others for
/// the next commit.
///
/// An existing key was written by another controller, or by an earlier commit of this
/// controller whose response was lost.
fn resolve_conflict(
    controller: &Controller,
    batch: Vec<PendingSubmission>,
    conflicting_keys: &[String],
) {
    let (known, remaining): (Vec<PendingSubmission>, Vec<PendingSubmission>) = batch
        .into_iter()
        .partition(|pending| conflicting_keys.contains(&job_key(&pending.id)));
    for pending in known {
        pending.complete(AcceptanceOutcome::AlreadyKnown);
    }
    controller.admissions.requeue(remaining.into_iter());
}
