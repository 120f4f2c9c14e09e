//! Whether a job fits, and where: pure decisions on a plan of free room.
//!
//! KEP-2724, "Computing the assignment": a required gang is admitted only when
//! all its tasks fit one topology domain, here a zone, else it waits; a
//! preferred one relaxes upward and is finally admitted spread.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashSet};
use std::rc::Rc;

use foldhash::HashMap;
use serde::Serialize;
use tokio::time::Instant;

use crate::model::{Amount, FAILED_ON, Job, Room, Spec};
use crate::pipeline::Standing;
use crate::policy::JobFacts;
use crate::settings::{Settings, TeamTerms};
use crate::text;
use crate::view::{Spot, View};
use crate::wire::{Kind, MachineType, Priority};

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
    /// It fails wherever it runs: a part of it is tried now and then.
    Fails,
    /// Its tasks may not all be in the zones that have room.
    Spread,
    /// More tasks would not fit into the job's record.
    RecordFull,
    /// Other work goes first in this round.
    Queue,
    /// The cloud has refused every machine that would hold it.
    Refused,
}

/// Stands for a machine that has no name yet, as it is not rented yet.
pub const UNNAMED: u32 = u32::MAX;

/// Free room as a round plans with it: what the view's bookings leave, less
/// what the round has given out already. Copied often, so it holds no text.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub spots: Vec<Spot>,
    /// Where a machine stands in `spots`, by its number.
    at: Vec<u32>,
    pub teams: HashMap<String, Room>,
}

impl Plan {
    pub fn of(view: &View) -> Self {
        let mut plan = Plan {
            spots: view.spots().map(|s| view.with_room(s)).collect(),
            at: vec![UNNAMED; view.machine_names.len()],
            teams: view.teams_used().clone(),
        };
        for (at, spot) in plan.spots.iter().enumerate() {
            plan.at[spot.machine as usize] = at as u32;
        }
        plan
    }

