//! Eligibility of machines for a job's tasks, and their scores.

use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::{PlanSlot, UNASSIGNED};
use crate::state::records::{Amount, Capacity, JobSpec};
use crate::state::replica::{MachineClass, Replica};
use crate::wire::JobKind;
use crate::workers;

/// Number of components of a score.
const SCORE_COMPONENTS: usize = 8;

/// Score of a machine for a task. Lower is better; scores are compared by their first
/// differing component.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score([i64; SCORE_COMPONENTS]);

impl Score {
    /// Adds another score component by component.
    pub(super) fn add(&mut self, other: &Score) {
        for (sum, component) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(component);
        }
    }

    /// Returns the first component: the number of accelerator tasks that would no longer
    /// fit on the machine.
    pub(super) fn accelerator_slots_lost(&self) -> i64 {
        self.0[0]
    }
}

/// Eligibility and properties of a machine class for a job, computed once for all machines
/// of the class.
#[derive(Clone, Copy)]
pub(super) struct ClassEligibility {
    /// True if the job may run on machines of the class, regardless of their free
    /// resources.
    pub(super) allowed: bool,
    /// Number of accelerators of a machine of the class.
    gpus: Amount,
    /// True if the class has accelerators that this job does not need, and the most recent
    /// job that needs accelerators may run there (or no such job is known).
    has_contended_gpus: bool,
    /// 1 if the job accepts spot machines and the class is on demand, else 0.
    on_demand_penalty: i64,
    /// Index of the zone of the class.
    pub(super) zone: usize,
}

impl ClassEligibility {
    fn new(spec: &JobSpec, replica: &Replica, class: &MachineClass) -> Self {
        let gpus = replica.class_type(class).map_or(0.0, |t| t.gpus);
        let gpu_work_allowed = replica
            .latest_gpu_spec
            .as_ref()
            .is_none_or(|s| s.allows(&class.kind, &class.zone, class.spot));
        ClassEligibility {
            allowed: spec.allows(&class.kind, &class.zone, class.spot),
            gpus: Amount::rounded_down(gpus),
            has_contended_gpus: gpus > 0.0 && spec.need.gpus.0 == 0 && gpu_work_allowed,
            on_demand_penalty: i64::from(spec.spot && !class.spot),
            zone: class.zone_number,
        }
    }
}

/// Filter and scoring of the machines for a job's tasks.
pub(super) struct MachineCandidates<'a> {
    pub(super) spec: &'a JobSpec,
    hints: &'a PlacementHints<'a>,
    protection: AcceleratorProtection,
    /// Eligibility of each machine class, by class number.
    classes: Vec<ClassEligibility>,
    /// Cost of writing each zone shard in the commit, by zone shard number. Equally good
    /// machines are chosen from few zone shards, as each zone shard is a record to write.
    shard_costs: Vec<i64>,
    /// Number of the job's image in the replica, or `None` if the replica has not seen the
    /// image on any machine.
    image: Option<u32>,
    /// Numbers of machines that the job has recently failed on. They are excluded because
    /// the machine may be at fault, and because a machine on which tasks fail immediately
    /// is always the first one with free capacity again.
    excluded: Vec<u32>,
    /// Zone shards that the search is restricted to; `None` allows all. Machines that are
    /// not provisioned yet are allowed in any case, as their zone shard is not known.
    only_shards: Option<[u32; 2]>,
}

