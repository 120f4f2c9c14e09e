//! Questions to the replica.

use std::rc::Rc;

use foldhash::HashMap;

use super::{Entry, MachineClass, PlanSlot, Replica};
use crate::state::keys::{machine_shard_key, team_key, zone_shard_key};
use crate::state::records::{Job, MachineSlot, Resources};
use crate::wire::MachineType;

impl Replica {
    /// The version of a machine shard's record, 0 if there is none.
    pub fn machine_shard_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&machine_shard_key(id));
        self.machine_shards
            .get(id)
            .map_or_else(absent, |e| e.version)
    }

    /// The number of a class of machines, if it has one.
    pub fn find_class(&self, kind: &str, zone: &str, spot: bool) -> Option<u32> {
        let key = (kind.to_string(), zone.to_string(), spot);
        self.class_numbers.get(&key).copied()
    }

    /// The machine type of a class, if the cloud still offers it.
    pub fn class_type(&self, class: &MachineClass) -> Option<&crate::wire::MachineType> {
        self.types.value.types.get(class.type_index?)
    }

    /// All machines that take work.
    pub fn plan_slots(&self) -> impl Iterator<Item = &PlanSlot> {
        self.plan_slots.values().flatten()
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
    /// leave it. Whoever books more there writes its zone shard, so that a commit
    /// guarded by the zone shard's version counts on no less than this.
    pub fn with_free_resources(&self, spot: &PlanSlot) -> PlanSlot {
        let kind = self.class_type(&self.classes[spot.class as usize]);
        let booked = self.booked.get(&spot.machine).copied().unwrap_or_default();
        let room = kind.map_or(Resources::default(), MachineType::resources);
        PlanSlot {
            free: room - booked - spot.free,
            ..*spot
        }
    }

    /// The machine type of this name, if the cloud offers it.
    pub fn machine_type(&self, kind: &str) -> Option<&crate::wire::MachineType> {
        self.types.value.types.iter().find(|t| t.name == kind)
    }

    /// The shortest boot time of all types.
    pub fn min_boot_s(&self) -> f64 {
        let types = &self.types.value.types;
        let least = types.iter().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// The slot that a machine has in its zone's record.
    pub fn slot(&self, machine: &str) -> Option<&MachineSlot> {
        let shard = self.zone_shards.get(&*self.zone_shard_of(machine)?)?;
        shard.value.machines.get(machine)
    }

    /// The zone shard that has a machine's slot. Any of its home's may: they are
    /// merged while there is room, as a commit writes few.
    pub fn zone_shard_of(&self, machine: &str) -> Option<Rc<str>> {
        let number = self.machine_names.find(machine)?;
        let shard = self.slot_shards.get(&number)?;
        Some(self.zone_shard_names.name(*shard))
    }

    /// Whether a zone shard stands in the compact encoding: nothing that was decided before
    /// these were written can change it any more, as its version is a newer one.
    pub fn is_compact_zone_shard(&self, id: &str) -> bool {
        self.compact_zone_shards.contains(id)
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

    /// What the team's bookings take; as with a zone shard, whoever books more
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
