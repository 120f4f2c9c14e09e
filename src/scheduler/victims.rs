//! The search for victims: running work whose end makes room for a job.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::candidates::{AcceleratorProtection, PlacementHints};
use super::fit::{count, fit};
use super::job_facts::within_guarantee;
use super::plan::{Place, Plan};
use crate::settings::{Settings, TeamQuota};
use crate::state::records::{Job, Run, Spec};
use crate::state::replica::Replica;
use crate::wire::{Kind, Priority};

/// How often one search tries whether the job fits now.
const MAX_TRIALS: usize = 200;

/// The number of classes that a controller puts jobs into, so that controllers
/// that preempt at once begin with different victims.
const ORDER_CLASSES: u64 = 4;

/// Work that may be stopped for another job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreemptionCandidate {
    /// The job whose tasks stop.
    pub job: String,
    /// The machine that they run on.
    pub machine: String,
    /// How many tasks of the job stop there.
    pub tasks: usize,
}

/// The work that a search has found.
pub(super) struct Victims {
    pub(super) victims: Vec<PreemptionCandidate>,
    /// It makes room for all tasks that were asked for, not only for some.
    pub(super) complete: bool,
}

/// Whether PROTOCOL lets work of `victim` be stopped for `job`. The priorities
/// are those of the replica, which count in the jobs that depend on either.
pub fn may_preempt(
    job: (&Spec, Priority),
    job_in_guarantee: bool,
    victim: (&Spec, Priority),
    victim_borrows: bool,
) -> bool {
    let ((job, priority), (victim, victim_priority)) = (job, victim);
    if victim_priority < priority {
        return true;
    }
    // Borrowed work of another team goes back for a guarantee, but for
    // services: what people use now is not ended for what is to begin.
    job_in_guarantee && victim_borrows && victim.team != job.team && victim.kind != Kind::Service
}

/// How many places a job needs at once: a service all, as its replicas serve
/// together; of independent tasks, one after another will do.
pub(super) fn places_wanted(job: &Job, spec: &Spec) -> usize {
    match spec.kind {
        Kind::Array => 1,
        _ => job.waiting(),
    }
}

/// How many tasks of a job start or stop together.
fn tasks_together(spec: &Spec) -> usize {
    match spec.is_gang() {
        true => spec.tasks as usize,
        false => 1,
    }
}

/// One of a few classes that a controller puts a job into.
fn order_class(controller: &str, job: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (controller, job).hash(&mut hasher);
    hasher.finish() % ORDER_CLASSES
}

/// A run that may be stopped.
struct RunningAt {
    /// Its index among the job's runs.
    run: usize,
    /// The index of its machine in the plan.
    spot: usize,
}

/// An open job that runs, as searches for victims look at it: where each of its
/// runs stands in the plan is worked out once a round, by number.
pub(super) struct RunningJob {
    job: String,
    order_class: u64,
    runs: Vec<RunningAt>,
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
            runs: stoppable_runs(job, replica, plan),
        })
        .collect()
}

/// The job's runs that may be stopped, and where they stand in the plan.
fn stoppable_runs(job: &Job, replica: &Replica, plan: &Plan) -> Vec<RunningAt> {
    let runs = job.runs.iter().enumerate().filter(|(_, run)| !run.stop);
    runs.filter_map(|(index, run)| {
        let spot = plan.find(replica, &run.machine)?;
        Some(RunningAt { run: index, spot })
    })
    .collect()
}

/// The order in which candidates are stopped, the first ones first: the lowest
/// priority; where the job's image is; and the youngest job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StopOrder {
    priority: Priority,
    without_image: bool,
    order_class: u64,
    accepted_revision: Reverse<u64>,
}

/// A run that may be stopped for the job.
struct Candidate<'a> {
    order: StopOrder,
    /// The index of its machine in the plan.
    spot: usize,
    job: &'a String,
    run: &'a Run,
    spec: &'a Spec,
    terms: Option<&'a TeamQuota>,
}

/// The job that room is searched for.
struct Preemptor<'a> {
    id: &'a str,
    job: &'a Job,
    spec: &'a Spec,
    priority: Priority,
    care: AcceleratorProtection,
    /// It stays within its team's guarantee.
    in_guarantee: bool,
}

impl Preemptor<'_> {
    /// Whether it may have tasks stopped of a job with this priority, given what
    /// the victim's team uses in the plan.
    fn may_stop(
        &self,
        victim: &Spec,
        priority: Priority,
        terms: Option<&TeamQuota>,
        plan: &Plan,
    ) -> bool {
        may_preempt(
            (self.spec, self.priority),
            self.in_guarantee,
            (victim, priority),
            is_borrowed(victim, terms, plan),
        )
    }
}

