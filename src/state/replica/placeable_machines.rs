//! Indexes the machines on which tasks may be placed. The index refers to machines, zone
//! shards and classes of machines by numbers instead of names, so that planning can copy and
//! compare its entries cheaply.

use std::rc::Rc;

use super::Replica;
use crate::state::records::{Capacity, MachineSlot, Resources};
use crate::wire::MachineType;

/// Class of machines with the same type, zone and spot flag. A job is allowed on all
/// machines of a class or on none.
#[derive(Debug, Clone)]
pub struct MachineClass {
    /// Name of the machine type.
    pub kind: String,
    /// Name of the zone.
    pub zone: Rc<str>,
    /// Number of the zone in `Replica::zone_names`.
    pub zone_number: usize,
    /// True for spot machines.
    pub spot: bool,
    /// Index of the machine type in the record of machine types, if the cloud offers it.
    pub type_index: Option<usize>,
}

/// Properties that the machines of a class have in common, as a key.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct ClassKey {
    kind: String,
    zone: String,
    spot: bool,
}

impl ClassKey {
    /// Creates the key of a class of machines.
    fn new(kind: &str, zone: &str, spot: bool) -> Self {
        ClassKey {
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}

/// Entry of the index: a machine on which tasks may be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlaceableMachine {
    /// Number of the machine in `Replica::machine_names`.
    pub machine: u32,
    /// Number of the machine's zone shard in `Replica::zone_shard_names`.
    pub shard: u32,
    /// Number of the machine's class in `Replica::classes`.
    pub class: u32,
    /// Resources that tasks without a booking take.
    unbooked: Resources,
}

impl Replica {
    /// Returns the number of a class of machines, if it has one.
    pub fn find_class(&self, kind: &str, zone: &str, spot: bool) -> Option<u32> {
        let key = ClassKey::new(kind, zone, spot);
        self.class_numbers.get(&key).copied()
    }

    /// Returns the machine type of a class, if the cloud still offers it.
    pub fn class_type(&self, class: &MachineClass) -> Option<&MachineType> {
        self.types.value.types.get(class.type_index?)
    }

    /// Returns the machines on which tasks may be placed: those that a zone shard lists and
    /// that are in service. A zone shard may list a machine that has left service if the
    /// commit which listed it was decided by an earlier version of the software.
    pub fn placeable_machines(&self) -> impl Iterator<Item = &PlaceableMachine> {
        let listed = self.placeable_machines.values().flatten();
        listed.filter(|entry| self.is_in_service(entry.machine))
    }

    /// Returns the free capacity of a machine according to the bookings in this replica. A
    /// controller that books more on the machine also writes the machine's zone shard. If a
    /// commit succeeds with the zone shard's version as a precondition, the machine therefore
    /// has at least this free capacity.
    pub fn free_capacity(&self, machine: &PlaceableMachine) -> Capacity {
        let machine_type = self.class_type(&self.classes[machine.class as usize]);
        let capacity = machine_type.map_or(Capacity::default(), MachineType::capacity);
        let booked = self
            .booked
            .get(&machine.machine)
            .copied()
            .unwrap_or_default();
        let mut free = capacity - booked;
        free.resources -= machine.unbooked;
        free
    }

    /// Returns the slot of a machine in its zone shard.
    pub fn slot(&self, machine: &str) -> Option<&MachineSlot> {
        let shard = self.zone_shards.get(&*self.zone_shard_of(machine)?)?;
        shard.value.machines.get(machine)
    }

    /// Returns the id of the zone shard that lists a machine. This may be any zone shard of the
    /// machine's home controller, the one after which the machine's shard is named: shards
    /// are merged while they have space, because a commit can write only a few records.
    pub fn zone_shard_of(&self, machine: &str) -> Option<Rc<str>> {
        let number = self.machine_names.find(machine)?;
        let shard = self.slot_shards.get(&number)?;
        Some(self.zone_shard_names.name(*shard))
    }

    /// Rebuilds the index entries of a zone shard's machines.
    pub(super) fn index_zone_shard(&mut self, id: &str) {
        let shard = self.zone_shard_names.number(id);
        for entry in self.placeable_machines.remove(id).into_iter().flatten() {
            if self.slot_shards.get(&entry.machine) == Some(&shard) {
                self.slot_shards.remove(&entry.machine);
            }
        }
        let Some(entry) = self.zone_shards.get(id) else {
            return;
        };
        let zone = id.split('/').next().unwrap_or(id).to_string();
        let machines: Vec<(String, MachineSlot)> = entry
            .value
            .machines
            .iter()
            .map(|(name, slot)| (name.clone(), slot.clone()))
            .collect();
        let entries: Vec<PlaceableMachine> = machines
            .into_iter()
            .map(|(machine, slot)| PlaceableMachine {
                machine: self.machine_names.number(&machine),
                shard,
                class: self.class_number(&slot.kind, &zone, slot.spot),
                unbooked: slot.unbooked,
            })
            .collect();
        for entry in &entries {
            self.slot_shards.insert(entry.machine, shard);
        }
        self.placeable_machines.insert(id.to_string(), entries);
    }

    /// Returns the number of a class of machines, and assigns one if it has none.
    pub fn class_number(&mut self, kind: &str, zone: &str, spot: bool) -> u32 {
        let key = ClassKey::new(kind, zone, spot);
        if let Some(number) = self.class_numbers.get(&key) {
            return *number;
        }
        let number = self.classes.len() as u32;
        let zone_number = self.zone_names.number(zone);
        self.classes.push(MachineClass {
            kind: kind.to_string(),
            zone: self.zone_names.name(zone_number),
            zone_number: zone_number as usize,
            spot,
            type_index: self.type_index(kind),
        });
        self.class_numbers.insert(key, number);
        number
    }

    /// Updates the type indexes of all classes after a change of the machine types.
    pub(super) fn index_machine_types(&mut self) {
        let types = &self.types.value.types;
        for class in &mut self.classes {
            class.type_index = types
                .iter()
                .position(|machine_type| machine_type.name == class.kind);
        }
    }

    /// Returns the index of a machine type in the record of machine types.
    fn type_index(&self, kind: &str) -> Option<usize> {
        let mut types = self.types.value.types.iter();
        types.position(|machine_type| machine_type.name == kind)
    }
}
