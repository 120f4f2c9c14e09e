//! Headroom: slots that are kept free for the next gang that needs accelerators. A slot is
//! the capacity for one task of the latest such job (`Replica::latest_gpu_spec`).

use crate::dependencies::EffectiveUrgency;
use crate::scheduler::{self, Plan};
use crate::settings::Settings;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// Returns the jobs in `Replica::open_jobs` (unfinished, with all dependencies done) that need
/// accelerators, except those that are suspected to be faulty.
pub(super) fn open_accelerator_jobs(replica: &Replica) -> impl Iterator<Item = &Job> {
    replica.open_jobs.iter().filter_map(|(_, id)| {
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        job.filter(|job| {
            let spec = job.spec.as_ref();
            !job.is_suspected_faulty() && spec.is_some_and(|spec| spec.need.gpus.0 > 0)
        })
    })
}

/// Returns the number of slots that the policy requires to be free. Returns 0 if
/// `Replica::latest_gpu_spec` is `None` or if [`open_accelerator_jobs`] returns no job.
pub(super) fn wanted_headroom_slots(settings: &Settings, replica: &Replica, plan: &Plan) -> usize {
    let Some(gpu_spec) = &replica.latest_gpu_spec else {
        return 0;
    };
    if open_accelerator_jobs(replica).next().is_none() {
        return 0;
    }
    let next_gang = Job::new(gpu_spec.clone(), 0);
    let urgency = EffectiveUrgency::without_dependents(gpu_spec);
    let facts = scheduler::job_facts(&next_gang, gpu_spec, plan, settings, replica, 0.0, &urgency);
    let gangs = settings.policy.headroom(&facts);
    (gangs * f64::from(gpu_spec.tasks)).round() as usize
}

/// Returns the number of free slots in the plan, in one zone or, for `None`, in all zones.
pub(super) fn free_accelerator_slots(replica: &Replica, plan: &Plan, zone: Option<&str>) -> usize {
    let Some(gpu_spec) = &replica.latest_gpu_spec else {
        return 0;
    };
    let allowed: Vec<bool> = replica
        .classes
        .iter()
        .map(|class| {
            gpu_spec.allows(&class.kind, &class.zone, class.spot)
                && zone.is_none_or(|zone| zone == &*class.zone)
        })
        .collect();
    plan.plan_slots
        .iter()
        .filter(|slot| allowed[slot.class as usize])
        .map(|slot| slot.free.task_slots(&gpu_spec.need))
        .sum()
}
