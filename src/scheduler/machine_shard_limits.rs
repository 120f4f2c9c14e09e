//! How large a machine shard's record and the commit that adds machines to it may
//! become.

use super::transaction::GUARDS_PER_WRITE;
use crate::settings::Settings;
use crate::state::encoding;
use crate::state::records::{MachineShard, machine_entry_bytes, slot_entry_bytes};

/// The most conditions of a commit that adds machines. Each of its records may be
/// split besides, which adds one more. Before shards are used in groups, all
/// of a home's are conditions, and the limits in force are the present ones.
pub(super) fn guard_limit(settings: &Settings, grouped: bool) -> usize {
    match grouped {
        true => settings.txn_ops() * (GUARDS_PER_WRITE - 1),
        false => settings.deployment.state.txn_ops * GUARDS_PER_WRITE,
    }
}

/// How long the records of a home's shard of this number may become. While all shards
/// of a home are conditions for a new machine, those behind the first few are as long
/// as records may be until the compact encoding is in force.
pub(super) fn shard_limit(settings: &Settings, short: bool, number: usize) -> usize {
    let limit = match short || number < settings.txn_ops() {
        true => settings.value_limit_bytes(),
        false => settings.current_value_limit_bytes(),
    };
    limit * 9 / 10
}

/// Estimates of what machines take in the records of their shards.
pub(super) struct MemberSizes {
    /// The records are written as compact encodings.
    pub(super) short: bool,
    /// The length of the longest name of a controller.
    pub(super) max_name_length: usize,
}

impl MemberSizes {
    /// What a machine of this name and kind takes. In the compact encoding the machines'
    /// slots stand in few zone shards by themselves, so that the machine shard alone counts.
    pub(super) fn member(&self, name: &str, kind: &str) -> usize {
        match self.short {
            true => encoding::added_machine_bytes(name, kind, self.max_name_length),
            false => slot_entry_bytes(name, kind).max(machine_entry_bytes(
                name,
                kind,
                self.max_name_length,
            )),
        }
    }

    /// What all machines of a machine shard take.
    pub(super) fn machine_shard(&self, machine_shard: &MachineShard) -> usize {
        if self.short {
            return encoding::machine_shard_bytes(&machine_shard.machines, self.max_name_length);
        }
        let machines = machine_shard.machines.iter();
        machines
            .map(|(name, machine)| self.member(name, &machine.kind))
            .sum()
    }
}
