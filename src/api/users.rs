//! What users ask: submission, query and withdrawal of jobs.
//!
//! Answers follow the commit. An answer that is not final, and 404, waits for a
//! barrier, so that it is not older than what another controller has told. A
//! request that cannot be served gets 503 with `Retry-After` at once.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::acceptance::{Acceptance, PendingSubmission};
use super::validation::{SubmissionError, check_submission, read_submission};
use crate::controller::Controller;
use crate::http::Response;
use crate::settings::Settings;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::guard;
use crate::state::keys::job_key;
use crate::state::records::{Job, JobStatus, Spec, is_job_id};
use crate::state::replica::{Entry, Replica};
use crate::wire::{JobStage, JobState, Submission};

/// The longest that a submission or a withdrawal takes; their users wait 5 s.
const ACCEPT_WAIT: Duration = Duration::from_millis(3500);

/// The longest that a query takes; its user waits 2 s.
const QUERY_WAIT: Duration = Duration::from_millis(1500);

/// Seconds after which a user may come back: as soon as the protocol allows.
const RETRY_SOON: u32 = 1;

/// The same for a user who asks more often than can be answered.
const RETRY_SHED: u32 = 2;

/// The same where an operator has to step in: the most that users follow.
const RETRY_LATE: u32 = 30;

fn state_unavailable() -> Response {
    Response::unavailable("the state service does not answer", RETRY_SOON)
}

/// The job was accepted, but its record cannot be read.
fn record_unreadable() -> Response {
    Response::unavailable("the job's record cannot be read", RETRY_LATE)
}

fn no_such_job() -> Response {
    Response::error(404, "no such job")
}

fn refused(refusal: SubmissionError) -> Response {
    match refusal {
        SubmissionError::Malformed(problem) => Response::error(400, &problem),
        SubmissionError::Never(problem) => Response::error(422, &problem),
        SubmissionError::Unknown => Response::unavailable("not decidable yet", RETRY_SOON),
    }
}

/// What users and operators are told of a job.
pub fn job_state<'a>(replica: &Replica, id: &'a str) -> Option<JobState<'a>> {
    let job = &replica.jobs.get(id)?.value;
    let booked = job.booked() as u32;
    let (stage, running) = match replica.effective_status(id)? {
        JobStatus::Done => (JobStage::Done, 0),
        JobStatus::Cancelled => (JobStage::Cancelled, 0),
        JobStatus::Open if booked > 0 => (JobStage::Running, booked),
        JobStatus::Open => (JobStage::Queued, 0),
    };
    Some(JobState {
        id,
        stage,
        done: Some(job.done_count()),
        running: Some(running),
    })
}

/// The state of a job that is over. It never changes, so it needs no barrier.
fn final_state(controller: &Controller, id: &str) -> Option<Response> {
    let replica = controller.replica.borrow();
    let state = job_state(&replica, id).filter(JobState::is_final)?;
    Some(Response::json(200, &state))
}

fn is_known(controller: &Controller, id: &str) -> bool {
    controller.replica.borrow().jobs.contains_key(id)
}

/// `POST /submissions`.
pub(super) async fn submit(controller: &Rc<Controller>, body: &[u8]) -> Response {
    let began = Instant::now();
    let submission = match read_submission(body) {
        Ok(submission) => submission,
        Err(refusal) => return refused(refusal),
    };
    if let Some(answer) = answer_known_job(controller, &submission.id, ACCEPT_WAIT).await {
        return answer;
    }
    if let Some(answer) = cannot_accept_now(controller, &submission) {
        return answer;
    }
    let left = || ACCEPT_WAIT.saturating_sub(began.elapsed());
    let spec = match decide(controller, &submission, left()).await {
        Ok(spec) => spec,
        Err(answer) => return answer,
    };
    accept(controller, &submission.id, spec, left()).await
}

