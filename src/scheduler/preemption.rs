//! Preemption: stops running tasks to free capacity for jobs for which the machines have too
//! little free capacity. A job may preempt work of a lower priority. A job within its team's
//! guarantee may also preempt work that other teams run beyond their guarantees, except
//! services. `preemption_candidates` defines these rules and the order of preemption, in
//! which the lowest priority comes first.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::bin_packing::PlacementRequest;
use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::Plan;
use super::preemption_candidates::RunningWorkload;
use super::preemption_search::{PreemptionCandidate, find_preemption};
use super::round_search::{MAX_PREEMPTION_SEARCHES, RoundSearch};
use super::round_state::RoundState;
use super::transaction::Transaction;
use super::waiting_job::WaitingJob;
use crate::controller::Controller;
use crate::state::records::{Capacity, Job};
use crate::state::replica::Replica;

/// State of a round that its preemption step reads and changes.
pub(super) struct PreemptionContext<'a, 'r> {
    pub(super) controller: &'a Controller,
    pub(super) replica: &'r Replica,
    pub(super) state: &'a mut RoundState,
    pub(super) transaction: &'a mut Transaction<'r>,
    pub(super) search: &'a mut RoundSearch,
    /// The round's plan after the round has placed its jobs.
    pub(super) plan: &'a Plan,
    pub(super) now: Instant,
}

/// Preemption step of one round: for each blocked job, selects running tasks to stop and
/// records the stops in the round's transaction.
pub(super) struct Preemption<'a, 'r> {
    context: PreemptionContext<'a, 'r>,
    hints: PlacementHints<'a>,
    /// Plan in which the resources of stopping tasks already count as free. Placements
    /// found in this plan are reserved in it as well, so that no two jobs count on the same
    /// resources.
    expected_plan: Plan,
    /// Jobs whose tasks this round has preempted so far, by job id, as the transaction will
    /// write them.
    changed: BTreeMap<String, Job>,
}

/// Running work to preempt for a job, and the accelerator protection under which the job
/// fits after the preemption.
struct Selection {
    candidates: Vec<PreemptionCandidate>,
    protection: AcceleratorProtection,
}