    pub fn used(&self, team: &str) -> Room {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Where a machine stands among the spots, if it takes work.
    pub fn find(&self, view: &View, machine: &str) -> Option<usize> {
        let number = view.machine_names.find(machine)?;
        let at = *self.at.get(number as usize)?;
        (at != UNNAMED).then_some(at as usize)
    }

    /// Room on a machine that is yet to come.
    pub fn add(&mut self, class: u32, free: Room) {
        self.spots.push(Spot {
            machine: UNNAMED,
            part: UNNAMED,
            class,
            free,
        });
    }

    pub fn take(&mut self, place: &Place, team: &str, need: Room) {
        self.spots[place.at].free -= need;
        match self.teams.get_mut(team) {
            Some(used) => *used += need,
            None => {
                self.teams.insert(team.to_string(), need);
            }
        }
    }

    /// Room that is, or will be, given back.
    pub fn give(&mut self, view: &View, machine: &str, team: &str, room: Room) {
        match self.find(view, machine) {
            Some(at) => self.free(at, team, room),
            None => self.give_team(team, room),
        }
    }

    /// The same where the machine's place among the spots is known.
    pub fn free(&mut self, at: usize, team: &str, room: Room) {
        self.spots[at].free += room;
        self.give_team(team, room);
    }

    fn give_team(&mut self, team: &str, room: Room) {
        if let Some(used) = self.teams.get_mut(team) {
            *used -= room;
        }
    }
}

/// One task's place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Where the machine stands in the plan.
    pub at: usize,
    pub machine: Rc<str>,
    pub zone: Rc<str>,
    /// The part of the zone's record that has the machine.
    pub part: Rc<str>,
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
/// task may come to stand alone, every machine and attempt takes a run. Fresh
/// tasks share one attempt, see `placement::book`.
pub fn record_slots(job: &Job, places: &[Place], value_bytes: usize, short: bool) -> usize {
    if short {
        return short_record_slots(job, places, value_bytes);
    }
    // Keys, counters, and the mark of a run that was split for a stop.
    const FIXED: usize = 240;
    const RUN: usize = 72;
    let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
    // A number and its comma; of two that touch, the dash between.
    let task = digits(u64::from(job.tasks)) + 1;
    let run =
        |machine: &str, zone: &str, attempt| machine.len() + zone.len() + digits(attempt) + RUN;
    let spec = serde_json::to_vec(&job.spec).map_or(value_bytes, |v| v.len());
    // What it awaits is left out with its first booking.
    let awaits = job.spec.as_ref().map_or(0, Spec::awaits_bytes);
    let spec = spec - awaits.min(spec);
    // The machines that it may come to have failed on, with quotes and comma.
    let named = job.runs.iter().map(|r| r.machine.len());
    let named = named.chain(places.iter().map(|p| p.machine.len()));
    let named = named.chain(job.failed_on.iter().map(String::len));
    let failed_on = FAILED_ON * (named.max().unwrap_or(0) + 3);
    let mut size = FIXED + spec + failed_on + (job.booked() + job.retry.len()) * task;
    for r in &job.runs {
        size += run(&r.machine, &r.zone, r.attempt);
    }
    let mut machines = HashSet::new();
    for (n, place) in places.iter().enumerate() {
        size += task;
        if machines.insert(place.at) {
            size += run(&place.machine, &place.zone, job.attempt + 2);
            // Retried and fresh tasks may meet on one machine.
            if !job.retry.is_empty() {
                size += run(&place.machine, &place.zone, 1);
            }
        }
        if size > value_bytes {
            return n;
        }
    }
    places.len()
}

/// What a job's short record takes beside its table, runs and tasks: counters as
/// they may come to be, its spec, and machines that it may come to have failed on.
fn short_fixed(job: &Job, longest_name: usize) -> usize {
    const COUNTERS: usize = 130;
    let spec = serde_json::to_vec(&job.spec).map_or(usize::MAX / 2, |v| v.len());
    COUNTERS + spec + FAILED_ON * (longest_name + 3)
}

/// The same for the short text: exact in what the runs and tasks can come to
/// take, with the mark of a stop. A run that is split for a stop makes two; who
/// stops has it stop as a whole where there is no room for that.
fn short_record_slots(job: &Job, places: &[Place], value_bytes: usize) -> usize {
    let named = job.runs.iter().map(|r| &*r.machine);
    let named = named.chain(places.iter().map(|p| &*p.machine));
    let named = named.chain(job.failed_on.iter().map(String::as_str));
    let fixed = short_fixed(job, named.map(str::len).max().unwrap_or(0));
    let task = text::task_bytes(job.tasks);
    let here = job.runs.iter().map(|r| (&*r.machine, &*r.zone));
    let there = places.iter().map(|p| (&*p.machine, &*p.zone));
    let mut size = fixed + text::table_bytes(here.chain(there));
    size += (job.booked() + job.retry.len()) * task;
    size += job
        .runs
        .iter()
        .map(|r| text::run_bytes(r.attempt))
        .sum::<usize>();
    // Retried tasks take a new attempt, fresh ones share the first: a run that
    // is there already takes them in.
    let (mut again, mut first) = (HashSet::new(), HashSet::new());
    let running: HashSet<&str> = job
        .runs
        .iter()
        .filter(|r| r.attempt == 1 && !r.stop)
        .map(|r| &*r.machine)
        .collect();
    let gang = job.spec.as_ref().is_some_and(Spec::is_gang);
    for (n, place) in places.iter().enumerate() {
        let retried = gang || n < job.retry.len();
        // It is counted among those that wait already.
        if gang || !retried {
            size += task;
        }
        size += match retried {
            true if again.insert(place.at) => text::run_bytes(job.attempt + 2),
            false if !running.contains(&*place.machine) && first.insert(place.at) => {
                text::run_bytes(1)
            }
            _ => 0,
        };
        if size > value_bytes {
            return n;
        }
    }
    places.len()
}

/// The least that a job's record takes while it runs: a gang's tasks all at
/// once, of other jobs one; on machines with such names, in such zones.
pub fn least_record(spec: &Spec, name: &str, zone: &str) -> usize {
    let job = Job::new(spec.clone(), u64::from(u32::MAX));
    let tasks = match spec.kind {
        Kind::Gang => spec.tasks as usize,
        _ => 1,
    };
    let each = text::run_bytes(1000) + text::task_bytes(spec.tasks);
    short_fixed(&job, name.len()) + text::table_bytes([(name, zone)].into_iter()) + tasks * each
}

/// Hints for choosing among machines with room; none of them is needed.
pub struct Hints<'a> {
    pub view: &'a View,
    /// The controller that plans: between machines that are as good, those of
    /// its own parts, where its commits meet no others.
    pub home: &'a str,
    /// Parts that the commit in the making writes anyway come before those.
    pub touched: BTreeSet<String>,
    /// Machines that the job has failed on may be tried again: it has waited
    /// long enough for another.
    pub lenient: bool,
}

