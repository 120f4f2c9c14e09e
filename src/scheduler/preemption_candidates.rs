//! Selection of the running work that may be preempted, and the order in which it is
//! preempted. The unit of selection is a run: the tasks of one attempt of a job on one
//! machine.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::hints::{AcceleratorProtection, PlacementHints};
use super::job_facts::within_guarantee;
use super::plan::Plan;
use super::waiting_job::{WaitingJob, coscheduled_tasks};
use crate::settings::{Settings, TeamQuota};
use crate::state::records::{Job, JobSpec, Run};
use crate::state::replica::Replica;
use crate::wire::{JobKind, Priority};

/// Number of order classes. Each controller hashes jobs into these classes differently, so
/// that controllers that preempt at the same time start with different candidates.
const ORDER_CLASSES: u64 = 4;

/// Job that running work may be preempted for.
#[derive(Debug, Clone, Copy)]
pub struct PreemptingJob<'a> {
    /// Spec of the job that needs capacity.
    pub spec: &'a JobSpec,
    /// Effective priority of the job: the highest priority of the job and its dependents.
    pub priority: Priority,
    /// True if the job's team stays within its guarantee with this job.
    pub within_guarantee: bool,
}

/// Running work that is considered for preemption.
#[derive(Debug, Clone, Copy)]
pub struct RunningWork<'a> {
    /// Spec of the running job.
    pub spec: &'a JobSpec,
    /// Effective priority of the running job.
    pub priority: Priority,
    /// True if the work counts as borrowed: the running job's team would still use its
    /// whole guarantee without this work.
    pub borrows: bool,
}

/// Returns whether PROTOCOL allows running work to be preempted for a job.
#[must_use]
pub fn may_preempt(job: PreemptingJob, running: RunningWork) -> bool {
    if running.priority < job.priority {
        return true;
    }
    // A job within its team's guarantee may preempt borrowing work of other teams.
    // Services are exempt: a service that is in use is not stopped for work that has not
    // begun.
    job.within_guarantee
        && running.borrows
        && running.spec.team != job.spec.team
        && running.spec.kind != JobKind::Service
}

/// Returns whether running work counts as borrowed: its team would still use its whole
/// guarantee after the work was stopped. Otherwise the team could start the work again
/// within its guarantee, and would preempt other work to get the resources back.
fn is_borrowed(spec: &JobSpec, quota: Option<&TeamQuota>, plan: &Plan) -> bool {
    let resources = || spec.need.times(coscheduled_tasks(spec));
    quota.is_some_and(|quota| quota.can_lend(&plan.team_used(&spec.team), &resources()))
}

/// Returns the order class of a job, which depends on the controller.
fn order_class(controller: &str, job: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (controller, job).hash(&mut hasher);
    hasher.finish() % ORDER_CLASSES
}

/// Location of a run in its job's record and of the run's machine in the plan.
struct RunLocation {
    /// Index of the run among the job's runs.
    run_index: usize,
    /// Index of the run's machine in the plan.
    slot_index: usize,
}

/// Open job with running tasks, and the locations of its runs. The locations are computed
/// once per round and reused by all preemption searches of the round.
pub(super) struct RunningJob {
    job: String,
    order_class: u64,
    runs: Vec<RunLocation>,
}

/// Returns all open jobs with running tasks.
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

/// Returns the locations of the job's runs that may be preempted. Leaves out runs that are
/// already being stopped, and runs on machines that are not in the plan.
fn preemptible_runs(job: &Job, replica: &Replica, plan: &Plan) -> Vec<RunLocation> {
    let runs = job.runs.iter().enumerate().filter(|(_, run)| !run.stop);
    runs.filter_map(|(index, run)| {
        let slot_index = plan.slot_index_of(replica, &run.machine)?;
        Some(RunLocation {
            run_index: index,
            slot_index,
        })
    })
    .collect()
}

/// Sort key of preemption candidates; the lowest key is preempted first. Lower priorities
/// come first, then machines that already have the preempting job's image, then the order
/// class, and then the job that was accepted last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionOrder {
    priority: Priority,
    without_image: bool,
    order_class: u64,
    accepted_revision: Reverse<u64>,
}

/// Run that may be preempted.
pub(super) struct PreemptibleRun<'a> {
    order: PreemptionOrder,
    /// Index of the run's machine in the plan.
    pub(super) slot_index: usize,
    pub(super) job: &'a String,
    pub(super) run: &'a Run,
    pub(super) spec: &'a JobSpec,
    quota: Option<&'a TeamQuota>,
}

/// Job that a preemption search frees capacity for.
pub(super) struct Preemptor<'a> {
    pub(super) waiting: WaitingJob<'a>,
    pub(super) protection: AcceleratorProtection,
    priority: Priority,
    within_guarantee: bool,
}

impl<'a> Preemptor<'a> {
    /// Creates the preemptor for a waiting job from the resources that its team uses in the
    /// plan. Returns `None` if the settings do not contain the team.
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
        // An array preempts only work of lower priority, and never borrowed work on the
        // ground of its team's guarantee: running array tasks end soon and free their
        // resources anyway, so preempting them would lose more work than it gains.
        let within_guarantee = spec.kind != JobKind::Array
            && within_guarantee(quota, &used, spec, coscheduled_tasks(spec));
        Some(Preemptor {
            waiting,
            protection,
            priority: replica.effective_priority(waiting.id, spec),
            within_guarantee,
        })
    }

    /// Returns whether the job may still preempt this run, given the resources that the
    /// run's team uses in the plan.
    pub(super) fn may_preempt_run(&self, run: &PreemptibleRun, plan: &Plan) -> bool {
        self.may_preempt(run.spec, run.order.priority, run.quota, plan)
    }

    fn may_preempt(
        &self,
        spec: &JobSpec,
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

    /// Returns whether strict protection forbids the job to preempt work with this spec.
    /// Strict protection forbids this if the work uses accelerators and the job needs none.
    /// Such work is preempted only under lax protection.
    fn takes_protected_accelerators(&self, spec: &JobSpec) -> bool {
        let takes_accelerators = self.waiting.spec.need.gpus.0 == 0 && spec.need.gpus.0 > 0;
        self.protection == AcceleratorProtection::Strict && takes_accelerators
    }
}

/// Running work that a preemption search selects candidates from.
pub(super) struct RunningWorkload<'a> {
    pub(super) settings: &'a Settings,
    pub(super) hints: &'a PlacementHints<'a>,
    pub(super) running: &'a [RunningJob],
    /// Jobs whose tasks this round has preempted so far, by job id, as the transaction will
    /// write them.
    pub(super) changed: &'a BTreeMap<String, Job>,
    /// Plan in which the resources of stopping tasks already count as free.
    pub(super) expected_plan: &'a Plan,
}

impl<'a> RunningWorkload<'a> {
    /// Returns the runs that may be preempted for the job, in the order in which they are
    /// preempted.
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
        let other_jobs = self.running.iter();
        for running in other_jobs.filter(|running| running.job != preemptor.waiting.id) {
            self.add_runs_of(running, preemptor, &allowed, image, &mut runs);
        }
        runs.sort_by_key(|run| run.order);
        runs
    }

    /// Appends to `runs` the runs of one running job that may be preempted and whose
    /// machines are of an allowed class.
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
        let saved = replica.jobs.get(&running.job).map(|e| &e.value);
        let Some(job) = changed.or(saved) else { return };
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
                run: &job.runs[location.run_index],
                spec,
                quota,
            });
        }
    }
}
