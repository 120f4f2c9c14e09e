//! Waiting jobs, as the placement and preemption searches of a round use them.

use crate::state::records::{Job, JobSpec};
use crate::wire::JobKind;

/// Job with waiting tasks.
#[derive(Clone, Copy)]
pub(super) struct WaitingJob<'a> {
    pub(super) id: &'a str,
    pub(super) job: &'a Job,
    /// Spec of the job. Every open job has one.
    pub(super) spec: &'a JobSpec,
    /// True if the job has waited so long that accelerators are no longer protected from it.
    pub(super) is_overdue: bool,
}

impl WaitingJob<'_> {
    /// Returns the number of placements that the job needs at the same time: 1 for an
    /// array, whose tasks can run one after another, and all waiting tasks for gangs and
    /// for services, whose replicas serve together.
    pub(super) fn placements_wanted(&self) -> usize {
        match self.spec.kind {
            JobKind::Array => 1,
            _ => self.job.waiting_count(),
        }
    }
}

/// Returns the number of tasks of a job that start and stop together.
pub(super) fn coscheduled_tasks(spec: &JobSpec) -> usize {
    match spec.is_gang() {
        true => spec.tasks as usize,
        false => 1,
    }
}
