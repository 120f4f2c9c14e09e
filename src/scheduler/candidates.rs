//! Which machines a job may take, and which of them it prefers.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use super::plan::{Plan, UNASSIGNED};
use crate::state::records::{Amount, Spec};
use crate::state::replica::{MachineClass, PlanSlot, Replica};
use crate::wire::Kind;
use crate::workers;

/// PlacementHints for choosing among machines with room; none of them is needed.
pub struct PlacementHints<'a> {
    /// The replica that is planned on.
    pub replica: &'a Replica,
    /// The controller that plans: between machines that are as good, those of
    /// its own zone shards, where its commits meet no others.
    pub home_controller: &'a str,
    /// Parts that the commit in the making writes anyway come before those.
    pub touched_shards: BTreeSet<String>,
    /// Machines that the job has failed on may be tried again: it has waited
    /// long enough for another.
    pub retry_failed_machines: bool,
}

impl<'a> PlacementHints<'a> {
    /// PlacementHints of a controller whose commit touches no zone shards yet.
    pub fn new(replica: &'a Replica, home: &'a str) -> Self {
        PlacementHints {
            replica,
            home_controller: home,
            touched_shards: BTreeSet::new(),
            retry_failed_machines: false,
        }
    }
}

/// How far work without accelerators may take resources of machines that have
/// them from work that needs them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceleratorProtection {
    /// Not at all, and no service keeps their machines rented.
    Strict,
    /// Only what work on the accelerators cannot use.
    Mild,
    /// If there is no other place.
    Lax,
}

/// How good a place is: lower is better, and the first differing figure decides.
pub(super) type Score = [i64; 8];

/// A machine that has room for a task. The order is that of the choice: the least
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    /// How many tasks on accelerators lose their place.
    loss: i64,
    /// How many tasks of the job the machine was given already.
    given: i64,
    score: Score,
    /// The index of the machine in the plan.
    slot_index: usize,
}

/// What makes one zone's best offer better than another's.
type ZoneOrder = (i64, i64, i64, Score);

/// Places found for tasks of a job, as indices of machines in the plan.
pub(super) struct Filled {
    pub(super) plan_slots: Vec<usize>,
    /// The sum of the places' scores.
    pub(super) score: Score,
}

/// What a class of machines means to a job, worked out once for all of them.
#[derive(Clone, Copy)]
pub(super) struct ClassFit {
    /// The job may run there, room apart.
    pub(super) allowed: bool,
    gpus: Amount,
    /// The accelerators' usual work may run there, and this job needs none.
    contended: bool,
    /// 1 if a cheaper kind would do, else 0.
    costly: i64,
    pub(super) zone: usize,
}

impl ClassFit {
    fn new(spec: &Spec, replica: &Replica, class: &MachineClass) -> Self {
        let gpus = replica.class_type(class).map_or(0.0, |t| t.gpus);
        let usual_work_allowed = replica
            .gpu_spec
            .as_ref()
            .is_none_or(|s| s.allows(&class.kind, &class.zone, class.spot));
        ClassFit {
            allowed: spec.allows(&class.kind, &class.zone, class.spot),
            gpus: Amount::rounded_down(gpus),
            contended: gpus > 0.0 && spec.need.gpus.0 == 0 && usual_work_allowed,
            costly: i64::from(spec.spot && !class.spot),
            zone: class.zone_number,
        }
    }
}

/// Where a job's tasks may go.
pub(super) struct MachineCandidates<'a> {
    spec: &'a Spec,
    hints: &'a PlacementHints<'a>,
    care: AcceleratorProtection,
    /// By class number.
    classes: Vec<ClassFit>,
    /// By zone shard number: how much its zone shard adds to the commit. Places that are as
    /// good are taken from few zone shards, as each is a record to write.
    shard_costs: Vec<i64>,
    image: Option<u32>,
    /// Machines that the job has just failed on, by number: the fault may be
    /// theirs, and what fails at once is the first to have room again.
    excluded: Vec<u32>,
    /// The only zone shards whose machines it may take, if not all may be; what is not
    /// rented yet may come into any.
    only_shards: Option<[u32; 2]>,
}

impl<'a> MachineCandidates<'a> {
    pub(super) fn new(
        spec: &'a Spec,
        hints: &'a PlacementHints<'a>,
        care: AcceleratorProtection,
    ) -> Self {
        let replica = hints.replica;
        let classes = replica.classes.iter();
        let zone_shards = 0..replica.zone_shard_names.len() as u32;
        MachineCandidates {
            classes: classes.map(|c| ClassFit::new(spec, replica, c)).collect(),
            shard_costs: zone_shards.map(|shard| shard_cost(hints, shard)).collect(),
            spec,
            hints,
            care,
            image: replica.image(&spec.image),
            excluded: Vec::new(),
            only_shards: None,
        }
    }