impl<'a> Hints<'a> {
    pub fn new(view: &'a View, home: &'a str) -> Self {
        Hints {
            view,
            home,
            touched: BTreeSet::new(),
            lenient: false,
        }
    }
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

/// Lower is better, the first figures first.
type Score = [i64; 8];

/// A machine on offer: what is lost by it, how many tasks it was given, how
/// good it is, and where it stands in the plan.
type Offered = (i64, i64, Score, usize);

/// What a class of machines means to a job, worked out once for all of them.
#[derive(Clone, Copy)]
struct Gate {
    allowed: bool,
    gpus: Amount,
    /// The accelerators' usual work may run there, and this work needs none.
    in_way: bool,
    costly: i64,
    zone: usize,
    /// How long its machines take to fetch the job's image, in milliseconds.
    fetch_ms: i64,
}

/// How long a machine of this type takes to fetch an image of this size, in
/// milliseconds; nothing if its type does not tell.
fn fetch_ms(image_gb: f64, kind: &MachineType) -> i64 {
    match kind.fetch_gb_per_s > 0.0 {
        true => (image_gb / kind.fetch_gb_per_s * 1000.0).ceil() as i64,
        false => 0,
    }
}

/// Where a job's tasks may go.
struct Field<'a> {
    spec: &'a Spec,
    hints: &'a Hints<'a>,
    care: Care,
    gates: Vec<Gate>,
    /// By part number: how much its part adds to the commit. Places that are as
    /// good are taken from few parts, as each is a record to write.
    far: Vec<i64>,
    image: Option<u32>,
    /// Machines that the job has just failed on, by number: the fault may be
    /// theirs, and what fails at once is the first to have room again.
    barred: Vec<u32>,
    /// The only parts whose machines it may take, if not all may be; what is not
    /// rented yet may come into any.
    within: Option<[u32; 2]>,
}

impl<'a> Field<'a> {
    fn new(spec: &'a Spec, hints: &'a Hints<'a>, care: Care) -> Self {
        let view = hints.view;
        let gates = view.classes.iter().map(|class| {
            let kind = view.class_type(class);
            let gpus = kind.map_or(0.0, |t| t.gpus);
            let wanted = view
                .gpu_spec
                .as_ref()
                .is_none_or(|s| s.allows(&class.kind, &class.zone, class.spot));
            Gate {
                allowed: spec.allows(&class.kind, &class.zone, class.spot),
                gpus: Amount::room(gpus),
                in_way: gpus > 0.0 && spec.need.gpus.0 == 0 && wanted,
                costly: i64::from(spec.spot && !class.spot),
                zone: class.zone_at,
                fetch_ms: kind.map_or(0, |t| fetch_ms(spec.image_gb, t)),
            }
        });
        let far = (0..view.part_names.len() as u32).map(|n| {
            let name = view.part_names.name(n);
            let part = name.split_once('/').map_or("", |p| p.1);
            let own = crate::machines::home_of(part) == hints.home;
            let touched = hints.touched.contains(&*name);
            match (touched, own) {
                (true, _) => 0,
                (_, true) => 1,
                _ => 2 + i64::from(n),
            }
        });
        Field {
            gates: gates.collect(),
            far: far.collect(),
            spec,
            hints,
            care,
            image: view.image(&spec.image),
            barred: Vec::new(),
            within: None,
        }
    }

