//! Dependencies between jobs: indexes that are derived from the records of jobs that depend
//! on others. A job is blocked while one of its dependencies is pending, which means not
//! done yet, and ready once all are done.
//!
//! Nothing in this module is written to the state service. Whether a job is blocked, ready,
//! or cancelled by one of its dependencies is derived from the jobs' records alone, so that
//! every controller gets the same result at the same revision, in whatever order it read
//! the records. The indexes are updated whenever a record changes. An update only visits
//! the jobs that are linked to the changed job by dependencies, so no scheduling round has
//! to scan all jobs.
//!
//! A job can only depend on jobs that were accepted before it, so there are no cycles.
//!
//! | module | task |
//! | --- | --- |
//! | `index` | updates the indexes as jobs' records change |
//! | `demand` | priority and deadline that jobs inherit from the jobs that depend on them |

mod demand;
mod index;

use std::collections::{BTreeMap, BTreeSet};

use foldhash::HashMap;
use tokio::time::Instant;

use crate::state::records::{JobSpec, JobStatus};
use crate::state::replica::Replica;

use demand::DependentDemand;

pub use demand::EffectiveUrgency;

/// Indexes over the records of jobs with dependencies, kept in the [`Replica`].
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Blocked open jobs by id, each with the ids of its pending dependencies.
    blocked: BTreeMap<String, Vec<String>>,
    /// Blocked jobs that directly depend on a job, by the job's id.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Jobs that are cancelled by one of their dependencies while their own records are
    /// still open. None of them has ever been booked.
    cancelled_by_dependency: BTreeSet<String>,
    /// Priority and deadline that blocked jobs demand of a job, by the job's id.
    demand: HashMap<String, DependentDemand>,
    /// The time at which this controller first saw an open job with a deadline, by the
    /// job's id. It is the closest approximation of the submission time that the state
    /// provides.
    first_seen: HashMap<String, Instant>,
}

impl DependencyGraph {
    /// Returns an empty graph that keeps only the times at which jobs were first seen. A
    /// full read of the state rebuilds everything else.
    #[must_use]
    pub fn after_reload(self) -> Self {
        DependencyGraph {
            first_seen: self.first_seen,
            ..DependencyGraph::default()
        }
    }

    /// Removes the demand on a job and the time at which it was first seen, as the job has
    /// ended.
    fn remove_job(&mut self, id: &str) {
        self.first_seen.remove(id);
        self.demand.remove(id);
    }

    /// Removes the direct dependents of a job from the index and returns them.
    fn take_dependents(&mut self, id: &str) -> BTreeSet<String> {
        self.dependents.remove(id).unwrap_or_default()
    }
}

impl Replica {
    /// Returns a job's status, derived from its own record and from its dependencies;
    /// `None` if the job is unknown. Code that reports a job's outcome, or whose decisions
    /// depend on the outcome, must use this method instead of the record's status.
    pub fn effective_status(&self, id: &str) -> Option<JobStatus> {
        let own = self.jobs.get(id)?.value.status;
        let cancelled = &self.dependency_graph.cancelled_by_dependency;
        match own == JobStatus::Open && cancelled.contains(id) {
            true => Some(JobStatus::Cancelled),
            false => Some(own),
        }
    }

    /// Returns whether all dependencies of a job are done. The result `true` is final, as a
    /// dependency that is done stays done. On a replica that lags behind, the result can
    /// still be `false` for a while.
    pub fn dependencies_done(&self, spec: &JobSpec) -> bool {
        let done = |id: &String| self.effective_status(id) == Some(JobStatus::Done);
        spec.dependencies.iter().all(done)
    }

    /// Returns the blocked open jobs with their pending dependencies.
    pub fn blocked_jobs(&self) -> impl Iterator<Item = (&str, &[String])> {
        let blocked = self.dependency_graph.blocked.iter();
        blocked.map(|(id, pending)| (id.as_str(), pending.as_slice()))
    }

    /// Returns the dependencies of a job that are not done yet.
    pub fn pending_dependencies(&self, id: &str) -> &[String] {
        let pending = self.dependency_graph.blocked.get(id);
        pending.map_or(&[], Vec::as_slice)
    }

    /// Returns the jobs that are cancelled by a dependency while their own records do not
    /// say so yet.
    pub fn cancelled_with_dependency(&self) -> impl Iterator<Item = &str> {
        let cancelled = self.dependency_graph.cancelled_by_dependency.iter();
        cancelled.map(String::as_str)
    }

    /// Returns whether a blocked open job depends on this one.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependency_graph.demand.contains_key(id)
    }
}
