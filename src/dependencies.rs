//! Dependencies between jobs: what follows from the records of jobs that await
//! others.
//!
//! Nothing here is written. Whether a job is blocked, ready, or cancelled by one
//! that it depends on follows from the jobs' records alone, so that every
//! controller finds the same at the same revision, in whatever order it read them.
//! The indexes are updated as records change, each change along its own chain: no
//! round goes through all jobs for it.
//!
//! An id can only be named once it is accepted, so there are no cycles.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use foldhash::HashMap;
use tokio::time::Instant;

use crate::state::records::{Job, JobStatus, Spec};
use crate::state::replica::Replica;
use crate::wire::Priority;

/// What the jobs that depend on one, directly or through others, demand of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DependentDemand {
    priority: Priority,
    /// By when it has to be done, so that all of them can be in time.
    due: Option<Instant>,
}

impl DependentDemand {
    /// The demand of both.
    fn merge(self, other: Self) -> Self {
        DependentDemand {
            priority: self.priority.max(other.priority),
            due: earliest(self.due, other.due),
        }
    }
}

/// Indexes over the records of jobs that await others; a part of the [`Replica`].
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Open jobs that wait, each with the ids that it still awaits.
    blocked: BTreeMap<String, Vec<String>>,
    /// The blocked jobs that directly await a job, by its id.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Jobs that are cancelled by what they await, while their own records have
    /// them open. None of them has ever been booked.
    cancelled_by_dependency: BTreeSet<String>,
    /// What blocked jobs demand of a job, by its id.
    demand: HashMap<String, DependentDemand>,
    /// When an open job with a deadline was first seen here: as near to its
    /// submission as the state tells.
    first_seen: HashMap<String, Instant>,
}

/// What a job's place in the queue goes by, with what needs it counted in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveUrgency {
    /// The highest priority of the job and of those that need it.
    pub priority: Priority,
    /// The seconds left until its deadline, or until the tightest of those that
    /// need it, less the work between.
    pub time_left_s: Option<f64>,
    /// A job that waits for it asks for a deadline, whatever its own class's
    /// objectives are.
    pub dependents_have_deadline: bool,
}

impl EffectiveUrgency {
    /// That of a job which nothing needs, submitted just now.
    pub fn of(spec: &Spec) -> Self {
        EffectiveUrgency {
            priority: spec.priority,
            time_left_s: spec.deadline_s,
            dependents_have_deadline: false,
        }
    }
}

/// The number of seconds from `now` until `at`; negative when it is over.
fn until(at: Instant, now: Instant) -> f64 {
    let ahead = at.saturating_duration_since(now).as_secs_f64();
    ahead - now.saturating_duration_since(at).as_secs_f64()
}

