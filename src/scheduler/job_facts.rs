//! Job attributes that the rules of the configured policy can use, such as lateness, size,
//! and the team's usage of its guarantee.

use super::plan::Plan;
use super::waiting_job::coscheduled_tasks;
use crate::dependencies::EffectiveUrgency;
use crate::policy::JobFacts;
use crate::settings::{Settings, TeamQuota};
use crate::state::records::{Amount, Job, JobSpec, Resources};
use crate::state::replica::Replica;
use crate::wire::{JobKind, Priority};

/// Returns whether an objective is configured for the job's class.
pub(super) fn has_slo(spec: &JobSpec, settings: &Settings) -> bool {
    let mut objectives = settings.deployment.objectives.iter();
    objectives.any(|o| o.class.as_ref() == Some(&spec.class))
}

/// Returns whether a job only uses otherwise idle capacity: an array of low priority that
/// has neither a deadline nor an objective, and that saves its progress when it is
/// stopped.
pub fn is_opportunistic(spec: &JobSpec, settings: &Settings) -> bool {
    spec.kind == JobKind::Array
        && spec.priority == Priority::Low
        && spec.deadline_s.is_none()
        && spec.checkpoint_s > 0.0
        && !has_slo(spec, settings)
}

/// Returns whether a job, started now, would miss every objective of its class and the
/// deadline of its dependents. A job without objectives and deadlines is never late.
/// Deadlines count from the submission; other objectives count from the time when the job
/// could first start, which was `age_s` seconds ago.
pub fn is_late(
    spec: &JobSpec,
    settings: &Settings,
    age_s: f64,
    urgency: &EffectiveUrgency,
) -> bool {
    let in_time = urgency
        .time_left_s
        .is_some_and(|left| left >= spec.estimate_s);
    let mut has_objective = urgency.dependents_have_deadline;
    if has_objective && in_time {
        return false;
    }
    for objective in &settings.deployment.objectives {
        if objective.class.as_ref() != Some(&spec.class) {
            continue;
        }
        let kind = objective.kind.as_str();
        let possible = match (kind, objective.within_s, spec.deadline_s) {
            ("wait", Some(within), _) => age_s <= within,
            ("finished", Some(within), _) => age_s <= within - spec.estimate_s,
            ("deadline", _, Some(_)) => in_time,
            _ => continue,
        };
        has_objective = true;
        if possible {
            return false;
        }
    }
    has_objective
}

/// Returns the attributes of a job that the policy's rules can use.
pub fn job_facts(
    job: &Job,
    spec: &JobSpec,
    plan: &Plan,
    settings: &Settings,
    replica: &Replica,
    age_s: f64,
    urgency: &EffectiveUrgency,
) -> JobFacts {
    let team = guarantee_usage(spec, &plan.team_used(&spec.team), settings.team(&spec.team));
    JobFacts {
        borrows: team.borrows,
        priority: f64::from(urgency.priority as u8),
        share: team.share,
        late: is_late(spec, settings, age_s, urgency),
        work: work(job, spec),
        age_s,
        tasks: f64::from(spec.tasks),
        waiting: job.waiting_count() as f64,
        estimate_s: spec.estimate_s,
        kind: match spec.kind {
            JobKind::Array => 0.0,
            JobKind::Gang => 1.0,
            JobKind::Service => 2.0,
        },
        has_deadline: urgency.time_left_s.is_some(),
        boot_s: replica.min_boot_s(),
        aimed: has_slo(spec, settings),
    }
}

/// Usage of a team's guarantee, computed for one of the team's jobs.
struct GuaranteeUsage {
    /// True if the team would exceed its guarantee with this job.
    borrows: bool,
    /// Resources that the team uses, as a fraction of its guarantee.
    share: f64,
}

/// Returns the team's usage of its guarantee, in accelerators if the job needs them, else
/// in CPUs. A guarantee below one unit counts as one unit.
fn guarantee_usage(spec: &JobSpec, used: &Resources, quota: Option<&TeamQuota>) -> GuaranteeUsage {
    let Some(quota) = quota else {
        return GuaranteeUsage {
            borrows: true,
            share: f64::MAX,
        };
    };
    let guarantee = quota.guarantee();
    let share = |used: Amount, guarantee: Amount| used.units() / guarantee.units().max(1.0);
    GuaranteeUsage {
        borrows: !within_guarantee(quota, used, spec, coscheduled_tasks(spec)),
        share: match spec.need.gpus.0 > 0 {
            true => share(used.gpus, guarantee.gpus),
            false => share(used.cpus, guarantee.cpus),
        },
    }
}

/// Returns the waiting work of a job, in accelerator seconds if the job needs
/// accelerators, else in CPU seconds. Returns 0 for a service, as it has no end.
fn work(job: &Job, spec: &JobSpec) -> f64 {
    let amount = match spec.need.gpus.0 > 0 {
        true => spec.need.gpus,
        false => spec.need.cpus,
    };
    match spec.kind {
        JobKind::Service => 0.0,
        _ => job.waiting_count() as f64 * spec.estimate_s * amount.units(),
    }
}

/// Returns whether the team stays within its guarantee with `tasks` more tasks of this
/// job.
pub(super) fn within_guarantee(
    quota: &TeamQuota,
    used: &Resources,
    spec: &JobSpec,
    tasks: usize,
) -> bool {
    let used_after = *used + spec.need.times(tasks);
    let guarantee = quota.guarantee();
    let gpus_limited = spec.need.gpus.0 != 0 && guarantee.gpus.0 != 0;
    used_after.cpus <= guarantee.cpus && (!gpus_limited || used_after.gpus <= guarantee.gpus)
}
