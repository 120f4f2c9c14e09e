//! The replica: this controller's replica of the state under the shared prefix.
//!
//! `revision` is what the watch has reached: everything up to it is here. A
//! commit of our own is laid into the replica at once (`overlay`), ahead of the
//! watch, so that the next round does not decide on what it has just changed;
//! entries beyond `revision` serve planning only, never a launch.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use foldhash::HashMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::model::{
    Arrivals, FORMATS, JobStatus, Formats, MachineShard, Rental, Job, Machine, ZoneShard, Ranges, ControllerRecord, Resources, MachineSlot,
    Spec, Team, Types,
};
use crate::pipeline::Pipelines;
use crate::record_trim::{self, TrimContext};
use crate::wire::{Event, Pair, Write};

/// All keys of the service begin with this; one watch covers them.
pub const PREFIX: &str = "sh/";

/// A key that never exists: reading it tells the current revision.
pub const BARRIER_KEY: &str = "sh-barrier";

/// The key of the controller that rents machines.
pub const FLEET_KEY: &str = "sh/fleet";
/// The key of the cloud's machine types.
pub const TYPES_KEY: &str = "sh/types";
/// The key of the record formats that all controllers can read.
pub const FORMATS_KEY: &str = "sh/formats";

/// The key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{PREFIX}job/{id}")
}
/// The key of a team's record.
pub fn team_key(name: &str) -> String {
    format!("{PREFIX}team/{name}")
}
/// A part's name in the replica; its key has it behind `zone/`.
pub fn shard_id(zone: &str, part: &str) -> String {
    format!("{zone}/{part}")
}
/// The key of a zone shard's record, by its id.
pub fn zone_shard_key(id: &str) -> String {
    format!("{PREFIX}zone/{id}")
}
/// A group's key; the name is its part's.
pub fn machine_shard_key(id: &str) -> String {
    format!("{PREFIX}machine/{id}")
}
/// The key that exists while a controller's state lease stands.
pub fn node_key(name: &str) -> String {
    format!("{PREFIX}node/{name}")
}
/// The key of jobs that were accepted together.
pub fn arrivals_key(id: &str) -> String {
    format!("{PREFIX}new/{id}")
}
/// The key of a rental.
pub fn rental_key(id: &str) -> String {
    format!("{PREFIX}hire/{id}")
}

/// A record with the revision of its last change.
#[derive(Debug, Clone, Default)]
pub struct Entry<T> {
    /// The revision of the record's last change; 0 if it has none of its own.
    pub version: u64,
    /// The record.
    pub value: T,
}

type Table<T> = BTreeMap<String, Entry<T>>;

/// What has changed since it was last asked.
#[derive(Debug, Default)]
pub struct Changes {
    /// Machines whose record or whose jobs have changed.
    pub machines: BTreeSet<String>,
}

/// Names as small numbers, so that planning compares and copies no text.
#[derive(Debug, Default)]
pub struct Names {
    numbers: HashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
}

impl Names {
    /// The number of a name, which is given one if it has none.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let n = self.names.len() as u32;
        let name: Rc<str> = name.into();
        self.numbers.insert(name.clone(), n);
        self.names.push(name);
        n
    }
    /// The number of a name, if it has one.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
    /// The name with this number; empty if there is none.
    pub fn name(&self, number: u32) -> Rc<str> {
        self.names
            .get(number as usize)
            .cloned()
            .unwrap_or_else(|| "".into())
    }
    /// All names in the order of their numbers.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|n| &**n)
    }
    /// How many names there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }
    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Machines of one type, zone and kind: what a job may or may not run on.
#[derive(Debug, Clone)]
pub struct Class {
    /// The machine type.
    pub kind: String,
    /// The zone.
    pub zone: Rc<str>,
    /// The zone's number among `Replica::zone_names`.
    pub zone_at: usize,
    /// Whether they are spot machines.
    pub spot: bool,
    /// Where its type stands in the types' record, if it does.
    pub kind_at: Option<usize>,
}

