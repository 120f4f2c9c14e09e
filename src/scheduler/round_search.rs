//! The searches of one round: what one of them has found out is not searched
//! again for the next job.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use foldhash::HashMap;

use super::bin_packing::{count_placements, find_placements, reserve_capacity};
use super::candidates::{AcceleratorProtection, PlacementHints};
use super::plan::{Plan, TaskPlacement};
use super::preemption_search::{RunningJob, VictimSearch, places_wanted, running_jobs};
use super::wait_states::WaitReason;
use crate::controller::Controller;
use crate::state::records::{Job, Spec};
use crate::state::replica::Replica;
use crate::wire::Kind;

/// How many searches for victims one round makes while it places jobs, and as
/// many again while it preempts: each goes through all running work, and
/// heartbeats and submissions wait meanwhile.
pub(super) const VICTIM_SEARCHES: usize = 4;

/// Jobs of one shape that found no room.
struct NoFit {
    /// The fewest tasks that found none.
    tasks: usize,
    why: WaitReason,
}

/// What one round has found out already.
#[derive(Default)]
pub(super) struct RoundSearch {
    /// Shapes that found no room.
    failed: HashMap<u64, NoFit>,
    /// The plan with resources that are being cleared, once it was asked for.
    expected: Option<Plan>,
    /// All that runs, once victims were searched for.
    running: Option<Rc<Vec<RunningJob>>>,
    /// How many searches for victims were made.
    pub(super) victim_searches: usize,
    /// A gang that has waited too long has resources reserved.
    reserved: bool,
}

/// A hash of what decides where a job fits, but for its team and its tasks
/// elsewhere. `None` when those matter.
fn shape(job: &Job, spec: &Spec) -> Option<u64> {
    if !spec.is_gang() && (spec.one_zone || spec.spread) {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    (spec.kind, spec.need, spec.one_zone, spec.spot).hash(&mut hasher);
    (&spec.types, &spec.zone, job.retry.is_empty()).hash(&mut hasher);
    Some(hasher.finish())
}

impl RoundSearch {
    /// All jobs that run, worked out once a round.
    pub(super) fn running(
        &mut self,
        controller: &str,
        replica: &Replica,
        plan: &Plan,
    ) -> Rc<Vec<RunningJob>> {
        let running = self
            .running
            .get_or_insert_with(|| Rc::new(running_jobs(controller, replica, plan)));
        running.clone()
    }

    /// The plan with the resources that are being cleared counted as free.
    pub(super) fn expected(&mut self, replica: &Replica, plan: &Plan) -> &Plan {
        self.expected
            .get_or_insert_with(|| with_stopping_tasks(replica, plan))
    }

    /// Finds places for a job, unless a job of its shape has found none in this
    /// round.
    pub(super) fn place(
        &mut self,
        controller: &Controller,
        hints: &PlacementHints,
        plan: &Plan,
        id: &str,
        job: &Job,
        spec: &Spec,
    ) -> Result<Vec<TaskPlacement>, WaitReason> {
        let tasks = if spec.is_gang() { job.waiting() } else { 1 };
        let shape = shape(job, spec).filter(|_| job.failed_on.is_empty());
        if let Some(failed) = shape.and_then(|shape| self.failed.get(&shape))
            && tasks >= failed.tasks
        {
            return Err(failed.why);
        }
        let found = self.search(controller, hints, plan, id, job, spec);
        if let (Some(shape), Err(why @ (WaitReason::NoRoom | WaitReason::NoZone))) = (shape, &found)
        {
            self.failed.insert(shape, NoFit { tasks, why: *why });
        }
        found
    }

    /// Finds places for a job. A service or gang that would take resources away
    /// from work that needs accelerators rather preempts lower work elsewhere, if
    /// it may.
    fn search(
        &mut self,
        controller: &Controller,
        hints: &PlacementHints,
        plan: &Plan,
        id: &str,
        job: &Job,
        spec: &Spec,
    ) -> Result<Vec<TaskPlacement>, WaitReason> {
        let settings = &controller.settings;
        let strict = find_placements(
            job,
            spec,
            plan,
            hints,
            settings,
            AcceleratorProtection::Strict,
        );
        if strict.is_ok() || spec.kind == Kind::Array || spec.need.gpus.0 > 0 {
            return strict;
        }
        if spec.kind == Kind::Service && !job.retry.is_empty() {
            // A replica that is down is replaced at once where it takes nothing
            // from others, even if that keeps a costly machine rented.
            let mild = find_placements(
                job,
                spec,
                plan,
                hints,
                settings,
                AcceleratorProtection::Mild,
            );
            if mild.is_ok() {
                return mild;
            }
        }
        let lax = find_placements(job, spec, plan, hints, settings, AcceleratorProtection::Lax);
        if self.will_fit_strictly(controller, hints, plan, id, job, spec) {
            strict
        } else {
            lax
        }
    }

    /// Whether strict places for the job are being cleared, or can be by a
    /// preemption.
    fn will_fit_strictly(
        &mut self,
        controller: &Controller,
        hints: &PlacementHints,
        plan: &Plan,
        id: &str,
        job: &Job,
        spec: &Spec,
    ) -> bool {
        let settings = &controller.settings;
        let expected = self.expected(hints.replica, plan).clone();
        let wanted = places_wanted(job, spec);
        if count_placements(
            job,
            spec,
            &expected,
            hints,
            settings,
            AcceleratorProtection::Strict,
        ) >= wanted
        {
            return true;
        }
        if self.victim_searches >= VICTIM_SEARCHES {
            return false;
        }
        self.victim_searches += 1;
        let running = self.running(controller.name(), hints.replica, plan);
        let search = VictimSearch {
            settings,
            hints,
            running: &running,
            changed: &BTreeMap::new(),
            expected: &expected,
        };
        let found = search.find(id, job, spec, AcceleratorProtection::Strict, wanted);
        found.is_some_and(|victims| victims.complete)
    }

    /// Keeps the resources that the first starving gang waits for from what comes
    /// behind it: in the zone that has the most of them.
    pub(super) fn reserve_for_first_gang(
        &mut self,
        replica: &Replica,
        plan: &mut Plan,
        spec: &Spec,
    ) {
        if !spec.is_gang() || self.reserved {
            return;
        }
        self.reserved = true;
        // Which controller places the gang is of no account here.
        reserve_capacity(spec, plan, &PlacementHints::new(replica, ""));
    }
}

/// The plan with the resources of tasks that are being stopped counted as free.
fn with_stopping_tasks(replica: &Replica, plan: &Plan) -> Plan {
    let mut expected = plan.clone();
    for (_, id) in &replica.open_jobs {
        let Some(job) = replica.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        for run in job.runs.iter().filter(|run| run.stop) {
            let resources = spec.need.times(run.tasks.len());
            expected.release(replica, &run.machine, &spec.team, resources);
        }
    }
    expected
}
