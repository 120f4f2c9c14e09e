//! Rounds of admission: what waits, in queue order, gets its places in one
//! conditional write per batch. A round takes what has gathered, so that its
//! batches widen with the load.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep, timeout};

use crate::admission::{self, Care, Hints, Plan, Victim, Wait};
use crate::model::{Job, Room, Spec, Team};
use crate::node::{Node, guard, put};
use crate::store::{Class, StoreError};
use crate::view::{View, job_key, team_key, zone_key};
use crate::wire::{Guard, Kind, Write};

/// A job's reason to wait, as the last round that looked at it found.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Reason {
    pub why: Wait,
    #[serde(skip)]
    pub since: Instant,
}

/// Rendezvous hashing: every controller finds the same preferred one among
/// those alive, and only the jobs of a lost one move.
pub fn preferred<'a>(job: &str, alive: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    alive.max_by_key(|node| {
        let mut h = DefaultHasher::new();
        (job, node).hash(&mut h);
        (h.finish(), *node)
    })
}

/// How long a job that failed so often waits before it is tried again.
pub fn back_off(errors: u32, base: Duration) -> Duration {
    match errors {
        0 => Duration::ZERO,
        n => base * 2u32.pow((n - 1).min(5)),
    }
}

#[derive(Default)]
struct Rounds {
    /// When this controller first saw the job in its present version.
    seen: HashMap<String, (u64, Instant)>,
    /// Jobs whose latest failure is waited out until then.
    held: HashMap<String, (u32, Instant)>,
    /// Preemptions made, so that their effect is awaited.
    preempted: HashMap<String, Instant>,
    /// When the whole queue was last gone through.
    noted: Option<Instant>,
}

pub async fn keep_placing(node: Rc<Node>) {
    let mut rounds = Rounds::default();
    let idle = node.settings.report() / 3;
    let least = node.request_gap();
    loop {
        let _ = timeout(idle, node.stir.notified()).await;
        if !node.view.borrow().loaded || !node.has_state() {
            continue;
        }
        let begun = Instant::now();
        // As many commits as it takes; each waits for its answer.
        while let Some(batch) = choose(&node, &mut rounds) {
            let booked = batch.jobs.len();
            match node.commit(Class::Admit, batch.guards, batch.writes).await {
                Ok(_) => {
                    tracing::debug!(jobs = booked, "admitted");
                }
                Err(StoreError::Conflict(keys)) => {
                    // What has changed is on its way: take it in, and decide
                    // again on that.
                    tracing::debug!(?keys, "admission conflict");
                    let before = node.view.borrow().revision;
                    node.hurry();
                    node.wait_revision(before + 1, node.request_gap() * 8).await;
                    sleep(node.store.jitter(node.request_gap() / 2)).await;
                }
                Err(error) => {
                    // It may have happened: the view tells after a barrier.
                    tracing::debug!(%error, "admission not answered");
                    if !node.barrier(node.settings.lease() / 4).await {
                        break;
                    }
                }
            }
        }
        // CPU is scarce: a round that found nothing is not begun at once.
        sleep(least.max(begun.elapsed() / 2)).await;
    }
}

struct Batch {
    jobs: Vec<String>,
    guards: Vec<Guard>,
    writes: Vec<Write>,
}

/// Jobs this controller should place now: its own, and those that their
/// preferred controller has left waiting.
fn mine(node: &Node, rounds: &mut Rounds, view: &View, now: Instant) -> Vec<String> {
    let step_in = node.settings.report() * 2;
    let peers = node.peers.borrow();
    let alive: Vec<&str> = peers.alive(node, now);
    let mut ids = Vec::new();
    rounds
        .seen
        .retain(|id, _| view.jobs.get(id).is_some_and(|e| e.value.is_open()));
    rounds.held.retain(|id, _| rounds.seen.contains_key(id));
    let mut ages = node.ages.borrow_mut();
    ages.retain(|id, _| view.jobs.get(id).is_some_and(|e| e.value.is_open()));
    for (_, id) in &view.open {
        let Some(entry) = view.jobs.get(id) else {
            continue;
        };
        ages.entry(id.clone()).or_insert(now);
        let seen = rounds
            .seen
            .entry(id.clone())
            .or_insert((entry.version, now));
        if seen.0 != entry.version {
            *seen = (entry.version, now);
        }
        if entry.value.waiting() == 0 {
            continue;
        }
        let errors = entry.value.errors;
        if errors > 0 {
            let held = rounds.held.entry(id.clone()).or_insert((0, now));
            if held.0 < errors {
                let base = node.settings.report();
                *held = (errors, now + back_off(errors, base));
            }
            if held.1 > now {
                note(node, id, Wait::BackOff, now);
                continue;
            }
        }
        let preferred = preferred(id, alive.iter().copied());
        if preferred == Some(node.name()) || now.saturating_duration_since(seen.1) > step_in {
            ids.push(id.clone());
        }
    }
    ids
}

