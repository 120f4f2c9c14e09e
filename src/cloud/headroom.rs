//! Places kept ready for the next gang on accelerators.

use crate::controller::Controller;
use crate::dependencies::EffectiveUrgency;
use crate::scheduler::{self, Plan};
use crate::state::records::Job;
use crate::state::replica::Replica;

/// How many tasks of the accelerators' usual shape there should be places
/// for beyond those that run: none when no such job is open.
pub(super) fn headroom(controller: &Controller, replica: &Replica, plan: &Plan) -> usize {
    let Some(gpu) = &replica.gpu_spec else {
        return 0;
    };
    let has_gpu_jobs = replica.open.iter().any(|(_, id)| {
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        let job = job.filter(|job| !job.is_doubtful());
        let spec = job.and_then(|job| job.spec.as_ref());
        spec.is_some_and(|spec| spec.need.gpus.0 > 0)
    });
    if !has_gpu_jobs {
        return 0;
    }
    let next = Job::new(gpu.clone(), 0);
    let urgency = EffectiveUrgency::of(gpu);
    let facts = scheduler::job_facts(
        &next,
        gpu,
        plan,
        &controller.settings,
        replica,
        0.0,
        &urgency,
    );
    let jobs = controller.settings.policy.headroom(&facts);
    (jobs * f64::from(gpu.tasks)).round() as usize
}

/// Free places of the accelerators' usual shape, in one zone or in all.
pub(super) fn spare_places(replica: &Replica, plan: &Plan, zone: Option<&str>) -> usize {
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
        .filter(|spot| allowed[spot.class as usize])
        .map(|spot| spot.free.slots(&gpu.need))
        .sum()
}
