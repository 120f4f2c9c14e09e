//! The rule checker: it holds every start, every task and every answer against
//! the rules of the protocol.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::scenario::World;
use super::worker::Worker;

/// What users were told of a job, each with the count at which the first such
/// answer came: whoever asks later must not be told anything older.
#[derive(Debug, Default, Clone)]
pub(super) struct Told {
    pub(super) submitted: bool,
    pub(super) cancel_asked: bool,
    accepted: Option<u64>,
    ended: Option<(String, u64)>,
}

impl World {
    /// Whether all tasks of a job have completed; a gang's do together.
    fn is_over(&self, id: &str) -> bool {
        let jobs = self.jobs.borrow();
        let most = match jobs[id]["cut"] == "gang" {
            true => 1,
            false => jobs[id]["boards"].as_u64().unwrap_or(1) as usize,
        };
        let completed = self.finished.borrow();
        let from = format!("{id}/");
        completed.iter().filter(|t| t.starts_with(&from)).count() >= most
    }

    fn awaits(&self, id: &str) -> Vec<String> {
        let jobs = self.jobs.borrow();
        let awaits = jobs.get(id).and_then(|j| j["awaits"].as_array());
        let ids = awaits.into_iter().flatten().filter_map(Value::as_str);
        ids.map(str::to_string).collect()
    }

    /// When the user was told that the job, or one before it, is cancelled: the
    /// earliest such moment.
    pub(super) fn cancelled_at(&self, id: &str) -> Option<Instant> {
        let mut at = self.cancelled.borrow().get(id).copied();
        for before in self.awaits(id) {
            let there = self.cancelled_at(&before);
            at = at.into_iter().chain(there).min();
        }
        at
    }

    /// Whether a user has asked to cancel the job, or one that it needs through
    /// any chain.
    fn is_called_off(&self, id: &str) -> bool {
        let asked = |told: &Told| told.cancel_asked;
        let own = self.answers.borrow().get(id).is_some_and(asked);
        own || self.awaits(id).iter().any(|a| self.is_called_off(a))
    }

    fn breaks(&self, rule: String) {
        let mut broken = self.broken.borrow_mut();
        if !broken.contains(&rule) {
            broken.push(rule);
        }
    }

    pub(super) fn started(&self, task: &str, on: &Worker) {
        self.starts.set(self.starts.get() + 1);
        let lease = self.shape.lease();
        let workers = self.workers.borrow();
        for (name, (w, _)) in workers.iter() {
            if *name != on.name && w.runs(task, lease) {
                self.breaks(format!("ran_twice: {task} on {} and {name}", on.name));
            }
        }
        self.pass();
        let id = task.split('/').next().unwrap_or("");
        for before in self.awaits(id) {
            if !self.is_over(&before) {
                self.breaks(format!("too_early: {task}, {before} is not done"));
            }
        }
        let jobs = self.jobs.borrow();
        let Some(job) = jobs.get(id) else {
            self.breaks(format!("{task} of a job nobody submitted"));
            return;
        };
        if let Some(told) = self.cancelled.borrow().get(id) {
            let after = told.elapsed();
            self.late_starts.borrow_mut().push((task.into(), after));
            if after > Duration::from_secs_f64(self.shape.cancel_s) {
                self.breaks(format!("ran_cancelled: {task} starts on {}", on.name));
            }
        }
        let allows = |name: &str, given: &str| match &job[name] {
            Value::Array(some) => some.iter().any(|g| g == given),
            Value::String(one) => one == given,
            _ => true,
        };
        if !allows("yard", &on.zone) || !allows("grades", &on.kind) {
            self.breaks(format!("wrong_place: {task} on {}", on.name));
        }
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (w, _) in workers.values() {
            let tasks: Vec<String> = w.tasks.borrow().keys().cloned().collect();
            let of_job = tasks.iter().filter(|t| t.starts_with(&format!("{id}/")));
            let here = of_job.filter(|t| w.runs(t, lease)).count();
            *zones.entry(&w.zone).or_default() += here as u64;
        }
        let used = zones.values().filter(|n| **n > 0).count();
        let half = job["boards"].as_u64().unwrap_or(0).div_ceil(2);
        if (job["same_place"] == true && used > 1)
            || (job["scatter"] == true && zones.values().any(|n| *n > half))
        {
            self.breaks(format!("wrong_place: {task} among {zones:?}"));
        }
    }

    /// Notes which tasks have come to their end, and which leases are over.
    pub(super) fn pass(&self) {
        for (w, _) in self.workers.borrow().values() {
            w.expire(self.shape.lease());
            w.note_ends(&self.finished);
        }
    }

