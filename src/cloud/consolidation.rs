//! Consolidation: services move off machines whose accelerators nobody needs.

use tokio::time::Instant;

use super::headroom::spare_places;
use super::offers::cost;
use crate::admission::{self, Care, Hints, Plan};
use crate::draft::Groups;
use crate::model::{Life, Room};
use crate::node::{Node, guard};
use crate::store::Class;
use crate::view::{job_key, part_key};
use crate::wire::{Guard, Kind, Write};

/// Empties a machine whose accelerators nobody needs, when the services that
/// keep it rented have room elsewhere: they move, and it goes back.
pub(super) async fn consolidate(node: &Node) {
    let pause = node.settings.lease();
    let due = node
        .fleet
        .borrow()
        .consolidated_at
        .is_none_or(|t| t.elapsed() > pause);
    if !due {
        return;
    }
    let Some((id, guards, writes)) = movable(node) else {
        return;
    };
    node.fleet.borrow_mut().consolidated_at = Some(Instant::now());
    let moved = writes.len().saturating_sub(2);
    match node.commit(Class::Room, guards, writes).await {
        Ok(_) => tracing::info!(machine = id, services = moved, "emptied: its services move"),
        Err(error) => tracing::debug!(machine = id, %error, "not emptied"),
    }
}

fn movable(node: &Node) -> Option<(String, Vec<Guard>, Vec<Write>)> {
    let view = node.view.borrow();
    let settings = &node.settings;
    let gpu = view.gpu_spec.as_ref()?;
    let waits = |id: &String| {
        let job = view.jobs.get(id).map(|e| &e.value);
        let job = job.filter(|j| !j.is_doubtful());
        job.is_some_and(|j| j.waiting() > 0 && j.spec.as_ref().is_some_and(|s| s.need.gpus.0 > 0))
    };
    if view.open.iter().any(|(_, id)| waits(id)) {
        return None;
    }
    let ops = settings.txn_ops();
    let plan = Plan::of(&view);
    // Places that stay for work on accelerators: two of its usual jobs'.
    let home = node.name();
    let hints = Hints::new(&view, home);
    let mut best: Option<(f64, &String, Vec<&str>)> = None;
    for (id, entry) in &view.machines {
        let m = &entry.value;
        let Some(kind) = view.type_of(&m.kind) else {
            continue;
        };
        if m.life != Life::Active || kind.gpus <= 0.0 {
            continue;
        }
        let jobs: Vec<&str> = view.jobs_on(id).map(|(job, _)| job).collect();
        let all_services = view.jobs_on(id).all(|(_, e)| {
            let spec = e.value.spec.as_ref();
            e.value.is_open() && spec.is_some_and(|s| s.kind == Kind::Service)
        });
        if jobs.is_empty() || !all_services || jobs.len() + 2 > ops {
            continue;
        }
        let mut without = plan.clone();
        if let Some(at) = without.find(&view, id) {
            without.spots[at].free = Room::default();
        }
        if spare_places(&view, &without, None) < 2 * gpu.tasks as usize {
            continue;
        }
        let fits = jobs.iter().all(|job| {
            let mut moved = view.jobs[*job].value.clone();
            let Some(spec) = moved.spec.clone() else {
                return false;
            };
            // What it would be after the stop: those tasks wait.
            let mut count = 0;
            for run in view.jobs[*job]
                .value
                .runs
                .iter()
                .filter(|r| r.machine == *id)
            {
                for task in run.tasks.iter() {
                    moved.release(id, run.attempt, task, crate::model::Outcome::Lost);
                    count += 1;
                }
            }
            without.teams.entry(spec.team.clone()).and_modify(|used| {
                *used -= spec.need.times(count);
            });
            match admission::fit(&moved, &spec, &without, &hints, settings, Care::Strict) {
                Ok(places) if places.len() >= count => {
                    for p in &places {
                        without.take(p, &spec.team, spec.need);
                    }
                    true
                }
                _ => false,
            }
        });
        let gain = cost(kind, m.spot) / jobs.len() as f64;
        if fits && best.as_ref().is_none_or(|(g, _, _)| gain > *g) {
            best = Some((gain, id, jobs));
        }
    }
    let (_, id, jobs) = best?;
    let entry = view.machines.get(id)?;
    let mut machine = entry.value.clone();
    machine.life = Life::Draining;
    let part_id = view.part_of(id)?.to_string();
    let part = view.parts.get(&part_id)?;
    let mut record = part.value.clone();
    record.machines.remove(id);
    let mut groups = Groups::new(&view);
    groups.put(id, machine);
    let (mut guards, mut writes) = groups.into_commit();
    guards.push(guard(part_key(&part_id), part.version));
    writes.push(view.put_part(&part_id, &record));
    for job_id in jobs {
        let mut job = view.jobs[job_id].value.clone();
        for run in job.runs.iter_mut().filter(|r| r.machine == *id) {
            run.stop = true;
        }
        job.cleared = true;
        guards.push(guard(job_key(job_id), view.job_version(job_id)));
        writes.push(view.put_job(job_id, &job));
    }
    Some((id.clone(), guards, writes))
}