    /// Leaves these machines out.
    pub(super) fn without(mut self, machines: &[String]) -> Self {
        let names = &self.hints.replica.machine_names;
        self.excluded = machines.iter().filter_map(|m| names.find(m)).collect();
        self
    }

    /// Keeps to these zone shards, if there are any.
    pub(super) fn within(mut self, zone_shards: Option<[u32; 2]>) -> Self {
        self.only_shards = zone_shards;
        self
    }

    /// What the machine's class means to the job.
    pub(super) fn class(&self, slot: &PlanSlot) -> &ClassFit {
        &self.classes[slot.class as usize]
    }

    /// How many tasks of the accelerators' usual shape lose their place on
    /// this machine if the job's task takes it. Work without accelerators is
    /// kept off them only as far as it takes resources that they need.
    fn loss(&self, slot: &PlanSlot) -> i64 {
        if !self.class(slot).contended {
            return 0;
        }
        match &self.hints.replica.gpu_spec {
            Some(usual) => {
                let after = slot.free - self.spec.need;
                slot.free.slots(&usual.need) as i64 - after.slots(&usual.need) as i64
            }
            None => 1,
        }
    }

    /// Whether a task of the job may go onto the machine.
    fn is_open(&self, slot: &PlanSlot) -> bool {
        let class = self.class(slot);
        if !class.allowed || !slot.free.fits(&self.spec.need) {
            return false;
        }
        if self.excluded.contains(&slot.machine) {
            return false;
        }
        if let Some(zone_shards) = self.only_shards
            && slot.shard != UNASSIGNED
            && !zone_shards.contains(&slot.shard)
        {
            return false;
        }
        if !class.contended {
            return true;
        }
        match (self.spec.kind, self.care) {
            // Independent tasks come and go: they never take resources that the
            // accelerators' work needs, and they do not keep a machine rented
            // whose accelerators are idle.
            (Kind::Array, _) => slot.free.gpus < class.gpus && self.loss(slot) == 0,
            // What stays for long goes elsewhere if it can.
            (_, AcceleratorProtection::Strict) => false,
            (_, AcceleratorProtection::Mild) => self.loss(slot) == 0,
            (_, AcceleratorProtection::Lax) => true,
        }
    }

    /// Accelerators are kept for those that need them; then a service looks
    /// for its image first, as it should run at once; then the cheaper
    /// machine, and the tightest fit, so that others stay whole.
    fn score(&self, slot: &PlanSlot) -> Score {
        let replica = self.hints.replica;
        let class = self.class(slot);
        let spec = self.spec;
        let needs_gpus = spec.need.gpus.0 > 0;
        let usual_slots = match &replica.gpu_spec {
            Some(usual) if class.gpus.0 > 0 && !needs_gpus => slot.free.slots(&usual.need),
            _ => 0,
        };
        let no_image = i64::from(!replica.has_image(slot.machine, self.image));
        let shard_cost = self.shard_costs.get(slot.shard as usize);
        let shard_cost = shard_cost.copied().unwrap_or(i64::MAX);
        // A service stays for long and would keep a costly machine rented.
        let is_service = spec.kind == Kind::Service;
        let keeps_rented = i64::from(is_service && class.gpus.0 > 0 && !needs_gpus);
        let (third, fourth, fifth) = match spec.kind {
            Kind::Service => (no_image, class.costly, shard_cost),
            // Their ends come often: where they are this controller's own,
            // nobody else writes the records.
            Kind::Array => (class.costly, shard_cost, no_image),
            Kind::Gang => (class.costly, no_image, shard_cost),
        };
        [
            self.loss(slot),
            keeps_rented,
            third,
            fourth,
            fifth,
            usual_slots as i64,
            // Of two places that accelerators' work could use, the one among more
            // accelerators.
            if needs_gpus { 1 } else { -1 } * class.gpus.0,
            slot.free.cpus.0,
        ]
    }

