//! Which machines a job may take, and how each of them scores.

use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::UNASSIGNED;
use crate::state::records::{Amount, Spec};
use crate::state::replica::{MachineClass, PlanSlot, Replica};
use crate::wire::JobKind;
use crate::workers;

/// The number of figures that a score has.
const SCORE_FIGURES: usize = 8;

/// How good a machine is for a task: lower is better, and the first differing figure
/// decides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score([i64; SCORE_FIGURES]);

impl Score {
    /// Adds another score, figure by figure.
    pub(super) fn add(&mut self, other: &Score) {
        for (sum, figure) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(figure);
        }
    }

    /// How many tasks on accelerators lose their place; the first figure.
    pub(super) fn accelerator_slots_lost(&self) -> i64 {
        self.0[0]
    }
}

/// What a class of machines means to a job, worked out once for all of them.
#[derive(Clone, Copy)]
pub(super) struct ClassEligibility {
    /// The job may run there, capacity apart.
    pub(super) allowed: bool,
    gpus: Amount,
    /// The accelerators' usual work may run there, and this job needs none.
    contended: bool,
    /// 1 if a cheaper kind would do, else 0.
    on_demand_penalty: i64,
    /// The index of the class's zone.
    pub(super) zone: usize,
}

impl ClassEligibility {
    fn new(spec: &Spec, replica: &Replica, class: &MachineClass) -> Self {
        let gpus = replica.class_type(class).map_or(0.0, |t| t.gpus);
        let usual_work_allowed = replica
            .gpu_spec
            .as_ref()
            .is_none_or(|s| s.allows(&class.kind, &class.zone, class.spot));
        ClassEligibility {
            allowed: spec.allows(&class.kind, &class.zone, class.spot),
            gpus: Amount::rounded_down(gpus),
            contended: gpus > 0.0 && spec.need.gpus.0 == 0 && usual_work_allowed,
            on_demand_penalty: i64::from(spec.spot && !class.spot),
            zone: class.zone_number,
        }
    }
}

/// The machines that a job's tasks may go to.
pub(super) struct MachineCandidates<'a> {
    pub(super) spec: &'a Spec,
    hints: &'a PlacementHints<'a>,
    protection: AcceleratorProtection,
    /// By class number.
    classes: Vec<ClassEligibility>,
    /// By zone shard number: how much the zone shard adds to the commit. Machines that
    /// are as good are taken from few zone shards, as each is a record to write.
    shard_costs: Vec<i64>,
    image: Option<u32>,
    /// Machines that the job has just failed on, by number: the fault may be
    /// theirs, and what fails at once is the first to have capacity again.
    excluded: Vec<u32>,
    /// The only zone shards whose machines it may take, if not all may be; what is not
    /// provisioned yet may come into any.
    only_shards: Option<[u32; 2]>,
}

impl<'a> MachineCandidates<'a> {
    pub(super) fn new(
        spec: &'a Spec,
        hints: &'a PlacementHints<'a>,
        protection: AcceleratorProtection,
    ) -> Self {
        let replica = hints.replica;
        let classes = replica.classes.iter();
        let zone_shards = 0..replica.zone_shard_names.len() as u32;
        MachineCandidates {
            classes: classes
                .map(|class| ClassEligibility::new(spec, replica, class))
                .collect(),
            shard_costs: zone_shards.map(|shard| shard_cost(hints, shard)).collect(),
            spec,
            hints,
            protection,
            image: replica.image_number(&spec.image),
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
    pub(super) fn class(&self, slot: &PlanSlot) -> &ClassEligibility {
        &self.classes[slot.class as usize]
    }

    /// Whether a task of the job may go onto the machine.
    pub(super) fn accepts_task(&self, slot: &PlanSlot) -> bool {
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
        !class.contended || self.may_use_accelerator_machine(slot, class)
    }

    /// Whether a task without accelerators may go onto a machine that has them.
    fn may_use_accelerator_machine(&self, slot: &PlanSlot, class: &ClassEligibility) -> bool {
        match (self.spec.kind, self.protection) {
            // Independent tasks come and go: they never take resources that the
            // accelerators' work needs, and they do not keep a machine rented
            // whose accelerators are idle.
            (JobKind::Array, _) => {
                slot.free.gpus < class.gpus && self.accelerator_slots_lost(slot) == 0
            }
            // What stays for long goes elsewhere if it can.
            (_, AcceleratorProtection::Strict) => false,
            (_, AcceleratorProtection::Mild) => self.accelerator_slots_lost(slot) == 0,
            (_, AcceleratorProtection::Lax) => true,
        }
    }

    /// How many tasks of the accelerators' usual shape lose their place on
    /// this machine if the job's task takes it. Work without accelerators is
    /// kept off them only as far as it takes resources that they need.
    fn accelerator_slots_lost(&self, slot: &PlanSlot) -> i64 {
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

    /// Accelerators are kept for those that need them; then a service looks
    /// for its image first, as it should run at once; then the cheaper
    /// machine, and the tightest fit, so that others stay whole.
    pub(super) fn score(&self, slot: &PlanSlot) -> Score {
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
        // A service stays for long and would keep a costly machine provisioned.
        let is_service = spec.kind == JobKind::Service;
        let keeps_rented = i64::from(is_service && class.gpus.0 > 0 && !needs_gpus);
        let on_demand = class.on_demand_penalty;
        let (third, fourth, fifth) = match spec.kind {
            JobKind::Service => (no_image, on_demand, shard_cost),
            // Their terminations come often: where they are this controller's own,
            // nobody else writes the records.
            JobKind::Array => (on_demand, shard_cost, no_image),
            JobKind::Gang => (on_demand, no_image, shard_cost),
        };
        Score([
            self.accelerator_slots_lost(slot),
            keeps_rented,
            third,
            fourth,
            fifth,
            usual_slots as i64,
            // Of two machines that accelerators' work could use, the one with more
            // accelerators.
            if needs_gpus { 1 } else { -1 } * class.gpus.0,
            slot.free.cpus.0,
        ])
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