/// A known job gets its state, whatever the repeated body says.
async fn answer_known_job(controller: &Controller, id: &str, limit: Duration) -> Option<Response> {
    if controller.replica.borrow().is_unreadable_job(id) {
        return Some(record_unreadable());
    }
    match is_known(controller, id) {
        true => Some(query_within(controller, id, limit).await),
        false => None,
    }
}

/// What cannot be taken now is refused at once, with when to come back.
fn cannot_accept_now(controller: &Controller, submission: &Submission) -> Option<Response> {
    let replica = controller.replica.borrow();
    if !replica.loaded || !controller.is_state_service_reachable() {
        return Some(state_unavailable());
    }
    // Safety 8: a program that does not know `awaits` would start the job at
    // once, and write its record back without.
    let dependencies = submission
        .dependencies
        .as_ref()
        .is_some_and(|a| !a.is_empty());
    if dependencies && !replica.all_read_compact_encodings() {
        let problem = "not every controller knows awaits yet";
        return Some(Response::unavailable(problem, RETRY_SOON));
    }
    None
}

/// Whether the job can be accepted; the answer to its user if not. A refusal for
/// good is decided on a replica that has passed a barrier: it may else lag behind
/// the acceptance of this very id, by a controller that knew other machine types,
/// or behind that of a job that it awaits.
async fn decide(
    controller: &Controller,
    submission: &Submission,
    limit: Duration,
) -> Result<Spec, Response> {
    let check = || {
        check_submission(
            submission,
            &controller.settings,
            &controller.replica.borrow(),
        )
    };
    match check() {
        Ok(spec) => return Ok(spec),
        Err(SubmissionError::Unknown) => return Err(refused(SubmissionError::Unknown)),
        Err(SubmissionError::Never(_) | SubmissionError::Malformed(_)) => {}
    }
    if !controller.barrier_unless_refused(limit).await {
        return Err(state_unavailable());
    }
    match answer_known_job(controller, &submission.id, QUERY_WAIT).await {
        Some(answer) => Err(answer),
        None => check().map_err(refused),
    }
}

/// Safety 1: accepted means committed. The commit's guard makes a repeat, here or
/// at another controller, find the first one.
async fn accept(controller: &Controller, id: &str, spec: Spec, limit: Duration) -> Response {
    let (done, committed) = oneshot::channel();
    let owned_id = id.to_string();
    let pending = PendingSubmission {
        id: owned_id,
        spec,
        done,
    };
    controller
        .admissions
        .pending_submissions
        .borrow_mut()
        .push_back(pending);
    controller.admissions.acceptance_notify.notify_one();
    match timeout(limit, committed).await {
        Ok(Ok(Acceptance::Committed)) => accepted(controller, id),
        Ok(Ok(Acceptance::KnownBefore)) => query_within(controller, id, QUERY_WAIT).await,
        // The loop has given it up, or takes too long.
        Ok(Err(_)) | Err(_) => state_unavailable(),
    }
}

/// The commit's answer may have taken long: whoever found the job meanwhile may
/// have cancelled it, and been told so; or it awaits one that is cancelled, and
/// is cancelled from the start.
fn accepted(controller: &Controller, id: &str) -> Response {
    if let Some(answer) = final_state(controller, id) {
        return answer;
    }
    let state = JobState {
        id,
        stage: JobStage::Queued,
        done: None,
        running: None,
    };
    Response::json(201, &state)
}

/// Whether a query is turned away: users ask more than can be answered, and this
/// one was answered here a short while ago. Reports, claims and submissions need
/// the processor more; but whoever asks about a job is answered now and then by
/// every controller, or it would look forgotten.
pub fn should_shed_query(lag: Duration, answered: Option<Duration>, settings: &Settings) -> bool {
    let report = settings.heartbeat_interval();
    lag > report / 8 && answered.is_some_and(|age| age < settings.worker_lease() / 2)
}

