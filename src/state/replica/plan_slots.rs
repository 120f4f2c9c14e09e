//! The machines that take work, ready for planning: by numbers in place of names.

use std::rc::Rc;

use super::Replica;
use crate::state::records::{MachineSlot, Resources};
use crate::wire::MachineType;

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

/// What tells classes of machines apart.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct ClassKey {
    kind: String,
    zone: String,
    spot: bool,
}

impl ClassKey {
    fn new(kind: &str, zone: &str, spot: bool) -> Self {
        ClassKey {
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
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

impl Replica {
    /// The number of a class of machines, if it has one.
    pub fn find_class(&self, kind: &str, zone: &str, spot: bool) -> Option<u32> {
        let key = ClassKey::new(kind, zone, spot);
        self.class_numbers.get(&key).copied()
    }

    /// The machine type of a class, if the cloud still offers it.
    pub fn class_type(&self, class: &MachineClass) -> Option<&MachineType> {
        self.types.value.types.get(class.type_index?)
    }

    /// All machines that take work.
    pub fn plan_slots(&self) -> impl Iterator<Item = &PlanSlot> {
        self.plan_slots.values().flatten()
    }

    /// A machine that takes work, with its free capacity as the bookings of this replica
    /// leave it. Whoever books more there writes its zone shard, so that a commit
    /// guarded by the zone shard's version counts on no less than this.
    pub fn with_free_resources(&self, slot: &PlanSlot) -> PlanSlot {
        let machine_type = self.class_type(&self.classes[slot.class as usize]);
        let capacity = machine_type.map_or(Resources::default(), MachineType::resources);
        let booked = self.booked.get(&slot.machine).copied().unwrap_or_default();
        PlanSlot {
            free: capacity - booked - slot.free,
            ..*slot
        }
    }

    /// The slot that a machine has in its zone's record.
    pub fn slot(&self, machine: &str) -> Option<&MachineSlot> {
        let shard = self.zone_shards.get(&*self.zone_shard_of(machine)?)?;
        shard.value.machines.get(machine)
    }

    /// The zone shard that has a machine's slot. Any of its home's may: they are
    /// merged while there is space, as a commit writes few.
    pub fn zone_shard_of(&self, machine: &str) -> Option<Rc<str>> {
        let number = self.machine_names.find(machine)?;
        let shard = self.slot_shards.get(&number)?;
        Some(self.zone_shard_names.name(*shard))
    }

    /// Makes a zone shard's machines ready for planning.
    pub(super) fn index_zone_shard(&mut self, id: &str) {
        let shard = self.zone_shard_names.number(id);
        for slot in self.plan_slots.remove(id).into_iter().flatten() {
            if self.slot_shards.get(&slot.machine) == Some(&shard) {
                self.slot_shards.remove(&slot.machine);
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
        let plan_slots: Vec<PlanSlot> = machines
            .into_iter()
            .map(|(machine, slot)| PlanSlot {
                machine: self.machine_names.number(&machine),
                shard,
                class: self.class(&slot.kind, &zone, slot.spot),
                free: slot.unbooked,
            })
            .collect();
        for slot in &plan_slots {
            self.slot_shards.insert(slot.machine, shard);
        }
        self.plan_slots.insert(id.to_string(), plan_slots);
    }

    /// The number of a class of machines, which is given one if it has none.
    pub fn class(&mut self, kind: &str, zone: &str, spot: bool) -> u32 {
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

    /// Finds the classes' types anew, once the machine types have changed.
    pub(super) fn index_machine_types(&mut self) {
        let types = &self.types.value.types;
        for class in &mut self.classes {
            class.type_index = types.iter().position(|t| t.name == class.kind);
        }
    }

    fn type_index(&self, kind: &str) -> Option<usize> {
        let mut types = self.types.value.types.iter();
        types.position(|machine_type| machine_type.name == kind)
    }
}
