//! The replica: this controller's replica of the state under the shared prefix.
//!
//! `revision` is what the watch has reached: everything up to it is here. A
//! commit of our own is laid into the replica at once (`overlay`), ahead of the
//! watch, so that the next round does not decide on what it has just changed;
//! entries beyond `revision` serve planning only, never a launch.

mod index;
mod queries;
mod shares;
mod unreadable;
mod writes;

pub use shares::{MachineSums, fallback_controller};

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ::shares::{MoveRecord, Pool, Share};
use foldhash::HashMap;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::dependencies::DependencyGraph;
use crate::state::keys::PREFIX;
use crate::state::names::Names;
use crate::state::records::{
    AcceptedBatch, ControllerRecord, Formats, Job, Machine, MachineShard, ProvisioningRequest,
    Resources, Spec, Team, Types, ZoneShard,
};
use crate::wire::{Event, StoredRecord, Write};

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

/// Machines of one type, zone and kind: what a job may or may not run on.
#[derive(Debug, Clone)]
pub struct MachineClass {
    /// The machine type.
    pub kind: String,
    /// The zone.
    pub zone: Rc<str>,
    /// The zone's number among `Replica::zone_names`.
    pub zone_number: usize,
    /// Whether they are spot machines.
    pub spot: bool,
    /// Where its type stands in the types' record, if it does.
    pub type_index: Option<usize>,
}

/// A machine that takes work, as small as planning can have it.
#[derive(Debug, Clone, Copy)]
pub struct PlanSlot {
    /// Its number among `Replica::machine_names`.
    pub machine: u32,
    /// The number of its zone shard's key among `Replica::zone_shard_names`.
    pub shard: u32,
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
    /// The splits of teams' rooms, by the teams' names.
    pub shares: Table<Share>,
    /// What is booked against each share, as last recounted, by `team/controller`.
    pub share_uses: Table<Team>,
    /// The pool that shares grow from, if there is one.
    pub pool: Option<Entry<Pool>>,
    /// The moves that were asked for, by their ids.
    pub moves: Table<MoveRecord>,
    /// The zones' records, by `zone/part`.
    pub zone_shards: Table<ZoneShard>,
    /// All machines, each with the revision of its own last change.
    pub machines: Table<Machine>,
    /// The records that they stand in, by `zone/part`.
    pub machine_shards: Table<MachineShard>,
    /// Rentals by the names of their requests.
    pub provisioning_requests: Table<ProvisioningRequest>,
    /// Jobs that were accepted together, by the names of those writes.
    pub accepted_batches: Table<AcceptedBatch>,
    /// The cloud's machine types as last read.
    pub types: Entry<Types>,
    /// The controller that rents machines, if there is one.
    pub fleet: Option<Entry<ControllerRecord>>,
    /// Which controllers know the newer formats.
    pub formats: Entry<Formats>,
    /// Controllers whose state lease stands.
    pub controllers: Table<ControllerRecord>,
    /// Jobs that are not final and await no others, in the order of acceptance:
    /// those that take part in anything.
    pub open_jobs: BTreeSet<(u64, String)>,
    /// Which jobs book something on a machine.
    pub bookings: HashMap<String, BTreeSet<String>>,
    /// What bookings take of each machine, by its number, and of each team.
    booked: HashMap<u32, Resources>,
    team_booked: HashMap<String, Resources>,
    /// What the machines on record have, once it was asked for since they changed.
    machine_sums: Cell<Option<MachineSums>>,
    /// The same by the share that they count against.
    share_booked: HashMap<String, shares::BookedByShare>,
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
    pub classes: Vec<MachineClass>,
    class_numbers: HashMap<(String, String, bool), u32>,
    /// The zone shards' machines, ready for planning.
    plan_slots: BTreeMap<String, Vec<PlanSlot>>,
    /// The zone shard that has a machine's slot, by their numbers.
    slot_shards: HashMap<u32, u32>,
    /// Parts that stand in the compact encoding.
    compact_zone_shards: BTreeSet<String>,
    /// What a record may hold, where the limits are to fall: from the settings.
    pub compact_limit: Option<usize>,
    /// Records that hold more, with what they hold.
    pub oversized_records: BTreeMap<String, usize>,
    /// Open jobs whose specification may leave too little of a record for their
    /// tasks: a coarse choice by length, `trimmed_job` decides.
    pub long_jobs: BTreeSet<String>,
    /// Classes that an objective of the settings names.
    pub slo_classes: BTreeSet<String>,
    /// The latest job that needs accelerators: what machines with accelerators
    /// are kept free for. A hint, too.
    pub gpu_spec: Option<Spec>,
    /// What has changed since it was last taken.
    pub changes: Changes,
    /// Keys whose records cannot be read, with their versions: nothing is known
    /// of what they say, but whoever writes them anew guards these versions.
    unreadable: BTreeMap<String, u64>,
    /// What follows from jobs that await others, see there.
    pub(crate) dependency_graph: DependencyGraph,
}

