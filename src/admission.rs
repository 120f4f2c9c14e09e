//! Whether a job fits, and where: pure decisions on a plan of free room.
//!
//! KEP-2724, "Computing the assignment": a required gang is admitted only when
//! all its tasks fit one topology domain, here a zone, else it waits; a
//! preferred one relaxes upward and is finally admitted spread.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;

use crate::model::{Job, Room, Slot, Spec, Zone};
use crate::settings::{Settings, TeamTerms};
use crate::view::View;
use crate::wire::{Kind, Priority};

/// Why a job has to wait, as the decision found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// No zone has room for the whole gang, or no machine for a task.
    NoRoom,
    /// No single zone holds a gang that must stay in one.
    NoZone,
    /// The team is at its limit.
    TeamLimit,
    /// Tasks of an earlier attempt are not surely gone yet.
    OldAttempt,
    /// It failed before and is tried again later.
    BackOff,
    /// Its tasks may not all be in the zones that have room.
    Spread,
    /// More tasks would not fit into the job's record.
    RecordFull,
    /// Other work goes first in this round.
    Queue,
}

/// Free room as a round plans with it: what the records say, less what the
/// round has given out already.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub zones: BTreeMap<String, Zone>,
    pub teams: HashMap<String, Room>,
}

impl Plan {
    pub fn of(view: &View) -> Self {
        Plan {
            zones: view
                .zones
                .iter()
                .map(|(k, e)| (k.clone(), e.value.clone()))
                .collect(),
            teams: view
                .teams
                .iter()
                .map(|(k, e)| (k.clone(), e.value.used))
                .collect(),
        }
    }

    pub fn used(&self, team: &str) -> Room {
        self.teams.get(team).copied().unwrap_or_default()
    }

    pub fn take(&mut self, zone: &str, machine: &str, team: &str, need: Room) {
        if let Some(slot) = self
            .zones
            .get_mut(zone)
            .and_then(|z| z.machines.get_mut(machine))
        {
            slot.free -= need;
        }
        *self.teams.entry(team.to_string()).or_default() += need;
    }
}

/// One task's place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    pub zone: String,
    pub machine: String,
}

/// How many more tasks the team's limit lets run.
pub fn team_slots(terms: &TeamTerms, used: &Room, need: &Room) -> usize {
    let (cpus, gpus) = terms.limit();
    let part = |cap: Option<crate::model::Amount>, used: i64, need: i64| match cap {
        Some(cap) if need > 0 => ((cap.0 - used).max(0) / need) as usize,
        _ => usize::MAX,
    };
    part(cpus, used.cpus.0, need.cpus.0).min(part(gpus, used.gpus.0, need.gpus.0))
}

/// How many of `places` the job's record can hold: every booked or retried
/// task may need a range of its own, every machine and attempt a run.
pub fn record_slots(job: &Job, places: &[Place], value_bytes: usize) -> usize {
    const FIXED: usize = 1024;
    const TASK: usize = 16;
    const RUN: usize = 110;
    let mut size = FIXED + (job.booked() + job.retry.len()) * TASK + job.runs.len() * RUN;
    let mut machines = HashSet::new();
    for (n, place) in places.iter().enumerate() {
        size += TASK;
        if machines.insert(&place.machine) {
            size += RUN;
        }
        if size > value_bytes {
            return n;
        }
    }
    places.len()
}

/// Hints for choosing among machines with room; none of them is needed.
pub struct Hints<'a> {
    pub view: &'a View,
}

/// How many tasks of the accelerators' usual shape lose their place on this
/// machine if `need` is taken from it. Work without accelerators is kept off
/// them only as far as it is in the way: what they cannot use is free to it.
fn loss(hints: &Hints, slot: &Slot, need: &Room) -> usize {
    let gpus = hints.view.type_of(&slot.kind).map_or(0.0, |k| k.gpus);
    if need.gpus.0 > 0 || gpus <= 0.0 {
        return 0;
    }
    match &hints.view.gpu_shape {
        Some(shape) => slot.free.slots(shape) - (slot.free - *need).slots(shape),
        None => 1,
    }
}

