//! What to rent: the work that fits neither the free room nor what is coming.

use std::collections::{BTreeSet, HashSet};

use tokio::time::Instant;

use super::boots::booting;
use super::headroom::{headroom, spare_places};
use super::offers::{MAX_RENTAL_SIZE, Offer, OfferBounds, OfferSearch, PlannedProvisioning};
use crate::controller::Controller;
use crate::policy::JobFacts;
use crate::scheduler::{
    self, AcceleratorProtection, FirstSeenTimes, PlacementHints, Plan, WaitReason,
};
use crate::state::records::{FAULTY_JOB_THRESHOLD, Job, ProvisioningRequest, Spec};
use crate::state::replica::Replica;
use crate::wire::{Kind, MachineType};

/// A fraction of a task below which what is still missing rents nothing.
const LEAST_SHORTFALL: f64 = 0.5;

/// What to rent: room for the jobs, in queue order, whose tasks fit neither
/// the free room nor what is coming, and for the next gang on accelerators.
pub(super) fn demand(controller: &Controller) -> Vec<ProvisioningRequest> {
    register_offers(controller);
    let replica = controller.replica.borrow();
    if replica.types.value.types.is_empty() {
        return Vec::new();
    }
    let now = Instant::now();
    // The rentals are committed together, beside the fleet_leader's own key.
    let max_rentals = controller.settings.txn_ops().saturating_sub(2).max(1);
    let first_seen = controller.placement.first_seen.borrow();
    let mut planner = Planner::new(controller, &replica, &first_seen, now);
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
    let starting = about_to_start(&replica);
    planner.release_awaited(&starting);
    for (id, _) in starting {
        planner.plan_job(id);
    }
    planner.plan_headroom(max_rentals);
    planner.provisioning_requests.into_records(max_rentals)
}

/// Plans rentals for one job after another, each with what is left of the room
/// by those before it.
struct Planner<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    first_seen: &'a FirstSeenTimes,
    hints: PlacementHints<'a>,
    now: Instant,
    /// The free room, what is on its way, and what is planned to be rented.
    plan: Plan,
    /// CPUs of independent tasks that run: the room that they leave soon is not
    /// yet counted on by any job.
    turnover_cpus: f64,
    provisioning_requests: PlannedProvisioning,
}

/// A job for which room is planned.
struct JobDemand<'a> {
    id: &'a str,
    spec: &'a Spec,
    facts: JobFacts,
    /// The most that a task's place may cost, over the cheapest one.
    max_price_ratio: f64,
    /// The job as it would be with the places planned so far, so that its
    /// zones' shares are kept.
    planned: Job,
    /// Zones where more room would not help.
    excluded_zones: HashSet<String>,
    /// The zone of the machine that was planned last.
    last_zone: Option<String>,
    care: AcceleratorProtection,
}

/// Whether a job may need more than has been planned for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Again,
    Done,
}

impl<'a> Planner<'a> {
    fn new(
        controller: &'a Controller,
        replica: &'a Replica,
        first_seen: &'a FirstSeenTimes,
        now: Instant,
    ) -> Self {
        let mut plan = Plan::of(replica);
        add_coming_room(&mut plan, controller, replica);
        Planner {
            controller,
            replica,
            first_seen,
            hints: PlacementHints::new(replica, ""),
            now,
            plan,
            turnover_cpus: running_array_cpus(replica),
            provisioning_requests: PlannedProvisioning::default(),
        }
    }

    /// What the jobs that are about to start await ends before they begin: its
    /// room is theirs.
    fn release_awaited(&mut self, starting: &[(&str, &[String])]) {
        let awaited: BTreeSet<&String> = starting.iter().flat_map(|(_, left)| *left).collect();
        for id in awaited {
            let Some(job) = self.replica.jobs.get(id).map(|entry| &entry.value) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            for run in &job.runs {
                let room = spec.need.times(run.tasks.len());
                self.plan.give(self.replica, &run.machine, &spec.team, room);
            }
        }
    }

    /// Plans what one job needs: by turns, rents a machine and fills it, as what
    /// is rented for one task serves others.
    fn plan_job(&mut self, id: &'a str) {
        let Some(mut demand) = self.demand_of(id) else {
            return;
        };
        for attempt in 0..=MAX_RENTAL_SIZE {
            self.place(&mut demand);
            let unplaced = self.unplaced(&demand);
            if unplaced == 0 || attempt == MAX_RENTAL_SIZE {
                return;
            }
            if self.rent_for(&mut demand, unplaced) == Step::Done {
                return;
            }
        }
    }

