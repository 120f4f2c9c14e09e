//! What users, workers and probes ask over HTTP.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::admission;
use crate::http::{Request, Response, ServerLimits};
use crate::model::{Arrivals, Final, Job, Room, Spec, is_job_id};
use crate::net::Listener;
use crate::node::{Node, guard, put};
use crate::settings::Settings;
use crate::store::{Class, StoreError};
use crate::view::{Entry, View, arrivals_key, job_key};
use crate::wire::{Guard, JobStage, JobState, Kind, Report, Submission};

pub async fn serve(node: Rc<Node>, listener: Listener) {
    let limits = ServerLimits {
        connections: node.settings.served_connections(),
        idle: node.settings.lease() * 4,
        arrive: Duration::from_secs(5),
        // One report connection a machine, for as long as it reports here.
        stays: |request| request.path == "/agent/beat",
    };
    let handler = Rc::new(move |request: Request| -> crate::http::Answer {
        let node = node.clone();
        Box::pin(async move { route(&node, request).await })
    });
    crate::http::serve(listener, limits, handler).await;
}

async fn route(node: &Rc<Node>, request: Request) -> Response {
    let method = request.method.as_str();
    let path = request.path.as_str();
    let allowed = |m: &str| method == m;
    match path {
        "/up" if allowed("GET") => up(node),
        "/agent/beat" if allowed("POST") => match serde_json::from_slice::<Report>(&request.body) {
            Ok(report) => node.beat(report).await,
            Err(_) => Response::error(400, "not a report"),
        },
        "/submissions" if allowed("POST") => submit(node, &request.body).await,
        "/ops/teams" if allowed("GET") => crate::ops::teams(node),
        "/ops/report" if allowed("GET") => crate::ops::report(node, &request.query),
        _ if path.starts_with("/ops/job/") && allowed("GET") => {
            crate::ops::job(node, path.trim_start_matches("/ops/job/"))
        }
        "/ops/teams" | "/ops/report" => Response::error(405, "method not allowed"),
        "/up" | "/agent/beat" | "/submissions" => Response::error(405, "method not allowed"),
        _ => match path.strip_prefix("/submissions/") {
            Some(rest) => match rest.strip_suffix("/withdraw") {
                Some(id) if allowed("POST") => withdraw(node, id).await,
                None if allowed("GET") => poll(node, rest).await,
                _ => Response::error(405, "method not allowed"),
            },
            None => Response::error(404, "no such path"),
        },
    }
}

/// Healthy means able to take requests. When no controller reaches the state
/// service, leaving the balancer would only delay the return: all stay, and
/// requests are answered with when to come back.
fn up(node: &Node) -> Response {
    let alone = node
        .peers
        .borrow()
        .state_serves_another(node, Instant::now());
    let loaded = node.view.borrow().loaded && node.horizon.get().is_some();
    if loaded && (node.has_state() || !alone) {
        Response::empty(200)
    } else {
        Response::unavailable("no contact with the state service", 1)
    }
}

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

/// Why a submission is refused for good.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// 400
    Malformed(String),
    /// 422
    Never(String),
    /// 503: not decidable yet.
    Unknown,
}

fn malformed(s: impl Into<String>) -> Refusal {
    Refusal::Malformed(s.into())
}

/// Reads and checks the form of a submission; 400 on failure.
pub fn read_submission(body: &[u8]) -> Result<Submission, Refusal> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|e| malformed(format!("not JSON: {e}")))?;
    if !value.is_object() {
        return Err(malformed("not an object"));
    }
    let s: Submission =
        serde_json::from_value(value).map_err(|e| malformed(format!("field: {e}")))?;
    if !is_job_id(&s.id) {
        return Err(malformed("name_id: not of the form job-000412"));
    }
    if !(1..=100_000).contains(&s.tasks) {
        return Err(malformed("boards: must be 1 to 100000"));
    }
    let amount = |field: &str, x: f64, positive: bool| {
        let least = if positive { f64::MIN_POSITIVE } else { 0.0 };
        if x.is_finite() && x >= least && x <= 1e9 {
            Ok(())
        } else {
            Err(malformed(format!("{field}: out of range")))
        }
    };
    amount("vcpus", s.cpus, false)?;
    amount("cards", s.gpus, false)?;
    amount("ram_gb", s.memory_gb, false)?;
    amount("pull_gb", s.image_gb, false)?;
    amount("expect_s", s.estimate_s, false)?;
    amount("notch_s", s.checkpoint_s, false)?;
    amount("stow_s", s.save_s, false)?;
    if let Some(d) = s.deadline_s {
        amount("due_s", d, false)?;
    }
    for (field, text) in [
        ("lot", &s.class),
        ("crew", &s.team),
        ("blueprint", &s.image),
    ] {
        if text.len() > 200 {
            return Err(malformed(format!("{field}: too long")));
        }
    }
    if s.types
        .as_ref()
        .is_some_and(|t| t.len() > 64 || t.iter().any(|x| x.len() > 200))
    {
        return Err(malformed("grades: too many or too long"));
    }
    if s.zone.as_ref().is_some_and(|z| z.len() > 200) {
        return Err(malformed("yard: too long"));
    }
    if let Some(id) = s.awaits.iter().flatten().find(|id| !is_job_id(id)) {
        let id: String = id.chars().take(40).collect();
        return Err(malformed(format!("awaits: not a job id: {id}")));
    }
    Ok(s)
}

