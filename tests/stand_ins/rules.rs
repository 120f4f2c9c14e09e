//! The rule checker: it holds every start, every task on a machine and every
//! answer to a user against the rules of the protocol.
//!
//! What it does not judge, since the stand-ins do not see it:
//!
//! - `wrong_place` for the kind of machine: the stand-in cloud rents ordinary
//!   machines only, so no task can start on a spot machine.
//! - `nothing_ran` is judged at the end of a test, by [`World::assert_kept`].

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::scenario::World;
use super::worker::Worker;

/// For how long every poll for a job may fail while most others get answers.
const MAX_POLL_FAILURE_TIME: Duration = Duration::from_secs(90);
/// Polls farther apart than this are no series: users poll every 5 s.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(15);

/// What the checker reports: the rules of the protocol, and some that follow
/// from its text.
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
    /// A task starts whose job nobody submitted.
    UnknownJob,
    /// A task starts before a job that its own job awaits is done.
    TooEarly,
    /// A job that awaits a cancelled one is not called cancelled in time.
    Orphaned,
    /// A machine stands in two shards or two machine shards of the stored records.
    Misplaced,
}

impl Rule {
    /// Every rule that is judged.
    pub const ALL: [Rule; 13] = [
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
    ];

    /// The rule's name in reports, the protocol's where it has one.
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
        }
    }
}

/// What users were told of a job, each with the count at which the first such
/// answer came: whoever asks later must not be told anything older.
#[derive(Debug, Default, Clone)]
pub(super) struct JobAnswers {
    pub(super) submitted: bool,
    pub(super) cancel_requested: bool,
    accepted: Option<u64>,
    ended: Option<(String, u64)>,
}

/// The polls for one job.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct JobPolls {
    last: Option<Instant>,
    answered: Option<Instant>,
    /// When the present series of failures began.
    failing_since: Option<Instant>,
}

/// The job of a task.
pub(super) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// Whether a job may run on a machine with this property.
fn is_allowed(job: &Value, field: &str, given: &str) -> bool {
    match &job[field] {
        Value::Array(some) => some.iter().any(|one| one == given),
        Value::String(one) => one == given,
        _ => true,
    }
}

// What is true of jobs.
impl World {
    /// How many tasks of a job have completed.
    fn completed_task_count(&self, id: &str) -> u64 {
        let completed = self.done_tasks.borrow();
        completed.iter().filter(|task| job_of(task) == id).count() as u64
    }

    /// How many completed tasks make a job done: a gang's complete together.
    fn tasks_to_complete(&self, id: &str) -> u64 {
        let jobs = self.jobs.borrow();
        match jobs[id]["cut"] == "gang" {
            true => 1,
            false => jobs[id]["boards"].as_u64().unwrap_or(1),
        }
    }

    fn is_job_done(&self, id: &str) -> bool {
        self.completed_task_count(id) >= self.tasks_to_complete(id)
    }

    fn dependencies(&self, id: &str) -> Vec<String> {
        let jobs = self.jobs.borrow();
        let dependencies = jobs.get(id).and_then(|j| j["awaits"].as_array());
        let ids = dependencies.into_iter().flatten().filter_map(Value::as_str);
        ids.map(str::to_string).collect()
    }

    /// When the user was told that the job, or one before it, is cancelled: the
    /// earliest such moment.
    fn cancelled_at(&self, id: &str) -> Option<Instant> {
        let mut at = self.cancelled.borrow().get(id).copied();
        for before in self.dependencies(id) {
            let there = self.cancelled_at(&before);
            at = at.into_iter().chain(there).min();
        }
        at
    }

    /// Whether a user has asked to cancel the job, or one that it needs through
    /// any chain.
    fn is_cancel_requested(&self, id: &str) -> bool {
        let asked = |told: &JobAnswers| told.cancel_requested;
        let own = self.answers.borrow().get(id).is_some_and(asked);
        own || self
            .dependencies(id)
            .iter()
            .any(|a| self.is_cancel_requested(a))
    }

    fn cancel_limit(&self) -> Duration {
        Duration::from_secs_f64(self.shape.cancel_s)
    }