impl<'a, 'r: 'a> Preemption<'a, 'r> {
    /// Creates the preemption step of a round from the round's state. Nothing is preempted
    /// until [`Self::run`] is called.
    pub(super) fn new(context: PreemptionContext<'a, 'r>) -> Self {
        let replica = context.replica;
        let expected_plan = context.search.expected_plan(replica, context.plan).clone();
        Preemption {
            hints: PlacementHints::new(replica, context.controller.name()),
            context,
            expected_plan,
            changed: BTreeMap::new(),
        }
    }

    /// Preempts running work for the blocked jobs, one job after another. Ends early if a
    /// preemption does not fit into the transaction or if the round has made as many
    /// preemption searches as it may.
    pub(super) fn run(&mut self, blocked: &[String]) {
        let replica = self.context.replica;
        for id in blocked {
            if self.context.search.preemption_searches >= MAX_PREEMPTION_SEARCHES * 2 {
                return;
            }
            let Some(job) = replica.jobs.get(id).map(|e| &e.value) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            let waiting = WaitingJob {
                id,
                job,
                spec,
                is_overdue: false,
            };
            let Some(missing) = self.missing_placements(waiting) else {
                continue;
            };
            let now = self.context.now;
            let Some(selection) = self.select(waiting, missing) else {
                let state = &mut self.context.state;
                state.without_candidates.insert(id.clone(), now);
                continue;
            };
            if !self.has_capacity_to_preempt(id, &selection) {
                return;
            }
            self.context.state.preempted_for.insert(id.clone(), now);
            for candidate in &selection.candidates {
                self.preempt(candidate, id);
            }
            let transaction = &mut self.context.transaction;
            transaction.edit_job_record(id, |job| job.has_preempted = true);
            self.reserve_placements(waiting, selection.protection);
        }
    }

    /// Reserves the placements that the job gets without a preemption in the expected plan,
    /// and returns the number of placements that are still missing. Returns `None` if no
    /// placement is missing, or if a preemption for the job was attempted recently.
    fn missing_placements(&mut self, waiting: WaitingJob) -> Option<usize> {
        let wanted = waiting.placements_wanted();
        let found = self.reserve_placements(waiting, AcceleratorProtection::Strict);
        let state = &self.context.state;
        let recently_attempted = state.preempted_for.contains_key(waiting.id)
            || state.without_candidates.contains_key(waiting.id);
        (found < wanted && !recently_attempted).then(|| wanted - found)
    }

    /// Finds the job's placements in the expected plan, reserves them, and returns their
    /// number.
    fn reserve_placements(
        &mut self,
        waiting: WaitingJob,
        protection: AcceleratorProtection,
    ) -> usize {
        let spec = waiting.spec;
        let request = PlacementRequest {
            job: waiting.job,
            spec,
            plan: &self.expected_plan,
            hints: &self.hints,
            settings: &self.context.controller.settings,
            protection,
        };
        let placements = request.find_placements();
        for placement in placements.iter().flatten() {
            self.expected_plan.reserve(placement, &spec.team, spec.need);
        }
        placements.map_or(0, |placements| placements.len())
    }

    /// Returns the running work to preempt for a job. Tries strict accelerator protection
    /// first, and lax protection only if no preemption helps under strict protection.
    fn select(&mut self, waiting: WaitingJob, missing: usize) -> Option<Selection> {
        let PreemptionContext {
            controller,
            replica,
            search,
            plan,
            ..
        } = &mut self.context;
        search.preemption_searches += 1;
        let running = search.running(controller.name(), replica, plan);
        let workload = RunningWorkload {
            settings: &controller.settings,
            hints: &self.hints,
            running: &running,
            changed: &self.changed,
            expected_plan: &self.expected_plan,
        };
        [AcceleratorProtection::Strict, AcceleratorProtection::Lax]
            .into_iter()
            .find_map(|protection| {
                let found = find_preemption(&workload, waiting, protection, missing)?;
                let candidates = found.candidates;
                Some(Selection {
                    candidates,
                    protection,
                })
            })
    }

    /// Returns whether the transaction has capacity for the records of the jobs whose tasks
    /// are stopped and of the job that they are stopped for.
    fn has_capacity_to_preempt(&self, for_job: &str, selection: &Selection) -> bool {
        let candidates = selection.candidates.iter();
        let touched = candidates.map(|candidate| candidate.job.as_str());
        let transaction = &self.context.transaction;
        transaction.has_capacity_for_jobs(touched.chain([for_job]))
    }

    /// Stops a candidate's tasks and adds their resources to the free resources of the
    /// expected plan.
    fn preempt(&mut self, candidate: &PreemptionCandidate, for_job: &str) {
        tracing::info!(
            job = candidate.job,
            machine = candidate.machine,
            tasks = candidate.tasks,
            for_job,
            "tasks preempted"
        );
        let (replica, expected_plan) = (self.context.replica, &mut self.expected_plan);
        let value_limit_bytes = self.context.controller.settings.value_limit_bytes();
        let transaction = &mut self.context.transaction;
        transaction.edit_job_record(&candidate.job, |job| {
            if let Some(spec) = &job.spec {
                let freed = Capacity::of_tasks(&spec.need, candidate.tasks);
                expected_plan.release(replica, &candidate.machine, &spec.team, freed);
            }
            let fits = |job: &Job| replica.fits_job(job, value_limit_bytes);
            job.stop_tasks(&candidate.machine, candidate.tasks, fits);
        });
        if let Some(job) = transaction.job(&candidate.job) {
            self.changed.insert(candidate.job.clone(), job.clone());
        }
    }
}