    /// The job with what the policy says of it; none if it rents nothing.
    fn demand_of(&self, id: &'a str) -> Option<JobDemand<'a>> {
        let job = self.replica.jobs.get(id).map(|entry| &entry.value)?;
        let spec = job.spec.as_ref()?;
        if job.is_suspected_faulty() && !may_rent_for_doubtful(self.replica, job, spec) {
            return None;
        }
        let seen = self.first_seen.get(id);
        let age = seen.map_or(0.0, |first| {
            self.now.saturating_duration_since(*first).as_secs_f64()
        });
        let queue_rank = self.replica.queue_rank(id, spec, self.now);
        let settings = &self.controller.settings;
        let facts = scheduler::facts(
            job,
            spec,
            &self.plan,
            settings,
            self.replica,
            age,
            &queue_rank,
        );
        Some(JobDemand {
            id,
            spec,
            max_price_ratio: settings.policy.rent_price_ratio(&facts),
            facts,
            planned: job.clone(),
            excluded_zones: HashSet::new(),
            last_zone: None,
            care: AcceleratorProtection::Strict,
        })
    }

    /// Gives the job's tasks places in the planned room, as many as fit.
    fn place(&mut self, demand: &mut JobDemand) {
        let settings = &self.controller.settings;
        let spec = demand.spec;
        match scheduler::fit(
            &demand.planned,
            spec,
            &self.plan,
            &self.hints,
            settings,
            demand.care,
        ) {
            Ok(places) => {
                for place in &places {
                    self.plan.take(place, &spec.team, spec.need);
                }
                let places: Vec<_> = places.iter().collect();
                crate::scheduler::book(&mut demand.planned, spec, &places);
            }
            // More room there does not help: it has its share already.
            Err(_) if spec.spread => demand.excluded_zones.extend(demand.last_zone.take()),
            Err(_) => {}
        }
    }

    /// How many tasks have no place yet, of those that the team's limit allows.
    fn unplaced(&self, demand: &JobDemand) -> usize {
        let spec = demand.spec;
        let waiting = demand.planned.waiting();
        match self.controller.settings.team(&spec.team) {
            Some(terms) => {
                let used = self.plan.used(&spec.team);
                waiting.min(scheduler::team_slots(terms, &used, &spec.need))
            }
            None => waiting,
        }
    }

    /// Plans one more machine for the job's tasks that have no place.
    fn rent_for(&mut self, demand: &mut JobDemand, unplaced: usize) -> Step {
        let Some(wanted) = self.wanted_slots(demand, unplaced) else {
            return Step::Done;
        };
        let bounds = OfferBounds {
            care: demand.care,
            max_price_ratio: demand.max_price_ratio,
            excluded_zones: &demand.excluded_zones,
        };
        let Some((kind, offer)) = self.best_offer(demand.spec, wanted, &bounds) else {
            if demand.care != AcceleratorProtection::Lax {
                demand.care = AcceleratorProtection::Lax;
                return Step::Again;
            }
            // What does not wait for room yet is not told so.
            if self.replica.awaited(demand.id).is_empty() {
                crate::scheduler::note(self.controller, demand.id, WaitReason::Refused, self.now);
            }
            return Step::Done;
        };
        demand.last_zone = Some(offer.zone.clone());
        self.rent(kind, offer);
        // The rest of an array's tasks follow one another in that room.
        let holds_all = kind.resources().slots(&demand.spec.need) >= wanted;
        match demand.spec.kind == Kind::Array && holds_all {
            true => Step::Done,
            false => Step::Again,
        }
    }

    /// How many slots the job needs more; none if what others leave is enough.
    fn wanted_slots(&mut self, demand: &JobDemand, unplaced: usize) -> Option<usize> {
        let spec = demand.spec;
        let policy = &self.controller.settings.policy;
        let mut wanted = unplaced as f64;
        if spec.kind == Kind::Array {
            // Tasks that run one after another in the window need less
            // room at once; what others free in that time serves too.
            let window = policy.rent_window_s(&demand.facts);
            let cpus = spec.need.cpus.units().max(0.001);
            wanted = wanted * spec.estimate_s.max(1.0) / window;
            let turnover = policy.rent_turnover(&demand.facts);
            let covered = wanted.min(self.turnover_cpus * turnover / cpus);
            self.turnover_cpus -= covered * cpus / turnover.max(0.01);
            wanted -= covered;
            // So little follows in the room of what runs; but what has no
            // place at all, and none to follow, would wait for ever.
            if wanted < LEAST_SHORTFALL && (demand.planned.booked() > 0 || covered > 0.0) {
                return None;
            }
        }
        Some(wanted.ceil().max(1.0) as usize)
    }

    /// Plans machines until enough places stand ready for the next gang.
    fn plan_headroom(&mut self, max_rentals: usize) {
        let Some(gpu) = &self.replica.gpu_spec else {
            return;
        };
        let wanted = headroom(self.controller, self.replica, &self.plan);
        let excluded_zones = HashSet::new();
        let bounds = OfferBounds {
            care: AcceleratorProtection::Lax,
            max_price_ratio: f64::INFINITY,
            excluded_zones: &excluded_zones,
        };
        let mut tries = 0;
        while spare_places(self.replica, &self.plan, None) < wanted && tries < max_rentals {
            tries += 1;
            let Some((kind, offer)) = self.best_offer(gpu, 1, &bounds) else {
                return;
            };
            self.rent(kind, offer);
        }
    }

    fn best_offer(
        &self,
        spec: &Spec,
        wanted: usize,
        bounds: &OfferBounds,
    ) -> Option<(&'a MachineType, Offer)> {
        let fleet = self.controller.fleet.borrow();
        let search = OfferSearch {
            replica: self.replica,
            fleet: &fleet,
            provisioning_requests: &self.provisioning_requests,
            now: self.now,
        };
        search.best(spec, wanted, bounds)
    }

    /// Plans one more machine of an offer, with its room.
    fn rent(&mut self, kind: &MachineType, offer: Offer) {
        add_room(&mut self.plan, self.replica, kind, &offer.zone, offer.spot);
        self.provisioning_requests.add(offer);
    }
}

/// Adds the room of one machine of an offer to the plan.
fn add_room(plan: &mut Plan, replica: &Replica, kind: &MachineType, zone: &str, spot: bool) {
    if let Some(class) = replica.find_class(&kind.name, zone, spot) {
        plan.add(class, kind.resources());
    }
}

/// Room that is on its way: booting machines and recorded rentals. Not those
/// that are late: another is rented in their stead, and they are used if they
/// come all the same.
fn add_coming_room(plan: &mut Plan, controller: &Controller, replica: &Replica) {
    let boots = &controller.fleet.borrow().boots;
    let mut add = |kind: &str, zone: &str, spot: bool| {
        if let Some(kind) = replica.machine_type(kind) {
            add_room(plan, replica, kind, zone, spot);
        }
    };
    for machine in booting(replica).filter(|machine| !boots.is_late(machine.id)) {
        add(machine.kind, machine.zone, machine.spot);
    }
    let provisioning_requests = replica
        .provisioning_requests
        .values()
        .map(|entry| &entry.value);
    for rental in provisioning_requests.filter(|rental| rental.machines.is_empty()) {
        for _ in 0..rental.count {
            add(&rental.kind, &rental.zone, rental.spot);
        }
    }
}

/// Jobs that wait for others which are about to end, and what those are: all
/// of their tasks run, and by their owners' estimates are over before a machine
/// that is rented now is up. For others that wait nothing is rented yet.
fn about_to_start(replica: &Replica) -> Vec<(&str, &[String])> {
    let boot_s = replica.min_boot_s();
    let ends_soon = |id: &String| {
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        let job = job.filter(|job| job.booked() > 0 && job.waiting() == 0);
        let spec = job.and_then(|job| job.spec.as_ref());
        spec.is_some_and(|spec| spec.kind != Kind::Service && spec.estimate_s <= boot_s)
    };
    let held = replica.blocked();
    held.filter(|(_, left)| left.iter().all(ends_soon))
        .collect()
}

/// A job that fails wherever it runs rents nothing: it is tried on what others
/// have. Where nothing is there that could hold it, it may a few times more, or
/// three faulty machines in a row would be the end of a job in order.
fn may_rent_for_doubtful(replica: &Replica, job: &Job, spec: &Spec) -> bool {
    let holds = |class: &crate::state::replica::MachineClass| {
        let room = replica.class_type(class).map(MachineType::resources);
        spec.allows(&class.kind, &class.zone, class.spot)
            && room.is_some_and(|room| room.fits(&spec.need))
    };
    let max_errors = FAULTY_JOB_THRESHOLD as u32 * 2;
    let mut plan_slots = replica.plan_slots();
    job.booked() == 0
        && job.errors <= max_errors
        && !plan_slots.any(|spot| holds(&replica.classes[spot.class as usize]))
}

/// Every offer is known as a class of machines before the plan counts on it.
fn register_offers(controller: &Controller) {
    let mut replica = controller.replica.borrow_mut();
    for kind in replica.types.value.types.clone() {
        for zone in &kind.zones {
            for spot in [true, false] {
                replica.class(&kind.name, zone, spot);
            }
        }
    }
}

/// CPUs of all independent tasks that run.
fn running_array_cpus(replica: &Replica) -> f64 {
    let mut cpus = 0.0;
    for (_, id) in &replica.open_jobs {
        if let Some(job) = replica.jobs.get(id).map(|entry| &entry.value)
            && let Some(spec) = &job.spec
            && spec.kind == Kind::Array
        {
            cpus += spec.need.cpus.units() * job.booked() as f64;
        }
    }
    cpus
}
