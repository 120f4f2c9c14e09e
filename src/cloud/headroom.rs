//! Places kept ready for the next gang on accelerators.

use crate::admission::{self, Plan};
use crate::model::Job;
use crate::node::Node;
use crate::pipeline::Standing;
use crate::view::View;

/// How many tasks of the accelerators' usual shape there should be places
/// for beyond those that run: none when no such job is open.
pub(super) fn headroom(node: &Node, view: &View, plan: &Plan) -> usize {
    let Some(gpu) = &view.gpu_spec else {
        return 0;
    };
    let open = view.open.iter().any(|(_, id)| {
        let job = view.jobs.get(id).map(|e| &e.value);
        let job = job.filter(|j| !j.is_doubtful());
        let spec = job.and_then(|j| j.spec.as_ref());
        spec.is_some_and(|s| s.need.gpus.0 > 0)
    });
    if !open {
        return 0;
    }
    let next = Job::new(gpu.clone(), 0);
    let standing = Standing::of(gpu);
    let facts = admission::facts(&next, gpu, plan, &node.settings, view, 0.0, &standing);
    let jobs = node.settings.policy.headroom(&facts);
    (jobs * f64::from(gpu.tasks)).round() as usize
}

/// Free places of the accelerators' usual shape.
pub(super) fn spare_places(view: &View, plan: &Plan, zone: Option<&str>) -> usize {
    let Some(gpu) = &view.gpu_spec else {
        return 0;
    };
    let allowed: Vec<bool> = view
        .classes
        .iter()
        .map(|c| gpu.allows(&c.kind, &c.zone, c.spot) && zone.is_none_or(|z| z == &*c.zone))
        .collect();
    plan.spots
        .iter()
        .filter(|s| allowed[s.class as usize])
        .map(|s| s.free.slots(&gpu.need))
        .sum()
}