    /// Notes which tasks have come to their end, and which leases are over.
    pub(super) fn advance_tasks(&self) {
        for (worker, _) in self.workers.borrow().values() {
            worker.expire_lease(self.shape.lease());
            worker.record_completed_tasks(&self.done_tasks);
        }
    }
}

// Reports.
impl World {
    fn report_violation(&self, rule: Rule, what: &str) {
        let text = format!("{}: {what}", rule.name());
        let mut broken = self.broken.borrow_mut();
        if !broken.contains(&text) {
            broken.push(text);
        }
    }

    /// All violations up to now, and those that only the end of a test shows.
    pub fn violations(&self) -> Vec<String> {
        let mut all = self.broken.borrow().clone();
        if self.starts.get() == 0 {
            all.push(format!("{}: no task", Rule::NothingRan.name()));
        }
        for place in self.state.misplaced_machines.borrow().iter() {
            all.push(format!("{}: {place}", Rule::Misplaced.name()));
        }
        all
    }

    /// At the end of a test: no rule was broken.
    pub fn assert_kept(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

// Starts of tasks.
impl World {
    /// Judges the start of a task, which is on the machine already.
    pub(super) fn check_start(&self, task: &str, on: &Worker) {
        self.starts.set(self.starts.get() + 1);
        self.check_other_machines(task, on);
        self.advance_tasks();
        let id = job_of(task);
        self.check_dependencies(task, id);
        let Some(job) = self.jobs.borrow().get(id).cloned() else {
            self.report_violation(Rule::UnknownJob, &format!("{task} on {}", on.name));
            return;
        };
        self.check_start_after_cancel(task, id, on);
        if !is_allowed(&job, "yard", &on.zone) || !is_allowed(&job, "grades", &on.machine_type) {
            self.report_violation(Rule::WrongPlace, &format!("{task} on {}", on.name));
        }
        self.check_zones(task, id, &job);
    }

    fn check_other_machines(&self, task: &str, on: &Worker) {
        for (name, (worker, _)) in self.workers.borrow().iter() {
            if *name != on.name && worker.is_running(task, self.shape.lease()) {
                let what = format!("{task} on {} and {name}", on.name);
                self.report_violation(Rule::RanTwice, &what);
            }
        }
    }

    fn check_dependencies(&self, task: &str, id: &str) {
        for before in self.dependencies(id) {
            if !self.is_job_done(&before) {
                let what = format!("{task}, {before} is not done");
                self.report_violation(Rule::TooEarly, &what);
            }
        }
    }

    fn check_start_after_cancel(&self, task: &str, id: &str, on: &Worker) {
        let Some(told) = self.cancelled.borrow().get(id).copied() else {
            return;
        };
        let after = told.elapsed();
        self.starts_after_cancel
            .borrow_mut()
            .push((task.into(), after));
        if after > self.cancel_limit() {
            let what = format!("{task} starts on {}", on.name);
            self.report_violation(Rule::RanCancelled, &what);
        }
    }

    /// Judges the zones of a job's tasks against each other.
    fn check_zones(&self, task: &str, id: &str, job: &Value) {
        let lease = self.shape.lease();
        let workers = self.workers.borrow();
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (worker, _) in workers.values() {
            let on_machine = worker.tasks_on_machine(lease);
            let here = on_machine.iter().filter(|t| job_of(t) == id).count();
            *zones.entry(&worker.zone).or_default() += here as u64;
        }
        let used = zones.values().filter(|count| **count > 0).count();
        let half = job["boards"].as_u64().unwrap_or(0).div_ceil(2);
        let apart = job["same_place"] == true && used > 1;
        let crowded = job["scatter"] == true && zones.values().any(|count| *count > half);
        if apart || crowded {
            self.report_violation(Rule::WrongPlace, &format!("{task} among {zones:?}"));
        }
    }
}

// Tasks on machines.
impl World {
    /// Judges what is on the machines at this moment.
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
                let told = self.cancelled_at(id);
                // What a machine that hangs has cannot go on; it may when it does.
                if told.is_some_and(|t| t.elapsed() > self.cancel_limit()) && !worker.hangs() {
                    self.report_violation(Rule::RanCancelled, &format!("{task} on {name}"));
                }
            }
        }
        self.check_team_limits(&used);
    }

    fn check_team_limits(&self, used: &BTreeMap<String, f64>) {
        for (team, _, limit) in &self.shape.teams {
            let own = used.get(&json!(team).to_string());
            if own.is_some_and(|cpus| cpus > limit) {
                self.report_violation(Rule::Quota, &format!("{team} {used:?}"));
            }
        }
    }
}

