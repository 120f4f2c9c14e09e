//! How large a machine shard's record and the commit that adds machines to it may
//! become.

use super::transaction::PRECONDITIONS_PER_WRITE;
use crate::settings::Settings;
use crate::state::encoding;
use crate::state::records::{MachineShard, machine_entry_bytes, slot_entry_bytes};

/// The most guards of a commit that adds machines. Each of its records may be
/// split besides, which adds one more. Before shards are used in groups, all
/// of a home's are guarded, and the limits in force are the present ones.
pub(super) fn max_preconditions(settings: &Settings, grouped: bool) -> usize {
    match grouped {
        true => settings.txn_ops() * (PRECONDITIONS_PER_WRITE - 1),
        false => settings.deployment.state.txn_ops * PRECONDITIONS_PER_WRITE,
    }
}

/// How long the records of a home's shard of this number may become, in bytes. While
/// all shards of a home are guarded for a new machine, those behind the first few are as long
/// as records may be until the compact encoding is in force.
pub(super) fn max_shard_bytes(settings: &Settings, compact: bool, number: usize) -> usize {
    let limit = match compact || number < settings.txn_ops() {
        true => settings.value_limit_bytes(),
        false => settings.current_value_limit_bytes(),
    };
    limit * 9 / 10
}

/// Estimates of what machines take in the records of their shards, in bytes.
pub(super) struct ShardRecordSizes {
    /// The records are written as compact encodings.
    pub(super) compact: bool,
    /// The length of the longest name of a controller.
    pub(super) max_name_length: usize,
}

impl ShardRecordSizes {
    /// What a machine of this name and kind takes. In the compact encoding the machines'
    /// slots stand in few zone shards by themselves, so that the machine shard alone counts.
    pub(super) fn machine_bytes(&self, name: &str, kind: &str) -> usize {
        match self.compact {
            true => encoding::added_machine_bytes(name, kind, self.max_name_length),
            false => slot_entry_bytes(name, kind).max(machine_entry_bytes(
                name,
                kind,
                self.max_name_length,
            )),
        }
    }

    /// What all machines of a machine shard take.
    pub(super) fn shard_bytes(&self, shard: &MachineShard) -> usize {
        if self.compact {
            return encoding::machine_shard_bytes(&shard.machines, self.max_name_length);
        }
        let machines = shard.machines.iter();
        machines
            .map(|(name, machine)| self.machine_bytes(name, &machine.kind))
            .sum()
    }
}
