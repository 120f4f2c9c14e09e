//! Order in which waiting jobs are placed. The configured policy determines the order,
//! except for jobs that have waited too long, jobs that work was preempted for, and jobs
//! that are suspected faulty.

use std::cmp::Ordering;

use foldhash::HashMap;
use tokio::time::Instant;

use super::job_facts::job_facts;
use super::plan::Plan;
use crate::settings::Settings;
use crate::state::records::{Job, JobSpec};
use crate::state::replica::Replica;

/// Returns whether a job has waited so long that the policy's order no longer applies to
/// it. `age_s` is the time since the job was first seen, in seconds. Such jobs are placed
/// before those in the policy's order, which bounds their wait however the policy orders
/// jobs by size, team or lateness.
///
/// Only a job whose tasks have never been started can be starving: the remaining tasks of
/// an array follow in the policy's order, and a job that was preempted for a team's
/// guarantee must not be placed again before the job that preempted it.
pub(super) fn is_starving(job: &Job, spec: &JobSpec, settings: &Settings, age_s: f64) -> bool {
    age_s > settings.starvation_threshold_s()
        && job.attempt == 0
        && job.waiting_count() == spec.tasks as usize
}

/// Sort key of the queue. Fields are compared in order, and lower keys come first.
#[derive(Debug, Clone, PartialEq, PartialOrd)]
struct QueueSortKey {
    /// True if the job is suspected faulty, as it has failed on several machines. Such
    /// jobs are placed after all others.
    suspected_faulty: bool,
    /// False if work was preempted for the job. Such jobs come before others whatever the
    /// policy's order is; otherwise other jobs would use the capacity that the preemption
    /// has freed.
    without_cleared_capacity: bool,
    /// False if the job has waited longer than the starvation threshold. Such jobs come
    /// first, in the order of their acceptance.
    not_starving: bool,
    /// Sort keys that the policy computed.
    keys: Vec<f64>,
    /// Revision at which the job was accepted.
    accepted_revision: u64,
}

/// Times at which this controller first saw each open job. They only influence the order
/// of the queue.
pub type FirstSeenTimes = HashMap<String, Instant>;

/// Returns the ids of all jobs with waiting tasks, in the order in which they are placed.
pub fn queue<'a>(
    replica: &'a Replica,
    plan: &Plan,
    settings: &Settings,
    first_seen: &FirstSeenTimes,
    now: Instant,
) -> Vec<&'a str> {
    let mut queue: Vec<(QueueSortKey, &str)> = replica
        .open_jobs
        .iter()
        .filter_map(|(accepted_revision, id)| {
            let job = &replica.jobs.get(id)?.value;
            let spec = job.spec.as_ref().filter(|_| job.waiting_count() > 0)?;
            let age = age_s(first_seen, id, now);
            let urgency = replica.effective_urgency(id, spec, now);
            let facts = job_facts(job, spec, plan, settings, replica, age, &urgency);
            let is_starving = is_starving(job, spec, settings, age);
            let sort_key = QueueSortKey {
                suspected_faulty: job.is_suspected_faulty(),
                without_cleared_capacity: !job.has_preempted,
                not_starving: !is_starving,
                keys: match is_starving {
                    true => Vec::new(),
                    false => settings.policy.queue_order(&facts),
                },
                accepted_revision: *accepted_revision,
            };
            Some((sort_key, id.as_str()))
        })
        .collect();
    queue.sort_by(|(left, _), (right, _)| left.partial_cmp(right).unwrap_or(Ordering::Equal));
    queue.into_iter().map(|(_, id)| id).collect()
}

/// Returns the time since this controller first saw a job, in seconds, or 0 if it has not
/// seen the job.
pub(super) fn age_s(first_seen: &FirstSeenTimes, id: &str, now: Instant) -> f64 {
    let first_seen = first_seen.get(id);
    first_seen.map_or(0.0, |since| {
        now.saturating_duration_since(*since).as_secs_f64()
    })
}
