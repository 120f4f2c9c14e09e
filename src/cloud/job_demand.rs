//! The jobs for which capacity is planned, and what they need.

use std::collections::HashSet;

use super::offer_search::OfferConstraints;
use crate::policy::{JobFacts, Policy};
use crate::scheduler::AcceleratorProtection;
use crate::state::records::{FAULTY_JOB_THRESHOLD, Job, Spec};
use crate::state::replica::{MachineClass, Replica};
use crate::wire::{JobKind, MachineType};

/// A fraction of a task below which what is still missing provisions nothing.
const MIN_SHORTFALL: f64 = 0.5;

/// A job for which capacity is planned.
pub(super) struct JobDemand<'a> {
    pub(super) id: &'a str,
    pub(super) spec: &'a Spec,
    pub(super) facts: JobFacts,
    /// The highest price of a slot, as a multiple of the cheapest one.
    pub(super) max_price_ratio: f64,
    /// The job as it would be with the places planned so far, so that its
    /// zones' shares are kept.
    pub(super) planned: Job,
    /// Zones where more capacity would not help.
    pub(super) excluded_zones: HashSet<String>,
    /// The zone of the machine that was planned last.
    pub(super) last_zone: Option<String>,
    /// How strictly machines with accelerators are kept for work that needs them.
    pub(super) protection: AcceleratorProtection,
}

impl JobDemand<'_> {
    /// What restricts the choice of an offer for the job.
    pub(super) fn offer_constraints(&self) -> OfferConstraints<'_> {
        OfferConstraints {
            protection: self.protection,
            max_price_ratio: self.max_price_ratio,
            excluded_zones: &self.excluded_zones,
        }
    }

    /// How many slots the job needs more for its `unplaced` tasks; none if what
    /// others free is enough, which is then taken from `turnover_cpus`.
    pub(super) fn wanted_slots(
        &self,
        unplaced: usize,
        policy: &Policy,
        turnover_cpus: &mut f64,
    ) -> Option<usize> {
        let spec = self.spec;
        let mut wanted = unplaced as f64;
        if spec.kind == JobKind::Array {
            // Tasks that run one after another in the window need less
            // capacity at once; what others free in that time serves too.
            let window_s = policy.rent_window_s(&self.facts);
            let cpus = spec.need.cpus.units().max(0.001);
            wanted = wanted * spec.estimate_s.max(1.0) / window_s;
            let turnover = policy.rent_turnover(&self.facts);
            let covered = wanted.min(*turnover_cpus * turnover / cpus);
            *turnover_cpus -= covered * cpus / turnover.max(0.01);
            wanted -= covered;
            // So little follows in the capacity of what runs; but what has no
            // place at all, and none to follow, would wait for ever.
            if wanted < MIN_SHORTFALL && (self.planned.booked() > 0 || covered > 0.0) {
                return None;
            }
        }
        Some(wanted.ceil().max(1.0) as usize)
    }
}

/// A job that waits for others, and those.
#[derive(Debug, Clone, Copy)]
pub(super) struct DependentJob<'a> {
    pub(super) id: &'a str,
    pub(super) awaited: &'a [String],
}

/// Jobs that wait for others which are about to end, and what those are: all
/// of their tasks run, and by their owners' estimates are over before a machine
/// that is provisioned now is up. For others that wait nothing is provisioned yet.
pub(super) fn jobs_about_to_start(replica: &Replica) -> Vec<DependentJob<'_>> {
    let boot_s = replica.min_boot_s();
    let ends_soon = |id: &String| {
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        let job = job.filter(|job| job.booked() > 0 && job.waiting() == 0);
        let spec = job.and_then(|job| job.spec.as_ref());
        spec.is_some_and(|spec| spec.kind != JobKind::Service && spec.estimate_s <= boot_s)
    };
    replica
        .blocked_jobs()
        .filter(|(_, awaited)| awaited.iter().all(ends_soon))
        .map(|(id, awaited)| DependentJob { id, awaited })
        .collect()
}

/// A job that fails wherever it runs provisions nothing: it is tried on what others
/// have. Where nothing is there that could hold it, it may a few times more, or
/// three faulty machines in a row would be the end of a job in order.
pub(super) fn may_provision_despite_failures(replica: &Replica, job: &Job, spec: &Spec) -> bool {
    let holds = |class: &MachineClass| {
        let capacity = replica.class_type(class).map(MachineType::resources);
        spec.allows(&class.kind, &class.zone, class.spot)
            && capacity.is_some_and(|capacity| capacity.fits(&spec.need))
    };
    let max_errors = FAULTY_JOB_THRESHOLD as u32 * 2;
    let mut plan_slots = replica.plan_slots();
    job.booked() == 0
        && job.errors <= max_errors
        && !plan_slots.any(|slot| holds(&replica.classes[slot.class as usize]))
}

/// CPUs of all independent tasks that run.
pub(super) fn running_array_cpus(replica: &Replica) -> f64 {
    let mut cpus = 0.0;
    for (_, id) in &replica.open_jobs {
        if let Some(job) = replica.jobs.get(id).map(|entry| &entry.value)
            && let Some(spec) = &job.spec
            && spec.kind == JobKind::Array
        {
            cpus += spec.need.cpus.units() * job.booked() as f64;
        }
    }
    cpus
}
