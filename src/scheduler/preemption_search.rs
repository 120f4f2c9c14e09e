//! Search for running work whose preemption frees capacity for a job. The search follows
//! the preemption order, and leaves out work on machines that the job would not use.

use std::collections::BTreeSet;

use super::bin_packing::PlacementRequest;
use super::hints::AcceleratorProtection;
use super::plan::{Plan, TaskPlacement};
use super::preemption_candidates::{PreemptibleRun, Preemptor, RunningWorkload};
use super::waiting_job::WaitingJob;
use crate::state::records::Capacity;

/// Maximum number of times that one search checks whether the job fits. Each check is a
/// placement search.
const MAX_FIT_CHECKS: usize = 200;

/// Tasks of one job on one machine that are selected for preemption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PreemptionCandidate {
    /// Id of the job whose tasks are stopped.
    pub(super) job: String,
    /// Name of the machine that the tasks run on.
    pub(super) machine: String,
    /// Number of the job's tasks to stop on the machine.
    pub(super) tasks: usize,
}

/// Result of a preemption search.
pub(super) struct PreemptionSet {
    pub(super) candidates: Vec<PreemptionCandidate>,
    /// True if the candidates free capacity for all wanted tasks, false if only for some
    /// of them.
    pub(super) complete: bool,
}

/// Returns running work whose preemption frees capacity for `wanted` of the job's tasks, or
/// `None` if no preemption helps.
///
/// Simulates the preemption of one run after another in the preemption order (lowest
/// priority first, then youngest job) until all wanted tasks fit. If they never all fit,
/// returns the work that frees capacity for the most of them, marked as incomplete.
pub(super) fn find_preemption(
    workload: &RunningWorkload,
    waiting: WaitingJob,
    protection: AcceleratorProtection,
    wanted: usize,
) -> Option<PreemptionSet> {
    let (settings, replica) = (workload.settings, workload.hints.replica);
    let plan = workload.expected_plan;
    let preemptor = Preemptor::new(waiting, protection, settings, replica, plan)?;
    let runs = workload.preemptible_runs(&preemptor);
    PreemptionSimulation::new(workload, &preemptor, wanted).run(&runs)
}

/// Simulation that preempts runs in a copy of the plan, one after another, until the job
/// fits.
struct PreemptionSimulation<'a> {
    workload: &'a RunningWorkload<'a>,
    preemptor: &'a Preemptor<'a>,
    /// Number of placements at which the simulation is complete.
    wanted: usize,
    /// Copy of the plan in which the runs preempted so far are released.
    plan: Plan,
    preempted: Vec<PreemptionCandidate>,
    /// Largest number of placements that the job has had in the simulation so far.
    max_placements: usize,
    /// Candidates that allow `max_placements` placements, or `None` while no preemption
    /// has raised that number.
    partial: Option<Vec<PreemptionCandidate>>,
    /// Number of times that the fit of the job was checked.
    fit_checks: usize,
}

/// Outcome of a simulation step, which decides whether the simulation goes on.
enum SimulationStep {
    /// The job does not have all wanted placements yet; more work has to be preempted.
    Continue,
    /// The job has all wanted placements if these candidates are preempted.
    Complete(Vec<PreemptionCandidate>),
    /// The search has made [`MAX_FIT_CHECKS`] checks and ends without all wanted
    /// placements.
    GiveUp,
}

impl<'a> PreemptionSimulation<'a> {
    fn new(workload: &'a RunningWorkload<'a>, preemptor: &'a Preemptor<'a>, wanted: usize) -> Self {
        let mut simulation = PreemptionSimulation {
            workload,
            preemptor,
            wanted,
            plan: workload.expected_plan.clone(),
            preempted: Vec::new(),
            max_placements: 0,
            partial: None,
            fit_checks: 0,
        };
        simulation.max_placements = simulation.request().count_placements();
        simulation
    }

    /// Returns the placement request of the job on the plan in its current state.
    fn request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            job: self.preemptor.waiting.job,
            spec: self.preemptor.waiting.spec,
            plan: &self.plan,
            hints: self.workload.hints,
            settings: self.workload.settings,
            protection: self.preemptor.protection,
        }
    }

    fn run(mut self, runs: &[PreemptibleRun]) -> Option<PreemptionSet> {
        for run in runs {
            match self.preempt_run(run) {
                SimulationStep::Continue => {}
                SimulationStep::GiveUp => break,
                SimulationStep::Complete(candidates) => {
                    return Some(PreemptionSet {
                        candidates,
                        complete: true,
                    });
                }
            }
        }
        self.partial.map(|candidates| PreemptionSet {
            candidates,
            complete: false,
        })
    }

    /// Preempts the tasks of one run: all tasks of a gang together, tasks of other jobs
    /// one by one.
    fn preempt_run(&mut self, run: &PreemptibleRun) -> SimulationStep {
        let mut remaining = run.run.tasks.len();
        while remaining > 0 {
            // Each preempted task reduces the usage of its team. Once the team is within
            // its guarantee, its remaining tasks no longer count as borrowed.
            if !self.preemptor.may_preempt_run(run, &self.plan) {
                return SimulationStep::Continue;
            }
            let tasks = if run.spec.is_gang() { remaining } else { 1 };
            remaining -= tasks;
            self.preempt_tasks(run, tasks);
            match self.check_fit(run.slot_index) {
                SimulationStep::Continue => {}
                finished => return finished,
            }
        }
        SimulationStep::Continue
    }

    /// Releases tasks of a run in the plan and records them as preempted.
    fn preempt_tasks(&mut self, run: &PreemptibleRun, tasks: usize) {
        let spec = run.spec;
        let machine = &run.run.machine;
        let freed = Capacity::of_tasks(&spec.need, tasks);
        self.plan.release_at(run.slot_index, &spec.team, freed);
        match self.preempted.last_mut() {
            Some(last) if last.job == *run.job && last.machine == *machine => {
                last.tasks += tasks;
            }
            _ => self.preempted.push(PreemptionCandidate {
                job: run.job.clone(),
                machine: machine.clone(),
                tasks,
            }),
        }
    }

    /// Checks whether the job fits after tasks on this machine were preempted.
    fn check_fit(&mut self, slot_index: usize) -> SimulationStep {
        let need = &self.preemptor.waiting.spec.need;
        // The preemption can only help if this machine now has capacity for a task.
        if !self.plan.plan_slots[slot_index].free.fits_task(need) {
            return SimulationStep::Continue;
        }
        self.fit_checks += 1;
        if self.fit_checks > MAX_FIT_CHECKS {
            return SimulationStep::GiveUp;
        }
        let Ok(placements) = self.request().find_placements() else {
            return SimulationStep::Continue;
        };
        if placements.len() <= self.max_placements {
            return SimulationStep::Continue;
        }
        self.max_placements = placements.len();
        let candidates = self.candidates_at(&placements);
        if self.max_placements >= self.wanted {
            return SimulationStep::Complete(candidates);
        }
        self.partial = Some(candidates);
        SimulationStep::Continue
    }

    /// Returns the preempted work on the machines where the job gets placements. Preempting
    /// the other work was of no use, so it is left out.
    fn candidates_at(&self, placements: &[TaskPlacement]) -> Vec<PreemptionCandidate> {
        let used: BTreeSet<&str> = placements.iter().map(|p| &*p.machine).collect();
        let needed = self
            .preempted
            .iter()
            .filter(|candidate| used.contains(candidate.machine.as_str()));
        needed.cloned().collect()
    }
}