/// A machine that takes work, as small as planning can have it.
#[derive(Debug, Clone, Copy)]
pub struct PlanSlot {
    /// Its number among `Replica::machine_names`.
    pub machine: u32,
    /// The number of its part's key among `Replica::zone_shard_names`.
    pub part: u32,
    /// The number of its class among `Replica::classes`.
    pub class: u32,
    /// In a plan: what is free. In the replica: what unbooked tasks take.
    pub free: Resources,
}

/// This controller's replica of the state, with the indexes that planning uses.
#[derive(Debug, Default)]
pub struct Replica {
    /// Complete up to here; 0 until the first full read.
    pub revision: u64,
    /// Whether the first full read is complete.
    pub loaded: bool,
    /// Jobs by their ids.
    pub jobs: HashMap<String, Entry<Job>>,
    /// What the teams' bookings take, by the teams' names.
    pub teams: Table<Team>,
    /// The zones' records, by `zone/part`.
    pub zone_shards: Table<ZoneShard>,
    /// All machines, each with the revision of its own last change.
    pub machines: Table<Machine>,
    /// The records that they stand in, by `zone/part`.
    pub machine_shards: Table<MachineShard>,
    /// Rentals by the names of their requests.
    pub rentals: Table<Rental>,
    /// Jobs that were accepted together, by the names of those writes.
    pub arrivals: Table<Arrivals>,
    /// The cloud's machine types as last read.
    pub types: Entry<Types>,
    /// The controller that rents machines, if there is one.
    pub fleet: Option<Entry<ControllerRecord>>,
    /// Which controllers know the newer formats.
    pub formats: Entry<Formats>,
    /// Controllers whose state lease stands.
    pub nodes: Table<ControllerRecord>,
    /// Jobs that are not final and await no others, in the order of acceptance:
    /// those that take part in anything.
    pub open: BTreeSet<(u64, String)>,
    /// Which jobs book something on a machine.
    pub bookings: HashMap<String, BTreeSet<String>>,
    /// What bookings take of each machine, by its number, and of each team.
    booked: HashMap<u32, Resources>,
    team_booked: HashMap<String, Resources>,
    /// Removals of our own that the watch has not reached yet.
    removed: HashMap<String, u64>,
    /// Images that have been sent to a machine, the latest last. Memory only:
    /// a hint for placing, rebuilt as bookings are seen.
    images: HashMap<u32, Vec<u32>>,
    image_names: Names,
    /// The numbers of machines.
    pub machine_names: Names,
    /// The numbers of zone shards.
    pub zone_shard_names: Names,
    /// The numbers of zones.
    pub zone_names: Names,
    /// The classes of machines, by their numbers.
    pub classes: Vec<Class>,
    class_numbers: HashMap<(String, String, bool), u32>,
    /// The parts' machines, ready for planning.
    spots: BTreeMap<String, Vec<PlanSlot>>,
    /// The part that has a machine's slot, by their numbers.
    slot_parts: HashMap<u32, u32>,
    /// Parts that stand in the compact encoding.
    compact_zone_shards: BTreeSet<String>,
    /// What a record may hold, where the limits are to fall: from the settings.
    pub compact_limit: Option<usize>,
    /// Records that hold more, with what they hold.
    pub oversized: BTreeMap<String, usize>,
    /// Open jobs whose specification may leave too little of a record for their
    /// tasks: a coarse choice by length, `trimmed_job` decides.
    pub long_jobs: BTreeSet<String>,
    /// Classes that an objective of the settings names.
    pub aimed_classes: BTreeSet<String>,
    /// The latest job that needs accelerators: what machines with accelerators
    /// are kept free for. A hint, too.
    pub gpu_spec: Option<Spec>,
    /// What has changed since it was last taken.
    pub changes: Changes,
    /// Keys whose records cannot be read, with their versions: nothing is known
    /// of what they say, but whoever writes them anew guards these versions.
    unreadable: BTreeMap<String, u64>,
    /// What follows from jobs that await others, see there.
    pub(crate) pipelines: Pipelines,
}

const IMAGES_REMEMBERED: usize = 16;