/// Lower is better. Accelerators are kept for those that need them; then a
/// service looks for its image first, as it should run at once; then the
/// cheaper machine, and the tightest fit, so that others stay whole.
fn rank(spec: &Spec, hints: &Hints, id: &str, slot: &Slot) -> [i64; 6] {
    let kind = hints.view.type_of(&slot.kind);
    let gpus = kind.map_or(0.0, |k| k.gpus);
    let shape_slots = match &hints.view.gpu_shape {
        Some(shape) if gpus > 0.0 && spec.need.gpus.0 == 0 => slot.free.slots(shape),
        _ => 0,
    };
    let no_image = i64::from(!hints.view.has_image(id, &spec.image));
    let costly = i64::from(spec.spot && !slot.spot);
    let quick = spec.kind == Kind::Service;
    [
        loss(hints, slot, &spec.need) as i64,
        if quick { no_image } else { costly },
        if quick { costly } else { no_image },
        shape_slots as i64,
        (gpus * 1000.0) as i64,
        slot.free.cpus.0,
    ]
}

/// Tasks that fit a zone one by one, best machines first; at most `most`.
fn fill_zone(spec: &Spec, name: &str, zone: &Zone, hints: &Hints, most: usize) -> Vec<Place> {
    let open = |slot: &Slot| {
        slot.free.fits(&spec.need)
            // Independent tasks come and go: they do not stand in the way of
            // work that needs the accelerators.
            && (spec.kind != Kind::Array || loss(hints, slot, &spec.need) == 0)
    };
    let mut machines: Vec<(&String, Slot)> = zone
        .machines
        .iter()
        .filter(|(_, s)| spec.allows(&s.kind, name, s.spot) && open(s))
        .map(|(id, s)| (id, s.clone()))
        .collect();
    let mut places = Vec::new();
    // A service's replicas go to different machines while there are some;
    // other tasks fill the best machine first.
    let mut used: HashSet<&String> = HashSet::new();
    while places.len() < most {
        let best = machines.iter_mut().min_by_key(|(id, slot)| {
            let again = spec.kind == Kind::Service && used.contains(id);
            (again, rank(spec, hints, id, slot))
        });
        let Some((id, slot)) = best else { break };
        used.insert(id);
        loop {
            places.push(Place {
                zone: name.to_string(),
                machine: id.to_string(),
            });
            slot.free -= spec.need;
            let stay = spec.kind == Kind::Array && open(slot) && places.len() < most;
            if !stay {
                break;
            }
        }
        machines.retain(|(_, s)| open(s));
    }
    places
}

/// Finds places for a job's waiting tasks: all of a gang's or none, as many
/// as there are for independent tasks.
pub fn fit(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
) -> Result<Vec<Place>, Wait> {
    let mut places = find(job, spec, plan, hints, settings)?;
    let slots = record_slots(job, &places, settings.value_bytes());
    if slots == 0 || (spec.is_gang() && slots < places.len()) {
        return Err(Wait::RecordFull);
    }
    places.truncate(slots);
    Ok(places)
}

fn find(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
) -> Result<Vec<Place>, Wait> {
    let waiting = job.waiting();
    if waiting == 0 {
        return Err(Wait::OldAttempt);
    }
    let Some(terms) = settings.team(&spec.team) else {
        return Err(Wait::TeamLimit);
    };
    let gang = spec.is_gang();
    let by_team = team_slots(terms, &plan.used(&spec.team), &spec.need);
    let most = waiting.min(by_team);
    if most == 0 || (gang && most < waiting) {
        return Err(Wait::TeamLimit);
    }
    let per_zone = job.per_zone();
    // What each zone can take, the one with most room for this job first.
    let mut found: Vec<(String, Vec<Place>)> = Vec::new();
    let mut capped = false;
    for (name, zone) in &plan.zones {
        if spec.one_zone && per_zone.keys().any(|z| z != name) {
            // Tasks that are still elsewhere bind the others to their zone.
            continue;
        }
        let here = per_zone.get(name.as_str()).copied().unwrap_or(0);
        let cap = spec.zone_cap().saturating_sub(here);
        capped |= cap < most;
        let places = fill_zone(spec, name, zone, hints, most.min(cap));
        if !places.is_empty() {
            found.push((name.clone(), places));
        }
    }
    if found.is_empty() {
        return Err(if capped { Wait::Spread } else { Wait::NoRoom });
    }
    found.sort_by_key(|(_, places)| std::cmp::Reverse(places.len()));
    if gang {
        if let Some((_, places)) = found.iter().find(|(_, p)| p.len() == waiting) {
            return Ok(places.clone());
        }
        if spec.one_zone {
            return Err(Wait::NoZone);
        }
    }
    if spec.one_zone {
        // Independent tasks bound to one zone: the one that takes most.
        return Ok(found.swap_remove(0).1);
    }
    let places: Vec<Place> = if spec.kind == Kind::Service {
        interleave(found, most)
    } else {
        found.into_iter().flat_map(|(_, p)| p).take(most).collect()
    };
    if gang && places.len() < waiting {
        return Err(Wait::NoRoom);
    }
    Ok(places)
}

