//! The search for the least running work whose preemption frees capacity for a job.

use std::collections::BTreeSet;

use super::bin_packing::PlacementRequest;
use super::hints::AcceleratorProtection;
use super::plan::{Plan, TaskPlacement};
use super::preemption_candidates::{PreemptibleRun, Preemptor, RunningWorkload};
use super::waiting_job::WaitingJob;

/// How often one search tries whether the job fits now.
const MAX_TRIALS: usize = 200;

/// Work that may be preempted for another job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PreemptionCandidate {
    /// The job whose tasks stop.
    pub(super) job: String,
    /// The machine that they run on.
    pub(super) machine: String,
    /// How many tasks of the job stop there.
    pub(super) tasks: usize,
}

/// The work that a search has found.
pub(super) struct PreemptionSet {
    pub(super) candidates: Vec<PreemptionCandidate>,
    /// It frees capacity for all tasks that were asked for, not only for some.
    pub(super) complete: bool,
}

/// The least work whose preemption frees capacity for `wanted` of the job's tasks: one
/// task after another, of the lowest priority and the youngest job first,
/// until they fit; or for some of them, which the answer tells.
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
    Trial::new(workload, &preemptor, wanted).run(&runs)
}

/// Runs are preempted in a copy of the plan, one after another, until the job fits.
struct Trial<'a> {
    workload: &'a RunningWorkload<'a>,
    preemptor: &'a Preemptor<'a>,
    /// How many placements would be enough.
    wanted: usize,
    /// The plan without what has been preempted so far.
    plan: Plan,
    preempted: Vec<PreemptionCandidate>,
    /// The most placements found so far.
    max_placements: usize,
    /// The candidates that free capacity for these, unless they were free at first.
    partial: Option<Vec<PreemptionCandidate>>,
    /// How often it was tried whether the job fits.
    trials: usize,
}

/// What one more preempted task has brought.
enum TrialStep {
    /// Not enough yet.
    Continue,
    /// All wanted placements.
    Complete(Vec<PreemptionCandidate>),
    /// The search has taken long enough.
    GiveUp,
}

impl<'a> Trial<'a> {
    fn new(workload: &'a RunningWorkload<'a>, preemptor: &'a Preemptor<'a>, wanted: usize) -> Self {
        let mut trial = Trial {
            workload,
            preemptor,
            wanted,
            plan: workload.expected_plan.clone(),
            preempted: Vec::new(),
            max_placements: 0,
            partial: None,
            trials: 0,
        };
        trial.max_placements = trial.request().count_placements();
        trial
    }

    /// The search for placements on the plan as it stands now.
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
                TrialStep::Continue => {}
                TrialStep::GiveUp => break,
                TrialStep::Complete(candidates) => {
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

    /// Preempts the tasks of one run: a gang's all at once, others one by one.
    fn preempt_run(&mut self, run: &PreemptibleRun) -> TrialStep {
        let mut left = run.run.tasks.len();
        while left > 0 {
            // Borrowed work counts as borrowed only down to the guarantee.
            if !self.preemptor.may_preempt_run(run, &self.plan) {
                return TrialStep::Continue;
            }
            let tasks = if run.spec.is_gang() { left } else { 1 };
            left -= tasks;
            self.preempt_tasks(run, tasks);
            match self.try_to_fit(run.slot_index) {
                TrialStep::Continue => {}
                done => return done,
            }
        }
        TrialStep::Continue
    }

    /// Counts tasks of a run as preempted.
    fn preempt_tasks(&mut self, run: &PreemptibleRun, tasks: usize) {
        let spec = run.spec;
        let machine = &run.run.machine;
        self.plan
            .release_at(run.slot_index, &spec.team, spec.need.times(tasks));
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

    /// Tries whether the job fits, now that tasks on this machine are preempted.
    fn try_to_fit(&mut self, slot_index: usize) -> TrialStep {
        let need = &self.preemptor.waiting.spec.need;
        // Only a machine that now holds a task can have made it fit.
        if !self.plan.plan_slots[slot_index].free.fits(need) {
            return TrialStep::Continue;
        }
        self.trials += 1;
        if self.trials > MAX_TRIALS {
            return TrialStep::GiveUp;
        }
        let Ok(placements) = self.request().find_placements() else {
            return TrialStep::Continue;
        };
        if placements.len() <= self.max_placements {
            return TrialStep::Continue;
        }
        self.max_placements = placements.len();
        let candidates = self.candidates_at(&placements);
        if self.max_placements >= self.wanted {
            return TrialStep::Complete(candidates);
        }
        self.partial = Some(candidates);
        TrialStep::Continue
    }

    /// The preempted work on machines that the job will have: the rest is not needed.
    fn candidates_at(&self, placements: &[TaskPlacement]) -> Vec<PreemptionCandidate> {
        let used: BTreeSet<&str> = placements.iter().map(|p| &*p.machine).collect();
        let needed = self
            .preempted
            .iter()
            .filter(|candidate| used.contains(candidate.machine.as_str()));
        needed.cloned().collect()
    }
}