/// A record of arrivals with its jobs yet to be read.
#[derive(Deserialize)]
struct RawArrivals {
    #[serde(rename = "b")]
    accepted_revision: u64,
    #[serde(rename = "j")]
    jobs: BTreeMap<String, Box<RawValue>>,
}

fn parse<T: DeserializeOwned>(key: &str, value: &RawValue) -> Option<T> {
    match serde_json::from_str(value.get()) {
        Ok(v) => Some(v),
        Err(error) => {
            tracing::error!(key, %error, "record not understood");
            None
        }
    }
}

fn put<T>(table: &mut Table<T>, id: &str, version: u64, value: Option<T>) -> bool {
    if table.get(id).is_some_and(|e| e.version >= version) {
        return false;
    }
    match value {
        Some(value) => {
            table.insert(id.to_string(), Entry { version, value });
        }
        None => {
            table.remove(id);
        }
    }
    true
}

/// Whether an open job's names, with a gang's places, take half of a record.
fn is_long(job: &Job, most: usize) -> bool {
    const GANG_PLACE: usize = 20;
    let Some(spec) = job.spec.as_ref().filter(|_| job.is_open()) else {
        return false;
    };
    let places = match spec.is_gang() {
        true => spec.tasks as usize * GANG_PLACE,
        false => 0,
    };
    spec.names_bytes() + places > most / 2
}

/// A job's runs by what tells them apart.
type Runs<'a> = HashMap<(&'a str, u64, bool), &'a Ranges>;

fn runs_of(job: &Option<Job>) -> Runs<'_> {
    let runs = job.iter().flat_map(|j| &j.runs);
    runs.map(|r| ((r.machine.as_str(), r.attempt, r.stop), &r.tasks))
        .collect()
}

fn machines_of<'a>(runs: &Runs<'a>) -> BTreeSet<&'a str> {
    runs.keys().map(|k| k.0).collect()
}

impl Replica {
    /// A replica that is to hold its records to so many bytes, if the limits are
    /// to fall.
    pub fn with_compact_limit(compact_limit: Option<usize>) -> Self {
        Replica {
            compact_limit,
            ..Replica::default()
        }
    }

    /// Takes a full read in place of what was known.
    pub fn reload(&mut self, pairs: Vec<Pair>, revision: u64) {
        let old = std::mem::take(self);
        let mut changes = old.changes;
        changes.machines.extend(old.machines.into_keys());
        *self = Replica {
            images: old.images,
            image_names: old.image_names,
            machine_names: old.machine_names,
            zone_shard_names: old.zone_shard_names,
            zone_names: old.zone_names,
            classes: old.classes,
            class_numbers: old.class_numbers,
            gpu_spec: old.gpu_spec,
            compact_limit: old.compact_limit,
            aimed_classes: old.aimed_classes,
            changes,
            pipelines: old.pipelines.after_reload(),
            loaded: true,
            revision,
            ..Replica::default()
        };
        for pair in pairs {
            self.set(&pair.key, pair.version, Some(&pair.value));
        }
        // A page may be newer than the revision of the first: the watch goes
        // on from the oldest, and older events than an entry are passed over.
    }

    /// Takes what the watch brought.
    pub fn advance(&mut self, events: Vec<Event>, revision: u64) {
        for event in events {
            match (&event.set, &event.remove) {
                (Some(key), _) => self.set(key, event.version, event.value.as_deref()),
                (None, Some(key)) => self.set(key, event.version, None),
                (None, None) => tracing::debug!("an event without a key"),
            }
        }
        self.revision = self.revision.max(revision);
        let reached = self.revision;
        self.removed.retain(|_, v| *v > reached);
    }

