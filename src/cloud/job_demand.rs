//! Determines the jobs for which capacity is planned and the capacity that they need.

use std::collections::HashSet;
use std::time::Duration;

use super::offer_search::OfferConstraints;
use crate::policy::{JobFacts, Policy};
use crate::scheduler::{AcceleratorProtection, Plan};
use crate::state::records::{FAULTY_JOB_THRESHOLD, Job, JobSpec};
use crate::state::replica::{MachineClass, Replica};
use crate::wire::{JobKind, MachineType};

/// The smallest shortfall, in slots, for which capacity is provisioned.
const MIN_SHORTFALL: f64 = 0.5;

/// The smallest rate of turnover by which a demand is divided.
const MIN_TURNOVER_RATE: f64 = 0.01;

/// A job for which capacity is planned.
pub(super) struct JobDemand<'a> {
    pub(super) id: &'a str,
    pub(super) spec: &'a JobSpec,
    pub(super) facts: JobFacts,
    /// The maximum price of a slot, as a multiple of the cheapest slot's price.
    pub(super) max_price_ratio: f64,
    /// A copy of the job that includes the placements planned so far. The limits on the job's
    /// tasks per zone are checked against this copy.
    pub(super) planned_job: Job,
    /// The zones in which more capacity would not help the job, because the job has its maximum
    /// number of tasks there.
    pub(super) excluded_zones: HashSet<String>,
    /// The zone of the machine that was planned last.
    pub(super) last_zone: Option<String>,
    /// The protection of machines with accelerators for jobs that need them.
    pub(super) protection: AcceleratorProtection,
}

impl JobDemand<'_> {
    /// Returns the constraints on the choice of an offer for the job.
    pub(super) fn offer_constraints(&self) -> OfferConstraints<'_> {
        OfferConstraints {
            protection: self.protection,
            max_price_ratio: self.max_price_ratio,
            excluded_zones: &self.excluded_zones,
        }
    }

    /// Returns the number of slots to provision for the job's `unplaced` tasks, or `None` if
    /// no more are needed. For an array, CPUs that running array tasks will soon free count as
    /// capacity. They are subtracted from `turnover`, so that no other job counts on them.
    pub(super) fn wanted_slots(
        &self,
        unplaced: usize,
        policy: &Policy,
        turnover: &mut ArrayTurnover,
    ) -> Option<usize> {
        let spec = self.spec;
        let mut wanted = unplaced as f64;
        if spec.kind == JobKind::Array {
            // Tasks can run one after another within the window, so the array needs
            // fewer slots than tasks. CPUs that running tasks free within the window reduce
            // the need further.
            let window_s = policy.rent_window_s(&self.facts);
            let cpus = spec.need.cpus.units().max(0.001);
            wanted = wanted * spec.estimate_s.max(1.0) / window_s;
            let rate = policy.rent_turnover(&self.facts);
            let covered = turnover.take(wanted, cpus, rate);
            wanted -= covered;
            // No machine is provisioned for so small a shortfall: its tasks run when other
            // tasks end. But if the job has no running tasks and does not count on the CPUs of
            // other jobs' tasks, it would wait forever.
            if wanted < MIN_SHORTFALL && (self.planned_job.booked_count() > 0 || covered > 0.0) {
                return None;
            }
        }
        Some(wanted.ceil().max(1.0) as usize)
    }
}

/// A job with pending dependencies.
#[derive(Debug, Clone, Copy)]
pub(super) struct DependentJob<'a> {
    pub(super) id: &'a str,
    /// The jobs that have to end before this one starts.
    pub(super) dependencies: &'a [String],
}

/// Returns the jobs whose pending dependencies are all about to end. A dependency is about to
/// end if all of its remaining tasks run and its estimated run time is at most the shortest
/// boot time of a machine. It then ends before a machine that is provisioned now is up. No
/// capacity is provisioned yet for other jobs with pending dependencies.
pub(super) fn jobs_about_to_start(replica: &Replica) -> Vec<DependentJob<'_>> {
    let boot_s = replica.min_boot_s();
    let ends_soon = |id: &String| {
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        let job = job.filter(|job| job.booked_count() > 0 && job.waiting_count() == 0);
        let spec = job.and_then(|job| job.spec.as_ref());
        spec.is_some_and(|spec| spec.kind != JobKind::Service && spec.estimate_s <= boot_s)
    };
    replica
        .blocked_jobs()
        .filter(|(_, dependencies)| dependencies.iter().all(ends_soon))
        .map(|(id, dependencies)| DependentJob { id, dependencies })
        .collect()
}

/// Returns whether capacity may be provisioned for a job that is suspected to be faulty.
/// Normally it may not: the job is retried on machines that other jobs keep provisioned.
///
/// The exception is a job that runs nowhere and whose tasks fit on no machine in service.
/// Machines are provisioned for this job until it has failed more than twice
/// `FAULTY_JOB_THRESHOLD` times, and from then on only if it has been stalled for longer than
/// `retry_interval`. Without the exception, some faulty machines in a row would stop a correct
/// job permanently.
pub(super) fn may_provision_despite_failures(
    replica: &Replica,
    job: &Job,
    spec: &JobSpec,
    stalled_for: Duration,
    retry_interval: Duration,
) -> bool {
    let can_hold = |class: &MachineClass| {
        let capacity = replica.class_type(class).map(MachineType::capacity);
        spec.allows(&class.kind, &class.zone, class.spot)
            && capacity.is_some_and(|capacity| capacity.fits_task(&spec.need))
    };
    let max_errors = FAULTY_JOB_THRESHOLD as u32 * 2;
    let mut machines = replica.placeable_machines();
    job.booked_count() == 0
        && (job.failure_count <= max_errors || stalled_for > retry_interval)
        && !machines.any(|machine| can_hold(&replica.classes[machine.class as usize]))
}

/// Capacity that running array tasks will soon free and that no planned job counts on yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ArrayTurnover {
    /// Number of CPUs that the tasks use.
    cpus: f64,
    /// Number of tasks that the machines can run in place of the ending ones, whatever
    /// resources these free.
    tasks: f64,
}

impl ArrayTurnover {
    /// Returns the turnover of the array tasks that are booked on the machines of the plan.
    pub(super) fn of(replica: &Replica, plan: &Plan) -> Self {
        let slots = plan.plan_slots.iter();
        let free_tasks: i64 = slots.map(|slot| slot.free.tasks.max(0)).sum();
        let mut turnover = ArrayTurnover {
            cpus: 0.0,
            tasks: free_tasks as f64,
        };
        turnover.add_running_arrays(replica);
        turnover
    }

    /// Subtracts what at most `wanted` tasks of `cpus` CPUs each can count on, and returns the
    /// number of these tasks. `rate` is the part of the running tasks that end in time, and may
    /// exceed 1.
    fn take(&mut self, wanted: f64, cpus: f64, rate: f64) -> f64 {
        let covered = wanted.min(self.cpus * rate / cpus).min(self.tasks * rate);
        let ended = covered / rate.max(MIN_TURNOVER_RATE);
        self.cpus -= ended * cpus;
        self.tasks -= ended;
        covered
    }

    fn add_running_arrays(&mut self, replica: &Replica) {
        for (_, id) in &replica.open_jobs {
            if let Some(job) = replica.jobs.get(id).map(|entry| &entry.value)
                && let Some(spec) = &job.spec
                && spec.kind == JobKind::Array
            {
                let booked = job.booked_count() as f64;
                self.cpus += spec.need.cpus.units() * booked;
                self.tasks += booked;
            }
        }
    }
}
