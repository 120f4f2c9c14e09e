//! Plans scale-out: the machines to request for tasks that fit neither in the free
//! capacity nor in the capacity that is already booting or requested.

use std::collections::{BTreeSet, HashSet};

use tokio::time::Instant;

use super::headroom::{free_accelerator_slots, wanted_headroom_slots};
use super::incoming_capacity::{add_incoming_capacity, add_machine};
use super::job_demand::{
    ArrayTurnover, DependentJob, JobDemand, jobs_about_to_start, may_provision_despite_failures,
};
use super::offer_search::{ChosenOffer, OfferConstraints, OfferSearch};
use super::planned_provisioning::{MAX_MACHINES_PER_REQUEST, PlannedProvisioning};
use crate::controller::Controller;
use crate::scheduler::{
    self, AcceleratorProtection, FirstSeenTimes, PlacementHints, Plan, WaitReason,
};
use crate::state::records::{Capacity, Job, JobSpec, ProvisioningRequest};
use crate::state::replica::Replica;
use crate::wire::JobKind;

/// The interval at which a machine is provisioned for a job that has failed many times and fits
/// on no machine in service, in multiples of `Settings::exclusion_limit`.
const FAULTY_RETRY_EXCLUSIONS: u32 = 4;

/// Returns the provisioning requests to record: capacity for the jobs, in queue
/// order, whose tasks fit neither in the free nor in the incoming capacity, and
/// headroom for the next gang that needs accelerators.
pub(super) fn plan_scale_out(controller: &Controller) -> Vec<ProvisioningRequest> {
    register_offers(controller);
    let replica = controller.replica.borrow();
    if replica.types.value.types.is_empty() {
        return Vec::new();
    }
    let now = Instant::now();
    // All requests have to fit in one commit, which has an additional precondition on the
    // fleet key.
    let max_requests = controller
        .settings
        .max_writes_per_commit()
        .saturating_sub(2)
        .max(1);
    let first_seen = controller.placement.first_seen();
    let mut planner = ScaleOutPlanner::new(controller, &replica, &first_seen, now);
    let queue = scheduler::queue(
        &replica,
        &planner.plan,
        &controller.settings,
        &first_seen,
        now,
    );
    for id in queue {
        planner.plan_job(id);
    }
    let starting = jobs_about_to_start(&replica);
    planner.release_dependencies(&starting);
    for job in starting {
        planner.plan_job(job.id);
    }
    planner.plan_headroom(max_requests);
    planner.planned_requests.into_records(max_requests)
}

/// A planner that provisions for one job after another. Each job is placed in the
/// capacity that the jobs before it have left free.
struct ScaleOutPlanner<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    first_seen: &'a FirstSeenTimes,
    hints: PlacementHints<'a>,
    now: Instant,
    /// The free capacity, the incoming capacity, and the capacity of the machines
    /// planned so far.
    plan: Plan,
    turnover: ArrayTurnover,
    /// The provisioning requests planned so far.
    planned_requests: PlannedProvisioning,
}

/// The progress of planning machines for one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DemandProgress {
    /// The job may need another machine.
    NeedsMore,
    /// No more machines are planned for the job in this pass.
    Finished,
}

impl<'a> ScaleOutPlanner<'a> {
    fn new(
        controller: &'a Controller,
        replica: &'a Replica,
        first_seen: &'a FirstSeenTimes,
        now: Instant,
    ) -> Self {
        let mut plan = Plan::from_replica(replica);
        add_incoming_capacity(&mut plan, replica, &controller.fleet.borrow().boots);
        ScaleOutPlanner {
            controller,
            replica,
            first_seen,
            hints: PlacementHints::new(replica, ""),
            now,
            turnover: ArrayTurnover::of(replica, &plan),
            plan,
            planned_requests: PlannedProvisioning::default(),
        }
    }

