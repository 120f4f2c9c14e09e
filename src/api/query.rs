//! `GET /submissions/{id}`: returns the state of a job.
//!
//! The response for an unfinished job, or 404, can still change. Before such a response, the
//! controller waits for a barrier, which ensures that its replica contains all earlier
//! commits. Without the barrier, the response could be older than one that another controller
//! has already given.

use std::time::Duration;

use super::responses::{SHED_RETRY_AFTER_S, no_such_job, record_unreadable, state_unavailable};
use crate::controller::Controller;
use crate::http::Response;
use crate::settings::Settings;
use crate::state::records::{JobStatus, is_job_id};
use crate::state::replica::Replica;
use crate::wire::{JobStage, JobState};

/// Maximum duration of a query. Users wait 2 s for the response.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns the state of a job, for users and operators, or `None` if the replica does
/// not contain the job.
pub fn job_state<'a>(replica: &Replica, id: &'a str) -> Option<JobState<'a>> {
    let job = &replica.jobs.get(id)?.value;
    let booked = job.booked_count() as u32;
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

/// Returns the response for a job that is done or cancelled, or `None` for any other job.
/// These two states never change again, so the response needs no barrier.
pub(super) fn final_state(controller: &Controller, id: &str) -> Option<Response> {
    let replica = controller.replica.borrow();
    let state = job_state(&replica, id).filter(JobState::is_final)?;
    Some(Response::json(200, &state))
}

/// Returns whether a query is rejected to shed load.
///
/// A query is shed if `timer_lag` shows that this controller is overloaded, and if the
/// controller recently answered a query about the same job, `since_answer` ago. This leaves
/// CPU time for heartbeats, claims and submissions. Even then, every controller answers queries
/// about each job at intervals: otherwise users would assume that the job is lost.
pub fn should_shed_query(
    timer_lag: Duration,
    since_answer: Option<Duration>,
    settings: &Settings,
) -> bool {
    let is_overloaded = timer_lag > settings.heartbeat_interval() / 8;
    let min_interval = settings.worker_lease() / 2;
    is_overloaded && since_answer.is_some_and(|age| age < min_interval)
}

/// Handles `GET /submissions/{id}`.
pub(super) async fn query(controller: &Controller, id: &str) -> Response {
    let admissions = &controller.admissions;
    let since_answer = admissions.time_since_answer(id);
    let is_open = controller.replica.borrow().effective_status(id) == Some(JobStatus::Open);
    if is_open && should_shed_query(controller.timer_lag(), since_answer, &controller.settings) {
        return Response::unavailable("asked more often than can be answered", SHED_RETRY_AFTER_S);
    }
    let response = query_within(controller, id, QUERY_TIMEOUT).await;
    if is_open && response.status == 200 {
        admissions.record_answer(id);
    }
    response
}

/// Returns the response to a query. If the response needs a barrier, waits for it for at
/// most `limit`.
pub(super) async fn query_within(controller: &Controller, id: &str, limit: Duration) -> Response {
    if !is_job_id(id) {
        return no_such_job();
    }
    if let Some(response) = final_state(controller, id) {
        return response;
    }
    // Safety 1: any other response, including 404, must not be older than one that
    // another controller has given. This requires a barrier. While the state service is
    // unreachable, no barrier can complete, and the request fails without waiting.
    if !controller.is_state_service_reachable()
        || !controller.wait_for_barrier_unless_refused(limit).await
    {
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