    fn without(mut self, machines: &[String]) -> Self {
        let names = &self.hints.view.machine_names;
        self.barred = machines.iter().filter_map(|m| names.find(m)).collect();
        self
    }

    /// How many tasks of the accelerators' usual shape lose their place on
    /// this machine if the job's task takes it. Work without accelerators is
    /// kept off them only as far as it is in the way.
    fn loss(&self, spot: &Spot) -> i64 {
        let gate = &self.gates[spot.class as usize];
        if !gate.in_way {
            return 0;
        }
        match &self.hints.view.gpu_spec {
            Some(s) => {
                let after = spot.free - self.spec.need;
                spot.free.slots(&s.need) as i64 - after.slots(&s.need) as i64
            }
            None => 1,
        }
    }

    fn open(&self, spot: &Spot) -> bool {
        let gate = &self.gates[spot.class as usize];
        if !gate.allowed || !spot.free.fits(&self.spec.need) {
            return false;
        }
        if self.barred.contains(&spot.machine) {
            return false;
        }
        if let Some(parts) = self.within
            && spot.part != UNNAMED
            && !parts.contains(&spot.part)
        {
            return false;
        }
        if !gate.in_way {
            return true;
        }
        match (self.spec.kind, self.care) {
            // Independent tasks come and go: they never stand in the way of
            // work that needs the accelerators, and they do not keep a
            // machine rented whose accelerators are idle.
            (Kind::Array, _) => spot.free.gpus < gate.gpus && self.loss(spot) == 0,
            // What stays for long goes elsewhere if it can.
            (_, Care::Strict) => false,
            (_, Care::Mild) => self.loss(spot) == 0,
            (_, Care::Lax) => true,
        }
    }

    /// Accelerators are kept for those that need them; then a service looks
    /// for its image first, as it should run at once; then the cheaper
    /// machine, and the tightest fit, so that others stay whole.
    fn score(&self, spot: &Spot) -> Score {
        let view = self.hints.view;
        let gate = &self.gates[spot.class as usize];
        let spec = self.spec;
        let shape_slots = match &view.gpu_spec {
            Some(s) if gate.gpus.0 > 0 && spec.need.gpus.0 == 0 => spot.free.slots(&s.need),
            _ => 0,
        };
        let fetch_ms = match view.has_image(spot.machine, self.image) {
            true => 0,
            // Even where it takes no time, the image is better there already.
            false => gate.fetch_ms.max(1),
        };
        let far = self
            .far
            .get(spot.part as usize)
            .copied()
            .unwrap_or(i64::MAX);
        let quick = spec.kind == Kind::Service;
        // A service stays for long and would keep a costly machine rented.
        let pins = i64::from(quick && gate.gpus.0 > 0 && spec.need.gpus.0 == 0);
        let (third, fourth, fifth) = match spec.kind {
            Kind::Service => (fetch_ms, gate.costly, far),
            // Their ends come often: where they are this controller's own,
            // nobody else writes the records.
            Kind::Array => (gate.costly, far, fetch_ms),
            Kind::Gang => (gate.costly, fetch_ms, far),
        };
        [
            self.loss(spot),
            pins,
            third,
            fourth,
            fifth,
            shape_slots as i64,
            // Of two places in the way, the one among more accelerators.
            if spec.need.gpus.0 > 0 { 1 } else { -1 } * gate.gpus.0,
            spot.free.cpus.0,
        ]
    }

