//! Whether a job fits, and where: pure decisions on a plan of free room.
//!
//! KEP-2724, "Computing the assignment": a required gang is admitted only when
//! all its tasks fit one topology domain, here a zone, else it waits; a
//! preferred one relaxes upward and is finally admitted spread.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Serialize;
use tokio::time::Instant;

use crate::model::{Amount, Job, Room, Slot, Spec, Zone};
use crate::policy::JobFacts;
use crate::settings::{Settings, TeamTerms};
use crate::view::View;
use crate::wire::Kind;

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
    /// The cloud has refused every machine that would hold it.
    Refused,
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
    let part = |cap: Option<Amount>, used: i64, need: i64| match cap {
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
fn loss(hints: &Hints, zone: &str, slot: &Slot, need: &Room) -> usize {
    let gpus = hints.view.type_of(&slot.kind).map_or(0.0, |k| k.gpus);
    if need.gpus.0 > 0 || gpus <= 0.0 {
        return 0;
    }
    match &hints.view.gpu_spec {
        Some(s) if !s.allows(&slot.kind, zone, slot.spot) => 0,
        Some(s) => slot.free.slots(&s.need) - (slot.free - *need).slots(&s.need),
        None => 1,
    }
}

/// Lower is better. Accelerators are kept for those that need them; then a
/// service looks for its image first, as it should run at once; then the
/// cheaper machine, and the tightest fit, so that others stay whole.
fn rank(spec: &Spec, hints: &Hints, zone: &str, id: &str, slot: &Slot) -> [i64; 7] {
    let kind = hints.view.type_of(&slot.kind);
    let gpus = kind.map_or(0.0, |k| k.gpus);
    let shape_slots = match &hints.view.gpu_spec {
        Some(s) if gpus > 0.0 && spec.need.gpus.0 == 0 => slot.free.slots(&s.need),
        _ => 0,
    };
    let no_image = i64::from(!hints.view.has_image(id, &spec.image));
    let costly = i64::from(spec.spot && !slot.spot);
    let quick = spec.kind == Kind::Service;
    // A service stays for long and would keep a costly machine rented.
    let pins = i64::from(quick && gpus > 0.0 && spec.need.gpus.0 == 0);
    [
        loss(hints, zone, slot, &spec.need) as i64,
        pins,
        if quick { no_image } else { costly },
        if quick { costly } else { no_image },
        shape_slots as i64,
        // Of two places in the way, the one among more accelerators.
        if spec.need.gpus.0 > 0 { 1 } else { -1 } * (gpus * 1000.0) as i64,
        slot.free.cpus.0,
    ]
}

/// How far work without accelerators may stand in their way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Care {
    /// Not at all, and no service keeps their machines rented.
    Strict,
    /// Only in what they cannot use.
    Mild,
    /// If there is no other place.
    Lax,
}

/// Where tasks may go, and how many of this job each zone may still take.
struct Field<'a> {
    spec: &'a Spec,
    hints: &'a Hints<'a>,
    care: Care,
    machines: Vec<(&'a String, &'a String, Slot)>,
    caps: BTreeMap<&'a String, usize>,
}

impl<'a> Field<'a> {
    fn open(&self, zone: &str, slot: &Slot) -> bool {
        if !slot.free.fits(&self.spec.need) {
            return false;
        }
        let view = self.hints.view;
        let kind = view.type_of(&slot.kind);
        let gpus = kind.map_or(0.0, |k| k.gpus);
        let wanted = view
            .gpu_spec
            .as_ref()
            .is_none_or(|s| s.allows(&slot.kind, zone, slot.spot));
        if self.spec.need.gpus.0 > 0 || gpus <= 0.0 || !wanted {
            return true;
        }
        match (self.spec.kind, self.care) {
            // Independent tasks come and go: they never stand in the way of
            // work that needs the accelerators, and they do not keep a
            // machine rented whose accelerators are idle.
            (Kind::Array, _) => {
                slot.free.gpus < Amount::room(gpus)
                    && loss(self.hints, zone, slot, &self.spec.need) == 0
            }
            // What stays for long goes elsewhere if it can.
            (_, Care::Strict) => false,
            (_, Care::Mild) => loss(self.hints, zone, slot, &self.spec.need) == 0,
            (_, Care::Lax) => true,
        }
    }

