//! The view: this controller's replica of the state under the shared prefix.
//!
//! `revision` is what the watch has reached: everything up to it is here. A
//! commit of our own is laid into the view at once (`overlay`), ahead of the
//! watch, so that the next round does not decide on what it has just changed;
//! entries beyond `revision` serve planning only, never a launch.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::de::DeserializeOwned;

use crate::model::{Hire, Job, Machine, Renter, Room, Slot, Spec, Team, Types, Zone};
use crate::wire::{Event, Pair, Write};

/// All keys of the service begin with this; one watch covers them.
pub const PREFIX: &str = "sh/";

/// A key that never exists: reading it tells the current revision.
pub const BARRIER_KEY: &str = "sh-barrier";

pub const FLEET_KEY: &str = "sh/fleet";
pub const TYPES_KEY: &str = "sh/types";

pub fn job_key(id: &str) -> String {
    format!("{PREFIX}job/{id}")
}
pub fn team_key(name: &str) -> String {
    format!("{PREFIX}team/{name}")
}
pub fn zone_key(name: &str) -> String {
    format!("{PREFIX}zone/{name}")
}
pub fn machine_key(id: &str) -> String {
    format!("{PREFIX}machine/{id}")
}
pub fn node_key(name: &str) -> String {
    format!("{PREFIX}node/{name}")
}
pub fn hire_key(id: &str) -> String {
    format!("{PREFIX}hire/{id}")
}

/// A record with the revision of its last change.
#[derive(Debug, Clone, Default)]
pub struct Entry<T> {
    pub version: u64,
    pub value: T,
}

type Table<T> = BTreeMap<String, Entry<T>>;

/// What has changed since it was last asked.
#[derive(Debug, Default)]
pub struct Changes {
    pub machines: BTreeSet<String>,
    pub jobs: BTreeSet<String>,
}

#[derive(Debug, Default)]
pub struct View {
    /// Complete up to here; 0 until the first full read.
    pub revision: u64,
    pub loaded: bool,
    pub jobs: HashMap<String, Entry<Job>>,
    pub teams: Table<Team>,
    pub zones: Table<Zone>,
    pub machines: Table<Machine>,
    pub hires: Table<Hire>,
    pub types: Entry<Types>,
    pub fleet: Option<Entry<Renter>>,
    /// Controllers whose state lease stands.
    pub nodes: Table<Renter>,
    /// Jobs that are not final, in the order of acceptance.
    pub open: BTreeSet<(u64, String)>,
    /// Which jobs book something on a machine.
    pub bookings: HashMap<String, BTreeSet<String>>,
    /// Removals of our own that the watch has not reached yet.
    removed: HashMap<String, u64>,
    /// Images that have been sent to a machine, the latest last. Memory only:
    /// a hint for placing, rebuilt as bookings are seen.
    images: HashMap<String, Vec<String>>,
    /// The latest job that needs accelerators: what machines with accelerators
    /// are kept free for. A hint, too.
    pub gpu_spec: Option<Spec>,
    pub changes: Changes,
}

const IMAGES_REMEMBERED: usize = 16;

