//! `POST /submissions/{id}/withdraw`: cancels a job. The response is sent after the
//! commit.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::is_retry_futile;
use super::query::{QUERY_TIMEOUT, final_state};
use super::responses::{no_such_job, record_unreadable, state_unavailable};
use crate::controller::Controller;
use crate::http::Response;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::state::commit::precondition;
use crate::state::keys::job_key;
use crate::state::records::{Job, is_job_id};
use crate::state::replica::Versioned;
use crate::wire::{JobStage, JobState};

/// Maximum duration of a cancellation. Users wait 5 s for the response.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(3500);

/// Handles `POST /submissions/{id}/withdraw`.
pub(super) async fn withdraw(controller: &Rc<Controller>, id: &str) -> Response {
    if !is_job_id(id) {
        return no_such_job();
    }
    // The timeout covers all waits, including the wait for the write budget.
    let response = timeout(CANCEL_TIMEOUT, cancel(controller, id)).await;
    response.unwrap_or_else(|_| state_unavailable())
}

/// Tries to cancel a job until the job is done or cancelled, or until a retry would be futile.
async fn cancel(controller: &Controller, id: &str) -> Response {
    let mut has_passed_barrier = false;
    loop {
        if let Some(response) = final_state(controller, id) {
            return response;
        }
        if !controller.is_state_service_reachable() {
            return state_unavailable();
        }
        if controller.replica.borrow().is_unreadable_job(id) {
            return record_unreadable();
        }
        let versioned_job = controller.replica.borrow().jobs.get(id).cloned();
        match versioned_job {
            Some(job) => match commit_cancellation(controller, id, &job).await {
                Ok(response) => return response,
                // 429: the commit was certainly not executed, so the same commit can be
                // retried.
                Err(StateClientError::Refused(429)) => {
                    back_off(controller).await;
                    continue;
                }
                // The job has changed in the meantime: read it again after a barrier.
                Err(StateClientError::Conflict(_)) => {}
                Err(error) if is_retry_futile(controller, &error) => return state_unavailable(),
                // The commit may have been executed: read the job again after a barrier.
                Err(_) => back_off(controller).await,
            },
            None if has_passed_barrier => return no_such_job(),
            None => has_passed_barrier = true,
        }
        if !controller
            .wait_for_barrier_unless_refused(QUERY_TIMEOUT)
            .await
        {
            return state_unavailable();
        }
    }
}

/// Waits for a jittered interval before the next try.
async fn back_off(controller: &Controller) {
    sleep(
        controller
            .state_client
            .jitter(controller.request_interval() * 4),
    )
    .await;
}

/// Commits the cancellation of an open job and returns the response to the user.
async fn commit_cancellation(
    controller: &Controller,
    id: &str,
    versioned_job: &Versioned<Job>,
) -> Result<Response, StateClientError> {
    let mut job = versioned_job.value.clone();
    job.cancel();
    let preconditions = vec![precondition(job_key(id), versioned_job.version)];
    let writes = vec![controller.replica.borrow().put_job(id, &job)];
    controller
        .commit(RequestClass::Accept, preconditions, writes)
        .await?;
    tracing::debug!(job = id, "job cancelled");
    let state = JobState {
        id,
        stage: JobStage::Cancelled,
        done: Some(job.done_count()),
        running: Some(0),
    };
    Ok(Response::json(200, &state))
}
