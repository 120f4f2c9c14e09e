//! A job with waiting tasks, as the searches of a round take it.

use crate::state::records::{Job, Spec};
use crate::wire::JobKind;

/// A job with waiting tasks.
#[derive(Clone, Copy)]
pub(super) struct WaitingJob<'a> {
    pub(super) id: &'a str,
    pub(super) job: &'a Job,
    /// The job's spec, which an open job has.
    pub(super) spec: &'a Spec,
}

impl WaitingJob<'_> {
    /// How many placements the job needs at once: a service all, as its replicas serve
    /// together; of independent tasks, one after another will do.
    pub(super) fn placements_wanted(&self) -> usize {
        match self.spec.kind {
            JobKind::Array => 1,
            _ => self.job.waiting(),
        }
    }
}

/// How many tasks of a job start or stop together.
pub(super) fn tasks_together(spec: &Spec) -> usize {
    match spec.is_gang() {
        true => spec.tasks as usize,
        false => 1,
    }
}
