//! The order in which waiting jobs are placed: by the policy, but for jobs that
//! have waited too long and those that fail on every machine.

use std::cmp::Ordering;

use foldhash::HashMap;
use tokio::time::Instant;

use super::job_facts::job_facts;
use super::plan::Plan;
use crate::settings::Settings;
use crate::state::records::{Job, Spec};
use crate::state::replica::Replica;

/// Whether a job has waited so long (`age`, in seconds) that it goes first: a bound on
/// waiting that no order by size, team or lateness can push back. Only for what has
/// never begun: the rest of an array follows in the usual order, and what was
/// preempted for a guarantee must not push back in before it.
pub(super) fn is_starving(job: &Job, spec: &Spec, settings: &Settings, age: f64) -> bool {
    age > settings.starvation_threshold_s()
        && job.attempt == 0
        && job.waiting() == spec.tasks as usize
}

/// What the queue is sorted by, the first differing field first: lower goes first.
#[derive(Debug, Clone, PartialEq, PartialOrd)]
struct QueueSortKey {
    /// It fails wherever it runs: all others go first.
    suspected_faulty: bool,
    /// No capacity has been cleared for it. Jobs that work was preempted for go
    /// first whatever the policy says, or it would serve another job.
    without_cleared_capacity: bool,
    /// It has not waited beyond the bound; those that have go first, by age.
    not_starving: bool,
    /// The policy's keys.
    keys: Vec<f64>,
    /// The revision that the job was accepted at.
    accepted_revision: u64,
}

/// How long each open job has been known here; a hint for the queue's order.
pub type FirstSeenTimes = HashMap<String, Instant>;

/// All jobs with waiting tasks, the first to be placed first.
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
            let spec = job.spec.as_ref().filter(|_| job.waiting() > 0)?;
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

/// How many seconds a job has been known here.
pub(super) fn age_s(first_seen: &FirstSeenTimes, id: &str, now: Instant) -> f64 {
    let known = first_seen.get(id);
    known.map_or(0.0, |since| {
        now.saturating_duration_since(*since).as_secs_f64()
    })
}
