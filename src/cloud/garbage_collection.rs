//! Garbage collection: deletes records that are no longer needed. These are provisioning
//! requests, and accepted batches, which are records that hold several new jobs until each job
//! has a record of its own.

use super::commit::commit_unless_empty;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::commit::precondition;
use crate::state::keys::{accepted_batch_key, provisioning_request_key};
use crate::state::replica::Replica;
use crate::wire::{Commit, Precondition, Write};

/// The key and the version of a record that is no longer needed.
struct ObsoleteRecord {
    key: String,
    version: u64,
}

impl ObsoleteRecord {
    /// Returns the precondition and the write that delete the record.
    fn into_deletion(self) -> (Precondition, Write) {
        let ObsoleteRecord { key, version } = self;
        (precondition(key.clone(), version), Write::Delete { key })
    }
}

/// Deletes obsolete records, as many as fit in one commit.
pub(super) async fn collect_obsolete_records(controller: &Controller) {
    let commit = {
        let replica = controller.replica.borrow();
        let (preconditions, writes) = obsolete_records(&replica)
            .take(controller.settings.max_writes_per_commit())
            .map(ObsoleteRecord::into_deletion)
            .unzip();
        Commit {
            preconditions,
            writes,
        }
    };
    if let Err(error) = commit_unless_empty(controller, RequestClass::Publication, commit).await {
        tracing::debug!(%error, "obsolete records not deleted");
    }
}

/// Returns the obsolete records: provisioning requests whose machines all have records of
/// their own, and accepted batches whose jobs all have records of their own.
///
/// An obsolete record cannot become needed again. A machine's record is only deleted together
/// with the machine's entry in the provisioning request (`record_deletions`), and a job's
/// record is never deleted.
fn obsolete_records(replica: &Replica) -> impl Iterator<Item = ObsoleteRecord> {
    let requests = replica.provisioning_requests.iter().filter(|(_, entry)| {
        let machines = &entry.value.machines;
        !machines.is_empty() && machines.iter().all(|id| replica.machines.contains_key(id))
    });
    let requests = requests.map(|(id, entry)| ObsoleteRecord {
        key: provisioning_request_key(id),
        version: entry.version,
    });
    let batches = replica.accepted_batches.iter().filter(|(_, entry)| {
        let mut jobs = entry.value.jobs.keys();
        jobs.all(|id| replica.job_version(id) > 0)
    });
    let batches = batches.map(|(id, entry)| ObsoleteRecord {
        key: accepted_batch_key(id),
        version: entry.version,
    });
    requests.chain(batches)
}
