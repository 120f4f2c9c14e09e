//! Dependencies between jobs: what follows from the records of jobs that depend on
//! others.
//!
//! Nothing here is written. Whether a job is blocked, ready, or cancelled by one
//! that it depends on follows from the jobs' records alone, so that every
//! controller finds the same at the same revision, in whatever order it read them.
//! The indexes are updated as records change, each change along its own chain: no
//! round goes through all jobs for it.
//!
//! An id can only be named once it is accepted, so there are no cycles.
//!
//! | module | task |
//! | --- | --- |
//! | `index` | updates the indexes as jobs' records change |
//! | `demand` | what blocked jobs demand of their dependencies: priority and deadline |

mod demand;
mod index;

use std::collections::{BTreeMap, BTreeSet};

use foldhash::HashMap;
use tokio::time::Instant;

use crate::state::records::{JobStatus, Spec};
use crate::state::replica::Replica;

use demand::DependentDemand;

pub use demand::EffectiveUrgency;

/// Indexes over the records of jobs with dependencies; a part of the [`Replica`].
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Open jobs that wait, each with the ids of its pending dependencies.
    blocked: BTreeMap<String, Vec<String>>,
    /// The blocked jobs that directly depend on a job, by its id.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Jobs that are cancelled by one of their dependencies, while their own records
    /// have them open. None of them has ever been booked.
    cancelled_by_dependency: BTreeSet<String>,
    /// What blocked jobs demand of a job, by its id.
    demand: HashMap<String, DependentDemand>,
    /// When an open job with a deadline was first seen here: as near to its
    /// submission as the state tells.
    first_seen: HashMap<String, Instant>,
}

impl DependencyGraph {
    /// What is kept over a full read of the state: how long jobs have been known.
    #[must_use]
    pub fn after_reload(self) -> Self {
        DependencyGraph {
            first_seen: self.first_seen,
            ..DependencyGraph::default()
        }
    }

    /// Forgets what is demanded of a job, and since when it is known: it is over.
    fn remove_job(&mut self, id: &str) {
        self.first_seen.remove(id);
        self.demand.remove(id);
    }

    /// Takes the direct dependents of a job out of the index.
    fn take_dependents(&mut self, id: &str) -> BTreeSet<String> {
        self.dependents.remove(id).unwrap_or_default()
    }
}

impl Replica {
    /// A job's final status, whether its own record says so or it follows from
    /// its dependencies; `None` if it is not known. Whoever tells anybody what
    /// became of a job, or decides by it, asks here.
    pub fn effective_status(&self, id: &str) -> Option<JobStatus> {
        let own = self.jobs.get(id)?.value.status;
        let cancelled = &self.dependency_graph.cancelled_by_dependency;
        match own == JobStatus::Open && cancelled.contains(id) {
            true => Some(JobStatus::Cancelled),
            false => Some(own),
        }
    }

    /// Whether all dependencies of a job are done. That is final: a replica that lags
    /// can only say so late.
    pub fn dependencies_done(&self, spec: &Spec) -> bool {
        let done = |id: &String| self.effective_status(id) == Some(JobStatus::Done);
        spec.dependencies.iter().all(done)
    }

    /// Open jobs that wait for others, with their pending dependencies.
    pub fn blocked_jobs(&self) -> impl Iterator<Item = (&str, &[String])> {
        let blocked = self.dependency_graph.blocked.iter();
        blocked.map(|(id, pending)| (id.as_str(), pending.as_slice()))
    }

    /// The dependencies of a job that are not done yet.
    pub fn pending_dependencies(&self, id: &str) -> &[String] {
        let pending = self.dependency_graph.blocked.get(id);
        pending.map_or(&[], Vec::as_slice)
    }

    /// Jobs that are cancelled with a dependency, and whose own records are yet to
    /// say so.
    pub fn cancelled_with_dependency(&self) -> impl Iterator<Item = &str> {
        let cancelled = self.dependency_graph.cancelled_by_dependency.iter();
        cancelled.map(String::as_str)
    }

    /// Whether an open job depends on this one.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependency_graph.demand.contains_key(id)
    }
}
