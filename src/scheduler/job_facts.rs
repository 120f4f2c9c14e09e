//! What the policy may know of a job: its lateness, its size and its team's share.

use super::plan::Plan;
use super::waiting_job::tasks_together;
use crate::dependencies::EffectiveUrgency;
use crate::policy::JobFacts;
use crate::settings::{Settings, TeamQuota};
use crate::state::records::{Amount, Job, Resources, Spec};
use crate::state::replica::Replica;
use crate::wire::{JobKind, Priority};

/// Whether an objective names the job's class.
pub(super) fn has_slo(spec: &Spec, settings: &Settings) -> bool {
    let mut objectives = settings.deployment.objectives.iter();
    objectives.any(|o| o.class.as_ref() == Some(&spec.class))
}

/// Whether a job only fills what stands idle: low work without a deadline or an
/// objective, which saves when it is stopped.
pub fn is_opportunistic(spec: &Spec, settings: &Settings) -> bool {
    spec.kind == JobKind::Array
        && spec.priority == Priority::Low
        && spec.deadline_s.is_none()
        && spec.checkpoint_s > 0.0
        && !has_slo(spec, settings)
}

/// Whether a job, started now, is too late for every objective of its class and
/// for the deadline of its dependents. A job without any is never late.
/// Deadlines count from the submission, all else from when it could first start
/// (`age`, in seconds).
pub fn is_late(spec: &Spec, settings: &Settings, age: f64, urgency: &EffectiveUrgency) -> bool {
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
            ("wait", Some(within), _) => age <= within,
            ("finished", Some(within), _) => age <= within - spec.estimate_s,
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

/// What the policy may know of a job.
pub fn job_facts(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    settings: &Settings,
    replica: &Replica,
    age: f64,
    urgency: &EffectiveUrgency,
) -> JobFacts {
    let team = team_standing(spec, &plan.team_used(&spec.team), settings.team(&spec.team));
    JobFacts {
        borrows: team.borrows,
        priority: f64::from(urgency.priority as u8),
        share: team.share,
        late: is_late(spec, settings, age, urgency),
        work: work(job, spec),
        age_s: age,
        tasks: f64::from(spec.tasks),
        waiting: job.waiting() as f64,
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

/// How a job's team stands to its guarantee.
struct TeamStanding {
    /// The job would go beyond the guarantee.
    borrows: bool,
    /// What the team uses, as a share of its guarantee.
    share: f64,
}

/// How a job's team stands to its guarantee in what the job mainly needs. A team
/// without a guarantee counts as if it had one unit.
fn team_standing(spec: &Spec, used: &Resources, quota: Option<&TeamQuota>) -> TeamStanding {
    let Some(quota) = quota else {
        return TeamStanding {
            borrows: true,
            share: f64::MAX,
        };
    };
    let guarantee = quota.guarantee();
    let share = |used: Amount, guarantee: Amount| used.units() / guarantee.units().max(1.0);
    TeamStanding {
        borrows: !within_guarantee(quota, used, spec, tasks_together(spec)),
        share: match spec.need.gpus.0 > 0 {
            true => share(used.gpus, guarantee.gpus),
            false => share(used.cpus, guarantee.cpus),
        },
    }
}

/// The work that waits of a job, in seconds of the unit that it mainly needs. A
/// service has no end.
fn work(job: &Job, spec: &Spec) -> f64 {
    let amount = match spec.need.gpus.0 > 0 {
        true => spec.need.gpus,
        false => spec.need.cpus,
    };
    match spec.kind {
        JobKind::Service => 0.0,
        _ => job.waiting() as f64 * spec.estimate_s * amount.units(),
    }
}

/// Whether `tasks` more of this job stay within the team's guarantee.
pub(super) fn within_guarantee(
    quota: &TeamQuota,
    used: &Resources,
    spec: &Spec,
    tasks: usize,
) -> bool {
    let with = *used + spec.need.times(tasks);
    let guarantee = quota.guarantee();
    let gpus_count = spec.need.gpus.0 != 0 && guarantee.gpus.0 != 0;
    with.cpus <= guarantee.cpus && (!gpus_count || with.gpus <= guarantee.gpus)
}