/// Whether work uses resources beyond its team's guarantee. What would stay
/// within the guarantee, were it stopped, is not borrowed: its team would have it
/// back, and stop other work for it.
fn is_borrowed(victim: &Spec, terms: Option<&TeamQuota>, plan: &Plan) -> bool {
    let resources = || victim.need.times(tasks_together(victim));
    terms.is_some_and(|terms| terms.can_lend(&plan.used(&victim.team), &resources()))
}

/// What a search for victims goes by.
pub(super) struct VictimSearch<'a> {
    pub(super) settings: &'a Settings,
    pub(super) hints: &'a PlacementHints<'a>,
    pub(super) running: &'a [RunningJob],
    /// Jobs as this round has left them so far.
    pub(super) changed: &'a BTreeMap<String, Job>,
    /// The plan, with resources that are being cleared counted as free.
    pub(super) expected: &'a Plan,
}

impl<'a> VictimSearch<'a> {
    /// The least work whose end makes room for `wanted` of the job's tasks: one
    /// task after another, of the lowest priority and the youngest job first,
    /// until they fit; or for some of them, which the answer tells.
    pub(super) fn find(
        &self,
        id: &str,
        job: &Job,
        spec: &Spec,
        care: AcceleratorProtection,
        wanted: usize,
    ) -> Option<Victims> {
        let terms = self.settings.team(&spec.team)?;
        // Independent tasks that preempt independent tasks lose more than they
        // gain: such work ends soon and makes room by itself. They stop lower
        // priorities only.
        let in_guarantee = spec.kind != Kind::Array
            && within_guarantee(
                terms,
                &self.expected.used(&spec.team),
                spec,
                tasks_together(spec),
            );
        let preemptor = Preemptor {
            id,
            job,
            spec,
            priority: self.hints.replica.priority(id, spec),
            care,
            in_guarantee,
        };
        let candidates = self.candidates(&preemptor);
        Trial::new(self, &preemptor, wanted).run(candidates)
    }

    /// The runs that may be stopped, the first to be stopped first.
    fn candidates(&self, preemptor: &Preemptor) -> Vec<Candidate<'a>> {
        let replica = self.hints.replica;
        let image = replica.image(&preemptor.spec.image);
        let allowed: Vec<bool> = replica
            .classes
            .iter()
            .map(|c| preemptor.spec.allows(&c.kind, &c.zone, c.spot))
            .collect();
        let mut candidates = Vec::new();
        for running in self.running.iter().filter(|r| r.job != preemptor.id) {
            // As this round has left it so far.
            let changed = self.changed.get(&running.job);
            let known = replica.jobs.get(&running.job).map(|e| &e.value);
            let Some(job) = changed.or(known) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            let terms = self.settings.team(&spec.team);
            let priority = replica.priority(&running.job, spec);
            if !self.is_candidate(preemptor, spec, priority, terms) {
                continue;
            }
            let changed_runs = changed.map(|job| stoppable_runs(job, replica, self.expected));
            for at in changed_runs.as_ref().unwrap_or(&running.runs) {
                let spot = &self.expected.plan_slots[at.spot];
                if !allowed[spot.class as usize] {
                    continue;
                }
                let order = StopOrder {
                    priority,
                    without_image: !replica.has_image(spot.machine, image),
                    order_class: running.order_class,
                    accepted_revision: Reverse(job.accepted_revision),
                };
                candidates.push(Candidate {
                    order,
                    spot: at.spot,
                    job: &running.job,
                    run: &job.runs[at.run],
                    spec,
                    terms,
                });
            }
        }
        candidates.sort_by_key(|candidate| candidate.order);
        candidates
    }

    /// Whether tasks of a job may be stopped at all.
    fn is_candidate(
        &self,
        preemptor: &Preemptor,
        victim: &Spec,
        priority: Priority,
        terms: Option<&TeamQuota>,
    ) -> bool {
        if !preemptor.may_stop(victim, priority, terms, self.expected) {
            return false;
        }
        // Work on accelerators is the last to go for work without.
        let takes_accelerators = preemptor.spec.need.gpus.0 == 0 && victim.need.gpus.0 > 0;
        !(preemptor.care == AcceleratorProtection::Strict && takes_accelerators)
    }
}