/// What a record takes beside its spec before anything is booked.
const EMPTY_RECORD: usize = 150;

/// Whether the job can ever run; 422 if not, 503 if that is not known yet.
pub fn check_submission(s: &Submission, settings: &Settings, view: &View) -> Result<Spec, Refusal> {
    let mut spec = Spec::from(s);
    let Some(team) = settings.team(&s.team) else {
        return Err(Refusal::Never("crew: unknown team".into()));
    };
    if view.types.value.types.is_empty() {
        return Err(Refusal::Unknown);
    }
    let zones = &settings.deployment.zones;
    if s.zone.as_ref().is_some_and(|z| !zones.contains(z)) {
        return Err(Refusal::Never("yard: unknown zone".into()));
    }
    let types = &view.types.value.types;
    let fitting = types
        .iter()
        .filter(|t| spec.allows_type(&t.name) && Room::of_type(t).fits(&spec.need));
    // Where the cloud has machines that take a task.
    let open: BTreeSet<&str> = fitting
        .flat_map(|t| t.zones.iter().map(String::as_str))
        .filter(|z| spec.zone.as_ref().is_none_or(|only| only == z))
        .collect();
    if open.is_empty() {
        return Err(Refusal::Never("a task fits no allowed machine type".into()));
    }
    // A gang runs whole or not at all: what has to be spread over more zones
    // than it may use never does.
    let zones_at_once = if s.one_zone { 1 } else { open.len() };
    if s.kind == Kind::Gang && s.spread && s.tasks.div_ceil(2) * (zones_at_once as u32) < s.tasks {
        return Err(Refusal::Never(
            "scatter: the gang may use too few zones".into(),
        ));
    }
    let at_once = match s.kind {
        Kind::Array => 1,
        _ => s.tasks as usize,
    };
    if !team.allows(&spec.need.times(at_once)) {
        return Err(Refusal::Never("needs more than the team's limit".into()));
    }
    // Its own id is not known either: it was never accepted.
    if spec.awaits.iter().any(|id| view.is_unreadable_job(id)) {
        return Err(Refusal::Unknown);
    }
    if let Some(id) = spec.awaits.iter().find(|id| view.state(id).is_none()) {
        return Err(Refusal::Never(format!("awaits: {id} was never accepted")));
    }
    // What is done stays done: nothing needs to remember it.
    spec.awaits.retain(|id| view.state(id) != Some(Final::Done));
    // What a job awaits leaves its record before any of its tasks comes in.
    let bytes = serde_json::to_vec(&spec).map_or(0, |v| v.len());
    let most = settings.value_bytes();
    let awaits = spec.awaits_bytes();
    let too_long = match settings.shrinks() {
        // Where records are to be small: what could not be written, or never run
        // within one.
        true => {
            let longest = |names: &mut dyn Iterator<Item = &String>| {
                names.max_by_key(|n| n.len()).cloned().unwrap_or_default()
            };
            let machine = longest(&mut view.machines.keys());
            let least = admission::least_record(&spec, &machine, &longest(&mut zones.iter()));
            least.saturating_sub(awaits) > most || bytes + EMPTY_RECORD > most
        }
        false => bytes.saturating_sub(awaits) > most / 4 || bytes > most / 2,
    };
    if too_long {
        return Err(Refusal::Malformed("too long".into()));
    }
    Ok(spec)
}

