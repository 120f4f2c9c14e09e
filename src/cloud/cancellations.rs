//! Records cancellations that follow from the cancellation of a dependency.

use super::commit::commit_unless_empty;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::commit::{precondition, put};
use crate::state::keys::job_key;
use crate::wire::Commit;

/// Writes the cancellation of a dependency to the records of the jobs that depend on it, as
/// many as fit in one commit, in any order. These writes may be late without harm: until then,
/// every controller derives the cancellations from the dependencies' records, and the records
/// of finished jobs are never deleted.
pub(super) async fn record_dependent_cancellations(controller: &Controller) {
    let commit = {
        let replica = controller.replica.borrow();
        let (preconditions, writes) = replica
            .cancelled_with_dependency()
            .filter_map(|id| {
                let mut job = replica.jobs.get(id)?.value.clone();
                job.cancel();
                let version = replica.job_version(id);
                Some((precondition(job_key(id), version), put(job_key(id), &job)))
            })
            .take(controller.settings.max_writes_per_commit())
            .unzip();
        Commit {
            preconditions,
            writes,
        }
    };
    if let Err(error) = commit_unless_empty(controller, RequestClass::Publication, commit).await {
        tracing::debug!(%error, "dependent cancellations not recorded");
    }
}
