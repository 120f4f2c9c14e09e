//! Placement and preemption searches of one round, with the results that later searches of
//! the round reuse.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use foldhash::HashMap;

use super::bin_packing::PlacementRequest;
use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::{Plan, TaskPlacement};
use super::preemption_candidates::{RunningJob, RunningWorkload, running_jobs};
use super::preemption_search::find_preemption;
use super::wait_states::WaitReason;
use super::waiting_job::WaitingJob;
use crate::settings::Settings;
use crate::state::records::Capacity;
use crate::state::replica::Replica;
use crate::wire::JobKind;

/// Maximum number of preemption searches that a round makes while it places jobs; it may
/// make as many again while it preempts. The number is small as each search examines all
/// running work, and heartbeats and submissions are not processed meanwhile.
pub(super) const MAX_PREEMPTION_SEARCHES: usize = 4;

/// Failed placement search for jobs of one shape, as defined by [`shape_hash`].
struct FailedSearch {
    /// Smallest number of tasks that did not fit.
    tasks: usize,
    /// Reason for which the tasks did not fit.
    reason: WaitReason,
}

/// Search results that are reused within one round.
#[derive(Default)]
pub(super) struct RoundSearch {
    /// Failed searches, by the hash of the jobs' shape.
    failed: HashMap<u64, FailedSearch>,
    /// Plan in which the resources of stopping tasks count as free; computed on first use.
    expected_plan: Option<Plan>,
    /// Open jobs with running tasks; computed by the first preemption search.
    running: Option<Rc<Vec<RunningJob>>>,
    /// Number of preemption searches made so far.
    pub(super) preemption_searches: usize,
    /// Plan in which all machines are empty; computed on first use.
    emptied_plan: Option<Plan>,
}

/// Inputs of a search for a job's placements.
pub(super) struct SearchContext<'a> {
    /// Name of the controller that searches.
    pub(super) controller: &'a str,
    pub(super) settings: &'a Settings,
    pub(super) hints: &'a PlacementHints<'a>,
    pub(super) plan: &'a Plan,
}

impl SearchContext<'_> {
    /// Returns a job's placement request on `plan`, which may differ from the plan of the
    /// context.
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

/// Returns a hash of the job's shape: the attributes that determine where the job fits.
/// Neither the team nor the location of running tasks is part of the shape.
///
/// Returns `None` for a job other than a gang whose tasks must be in one zone or spread
/// over zones: where its waiting tasks fit depends on where its tasks already run.
fn shape_hash(waiting: WaitingJob) -> Option<u64> {
    let WaitingJob { job, spec, .. } = waiting;
    if !spec.is_gang() && (spec.one_zone || spec.spread) {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    (spec.kind, spec.need, spec.one_zone, spec.spot).hash(&mut hasher);
    (&spec.types, &spec.zone, job.retry.is_empty()).hash(&mut hasher);
    waiting.is_overdue.hash(&mut hasher);
    Some(hasher.finish())
}

impl RoundSearch {
    /// Returns all open jobs with running tasks, computed once per round.
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

    /// Returns the plan in which the resources of stopping tasks count as free.
    pub(super) fn expected_plan(&mut self, replica: &Replica, plan: &Plan) -> &Plan {
        self.expected_plan
            .get_or_insert_with(|| with_stopping_tasks(replica, plan))
    }

    /// Finds placements for a job. Fails without a search if the round has already found
    /// no placements for a job of the same shape with as many tasks or fewer.
    pub(super) fn find_placements(
        &mut self,
        context: &SearchContext,
        waiting: WaitingJob,
    ) -> Result<Vec<TaskPlacement>, WaitReason> {
        let WaitingJob { job, spec, .. } = waiting;
        let tasks = if spec.is_gang() {
            job.waiting_count()
        } else {
            1
        };
        let shape = shape_hash(waiting).filter(|_| job.failed_on.is_empty());
        if let Some(failed) = shape.and_then(|shape| self.failed.get(&shape))
            && tasks >= failed.tasks
        {
            return Err(failed.reason);
        }
        let found = self.search(context, waiting);
        if let (Some(shape), Err(reason @ (WaitReason::NoCapacity | WaitReason::NoZone))) =
            (shape, &found)
        {
            let reason = *reason;
            self.failed.insert(shape, FailedSearch { tasks, reason });
        }
        found
    }

    /// Finds placements for a job. A service or gang without accelerators that fits only if
    /// it takes resources from accelerator work waits instead, if it will fit elsewhere
    /// once stopping tasks have ended or after a preemption. An array waits in any case. No job
    /// waits for longer than [`Settings::exclusion_limit`] because of this protection.
    fn search(
        &mut self,
        context: &SearchContext,
        waiting: WaitingJob,
    ) -> Result<Vec<TaskPlacement>, WaitReason> {
        let WaitingJob { job, spec, .. } = waiting;
        let request = context.request(waiting, context.plan, AcceleratorProtection::Strict);
        let strict = request.find_placements();
        if strict.is_ok() || spec.need.gpus.0 > 0 {
            return strict;
        }
        if waiting.is_overdue {
            return find_without_protection(&request, waiting.id);
        }
        if spec.kind == JobKind::Array {
            return strict;
        }
        if spec.kind == JobKind::Service && !job.retry.is_empty() {
            // A failed replica is replaced immediately on a machine where it takes nothing
            // from other work, even if that keeps an expensive machine provisioned.
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

    /// Returns whether the job will fit under strict protection once stopping tasks have
    /// ended, or after a preemption.
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

    /// Returns whether a gang would fit on the machines in service if they were empty.
    pub(super) fn fits_empty_machines(
        &mut self,
        context: &SearchContext,
        waiting: WaitingJob,
    ) -> bool {
        let replica = context.hints.replica;
        let emptied = self
            .emptied_plan
            .get_or_insert_with(|| context.plan.emptied(replica));
        let request = context.request(waiting, emptied, AcceleratorProtection::Lifted);
        request.count_placements() >= waiting.placements_wanted()
    }
}

/// Finds placements for a job from which accelerators are no longer protected, and logs that
/// the job takes machines with accelerators.
fn find_without_protection(
    request: &PlacementRequest,
    job: &str,
) -> Result<Vec<TaskPlacement>, WaitReason> {
    let unprotected = request.with_protection(AcceleratorProtection::Lifted);
    let found = unprotected.find_placements();
    if let Ok(placements) = &found {
        let tasks = placements.len();
        tracing::info!(job, tasks, "accelerators no longer protected from a job");
    }
    found
}

/// Returns a copy of the plan in which the resources of stopping tasks count as free.
fn with_stopping_tasks(replica: &Replica, plan: &Plan) -> Plan {
    let mut expected_plan = plan.clone();
    for (_, id) in &replica.open_jobs {
        let Some(job) = replica.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        for run in job.runs.iter().filter(|run| run.stop) {
            let freed = Capacity::of_tasks(&spec.need, run.tasks.len());
            expected_plan.release(replica, &run.machine, &spec.team, freed);
        }
    }
    expected_plan
}