fn earliest(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl DependencyGraph {
    /// What is kept over a full read of the state: how long jobs have been known.
    pub fn after_reload(self) -> Self {
        DependencyGraph {
            first_seen: self.first_seen,
            ..DependencyGraph::default()
        }
    }
}

impl Replica {
    /// A job's final state, whether its own record says so or it follows from
    /// what it awaits; `None` if it is not known. Whoever tells anybody what
    /// became of a job, or decides by it, asks here.
    pub fn effective_status(&self, id: &str) -> Option<JobStatus> {
        let own = self.jobs.get(id)?.value.status;
        match own == JobStatus::Open && self.dependency_graph.cancelled_by_dependency.contains(id) {
            true => Some(JobStatus::Cancelled),
            false => Some(own),
        }
    }

    /// Whether all that a job awaits is done. That is final: a replica that lags
    /// can only say so late.
    pub fn dependencies_done(&self, spec: &Spec) -> bool {
        let done = |id: &String| self.effective_status(id) == Some(JobStatus::Done);
        spec.dependencies.iter().all(done)
    }

    /// Open jobs that wait for others, with those that they still await.
    pub fn blocked_jobs(&self) -> impl Iterator<Item = (&str, &[String])> {
        let blocked = self.dependency_graph.blocked.iter();
        blocked.map(|(id, left)| (id.as_str(), left.as_slice()))
    }

    /// What a job still awaits.
    pub fn pending_dependencies(&self, id: &str) -> &[String] {
        self.dependency_graph
            .blocked
            .get(id)
            .map_or(&[], Vec::as_slice)
    }

    /// Jobs that are cancelled with another, and whose own records are yet to
    /// say so.
    pub fn cancelled_with_dependency(&self) -> impl Iterator<Item = &str> {
        self.dependency_graph
            .cancelled_by_dependency
            .iter()
            .map(String::as_str)
    }

    /// The highest priority of a job and of the open jobs that need it.
    pub fn effective_priority(&self, id: &str, spec: &Spec) -> Priority {
        let demanded = self.dependency_graph.demand.get(id).map(|d| d.priority);
        demanded.map_or(spec.priority, |p| p.max(spec.priority))
    }

    /// Whether an open job waits for this one.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependency_graph.demand.contains_key(id)
    }

    /// What the job's place in the queue goes by at this moment.
    pub fn effective_urgency(&self, id: &str, spec: &Spec, now: Instant) -> EffectiveUrgency {
        let demanded = self.dependency_graph.demand.get(id).and_then(|d| d.due);
        let own = match spec.deadline_s {
            // Known by its spec alone, as in a plan: submitted just now.
            Some(due) if !self.dependency_graph.first_seen.contains_key(id) => Some(due),
            Some(_) => self.own_due(id, spec).map(|at| until(at, now)),
            None => None,
        };
        let left = [own, demanded.map(|at| until(at, now))];
        EffectiveUrgency {
            priority: self.effective_priority(id, spec),
            time_left_s: left.into_iter().flatten().reduce(f64::min),
            dependents_have_deadline: demanded.is_some(),
        }
    }

    /// A job's own deadline, which counts from its submission.
    fn own_due(&self, id: &str, spec: &Spec) -> Option<Instant> {
        let seen = self.dependency_graph.first_seen.get(id)?;
        let due = Duration::try_from_secs_f64(spec.deadline_s?).ok()?;
        seen.checked_add(due)
    }

    /// Indexes a job's record that has just been placed.
    pub(crate) fn index_job_dependencies(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id).map(|e| &e.value) else {
            return;
        };
        match job.status {
            JobStatus::Open => self.index_open_job(id),
            JobStatus::Done => {
                self.forget_demand(id);
                self.unblock_dependents(id);
            }
            JobStatus::Cancelled => {
                self.forget_demand(id);
                self.cancel_dependents(id);
            }
        }
    }

    fn index_open_job(&mut self, id: &str) {
        let spec = self.jobs.get(id).and_then(|e| e.value.spec.as_ref());
        let has_deadline = spec.is_some_and(|s| s.deadline_s.is_some());
        let dependencies = spec.map_or(&[][..], |s| &s.dependencies);
        let is_cancelled = |a: &String| self.effective_status(a) == Some(JobStatus::Cancelled);
        if dependencies.iter().any(is_cancelled) {
            return self.cancel_with_dependency(id);
        }
        let left: Vec<String> = dependencies
            .iter()
            .filter(|a| self.effective_status(a) != Some(JobStatus::Done))
            .cloned()
            .collect();
        if has_deadline {
            let first_seen = &mut self.dependency_graph.first_seen;
            first_seen
                .entry(id.to_string())
                .or_insert_with(Instant::now);
        }
        match left.is_empty() {
            true => self.make_ready(id),
            false => self.block(id, left),
        }
    }

    /// Takes back what followed from an open job's record.
    pub(crate) fn unindex_job_dependencies(&mut self, id: &str, old: &Job) {
        self.open_jobs
            .remove(&(old.accepted_revision, id.to_string()));
        self.dependency_graph.cancelled_by_dependency.remove(id);
        self.remove_from_blocked(id);
    }

    /// The job waits for what is left of those that it awaits.
    fn block(&mut self, id: &str, left: Vec<String>) {
        for awaited in &left {
            let dependents = self.dependency_graph.dependents.entry(awaited.clone());
            dependents.or_default().insert(id.to_string());
        }
        self.dependency_graph
            .blocked
            .insert(id.to_string(), left.clone());
        self.propagate_demand(left);
    }

    /// The job waits no longer, whatever becomes of it.
    fn remove_from_blocked(&mut self, id: &str) {
        let Some(left) = self.dependency_graph.blocked.remove(id) else {
            return;
        };
        for awaited in &left {
            if let Some(dependents) = self.dependency_graph.dependents.get_mut(awaited) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependency_graph.dependents.remove(awaited);
                }
            }
        }
        self.propagate_demand(left);
    }

    /// Nothing is demanded any more of a job that is over.
    fn forget_demand(&mut self, id: &str) {
        self.dependency_graph.first_seen.remove(id);
        self.dependency_graph.demand.remove(id);
    }

    /// The job takes part in all that open jobs do from here on.
    fn make_ready(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id).map(|e| &e.value) else {
            return;
        };
        if let Some(spec) = job.spec.as_ref().filter(|s| s.need.gpus.0 > 0) {
            self.gpu_spec = Some(spec.clone());
        }
        self.open_jobs
            .insert((job.accepted_revision, id.to_string()));
    }

    /// A job is done: those that awaited nothing else are ready.
    fn unblock_dependents(&mut self, id: &str) {
        for dependent in self
            .dependency_graph
            .dependents
            .remove(id)
            .unwrap_or_default()
        {
            let Some(left) = self.dependency_graph.blocked.get_mut(&dependent) else {
                continue;
            };
            left.retain(|awaited| awaited != id);
            if left.is_empty() {
                self.dependency_graph.blocked.remove(&dependent);
                tracing::debug!(job = dependent, last = id, "ready");
                self.make_ready(&dependent);
            }
        }
    }

    /// A job is cancelled: those that depend on it are, through any chain.
    fn cancel_dependents(&mut self, id: &str) {
        for dependent in self
            .dependency_graph
            .dependents
            .remove(id)
            .unwrap_or_default()
        {
            self.cancel_with_dependency(&dependent);
        }
    }

    /// A job is cancelled by one that it depends on, and its dependents with it.
    fn cancel_with_dependency(&mut self, id: &str) {
        let mut pending = vec![id.to_string()];
        while let Some(id) = pending.pop() {
            let cancelled = &mut self.dependency_graph.cancelled_by_dependency;
            if !cancelled.insert(id.clone()) {
                continue;
            }
            self.remove_from_blocked(&id);
            self.forget_demand(&id);
            let dependents = self.dependency_graph.dependents.remove(&id);
            pending.extend(dependents.unwrap_or_default());
        }
    }

    /// Works out what is demanded of these, and of those that they await as far
    /// as that changes anything.
    fn propagate_demand(&mut self, ids: Vec<String>) {
        let mut queue = VecDeque::from(ids);
        while let Some(id) = queue.pop_front() {
            let now = self.demand_of_dependents(&id);
            let before = match now {
                Some(demand) => self.dependency_graph.demand.insert(id.clone(), demand),
                None => self.dependency_graph.demand.remove(&id),
            };
            if before == now {
                continue;
            }
            for awaited in self.pending_dependencies(&id).to_vec() {
                if !queue.contains(&awaited) {
                    queue.push_back(awaited);
                }
            }
        }
    }

    /// What the direct dependents of a job demand of it together.
    fn demand_of_dependents(&self, id: &str) -> Option<DependentDemand> {
        let dependents = self.dependency_graph.dependents.get(id)?;
        let demands = dependents.iter().filter_map(|id| self.demand_passed_on(id));
        demands.reduce(DependentDemand::merge)
    }

    /// What a blocked job demands of those that it awaits.
    fn demand_passed_on(&self, id: &str) -> Option<DependentDemand> {
        let spec = self.jobs.get(id)?.value.spec.as_ref()?;
        let demanded = self.dependency_graph.demand.get(id).and_then(|d| d.due);
        let due = earliest(self.own_due(id, spec), demanded);
        // Its own work comes between; tasks of one job run side by side.
        let work = Duration::try_from_secs_f64(spec.estimate_s).unwrap_or_default();
        Some(DependentDemand {
            priority: self.effective_priority(id, spec),
            due: due.map(|at| at.checked_sub(work).unwrap_or(at)),
        })
    }
}
