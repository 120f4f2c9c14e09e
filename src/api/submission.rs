//! `POST /submissions`: validates a job and waits until it is committed.
//!
//! The response is sent after the commit. A request that cannot be served now gets 503
//! with `Retry-After` immediately.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::acceptance::{AcceptanceOutcome, PendingSubmission};
use super::query::{QUERY_TIMEOUT, final_state, query_within};
use super::responses::{MIN_RETRY_AFTER_S, record_unreadable, state_unavailable};
use super::validation::{SubmissionError, check_submission, read_submission};
use crate::controller::Controller;
use crate::http::Response;
use crate::state::records::JobSpec;
use crate::wire::{JobStage, JobState, Submission};

/// Maximum duration of a submission. Users wait 5 s for the response.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3500);

/// Handles `POST /submissions`.
pub(super) async fn submit(controller: &Rc<Controller>, body: &[u8]) -> Response {
    let started_at = Instant::now();
    let submission = match read_submission(body) {
        Ok(submission) => submission,
        Err(error) => return error.into(),
    };
    if let Some(response) = query_known_job(controller, &submission.id, SUBMIT_TIMEOUT).await {
        return response;
    }
    if let Some(response) = cannot_accept_now(controller, &submission) {
        return response;
    }
    let remaining = || SUBMIT_TIMEOUT.saturating_sub(started_at.elapsed());
    let spec = match validate(controller, &submission, remaining()).await {
        Ok(spec) => spec,
        Err(response) => return response,
    };
    accept(controller, &submission.id, spec, remaining()).await
}

/// Returns the response for a job that was accepted before, or `None` for a new job. The
/// rest of a repeated submission is not compared with the accepted job.
async fn query_known_job(controller: &Controller, id: &str, limit: Duration) -> Option<Response> {
    if controller.replica.borrow().is_unreadable_job(id) {
        return Some(record_unreadable());
    }
    let is_known = controller.replica.borrow().jobs.contains_key(id);
    match is_known {
        true => Some(query_within(controller, id, limit).await),
        false => None,
    }
}

/// Returns 503 with `Retry-After` for a submission that this controller cannot accept at
/// present, and `None` for any other.
fn cannot_accept_now(controller: &Controller, submission: &Submission) -> Option<Response> {
    let replica = controller.replica.borrow();
    if !replica.loaded || !controller.is_state_service_reachable() {
        return Some(state_unavailable());
    }
    // Safety 8: a controller of an earlier version that does not support `awaits` would
    // start the job without waiting, and would drop the field when it rewrites the
    // job's record.
    let has_dependencies = submission
        .dependencies
        .as_ref()
        .is_some_and(|dependencies| !dependencies.is_empty());
    if has_dependencies && !replica.all_read_compact_encodings() {
        let problem = "not every controller knows awaits yet";
        return Some(Response::unavailable(problem, MIN_RETRY_AFTER_S));
    }
    None
}

/// Returns the spec to record if the job can be accepted, and the response to the user
/// otherwise.
///
/// Before a permanent rejection, the replica has to pass a barrier, because the rejection may
/// be based on an outdated replica. A dependency may have been accepted in the meantime. Or
/// another controller may already have accepted a job with the same id, based on other
/// machine types than this controller knows.
async fn validate(
    controller: &Controller,
    submission: &Submission,
    limit: Duration,
) -> Result<JobSpec, Response> {
    let check = || {
        let replica = controller.replica.borrow();
        check_submission(submission, &controller.settings, &replica)
    };
    match check() {
        Ok(spec) => return Ok(spec),
        Err(error @ SubmissionError::Undecidable) => return Err(error.into()),
        Err(SubmissionError::Unsatisfiable(_) | SubmissionError::Malformed(_)) => {}
    }
    if !controller.wait_for_barrier_unless_refused(limit).await {
        return Err(state_unavailable());
    }
    match query_known_job(controller, &submission.id, QUERY_TIMEOUT).await {
        Some(response) => Err(response),
        None => check().map_err(Response::from),
    }
}

/// Enqueues a submission and waits for its outcome.
///
/// Safety 1: a job counts as accepted only after its commit. If the submission is
/// repeated, here or at another controller, the commit's precondition fails, and the
/// response describes the job that was accepted first.
async fn accept(controller: &Controller, id: &str, spec: JobSpec, limit: Duration) -> Response {
    let (outcome_sender, outcome) = oneshot::channel();
    controller.admissions.enqueue(PendingSubmission {
        id: id.to_string(),
        spec,
        outcome_sender,
    });
    match timeout(limit, outcome).await {
        Ok(Ok(AcceptanceOutcome::Committed)) => accepted(controller, id),
        Ok(Ok(AcceptanceOutcome::AlreadyKnown)) => {
            query_within(controller, id, QUERY_TIMEOUT).await
        }
        // The acceptance loop has dropped the submission, or the time limit has passed.
        Ok(Err(_)) | Err(_) => state_unavailable(),
    }
}

/// Returns the response to a submission that has been committed.
///
/// The job may already be cancelled, for one of two reasons. Another request may have
/// cancelled the job while the commit's response was delayed. Or the job depends on a cancelled
/// job, and so counts as cancelled from the start.
fn accepted(controller: &Controller, id: &str) -> Response {
    if let Some(response) = final_state(controller, id) {
        return response;
    }
    let state = JobState {
        id,
        stage: JobStage::Queued,
        done: None,
        running: None,
    };
    Response::json(201, &state)
}
