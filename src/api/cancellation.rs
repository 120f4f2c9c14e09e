//! `POST /submissions/{id}/withdraw`: cancels a job. The response follows the commit.

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

/// The longest that a cancellation takes; its user waits 5 s.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(3500);

/// `POST /submissions/{id}/withdraw`.
pub(super) async fn withdraw(controller: &Rc<Controller>, id: &str) -> Response {
    if !is_job_id(id) {
        return no_such_job();
    }
    // All waits together, that for the write budget included.
    let response = timeout(CANCEL_TIMEOUT, cancel(controller, id)).await;
    response.unwrap_or_else(|_| state_unavailable())
}

/// Tries until the job is over, or another try is futile.
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
        let known = controller.replica.borrow().jobs.get(id).cloned();
        match known {
            Some(job) => match commit_cancellation(controller, id, &job).await {
                Ok(response) => return response,
                // Surely not executed: the same may be tried again.
                Err(StateClientError::Refused(429)) => {
                    back_off(controller).await;
                    continue;
                }
                // It changed meanwhile: look again.
                Err(StateClientError::Conflict(_)) => {}
                Err(error) if is_retry_futile(controller, &error) => return state_unavailable(),
                // It may have changed.
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

/// Waits before the next try.
async fn back_off(controller: &Controller) {
    sleep(
        controller
            .state_client
            .jitter(controller.request_interval() * 4),
    )
    .await;
}

/// Commits the cancellation of an open job, and returns the response to its user.
async fn commit_cancellation(
    controller: &Controller,
    id: &str,
    known: &Versioned<Job>,
) -> Result<Response, StateClientError> {
    let mut job = known.value.clone();
    job.cancel();
    let preconditions = vec![precondition(job_key(id), known.version)];
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
