//! Whose fault a job's failures are: the job's or the machine's.

use std::collections::{HashMap, HashSet};

use crate::controller::Controller;
use crate::state::records::{Job, JobStatus};
use crate::state::replica::Replica;
use crate::workers::{AttemptKey, OwnedWorker};

/// At most one of so many machines held is quarantined at once.
const QUARANTINE_FRACTION: usize = 4;

/// What the failures on a machine say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineHealth {
    /// Nothing, or the jobs fail on others as well.
    Healthy,
    /// Several jobs failed there, and nobody knows yet whose fault it is.
    Suspect,
    /// A job that failed there has succeeded elsewhere since.
    Faulty,
}

/// What the failure of one job on a machine says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAttribution {
    /// The job fails on other machines, too, or is cancelled.
    Job,
    /// The job has succeeded elsewhere since.
    Machine,
    /// The job has not been tried again yet.
    Unknown,
}

/// Attributes a job's failure on a machine, by the job's record, which holds that
/// failure: to the machine, if the job has succeeded since; to the job, if it
/// fails on others, too, or is cancelled.
#[must_use]
pub fn attribute_failure(job: &Job, machine: &str) -> FailureAttribution {
    match job.status {
        JobStatus::Done => FailureAttribution::Machine,
        JobStatus::Cancelled => FailureAttribution::Job,
        JobStatus::Open if job.is_suspected_faulty() => FailureAttribution::Job,
        JobStatus::Open if job.failed_on.iter().any(|failed| failed == machine) => {
            FailureAttribution::Unknown
        }
        JobStatus::Open => FailureAttribution::Machine,
    }
}

/// Judges a machine by jobs that succeed elsewhere; a job with a mistake fails
/// on all machines alike, and would have one after another decommissioned.
pub(super) fn machine_health(
    controller: &Controller,
    replica: &Replica,
    machine: &str,
    owned_worker: &OwnedWorker,
) -> MachineHealth {
    let mut unknown = 0;
    for id in &owned_worker.failed_jobs {
        let Some(job) = replica.jobs.get(id) else {
            continue;
        };
        if has_unrecorded_termination(controller, id, machine) {
            unknown += 1;
            continue;
        }
        match attribute_failure(&job.value, machine) {
            FailureAttribution::Machine => return MachineHealth::Faulty,
            FailureAttribution::Unknown => unknown += 1,
            FailureAttribution::Job => {}
        }
    }
    match unknown {
        0 | 1 => MachineHealth::Healthy,
        _ => MachineHealth::Suspect,
    }
}

/// Whether the termination of a job's task on a machine is still to be recorded:
/// the job's record does not hold that failure yet.
fn has_unrecorded_termination(controller: &Controller, job: &str, machine: &str) -> bool {
    let first = AttemptKey {
        job: job.to_string(),
        machine: machine.to_string(),
        attempt: 0,
        task: 0,
    };
    let terminations = controller.workers.pending_terminations();
    let next = terminations.range(first..).next();
    next.is_some_and(|(key, _)| key.job == job && key.machine == machine)
}

/// Machines that take no new work until it is known whose fault the failures
/// there are: a quarter of those held at most, or many jobs with a mistake
/// would leave no capacity to tell.
pub fn quarantined_machines(
    controller: &Controller,
    replica: &Replica,
    owned_workers: &HashMap<String, OwnedWorker>,
) -> HashSet<String> {
    let mut suspects: Vec<(usize, &String)> = owned_workers
        .iter()
        .filter(|(_, owned_worker)| owned_worker.failed_jobs.len() > 1)
        .filter(|(id, owned_worker)| {
            machine_health(controller, replica, id, owned_worker) == MachineHealth::Suspect
        })
        .map(|(id, owned_worker)| (owned_worker.failed_jobs.len(), id))
        .collect();
    suspects.sort_by(|a, b| b.cmp(a));
    let max_quarantined = (owned_workers.len() / QUARANTINE_FRACTION).max(1);
    let quarantined = suspects.into_iter().take(max_quarantined);
    quarantined.map(|(_, id)| id.clone()).collect()
}