impl<'a> MachineCandidates<'a> {
    pub(super) fn new(
        spec: &'a JobSpec,
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

    /// Excludes these machines.
    pub(super) fn excluding(mut self, machines: &[String]) -> Self {
        let names = &self.hints.replica.machine_names;
        self.excluded = machines.iter().filter_map(|m| names.find(m)).collect();
        self
    }

    /// Restricts the candidates to machines in these zone shards; `None` allows all.
    pub(super) fn restricted_to(mut self, zone_shards: Option<[u32; 2]>) -> Self {
        self.only_shards = zone_shards;
        self
    }

    /// Returns the eligibility of the machine's class.
    pub(super) fn class(&self, slot: &PlanSlot) -> &ClassEligibility {
        &self.classes[slot.class as usize]
    }

    /// Returns whether a task of the job can be placed on the machine.
    pub(super) fn accepts_task(&self, slot: &PlanSlot) -> bool {
        let class = self.class(slot);
        if !class.allowed || !slot.free.fits_task(&self.spec.need) {
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
        !class.has_contended_gpus || self.may_use_accelerator_machine(slot, class)
    }

    /// Returns whether a task that needs no accelerators can be placed on a machine that
    /// has them.
    fn may_use_accelerator_machine(&self, slot: &PlanSlot, class: &ClassEligibility) -> bool {
        match (self.spec.kind, self.protection) {
            (_, AcceleratorProtection::Lifted) => true,
            // Array tasks start and end often. They never take resources that accelerator
            // work needs, and they only use a machine on which accelerators are in use, so
            // that they do not keep a machine provisioned whose accelerators are idle.
            (JobKind::Array, _) => {
                slot.free.resources.gpus < class.gpus && self.accelerator_slots_lost(slot) == 0
            }
            // Gangs and services run for long, so strict protection keeps them on other
            // machines.
            (_, AcceleratorProtection::Strict) => false,
            (_, AcceleratorProtection::Mild) => self.accelerator_slots_lost(slot) == 0,
            (_, AcceleratorProtection::Lax) => true,
        }
    }

    /// Returns the number of accelerator tasks that would no longer fit on this machine if
    /// one of this job's tasks were placed there. Accelerator tasks are counted by the
    /// needs of the most recent job with accelerators; if no such job is known, the result
    /// is 1. A task without accelerators that takes nothing from accelerator tasks may thus
    /// use the machine.
    fn accelerator_slots_lost(&self, slot: &PlanSlot) -> i64 {
        if !self.class(slot).has_contended_gpus {
            return 0;
        }
        match &self.hints.replica.latest_gpu_spec {
            Some(gpu_spec) => {
                let after = slot.free - Capacity::of_task(&self.spec.need);
                slot.free.task_slots(&gpu_spec.need) as i64
                    - after.task_slots(&gpu_spec.need) as i64
            }
            None => 1,
        }
    }

    /// Returns the score of a machine for one of the job's tasks. Machines are preferred,
    /// in this order, if they take nothing from work that needs accelerators, if they
    /// already have the image (for a service, which should start without delay), if they
    /// are cheaper, and if the task leaves the least free capacity, so that other machines
    /// stay empty.
    pub(super) fn score(&self, slot: &PlanSlot) -> Score {
        let replica = self.hints.replica;
        let class = self.class(slot);
        let spec = self.spec;
        let needs_gpus = spec.need.gpus.0 > 0;
        let gpu_task_slots = match &replica.latest_gpu_spec {
            Some(gpu_spec) if class.gpus.0 > 0 && !needs_gpus => {
                slot.free.task_slots(&gpu_spec.need)
            }
            _ => 0,
        };
        let no_image = i64::from(!replica.has_image(slot.machine, self.image));
        let shard_cost = self.shard_costs.get(slot.shard as usize);
        let shard_cost = shard_cost.copied().unwrap_or(i64::MAX);
        // A service runs for long and would keep an expensive accelerator machine
        // provisioned.
        let is_service = spec.kind == JobKind::Service;
        let keeps_provisioned = i64::from(is_service && class.gpus.0 > 0 && !needs_gpus);
        let on_demand = class.on_demand_penalty;
        let (third, fourth, fifth) = match spec.kind {
            JobKind::Service => (no_image, on_demand, shard_cost),
            // Array tasks terminate often. If their machines are in this controller's own
            // zone shards, no other controller writes the same records.
            JobKind::Array => (on_demand, shard_cost, no_image),
            JobKind::Gang => (on_demand, no_image, shard_cost),
        };
        Score([
            self.accelerator_slots_lost(slot),
            keeps_provisioned,
            third,
            fourth,
            fifth,
            gpu_task_slots as i64,
            // Work that needs accelerators prefers machines with fewer of them; other work
            // prefers machines with more.
            if needs_gpus { 1 } else { -1 } * class.gpus.0,
            slot.free.resources.cpus.0,
        ])
    }
}

/// Returns the cost of writing a zone shard in the commit: 0 if the commit writes the zone
/// shard anyway, 1 if the controller that places the job is the preferred owner of the zone
/// shard's machines, and at least 2 otherwise.
fn shard_cost(hints: &PlacementHints, shard: u32) -> i64 {
    let name = hints.replica.zone_shard_names.name(shard);
    let local_name = name.split_once('/').map_or("", |split| split.1);
    let is_own = workers::preferred_owner_of(local_name) == hints.placing_controller;
    let touched = hints.touched_shards.contains(&*name);
    match (touched, is_own) {
        (true, _) => 0,
        (_, true) => 1,
        _ => 2 + i64::from(shard),
    }
}