    /// Releases the capacity that the dependencies of the `starting` jobs use in the plan.
    /// The dependencies end before these jobs start, so the jobs can use their capacity.
    fn release_dependencies(&mut self, starting: &[DependentJob]) {
        let dependencies: BTreeSet<&String> =
            starting.iter().flat_map(|job| job.dependencies).collect();
        for id in dependencies {
            let Some(job) = self.replica.jobs.get(id).map(|entry| &entry.value) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            for run in &job.runs {
                let released = Capacity::of_tasks(&spec.need, run.tasks.len());
                self.plan
                    .release(self.replica, &run.machine, &spec.team, released);
            }
        }
    }

    /// Plans machines for one job. Each iteration plans one machine and then places
    /// as many tasks as fit, because a machine provisioned for one task can run
    /// others too.
    fn plan_job(&mut self, id: &'a str) {
        let Some(mut demand) = self.demand_of(id) else {
            return;
        };
        for machines_planned in 0..=MAX_MACHINES_PER_REQUEST {
            self.place_tasks(&mut demand);
            let unplaced = self.unplaced_tasks(&demand);
            if unplaced == 0 || machines_planned == MAX_MACHINES_PER_REQUEST {
                return;
            }
            if self.provision_for(&mut demand, unplaced) == DemandProgress::Finished {
                return;
            }
        }
    }