    /// Tasks that fit one by one into the zones with a cap, best machines
    /// first; at most `most`. Also tells how good the places are.
    fn fill(&self, plan: &Plan, caps: &[usize], most: usize) -> (Vec<usize>, Score) {
        let service = self.spec.kind == Kind::Service;
        // Replicas go to different zones and machines while there are some;
        // other tasks fill the best machine first. A heap a zone, the best
        // machine on top.
        let mut heaps: Vec<Vec<Reverse<Offered>>> = vec![Vec::new(); caps.len()];
        for (at, spot) in plan.spots.iter().enumerate() {
            let zone = self.gates[spot.class as usize].zone;
            if caps.get(zone).is_some_and(|c| *c > 0) && self.open(spot) {
                let score = self.score(spot);
                heaps[zone].push(Reverse((score[0], 0, score, at)));
            }
        }
        let mut heaps: Vec<BinaryHeap<_>> = heaps.into_iter().map(BinaryHeap::from).collect();
        let mut caps = caps.to_vec();
        let mut in_zone = vec![0i64; caps.len()];
        let mut sum: Score = [0; 8];
        let mut places = Vec::new();
        while places.len() < most {
            let best = (0..heaps.len())
                .filter(|z| caps[*z] > 0)
                .filter_map(|z| {
                    let Reverse((loss, given, score, _)) = heaps[z].peek()?;
                    let near = if service { in_zone[z] } else { 0 };
                    Some(((*loss, near, *given, *score), z))
                })
                .min();
            let Some((_, zone)) = best else { break };
            let Some(Reverse((_, given, score, at))) = heaps[zone].pop() else {
                break;
            };
            let mut spot = plan.spots[at];
            for _ in 0..given {
                spot.free -= self.spec.need;
            }
            // One machine's room is used up before the next is looked at,
            // but for replicas.
            loop {
                for (s, r) in sum.iter_mut().zip(score) {
                    *s = s.saturating_add(r);
                }
                places.push(at);
                spot.free -= self.spec.need;
                in_zone[zone] += 1;
                caps[zone] -= 1;
                let more = places.len() < most && caps[zone] > 0 && self.open(&spot);
                if service || !more {
                    break;
                }
            }
            if service && self.open(&spot) {
                let score = self.score(&spot);
                heaps[zone].push(Reverse((score[0], given + 1, score, at)));
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
    let view = hints.view;
    let mut places: Vec<Place> = find(job, spec, plan, hints, settings, care)?
        .into_iter()
        .map(|at| {
            let spot = &plan.spots[at];
            Place {
                at,
                machine: view.machine_names.name(spot.machine),
                zone: view.classes[spot.class as usize].zone.clone(),
                part: view.part_names.name(spot.part),
            }
        })
        .collect();
    let slots = record_slots(job, &places, settings.value_bytes(), view.is_short());
    if slots == 0 || (spec.is_gang() && slots < places.len()) {
        return Err(Wait::RecordFull);
    }
    places.truncate(slots);
    Ok(places)
}

/// How many of the job's tasks fit; cheaper than where.
pub fn count(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> usize {
    find(job, spec, plan, hints, settings, care).map_or(0, |places| places.len())
}

/// The machines that a job has failed on come last: for one that fails on all
/// of them, when there is no other; for the rest, once it has waited for one.
fn find(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<usize>, Wait> {
    let found = find_off(&job.failed_on, job, spec, plan, hints, settings, care);
    match found {
        Err(_) if !job.failed_on.is_empty() && (hints.lenient || job.is_doubtful()) => {
            find_off(&[], job, spec, plan, hints, settings, care)
        }
        found => found,
    }
}

/// Places that are not on these machines, in as many parts as one commit writes
/// beside the job and its team.
///
/// What is guaranteed once short texts are written: a gang that fits into two
/// parts is admitted whole. A zone has one part for each controller that is at
/// home in it, unless it has some hundreds of machines for each, so a required
/// gang that fits its zone does where two are at home there at most. A preferred
/// one that only more parts would hold waits as if there were no room, so that
/// machines are rented for it. A service takes two parts if they hold all that
/// waits of it; else it is admitted by parts, replica by replica.
fn find_off(
    barred: &[String],
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<usize>, Wait> {
    let within = |parts| find_within(parts, barred, job, spec, plan, hints, settings, care);
    let found = within(None)?;
    if spec.kind == Kind::Array || !hints.view.is_short() {
        return Ok(found);
    }
    let most = settings.txn_ops().saturating_sub(2).max(1);
    let mut held: HashMap<u32, usize> = HashMap::default();
    let parts = found.iter().map(|at| plan.spots[*at].part);
    for part in parts.filter(|p| *p != UNNAMED) {
        *held.entry(part).or_default() += 1;
    }
    if held.len() <= most {
        return Ok(found);
    }
    let mut all: Vec<u32> = plan.spots.iter().map(|s| s.part).collect();
    all.sort_unstable();
    all.dedup();
    all.retain(|p| *p != UNNAMED);
    // Those that hold most of them first.
    all.sort_by_key(|p| Reverse(held.get(p).copied().unwrap_or(0)));
    let pairs = (1..all.len()).flat_map(|b| (0..b).map(move |a| (a, b)));
    let narrow = pairs
        .filter_map(|(a, b)| within(Some([all[a], all[b]])).ok())
        .find(|places| places.len() >= found.len());
    match narrow {
        Some(places) => Ok(places),
        None if spec.is_gang() => Err(Wait::NoRoom),
        None => Ok(found),
    }
}

#[allow(clippy::too_many_arguments)]
fn find_within(
    within: Option<[u32; 2]>,
    barred: &[String],
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<usize>, Wait> {
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
    let zones = &hints.view.zone_names;
    let caps: Vec<usize> = (0..zones.len() as u32)
        .map(|z| {
            let name = zones.name(z);
            if spec.one_zone && per_zone.keys().any(|other| *other != &*name) {
                return 0;
            }
            let here = per_zone.get(&*name).copied().unwrap_or(0);
            spec.zone_cap().saturating_sub(here)
        })
        .collect();
    let mut field = Field::new(spec, hints, care).without(barred);
    field.within = within;
    if gang || spec.one_zone {
        // KEP-2724: one domain that takes them all; the best such one.
        let found = (0..caps.len())
            .filter(|z| caps[*z] > 0)
            .map(|z| {
                let mut only = vec![0; caps.len()];
                only[z] = caps[z];
                field.fill(plan, &only, most)
            })
            .filter(|(places, _)| !places.is_empty())
            .min_by_key(|(places, score)| (Reverse(places.len()), *score));
        if let Some((places, _)) = found
            && (!gang || places.len() == waiting)
        {
            return Ok(places);
        }
        if spec.one_zone {
            return Err(if gang { Wait::NoZone } else { Wait::NoRoom });
        }
    }
    // Relaxed: spread over the zones.
    let capped = caps.iter().any(|cap| *cap < most);
    let (places, _) = field.fill(plan, &caps, most);
    if places.is_empty() || (gang && places.len() < waiting) {
        return Err(if capped { Wait::Spread } else { Wait::NoRoom });
    }
    Ok(places)
}

/// Whether a job has waited so long that it goes first: a bound on waiting
/// that no order by size, team or lateness can push back. Only for what has
/// never begun: the rest of an array follows in the usual order, and what was
/// stopped for a guarantee must not push back in before it.
pub fn starves(job: &Job, spec: &Spec, settings: &Settings, age: f64) -> bool {
    age > settings.starving_s() && job.attempt == 0 && job.waiting() == spec.tasks as usize
}

/// Keeps the room that a gang waits for, in the zone that has the most of it,
/// from what comes behind it in the queue. Machines that hold none of its
/// tasks yet are left to others: what they run would not make way sooner.
pub fn hold_room(spec: &Spec, plan: &mut Plan, hints: &Hints) {
    let field = Field::new(spec, hints, Care::Strict);
    let zones = hints.view.zone_names.len();
    let mut room = vec![0; zones];
    let open = |spot: &Spot| field.gates[spot.class as usize].allowed;
    for spot in plan.spots.iter().filter(|s| open(s)) {
        room[field.gates[spot.class as usize].zone] += spot.free.slots(&spec.need);
    }
    let Some(best) = (0..zones).max_by_key(|z| room[*z]).filter(|z| room[*z] > 0) else {
        return;
    };
    let mut left = spec.tasks as usize;
    for spot in &mut plan.spots {
        let gate = &field.gates[spot.class as usize];
        while left > 0 && gate.allowed && gate.zone == best && spot.free.fits(&spec.need) {
            spot.free -= spec.need;
            left -= 1;
        }
    }
}

/// A job's place in the queue: lower goes first.
#[derive(Debug, Clone, PartialEq, PartialOrd)]
pub struct Rank {
    /// It fails wherever it runs: all else goes first.
    pub doubtful: bool,
    /// Room has been cleared for it already: the policy does not come into
    /// that, or what was stopped for one job would serve another.
    pub waits_for_room: bool,
    /// It has not waited beyond the bound; those that have go by age.
    pub patient: bool,
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
            let standing = view.standing(id, spec, now);
            let facts = facts(job, spec, plan, settings, view, age, &standing);
            let starves = starves(job, spec, settings, age);
            let rank = Rank {
                doubtful: job.is_doubtful(),
                waits_for_room: !job.cleared,
                patient: !starves,
                keys: match starves {
                    true => Vec::new(),
                    false => settings.policy.queue_order(&facts),
                },
                born: *born,
            };
            Some((rank, id.as_str()))
        })
        .collect();
    queue.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
    queue.into_iter().map(|(_, id)| id).collect()
}

/// Whether an objective speaks of the job's class.
pub fn is_aimed(spec: &Spec, settings: &Settings) -> bool {
    let mut objectives = settings.deployment.objectives.iter();
    objectives.any(|o| o.class.as_ref() == Some(&spec.class))
}

/// Whether a job only fills what stands idle: low work without a deadline or an
/// objective, which saves when it is stopped.
pub fn is_filler(spec: &Spec, settings: &Settings) -> bool {
    spec.kind == Kind::Array
        && spec.priority == Priority::Low
        && spec.deadline_s.is_none()
        && spec.checkpoint_s > 0.0
        && !is_aimed(spec, settings)
}

/// Whether a job, started now, is too late for every objective of its class and
/// for the deadline of what needs it. A job without any is never late. Deadlines
/// count from the submission, all else from when it could first start (`age`).
pub fn is_late(spec: &Spec, settings: &Settings, age: f64, standing: &Standing) -> bool {
    let in_time = standing.left_s.is_some_and(|left| left >= spec.estimate_s);
    let mut any = standing.asked;
    if any && in_time {
        return false;
    }
    for o in &settings.deployment.objectives {
        if o.class.as_ref() != Some(&spec.class) {
            continue;
        }
        let possible = match (o.kind.as_str(), o.within_s, spec.deadline_s) {
            ("wait", Some(within), _) => age <= within,
            ("finished", Some(within), _) => age <= within - spec.estimate_s,
            ("deadline", _, Some(_)) => in_time,
            _ => continue,
        };
        any = true;
        if possible {
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
    standing: &Standing,
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
        priority: f64::from(standing.priority as u8),
        share,
        late: is_late(spec, settings, age, standing),
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
        has_deadline: standing.left_s.is_some(),
        boot_s: view.least_boot_s(),
        aimed: is_aimed(spec, settings),
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

/// Whether PROTOCOL lets work of `victim` be stopped for `job`. The priorities
/// are those of the view, with what needs the jobs counted in.
pub fn may_preempt(
    job: (&Spec, Priority),
    job_in_guarantee: bool,
    victim: (&Spec, Priority),
    victim_borrows: bool,
) -> bool {
    let ((job, priority), (victim, its_priority)) = (job, victim);
    if its_priority < priority {
        return true;
    }
    // Borrowed work of another team goes back for a guarantee, but for
    // services: what people use now is not ended for what is to begin.
    job_in_guarantee && victim_borrows && victim.team != job.team && victim.kind != Kind::Service
}
