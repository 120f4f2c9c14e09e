//! Lookups in the replica.

use foldhash::HashMap;

use super::{Entry, Replica};
use crate::state::keys::{machine_shard_key, team_key, zone_shard_key};
use crate::state::records::{Job, Resources};
use crate::wire::MachineType;

impl Replica {
    /// The version of a machine shard's record, 0 if there is none.
    pub fn machine_shard_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&machine_shard_key(id));
        self.machine_shards
            .get(id)
            .map_or_else(absent, |e| e.version)
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

    /// The machine type of this name, if the cloud offers it.
    pub fn machine_type(&self, kind: &str) -> Option<&MachineType> {
        self.types.value.types.iter().find(|t| t.name == kind)
    }

    /// The shortest boot time of all types.
    pub fn min_boot_s(&self) -> f64 {
        let types = &self.types.value.types;
        let shortest = types.iter().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        if shortest.is_finite() { shortest } else { 0.0 }
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
