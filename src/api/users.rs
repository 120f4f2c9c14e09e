//! What users ask: submission, query and withdrawal of jobs.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::acceptance::Arrival;
use super::validation::{Refusal, check_submission, read_submission};
use crate::http::Response;
use crate::model::{Final, Job, is_job_id};
use crate::node::{Node, guard};
use crate::settings::Settings;
use crate::store::{Class, StoreError};
use crate::view::{Entry, View, job_key};
use crate::wire::{JobStage, JobState};

/// How long a request may wait for the state service: users wait 5 s for a
/// submission and 2 s for a poll.
const ACCEPT_WAIT: Duration = Duration::from_millis(3500);
const POLL_WAIT: Duration = Duration::from_millis(1500);

/// The job was accepted, but its record cannot be read.
fn unreadable() -> Response {
    Response::unavailable("the job's record cannot be read", 30)
}

fn busy() -> Response {
    Response::unavailable("the state service does not answer", 1)
}

pub(super) async fn submit(node: &Rc<Node>, body: &[u8]) -> Response {
    let began = Instant::now();
    // All waits together: the user waits no longer.
    let left = || ACCEPT_WAIT.saturating_sub(began.elapsed());
    let submission = match read_submission(body) {
        Ok(s) => s,
        Err(Refusal::Malformed(problem)) => return Response::error(400, &problem),
        Err(_) => return busy(),
    };
    let id = submission.id.clone();
    if node.view.borrow().is_unreadable_job(&id) {
        return unreadable();
    }
    // A known job gets its state, whatever the repeated body says.
    if node.view.borrow().jobs.contains_key(&id) {
        return poll_within(node, &id, ACCEPT_WAIT).await;
    }
    // What cannot be taken now is refused at once, with when to come back.
    if !node.view.borrow().loaded || !node.has_state() {
        return busy();
    }
    // Safety 8: a program that does not know `awaits` would start the job at
    // once, and write its record back without.
    let awaits = submission.awaits.as_ref().is_some_and(|a| !a.is_empty());
    if awaits && !node.view.borrow().upgraded() {
        return Response::unavailable("not every controller knows awaits yet", 1);
    }
    let check = || check_submission(&submission, &node.settings, &node.view.borrow());
    let mut checked = check();
    if matches!(checked, Err(Refusal::Never(_) | Refusal::Malformed(_))) {
        // The view may lag behind the acceptance of this very id, by a
        // controller that knew other machine types, or behind that of one
        // which it awaits: be sure before a no.
        if !node.barrier_unless_refused(left()).await {
            return busy();
        }
        if node.view.borrow().is_unreadable_job(&id) {
            return unreadable();
        }
        if node.view.borrow().jobs.contains_key(&id) {
            return poll_within(node, &id, POLL_WAIT).await;
        }
        checked = check();
    }
    let spec = match checked {
        Ok(spec) => spec,
        Err(Refusal::Unknown) => return Response::unavailable("not decidable yet", 1),
        Err(Refusal::Never(problem)) => return Response::error(422, &problem),
        Err(Refusal::Malformed(problem)) => return Response::error(400, &problem),
    };
    // Safety 1: accepted means committed. The guard makes a repeat, here or
    // on another controller, find the first one.
    let (done, answer) = oneshot::channel();
    let arrival = Arrival {
        id: id.clone(),
        spec,
        done,
    };
    node.arrivals.borrow_mut().push_back(arrival);
    node.arrivals_wanted.notify_one();
    match timeout(left(), answer).await {
        Ok(Ok(true)) => {
            // The commit's answer may have taken long: whoever found the job
            // meanwhile may have called it off, and been told so; or it names
            // one that is cancelled, and is cancelled from the start.
            let view = node.view.borrow();
            if let Some(state) = state_of(&view, &id).filter(|s| s.is_final()) {
                return Response::json(200, &state);
            }
            let state = JobState {
                id: &id,
                stage: JobStage::Queued,
                done: None,
                running: None,
            };
            Response::json(201, &state)
        }
        Ok(Ok(false)) => poll_within(node, &id, POLL_WAIT).await,
        _ => busy(),
    }
}

/// Whether nothing is gained by trying a user's commit again for now: the state
/// service serves nothing here, or would refuse the same again.
pub(super) fn is_given_up(node: &Node, error: &StoreError) -> bool {
    let same_again = matches!(error, StoreError::Limits(_) | StoreError::TooLong(_));
    same_again || error.is_refusal() || !node.has_state()
}

