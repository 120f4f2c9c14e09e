//! What the policy may know of a job, worked out from the settings and the plan.

use super::plan::Plan;
use crate::model::{Amount, Job, Room, Spec};
use crate::pipeline::Standing;
use crate::policy::JobFacts;
use crate::settings::{Settings, TeamTerms};
use crate::view::View;
use crate::wire::{Kind, Priority};

/// Whether an objective speaks of the job's class.
pub fn is_aimed(spec: &Spec, settings: &Settings) -> bool {
    let mut objectives = settings.deployment.objectives.iter();
    objectives.any(|o| o.class.as_ref() == Some(&spec.class))
}

/// Whether a job only fills what stands idle: low work without a deadline or an
/// objective, which saves when it is stopped.
pub fn is_filler(spec: &Spec, settings: &Settings) -> bool {
    spec.kind == Kind::Array
        && spec.priority == Priority::Low
        && spec.deadline_s.is_none()
        && spec.checkpoint_s > 0.0
        && !is_aimed(spec, settings)
}

/// Whether a job, started now, is too late for every objective of its class and
/// for the deadline of what needs it. A job without any is never late. Deadlines
/// count from the submission, all else from when it could first start (`age`).
pub fn is_late(spec: &Spec, settings: &Settings, age: f64, standing: &Standing) -> bool {
    let in_time = standing.left_s.is_some_and(|left| left >= spec.estimate_s);
    let mut any = standing.asked;
    if any && in_time {
        return false;
    }
    for o in &settings.deployment.objectives {
        if o.class.as_ref() != Some(&spec.class) {
            continue;
        }
        let possible = match (o.kind.as_str(), o.within_s, spec.deadline_s) {
            ("wait", Some(within), _) => age <= within,
            ("finished", Some(within), _) => age <= within - spec.estimate_s,
            ("deadline", _, Some(_)) => in_time,
            _ => continue,
        };
        any = true;
        if possible {
            return false;
        }
    }
    any
}

/// What the policy may know of a job.
pub fn facts(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    settings: &Settings,
    view: &View,
    age: f64,
    standing: &Standing,
) -> JobFacts {
    let used = plan.used(&spec.team);
    let on_gpus = spec.need.gpus.0 > 0;
    let (borrows, share) = match settings.team(&spec.team) {
        Some(terms) => {
            let tasks = if spec.is_gang() {
                spec.tasks as usize
            } else {
                1
            };
            let g = terms.guarantee();
            // A team without a guarantee counts as if it had one unit.
            let part = |u: Amount, g: Amount| u.units() / g.units().max(1.0);
            let share = if on_gpus {
                part(used.gpus, g.gpus)
            } else {
                part(used.cpus, g.cpus)
            };
            (!within_guarantee(terms, &used, spec, tasks), share)
        }
        None => (true, f64::MAX),
    };
    let amount = if on_gpus {
        spec.need.gpus
    } else {
        spec.need.cpus
    };
    let work = match spec.kind {
        Kind::Service => 0.0,
        _ => job.waiting() as f64 * spec.estimate_s * amount.units(),
    };
    JobFacts {
        borrows,
        priority: f64::from(standing.priority as u8),
        share,
        late: is_late(spec, settings, age, standing),
        work,
        age_s: age,
        tasks: f64::from(spec.tasks),
        waiting: job.waiting() as f64,
        estimate_s: spec.estimate_s,
        kind: match spec.kind {
            Kind::Array => 0.0,
            Kind::Gang => 1.0,
            Kind::Service => 2.0,
        },
        has_deadline: standing.left_s.is_some(),
        boot_s: view.least_boot_s(),
        aimed: is_aimed(spec, settings),
    }
}

/// Whether `tasks` more of this job stay within the team's guarantee.
pub fn within_guarantee(terms: &TeamTerms, used: &Room, spec: &Spec, tasks: usize) -> bool {
    let with = *used + spec.need.times(tasks);
    let g = terms.guarantee();
    with.cpus <= g.cpus && (spec.need.gpus.0 == 0 || g.gpus.0 == 0 || with.gpus <= g.gpus)
}