pub fn note(node: &Node, id: &str, why: Wait, now: Instant) {
    let mut reasons = node.reasons.borrow_mut();
    match reasons.get_mut(id) {
        Some(r) if r.why == why => {}
        // The renter knows better why there is no room.
        Some(r) if r.why == Wait::Refused && why == Wait::NoRoom => {}
        _ => {
            reasons.insert(id.to_string(), Reason { why, since: now });
        }
    }
}

/// Puts together one commit: as many jobs as it can hold, in queue order.
fn choose(node: &Node, rounds: &mut Rounds) -> Option<Batch> {
    let now = Instant::now();
    let view = node.view.borrow();
    let ids = mine(node, rounds, &view, now);
    // Without work of its own a round now and then still notes why jobs wait:
    // any controller may be asked.
    let notes_due = rounds
        .noted
        .is_none_or(|t| now.saturating_duration_since(t) > node.settings.report());
    if ids.is_empty() && !notes_due {
        return None;
    }
    rounds.noted = Some(now);
    node.reasons
        .borrow_mut()
        .retain(|id, _| view.jobs.get(id).is_some_and(|e| e.value.waiting() > 0));
    let mine: BTreeSet<&str> = ids.iter().map(String::as_str).collect();
    let settings = &node.settings;
    let ops = settings.deployment.state.txn_ops;
    let mut plan = Plan::of(&view);
    // What this round books itself, for the records.
    let mut booked = plan.clone();
    let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
    let mut teams = BTreeSet::new();
    let mut zones = BTreeSet::new();
    let mut blocked = Vec::new();
    // All that wait stand in one queue, whoever places them: what goes first
    // elsewhere keeps its room here, too.
    for id in admission::queue(&view, &plan, settings, &node.ages.borrow(), now) {
        if rounds.held.get(id).is_some_and(|h| h.1 > now) {
            continue;
        }
        let Some(entry) = view.jobs.get(id) else {
            continue;
        };
        let Some(spec) = &entry.value.spec else {
            continue;
        };
        let places = match place(node, &view, &plan, id, &entry.value, spec) {
            Ok(places) => places,
            Err(why) => {
                note(node, id, why, now);
                if !mine.contains(id) {
                    continue;
                }
                if matches!(why, Wait::NoRoom | Wait::NoZone | Wait::Spread) {
                    blocked.push(id.to_string());
                }
                continue;
            }
        };
        if !mine.contains(id) {
            for p in &places {
                plan.take(&p.zone, &p.machine, &spec.team, spec.need);
            }
            continue;
        }
        let new_zones = places
            .iter()
            .map(|p| &p.zone)
            .filter(|z| !zones.contains(*z))
            .collect::<BTreeSet<_>>()
            .len();
        let new_ops = 1 + usize::from(!teams.contains(&spec.team)) + new_zones;
        if jobs.len() + teams.len() + zones.len() + new_ops > ops {
            note(node, id, Wait::Queue, now);
            continue;
        }
        let mut job = entry.value.clone();
        book(&mut job, spec, &places);
        tracing::debug!(
            job = id,
            class = spec.class,
            tasks = places.len(),
            machine = places[0].machine,
            kind = kind_of(&view, &places[0]),
            "places"
        );
        for place in &places {
            plan.take(&place.zone, &place.machine, &spec.team, spec.need);
            booked.take(&place.zone, &place.machine, &spec.team, spec.need);
            zones.insert(place.zone.clone());
        }
        teams.insert(spec.team.clone());
        if job.waiting() == 0 {
            node.reasons.borrow_mut().remove(id);
        } else {
            blocked.push(id.to_string());
            note(node, id, Wait::NoRoom, now);
        }
        jobs.insert(id.to_string(), job);
    }
    if jobs.is_empty() {
        return preempt(node, rounds, &view, &plan, &blocked, now);
    }
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    for (id, job) in &jobs {
        guards.push(guard(job_key(id), view.job_version(id)));
        writes.push(put(job_key(id), job));
    }
    for name in &teams {
        guards.push(guard(team_key(name), view.team_version(name)));
        let used = booked.used(name);
        writes.push(put(team_key(name), &Team { used }));
    }
    for name in &zones {
        guards.push(guard(zone_key(name), view.zone_version(name)));
        writes.push(put(zone_key(name), &booked.zones[name]));
    }
    Some(Batch {
        jobs: jobs.into_keys().collect(),
        guards,
        writes,
    })
}

