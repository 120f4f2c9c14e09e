//! Machines that are not in service, but that zone shards or bookings still name.
//!
//! A machine's record is deleted only after the cloud has confirmed that the machine is gone,
//! and the cloud uses no name twice. A machine that was booked and has no record is therefore
//! gone for good.

use std::rc::Rc;

use super::Replica;
use crate::state::keys::MACHINE_SHARD_PREFIX;
use crate::state::records::MachineLifecycle;

/// Slot in a zone shard of a machine that is not in service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaleSlot {
    /// Id of the zone shard that contains the slot.
    pub zone_shard: String,
    /// Name of the machine.
    pub machine: Rc<str>,
    /// Lifecycle state of the machine; `None` if the machine has no record.
    pub lifecycle: Option<MachineLifecycle>,
}

impl Replica {
    /// Returns whether the machine with this number has a record by which it is in service.
    pub(super) fn is_in_service(&self, machine: u32) -> bool {
        self.lifecycles.get(&machine) == Some(&MachineLifecycle::Active)
    }

    /// Returns the slots of machines that are not in service. Returns none while a machine
    /// shard cannot be read, as it may contain the records of these machines.
    pub fn stale_slots(&self) -> Vec<StaleSlot> {
        if self.has_unreadable_machine_shard() {
            return Vec::new();
        }
        let mut stale = Vec::new();
        for (zone_shard, slots) in &self.placeable_machines {
            let departed = slots
                .iter()
                .filter(|slot| !self.is_in_service(slot.machine));
            stale.extend(departed.map(|slot| StaleSlot {
                zone_shard: zone_shard.clone(),
                machine: self.machine_names.name(slot.machine),
                lifecycle: self.lifecycles.get(&slot.machine).copied(),
            }));
        }
        stale
    }

    /// Returns the machines with bookings that have no record. Returns none while a machine
    /// shard cannot be read.
    pub fn booked_machines_without_record(&self) -> impl Iterator<Item = &str> {
        let is_known = !self.has_unreadable_machine_shard();
        let booked = self.bookings.keys().filter(move |_| is_known);
        booked
            .map(String::as_str)
            .filter(|machine| !self.has_record(machine))
    }

    /// Returns whether a machine is gone for good because it has no record, although the
    /// version `booked_at` of a job's record has a booking on it. The replica must have reached
    /// that version: the record of a machine precedes the bookings on it.
    pub fn is_gone_without_record(&self, machine: &str, booked_at: u64) -> bool {
        booked_at <= self.revision
            && !self.has_record(machine)
            && !self.has_unreadable_machine_shard()
    }

    fn has_record(&self, machine: &str) -> bool {
        let number = self.machine_names.find(machine);
        number.is_some_and(|number| self.lifecycles.contains_key(&number))
    }

    fn has_unreadable_machine_shard(&self) -> bool {
        let mut keys = self.unreadable.range(MACHINE_SHARD_PREFIX.to_string()..);
        keys.next()
            .is_some_and(|(key, _)| key.starts_with(MACHINE_SHARD_PREFIX))
    }
}
