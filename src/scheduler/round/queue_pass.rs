//! Pass of a round through the queue, in which each job either gets placements or waits.

use super::{JobPlacement, Round};
use crate::scheduler::capacity_reservation::reserve_capacity;
use crate::scheduler::hints::PlacementHints;
use crate::scheduler::ownership::preferred_placer;
use crate::scheduler::plan::TaskPlacement;
use crate::scheduler::queue::{is_starving, queue};
use crate::scheduler::round_search::SearchContext;
use crate::scheduler::wait_states::WaitReason;
use crate::scheduler::waiting_job::WaitingJob;
use crate::state::records::{Job, JobSpec};
use crate::wire::JobKind;

/// Decision of a round on one job of the queue.
enum JobDecision {
    /// The job's tasks get these placements.
    Place(JobSpec, Vec<TaskPlacement>),
    /// The job waits until a later round.
    Wait(WaitDecision),
}

/// Reason for which a job waits, and the measures that the round takes for the job.
struct WaitDecision {
    spec: JobSpec,
    reason: WaitReason,
    /// True if the job has waited longer than the starvation threshold, so that capacity
    /// is reserved for it.
    starving: bool,
    /// True if running work may be preempted for the job.
    blocked: bool,
}

/// Returns whether the job waits because no machine has capacity for it.
fn lacks_capacity(reason: WaitReason) -> bool {
    matches!(
        reason,
        WaitReason::NoCapacity | WaitReason::NoZone | WaitReason::ZoneCapReached
    )
}

/// Returns the placements that a job gets in this round. A job that is suspected faulty gets
/// a single placement, to test whether its tasks still fail. A gang gets all its placements
/// even if it is suspected faulty, as its tasks only run together. A suspected service gets
/// all its placements once one replica is booked.
fn limited_if_suspected_faulty(
    waiting: WaitingJob,
    mut tasks: Vec<TaskPlacement>,
) -> Vec<TaskPlacement> {
    let WaitingJob { job, spec, .. } = waiting;
    let is_single = match spec.kind {
        JobKind::Array => true,
        JobKind::Gang => false,
        JobKind::Service => job.booked_count() == 0,
    };
    if job.is_suspected_faulty() && is_single {
        tasks.truncate(1);
    }
    tasks
}

impl<'a> Round<'a> {
    /// Finds placements for the waiting jobs, in queue order. The queue contains the jobs
    /// of all controllers. Placements of jobs that another controller places are reserved
    /// in this plan too, but not booked.
    pub(super) fn place_queue(&mut self) {
        self.touched_shards = self.transaction.zone_shards();
        let settings = &self.controller.settings;
        let queue = {
            let first_seen = self.controller.placement.first_seen();
            queue(self.replica, &self.plan, settings, &first_seen, self.now)
        };
        for id in queue {
            let is_own = self.own_jobs.contains(id);
            match self.decide_job(id, is_own) {
                Some(JobDecision::Place(spec, tasks)) => self.reserve(id, spec, tasks, is_own),
                Some(JobDecision::Wait(wait)) => self.record_wait(id, &wait),
                None => {}
            }
        }
    }

    /// Decides whether a job is placed or waits. Returns `None` if the job is not
    /// considered in this round.
    fn decide_job(&mut self, id: &str, is_own: bool) -> Option<JobDecision> {
        let job = self
            .transaction
            .job(id)
            .filter(|job| job.waiting_count() > 0)?;
        if self.waits_after_failure(id, job) {
            return None;
        }
        let spec = job.spec.clone()?;
        let is_overdue = self.is_overdue(id);
        let context = SearchContext {
            controller: self.controller.name(),
            settings: &self.controller.settings,
            hints: &self.hints(id, &spec, is_own),
            // An overdue job may use the capacity that is reserved for a starving gang.
            plan: match &self.unreserved_plan {
                Some(unreserved_plan) if is_overdue => unreserved_plan,
                _ => &self.plan,
            },
        };
        let waiting = WaitingJob {
            id,
            job,
            spec: &spec,
            is_overdue,
        };
        let decision = match self.search.find_placements(&context, waiting) {
            Ok(tasks) => {
                let tasks = limited_if_suspected_faulty(waiting, tasks);
                JobDecision::Place(spec, tasks)
            }
            Err(reason) => JobDecision::Wait(self.wait_decision(id, job, spec, reason, is_own)),
        };
        Some(decision)
    }