fn kind_of<'a>(view: &'a View, place: &admission::Place) -> &'a str {
    view.slot(&place.zone, &place.machine)
        .map_or("?", |s| s.kind.as_str())
}

/// Places a job. A service or gang that would stand in the way of work that
/// needs accelerators rather has lower work stopped elsewhere, if it may.
fn place(
    node: &Node,
    view: &View,
    plan: &Plan,
    id: &str,
    job: &Job,
    spec: &Spec,
) -> Result<Vec<admission::Place>, Wait> {
    let hints = Hints { view };
    let settings = &node.settings;
    let strict = admission::fit(job, spec, plan, &hints, settings, Care::Strict);
    if strict.is_err() && spec.kind == Kind::Service && !job.retry.is_empty() {
        // A replica that is down is replaced at once where it is not in the
        // way, even if that keeps a costly machine rented.
        let mild = admission::fit(job, spec, plan, &hints, settings, Care::Mild);
        if mild.is_ok() {
            return mild;
        }
    }
    if strict.is_ok() || spec.kind == Kind::Array || spec.need.gpus.0 > 0 {
        return strict;
    }
    let lax = admission::fit(job, spec, plan, &hints, settings, Care::Lax);
    let coming = with_stops(view, plan);
    let clears = admission::fit(job, spec, &coming, &hints, settings, Care::Strict).is_ok()
        || find_victims(
            node,
            view,
            &BTreeMap::new(),
            &coming,
            id,
            job,
            spec,
            Care::Strict,
        )
        .is_some();
    if clears { strict } else { lax }
}

/// The plan with the room that is being cleared counted as free.
fn with_stops(view: &View, plan: &Plan) -> Plan {
    let mut coming = plan.clone();
    for (_, id) in &view.open {
        let Some(job) = view.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        for run in job.runs.iter().filter(|r| r.stop) {
            let room = spec.need.times(run.tasks.len());
            clear(&mut coming, &run.zone, &run.machine, &spec.team, room);
        }
    }
    coming
}

/// Books the places for the job's next waiting tasks under a new attempt.
pub fn book(job: &mut Job, spec: &Spec, places: &[admission::Place]) {
    job.attempt += 1;
    job.cleared = false;
    let attempt = job.attempt;
    for (i, place) in places.iter().enumerate() {
        let task = if spec.is_gang() {
            Some(i as u32)
        } else {
            job.take_waiting()
        };
        if let Some(task) = task {
            job.book(&place.machine, &place.zone, attempt, task);
        }
    }
}

/// Stops work for blocked jobs that may have it stopped, as many as one
/// commit holds; again for the same job only once the effect has had time to
/// show.
fn preempt(
    node: &Node,
    rounds: &mut Rounds,
    view: &View,
    plan: &Plan,
    blocked: &[String],
    now: Instant,
) -> Option<Batch> {
    let settings = &node.settings;
    let ops = settings.deployment.state.txn_ops;
    let patience = Duration::from_secs_f64(settings.deployment.workers.gang_peer_s) * 2;
    rounds
        .preempted
        .retain(|_, at| now.saturating_duration_since(*at) < patience);
    // The room that is being cleared already counts as coming, once for each
    // job that it will serve.
    let mut coming = with_stops(view, plan);
    let hints = Hints { view };
    let mut changed: BTreeMap<String, Job> = BTreeMap::new();
    for id in blocked {
        let Some(job) = view.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        let take = |coming: &mut Plan, care| {
            let places = admission::fit(job, spec, coming, &hints, settings, care);
            for p in places.iter().flatten() {
                coming.take(&p.zone, &p.machine, &spec.team, spec.need);
            }
            places.is_ok()
        };
        if take(&mut coming, Care::Strict) || rounds.preempted.contains_key(id) {
            continue;
        }
        let found = [Care::Strict, Care::Lax].into_iter().find_map(|care| {
            let victims = find_victims(node, view, &changed, &coming, id, job, spec, care)?;
            Some((victims, care))
        });
        let Some((victims, care)) = found else {
            continue;
        };
        let new: BTreeSet<&str> = victims
            .iter()
            .map(|v| v.job.as_str())
            .chain([id.as_str()])
            .filter(|j| !changed.contains_key(*j))
            .collect();
        if changed.len() + new.len() > ops {
            break;
        }
        rounds.preempted.insert(id.clone(), now);
        for victim in &victims {
            tracing::info!(
                job = victim.job,
                machine = victim.machine,
                tasks = victim.tasks,
                for_job = id,
                "preempted"
            );
            let Some(entry) = view.jobs.get(&victim.job) else {
                continue;
            };
            let stopped = changed
                .entry(victim.job.clone())
                .or_insert_with(|| entry.value.clone());
            if let Some(s) = &stopped.spec {
                let room = s.need.times(victim.tasks);
                clear(&mut coming, &victim.zone, &victim.machine, &s.team, room);
            }
            stopped.stop_tasks(&victim.machine, victim.tasks);
        }
        changed
            .entry(id.clone())
            .or_insert_with(|| job.clone())
            .cleared = true;
        take(&mut coming, care);
    }
    if changed.is_empty() {
        return None;
    }
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    for (id, job) in &changed {
        guards.push(guard(job_key(id), view.job_version(id)));
        writes.push(put(job_key(id), job));
    }
    Some(Batch {
        jobs: vec![],
        guards,
        writes,
    })
}

