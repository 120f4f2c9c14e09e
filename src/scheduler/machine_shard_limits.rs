//! Size limits of a machine shard's record and of the commit that adds machines to it.

use super::transaction::PRECONDITIONS_PER_WRITE;
use crate::settings::Settings;
use crate::state::encoding;
use crate::state::records::{MachineShard, machine_entry_bytes, slot_entry_bytes};

/// Returns the maximum number of machine shards that a commit which adds machines may
/// guard.
///
/// If shards are used in groups, the limit follows from the lower of the state service's
/// current and announced limits on writes. One precondition per write is left free, as each
/// written shard may be split, which adds a precondition. If shards are not used in groups,
/// a commit guards all shards of an owner, and may use all preconditions that the current
/// limit permits.
pub(super) fn max_preconditions(settings: &Settings, grouped: bool) -> usize {
    match grouped {
        true => settings.max_writes_per_commit() * (PRECONDITIONS_PER_WRITE - 1),
        false => settings.deployment.state.txn_ops * PRECONDITIONS_PER_WRITE,
    }
}

/// Returns the maximum size of a machine shard's record, in bytes. `number` is the shard's
/// number among the shards of its preferred owner.
///
/// In the compact encoding, the limit follows from the lower of the state service's current
/// and announced limits on values. Before that encoding is in use, only the owner's first
/// few shards are kept within the lower limit. Further ones may grow to the current limit:
/// as long as adding a machine guards all shards of the owner, larger shards mean fewer
/// guards.
pub(super) fn max_shard_bytes(settings: &Settings, compact: bool, number: usize) -> usize {
    let limit = match compact || number < settings.max_writes_per_commit() {
        true => settings.value_limit_bytes(),
        false => settings.current_value_limit_bytes(),
    };
    limit * 9 / 10
}

/// Size estimates of machines in the records of their shards.
pub(super) struct ShardRecordSizes {
    /// True if the records are written in the compact encoding.
    pub(super) compact: bool,
    /// Length of the longest controller name, in bytes.
    pub(super) max_name_length: usize,
}

impl ShardRecordSizes {
    /// Returns the estimated size of a machine of this name and kind, in bytes. In the
    /// compact encoding the machines' slots are recorded in few separate zone shards, so
    /// only the machine shard counts.
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

    /// Returns the estimated size of all machines of a machine shard, in bytes.
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