    /// Tasks that fit one by one into the zones with a cap, best machines
    /// first; at most `limit`.
    ///
    /// Replicas go to different zones and machines while there are some; other
    /// tasks fill the best machine first.
    pub(super) fn fill(&self, plan: &Plan, zone_caps: &[usize], limit: usize) -> Filled {
        let mut offers = ZoneOffers::new(self, plan, zone_caps);
        let mut filled = Filled {
            plan_slots: Vec::new(),
            score: [0; 8],
        };
        while filled.plan_slots.len() < limit {
            let Some((zone, offer)) = offers.take_best() else {
                break;
            };
            self.fill_machine(&mut offers, &mut filled, plan, zone, offer, limit);
        }
        filled
    }

    /// Gives a machine its tasks. Its room is used up before the next machine is
    /// looked at, but for replicas, which take one place at a time.
    fn fill_machine(
        &self,
        offers: &mut ZoneOffers,
        filled: &mut Filled,
        plan: &Plan,
        zone: usize,
        offer: Offer,
        limit: usize,
    ) {
        let is_service = self.spec.kind == Kind::Service;
        let mut slot = plan.plan_slots[offer.slot_index];
        for _ in 0..offer.given {
            slot.free -= self.spec.need;
        }
        loop {
            for (sum, figure) in filled.score.iter_mut().zip(offer.score) {
                *sum = sum.saturating_add(figure);
            }
            filled.plan_slots.push(offer.slot_index);
            slot.free -= self.spec.need;
            offers.given[zone] += 1;
            offers.caps[zone] -= 1;
            let more =
                filled.plan_slots.len() < limit && offers.caps[zone] > 0 && self.is_open(&slot);
            if is_service || !more {
                break;
            }
        }
        if is_service && self.is_open(&slot) {
            offers.push(zone, self.offer(&slot, offer.slot_index, offer.given + 1));
        }
    }

    /// The machine as it is offered after it was given that many tasks.
    fn offer(&self, slot: &PlanSlot, index: usize, given: i64) -> Offer {
        let score = self.score(slot);
        Offer {
            loss: score[0],
            given,
            score,
            slot_index: index,
        }
    }
}

/// What a zone shard adds to the commit: nothing if it is written anyway, little if the
/// planning controller is at home there.
fn shard_cost(hints: &PlacementHints, shard: u32) -> i64 {
    let name = hints.replica.zone_shard_names.name(shard);
    let local_name = name.split_once('/').map_or("", |split| split.1);
    let own = workers::preferred_owner_of(local_name) == hints.home_controller;
    let touched = hints.touched_shards.contains(&*name);
    match (touched, own) {
        (true, _) => 0,
        (_, true) => 1,
        _ => 2 + i64::from(shard),
    }
}

/// The machines on offer: a heap for each zone, the best machine on top.
struct ZoneOffers {
    heaps: Vec<BinaryHeap<Reverse<Offer>>>,
    /// How many more tasks each zone may take.
    caps: Vec<usize>,
    /// How many tasks each zone was given.
    given: Vec<i64>,
    /// Zones that were given fewer tasks come first.
    spread: bool,
}

impl ZoneOffers {
    fn new(candidates: &MachineCandidates, plan: &Plan, caps: &[usize]) -> Self {
        let mut offers: Vec<Vec<Reverse<Offer>>> = vec![Vec::new(); caps.len()];
        for (index, slot) in plan.plan_slots.iter().enumerate() {
            let zone = candidates.class(slot).zone;
            if caps.get(zone).is_some_and(|cap| *cap > 0) && candidates.is_open(slot) {
                offers[zone].push(Reverse(candidates.offer(slot, index, 0)));
            }
        }
        ZoneOffers {
            heaps: offers.into_iter().map(BinaryHeap::from).collect(),
            caps: caps.to_vec(),
            given: vec![0; caps.len()],
            spread: candidates.spec.kind == Kind::Service,
        }
    }

    /// Takes the best offer of all zones, and tells which zone it is of.
    fn take_best(&mut self) -> Option<(usize, Offer)> {
        let zones = (0..self.heaps.len()).filter(|zone| self.caps[*zone] > 0);
        let best = zones.filter_map(|zone| Some((self.order(zone)?, zone)));
        let (_, zone) = best.min()?;
        let Reverse(offer) = self.heaps[zone].pop()?;
        Some((zone, offer))
    }

    fn order(&self, zone: usize) -> Option<ZoneOrder> {
        let Reverse(offer) = self.heaps[zone].peek()?;
        let given_in_zone = if self.spread { self.given[zone] } else { 0 };
        Some((offer.loss, given_in_zone, offer.given, offer.score))
    }

    fn push(&mut self, zone: usize, offer: Offer) {
        self.heaps[zone].push(Reverse(offer));
    }
}
