//! Consolidation: services move off machines whose accelerators nobody needs,
//! so that these can go back.

use tokio::time::Instant;

use super::headroom::spare_places;
use super::offers::price_of;
use crate::admission::{self, Care, Hints, Plan};
use crate::draft::Groups;
use crate::model::{Life, Machine, Outcome, Room};
use crate::node::{Node, guard};
use crate::settings::Settings;
use crate::store::Class;
use crate::view::{View, job_key, part_key};
use crate::wire::{Guard, Kind, Write};

/// Places for so many of the usual jobs on accelerators stay free.
const KEPT_GANGS: usize = 2;

/// Writes of the commit beside the jobs' records: the machine's group and part.
const MACHINE_WRITES: usize = 2;

/// Empties a machine whose accelerators nobody needs, when the services that
/// keep it rented have room elsewhere: they move, and it goes back.
pub(super) async fn consolidate(node: &Node) {
    let pause = node.settings.lease();
    let last = node.fleet.borrow().consolidated_at;
    if last.is_some_and(|last| last.elapsed() <= pause) {
        return;
    }
    let Some(eviction) = find_eviction(node) else {
        return;
    };
    node.fleet.borrow_mut().consolidated_at = Some(Instant::now());
    let Eviction {
        machine,
        guards,
        writes,
    } = eviction;
    let services = writes.len().saturating_sub(MACHINE_WRITES);
    match node.commit(Class::Room, guards, writes).await {
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

fn find_eviction(node: &Node) -> Option<Eviction> {
    let view = node.view.borrow();
    let gpu = view.gpu_spec.as_ref()?;
    if gpu_work_waits(&view) {
        return None;
    }
    let search = Search {
        view: &view,
        settings: &node.settings,
        plan: Plan::of(&view),
        hints: Hints::new(&view, node.name()),
        kept_places: KEPT_GANGS * gpu.tasks as usize,
    };
    let candidate = search.best()?;
    eviction_of(&view, &candidate)
}

/// Whether tasks that need accelerators wait for room.
fn gpu_work_waits(view: &View) -> bool {
    view.open.iter().any(|(_, id)| {
        let job = view.jobs.get(id).map(|entry| &entry.value);
        job.is_some_and(|job| {
            let spec = job.spec.as_ref();
            !job.is_doubtful() && job.waiting() > 0 && spec.is_some_and(|spec| spec.need.gpus.0 > 0)
        })
    })
}

/// A search for the machine whose emptying gains most.
struct Search<'a> {
    view: &'a View,
    settings: &'a Settings,
    plan: Plan,
    hints: Hints<'a>,
    /// Places that stay for work on accelerators.
    kept_places: usize,
}

impl<'a> Search<'a> {
    fn best(&self) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate> = None;
        for (id, entry) in &self.view.machines {
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
        let kind = self.view.type_of(&machine.kind)?;
        if machine.life != Life::Active || kind.gpus <= 0.0 {
            return None;
        }
        let services = self.services_on(id)?;
        let mut without = self.plan.clone();
        if let Some(spot) = without.find(self.view, id) {
            without.spots[spot].free = Room::default();
        }
        if spare_places(self.view, &without, None) < self.kept_places {
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
        for (job, entry) in self.view.jobs_on(id) {
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
        let recorded = &self.view.jobs[job].value;
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
        plan.teams.entry(spec.team.clone()).and_modify(|used| {
            *used -= spec.need.times(count);
        });
        match admission::fit(
            &moved,
            &spec,
            plan,
            &self.hints,
            self.settings,
            Care::Strict,
        ) {
            Ok(places) if places.len() >= count => {
                for place in &places {
                    plan.take(place, &spec.team, spec.need);
                }
                true
            }
            _ => false,
        }
    }
}

/// Drains the machine, takes it out of its part's record, and stops its
/// services there.
fn eviction_of(view: &View, candidate: &Candidate) -> Option<Eviction> {
    let id = candidate.id;
    let mut machine = view.machines.get(id)?.value.clone();
    machine.life = Life::Draining;
    let part_id = view.part_of(id)?.to_string();
    let part = view.parts.get(&part_id)?;
    let mut record = part.value.clone();
    record.machines.remove(id);
    let mut groups = Groups::new(view);
    groups.put(id, machine);
    let (mut guards, mut writes) = groups.into_commit();
    guards.push(guard(part_key(&part_id), part.version));
    writes.push(view.put_part(&part_id, &record));
    for job_id in &candidate.services {
        let mut job = view.jobs[*job_id].value.clone();
        for run in job.runs.iter_mut().filter(|run| run.machine == *id) {
            run.stop = true;
        }
        job.cleared = true;
        guards.push(guard(job_key(job_id), view.job_version(job_id)));
        writes.push(view.put_job(job_id, &job));
    }
    Some(Eviction {
        machine: id.clone(),
        guards,
        writes,
    })
}
