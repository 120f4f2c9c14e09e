//! `POST /submissions`: validates a job and waits until it is committed.
//!
//! The response follows the commit. A request that cannot be served gets 503 with
//! `Retry-After` at once.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::acceptance::{AcceptanceOutcome, PendingSubmission};
use super::query::{QUERY_TIMEOUT, final_state, query_within};
use super::responses::{RETRY_SOON, record_unreadable, state_unavailable};
use super::validation::{SubmissionError, check_submission, read_submission};
use crate::controller::Controller;
use crate::http::Response;
use crate::state::records::JobSpec;
use crate::wire::{JobStage, JobState, Submission};

/// The longest that a submission takes; its user waits 5 s.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3500);

/// `POST /submissions`.
pub(super) async fn submit(controller: &Rc<Controller>, body: &[u8]) -> Response {
    let began = Instant::now();
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
    let remaining = || SUBMIT_TIMEOUT.saturating_sub(began.elapsed());
    let spec = match validate(controller, &submission, remaining()).await {
        Ok(spec) => spec,
        Err(response) => return response,
    };
    accept(controller, &submission.id, spec, remaining()).await
}

/// The state of a job that is known already, whatever the repeated body says;
/// `None` for a new job.
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

/// The response to a submission that cannot be taken now: refused at once, with
/// the time after which to come back.
fn cannot_accept_now(controller: &Controller, submission: &Submission) -> Option<Response> {
    let replica = controller.replica.borrow();
    if !replica.loaded || !controller.is_state_service_reachable() {
        return Some(state_unavailable());
    }
    // Safety 8: a program that does not know `awaits` would start the job at
    // once, and write its record back without.
    let has_dependencies = submission
        .dependencies
        .as_ref()
        .is_some_and(|dependencies| !dependencies.is_empty());
    if has_dependencies && !replica.all_read_compact_encodings() {
        let problem = "not every controller knows awaits yet";
        return Some(Response::unavailable(problem, RETRY_SOON));
    }
    None
}

/// The spec to record if the job can be accepted, and the response to its user if
/// not. A permanent rejection is decided on a replica that has passed a barrier: it
/// may else lag behind the acceptance of this very id, by a controller that knew
/// other machine types, or behind that of a job that it depends on.
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

/// Safety 1: accepted means committed. The commit's precondition makes a repeat,
/// here or at another controller, find the first one.
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
        // The acceptance loop has given it up, or takes too long.
        Ok(Err(_)) | Err(_) => state_unavailable(),
    }
}

/// The response to a submission that has been committed. The commit's response may
/// have taken long: whoever found the job meanwhile may have cancelled it, and been
/// told so; or it depends on one that is cancelled, and is cancelled from the start.
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
