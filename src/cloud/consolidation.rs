//! Consolidation: services move off machines whose accelerators nobody needs,
//! so that these can go back.

use tokio::time::Instant;

use super::headroom::spare_places;
use super::offers::price_of;
use crate::controller::Controller;
use crate::scheduler::{self, AcceleratorProtection, MachineShardEdits, PlacementHints, Plan};
use crate::settings::Settings;
use crate::state::budget::RequestClass;
use crate::state::commit::guard;
use crate::state::keys::{job_key, zone_shard_key};
use crate::state::records::{Machine, MachineLifecycle, Outcome, Resources};
use crate::state::replica::Replica;
use crate::wire::{Guard, Kind, Write};

/// Places for so many of the usual jobs on accelerators stay free.
const KEPT_GANGS: usize = 2;

/// Writes of the commit beside the jobs' records: the machine's machine shard and zone shard.
const MACHINE_WRITES: usize = 2;

/// Empties a machine whose accelerators nobody needs, when the services that
/// keep it rented have room elsewhere: they move, and it goes back.
pub(super) async fn consolidate(controller: &Controller) {
    let pause = controller.settings.worker_lease();
    let last = controller.fleet.borrow().consolidated_at;
    if last.is_some_and(|last| last.elapsed() <= pause) {
        return;
    }
    let Some(eviction) = find_eviction(controller) else {
        return;
    };
    controller.fleet.borrow_mut().consolidated_at = Some(Instant::now());
    let Eviction {
        machine,
        guards,
        writes,
    } = eviction;
    let services = writes.len().saturating_sub(MACHINE_WRITES);
    match controller
        .commit(RequestClass::Publication, guards, writes)
        .await
    {
        Ok(_) => tracing::info!(machine, services, "emptied: its services move"),
        Err(error) => tracing::debug!(machine, %error, "not emptied"),
    }
}

/// The commit that empties a machine.
struct Eviction {
    machine: String,
    guards: Vec<Guard>,
    writes: Vec<Write>,
}

/// A machine that could be emptied.
struct Candidate<'a> {
    id: &'a String,
    services: Vec<&'a str>,
    /// What its price comes to for each service that has to move.
    gain: f64,
}

fn find_eviction(controller: &Controller) -> Option<Eviction> {
    let replica = controller.replica.borrow();
    let gpu = replica.gpu_spec.as_ref()?;
    if gpu_work_waits(&replica) {
        return None;
    }
    let search = Search {
        replica: &replica,
        settings: &controller.settings,
        plan: Plan::from_replica(&replica),
        hints: PlacementHints::new(&replica, controller.name()),
        kept_places: KEPT_GANGS * gpu.tasks as usize,
    };
    let candidate = search.best()?;
    eviction_of(&replica, &candidate)
}

/// Whether tasks that need accelerators wait for room.
fn gpu_work_waits(replica: &Replica) -> bool {
    replica.open.iter().any(|(_, id)| {
        let job = replica.jobs.get(id).map(|entry| &entry.value);
        job.is_some_and(|job| {
            let spec = job.spec.as_ref();
            !job.is_doubtful() && job.waiting() > 0 && spec.is_some_and(|spec| spec.need.gpus.0 > 0)
        })
    })
}

/// A search for the machine whose emptying gains most.
struct Search<'a> {
    replica: &'a Replica,
    settings: &'a Settings,
    plan: Plan,
    hints: PlacementHints<'a>,
    /// Places that stay for work on accelerators.
    kept_places: usize,
}

impl<'a> Search<'a> {
    fn best(&self) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate> = None;
        for (id, entry) in &self.replica.machines {
            let Some(candidate) = self.candidate(id, &entry.value) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| candidate.gain > best.gain) {
                best = Some(candidate);
            }
        }
        best
    }

    /// The machine if it has accelerators, runs services alone, and these have
    /// room elsewhere.
    fn candidate(&self, id: &'a String, machine: &Machine) -> Option<Candidate<'a>> {
        let kind = self.replica.type_of(&machine.kind)?;
        if machine.lifecycle != MachineLifecycle::Active || kind.gpus <= 0.0 {
            return None;
        }
        let services = self.services_on(id)?;
        let mut without = self.plan.clone();
        if let Some(spot) = without.slot_index_of(self.replica, id) {
            without.plan_slots[spot].free = Resources::default();
        }
        if spare_places(self.replica, &without, None) < self.kept_places {
            return None;
        }
        let all_fit = services
            .iter()
            .all(|job| self.fits_elsewhere(job, id, &mut without));
        let gain = price_of(kind, machine.spot) / services.len() as f64;
        all_fit.then_some(Candidate { id, services, gain })
    }

    /// The services on a machine, if it runs nothing else and they fit one
    /// commit.
    fn services_on(&self, id: &str) -> Option<Vec<&'a str>> {
        let mut services = Vec::new();
        for (job, entry) in self.replica.jobs_on(id) {
            let spec = entry.value.spec.as_ref();
            let is_service = spec.is_some_and(|spec| spec.kind == Kind::Service);
            if !is_service || !entry.value.is_open() {
                return None;
            }
            services.push(job);
        }
        let fits_commit = services.len() + MACHINE_WRITES <= self.settings.txn_ops();
        (!services.is_empty() && fits_commit).then_some(services)
    }

    /// Whether a service's replicas on a machine have places in the plan, which
    /// it then takes.
    fn fits_elsewhere(&self, job: &str, machine: &str, plan: &mut Plan) -> bool {
        let recorded = &self.replica.jobs[job].value;
        let mut moved = recorded.clone();
        let Some(spec) = moved.spec.clone() else {
            return false;
        };
        // What it would be after the stop: those tasks wait.
        let mut count = 0;
        for run in recorded.runs.iter().filter(|run| run.machine == machine) {
            for task in run.tasks.iter() {
                moved.release(machine, run.attempt, task, Outcome::Lost);
                count += 1;
            }
        }
        plan.team_usage.entry(spec.team.clone()).and_modify(|used| {
            *used -= spec.need.times(count);
        });
        match scheduler::find_placements(
            &moved,
            &spec,
            plan,
            &self.hints,
            self.settings,
            AcceleratorProtection::Strict,
        ) {
            Ok(places) if places.len() >= count => {
                for place in &places {
                    plan.reserve(place, &spec.team, spec.need);
                }
                true
            }
            _ => false,
        }
    }
}

/// Drains the machine, takes it out of its zone shard's record, and stops its
/// services there.
fn eviction_of(replica: &Replica, candidate: &Candidate) -> Option<Eviction> {
    let id = candidate.id;
    let mut machine = replica.machines.get(id)?.value.clone();
    machine.lifecycle = MachineLifecycle::Draining;
    let shard_id = replica.zone_shard_of(id)?.to_string();
    let shard = replica.zone_shards.get(&shard_id)?;
    let mut record = shard.value.clone();
    record.machines.remove(id);
    let mut machine_shards = MachineShardEdits::new(replica);
    machine_shards.put(id, machine);
    let (mut guards, mut writes) = machine_shards.into_commit();
    guards.push(guard(zone_shard_key(&shard_id), shard.version));
    writes.push(replica.put_zone_shard(&shard_id, &record));
    for job_id in &candidate.services {
        let mut job = replica.jobs[*job_id].value.clone();
        for run in job.runs.iter_mut().filter(|run| run.machine == *id) {
            run.stop = true;
        }
        job.cleared = true;
        guards.push(guard(job_key(job_id), replica.job_version(job_id)));
        writes.push(replica.put_job(job_id, &job));
    }
    Some(Eviction {
        machine: id.clone(),
        guards,
        writes,
    })
}
