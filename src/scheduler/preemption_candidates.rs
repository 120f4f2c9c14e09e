//! Running work that may be preempted, and the order in which it is.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::hints::{AcceleratorProtection, PlacementHints};
use super::job_facts::within_guarantee;
use super::plan::Plan;
use super::waiting_job::{WaitingJob, tasks_together};
use crate::settings::{Settings, TeamQuota};
use crate::state::records::{Job, Run, Spec};
use crate::state::replica::Replica;
use crate::wire::{JobKind, Priority};

/// The number of classes that a controller puts jobs into, so that controllers
/// that preempt at once begin with different candidates.
const ORDER_CLASSES: u64 = 4;

/// A job that others may be preempted for.
#[derive(Debug, Clone, Copy)]
pub struct PreemptingJob<'a> {
    /// What the job asks for.
    pub spec: &'a Spec,
    /// Its effective priority: that of the replica, which counts in its dependents.
    pub priority: Priority,
    /// It stays within its team's guarantee.
    pub within_guarantee: bool,
}

/// Running work that may have to give way.
#[derive(Debug, Clone, Copy)]
pub struct RunningWork<'a> {
    /// The spec of the job that runs.
    pub spec: &'a Spec,
    /// Its effective priority.
    pub priority: Priority,
    /// It uses resources beyond its team's guarantee.
    pub borrows: bool,
}

/// Whether PROTOCOL lets running work be preempted for a job.
#[must_use]
pub fn may_preempt(job: PreemptingJob, running: RunningWork) -> bool {
    if running.priority < job.priority {
        return true;
    }
    // Borrowed work of another team goes back for a guarantee, but for
    // services: what people use now is not ended for what is to begin.
    job.within_guarantee
        && running.borrows
        && running.spec.team != job.spec.team
        && running.spec.kind != JobKind::Service
}

/// Whether work uses resources beyond its team's guarantee. What would stay
/// within the guarantee, were it stopped, is not borrowed: its team would have it
/// back, and preempt other work for it.
fn is_borrowed(spec: &Spec, quota: Option<&TeamQuota>, plan: &Plan) -> bool {
    let resources = || spec.need.times(tasks_together(spec));
    quota.is_some_and(|quota| quota.can_lend(&plan.team_used(&spec.team), &resources()))
}

/// One of a few classes that a controller puts a job into.
fn order_class(controller: &str, job: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (controller, job).hash(&mut hasher);
    hasher.finish() % ORDER_CLASSES
}

/// Where a run stands that may be preempted.
struct RunLocation {
    /// Its index among the job's runs.
    run: usize,
    /// The index of its machine in the plan.
    slot_index: usize,
}

/// An open job that runs, as preemption searches look at it: where each of its
/// runs stands in the plan is worked out once a round, by number.
pub(super) struct RunningJob {
    job: String,
    order_class: u64,
    runs: Vec<RunLocation>,
}

/// All open jobs that run.
pub(super) fn running_jobs(controller: &str, replica: &Replica, plan: &Plan) -> Vec<RunningJob> {
    let open = replica.open_jobs.iter().filter_map(|(_, id)| {
        let job = &replica.jobs.get(id)?.value;
        Some((id, job))
    });
    open.filter(|(_, job)| !job.runs.is_empty())
        .map(|(id, job)| RunningJob {
            job: id.clone(),
            order_class: order_class(controller, id),
            runs: preemptible_runs(job, replica, plan),
        })
        .collect()
}

/// The job's runs that may be preempted, and where they stand in the plan.
fn preemptible_runs(job: &Job, replica: &Replica, plan: &Plan) -> Vec<RunLocation> {
    let runs = job.runs.iter().enumerate().filter(|(_, run)| !run.stop);
    runs.filter_map(|(index, run)| {
        let slot_index = plan.slot_index_of(replica, &run.machine)?;
        Some(RunLocation {
            run: index,
            slot_index,
        })
    })
    .collect()
}

/// The order in which candidates are preempted, the first ones first: the lowest
/// priority; where the job's image is; and the youngest job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionOrder {
    priority: Priority,
    without_image: bool,
    order_class: u64,
    accepted_revision: Reverse<u64>,
}

/// A run that may be preempted.
pub(super) struct PreemptibleRun<'a> {
    order: PreemptionOrder,
    /// The index of its machine in the plan.
    pub(super) slot_index: usize,
    pub(super) job: &'a String,
    pub(super) run: &'a Run,
    pub(super) spec: &'a Spec,
    quota: Option<&'a TeamQuota>,
}

/// The job that capacity is searched for.
pub(super) struct Preemptor<'a> {
    pub(super) waiting: WaitingJob<'a>,
    pub(super) protection: AcceleratorProtection,
    priority: Priority,
    within_guarantee: bool,
}