pub(super) fn parse<T: DeserializeOwned>(key: &str, value: &RawValue) -> Option<T> {
    match serde_json::from_str(value.get()) {
        Ok(v) => Some(v),
        Err(error) => {
            tracing::error!(key, %error, "record not understood");
            None
        }
    }
}

pub(super) fn put<T>(table: &mut Table<T>, id: &str, version: u64, value: Option<T>) -> bool {
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
    pub fn reload(&mut self, pairs: Vec<StoredRecord>, revision: u64) {
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
            slo_classes: old.slo_classes,
            changes,
            dependency_graph: old.dependency_graph.after_reload(),
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
                Some(bytes) => self.oversized_records.insert(key.to_string(), bytes),
                None => self.oversized_records.remove(key),
            };
        }
        if matches!(table, "machine" | "types" | "formats") {
            self.machine_sums.set(None);
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
            "share" => {
                let share = value.and_then(|v| self.read(key, version, v));
                put(&mut self.shares, id, version, share);
            }
            "use" => {
                let used = value.and_then(|v| self.read(key, version, v));
                put(&mut self.share_uses, id, version, used);
            }
            "move" => {
                let record = value.and_then(|v| self.read(key, version, v));
                put(&mut self.moves, id, version, record);
            }
            "pool" => {
                if self.pool.as_ref().is_none_or(|e| e.version < version) {
                    let pool = value.and_then(|v| self.read(key, version, v));
                    self.pool = pool.map(|value| Entry { version, value });
                }
            }
            "zone" => {
                let shard = value.and_then(|v| self.read(key, version, v));
                if put(&mut self.zone_shards, id, version, shard) {
                    match value
                        .is_some_and(|v| crate::state::encoding::is_compact_zone_shard(v.get()))
                    {
                        true => self.compact_zone_shards.insert(id.to_string()),
                        false => self.compact_zone_shards.remove(id),
                    };
                    self.index_zone_shard(id);
                }
            }
            "machine" => {
                let machine_shard = value.and_then(|v| self.read(key, version, v));
                self.set_machine_shard(id, version, machine_shard);
            }
            "hire" => {
                let hire = value.and_then(|v| self.read(key, version, v));
                put(&mut self.provisioning_requests, id, version, hire);
            }
            "new" => {
                self.set_accepted_batch(key, id, version, value);
            }
            "node" => {
                let fleet_leader = value.and_then(|v| self.read(key, version, v));
                put(&mut self.controllers, id, version, fleet_leader);
            }
            "types" => {
                let types = value.and_then(|v| self.read::<Types>(key, version, v));
                if let Some(value) = types
                    && version > self.types.version
                {
                    self.types = Entry { version, value };
                    for class in &mut self.classes {
                        let types = &self.types.value.types;
                        class.type_index = types.iter().position(|t| t.name == class.kind);
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
                    let fleet_leader = value.and_then(|v| self.read(key, version, v));
                    self.fleet = fleet_leader.map(|value| Entry { version, value });
                }
            }
            _ => tracing::debug!(key, "unknown key"),
        }
    }
}
