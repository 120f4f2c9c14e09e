//! Consolidation: moves services off machines with unused accelerators, so that these
//! machines can be decommissioned.

use super::headroom::{free_accelerator_slots, open_accelerator_jobs};
use super::pricing::machine_price;
use crate::controller::Controller;
use crate::scheduler::{self, AcceleratorProtection, MachineShardEdits, PlacementHints, Plan};
use crate::settings::Settings;
use crate::state::budget::RequestClass;
use crate::state::commit::precondition;
use crate::state::keys::{job_key, zone_shard_key};
use crate::state::records::{Capacity, Machine, MachineLifecycle, TaskOutcome};
use crate::state::replica::Replica;
use crate::wire::{Commit, JobKind};

/// The number of gangs for which consolidation leaves accelerator slots free. Each gang is
/// assumed to need as many slots as the latest job that needs accelerators.
const RESERVED_GANGS: usize = 2;

/// The number of writes that an eviction needs in addition to those of the jobs' records: one
/// for the machine shard and one for the zone shard that contain the machine.
const MACHINE_WRITES: usize = 2;

/// Drains one machine with unused accelerators if the services that keep it provisioned fit
/// on other machines. The services are stopped and placed again elsewhere, after which the
/// machine can be decommissioned.
pub(super) async fn consolidate(controller: &Controller) {
    let interval = controller.settings.worker_lease();
    if !controller
        .fleet
        .borrow()
        .consolidation_timer
        .is_due(interval)
    {
        return;
    }
    let Some(eviction) = find_eviction(controller) else {
        return;
    };
    controller.fleet.borrow_mut().consolidation_timer.restart();
    let Eviction {
        machine,
        services,
        commit: Commit {
            preconditions,
            writes,
        },
    } = eviction;
    match controller
        .commit(RequestClass::Publication, preconditions, writes)
        .await
    {
        Ok(revision) => tracing::info!(machine, services, revision, "machine consolidated"),
        Err(error) => tracing::debug!(machine, %error, "machine not consolidated"),
    }
}

/// The eviction of a machine's services.
struct Eviction {
    machine: String,
    /// The number of services that are evicted.
    services: usize,
    commit: Commit,
}

/// A machine whose services fit on other machines.
struct Candidate<'a> {
    id: &'a String,
    services: Vec<&'a str>,
    /// The machine's price divided by the number of services that have to move.
    savings_per_service: f64,
}

/// Returns the eviction with the highest savings per service, or `None` if no machine can
/// be consolidated or a job that needs accelerators is waiting.
fn find_eviction(controller: &Controller) -> Option<Eviction> {
    let replica = controller.replica.borrow();
    let gpu_spec = replica.latest_gpu_spec.as_ref()?;
    if open_accelerator_jobs(&replica).any(|job| job.waiting_count() > 0) {
        return None;
    }
    let search = ConsolidationSearch {
        replica: &replica,
        settings: &controller.settings,
        plan: Plan::from_replica(&replica),
        hints: PlacementHints::new(&replica, controller.name()),
        reserved_slots: RESERVED_GANGS * gpu_spec.tasks as usize,
    };
    let candidate = search.best()?;
    plan_eviction(&replica, &candidate)
}

/// A search for the machine whose consolidation saves the most per service.
struct ConsolidationSearch<'a> {
    replica: &'a Replica,
    settings: &'a Settings,
    plan: Plan,
    hints: PlacementHints<'a>,
    /// The number of slots that must stay free for jobs that need accelerators.
    reserved_slots: usize,
}