// Answers to users.
impl World {
    /// Judges an answer against what was told before its question was sent
    /// (`known`), and against what is true. Of questions under way at once none
    /// is older, but two final answers must agree all the same.
    pub(super) fn check_answer(
        &self,
        i: usize,
        id: &str,
        known: &JobAnswers,
        status: u16,
        a: &Value,
    ) {
        let said = format!("n{i} on {id}: {status} {a}, after {known:?}");
        if [400, 404, 422].contains(&status) && known.accepted.is_some() {
            self.report_violation(Rule::Forgotten, &said);
        }
        if ![200, 201].contains(&status) {
            return;
        }
        if !known.submitted {
            self.report_violation(Rule::Invented, &said);
        }
        let number = self.answer_count.get() + 1;
        self.answer_count.set(number);
        {
            let mut answers = self.answers.borrow_mut();
            let told = answers.entry(id.to_string()).or_default();
            told.accepted = told.accepted.or(Some(number));
        }
        match a["stage"].as_str().unwrap_or("") {
            stage @ ("done" | "aborted") => self.check_final_stage(id, stage, number, &said),
            stage => self.check_open_stage(id, stage, known, &said),
        }
    }

    /// A job that is called neither done nor cancelled.
    fn check_open_stage(&self, id: &str, stage: &str, known: &JobAnswers, said: &str) {
        if known.ended.is_some() {
            self.report_violation(Rule::WentBack, said);
        }
        let told = self.cancelled_at(id);
        if told.is_some_and(|t| t.elapsed() > self.cancel_limit()) {
            self.report_violation(Rule::Orphaned, &format!("{id} is {stage}"));
        }
    }

    /// A job that is called done or cancelled: so it stays.
    fn check_final_stage(&self, id: &str, stage: &str, number: u64, said: &str) {
        {
            let mut answers = self.answers.borrow_mut();
            let told = answers.entry(id.to_string()).or_default();
            let (first, _) = told.ended.get_or_insert((stage.to_string(), number));
            if first != stage {
                self.report_violation(Rule::WentBack, said);
            }
        }
        if stage == "aborted" {
            if !self.is_cancel_requested(id) {
                self.report_violation(Rule::WentBack, &format!("not cancelled: {said}"));
            }
            let mut cancelled = self.cancelled.borrow_mut();
            cancelled.entry(id.to_string()).or_insert(Instant::now());
        } else if self.jobs.borrow().contains_key(id) && !self.is_job_done(id) {
            let (done, all) = (self.completed_task_count(id), self.tasks_to_complete(id));
            self.report_violation(Rule::NotDone, &format!("{done} of {all}: {said}"));
        }
    }

    /// Judges a poll for an accepted job: not all may fail for long while most
    /// other jobs' polls are answered.
    pub(super) fn check_poll(&self, id: &str, status: u16) {
        let now = Instant::now();
        let mut polls = self.polls.borrow_mut();
        let own = polls.entry(id.to_string()).or_default();
        let is_series = own.last.is_some_and(|last| now - last <= MAX_POLL_INTERVAL);
        own.last = Some(now);
        if status == 200 {
            own.answered = Some(now);
            own.failing_since = None;
            return;
        }
        if !is_series {
            own.failing_since = None;
        }
        let failing = now - *own.failing_since.get_or_insert(now);
        let answers = self.answers.borrow();
        let accepted = answers.get(id).is_some_and(|told| told.accepted.is_some());
        if !accepted || failing < MAX_POLL_FAILURE_TIME {
            return;
        }
        let recent = |at: Option<Instant>| at.is_some_and(|t| now - t < MAX_POLL_FAILURE_TIME);
        let others = || polls.iter().filter(|(other, _)| *other != id);
        let polled = others().filter(|(_, p)| recent(p.last)).count();
        let answered = others().filter(|(_, p)| recent(p.answered)).count();
        if answered * 2 > polled {
            let what = format!("{id}: every poll failed for {} s", failing.as_secs());
            self.report_violation(Rule::Forgotten, &what);
        }
    }
}
