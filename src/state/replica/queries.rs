//! Looks up records and derived values in the replica.

use foldhash::HashMap;

use super::{Replica, Versioned};
use crate::state::keys::{machine_shard_key, team_key, zone_shard_key};
use crate::state::records::{Capacity, Job, Resources};
use crate::wire::MachineType;

impl Replica {
    /// Returns the version of a machine shard's record, or 0 if there is none.
    pub fn machine_shard_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&machine_shard_key(id));
        self.machine_shards
            .get(id)
            .map_or_else(absent, |entry| entry.version)
    }

    /// Returns the number of an image, or `None` if the image has no number yet.
    pub fn image_number(&self, image: &str) -> Option<u32> {
        self.image_names.find(image)
    }

    /// Returns whether a task with the image was recently booked on the machine, which then
    /// probably has the image.
    pub fn has_image(&self, machine: u32, image_number: Option<u32>) -> bool {
        let images = self.images.get(&machine);
        image_number.is_some_and(|number| images.is_some_and(|images| images.contains(&number)))
    }

    /// Returns the jobs that have bookings on a machine, with their ids.
    pub fn jobs_on<'a>(
        &'a self,
        machine: &str,
    ) -> impl Iterator<Item = (&'a str, &'a Versioned<Job>)> {
        self.bookings
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|id| self.jobs.get_key_value(id))
            .map(|(id, entry)| (id.as_str(), entry))
    }

    /// Returns the capacity that the bookings on a machine take.
    pub fn booked_on(&self, machine: &str) -> Capacity {
        let number = self.machine_names.find(machine);
        let booked = number.and_then(|number| self.booked.get(&number));
        booked.copied().unwrap_or_default()
    }

    /// Returns the machine type with this name, if the cloud offers it.
    pub fn machine_type(&self, kind: &str) -> Option<&MachineType> {
        self.types
            .value
            .types
            .iter()
            .find(|machine_type| machine_type.name == kind)
    }

    /// Returns the shortest boot time of all machine types, in seconds; 0 if there are no
    /// types.
    pub fn min_boot_s(&self) -> f64 {
        let types = &self.types.value.types;
        let shortest = types
            .iter()
            .map(|machine_type| machine_type.boot_s)
            .fold(f64::INFINITY, f64::min);
        if shortest.is_finite() { shortest } else { 0.0 }
    }

    /// Returns whether a zone shard's record is in the compact encoding.
    ///
    /// Such a record was written after every controller could read compact encodings. A
    /// commit that was decided before then has an older version of the record as a
    /// precondition, so it can no longer change the record.
    pub fn is_compact_zone_shard(&self, id: &str) -> bool {
        self.compact_zone_shards.contains(id)
    }

    /// Returns the version of a zone shard's record, or 0 if there is none.
    pub fn zone_shard_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&zone_shard_key(id));
        self.zone_shards
            .get(id)
            .map_or_else(absent, |entry| entry.version)
    }

    /// Returns the version of a team's record, or 0 if there is none.
    pub fn team_version(&self, team: &str) -> u64 {
        let absent = || self.absent_version(&team_key(team));
        self.teams
            .get(team)
            .map_or_else(absent, |entry| entry.version)
    }

    /// Returns the resources that a team's bookings take. A controller that books more for the
    /// team also writes the team's record. If a commit succeeds with the version of that
    /// record as a precondition, the team therefore uses at most these resources.
    pub fn team_used(&self, team: &str) -> Resources {
        self.team_booked.get(team).copied().unwrap_or_default()
    }

    /// Returns the resources that bookings take, by team.
    pub fn teams_used(&self) -> &HashMap<String, Resources> {
        &self.team_booked
    }

    /// Returns the version of a job's record, or 0 if it has no record of its own.
    pub fn job_version(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |entry| entry.version)
    }
}