impl<'a> Preemptor<'a> {
    /// The job as a preemptor on this plan; `None` if its team is not known.
    pub(super) fn new(
        waiting: WaitingJob<'a>,
        protection: AcceleratorProtection,
        settings: &Settings,
        replica: &Replica,
        plan: &Plan,
    ) -> Option<Self> {
        let spec = waiting.spec;
        let quota = settings.team(&spec.team)?;
        let used = plan.team_used(&spec.team);
        // Independent tasks that preempt independent tasks lose more than they
        // gain: such work ends soon and frees its resources by itself. They preempt
        // lower priorities only.
        let within_guarantee = spec.kind != JobKind::Array
            && within_guarantee(quota, &used, spec, tasks_together(spec));
        Some(Preemptor {
            waiting,
            protection,
            priority: replica.effective_priority(waiting.id, spec),
            within_guarantee,
        })
    }

    /// Whether it may still preempt this run, given what the run's team uses in the
    /// plan.
    pub(super) fn may_preempt_run(&self, run: &PreemptibleRun, plan: &Plan) -> bool {
        self.may_preempt(run.spec, run.order.priority, run.quota, plan)
    }

    fn may_preempt(
        &self,
        spec: &Spec,
        priority: Priority,
        quota: Option<&TeamQuota>,
        plan: &Plan,
    ) -> bool {
        let job = PreemptingJob {
            spec: self.waiting.spec,
            priority: self.priority,
            within_guarantee: self.within_guarantee,
        };
        let running = RunningWork {
            spec,
            priority,
            borrows: is_borrowed(spec, quota, plan),
        };
        may_preempt(job, running)
    }

    /// Whether it would take accelerators from work on them, without needing any.
    /// Such work is the last to go.
    fn takes_protected_accelerators(&self, spec: &Spec) -> bool {
        let takes_accelerators = self.waiting.spec.need.gpus.0 == 0 && spec.need.gpus.0 > 0;
        self.protection == AcceleratorProtection::Strict && takes_accelerators
    }
}

/// The running work that a search chooses from.
pub(super) struct RunningWorkload<'a> {
    pub(super) settings: &'a Settings,
    pub(super) hints: &'a PlacementHints<'a>,
    pub(super) running: &'a [RunningJob],
    /// Jobs as this round has left them so far.
    pub(super) changed: &'a BTreeMap<String, Job>,
    /// The plan, with resources that are being cleared counted as free.
    pub(super) expected_plan: &'a Plan,
}

impl<'a> RunningWorkload<'a> {
    /// The runs that may be preempted, the first to be preempted first.
    pub(super) fn preemptible_runs(&self, preemptor: &Preemptor) -> Vec<PreemptibleRun<'a>> {
        let replica = self.hints.replica;
        let spec = preemptor.waiting.spec;
        let image = replica.image_number(&spec.image);
        let allowed: Vec<bool> = replica
            .classes
            .iter()
            .map(|class| spec.allows(&class.kind, &class.zone, class.spot))
            .collect();
        let mut runs = Vec::new();
        let others = self.running.iter();
        for running in others.filter(|running| running.job != preemptor.waiting.id) {
            self.add_runs_of(running, preemptor, &allowed, image, &mut runs);
        }
        runs.sort_by_key(|run| run.order);
        runs
    }

    /// Adds a job's runs that may be preempted on machines of allowed classes.
    fn add_runs_of(
        &self,
        running: &'a RunningJob,
        preemptor: &Preemptor,
        allowed: &[bool],
        image: Option<u32>,
        runs: &mut Vec<PreemptibleRun<'a>>,
    ) {
        let replica = self.hints.replica;
        let changed = self.changed.get(&running.job);
        let known = replica.jobs.get(&running.job).map(|e| &e.value);
        let Some(job) = changed.or(known) else { return };
        let Some(spec) = &job.spec else { return };
        let quota = self.settings.team(&spec.team);
        let priority = replica.effective_priority(&running.job, spec);
        if !preemptor.may_preempt(spec, priority, quota, self.expected_plan)
            || preemptor.takes_protected_accelerators(spec)
        {
            return;
        }
        let changed_runs = changed.map(|job| preemptible_runs(job, replica, self.expected_plan));
        for location in changed_runs.as_ref().unwrap_or(&running.runs) {
            let slot = &self.expected_plan.plan_slots[location.slot_index];
            if !allowed[slot.class as usize] {
                continue;
            }
            runs.push(PreemptibleRun {
                order: PreemptionOrder {
                    priority,
                    without_image: !replica.has_image(slot.machine, image),
                    order_class: running.order_class,
                    accepted_revision: Reverse(job.accepted_revision),
                },
                slot_index: location.slot_index,
                job: &running.job,
                run: &job.runs[location.run],
                spec,
                quota,
            });
        }
    }
}