/// Takes from the zones in turn, so that no zone's loss takes all replicas.
fn interleave(found: Vec<(String, Vec<Place>)>, most: usize) -> Vec<Place> {
    let mut zones: Vec<_> = found.into_iter().map(|(_, p)| p.into_iter()).collect();
    let mut places = Vec::new();
    loop {
        let before = places.len();
        for zone in &mut zones {
            if places.len() < most
                && let Some(p) = zone.next()
            {
                places.push(p);
            }
        }
        if places.len() == before {
            return places;
        }
    }
}

/// A job's place in the queue: lower goes first.
#[derive(Debug, Clone, PartialEq, PartialOrd)]
pub struct Rank {
    /// Work that fits its team's guarantee goes before borrowed room.
    pub borrows: bool,
    pub priority: std::cmp::Reverse<Priority>,
    /// The team's use over its guarantee.
    pub share: f64,
    pub born: u64,
}

/// All jobs with waiting tasks, the first to be placed first.
pub fn queue<'a>(view: &'a View, plan: &Plan, settings: &Settings) -> Vec<&'a str> {
    let mut queue: Vec<(Rank, &str)> = view
        .open
        .iter()
        .filter_map(|(_, id)| {
            let job = &view.jobs.get(id)?.value;
            let spec = job.spec.as_ref()?;
            (job.waiting() > 0).then(|| (queue_rank(job, spec, plan, settings), id.as_str()))
        })
        .collect();
    queue.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
    queue.into_iter().map(|(_, id)| id).collect()
}

pub fn queue_rank(job: &Job, spec: &Spec, plan: &Plan, settings: &Settings) -> Rank {
    let used = plan.used(&spec.team);
    let (borrows, share) = match settings.team(&spec.team) {
        Some(terms) => {
            let tasks = if spec.is_gang() {
                spec.tasks as usize
            } else {
                1
            };
            let g = terms.guarantee();
            let part = |u: i64, g: i64| u as f64 / (g.max(1)) as f64;
            let share = if spec.need.gpus.0 > 0 {
                part(used.gpus.0, g.gpus.0.max(1000))
            } else {
                part(used.cpus.0, g.cpus.0.max(1000))
            };
            (!within_guarantee(terms, &used, spec, tasks), share)
        }
        None => (true, f64::MAX),
    };
    Rank {
        borrows,
        priority: std::cmp::Reverse(spec.priority),
        share,
        born: job.born,
    }
}

/// Whether `tasks` more of this job stay within the team's guarantee.
pub fn within_guarantee(terms: &TeamTerms, used: &Room, spec: &Spec, tasks: usize) -> bool {
    let with = *used + spec.need.times(tasks);
    let g = terms.guarantee();
    with.cpus <= g.cpus && (spec.need.gpus.0 == 0 || g.gpus.0 == 0 || with.gpus <= g.gpus)
}

/// Work that may be stopped for another job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    pub job: String,
    pub machine: String,
    pub tasks: usize,
}

/// Whether PROTOCOL lets work of `victim` be stopped for `job`.
pub fn may_preempt(
    job: &Spec,
    job_in_guarantee: bool,
    victim: &Spec,
    victim_borrows: bool,
) -> bool {
    if victim.priority < job.priority {
        return true;
    }
    // Borrowed work of another team goes back for a guarantee.
    job_in_guarantee && victim_borrows && victim.team != job.team
}