async fn submit(node: &Rc<Node>, body: &[u8]) -> Response {
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

/// A submission that waits to be accepted, and who waits for that: true when
/// it is, false when its id is known already.
pub struct Arrival {
    id: String,
    spec: Spec,
    done: oneshot::Sender<bool>,
}

/// Accepts submissions, as many at once as have gathered while the budget or
/// the last commit was waited for: a rush costs few writes.
pub async fn keep_accepting(node: Rc<Node>) {
    // The first does not wait; those behind it gather for a moment.
    let gather = node.request_gap() * 4;
    loop {
        node.arrivals_wanted.notified().await;
        while !node.arrivals.borrow().is_empty() {
            node.store.ready(Class::Accept, 1).await;
            let begun = Instant::now();
            accept_some(&node).await;
            tokio::time::sleep(gather.saturating_sub(begun.elapsed())).await;
        }
    }
}

/// Whether nothing is gained by trying a user's commit again for now: the state
/// service serves nothing here, or would refuse the same again.
fn is_given_up(node: &Node, error: &StoreError) -> bool {
    let same_again = matches!(error, StoreError::Limits(_) | StoreError::TooLong(_));
    same_again || error.is_refusal() || !node.has_state()
}

async fn accept_some(node: &Node) {
    let ops = node.settings.txn_ops();
    let most = node.settings.value_bytes() * 9 / 10;
    let mut taken: Vec<Arrival> = Vec::new();
    let mut arrivals = Arrivals {
        born: node.view.borrow().revision,
        jobs: BTreeMap::new(),
    };
    let mut bytes = 0;
    // Each is a condition, and the record of all of them one more.
    while taken.len() < ops * 2 {
        let Some(next) = node.arrivals.borrow_mut().pop_front() else {
            break;
        };
        // Its user has gone, or asks again.
        if next.done.is_closed() {
            continue;
        }
        let known = {
            let view = node.view.borrow();
            let twice = arrivals.jobs.contains_key(&next.id);
            twice || view.jobs.contains_key(&next.id)
        };
        if known {
            let _ = next.done.send(false);
            continue;
        }
        bytes += serde_json::to_vec(&next.spec).map_or(most, |v| v.len()) + next.id.len() + 4;
        if bytes > most && !taken.is_empty() {
            node.arrivals.borrow_mut().push_front(next);
            break;
        }
        arrivals.jobs.insert(next.id.clone(), next.spec.clone());
        taken.push(next);
    }
    let mut guards: Vec<Guard> = taken.iter().map(|a| guard(job_key(&a.id), 0)).collect();
    let write = match taken.as_slice() {
        [] => return,
        [one] => put(job_key(&one.id), &Job::new(one.spec.clone(), arrivals.born)),
        _ => {
            let number = node.rng.borrow_mut().random::<u64>();
            let key = arrivals_key(&format!("{}-{number:x}", node.name()));
            guards.push(guard(key.clone(), 0));
            put(key, &arrivals)
        }
    };
    match node.commit(Class::Accept, guards, vec![write]).await {
        Ok(_) => {
            tracing::debug!(jobs = taken.len(), "accepted");
            for one in taken {
                let _ = one.done.send(true);
            }
        }
        Err(StoreError::Conflict(keys)) => {
            // Those are known by now, to another controller or by a commit of
            // our own that got no answer; the rest go into the next commit.
            for one in taken.into_iter().rev() {
                if keys.contains(&job_key(&one.id)) {
                    let _ = one.done.send(false);
                } else {
                    node.arrivals.borrow_mut().push_front(one);
                }
            }
        }
        Err(error) if is_given_up(node, &error) => {
            tracing::debug!(%error, "not accepted: all who wait are told to come back");
            // Without an answer to wait for, their requests end at once.
            drop(taken);
            node.arrivals.borrow_mut().clear();
        }
        Err(error) => {
            tracing::debug!(%error, "not accepted");
            // It may have happened. Trying again is harmless: jobs that two
            // such records name are one job.
            for one in taken.into_iter().rev() {
                node.arrivals.borrow_mut().push_front(one);
            }
            tokio::time::sleep(node.store.jitter(node.request_gap() * 4)).await;
        }
    }
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

async fn poll(node: &Node, id: &str) -> Response {
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

async fn withdraw(node: &Rc<Node>, id: &str) -> Response {
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