fn parse<T: DeserializeOwned>(key: &str, value: serde_json::Value) -> Option<T> {
    match serde_json::from_value(value) {
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

impl View {
    /// Takes a full read in place of what was known.
    pub fn reload(&mut self, pairs: Vec<Pair>, revision: u64) {
        let images = std::mem::take(&mut self.images);
        let gpu_spec = self.gpu_spec.take();
        let mut changes = std::mem::take(&mut self.changes);
        changes.machines.extend(self.machines.keys().cloned());
        *self = View {
            images,
            gpu_spec,
            changes,
            loaded: true,
            revision,
            ..View::default()
        };
        for pair in pairs {
            self.set(&pair.key, pair.version, Some(pair.value));
        }
        // A page may be newer than the revision of the first: the watch goes
        // on from the oldest, and older events than an entry are passed over.
    }

    /// Takes what the watch brought.
    pub fn advance(&mut self, events: Vec<Event>, revision: u64) {
        for event in events {
            match event {
                Event::Put {
                    key,
                    value,
                    version,
                } => self.set(&key, version, Some(value)),
                Event::Delete { key, version } => self.set(&key, version, None),
            }
        }
        self.revision = self.revision.max(revision);
        let reached = self.revision;
        self.removed.retain(|_, v| *v > reached);
    }

    /// Lays a commit of our own over the view, ahead of the watch.
    pub fn overlay(&mut self, writes: &[Write], revision: u64) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => self.set(key, revision, Some(value.clone())),
                Write::Delete { key } => {
                    self.set(key, revision, None);
                    if revision > self.revision {
                        self.removed.insert(key.clone(), revision);
                    }
                }
            }
        }
    }

    fn set(&mut self, key: &str, version: u64, value: Option<serde_json::Value>) {
        if self.removed.get(key).is_some_and(|v| *v >= version) {
            return;
        }
        let Some(rest) = key.strip_prefix(PREFIX) else {
            return;
        };
        let (table, id) = rest.split_once('/').unwrap_or((rest, ""));
        match table {
            "job" => {
                let job = value.and_then(|v| parse::<Job>(key, v));
                self.set_job(id, version, job);
            }
            "team" => {
                put(
                    &mut self.teams,
                    id,
                    version,
                    value.and_then(|v| parse(key, v)),
                );
            }
            "zone" => {
                put(
                    &mut self.zones,
                    id,
                    version,
                    value.and_then(|v| parse(key, v)),
                );
            }
            "machine" => {
                let machine = value.and_then(|v| parse(key, v));
                if machine.is_none() {
                    self.images.remove(id);
                }
                if put(&mut self.machines, id, version, machine) {
                    self.changes.machines.insert(id.to_string());
                }
            }
            "hire" => {
                put(
                    &mut self.hires,
                    id,
                    version,
                    value.and_then(|v| parse(key, v)),
                );
            }
            "node" => {
                put(
                    &mut self.nodes,
                    id,
                    version,
                    value.and_then(|v| parse(key, v)),
                );
            }
            "types" => {
                if let Some(value) = value.and_then(|v| parse::<Types>(key, v))
                    && version > self.types.version
                {
                    self.types = Entry { version, value };
                }
            }
            "fleet" => {
                if self.fleet.as_ref().is_none_or(|e| e.version < version) {
                    let renter = value.and_then(|v| parse(key, v));
                    self.fleet = renter.map(|value| Entry { version, value });
                }
            }
            _ => tracing::debug!(key, "unknown key"),
        }
    }

    fn set_job(&mut self, id: &str, version: u64, job: Option<Job>) {
        let old = self.jobs.get(id);
        if old.is_some_and(|e| e.version >= version) {
            return;
        }
        if let Some(old) = old {
            if old.value.is_open() {
                self.open.remove(&(old.value.born, id.to_string()));
            }
            for run in &old.value.runs {
                if let Some(set) = self.bookings.get_mut(&run.machine) {
                    set.remove(id);
                    if set.is_empty() {
                        self.bookings.remove(&run.machine);
                    }
                }
                self.changes.machines.insert(run.machine.clone());
            }
        }
        self.changes.jobs.insert(id.to_string());
        let Some(job) = job else {
            self.jobs.remove(id);
            return;
        };
        if job.is_open() {
            self.open.insert((job.born, id.to_string()));
        }
        if let Some(spec) = &job.spec
            && spec.need.gpus.0 > 0
        {
            self.gpu_spec = Some(spec.clone());
        }
        for run in &job.runs {
            self.bookings
                .entry(run.machine.clone())
                .or_default()
                .insert(id.to_string());
            self.changes.machines.insert(run.machine.clone());
            if let Some(spec) = &job.spec {
                let images = self.images.entry(run.machine.clone()).or_default();
                if images.last() != Some(&spec.image) {
                    images.retain(|i| *i != spec.image);
                    images.push(spec.image.clone());
                    if images.len() > IMAGES_REMEMBERED {
                        images.remove(0);
                    }
                }
            }
        }
        self.jobs.insert(
            id.to_string(),
            Entry {
                version,
                value: job,
            },
        );
    }

    /// Whether the machine has been sent this image before.
    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.images
            .get(machine)
            .is_some_and(|v| v.iter().any(|i| i == image))
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
    pub fn booked_on(&self, machine: &str) -> Room {
        let mut used = Room::default();
        for (_, job) in self.jobs_on(machine) {
            if let Some(spec) = &job.value.spec {
                for run in job.value.runs.iter().filter(|r| r.machine == machine) {
                    used += spec.need.times(run.tasks.len());
                }
            }
        }
        used
    }

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
    pub fn slot(&self, zone: &str, machine: &str) -> Option<&Slot> {
        self.zones.get(zone)?.value.machines.get(machine)
    }

    pub fn zone_version(&self, zone: &str) -> u64 {
        self.zones.get(zone).map_or(0, |e| e.version)
    }
    pub fn team_version(&self, team: &str) -> u64 {
        self.teams.get(team).map_or(0, |e| e.version)
    }
    pub fn team_used(&self, team: &str) -> Room {
        self.teams
            .get(team)
            .map_or(Room::default(), |e| e.value.used)
    }
    pub fn job_version(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |e| e.version)
    }
}
