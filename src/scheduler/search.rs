//! What one placement round has found out already, so that it is not
//! searched again.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use foldhash::HashMap;

use super::candidates::{Care, Hints};
use super::fit::{count, fit, hold_room};
use super::plan::{Place, Plan};
use super::preemption::{Running, Seek, running};
use super::reasons::Wait;
use crate::model::{Job, Spec};
use crate::node::Node;
use crate::view::View;
use crate::wire::Kind;

/// How many searches for work to stop one round makes: each goes through all
/// running work, and beats and acceptance wait meanwhile.
pub(super) const SEARCHES: usize = 4;

/// What one round has found out already, so that it is not searched again.
#[derive(Default)]
pub(super) struct Search {
    /// Shapes that found no room, and the fewest tasks that did not.
    failed: HashMap<u64, (usize, Wait)>,
    /// The plan with the room that is being cleared, once it was asked for.
    coming: Option<Plan>,
    /// All that runs, once work to stop was searched for.
    running: Option<Rc<Vec<Running>>>,
    pub(super) searches: usize,
    held: bool,
}

impl Search {
    pub(super) fn running(&mut self, node: &str, view: &View, plan: &Plan) -> Rc<Vec<Running>> {
        let known = self.running.take();
        let all = known.unwrap_or_else(|| Rc::new(running(node, view, plan)));
        self.running = Some(all.clone());
        all
    }

    pub(super) fn coming(&mut self, view: &View, plan: &Plan) -> &mut Plan {
        self.coming.get_or_insert_with(|| with_stops(view, plan))
    }

    /// Places a job. A service or gang that would stand in the way of work
    /// that needs accelerators rather has lower work stopped elsewhere, if it
    /// may.
    pub(super) fn place(
        &mut self,
        node: &Node,
        hints: &Hints,
        plan: &Plan,
        id: &str,
        job: &Job,
        spec: &Spec,
    ) -> Result<Vec<Place>, Wait> {
        let tasks = if spec.is_gang() { job.waiting() } else { 1 };
        let shape = shape(job, spec).filter(|_| job.failed_on.is_empty());
        if let Some((least, why)) = shape.and_then(|s| self.failed.get(&s))
            && tasks >= *least
        {
            return Err(*why);
        }
        let found = self.place_anew(node, hints, plan, id, job, spec);
        if let (Some(shape), Err(why @ (Wait::NoRoom | Wait::NoZone))) = (shape, &found) {
            self.failed.insert(shape, (tasks, *why));
        }
        found
    }

    fn place_anew(
        &mut self,
        node: &Node,
        hints: &Hints,
        plan: &Plan,
        id: &str,
        job: &Job,
        spec: &Spec,
    ) -> Result<Vec<Place>, Wait> {
        let settings = &node.settings;
        let strict = fit(job, spec, plan, hints, settings, Care::Strict);
        if strict.is_ok() || spec.kind == Kind::Array || spec.need.gpus.0 > 0 {
            return strict;
        }
        if spec.kind == Kind::Service && !job.retry.is_empty() {
            // A replica that is down is replaced at once where it is not in
            // the way, even if that keeps a costly machine rented.
            let mild = fit(job, spec, plan, hints, settings, Care::Mild);
            if mild.is_ok() {
                return mild;
            }
        }
        let lax = fit(job, spec, plan, hints, settings, Care::Lax);
        let coming = self.coming(hints.view, plan).clone();
        let wanted = wanted(job, spec);
        if count(job, spec, &coming, hints, settings, Care::Strict) >= wanted {
            return strict;
        }
        if self.searches >= SEARCHES {
            return lax;
        }
        self.searches += 1;
        let running = self.running(node.name(), hints.view, plan);
        let none = BTreeMap::new();
        let seek = Seek {
            settings,
            hints,
            running: &running,
            changed: &none,
            coming: &coming,
        };
        match seek.victims(id, job, spec, Care::Strict, wanted) {
            Some((_, true)) => strict,
            _ => lax,
        }
    }

    /// Keeps the room that the first large gang in line waits for from what
    /// comes behind it: in the zone that has the most of it.
    pub(super) fn hold(&mut self, hints: &Hints, plan: &mut Plan, spec: &Spec) {
        if !spec.is_gang() || self.held {
            return;
        }
        self.held = true;
        hold_room(spec, plan, hints);
    }
}

/// What decides where a job fits, but for its team and its tasks elsewhere.
/// `None` when those matter.
pub(super) fn shape(job: &Job, spec: &Spec) -> Option<u64> {
    if !spec.is_gang() && (spec.one_zone || spec.spread) {
        return None;
    }
    let mut h = DefaultHasher::new();
    (spec.kind, spec.need, spec.one_zone, spec.spot).hash(&mut h);
    (&spec.types, &spec.zone, job.retry.is_empty()).hash(&mut h);
    Some(h.finish())
}

/// The plan with the room that is being cleared counted as free.
fn with_stops(view: &View, plan: &Plan) -> Plan {
    let mut coming = plan.clone();
    for (_, id) in &view.open {
        let Some(job) = view.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        for run in job.runs.iter().filter(|r| r.stop) {
            let room = spec.need.times(run.tasks.len());
            coming.give(view, &run.machine, &spec.team, room);
        }
    }
    coming
}

/// How many places a job needs at once: a service all, as its replicas serve
/// together; of independent tasks, one after another will do.
pub(super) fn wanted(job: &Job, spec: &Spec) -> usize {
    match spec.kind {
        Kind::Array => 1,
        _ => job.waiting(),
    }
}