    fn of(
        zones: impl Iterator<Item = (&'a String, &'a Zone, usize)>,
        spec: &'a Spec,
        hints: &'a Hints<'a>,
        care: Care,
    ) -> Self {
        let mut field = Field {
            spec,
            hints,
            care,
            machines: Vec::new(),
            caps: BTreeMap::new(),
        };
        for (name, zone, cap) in zones {
            field.caps.insert(name, cap);
            for (id, slot) in &zone.machines {
                if spec.allows(&slot.kind, name, slot.spot) && field.open(name, slot) {
                    field.machines.push((name, id, slot.clone()));
                }
            }
        }
        field
    }

    /// Tasks that fit one by one, best machines first; at most `most`. Also
    /// tells how good the places are: lower is better.
    fn fill(mut self, most: usize) -> (Vec<Place>, [i64; 7]) {
        let mut places = Vec::new();
        let mut sum = [0; 7];
        let service = self.spec.kind == Kind::Service;
        // Replicas go to different zones and machines while there are some;
        // other tasks fill the best machine first.
        let mut in_zone: HashMap<&String, i64> = HashMap::new();
        let mut on_machine: HashMap<&String, i64> = HashMap::new();
        while places.len() < most {
            let caps = &self.caps;
            let best = self
                .machines
                .iter_mut()
                .filter(|(zone, _, _)| caps[zone] > 0)
                .map(|(zone, id, slot)| {
                    let rank = rank(self.spec, self.hints, zone, id, slot);
                    let near = if service {
                        let count = |m: &HashMap<&String, i64>, k| m.get(k).copied().unwrap_or(0);
                        (count(&in_zone, zone), count(&on_machine, id))
                    } else {
                        (0, 0)
                    };
                    ((rank[0], near, rank), zone, id, slot)
                })
                .min_by_key(|(key, _, _, _)| *key);
            let Some(((_, _, rank), zone, id, slot)) = best else {
                break;
            };
            for (s, r) in sum.iter_mut().zip(rank) {
                *s += r;
            }
            *in_zone.entry(zone).or_default() += 1;
            *on_machine.entry(id).or_default() += 1;
            let (zone, id) = (*zone, *id);
            // One machine's room is used up before the next is looked at,
            // but for replicas.
            let mut free = slot.clone();
            loop {
                places.push(Place {
                    zone: zone.clone(),
                    machine: id.clone(),
                });
                free.free -= self.spec.need;
                if let Some(cap) = self.caps.get_mut(zone) {
                    *cap -= 1;
                }
                let room = places.len() < most && self.caps[zone] > 0 && self.open(zone, &free);
                if service || !room {
                    break;
                }
            }
            let open = self.open(zone, &free);
            match self.machines.iter().position(|(_, m, _)| *m == id) {
                Some(at) if open => self.machines[at].2 = free,
                Some(at) => {
                    self.machines.swap_remove(at);
                }
                None => {}
            }
        }
        (places, sum)
    }
}

