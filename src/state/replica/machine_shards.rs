//! Applies the records of machine shards to the replica. Each record contains the machines
//! of one shard, which the replica also keeps in a table by machine id.

use super::{Replica, Versioned};
use crate::state::records::{Machine, MachineShard};

impl Replica {
    /// Applies the record of a machine shard, or its removal, to the table of shards and to
    /// the table of machines.
    pub(super) fn set_machine_shard(
        &mut self,
        id: &str,
        version: u64,
        machine_shard: Option<MachineShard>,
    ) {
        let old = match self.machine_shards.get(id) {
            Some(known) if known.version >= version => return,
            _ => self.machine_shards.remove(id).map(|entry| entry.value),
        };
        let (zone, shard) = id.split_once('/').unwrap_or((id, ""));
        let mut missing = old.unwrap_or_default().machines;
        for (name, machine) in machine_shard.iter().flat_map(|shard| &shard.machines) {
            missing.remove(name);
            let machine = Machine {
                zone: zone.to_string(),
                shard: shard.to_string(),
                ..machine.clone()
            };
            self.set_machine(name, version, machine);
        }
        for name in missing.into_keys() {
            self.remove_machine_of(name, zone, shard);
        }
        if let Some(value) = machine_shard {
            let entry = Versioned { version, value };
            self.machine_shards.insert(id.to_string(), entry);
        }
    }

    /// Sets an entry in the table of machines and marks the machine as changed, unless the
    /// table already has an equal entry.
    fn set_machine(&mut self, name: &str, version: u64, machine: Machine) {
        let known = self.machines.get(name);
        if known.is_some_and(|entry| entry.value == machine) {
            return;
        }
        self.changes.machines.insert(name.to_string());
        let number = self.machine_names.number(name);
        self.lifecycles.insert(number, machine.lifecycle);
        let value = machine;
        self.machines
            .insert(name.to_string(), Versioned { version, value });
    }

    /// Removes a machine that a shard no longer lists, unless another shard lists the machine
    /// by now. A commit that moves a machine updates both shards, and the replica may apply
    /// the update of the new shard first.
    fn remove_machine_of(&mut self, name: String, zone: &str, shard: &str) {
        let is_here = |entry: &Versioned<Machine>| {
            let machine = &entry.value;
            machine.zone == zone && machine.shard == shard
        };
        if !self.machines.get(&name).is_some_and(is_here) {
            return;
        }
        if let Some(number) = self.machine_names.find(&name) {
            self.images.remove(&number);
            self.lifecycles.remove(&number);
        }
        self.machines.remove(&name);
        self.changes.machines.insert(name);
    }
}
