//! Attributes the failures of jobs to the job or to the machine, and selects the machines
//! to quarantine.

use std::collections::{HashMap, HashSet};

use tokio::time::Instant;

use crate::controller::Controller;
use crate::state::records::{Job, JobStatus};
use crate::state::replica::Replica;
use crate::workers::{AttemptKey, OwnedWorker};

/// At most one in this many owned machines is quarantined as a suspect at a time.
const QUARANTINE_FRACTION: usize = 4;

/// The health of a machine, judged by the failures of jobs on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineHealth {
    /// No failure is attributed to the machine, and at most one failure on the machine is not
    /// attributed yet; or the machine has not failed a job for
    /// [`Settings::exclusion_limit`](crate::settings::Settings::exclusion_limit).
    Healthy,
    /// Several jobs failed on the machine, and their failures are not attributed yet.
    Suspect,
    /// A job that failed on the machine has since succeeded on another machine.
    Faulty,
}

/// The cause to which the failure of a job on a machine is attributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAttribution {
    /// The job is at fault: it also fails on other machines, or it was cancelled.
    Job,
    /// The machine is at fault: the job has since succeeded on another machine.
    Machine,
    /// The cause is not known until the job has been retried.
    Unknown,
}

/// Attributes a job's failure on a machine. The job's record must already contain that
/// failure. The failure is attributed to the machine if the job has succeeded since, and to
/// the job if it also fails on other machines or is cancelled.
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

/// Returns the health of a machine. A machine is faulty only if a job that failed on it has
/// succeeded elsewhere: a faulty job fails on every machine and would otherwise cause one
/// machine after another to be decommissioned.
///
/// Failures are held against a machine for a limited time after the last of them. It may have
/// recovered since, and only new work shows whether it has. Without this limit, a machine that
/// has recovered would take no work for good if no other machine can run the jobs.
pub(super) fn machine_health(
    controller: &Controller,
    replica: &Replica,
    machine: &str,
    owned_worker: &OwnedWorker,
    now: Instant,
) -> MachineHealth {
    let failures = &owned_worker.failures;
    if !failures.is_recent(controller.settings.exclusion_limit(), now) {
        return MachineHealth::Healthy;
    }
    let mut unknown = 0;
    for id in failures.jobs() {
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

/// Returns whether the termination of one of the job's tasks on the machine has not been
/// recorded yet. Until then, the failure may be missing from the job's record.
fn has_unrecorded_termination(controller: &Controller, job: &str, machine: &str) -> bool {
    let range_start = AttemptKey {
        job: job.to_string(),
        machine: machine.to_string(),
        attempt: 0,
        task: 0,
    };
    let terminations = controller.workers.pending_terminations();
    let next = terminations.range(range_start..).next();
    next.is_some_and(|(key, _)| key.job == job && key.machine == machine)
}

/// Returns the machines that take no new work because of failures: faulty machines that still
/// have work, and suspect machines, until the failures on them are attributed.
///
/// At most a quarter of the owned machines are quarantined as suspects, or one machine if there
/// are fewer than four. Without this limit, a large number of faulty jobs could quarantine all
/// machines. No job could then be retried, and failures are only attributed by retries.
pub fn quarantined_machines(
    controller: &Controller,
    replica: &Replica,
    owned_workers: &HashMap<String, OwnedWorker>,
    now: Instant,
) -> HashSet<String> {
    let mut quarantined = HashSet::new();
    let mut suspects: Vec<(usize, &String)> = Vec::new();
    for (id, owned_worker) in owned_workers {
        match machine_health(controller, replica, id, owned_worker, now) {
            MachineHealth::Healthy => {}
            MachineHealth::Suspect => suspects.push((owned_worker.failures.jobs().len(), id)),
            MachineHealth::Faulty => _ = quarantined.insert(id.clone()),
        }
    }
    suspects.sort_by(|a, b| b.cmp(a));
    let max_suspects = (owned_workers.len() / QUARANTINE_FRACTION).max(1);
    let suspects = suspects.into_iter().take(max_suspects);
    quarantined.extend(suspects.map(|(_, id)| id.clone()));
    quarantined
}
