//! The scale-out plan: capacity for the work that fits neither what is free nor
//! what is on its way.

use std::collections::{BTreeSet, HashSet};

use tokio::time::Instant;

use super::headroom::{free_accelerator_slots, wanted_headroom_slots};
use super::incoming_capacity::{add_incoming_capacity, add_machine};
use super::job_demand::{
    DependentJob, JobDemand, jobs_about_to_start, may_provision_despite_failures,
    running_array_cpus,
};
use super::offer_search::{ChosenOffer, OfferConstraints, OfferSearch};
use super::planned_provisioning::{MAX_MACHINES_PER_REQUEST, PlannedProvisioning};
use crate::controller::Controller;
use crate::scheduler::{
    self, AcceleratorProtection, FirstSeenTimes, PlacementHints, Plan, WaitReason,
};
use crate::state::records::{ProvisioningRequest, Spec};
use crate::state::replica::Replica;
use crate::wire::JobKind;

/// What to provision: capacity for the jobs, in queue order, whose tasks fit
/// neither what is free nor what is on its way, and for the next gang on
/// accelerators.
pub(super) fn plan_scale_out(controller: &Controller) -> Vec<ProvisioningRequest> {
    register_offers(controller);
    let replica = controller.replica.borrow();
    if replica.types.value.types.is_empty() {
        return Vec::new();
    }
    let now = Instant::now();
    // The requests are committed together, beside the fleet leader's own key.
    let max_requests = controller.settings.txn_ops().saturating_sub(2).max(1);
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
    planner.release_awaited(&starting);
    for job in starting {
        planner.plan_job(job.id);
    }
    planner.plan_headroom(max_requests);
    planner.planned.into_records(max_requests)
}

/// Plans capacity for one job after another, each with what is left by those
/// before it.
struct ScaleOutPlanner<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    first_seen: &'a FirstSeenTimes,
    hints: PlacementHints<'a>,
    now: Instant,
    /// What is free, what is on its way, and what is planned to be provisioned.
    plan: Plan,
    /// CPUs of independent tasks that run: what they free soon is not yet counted
    /// on by any job.
    turnover_cpus: f64,
    planned: PlannedProvisioning,
}

/// Whether a job may need more than has been planned for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DemandProgress {
    NeedsMore,
    Settled,
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
            plan,
            turnover_cpus: running_array_cpus(replica),
            planned: PlannedProvisioning::default(),
        }
    }

    /// What the jobs that are about to start await ends before they begin: its
    /// capacity is theirs.
    fn release_awaited(&mut self, starting: &[DependentJob]) {
        let awaited: BTreeSet<&String> = starting.iter().flat_map(|job| job.awaited).collect();
        for id in awaited {
            let Some(job) = self.replica.jobs.get(id).map(|entry| &entry.value) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            for run in &job.runs {
                let released = spec.need.times(run.tasks.len());
                self.plan
                    .release(self.replica, &run.machine, &spec.team, released);
            }
        }
    }

    /// Plans what one job needs: by turns, plans a machine and fills it, as what
    /// is provisioned for one task serves others.
    fn plan_job(&mut self, id: &'a str) {
        let Some(mut demand) = self.demand_of(id) else {
            return;
        };
        for attempt in 0..=MAX_MACHINES_PER_REQUEST {
            self.place_tasks(&mut demand);
            let unplaced = self.unplaced_tasks(&demand);
            if unplaced == 0 || attempt == MAX_MACHINES_PER_REQUEST {
                return;
            }
            if self.provision_for(&mut demand, unplaced) == DemandProgress::Settled {
                return;
            }
        }
    }

    /// The job with what the policy says of it; none if it provisions nothing.
    fn demand_of(&self, id: &'a str) -> Option<JobDemand<'a>> {
        let job = self.replica.jobs.get(id).map(|entry| &entry.value)?;
        let spec = job.spec.as_ref()?;
        if job.is_suspected_faulty() && !may_provision_despite_failures(self.replica, job, spec) {
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
            planned: job.clone(),
            excluded_zones: HashSet::new(),
            last_zone: None,
            protection: AcceleratorProtection::Strict,
        })
    }

    /// Places the job's tasks in the planned capacity, as many as fit.
    fn place_tasks(&mut self, demand: &mut JobDemand) {
        let settings = &self.controller.settings;
        let spec = demand.spec;
        match scheduler::find_placements(
            &demand.planned,
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
                scheduler::book(&mut demand.planned, spec, &places);
            }
            // More capacity there does not help: it has its share already.
            Err(_) if spec.spread => demand.excluded_zones.extend(demand.last_zone.take()),
            Err(_) => {}
        }
    }

    /// How many tasks have no place yet, of those that the team's limit allows.
    fn unplaced_tasks(&self, demand: &JobDemand) -> usize {
        let spec = demand.spec;
        let waiting = demand.planned.waiting();
        match self.controller.settings.team(&spec.team) {
            Some(terms) => {
                let used = self.plan.team_used(&spec.team);
                waiting.min(scheduler::tasks_within_quota(terms, &used, &spec.need))
            }
            None => waiting,
        }
    }

    /// Plans one more machine for the job's tasks that have no place.
    fn provision_for(&mut self, demand: &mut JobDemand, unplaced: usize) -> DemandProgress {
        let policy = &self.controller.settings.policy;
        let Some(wanted_slots) = demand.wanted_slots(unplaced, policy, &mut self.turnover_cpus)
        else {
            return DemandProgress::Settled;
        };
        let constraints = demand.offer_constraints();
        let Some(chosen) = self.best_offer(demand.spec, wanted_slots, &constraints) else {
            return self.relax_or_give_up(demand);
        };
        demand.last_zone = Some(chosen.offer.zone.clone());
        // The rest of an array's tasks follow one another in that capacity.
        let slots = chosen.machine_type.resources().slots(&demand.spec.need);
        let is_enough = demand.spec.kind == JobKind::Array && slots >= wanted_slots;
        self.provision(chosen);
        match is_enough {
            true => DemandProgress::Settled,
            false => DemandProgress::NeedsMore,
        }
    }

    /// No offer serves the job: allows it machines with accelerators, or else
    /// records why it waits.
    fn relax_or_give_up(&self, demand: &mut JobDemand) -> DemandProgress {
        if demand.protection != AcceleratorProtection::Lax {
            demand.protection = AcceleratorProtection::Lax;
            return DemandProgress::NeedsMore;
        }
        // What does not wait for capacity yet is not told so.
        if self.replica.pending_dependencies(demand.id).is_empty() {
            let placement = &self.controller.placement;
            placement.record_wait_reason(demand.id, WaitReason::Refused, self.now);
        }
        DemandProgress::Settled
    }

    /// Plans machines until enough slots are ready for the next gang.
    fn plan_headroom(&mut self, max_requests: usize) {
        let Some(gpu) = &self.replica.gpu_spec else {
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
            let Some(chosen) = self.best_offer(gpu, 1, &constraints) else {
                return;
            };
            self.provision(chosen);
        }
    }

    fn best_offer(
        &self,
        spec: &Spec,
        wanted_slots: usize,
        constraints: &OfferConstraints,
    ) -> Option<ChosenOffer<'a>> {
        let fleet = self.controller.fleet.borrow();
        let search = OfferSearch {
            replica: self.replica,
            fleet: &fleet,
            planned: &self.planned,
            now: self.now,
        };
        search.best(spec, wanted_slots, constraints)
    }

    /// Plans one more machine of an offer, with its capacity.
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
        self.planned.add(offer);
    }
}

/// Every offer is known as a class of machines before the plan counts on it.
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
