//! The pass of a round through the queue: each job gets its placements or waits.

use super::{JobPlacement, Round};
use crate::scheduler::hints::PlacementHints;
use crate::scheduler::ownership::preferred_placer;
use crate::scheduler::plan::TaskPlacement;
use crate::scheduler::queue::{is_starving, queue};
use crate::scheduler::round_search::SearchContext;
use crate::scheduler::wait_states::WaitReason;
use crate::scheduler::waiting_job::WaitingJob;
use crate::state::records::{Job, Spec};

/// What a round decides about one job of the queue.
enum JobDecision {
    /// The job's tasks get these placements.
    Place(Spec, Vec<TaskPlacement>),
    /// The job waits.
    Wait(Wait),
}

/// How a job waits for the rest of the round.
struct Wait {
    spec: Spec,
    reason: WaitReason,
    /// It has waited beyond the bound: capacity is reserved for it.
    starving: bool,
    /// Other work may be preempted for it.
    blocked: bool,
}

/// Whether the job waits because no machine has capacity for it.
fn lacks_capacity(reason: WaitReason) -> bool {
    matches!(
        reason,
        WaitReason::NoRoom | WaitReason::NoZone | WaitReason::Spread
    )
}

/// The placements that a job gets in this round: of one that fails wherever it runs, a
/// part. One task shows whether it still fails; of a gang it takes all, and a service
/// whose first replica has run for a while is in order.
fn limited_if_suspected_faulty(
    waiting: WaitingJob,
    mut tasks: Vec<TaskPlacement>,
) -> Vec<TaskPlacement> {
    let WaitingJob { job, spec, .. } = waiting;
    if job.is_suspected_faulty() && !spec.is_gang() && job.booked() == 0 {
        tasks.truncate(1);
    }
    tasks
}

impl<'a> Round<'a> {
    /// Finds placements for the jobs that wait, in queue order. All of them are in one
    /// queue, whoever places them: a job that another controller places first
    /// keeps its resources in this plan, too.
    pub(super) fn place_queue(&mut self) {
        self.touched_shards = self.transaction.zone_shards();
        let settings = &self.controller.settings;
        let queue = {
            let first_seen = self.controller.placement.first_seen();
            queue(self.replica, &self.plan, settings, &first_seen, self.now)
        };
        for id in queue {
            let own = self.own.contains(id);
            match self.decide_job(id, own) {
                Some(JobDecision::Place(spec, tasks)) => self.reserve(id, spec, tasks, own),
                Some(JobDecision::Wait(wait)) => self.leave_waiting(id, &wait),
                None => {}
            }
        }
    }

    /// Decides whether a job is placed or waits; `None` if it is not considered
    /// in this round.
    fn decide_job(&mut self, id: &str, own: bool) -> Option<JobDecision> {
        let job = self.transaction.job(id).filter(|job| job.waiting() > 0)?;
        if self.waits_after_failure(id, job) {
            return None;
        }
        let spec = job.spec.clone()?;
        let context = SearchContext {
            controller: self.controller.name(),
            settings: &self.controller.settings,
            hints: &self.hints(id, &spec, own),
            plan: &self.plan,
        };
        let waiting = WaitingJob {
            id,
            job,
            spec: &spec,
        };
        let decision = match self.search.find_placements(&context, waiting) {
            Ok(tasks) => {
                let tasks = limited_if_suspected_faulty(waiting, tasks);
                JobDecision::Place(spec, tasks)
            }
            Err(reason) => JobDecision::Wait(self.wait(id, job, spec, reason, own)),
        };
        Some(decision)
    }

    /// How a job waits that no placements were found for.
    fn wait(&self, id: &str, job: &Job, spec: Spec, reason: WaitReason, own: bool) -> Wait {
        // It preempts nobody and has nothing reserved for it.
        if job.is_suspected_faulty() {
            return Wait {
                spec,
                reason: WaitReason::Fails,
                starving: false,
                blocked: false,
            };
        }
        let lacks_capacity = lacks_capacity(reason);
        Wait {
            starving: lacks_capacity && self.is_starving(id, job, &spec),
            blocked: own && lacks_capacity,
            spec,
            reason,
        }
    }

    /// Whether the job is in its retry back-off. One that failed in this very
    /// transaction waits for the next.
    fn waits_after_failure(&self, id: &str, job: &Job) -> bool {
        let errors_before = self.replica.jobs.get(id).map_or(0, |e| e.value.errors);
        let settings = &self.controller.settings;
        let failure_wait = || self.state.failure_wait(settings, id, job, self.now);
        job.errors > errors_before || failure_wait().is_some()
    }

    /// The hints for a job: those of the controller that places it.
    fn hints(&self, id: &str, spec: &Spec, own: bool) -> PlacementHints<'a> {
        let settings = &self.controller.settings;
        let home_controller = match own {
            true => self.controller.name(),
            false => {
                let alive = self.alive.iter().map(String::as_str);
                preferred_placer(settings, id, &spec.team, alive).unwrap_or("")
            }
        };
        let mut hints = PlacementHints::new(self.replica, home_controller);
        if own {
            hints.touched_shards = self.touched_shards.clone();
        }
        let unchanged_for = self.state.unchanged_for(id, self.now);
        hints.retry_failed_machines = unchanged_for > settings.worker_lease();
        hints
    }

    fn is_starving(&self, id: &str, job: &Job, spec: &Spec) -> bool {
        let age = self.controller.placement.age_s(id, self.now);
        is_starving(job, spec, &self.controller.settings, age)
    }

    /// Reserves a job's placements in the plan; those of an own job are booked later.
    fn reserve(&mut self, id: &'a str, spec: Spec, tasks: Vec<TaskPlacement>, own: bool) {
        for placement in &tasks {
            self.plan.reserve(placement, &spec.team, spec.need);
        }
        if own {
            let zone_shards = tasks.iter().map(|placement| placement.shard.to_string());
            self.touched_shards.extend(zone_shards);
            self.placements.push(JobPlacement { id, spec, tasks });
        }
    }

    /// Records why a job waits, and what is done about it.
    fn leave_waiting(&mut self, id: &str, wait: &Wait) {
        let placement = &self.controller.placement;
        placement.record_wait_reason(id, wait.reason, self.now);
        if wait.starving {
            self.search
                .reserve_for_first_gang(self.replica, &mut self.plan, &wait.spec);
        }
        if wait.blocked {
            self.blocked.push(id.to_string());
        }
    }
}