/// Finds places for a job's waiting tasks: all of a gang's or none, as many
/// as there are for independent tasks.
pub fn fit(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<Place>, Wait> {
    let mut places = find(job, spec, plan, hints, settings, care)?;
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
    care: Care,
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
    // Tasks that are still elsewhere bind a job of one zone to theirs.
    let zones: Vec<(&String, &Zone, usize)> = plan
        .zones
        .iter()
        .filter(|(name, _)| !spec.one_zone || per_zone.keys().all(|z| z == name))
        .map(|(name, zone)| {
            let here = per_zone.get(name.as_str()).copied().unwrap_or(0);
            (name, zone, spec.zone_cap().saturating_sub(here))
        })
        .collect();
    if gang || spec.one_zone {
        // KEP-2724: one domain that takes them all; the best such one.
        let mut found: Vec<(Vec<Place>, [i64; 7])> = zones
            .iter()
            .map(|z| Field::of(std::iter::once(*z), spec, hints, care).fill(most))
            .filter(|(places, _)| !places.is_empty())
            .collect();
        found.sort_by_key(|(places, rank)| (std::cmp::Reverse(places.len()), *rank));
        if let Some((places, _)) = found.into_iter().next()
            && (!gang || places.len() == waiting)
        {
            return Ok(places);
        }
        if spec.one_zone {
            return Err(if gang { Wait::NoZone } else { Wait::NoRoom });
        }
    }
    // Relaxed: spread over the zones.
    let capped = zones.iter().any(|(_, _, cap)| *cap < most);
    let (places, _) = Field::of(zones.into_iter(), spec, hints, care).fill(most);
    if places.is_empty() || (gang && places.len() < waiting) {
        return Err(if capped { Wait::Spread } else { Wait::NoRoom });
    }
    Ok(places)
}

/// A job's place in the queue: lower goes first.
#[derive(Debug, Clone, PartialEq, PartialOrd)]
pub struct Rank {
    /// Room has been cleared for it already: the policy does not come into
    /// that, or what was stopped for one job would serve another.
    pub waits_for_room: bool,
    /// The policy's keys.
    pub keys: Vec<f64>,
    pub born: u64,
}

/// How long each open job has been known here; a hint for the queue's order.
pub type Ages = HashMap<String, Instant>;

/// All jobs with waiting tasks, the first to be placed first.
pub fn queue<'a>(
    view: &'a View,
    plan: &Plan,
    settings: &Settings,
    ages: &Ages,
    now: Instant,
) -> Vec<&'a str> {
    let mut queue: Vec<(Rank, &str)> = view
        .open
        .iter()
        .filter_map(|(born, id)| {
            let job = &view.jobs.get(id)?.value;
            let spec = job.spec.as_ref().filter(|_| job.waiting() > 0)?;
            let age = ages
                .get(id)
                .map_or(0.0, |t| now.saturating_duration_since(*t).as_secs_f64());
            let facts = facts(job, spec, plan, settings, view, age);
            let rank = Rank {
                waits_for_room: !job.cleared,
                keys: settings.policy.queue_order(&facts),
                born: *born,
            };
            Some((rank, id.as_str()))
        })
        .collect();
    queue.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
    queue.into_iter().map(|(_, id)| id).collect()
}

/// Whether a job of this age, started now, is too late for every objective of
/// its class. A job without objectives is never late.
pub fn is_late(spec: &Spec, settings: &Settings, age: f64) -> bool {
    let mut any = false;
    for o in &settings.deployment.objectives {
        if o.class.as_ref() != Some(&spec.class) {
            continue;
        }
        let latest = match (o.kind.as_str(), o.within_s, spec.deadline_s) {
            ("wait", Some(within), _) => within,
            ("finished", Some(within), _) => within - spec.estimate_s,
            ("deadline", _, Some(due)) => due - spec.estimate_s,
            _ => continue,
        };
        any = true;
        if age <= latest {
            return false;
        }
    }
    any
}

/// What the policy may know of a job.
pub fn facts(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    settings: &Settings,
    view: &View,
    age: f64,
) -> JobFacts {
    let used = plan.used(&spec.team);
    let on_gpus = spec.need.gpus.0 > 0;
    let (borrows, share) = match settings.team(&spec.team) {
        Some(terms) => {
            let tasks = if spec.is_gang() {
                spec.tasks as usize
            } else {
                1
            };
            let g = terms.guarantee();
            // A team without a guarantee counts as if it had one unit.
            let part = |u: Amount, g: Amount| u.units() / g.units().max(1.0);
            let share = if on_gpus {
                part(used.gpus, g.gpus)
            } else {
                part(used.cpus, g.cpus)
            };
            (!within_guarantee(terms, &used, spec, tasks), share)
        }
        None => (true, f64::MAX),
    };
    let amount = if on_gpus {
        spec.need.gpus
    } else {
        spec.need.cpus
    };
    let work = match spec.kind {
        Kind::Service => 0.0,
        _ => job.waiting() as f64 * spec.estimate_s * amount.units(),
    };
    JobFacts {
        borrows,
        priority: f64::from(spec.priority as u8),
        share,
        late: is_late(spec, settings, age),
        work,
        age_s: age,
        tasks: f64::from(spec.tasks),
        waiting: job.waiting() as f64,
        estimate_s: spec.estimate_s,
        kind: match spec.kind {
            Kind::Array => 0.0,
            Kind::Gang => 1.0,
            Kind::Service => 2.0,
        },
        has_deadline: spec.deadline_s.is_some(),
        boot_s: view.least_boot_s(),
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
    pub zone: String,
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
    // Borrowed work of another team goes back for a guarantee, but for
    // services: what people use now is not ended for what is to begin.
    job_in_guarantee && victim_borrows && victim.team != job.team && victim.kind != Kind::Service
}
