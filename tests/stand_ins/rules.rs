//! The rule checker. It checks every task start, every task on a machine and every response
//! to a user against the rules of the protocol.
//!
//! Two limits of the checks:
//!
//! - `wrong_place` is not checked for spot machines: the simulated cloud rents regular
//!   machines only, so no task can start on a spot machine.
//! - `nothing_ran` is checked only at the end of a test, by [`Simulation::assert_no_violations`].

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::wire::{CommandAction, WorkerCommands};
use tokio::time::Instant;

use super::scenario::Simulation;
use super::worker::Worker;

/// Time for which every poll for a job may fail while most polls for other jobs succeed.
const MAX_POLL_FAILURE_TIME: Duration = Duration::from_secs(90);
/// Maximum time between two polls of one series of failures. Users poll every 5 s.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(15);

/// A rule whose violations the checker reports. Most rules have a name in the protocol. The rules
/// with a description here have none, but follow from the protocol's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    /// A task started although its job was never submitted.
    UnknownJob,
    /// A task started before all dependencies of its job were done.
    TooEarly,
    /// A job was not reported as cancelled in time after one of its dependencies was cancelled.
    Orphaned,
    /// A machine was in two zone shards or in two machine shards of the stored records.
    Misplaced,
    /// A commit listed a machine in a zone shard that was not in service.
    ListedOutOfService,
    /// A message exceeded the size limit of the protocol.
    MessageSize,
    /// A copy of a direct call that had been executed and answered started a task.
    StartedByCopy,
}

impl Rule {
    /// All rules that the checker checks.
    pub const ALL: [Rule; 16] = [
        Rule::RanTwice,
        Rule::Quota,
        Rule::WrongPlace,
        Rule::RanCancelled,
        Rule::Forgotten,
        Rule::Invented,
        Rule::NotDone,
        Rule::WentBack,
        Rule::NothingRan,
        Rule::UnknownJob,
        Rule::TooEarly,
        Rule::Orphaned,
        Rule::Misplaced,
        Rule::ListedOutOfService,
        Rule::MessageSize,
        Rule::StartedByCopy,
    ];

    /// Returns the rule's name in reports: the name in the protocol if it has one.
    pub fn name(self) -> &'static str {
        match self {
            Rule::RanTwice => "ran_twice",
            Rule::Quota => "quota",
            Rule::WrongPlace => "wrong_place",
            Rule::RanCancelled => "ran_cancelled",
            Rule::Forgotten => "forgotten",
            Rule::Invented => "invented",
            Rule::NotDone => "not_done",
            Rule::WentBack => "went_back",
            Rule::NothingRan => "nothing_ran",
            Rule::UnknownJob => "unknown_job",
            Rule::TooEarly => "too_early",
            Rule::Orphaned => "orphaned",
            Rule::Misplaced => "misplaced",
            Rule::ListedOutOfService => "listed_out_of_service",
            Rule::MessageSize => "message_size",
            Rule::StartedByCopy => "started_by_copy",
        }
    }
}

/// The requests and responses about one job so far. The first response of each kind is stored
/// with its sequence number: a request that is sent after that response must not get an older
/// state of the job.
#[derive(Debug, Default, Clone)]
pub(super) struct JobResponses {
    pub(super) submitted: bool,
    pub(super) cancel_requested: bool,
    /// Sequence number of the first response that confirmed the submission.
    accepted: Option<u64>,
    /// First final stage in a response, and the sequence number of that response.
    ended: Option<(String, u64)>,
}

/// The times of the polls for one job.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct JobPolls {
    last: Option<Instant>,
    /// Time of the last poll that succeeded.
    answered: Option<Instant>,
    /// Start of the current series of failed polls.
    failing_since: Option<Instant>,
}

/// Returns the ID of the job that a task belongs to.
pub(super) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// Returns whether the job may run on a machine whose property `field` has the value
/// `given`.
fn is_allowed(job: &Value, field: &str, given: &str) -> bool {
    match &job[field] {
        Value::Array(values) => values.iter().any(|value| value == given),
        Value::String(value) => value == given,
        _ => true,
    }
}

// The actual states of jobs, as opposed to the responses about them.
impl Simulation {
    /// Returns the number of completed tasks of a job.
    fn completed_task_count(&self, id: &str) -> u64 {
        let completed = self.done_tasks.borrow();
        completed.iter().filter(|task| job_of(task) == id).count() as u64
    }

