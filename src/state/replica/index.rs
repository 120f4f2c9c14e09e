//! What the replica works out of the records as they come in: bookings by
//! machine, resources in use, planning slots, images.

use std::collections::{BTreeMap, BTreeSet};

use foldhash::HashMap;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{Entry, MachineClass, PlanSlot, Replica, parse, put};
use crate::state::keys::job_key;
use crate::state::records::{AcceptedBatch, Job, Machine, MachineShard, MachineSlot, Ranges, Spec};

const IMAGES_REMEMBERED: usize = 16;

/// A record of arrivals with its jobs yet to be read.
#[derive(Deserialize)]
pub(super) struct RawArrivals {
    #[serde(rename = "b")]
    accepted_revision: u64,
    #[serde(rename = "j")]
    jobs: BTreeMap<String, Box<RawValue>>,
}

/// Whether an open job's names, with a gang's places, take half of a record.
pub(super) fn is_long(job: &Job, most: usize) -> bool {
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
    /// Takes jobs that were accepted together. Each stands alone: one that cannot
    /// be read keeps none of the others away. Such a record is never settled.
    pub(super) fn set_accepted_batch(
        &mut self,
        key: &str,
        id: &str,
        version: u64,
        value: Option<&RawValue>,
    ) {
        let Some(value) = value else {
            put(&mut self.accepted_batches, id, version, None);
            return;
        };
        let Some(raw) = self.read::<RawArrivals>(key, version, value) else {
            put(&mut self.accepted_batches, id, version, None);
            return;
        };
        let mut accepted_batches = AcceptedBatch {
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
                    accepted_batches.jobs.insert(job, spec);
                }
                None if !has_own => {
                    self.unreadable.insert(own_key, 0);
                }
                None => {}
            }
        }
        let whole = accepted_batches.jobs.len() == count;
        put(
            &mut self.accepted_batches,
            id,
            version,
            whole.then_some(accepted_batches),
        );
    }

    pub(super) fn set_machine_shard(
        &mut self,
        id: &str,
        version: u64,
        machine_shard: Option<MachineShard>,
    ) {
        let old = match self.machine_shards.get(id) {
            Some(e) if e.version >= version => return,
            _ => self.machine_shards.remove(id).map(|e| e.value),
        };
        let (zone, shard) = id.split_once('/').unwrap_or((id, ""));
        let mut gone = old.unwrap_or_default().machines;
        for (name, machine) in machine_shard.iter().flat_map(|g| &g.machines) {
            let machine = Machine {
                zone: zone.to_string(),
                shard: shard.to_string(),
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
            // It stands in another machine shard now: a commit that moves it brings
            // both, in any order.
            let here = |e: &Entry<Machine>| e.value.zone == zone && e.value.shard == shard;
            if !self.machines.get(&name).is_some_and(here) {
                continue;
            }
            if let Some(n) = self.machine_names.find(&name) {
                self.images.remove(&n);
            }
            self.machines.remove(&name);
            self.changes.machines.insert(name);
        }
        if let Some(value) = machine_shard {
            self.machine_shards
                .insert(id.to_string(), Entry { version, value });
        }
    }

    pub(super) fn set_job(&mut self, id: &str, version: u64, job: Option<Job>) {
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

    pub(super) fn is_open_or_unknown(&self, id: &str) -> bool {
        self.jobs.get(id).is_none_or(|e| e.value.is_open())
    }

    /// Counts what a job's runs take, or no longer take.
    pub(super) fn count(&mut self, job: &Option<Job>, sign: i64) {
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
            let by_share = self.share_booked.entry(spec.team.clone()).or_default();
            by_share.add(job.share.as_ref(), spec.need.scaled(sign * all));
        }
    }

    /// What else in the replica follows from a job's runs.
    pub(super) fn index_job(&mut self, id: &str, old: Option<Job>, job: &Option<Job>) {
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

    pub(super) fn place_job(&mut self, id: &str, version: u64, job: Job) {
        let value = job;
        if self.compact_limit.is_some_and(|most| is_long(&value, most)) {
            self.long_jobs.insert(id.to_string());
        }
        self.jobs.insert(id.to_string(), Entry { version, value });
        self.index_job_dependencies(id);
    }

    /// Makes a zone shard's machines ready for planning.
    pub(super) fn index_zone_shard(&mut self, id: &str) {
        let shard = self.zone_shard_names.number(id);
        for spot in self.plan_slots.remove(id).into_iter().flatten() {
            if self.slot_shards.get(&spot.machine) == Some(&shard) {
                self.slot_shards.remove(&spot.machine);
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
        let plan_slots: Vec<PlanSlot> = slots
            .into_iter()
            .map(|(machine, slot)| PlanSlot {
                machine: self.machine_names.number(&machine),
                shard,
                class: self.class(&slot.kind, &zone, slot.spot),
                free: slot.unbooked,
            })
            .collect();
        for spot in &plan_slots {
            self.slot_shards.insert(spot.machine, shard);
        }
        self.plan_slots.insert(id.to_string(), plan_slots);
    }

    /// The number of a class of machines.
    pub fn class(&mut self, kind: &str, zone: &str, spot: bool) -> u32 {
        let key = (kind.to_string(), zone.to_string(), spot);
        if let Some(n) = self.class_numbers.get(&key) {
            return *n;
        }
        let n = self.classes.len() as u32;
        let zone_at = self.zone_names.number(zone);
        self.classes.push(MachineClass {
            kind: kind.to_string(),
            zone: self.zone_names.name(zone_at),
            zone_number: zone_at as usize,
            spot,
            type_index: self.types.value.types.iter().position(|t| t.name == kind),
        });
        self.class_numbers.insert(key, n);
        n
    }
}