    /// Rules that hold at every moment.
    pub(super) fn check(&self) {
        self.pass();
        let mut used: HashMap<String, f64> = HashMap::new();
        let jobs = self.jobs.borrow();
        for (name, (w, _)) in self.workers.borrow().iter() {
            let ids: Vec<String> = w.tasks.borrow().keys().cloned().collect();
            for task in ids.iter().filter(|t| w.runs(t, self.shape.lease())) {
                let id = task.split('/').next().unwrap_or("");
                let job = &jobs[id];
                *used.entry(job["crew"].to_string()).or_default() +=
                    job["vcpus"].as_f64().unwrap_or(0.0);
                let told = self.cancelled_at(id);
                let most = Duration::from_secs_f64(self.shape.cancel_s);
                // What a machine that hangs has cannot go on; it may when it does.
                if told.is_some_and(|t| t.elapsed() > most) && !w.hangs() {
                    self.breaks(format!("ran_cancelled: {task} on {name}"));
                }
            }
        }
        for (team, _, limit) in &self.shape.teams {
            if used
                .get(&json!(team).to_string())
                .is_some_and(|u| u > limit)
            {
                self.breaks(format!("quota: {team} {used:?}"));
            }
        }
    }

    /// Holds an answer against what was told before its question was sent
    /// (`known`), and against what is true.
    pub(super) fn judge(&self, i: usize, id: &str, known: &Told, status: u16, answer: &Value) {
        let said = format!("n{i} on {id}: {status} {answer}, after {known:?}");
        if [400, 404, 422].contains(&status) && known.accepted.is_some() {
            self.breaks(format!("forgotten: {said}"));
        }
        if ![200, 201].contains(&status) {
            return;
        }
        if !known.submitted {
            self.breaks(format!("invented: {said}"));
        }
        let at = self.counted.get() + 1;
        self.counted.set(at);
        let asked_for = self.is_called_off(id);
        let mut answers = self.answers.borrow_mut();
        let told = answers.entry(id.to_string()).or_default();
        told.accepted = told.accepted.or(Some(at));
        let stage = answer["stage"].as_str().unwrap_or("");
        let is_over = ["done", "aborted"].contains(&stage);
        if !is_over {
            if known.ended.is_some() {
                self.breaks(format!("went_back: {said}"));
            }
            return;
        }
        match &told.ended {
            Some((before, _)) if before != stage => self.breaks(format!("went_back: {said}")),
            Some(_) => {}
            None => told.ended = Some((stage.to_string(), at)),
        }
        if stage == "aborted" {
            if !asked_for {
                self.breaks(format!("went_back: not cancelled: {said}"));
            }
            let mut cancelled = self.cancelled.borrow_mut();
            cancelled.entry(id.to_string()).or_insert(Instant::now());
        }
        let jobs = self.jobs.borrow();
        if stage == "done"
            && let Some(job) = jobs.get(id)
        {
            let finished = self.finished.borrow();
            let count = job["boards"].as_u64().unwrap_or(0);
            let ended = |n: &u64| finished.contains(&format!("{id}/{n}"));
            let done = (0..count).filter(ended).count() as u64;
            if done < if job["cut"] == "gang" { 1 } else { count } {
                self.breaks(format!("not_done: {done} of {count}: {said}"));
            }
        }
    }

    /// What a user was told holds: final answers for good, and a job after a
    /// cancelled one is called so in time.
    /// Of questions under way at once none is older: what counts is what was
    /// `known` when this one was sent. Two final answers must agree all the same.
    pub(super) fn hear(&self, id: &str, stage: &str, known: Option<String>) {
        let is_final = stage == "done" || stage == "aborted";
        let told = match is_final {
            true => self.told.borrow().get(id).cloned(),
            false => known,
        };
        if told.is_some_and(|t| t != stage) {
            self.breaks(format!("went_back: {id} is {stage}"));
        }
        if is_final {
            let mut told = self.told.borrow_mut();
            told.insert(id.to_string(), stage.to_string());
            return;
        }
        let most = Duration::from_secs_f64(self.shape.cancel_s);
        if self.cancelled_at(id).is_some_and(|t| t.elapsed() > most) {
            self.breaks(format!("orphaned: {id} is {stage}"));
        }
    }

    pub fn assert_kept(&self) {
        assert!(
            self.broken.borrow().is_empty(),
            "{:?}",
            self.broken.borrow()
        );
        assert!(self.starts.get() > 0, "nothing_ran");
        let misplaced = self.state.misplaced.borrow();
        assert!(misplaced.is_empty(), "{misplaced:?}");
    }
}