    /// Lays a commit of our own over the replica, ahead of the watch.
    pub fn overlay(&mut self, writes: &[Write], revision: u64) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => self.set(key, revision, Some(value)),
                Write::Delete { key } => {
                    self.set(key, revision, None);
                    if revision > self.revision {
                        self.removed.insert(key.clone(), revision);
                    }
                }
            }
        }
    }

    fn set(&mut self, key: &str, version: u64, value: Option<&RawValue>) {
        let is_older = |known: Option<&u64>| known.is_some_and(|v| *v >= version);
        if is_older(self.removed.get(key)) || is_older(self.unreadable.get(key)) {
            return;
        }
        self.unreadable.remove(key);
        let Some(rest) = key.strip_prefix(PREFIX) else {
            return;
        };
        let (table, id) = rest.split_once('/').unwrap_or((rest, ""));
        if let Some(most) = self.compact_limit {
            // Older news may come after newer: what looks at this looks at the
            // record itself then.
            match value.map(|v| v.get().len()).filter(|n| *n > most) {
                Some(bytes) => self.oversized.insert(key.to_string(), bytes),
                None => self.oversized.remove(key),
            };
        }
        match table {
            "job" => {
                let job = value.and_then(|v| self.read::<Job>(key, version, v));
                self.set_job(id, version, job);
            }
            "team" => {
                let team = value.and_then(|v| self.read(key, version, v));
                put(&mut self.teams, id, version, team);
            }
            "zone" => {
                let part = value.and_then(|v| self.read(key, version, v));
                if put(&mut self.zone_shards, id, version, part) {
                    match value.is_some_and(|v| crate::text::is_compact_zone_shard(v.get())) {
                        true => self.compact_zone_shards.insert(id.to_string()),
                        false => self.compact_zone_shards.remove(id),
                    };
                    self.index_zone_shard(id);
                }
            }
            "machine" => {
                let group = value.and_then(|v| self.read(key, version, v));
                self.set_machine_shard(id, version, group);
            }
            "hire" => {
                let hire = value.and_then(|v| self.read(key, version, v));
                put(&mut self.rentals, id, version, hire);
            }
            "new" => {
                self.set_arrivals(key, id, version, value);
            }
            "node" => {
                let renter = value.and_then(|v| self.read(key, version, v));
                put(&mut self.nodes, id, version, renter);
            }
            "types" => {
                let types = value.and_then(|v| self.read::<Types>(key, version, v));
                if let Some(value) = types
                    && version > self.types.version
                {
                    self.types = Entry { version, value };
                    for class in &mut self.classes {
                        let types = &self.types.value.types;
                        class.kind_at = types.iter().position(|t| t.name == class.kind);
                    }
                }
            }
            "formats" => {
                let formats = value.and_then(|v| self.read::<Formats>(key, version, v));
                if let Some(value) = formats
                    && version > self.formats.version
                {
                    self.formats = Entry { version, value };
                }
            }
            "fleet" => {
                if self.fleet.as_ref().is_none_or(|e| e.version < version) {
                    let renter = value.and_then(|v| self.read(key, version, v));
                    self.fleet = renter.map(|value| Entry { version, value });
                }
            }
            _ => tracing::debug!(key, "unknown key"),
        }
    }

    /// Reads a record's text; one that cannot be read is logged and noted.
    fn read<T: DeserializeOwned>(
        &mut self,
        key: &str,
        version: u64,
        value: &RawValue,
    ) -> Option<T> {
        let record = parse(key, value);
        if record.is_none() {
            self.unreadable.insert(key.to_string(), version);
        }
        record
    }

    /// Whether a key has a record that cannot be read.
    pub fn is_unreadable(&self, key: &str) -> bool {
        self.unreadable.contains_key(key)
    }

    /// Whether a job is known to exist, though its record cannot be read: it
    /// was accepted, and nothing more can be said of it.
    pub fn is_unreadable_job(&self, id: &str) -> bool {
        !self.unreadable.is_empty() && self.is_unreadable(&job_key(id))
    }

    /// The version of a record that is not in the replica: that of one which cannot
    /// be read, or 0 as there is none. Guarding 0 where an unreadable record
    /// stands would be refused again and again.
    pub fn absent_version(&self, key: &str) -> u64 {
        self.unreadable.get(key).copied().unwrap_or(0)
    }

    /// Takes jobs that were accepted together. Each stands alone: one that cannot
    /// be read keeps none of the others away. Such a record is never settled.
    fn set_arrivals(&mut self, key: &str, id: &str, version: u64, value: Option<&RawValue>) {
        let Some(value) = value else {
            put(&mut self.arrivals, id, version, None);
            return;
        };
        let Some(raw) = self.read::<RawArrivals>(key, version, value) else {
            put(&mut self.arrivals, id, version, None);
            return;
        };
        let mut arrivals = Arrivals {
            accepted_revision: raw.accepted_revision,
            jobs: BTreeMap::new(),
        };
        let count = raw.jobs.len();
        for (job, text) in raw.jobs {
            let own_key = job_key(&job);
            // A record of its own, whatever it says, is newer.
            let has_own = self.jobs.contains_key(&job) || self.is_unreadable(&own_key);
            match parse::<Spec>(&own_key, &text) {
                Some(spec) => {
                    if !has_own {
                        self.place_job(&job, 0, Job::new(spec.clone(), raw.accepted_revision));
                    }
                    arrivals.jobs.insert(job, spec);
                }
                None if !has_own => {
                    self.unreadable.insert(own_key, 0);
                }
                None => {}
            }
        }
        let whole = arrivals.jobs.len() == count;
        put(&mut self.arrivals, id, version, whole.then_some(arrivals));
    }

    fn set_machine_shard(&mut self, id: &str, version: u64, group: Option<MachineShard>) {
        let old = match self.machine_shards.get(id) {
            Some(e) if e.version >= version => return,
            _ => self.machine_shards.remove(id).map(|e| e.value),
        };
        let (zone, part) = id.split_once('/').unwrap_or((id, ""));
        let mut gone = old.unwrap_or_default().machines;
        for (name, machine) in group.iter().flat_map(|g| &g.machines) {
            let machine = Machine {
                zone: zone.to_string(),
                part: part.to_string(),
                ..machine.clone()
            };
            gone.remove(name);
            if self.machines.get(name).is_some_and(|e| e.value == machine) {
                continue;
            }
            self.changes.machines.insert(name.clone());
            let value = machine;
            self.machines.insert(name.clone(), Entry { version, value });
        }
        for name in gone.into_keys() {
            // It stands in another group now: a commit that moves it brings
            // both, in any order.
            let here = |e: &Entry<Machine>| e.value.zone == zone && e.value.part == part;
            if !self.machines.get(&name).is_some_and(here) {
                continue;
            }
            if let Some(n) = self.machine_names.find(&name) {
                self.images.remove(&n);
            }
            self.machines.remove(&name);
            self.changes.machines.insert(name);
        }
        if let Some(value) = group {
            self.machine_shards.insert(id.to_string(), Entry { version, value });
        }
    }

    /// The version of a group's record, 0 if there is none.
    pub fn machine_shard_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&machine_shard_key(id));
        self.machine_shards.get(id).map_or_else(absent, |e| e.version)
    }

    fn set_job(&mut self, id: &str, version: u64, job: Option<Job>) {
        if self.jobs.get(id).is_some_and(|e| e.version >= version) {
            return;
        }
        if job.is_none() && self.is_unreadable_job(id) && !self.is_open_or_unknown(id) {
            // What is final stays so, whatever its record has come to be.
            return;
        }
        let old = self.jobs.remove(id).map(|e| e.value);
        self.long_jobs.remove(id);
        self.index_job(id, old, &job);
        if let Some(job) = job {
            self.place_job(id, version, job);
        }
    }

    fn is_open_or_unknown(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|e| e.value.is_open())
    }

    /// Counts what a job's runs take, or no longer take.
    fn count(&mut self, job: &Option<Job>, sign: i64) {
        let Some(job) = job else { return };
        let Some(spec) = &job.spec else { return };
        let mut all = 0;
        for run in &job.runs {
            all += run.tasks.len() as i64;
            let room = spec.need.scaled(sign * run.tasks.len() as i64);
            let number = self.machine_names.number(&run.machine);
            *self.booked.entry(number).or_default() += room;
        }
        if all > 0 {
            let used = self.team_booked.entry(spec.team.clone()).or_default();
            *used += spec.need.scaled(sign * all);
        }
    }

    /// What else in the replica follows from a job's runs.
    fn index_job(&mut self, id: &str, old: Option<Job>, job: &Option<Job>) {
        self.count(&old, -1);
        self.count(job, 1);
        let open = |job: &Option<Job>| job.as_ref().is_some_and(Job::is_open);
        // Whether a job runs may be all that has changed for its machines.
        let all = open(&old) != open(job);
        let (before, after) = (runs_of(&old), runs_of(job));
        for (key, tasks) in &before {
            if all || after.get(key) != Some(tasks) {
                self.changes.machines.insert(key.0.to_string());
            }
        }
        for (key, tasks) in &after {
            if all || before.get(key) != Some(tasks) {
                self.changes.machines.insert(key.0.to_string());
            }
        }
        let (here, there) = (machines_of(&before), machines_of(&after));
        for machine in here.difference(&there) {
            if let Some(set) = self.bookings.get_mut(*machine) {
                set.remove(id);
                if set.is_empty() {
                    self.bookings.remove(*machine);
                }
            }
        }
        let image = job.as_ref().and_then(|j| j.spec.as_ref());
        let image = image.map(|s| self.image_names.number(&s.image));
        for machine in there.difference(&here) {
            let set = self.bookings.entry(machine.to_string()).or_default();
            set.insert(id.to_string());
            let Some(image) = image else { continue };
            let number = self.machine_names.number(machine);
            let images = self.images.entry(number).or_default();
            if images.last() != Some(&image) {
                images.retain(|i| *i != image);
                images.push(image);
                if images.len() > IMAGES_REMEMBERED {
                    images.remove(0);
                }
            }
        }
        if let Some(old) = old.filter(Job::is_open) {
            self.unindex_job_dependencies(id, &old);
        }
    }

    fn place_job(&mut self, id: &str, version: u64, job: Job) {
        let value = job;
        if self.compact_limit.is_some_and(|most| is_long(&value, most)) {
            self.long_jobs.insert(id.to_string());
        }
        self.jobs.insert(id.to_string(), Entry { version, value });
        self.index_job_dependencies(id);
    }

    /// Makes a part's machines ready for planning.
    fn index_zone_shard(&mut self, id: &str) {
        let part = self.zone_shard_names.number(id);
        for spot in self.spots.remove(id).into_iter().flatten() {
            if self.slot_parts.get(&spot.machine) == Some(&part) {
                self.slot_parts.remove(&spot.machine);
            }
        }
        let Some(entry) = self.zone_shards.get(id) else {
            return;
        };
        let zone = id.split('/').next().unwrap_or(id).to_string();
        let slots: Vec<(String, MachineSlot)> = entry
            .value
            .machines
            .iter()
            .map(|(m, s)| (m.clone(), s.clone()))
            .collect();
        let spots: Vec<PlanSlot> = slots
            .into_iter()
            .map(|(machine, slot)| PlanSlot {
                machine: self.machine_names.number(&machine),
                part,
                class: self.class(&slot.kind, &zone, slot.spot),
                free: slot.unbooked,
            })
            .collect();
        for spot in &spots {
            self.slot_parts.insert(spot.machine, part);
        }
        self.spots.insert(id.to_string(), spots);
    }

    /// The number of a class of machines.
    pub fn class(&mut self, kind: &str, zone: &str, spot: bool) -> u32 {
        let key = (kind.to_string(), zone.to_string(), spot);
        if let Some(n) = self.class_numbers.get(&key) {
            return *n;
        }
        let n = self.classes.len() as u32;
        let zone_at = self.zone_names.number(zone);
        self.classes.push(Class {
            kind: kind.to_string(),
            zone: self.zone_names.name(zone_at),
            zone_at: zone_at as usize,
            spot,
            kind_at: self.types.value.types.iter().position(|t| t.name == kind),
        });
        self.class_numbers.insert(key, n);
        n
    }

    /// The number of a class of machines, if it has one.
    pub fn find_class(&self, kind: &str, zone: &str, spot: bool) -> Option<u32> {
        let key = (kind.to_string(), zone.to_string(), spot);
        self.class_numbers.get(&key).copied()
    }

    /// The machine type of a class, if the cloud still offers it.
    pub fn class_type(&self, class: &Class) -> Option<&crate::wire::MachineType> {
        self.types.value.types.get(class.kind_at?)
    }

    /// All machines that take work.
    pub fn spots(&self) -> impl Iterator<Item = &PlanSlot> {
        self.spots.values().flatten()
    }

    /// The number of an image that some machine has been sent.
    pub fn image(&self, image: &str) -> Option<u32> {
        self.image_names.find(image)
    }

    /// Whether the machine has been sent this image before.
    pub fn has_image(&self, machine: u32, image: Option<u32>) -> bool {
        let images = self.images.get(&machine);
        image.is_some_and(|i| images.is_some_and(|v| v.contains(&i)))
    }

    /// The jobs that book something on this machine.
    pub fn jobs_on<'a>(&'a self, machine: &str) -> impl Iterator<Item = (&'a str, &'a Entry<Job>)> {
        self.bookings
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|id| self.jobs.get_key_value(id))
            .map(|(id, e)| (id.as_str(), e))
    }

    /// What the bookings on this machine take.
    pub fn booked_on(&self, machine: &str) -> Resources {
        let number = self.machine_names.find(machine);
        let booked = number.and_then(|n| self.booked.get(&n));
        booked.copied().unwrap_or_default()
    }

    /// A machine that takes work, with its room as the bookings of this replica
    /// leave it. Whoever books more there writes its part, so that a commit
    /// guarded by the part's version counts on no less than this.
    pub fn with_room(&self, spot: &PlanSlot) -> PlanSlot {
        let kind = self.class_type(&self.classes[spot.class as usize]);
        let booked = self.booked.get(&spot.machine).copied().unwrap_or_default();
        let room = kind.map_or(Resources::default(), Resources::of_type);
        PlanSlot {
            free: room - booked - spot.free,
            ..*spot
        }
    }

    /// The machine type of this name, if the cloud offers it.
    pub fn type_of(&self, kind: &str) -> Option<&crate::wire::MachineType> {
        self.types.value.types.iter().find(|t| t.name == kind)
    }

    /// The shortest boot time of all types.
    pub fn least_boot_s(&self) -> f64 {
        let types = &self.types.value.types;
        let least = types.iter().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// The slot that a machine has in its zone's record.
    pub fn slot(&self, machine: &str) -> Option<&MachineSlot> {
        let part = self.zone_shards.get(&*self.zone_shard_of(machine)?)?;
        part.value.machines.get(machine)
    }

    /// The part that has a machine's slot. Any of its home's may: they are
    /// merged while there is room, as a commit writes few.
    pub fn zone_shard_of(&self, machine: &str) -> Option<Rc<str>> {
        let number = self.machine_names.find(machine)?;
        let part = self.slot_parts.get(&number)?;
        Some(self.zone_shard_names.name(*part))
    }

    /// Whether a part stands in the compact encoding: nothing that was decided before
    /// these were written can change it any more, as its version is a newer one.
    pub fn is_compact_zone_shard(&self, id: &str) -> bool {
        self.compact_zone_shards.contains(id)
    }

    /// Whether records are written in their compact encodings: all controllers read
    /// them, and the limits are to fall. Otherwise they stand as ever.
    pub fn uses_compact_encoding(&self) -> bool {
        self.compact_limit.is_some() && self.upgraded()
    }

    /// Whether a part's compact encoding is within what a record may hold, with some
    /// to spare for what unbooked tasks take.
    pub fn fits_zone_shard(&self, part: &ZoneShard) -> bool {
        let most = self.compact_limit.unwrap_or(usize::MAX) / 10 * 9;
        // Few machines never fill a record.
        let short = || crate::text::encode_zone_shard(part).map_or(0, |t| t.len());
        part.machines.len() < 8 || short() <= most
    }

    /// Whether a job's record, as it will be written, is within `most` bytes.
    pub fn fits_job(&self, job: &Job, most: usize) -> bool {
        let trimmed = self.trimmed_job(job);
        self.job_bytes(trimmed.as_ref().unwrap_or(job)) <= most
    }

    /// The length of a job's record as it stands, not trimmed.
    fn job_bytes(&self, job: &Job) -> usize {
        let short = match self.uses_compact_encoding() {
            true => crate::text::encode_job(job),
            false => None,
        };
        let text = short.or_else(|| serde_json::to_string(job).ok());
        text.map_or(usize::MAX, |t| t.len())
    }

    /// The job as it has to be written if its record would exceed the coming
    /// limit, now or with the least that it runs at once; `None` where it fits.
    pub fn trimmed_job(&self, job: &Job) -> Option<Job> {
        let most = self.compact_limit.filter(|_| self.uses_compact_encoding())?;
        // Nearly all: told by a few lengths, as every write of a job asks.
        if !is_long(job, most) && self.job_bytes(job) <= most {
            return None;
        }
        let context = TrimContext {
            machine_types: &self.types.value.types,
            aimed_classes: &self.aimed_classes,
            is_done: &|id| self.state(id) == Some(JobStatus::Done),
        };
        record_trim::trim_job(job, &context, |job| {
            self.job_bytes(job) <= most && (!is_long(job, most) || self.runs_within(job, most))
        })
    }

    /// Whether an open job's record leaves room for the least that it runs.
    fn runs_within(&self, job: &Job, most: usize) -> bool {
        let Some(spec) = job.spec.as_ref().filter(|_| job.is_open()) else {
            return true;
        };
        let longest = |names: &mut dyn Iterator<Item = &str>| {
            let longest = names.max_by_key(|name| name.len());
            longest.unwrap_or_default().to_string()
        };
        let machine = longest(&mut self.machines.keys().map(String::as_str));
        let zone = longest(&mut self.zone_names.all());
        // What it awaits leaves its record before any of its tasks comes in.
        let least = crate::admission::least_record(spec, &machine, &zone);
        least.saturating_sub(spec.awaits_bytes()) <= most
    }

    /// The write of a job's record, in the encoding in force.
    pub fn put_job(&self, id: &str, job: &Job) -> Write {
        let trimmed = self.trimmed_job(job);
        let job = trimmed.as_ref().unwrap_or(job);
        let short = || crate::text::encode_job(job);
        self.put(job_key(id), job, short)
    }

    /// The write of a zone shard's record, in the encoding in force.
    pub fn put_zone_shard(&self, id: &str, part: &ZoneShard) -> Write {
        let short = || crate::text::encode_zone_shard(part);
        self.put(zone_shard_key(id), part, short)
    }

    /// The write of a machine group's record, in the encoding in force.
    pub fn put_machine_shard(&self, id: &str, group: &MachineShard) -> Write {
        let short = || crate::text::encode_machine_shard(group);
        self.put(machine_shard_key(id), group, short)
    }

    fn put<T: serde::Serialize>(
        &self,
        key: String,
        value: &T,
        short: impl FnOnce() -> Option<String>,
    ) -> Write {
        let text = self.uses_compact_encoding().then(short).flatten();
        match text.and_then(|t| RawValue::from_string(t).ok()) {
            Some(value) => Write::Put {
                key,
                value,
                lease: None,
            },
            None => crate::node::put(key, value),
        }
    }

    /// Safety 8: whether every controller of the deployment reads the newer
    /// formats, so that they may be written.
    pub fn upgraded(&self) -> bool {
        self.formats.value.all >= FORMATS
    }

    /// The version of a zone shard's record, 0 if there is none.
    pub fn zone_shard_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&zone_shard_key(id));
        self.zone_shards.get(id).map_or_else(absent, |e| e.version)
    }
    /// The version of a team's record, 0 if there is none.
    pub fn team_version(&self, team: &str) -> u64 {
        let absent = || self.absent_version(&team_key(team));
        self.teams.get(team).map_or_else(absent, |e| e.version)
    }
    /// What the team's bookings take; as with a part, whoever books more
    /// writes the team's record.
    pub fn team_used(&self, team: &str) -> Resources {
        self.team_booked.get(team).copied().unwrap_or_default()
    }
    /// What the bookings of every team take, by the teams' names.
    pub fn teams_used(&self) -> &HashMap<String, Resources> {
        &self.team_booked
    }
    /// The version of a job's record, 0 if it has none of its own.
    pub fn job_version(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |e| e.version)
    }
}
