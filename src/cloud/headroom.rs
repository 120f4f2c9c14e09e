//! Headroom: slots kept ready for the next gang on accelerators.

use crate::dependencies::EffectiveUrgency;
use crate::scheduler::{self, Plan};
use crate::settings::Settings;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// Open jobs that need accelerators, but for those that fail wherever they run.
pub(super) fn open_accelerator_jobs(replica: &Replica) -> impl Iterator<Item = &Job> {
    replica.open_jobs.iter().filter_map(|(_, id)| {
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        job.filter(|job| {
            let spec = job.spec.as_ref();
            !job.is_suspected_faulty() && spec.is_some_and(|spec| spec.need.gpus.0 > 0)
        })
    })
}

/// How many slots of the accelerators' usual shape there should be beyond those
/// in use: none when no such job is open.
pub(super) fn wanted_headroom_slots(settings: &Settings, replica: &Replica, plan: &Plan) -> usize {
    let Some(gpu) = &replica.gpu_spec else {
        return 0;
    };
    if open_accelerator_jobs(replica).next().is_none() {
        return 0;
    }
    let next_gang = Job::new(gpu.clone(), 0);
    let urgency = EffectiveUrgency::without_dependents(gpu);
    let facts = scheduler::job_facts(&next_gang, gpu, plan, settings, replica, 0.0, &urgency);
    let gangs = settings.policy.headroom(&facts);
    (gangs * f64::from(gpu.tasks)).round() as usize
}

/// Free slots of the accelerators' usual shape, in one zone or in all.
pub(super) fn free_accelerator_slots(replica: &Replica, plan: &Plan, zone: Option<&str>) -> usize {
    let Some(gpu) = &replica.gpu_spec else {
        return 0;
    };
    let allowed: Vec<bool> = replica
        .classes
        .iter()
        .map(|class| {
            gpu.allows(&class.kind, &class.zone, class.spot)
                && zone.is_none_or(|zone| zone == &*class.zone)
        })
        .collect();
    plan.plan_slots
        .iter()
        .filter(|slot| allowed[slot.class as usize])
        .map(|slot| slot.free.slots(&gpu.need))
        .sum()
}