    /// Returns the details of the wait of a job without placements.
    fn wait_decision(
        &self,
        id: &str,
        job: &Job,
        spec: JobSpec,
        reason: WaitReason,
        is_own: bool,
    ) -> WaitDecision {
        // A job that is suspected faulty preempts no other work and gets no reservation.
        if job.is_suspected_faulty() {
            return WaitDecision {
                spec,
                reason: WaitReason::SuspectedFaulty,
                starving: false,
                blocked: false,
            };
        }
        let lacks_capacity = lacks_capacity(reason);
        WaitDecision {
            starving: lacks_capacity && self.is_starving(id, job, &spec),
            blocked: is_own && lacks_capacity,
            spec,
            reason,
        }
    }

    /// Returns whether the job waits after a failure. A job whose failure is recorded in
    /// this same transaction waits until the next round.
    fn waits_after_failure(&self, id: &str, job: &Job) -> bool {
        let errors_before = self
            .replica
            .jobs
            .get(id)
            .map_or(0, |e| e.value.failure_count);
        let settings = &self.controller.settings;
        let failure_wait_reason = || self.state.failure_wait_reason(settings, id, job, self.now);
        job.failure_count > errors_before || failure_wait_reason().is_some()
    }

    /// Returns the placement hints for a job, with the controller that places the job as
    /// the placing controller.
    fn hints(&self, id: &str, spec: &JobSpec, is_own: bool) -> PlacementHints<'a> {
        let settings = &self.controller.settings;
        let placing_controller = match is_own {
            true => self.controller.name(),
            false => {
                let alive = self.alive.iter().map(String::as_str);
                preferred_placer(settings, id, &spec.team, alive).unwrap_or("")
            }
        };
        let mut hints = PlacementHints::new(self.replica, placing_controller);
        if is_own {
            hints.touched_shards = self.touched_shards.clone();
        }
        let unchanged_for = self.state.unchanged_for(id, self.now);
        hints.retry_failed_machines = unchanged_for > settings.worker_lease();
        hints
    }

    fn is_starving(&self, id: &str, job: &Job, spec: &JobSpec) -> bool {
        let age = self.controller.placement.age_s(id, self.now);
        is_starving(job, spec, &self.controller.settings, age)
    }

    /// Returns whether a job has been stalled for so long that no capacity may be kept from it
    /// any more.
    fn is_overdue(&self, id: &str) -> bool {
        let stalled_for = self.controller.placement.stalled_for(id, self.now);
        stalled_for > self.controller.settings.exclusion_limit()
    }

    /// Reserves a job's placements in the plan. Placements of own jobs are booked later in
    /// the round.
    fn reserve(&mut self, id: &'a str, spec: JobSpec, tasks: Vec<TaskPlacement>, is_own: bool) {
        for plan in self.unreserved_plan.iter_mut().chain([&mut self.plan]) {
            for placement in &tasks {
                plan.reserve(placement, &spec.team, spec.need);
            }
        }
        if is_own {
            let zone_shards = tasks.iter().map(|placement| placement.shard.to_string());
            self.touched_shards.extend(zone_shards);
            self.placements.push(JobPlacement { id, spec, tasks });
        }
    }

    /// Records why a job waits, reserves capacity for it if it is a starving gang, and adds it
    /// to the blocked jobs if running work may be preempted for it.
    fn record_wait(&mut self, id: &str, wait: &WaitDecision) {
        let placement = &self.controller.placement;
        placement.record_wait_reason(id, wait.reason, self.now);
        if wait.starving && wait.spec.is_gang() && self.unreserved_plan.is_none() {
            self.reserve_for_gang(id, &wait.spec);
        }
        if wait.blocked {
            self.blocked.push(id.to_string());
        }
    }

    /// Reserves capacity for a starving gang in the zone that has capacity for the most of its
    /// tasks, so that jobs behind the gang in the queue do not use this capacity before they
    /// are overdue. Reserves nothing for a gang that is too large for the machines in service:
    /// it waits for further machines, and needs no capacity until these are up.
    fn reserve_for_gang(&mut self, id: &str, spec: &JobSpec) {
        // The reservation does not depend on which controller places the gang.
        let hints = PlacementHints::new(self.replica, "");
        let Some(job) = self.transaction.job(id) else {
            return;
        };
        let waiting = WaitingJob {
            id,
            job,
            spec,
            is_overdue: true,
        };
        let context = SearchContext {
            controller: self.controller.name(),
            settings: &self.controller.settings,
            hints: &hints,
            plan: &self.plan,
        };
        if self.search.fits_empty_machines(&context, waiting) {
            self.unreserved_plan = Some(self.plan.clone());
            reserve_capacity(spec, &mut self.plan, &hints);
        }
    }
}
