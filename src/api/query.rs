//! `GET /submissions/{id}`: the state of a job.
//!
//! A response that is not final, and 404, waits for a barrier, so that it is not
//! older than what another controller has answered.

use std::time::Duration;

use super::responses::{RETRY_SHED, no_such_job, record_unreadable, state_unavailable};
use crate::controller::Controller;
use crate::http::Response;
use crate::settings::Settings;
use crate::state::records::{JobStatus, is_job_id};
use crate::state::replica::Replica;
use crate::wire::{JobStage, JobState};

/// The longest that a query takes; its user waits 2 s.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(1500);

/// The state of a job, for users and operators; `None` for one that is not known.
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

/// The state of a job that is over. It never changes, so it needs no barrier.
pub(super) fn final_state(controller: &Controller, id: &str) -> Option<Response> {
    let replica = controller.replica.borrow();
    let state = job_state(&replica, id).filter(JobState::is_final)?;
    Some(Response::json(200, &state))
}

/// Whether a query is shed: users ask more than can be answered, and the same job
/// was answered here a short while ago, the time `since_answer`. Heartbeats, claims
/// and submissions need the processor more; but every controller still answers
/// about each job now and then, or the job would look forgotten.
pub fn should_shed_query(
    lag: Duration,
    since_answer: Option<Duration>,
    settings: &Settings,
) -> bool {
    let is_overloaded = lag > settings.heartbeat_interval() / 8;
    let min_interval = settings.worker_lease() / 2;
    is_overloaded && since_answer.is_some_and(|age| age < min_interval)
}

/// `GET /submissions/{id}`.
pub(super) async fn query(controller: &Controller, id: &str) -> Response {
    let admissions = &controller.admissions;
    let since_answer = admissions.time_since_answer(id);
    let is_open = controller.replica.borrow().effective_status(id) == Some(JobStatus::Open);
    if is_open && should_shed_query(controller.timer_lag(), since_answer, &controller.settings) {
        return Response::unavailable("asked more often than can be answered", RETRY_SHED);
    }
    let response = query_within(controller, id, QUERY_TIMEOUT).await;
    if is_open && response.status == 200 {
        admissions.record_answer(id);
    }
    response
}

/// The state of a job, after a barrier that takes at most `limit`.
pub(super) async fn query_within(controller: &Controller, id: &str, limit: Duration) -> Response {
    if !is_job_id(id) {
        return no_such_job();
    }
    if let Some(response) = final_state(controller, id) {
        return response;
    }
    // Safety 1: anything else must not be older than what another controller
    // has told; 404 included. Without the state service that is not to be had,
    // and nobody is kept waiting for it.
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
