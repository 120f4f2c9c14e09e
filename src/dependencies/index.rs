//! Updates of the dependency indexes as jobs' records change.

use tokio::time::Instant;

use crate::state::records::{Job, JobStatus};
use crate::state::replica::Replica;

impl Replica {
    /// Indexes a job's record that was just stored in the replica.
    pub(crate) fn index_job_dependencies(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id).map(|e| &e.value) else {
            return;
        };
        match job.status {
            JobStatus::Open => self.index_open_job(id),
            JobStatus::Done => {
                self.dependency_graph.remove_job(id);
                self.unblock_dependents(id);
            }
            JobStatus::Cancelled => {
                self.dependency_graph.remove_job(id);
                self.cancel_dependents(id);
            }
        }
    }

    fn index_open_job(&mut self, id: &str) {
        let spec = self.jobs.get(id).and_then(|e| e.value.spec.as_ref());
        let has_deadline = spec.is_some_and(|s| s.deadline_s.is_some());
        let dependencies = spec.map_or(&[][..], |s| &s.dependencies);
        let has_status = |id: &String, status| self.effective_status(id) == Some(status);
        if dependencies
            .iter()
            .any(|dependency| has_status(dependency, JobStatus::Cancelled))
        {
            return self.cancel_with_dependency(id);
        }
        let pending: Vec<String> = dependencies
            .iter()
            .filter(|dependency| !has_status(dependency, JobStatus::Done))
            .cloned()
            .collect();
        if has_deadline {
            let first_seen = &mut self.dependency_graph.first_seen;
            first_seen
                .entry(id.to_string())
                .or_insert_with(Instant::now);
        }
        match pending.is_empty() {
            true => self.make_ready(id),
            false => self.add_to_blocked(id, pending),
        }
    }

    /// Removes the index entries of a job that was open, as its record changes or is
    /// removed. `old` is the record before the change.
    pub(crate) fn unindex_job_dependencies(&mut self, id: &str, old: &Job) {
        self.open_jobs
            .remove(&(old.accepted_revision, id.to_string()));
        self.dependency_graph.cancelled_by_dependency.remove(id);
        self.remove_from_blocked(id);
    }

    /// Records that a job is blocked by its pending dependencies.
    fn add_to_blocked(&mut self, id: &str, pending: Vec<String>) {
        let graph = &mut self.dependency_graph;
        for dependency in &pending {
            let dependents = graph.dependents.entry(dependency.clone());
            dependents.or_default().insert(id.to_string());
        }
        graph.blocked.insert(id.to_string(), pending.clone());
        self.propagate_demand(pending);
    }

    /// Removes a job from the blocked jobs and from the dependents of its pending
    /// dependencies.
    fn remove_from_blocked(&mut self, id: &str) {
        let graph = &mut self.dependency_graph;
        let Some(pending) = graph.blocked.remove(id) else {
            return;
        };
        for dependency in &pending {
            if let Some(dependents) = graph.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    graph.dependents.remove(dependency);
                }
            }
        }
        self.propagate_demand(pending);
    }

    /// Adds a job without pending dependencies to the open jobs that the scheduler
    /// considers.
    fn make_ready(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id).map(|e| &e.value) else {
            return;
        };
        if let Some(spec) = job.spec.as_ref().filter(|s| s.need.gpus.0 > 0) {
            self.latest_gpu_spec = Some(spec.clone());
        }
        self.open_jobs
            .insert((job.accepted_revision, id.to_string()));
    }

    /// Removes a completed dependency from its dependents, and makes those ready that have
    /// no other pending dependency.
    fn unblock_dependents(&mut self, id: &str) {
        for dependent in self.dependency_graph.take_dependents(id) {
            let blocked = &mut self.dependency_graph.blocked;
            let Some(pending) = blocked.get_mut(&dependent) else {
                continue;
            };
            pending.retain(|dependency| dependency != id);
            if pending.is_empty() {
                blocked.remove(&dependent);
                tracing::debug!(job = dependent, last_dependency = id, "job ready");
                self.make_ready(&dependent);
            }
        }
    }

    /// Cancels the direct and indirect dependents of a cancelled job.
    fn cancel_dependents(&mut self, id: &str) {
        for dependent in self.dependency_graph.take_dependents(id) {
            self.cancel_with_dependency(&dependent);
        }
    }

    /// Marks a job and its direct and indirect dependents as cancelled by a dependency.
    fn cancel_with_dependency(&mut self, id: &str) {
        let mut pending = vec![id.to_string()];
        while let Some(id) = pending.pop() {
            let cancelled = &mut self.dependency_graph.cancelled_by_dependency;
            if !cancelled.insert(id.clone()) {
                continue;
            }
            self.remove_from_blocked(&id);
            self.dependency_graph.remove_job(&id);
            pending.extend(self.dependency_graph.take_dependents(&id));
        }
    }
}