/// What users and operators are told of a job.
pub fn state_of<'a>(view: &View, id: &'a str) -> Option<JobState<'a>> {
    let job = &view.jobs.get(id)?.value;
    let running = job.booked() as u32;
    let stage = match view.state(id)? {
        Final::Done => JobStage::Done,
        Final::Cancelled => JobStage::Cancelled,
        Final::Open if running > 0 => JobStage::Running,
        Final::Open => JobStage::Queued,
    };
    let state = JobState {
        id,
        stage,
        done: Some(job.done_count()),
        running: None,
    };
    Some(JobState {
        running: Some(if state.is_final() { 0 } else { running }),
        ..state
    })
}

/// Whether a question is turned away: users ask more than can be answered, and
/// this one was answered here a short while ago. Beats, claims and submissions
/// need the processor more; but whoever asks about a job is answered now and
/// then by every controller, or it would look forgotten.
pub fn sheds(lag: Duration, answered: Option<Duration>, settings: &Settings) -> bool {
    let report = settings.report();
    lag > report / 8 && answered.is_some_and(|age| age < settings.lease() / 2)
}

pub(super) async fn poll(node: &Node, id: &str) -> Response {
    let age = node.answered.borrow().get(id).map(Instant::elapsed);
    let open = {
        let view = node.view.borrow();
        view.state(id) == Some(Final::Open)
    };
    if open && sheds(node.lag(), age, &node.settings) {
        // At once, with when to come back.
        return Response::unavailable("asked more often than can be answered", 2);
    }
    let response = poll_within(node, id, POLL_WAIT).await;
    if open && response.status == 200 {
        let mut answered = node.answered.borrow_mut();
        answered.insert(id.to_string(), Instant::now());
    }
    response
}

async fn poll_within(node: &Node, id: &str, limit: Duration) -> Response {
    if !is_job_id(id) {
        return Response::error(404, "no such job");
    }
    let known = |final_only: bool| {
        let view = node.view.borrow();
        let state = state_of(&view, id).filter(|s| !final_only || s.is_final());
        state.map(|s| Response::json(200, &s))
    };
    // A final state never changes: it needs no barrier.
    if let Some(response) = known(true) {
        return response;
    }
    // Safety 1: anything else must not be older than what another controller
    // has told; 404 included. Without the state service that is not to be had,
    // and nobody is kept waiting for it.
    if !node.has_state() || !node.barrier_unless_refused(limit).await {
        return busy();
    }
    if node.view.borrow().is_unreadable_job(id) {
        return unreadable();
    }
    known(false).unwrap_or_else(|| Response::error(404, "no such job"))
}

pub(super) async fn withdraw(node: &Rc<Node>, id: &str) -> Response {
    if !is_job_id(id) {
        return Response::error(404, "no such job");
    }
    // All waits together, that for the budget included.
    let cancelled = timeout(ACCEPT_WAIT, cancel(node, id)).await;
    cancelled.unwrap_or_else(|_| busy())
}

async fn cancel(node: &Rc<Node>, id: &str) -> Response {
    let mut fresh = false;
    loop {
        if let Some(state) = state_of(&node.view.borrow(), id).filter(JobState::is_final) {
            return Response::json(200, &state);
        }
        if !node.has_state() {
            return busy();
        }
        if node.view.borrow().is_unreadable_job(id) {
            return unreadable();
        }
        let entry = node.view.borrow().jobs.get(id).cloned();
        match entry {
            Some(e) => match commit_cancel(node, id, &e).await {
                Ok(response) => return response,
                // Surely not executed: the same may be tried again.
                Err(StoreError::Refused(429)) => {
                    tokio::time::sleep(node.store.jitter(node.request_gap() * 4)).await;
                    continue;
                }
                // It changed meanwhile: look again.
                Err(StoreError::Conflict(_)) => {}
                Err(error) if is_given_up(node, &error) => return busy(),
                // It may have changed.
                Err(_) => tokio::time::sleep(node.store.jitter(node.request_gap() * 4)).await,
            },
            None if fresh => return Response::error(404, "no such job"),
            None => fresh = true,
        }
        if !node.barrier_unless_refused(POLL_WAIT).await {
            return busy();
        }
    }
}

async fn commit_cancel(node: &Node, id: &str, known: &Entry<Job>) -> Result<Response, StoreError> {
    let mut job = known.value.clone();
    job.cancel();
    let guards = vec![guard(job_key(id), known.version)];
    let writes = vec![node.view.borrow().put_job(id, &job)];
    node.commit(Class::Accept, guards, writes).await?;
    tracing::debug!(job = id, "cancelled");
    let state = JobState {
        id,
        stage: JobStage::Cancelled,
        done: Some(job.done_count()),
        running: Some(0),
    };
    Ok(Response::json(200, &state))
}