    /// Returns the initial demand of a job, or `None` if no capacity may be provisioned for
    /// the job.
    fn demand_of(&self, id: &'a str) -> Option<JobDemand<'a>> {
        let job = self.replica.jobs.get(id).map(|entry| &entry.value)?;
        let spec = job.spec.as_ref()?;
        if job.is_suspected_faulty() && !self.may_provision_despite_failures(id, job, spec) {
            return None;
        }
        let seen = self.first_seen.get(id);
        let age = seen.map_or(0.0, |first| {
            self.now.saturating_duration_since(*first).as_secs_f64()
        });
        let urgency = self.replica.effective_urgency(id, spec, self.now);
        let settings = &self.controller.settings;
        let facts =
            scheduler::job_facts(job, spec, &self.plan, settings, self.replica, age, &urgency);
        Some(JobDemand {
            id,
            spec,
            max_price_ratio: settings.policy.rent_price_ratio(&facts),
            facts,
            planned_job: job.clone(),
            excluded_zones: HashSet::new(),
            last_zone: None,
            protection: AcceleratorProtection::Strict,
        })
    }

    /// Returns whether capacity may be provisioned for a job that is suspected to be faulty.
    fn may_provision_despite_failures(&self, id: &str, job: &Job, spec: &JobSpec) -> bool {
        let stalled_for = self.controller.placement.stalled_for(id, self.now);
        let retry_interval = self.controller.settings.exclusion_limit() * FAULTY_RETRY_EXCLUSIONS;
        may_provision_despite_failures(self.replica, job, spec, stalled_for, retry_interval)
    }

    /// Places as many of the job's tasks as fit in the planned capacity.
    fn place_tasks(&mut self, demand: &mut JobDemand) {
        let settings = &self.controller.settings;
        let spec = demand.spec;
        match scheduler::find_placements(
            &demand.planned_job,
            spec,
            &self.plan,
            &self.hints,
            settings,
            demand.protection,
        ) {
            Ok(places) => {
                for place in &places {
                    self.plan.reserve(place, &spec.team, spec.need);
                }
                let places: Vec<_> = places.iter().collect();
                scheduler::book(&mut demand.planned_job, spec, &places);
            }
            // More capacity in that zone does not help: the job already has its
            // maximum share of tasks there.
            Err(_) if spec.spread => demand.excluded_zones.extend(demand.last_zone.take()),
            Err(_) => {}
        }
    }

    /// Returns the number of tasks that have no placement yet, capped at the number
    /// that the team's limit still allows.
    fn unplaced_tasks(&self, demand: &JobDemand) -> usize {
        let spec = demand.spec;
        let waiting = demand.planned_job.waiting_count();
        match self.controller.settings.team(&spec.team) {
            Some(team) => {
                let used = self.plan.team_used(&spec.team);
                waiting.min(scheduler::tasks_within_quota(team, &used, &spec.need))
            }
            None => waiting,
        }
    }

    /// Plans one more machine for the job's `unplaced` tasks.
    fn provision_for(&mut self, demand: &mut JobDemand, unplaced: usize) -> DemandProgress {
        let policy = &self.controller.settings.policy;
        let Some(wanted_slots) = demand.wanted_slots(unplaced, policy, &mut self.turnover) else {
            return DemandProgress::Finished;
        };
        let constraints = demand.offer_constraints();
        let Some(chosen) = self.best_offer(demand.spec, wanted_slots, &constraints) else {
            return self.relax_protection_or_record_wait(demand);
        };
        demand.last_zone = Some(chosen.offer.zone.clone());
        // If this machine has all slots that an array wants, no second one is planned: the
        // array's remaining tasks run one after another on it.
        let slots = chosen.machine_type.capacity().task_slots(&demand.spec.need);
        let is_enough = demand.spec.kind == JobKind::Array && slots >= wanted_slots;
        self.provision(chosen);
        match is_enough {
            true => DemandProgress::Finished,
            false => DemandProgress::NeedsMore,
        }
    }

    /// Handles a job that no offer can serve. On the first call, allows the job to use machines
    /// with accelerators. On the second call, records that the job waits because the cloud
    /// refuses the offers that it needs.
    fn relax_protection_or_record_wait(&self, demand: &mut JobDemand) -> DemandProgress {
        if demand.protection != AcceleratorProtection::Lax {
            demand.protection = AcceleratorProtection::Lax;
            return DemandProgress::NeedsMore;
        }
        // A job with pending dependencies does not wait for capacity yet, so
        // "refused" would be the wrong wait reason for it.
        if self.replica.pending_dependencies(demand.id).is_empty() {
            let placement = &self.controller.placement;
            placement.record_wait_reason(demand.id, WaitReason::RefusedByCloud, self.now);
        }
        DemandProgress::Finished
    }

    /// Plans machines until the plan has enough free slots for the next gang that needs
    /// accelerators.
    fn plan_headroom(&mut self, max_requests: usize) {
        let Some(gpu_spec) = &self.replica.latest_gpu_spec else {
            return;
        };
        let wanted = wanted_headroom_slots(&self.controller.settings, self.replica, &self.plan);
        let excluded_zones = HashSet::new();
        let constraints = OfferConstraints {
            protection: AcceleratorProtection::Lax,
            max_price_ratio: f64::INFINITY,
            excluded_zones: &excluded_zones,
        };
        for _ in 0..max_requests {
            if free_accelerator_slots(self.replica, &self.plan, None) >= wanted {
                return;
            }
            let Some(chosen) = self.best_offer(gpu_spec, 1, &constraints) else {
                return;
            };
            self.provision(chosen);
        }
    }

    /// Returns the cheapest offer that can serve the job's tasks.
    fn best_offer(
        &self,
        spec: &JobSpec,
        wanted_slots: usize,
        constraints: &OfferConstraints,
    ) -> Option<ChosenOffer<'a>> {
        let fleet = self.controller.fleet.borrow();
        let search = OfferSearch {
            replica: self.replica,
            fleet: &fleet,
            planned_requests: &self.planned_requests,
            now: self.now,
        };
        search.best(spec, wanted_slots, constraints)
    }

    /// Plans one more machine of an offer and adds its capacity to the plan.
    fn provision(&mut self, chosen: ChosenOffer) {
        let ChosenOffer {
            machine_type,
            offer,
            ..
        } = chosen;
        add_machine(
            &mut self.plan,
            self.replica,
            machine_type,
            &offer.zone,
            offer.spot,
        );
        self.planned_requests.add(offer);
    }
}

/// Registers every offer as a machine class in the replica, because the plan can
/// only hold machines of registered classes.
fn register_offers(controller: &Controller) {
    let mut replica = controller.replica.borrow_mut();
    for machine_type in replica.types.value.types.clone() {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                replica.class_number(&machine_type.name, zone, spot);
            }
        }
    }
}