fn clear(plan: &mut Plan, zone: &str, machine: &str, team: &str, room: Room) {
    if let Some(slot) = plan
        .zones
        .get_mut(zone)
        .and_then(|z| z.machines.get_mut(machine))
    {
        slot.free += room;
    }
    if let Some(used) = plan.teams.get_mut(team) {
        *used -= room;
    }
}

/// One of a few classes that a controller puts a job into.
fn share_of(node: &str, job: &str) -> u64 {
    let mut h = DefaultHasher::new();
    (node, job).hash(&mut h);
    h.finish() % 4
}

/// The least work whose end makes room for the job: one task after another,
/// of the lowest priority and the youngest job first, until it fits.
#[allow(clippy::too_many_arguments)]
fn find_victims(
    node: &Node,
    view: &View,
    changed: &BTreeMap<String, Job>,
    coming: &Plan,
    id: &str,
    job: &Job,
    spec: &Spec,
    care: Care,
) -> Option<Vec<Victim>> {
    let settings = &node.settings;
    let terms = settings.team(&spec.team)?;
    // Independent tasks that give way to independent tasks lose more than
    // they gain: such work ends soon and makes room by itself. They stop
    // lower priorities only.
    let tasks = if spec.is_gang() {
        spec.tasks as usize
    } else {
        1
    };
    let inside = spec.kind != Kind::Array
        && admission::within_guarantee(terms, &coming.used(&spec.team), spec, tasks);
    let borrows = |team: &str, plan: &Plan| {
        settings
            .team(team)
            .is_some_and(|t| !t.guarantees(&plan.used(team)))
    };
    let mut candidates = Vec::new();
    for (_, other) in &view.open {
        if other == id {
            continue;
        }
        // As this round has left it so far.
        let known = view.jobs.get(other).map(|e| &e.value);
        let Some(entry) = changed.get(other).or(known) else {
            continue;
        };
        let Some(victim) = &entry.spec else {
            continue;
        };
        if !admission::may_preempt(spec, inside, victim, borrows(&victim.team, coming)) {
            continue;
        }
        // Work on accelerators is the last to go for work without.
        if care == Care::Strict && spec.need.gpus.0 == 0 && victim.need.gpus.0 > 0 {
            continue;
        }
        for run in entry.runs.iter().filter(|r| !r.stop) {
            let slot = view.slot(&run.zone, &run.machine);
            if slot.is_some_and(|s| spec.allows(&s.kind, &run.zone, s.spot)) {
                let no_image = !view.has_image(&run.machine, &spec.image);
                let order = (
                    victim.priority,
                    no_image,
                    // Controllers that clear room at once begin in
                    // different places.
                    share_of(node.name(), other),
                    std::cmp::Reverse(entry.born),
                );
                candidates.push((order, other, run, victim));
            }
        }
    }
    candidates.sort_by_key(|c| c.0);
    let hints = Hints { view };
    let mut after = coming.clone();
    let mut victims: Vec<Victim> = Vec::new();
    for (_, other, run, victim) in candidates {
        let whole = victim.is_gang();
        let mut left = run.tasks.len();
        while left > 0 {
            // Borrowed work counts as borrowed only down to the guarantee.
            if !admission::may_preempt(spec, inside, victim, borrows(&victim.team, &after)) {
                break;
            }
            let n = if whole { left } else { 1 };
            left -= n;
            clear(
                &mut after,
                &run.zone,
                &run.machine,
                &victim.team,
                victim.need.times(n),
            );
            match victims.last_mut() {
                Some(v) if v.job == *other && v.machine == run.machine => v.tasks += n,
                _ => victims.push(Victim {
                    job: other.clone(),
                    machine: run.machine.clone(),
                    zone: run.zone.clone(),
                    tasks: n,
                }),
            }
            if let Ok(places) = admission::fit(job, spec, &after, &hints, settings, care) {
                // Only what was cleared where the job will be is needed.
                let used: BTreeSet<&str> = places.iter().map(|p| p.machine.as_str()).collect();
                victims.retain(|v| used.contains(v.machine.as_str()));
                return Some(victims);
            }
        }
    }
    None
}