impl<'a> ConsolidationSearch<'a> {
    /// Returns the candidate with the highest savings per service.
    fn best(&self) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate> = None;
        for (id, entry) in &self.replica.machines {
            let Some(candidate) = self.candidate(id, &entry.value) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|best| candidate.savings_per_service > best.savings_per_service)
            {
                best = Some(candidate);
            }
        }
        best
    }

    /// Returns the machine as a candidate if it has accelerators, runs only services, and
    /// all of them fit on other machines.
    fn candidate(&self, id: &'a String, machine: &Machine) -> Option<Candidate<'a>> {
        let machine_type = self.replica.machine_type(&machine.kind)?;
        if machine.lifecycle != MachineLifecycle::Active || machine_type.gpus <= 0.0 {
            return None;
        }
        let services = self.services_on(id)?;
        let mut plan_without_machine = self.plan.clone();
        if let Some(slot) = plan_without_machine.slot_index_of(self.replica, id) {
            plan_without_machine.plan_slots[slot].free = Capacity::default();
        }
        if free_accelerator_slots(self.replica, &plan_without_machine, None) < self.reserved_slots {
            return None;
        }
        let all_fit = services
            .iter()
            .all(|job| self.fits_elsewhere(job, id, &mut plan_without_machine));
        let savings_per_service = machine_price(machine_type, machine.spot) / services.len() as f64;
        all_fit.then_some(Candidate {
            id,
            services,
            savings_per_service,
        })
    }

    /// Returns the services on a machine, or `None` if it runs other jobs too or if the
    /// eviction of its services does not fit in one commit.
    fn services_on(&self, id: &str) -> Option<Vec<&'a str>> {
        let mut services = Vec::new();
        for (job, entry) in self.replica.jobs_on(id) {
            let spec = entry.value.spec.as_ref();
            let is_service = spec.is_some_and(|spec| spec.kind == JobKind::Service);
            if !is_service || !entry.value.is_open() {
                return None;
            }
            services.push(job);
        }
        let fits_commit = services.len() + MACHINE_WRITES <= self.settings.max_writes_per_commit();
        (!services.is_empty() && fits_commit).then_some(services)
    }

    /// Places a service's replicas that run on the machine elsewhere in the plan, and
    /// returns whether all of them fit.
    fn fits_elsewhere(&self, job: &str, machine: &str, plan: &mut Plan) -> bool {
        let recorded = &self.replica.jobs[job].value;
        let mut displaced_job = recorded.clone();
        let Some(spec) = displaced_job.spec.clone() else {
            return false;
        };
        // Simulates the stop of the job's tasks on the machine: they are released and wait to
        // be placed again.
        let mut displaced_tasks = 0;
        for run in recorded.runs.iter().filter(|run| run.machine == machine) {
            for task in run.tasks.iter() {
                displaced_job.release(machine, run.attempt, task, TaskOutcome::Lost);
                displaced_tasks += 1;
            }
        }
        plan.team_usage.entry(spec.team.clone()).and_modify(|used| {
            *used -= spec.need.times(displaced_tasks);
        });
        match scheduler::find_placements(
            &displaced_job,
            &spec,
            plan,
            &self.hints,
            self.settings,
            AcceleratorProtection::Strict,
        ) {
            Ok(places) if places.len() >= displaced_tasks => {
                for place in &places {
                    plan.reserve(place, &spec.team, spec.need);
                }
                true
            }
            _ => false,
        }
    }
}

/// Returns the commit that drains the machine, removes it from its zone shard's record, and
/// stops its services.
fn plan_eviction(replica: &Replica, candidate: &Candidate) -> Option<Eviction> {
    let id = candidate.id;
    let mut machine = replica.machines.get(id)?.value.clone();
    machine.lifecycle = MachineLifecycle::Draining;
    let shard_id = replica.zone_shard_of(id)?.to_string();
    let shard = replica.zone_shards.get(&shard_id)?;
    let mut record = shard.value.clone();
    record.machines.remove(id);
    let mut machine_shards = MachineShardEdits::new(replica);
    machine_shards.put(id, machine);
    let mut commit = machine_shards.into_commit();
    let zone_shard = precondition(zone_shard_key(&shard_id), shard.version);
    commit.preconditions.push(zone_shard);
    commit
        .writes
        .push(replica.put_zone_shard(&shard_id, &record));
    for job_id in &candidate.services {
        let mut job = replica.jobs[*job_id].value.clone();
        for run in job.runs.iter_mut().filter(|run| run.machine == *id) {
            run.stop = true;
        }
        job.has_preempted = true;
        let version = replica.job_version(job_id);
        commit
            .preconditions
            .push(precondition(job_key(job_id), version));
        commit.writes.push(replica.put_job(job_id, &job));
    }
    Some(Eviction {
        machine: id.clone(),
        services: candidate.services.len(),
        commit,
    })
}