    /// Returns the number of tasks that must complete before a job is done. For a gang it is
    /// one, because the tasks of a gang complete together.
    fn tasks_to_complete(&self, id: &str) -> u64 {
        let jobs = self.jobs.borrow();
        match jobs[id]["cut"] == "gang" {
            true => 1,
            false => jobs[id]["boards"].as_u64().unwrap_or(1),
        }
    }

    /// Returns whether enough tasks of a job have completed for it to be done.
    fn is_job_done(&self, id: &str) -> bool {
        self.completed_task_count(id) >= self.tasks_to_complete(id)
    }

    /// Returns the IDs of the jobs that a job directly depends on.
    fn dependencies(&self, id: &str) -> Vec<String> {
        let jobs = self.jobs.borrow();
        let dependencies = jobs.get(id).and_then(|j| j["awaits"].as_array());
        let ids = dependencies.into_iter().flatten().filter_map(Value::as_str);
        ids.map(str::to_string).collect()
    }

    /// Returns the earliest time at which users were told that the job, or a job that it
    /// directly or indirectly depends on, is cancelled.
    fn cancelled_at(&self, id: &str) -> Option<Instant> {
        let mut earliest = self.cancelled.borrow().get(id).copied();
        for dependency in self.dependencies(id) {
            let cancelled_at = self.cancelled_at(&dependency);
            earliest = earliest.into_iter().chain(cancelled_at).min();
        }
        earliest
    }

    /// Returns whether a user has requested the cancellation of the job, or of a job that it
    /// directly or indirectly depends on.
    fn is_cancel_requested(&self, id: &str) -> bool {
        let is_requested = |responses: &JobResponses| responses.cancel_requested;
        let own_requested = self.responses.borrow().get(id).is_some_and(is_requested);
        own_requested
            || self
                .dependencies(id)
                .iter()
                .any(|dependency| self.is_cancel_requested(dependency))
    }

    /// Returns the time within which a cancelled job's tasks must be stopped.
    fn cancel_limit(&self) -> Duration {
        Duration::from_secs_f64(self.shape.cancel_s)
    }

    /// Ends the worker leases that have expired, and records the tasks that have completed.
    pub(super) fn advance_tasks(&self) {
        for (worker, _) in self.workers.borrow().values() {
            worker.expire_lease(self.shape.lease());
            worker.record_completed_tasks(&self.done_tasks);
        }
    }
}

// Reports.
impl Simulation {
    /// Reports a violation, unless one with the same text was reported earlier.
    fn report_violation(&self, rule: Rule, details: &str) {
        let text = format!("{}: {details}", rule.name());
        let mut broken = self.reported_violations.borrow_mut();
        if !broken.contains(&text) {
            broken.push(text);
        }
    }

    /// Returns all violations so far, including those that can be determined only at the end
    /// of a test.
    pub fn violations(&self) -> Vec<String> {
        let mut all = self.reported_violations.borrow().clone();
        if self.task_start_count.get() == 0 {
            all.push(format!("{}: no task", Rule::NothingRan.name()));
        }
        for place in self.state.misplaced_machines.borrow().iter() {
            all.push(format!("{}: {place}", Rule::Misplaced.name()));
        }
        for listing in self.state.listed_out_of_service.borrow().iter() {
            all.push(format!("{}: {listing}", Rule::ListedOutOfService.name()));
        }
        for message in self.frames.oversized.borrow().iter() {
            all.push(format!("{}: {message}", Rule::MessageSize.name()));
        }
        all
    }

