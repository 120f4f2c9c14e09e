//! The searches of one round: what one of them has found out is not searched
//! again for the next job.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use foldhash::HashMap;

use super::bin_packing::PlacementRequest;
use super::capacity_reservation::reserve_capacity;
use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::{Plan, TaskPlacement};
use super::preemption_candidates::{RunningJob, RunningWorkload, running_jobs};
use super::preemption_search::find_preemption;
use super::wait_states::WaitReason;
use super::waiting_job::WaitingJob;
use crate::settings::Settings;
use crate::state::records::{Job, Spec};
use crate::state::replica::Replica;
use crate::wire::JobKind;

/// How many preemption searches one round makes while it places jobs, and as
/// many again while it preempts: each goes through all running work, and
/// heartbeats and submissions wait meanwhile.
pub(super) const MAX_PREEMPTION_SEARCHES: usize = 4;

/// Jobs of one shape that no machine has capacity for.
struct FailedSearch {
    /// The fewest tasks that did not fit.
    tasks: usize,
    reason: WaitReason,
}

/// What one round has found out already.
#[derive(Default)]
pub(super) struct RoundSearch {
    /// Shapes of jobs that do not fit, by their hash.
    failed: HashMap<u64, FailedSearch>,
    /// The plan with resources that are being cleared, once it was asked for.
    expected_plan: Option<Plan>,
    /// All that runs, once a preemption was searched for.
    running: Option<Rc<Vec<RunningJob>>>,
    /// How many preemption searches were made.
    pub(super) preemption_searches: usize,
    /// A gang that has waited too long has capacity reserved.
    reserved: bool,
}

/// What a search for a job's placements goes by.
pub(super) struct SearchContext<'a> {
    /// The name of the controller that searches.
    pub(super) controller: &'a str,
    pub(super) settings: &'a Settings,
    pub(super) hints: &'a PlacementHints<'a>,
    pub(super) plan: &'a Plan,
}

impl SearchContext<'_> {
    /// The search for a job's placements on this plan, which may differ from the
    /// context's.
    fn request<'b>(
        &'b self,
        waiting: WaitingJob<'b>,
        plan: &'b Plan,
        protection: AcceleratorProtection,
    ) -> PlacementRequest<'b> {
        PlacementRequest {
            job: waiting.job,
            spec: waiting.spec,
            plan,
            hints: self.hints,
            settings: self.settings,
            protection,
        }
    }
}

/// A hash of what decides where a job fits, but for its team and its tasks
/// elsewhere. `None` when those matter.
fn shape_hash(job: &Job, spec: &Spec) -> Option<u64> {
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
    pub(super) fn expected_plan(&mut self, replica: &Replica, plan: &Plan) -> &Plan {
        self.expected_plan
            .get_or_insert_with(|| with_stopping_tasks(replica, plan))
    }

    /// Finds placements for a job, unless none were found in this round for a job of
    /// its shape.
    pub(super) fn find_placements(
        &mut self,
        context: &SearchContext,
        waiting: WaitingJob,
    ) -> Result<Vec<TaskPlacement>, WaitReason> {
        let WaitingJob { job, spec, .. } = waiting;
        let tasks = if spec.is_gang() { job.waiting() } else { 1 };
        let shape = shape_hash(job, spec).filter(|_| job.failed_on.is_empty());
        if let Some(failed) = shape.and_then(|shape| self.failed.get(&shape))
            && tasks >= failed.tasks
        {
            return Err(failed.reason);
        }
        let found = self.search(context, waiting);
        if let (Some(shape), Err(reason @ (WaitReason::NoRoom | WaitReason::NoZone))) =
            (shape, &found)
        {
            let reason = *reason;
            self.failed.insert(shape, FailedSearch { tasks, reason });
        }
        found
    }

    /// Finds placements for a job. A service or gang that would take resources away
    /// from work that needs accelerators rather preempts lower work elsewhere, if
    /// it may.
    fn search(
        &mut self,
        context: &SearchContext,
        waiting: WaitingJob,
    ) -> Result<Vec<TaskPlacement>, WaitReason> {
        let WaitingJob { job, spec, .. } = waiting;
        let request = context.request(waiting, context.plan, AcceleratorProtection::Strict);
        let strict = request.find_placements();
        if strict.is_ok() || spec.kind == JobKind::Array || spec.need.gpus.0 > 0 {
            return strict;
        }
        if spec.kind == JobKind::Service && !job.retry.is_empty() {
            // A replica that is down is replaced at once where it takes nothing
            // from others, even if that keeps a costly machine provisioned.
            let mild = request.with_protection(AcceleratorProtection::Mild);
            let mild = mild.find_placements();
            if mild.is_ok() {
                return mild;
            }
        }
        if self.will_fit_strictly(context, waiting) {
            return strict;
        }
        let lax = request.with_protection(AcceleratorProtection::Lax);
        lax.find_placements()
    }

    /// Whether capacity for the job under strict protection is being cleared, or can be
    /// by a preemption.
    fn will_fit_strictly(&mut self, context: &SearchContext, waiting: WaitingJob) -> bool {
        let replica = context.hints.replica;
        let expected_plan = self.expected_plan(replica, context.plan).clone();
        let wanted = waiting.placements_wanted();
        let strict = AcceleratorProtection::Strict;
        let request = context.request(waiting, &expected_plan, strict);
        if request.count_placements() >= wanted {
            return true;
        }
        if self.preemption_searches >= MAX_PREEMPTION_SEARCHES {
            return false;
        }
        self.preemption_searches += 1;
        let running = self.running(context.controller, replica, context.plan);
        let workload = RunningWorkload {
            settings: context.settings,
            hints: context.hints,
            running: &running,
            changed: &BTreeMap::new(),
            expected_plan: &expected_plan,
        };
        let found = find_preemption(&workload, waiting, strict, wanted);
        found.is_some_and(|preemption| preemption.complete)
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
    let mut expected_plan = plan.clone();
    for (_, id) in &replica.open_jobs {
        let Some(job) = replica.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        for run in job.runs.iter().filter(|run| run.stop) {
            let resources = spec.need.times(run.tasks.len());
            expected_plan.release(replica, &run.machine, &spec.team, resources);
        }
    }
    expected_plan
}