/// `GET /submissions/{id}`.
pub(super) async fn query(controller: &Controller, id: &str) -> Response {
    let age = controller
        .admissions
        .last_answered
        .borrow()
        .get(id)
        .map(Instant::elapsed);
    let is_open = controller.replica.borrow().effective_status(id) == Some(JobStatus::Open);
    if is_open && should_shed_query(controller.lag(), age, &controller.settings) {
        return Response::unavailable("asked more often than can be answered", RETRY_SHED);
    }
    let response = query_within(controller, id, QUERY_WAIT).await;
    if is_open && response.status == 200 {
        let mut answered = controller.admissions.last_answered.borrow_mut();
        answered.insert(id.to_string(), Instant::now());
    }
    response
}

async fn query_within(controller: &Controller, id: &str, limit: Duration) -> Response {
    if !is_job_id(id) {
        return no_such_job();
    }
    if let Some(answer) = final_state(controller, id) {
        return answer;
    }
    // Safety 1: anything else must not be older than what another controller
    // has told; 404 included. Without the state service that is not to be had,
    // and nobody is kept waiting for it.
    if !controller.is_state_service_reachable() || !controller.barrier_unless_refused(limit).await {
        return state_unavailable();
    }
    let replica = controller.replica.borrow();
    if replica.is_unreadable_job(id) {
        return record_unreadable();
    }
    match job_state(&replica, id) {
        Some(state) => Response::json(200, &state),
        None => no_such_job(),
    }
}

/// `POST /submissions/{id}/withdraw`.
pub(super) async fn withdraw(controller: &Rc<Controller>, id: &str) -> Response {
    if !is_job_id(id) {
        return no_such_job();
    }
    // All waits together, that for the write budget included.
    let answer = timeout(ACCEPT_WAIT, cancel(controller, id)).await;
    answer.unwrap_or_else(|_| state_unavailable())
}

/// Tries until the job is over, or nothing is gained by another try.
async fn cancel(controller: &Controller, id: &str) -> Response {
    let pause = || sleep(controller.store.jitter(controller.request_gap() * 4));
    let mut is_fresh = false;
    loop {
        if let Some(answer) = final_state(controller, id) {
            return answer;
        }
        if !controller.is_state_service_reachable() {
            return state_unavailable();
        }
        if controller.replica.borrow().is_unreadable_job(id) {
            return record_unreadable();
        }
        let known = controller.replica.borrow().jobs.get(id).cloned();
        match known {
            Some(job) => match commit_cancellation(controller, id, &job).await {
                Ok(response) => return response,
                // Surely not executed: the same may be tried again.
                Err(StoreError::Refused(429)) => {
                    pause().await;
                    continue;
                }
                // It changed meanwhile: look again.
                Err(StoreError::Conflict(_)) => {}
                Err(error) if is_hopeless(controller, &error) => return state_unavailable(),
                // It may have changed.
                Err(_) => pause().await,
            },
            None if is_fresh => return no_such_job(),
            None => is_fresh = true,
        }
        if !controller.barrier_unless_refused(QUERY_WAIT).await {
            return state_unavailable();
        }
    }
}

/// Commits the cancellation of an open job; the answer to its user once it is.
async fn commit_cancellation(
    controller: &Controller,
    id: &str,
    known: &Entry<Job>,
) -> Result<Response, StoreError> {
    let mut job = known.value.clone();
    job.cancel();
    let guards = vec![guard(job_key(id), known.version)];
    let writes = vec![controller.replica.borrow().put_job(id, &job)];
    controller
        .commit(RequestClass::Accept, guards, writes)
        .await?;
    tracing::debug!(job = id, "cancelled");
    let state = JobState {
        id,
        stage: JobStage::Cancelled,
        done: Some(job.done_count()),
        running: Some(0),
    };
    Ok(Response::json(200, &state))
}

/// Whether nothing is gained by trying a user's commit again for now: the state
/// service serves nothing here, or would refuse the same again.
pub(super) fn is_hopeless(controller: &Controller, error: &StoreError) -> bool {
    let same_again = matches!(error, StoreError::Limits(_) | StoreError::TooLong(_));
    same_again || error.is_refusal() || !controller.is_state_service_reachable()
}