    /// Asserts at the end of a test that no rule was violated.
    pub fn assert_no_violations(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

// Starts of tasks.
impl Simulation {
    /// Checks the start of a task that its worker has already accepted.
    pub(super) fn check_start(&self, task: &str, worker: &Worker) {
        self.task_start_count.set(self.task_start_count.get() + 1);
        self.check_other_machines(task, worker);
        self.advance_tasks();
        let id = job_of(task);
        self.check_dependencies(task, id);
        let Some(job) = self.jobs.borrow().get(id).cloned() else {
            self.report_violation(Rule::UnknownJob, &format!("{task} on {}", worker.name));
            return;
        };
        self.check_start_after_cancel(task, id, worker);
        if !is_allowed(&job, "yard", &worker.zone)
            || !is_allowed(&job, "grades", &worker.machine_type)
        {
            self.report_violation(Rule::WrongPlace, &format!("{task} on {}", worker.name));
        }
        self.check_zones(task, id, &job);
    }

    /// Reports that the copy of a direct call has started tasks.
    pub(super) fn report_start_by_copy(&self, worker: &Worker, call: &WorkerCommands) {
        let commands = call.commands.iter();
        let starts = commands.filter(|command| command.action == CommandAction::Start);
        let tasks: Vec<String> = starts
            .map(|s| format!("{}@{}", s.task, s.attempt))
            .collect();
        let details = format!("{} on {}", tasks.join(" "), worker.name);
        self.report_violation(Rule::StartedByCopy, &details);
        self.command_copies.starts.borrow_mut().push(details);
    }

    /// Reports a task that also runs on another machine.
    fn check_other_machines(&self, task: &str, worker: &Worker) {
        for (name, (other, _)) in self.workers.borrow().iter() {
            if *name != worker.name && other.is_running(task, self.shape.lease()) {
                let details = format!("{task} on {} and {name}", worker.name);
                self.report_violation(Rule::RanTwice, &details);
            }
        }
    }

    /// Reports a start before a dependency of the job is done.
    fn check_dependencies(&self, task: &str, id: &str) {
        for dependency in self.dependencies(id) {
            if !self.is_job_done(&dependency) {
                let details = format!("{task}, {dependency} is not done");
                self.report_violation(Rule::TooEarly, &details);
            }
        }
    }

    /// Records a start after its job's cancellation was confirmed, and reports it if the
    /// time limit for cancellations has passed.
    fn check_start_after_cancel(&self, task: &str, id: &str, worker: &Worker) {
        let Some(cancelled_at) = self.cancelled.borrow().get(id).copied() else {
            return;
        };
        let elapsed = cancelled_at.elapsed();
        self.starts_after_cancel
            .borrow_mut()
            .push((task.into(), elapsed));
        if elapsed > self.cancel_limit() {
            let details = format!("{task} starts on {}", worker.name);
            self.report_violation(Rule::RanCancelled, &details);
        }
    }

    /// Checks the placement constraints that concern all tasks of a job together: all of them in
    /// one zone, or at most half of them, rounded up, in each zone.
    fn check_zones(&self, task: &str, id: &str, job: &Value) {
        let lease = self.shape.lease();
        let workers = self.workers.borrow();
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (worker, _) in workers.values() {
            let on_machine = worker.tasks_on_machine(lease);
            let own_count = on_machine.iter().filter(|t| job_of(t) == id).count();
            *zones.entry(&worker.zone).or_default() += own_count as u64;
        }
        let zone_count = zones.values().filter(|count| **count > 0).count();
        let half = job["boards"].as_u64().unwrap_or(0).div_ceil(2);
        let is_split = job["same_place"] == true && zone_count > 1;
        let is_over_cap = job["scatter"] == true && zones.values().any(|count| *count > half);
        if is_split || is_over_cap {
            self.report_violation(Rule::WrongPlace, &format!("{task} among {zones:?}"));
        }
    }
}

// Tasks on machines.
impl Simulation {
    /// Checks all tasks that are on machines at present.
    pub(super) fn check_machines(&self) {
        self.advance_tasks();
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for (name, (worker, _)) in self.workers.borrow().iter() {
            for task in worker.tasks_on_machine(self.shape.lease()) {
                let id = job_of(&task);
                // A task of an unknown job was reported when it started.
                let Some(job) = self.jobs.borrow().get(id).cloned() else {
                    continue;
                };
                *used.entry(job["crew"].to_string()).or_default() +=
                    job["vcpus"].as_f64().unwrap_or(0.0);
                let cancelled_at = self.cancelled_at(id);
                // Tasks on a hung machine make no progress, so a cancelled one may stay there
                // until the machine resumes.
                if cancelled_at.is_some_and(|t| t.elapsed() > self.cancel_limit())
                    && !worker.is_hung()
                {
                    self.report_violation(Rule::RanCancelled, &format!("{task} on {name}"));
                }
            }
        }
        self.check_team_limits(&used);
    }

    /// Reports teams whose running tasks exceed their CPU limit.
    fn check_team_limits(&self, used: &BTreeMap<String, f64>) {
        for (team, _, limit) in &self.shape.teams {
            let team_cpus = used.get(&json!(team).to_string());
            if team_cpus.is_some_and(|cpus| cpus > limit) {
                self.report_violation(Rule::Quota, &format!("{team} {used:?}"));
            }
        }
    }
}

// Responses to users.
impl Simulation {
    /// Checks a response against the actual state of the job and against `known`: the responses
    /// that users had received when the request was sent. Responses to concurrent requests may
    /// arrive in any order, but all final stages that they report must be equal.
    pub(super) fn check_response(
        &self,
        i: usize,
        id: &str,
        known: &JobResponses,
        status: u16,
        body: &Value,
    ) {
        let description = format!("n{i} on {id}: {status} {body}, after {known:?}");
        if [400, 404, 422].contains(&status) && known.accepted.is_some() {
            self.report_violation(Rule::Forgotten, &description);
        }
        if ![200, 201].contains(&status) {
            return;
        }
        if !known.submitted {
            self.report_violation(Rule::Invented, &description);
        }
        let number = self.response_count.get() + 1;
        self.response_count.set(number);
        {
            let mut responses = self.responses.borrow_mut();
            let job_responses = responses.entry(id.to_string()).or_default();
            job_responses.accepted = job_responses.accepted.or(Some(number));
        }
        match body["stage"].as_str().unwrap_or("") {
            stage @ ("done" | "aborted") => self.check_final_stage(id, stage, number, &description),
            stage => self.check_open_stage(id, stage, known, &description),
        }
    }

    /// Checks a response that reports a job as neither done nor cancelled.
    fn check_open_stage(&self, id: &str, stage: &str, known: &JobResponses, description: &str) {
        if known.ended.is_some() {
            self.report_violation(Rule::WentBack, description);
        }
        let cancelled_at = self.cancelled_at(id);
        if cancelled_at.is_some_and(|t| t.elapsed() > self.cancel_limit()) {
            self.report_violation(Rule::Orphaned, &format!("{id} is {stage}"));
        }
    }

    /// Checks a response that reports a job as done or cancelled: the stage must be true, and
    /// must equal every earlier final stage.
    fn check_final_stage(&self, id: &str, stage: &str, number: u64, description: &str) {
        {
            let mut responses = self.responses.borrow_mut();
            let job_responses = responses.entry(id.to_string()).or_default();
            let (first_stage, _) = job_responses
                .ended
                .get_or_insert((stage.to_string(), number));
            if first_stage != stage {
                self.report_violation(Rule::WentBack, description);
            }
        }
        if stage == "aborted" {
            if !self.is_cancel_requested(id) {
                self.report_violation(Rule::WentBack, &format!("not cancelled: {description}"));
            }
            let mut cancelled = self.cancelled.borrow_mut();
            cancelled.entry(id.to_string()).or_insert(Instant::now());
        } else if self.jobs.borrow().contains_key(id) && !self.is_job_done(id) {
            let (done, required) = (self.completed_task_count(id), self.tasks_to_complete(id));
            self.report_violation(
                Rule::NotDone,
                &format!("{done} of {required}: {description}"),
            );
        }
    }

    /// Records the result of a poll for an accepted job. Reports a violation if all polls for
    /// the job have failed for [`MAX_POLL_FAILURE_TIME`] while those for most other jobs succeed.
    pub(super) fn check_poll(&self, id: &str, status: u16) {
        let now = Instant::now();
        let mut polls = self.polls.borrow_mut();
        let job_polls = polls.entry(id.to_string()).or_default();
        let is_series = job_polls
            .last
            .is_some_and(|last| now - last <= MAX_POLL_INTERVAL);
        job_polls.last = Some(now);
        if status == 200 {
            job_polls.answered = Some(now);
            job_polls.failing_since = None;
            return;
        }
        if !is_series {
            job_polls.failing_since = None;
        }
        let failing = now - *job_polls.failing_since.get_or_insert(now);
        let responses = self.responses.borrow();
        let accepted = responses.get(id).is_some_and(|a| a.accepted.is_some());
        if !accepted || failing < MAX_POLL_FAILURE_TIME {
            return;
        }
        let is_recent = |at: Option<Instant>| at.is_some_and(|t| now - t < MAX_POLL_FAILURE_TIME);
        let others = || polls.iter().filter(|(other, _)| *other != id);
        let polled = others().filter(|(_, p)| is_recent(p.last)).count();
        let answered = others().filter(|(_, p)| is_recent(p.answered)).count();
        if answered * 2 > polled {
            let details = format!("{id}: every poll failed for {} s", failing.as_secs());
            self.report_violation(Rule::Forgotten, &details);
        }
    }
}