/// Candidates are stopped in a copy of the plan, one after another, until the job
/// fits.
struct Trial<'a, 'p> {
    search: &'a VictimSearch<'a>,
    preemptor: &'a Preemptor<'p>,
    /// How many places would be enough.
    wanted: usize,
    /// The plan without what has been stopped so far.
    plan: Plan,
    stopped: Vec<PreemptionCandidate>,
    /// The most places found so far, and the victims that make room for them.
    most: usize,
    partial: Option<Vec<PreemptionCandidate>>,
    /// How often it was tried whether the job fits.
    trials: usize,
}

/// What one more stopped task has brought.
enum Step {
    /// Not enough yet.
    Continue,
    /// All wanted places.
    Complete(Vec<PreemptionCandidate>),
    /// The search has taken long enough.
    GiveUp,
}

impl<'a, 'p> Trial<'a, 'p> {
    fn new(search: &'a VictimSearch<'a>, preemptor: &'a Preemptor<'p>, wanted: usize) -> Self {
        let plan = search.expected.clone();
        let Preemptor {
            job, spec, care, ..
        } = preemptor;
        let most = count(job, spec, &plan, search.hints, search.settings, *care);
        Trial {
            search,
            preemptor,
            wanted,
            plan,
            stopped: Vec::new(),
            most,
            partial: None,
            trials: 0,
        }
    }

    fn run(mut self, candidates: Vec<Candidate>) -> Option<Victims> {
        for candidate in &candidates {
            match self.stop_run(candidate) {
                Step::Continue => {}
                Step::GiveUp => break,
                Step::Complete(victims) => {
                    return Some(Victims {
                        victims,
                        complete: true,
                    });
                }
            }
        }
        self.partial.map(|victims| Victims {
            victims,
            complete: false,
        })
    }

    /// Stops the tasks of one run: a gang's all at once, others one by one.
    fn stop_run(&mut self, candidate: &Candidate) -> Step {
        let mut left = candidate.run.tasks.len();
        while left > 0 {
            // Borrowed work counts as borrowed only down to the guarantee.
            let (victim, terms) = (candidate.spec, candidate.terms);
            let priority = candidate.order.priority;
            if !self.preemptor.may_stop(victim, priority, terms, &self.plan) {
                return Step::Continue;
            }
            let tasks = if victim.is_gang() { left } else { 1 };
            left -= tasks;
            self.stop_tasks(candidate, tasks);
            match self.try_to_fit(candidate.spot) {
                Step::Continue => {}
                done => return done,
            }
        }
        Step::Continue
    }

    /// Counts tasks of a run as stopped.
    fn stop_tasks(&mut self, candidate: &Candidate, tasks: usize) {
        let spec = candidate.spec;
        let machine = &candidate.run.machine;
        self.plan
            .free(candidate.spot, &spec.team, spec.need.times(tasks));
        match self.stopped.last_mut() {
            Some(last) if last.job == *candidate.job && last.machine == *machine => {
                last.tasks += tasks;
            }
            _ => self.stopped.push(PreemptionCandidate {
                job: candidate.job.clone(),
                machine: machine.clone(),
                tasks,
            }),
        }
    }

    /// Tries whether the job fits, now that tasks on this machine are stopped.
    fn try_to_fit(&mut self, spot: usize) -> Step {
        let Preemptor {
            job, spec, care, ..
        } = self.preemptor;
        // Only a machine that now holds a task can have made it fit.
        if !self.plan.plan_slots[spot].free.fits(&spec.need) {
            return Step::Continue;
        }
        self.trials += 1;
        if self.trials > MAX_TRIALS {
            return Step::GiveUp;
        }
        let (hints, settings) = (self.search.hints, self.search.settings);
        let Ok(places) = fit(job, spec, &self.plan, hints, settings, *care) else {
            return Step::Continue;
        };
        if places.len() <= self.most {
            return Step::Continue;
        }
        self.most = places.len();
        let victims = self.victims_at(&places);
        if self.most >= self.wanted {
            return Step::Complete(victims);
        }
        self.partial = Some(victims);
        Step::Continue
    }

    /// The victims on machines that the job will have: the others are not needed.
    fn victims_at(&self, places: &[Place]) -> Vec<PreemptionCandidate> {
        let used: BTreeSet<&str> = places.iter().map(|place| &*place.machine).collect();
        let needed = self
            .stopped
            .iter()
            .filter(|victim| used.contains(victim.machine.as_str()));
        needed.cloned().collect()
    }
}
