//! Removes stale slots from zone shards: slots of machines that are not in service. They are
//! left behind by commits that were decided by an earlier version of the software and carried
//! out late. The owner of a machine removes its slot, too, but a machine without a record has
//! no owner.

use std::collections::BTreeMap;

use super::commit::commit_unless_empty;
use crate::controller::Controller;
use crate::scheduler::COMMIT_BYTES;
use crate::state::budget::RequestClass;
use crate::state::commit::precondition;
use crate::state::keys::zone_shard_key;
use crate::state::records::ZoneShard;
use crate::state::replica::{Replica, StaleSlot};
use crate::wire::{Commit, Write};

/// Removes the stale slots of as many zone shards as fit in one commit.
pub(super) async fn remove_stale_slots(controller: &Controller) {
    let stale = controller.replica.borrow().stale_slots();
    if stale.is_empty() {
        return;
    }
    for StaleSlot {
        zone_shard,
        machine,
        lifecycle,
    } in &stale
    {
        tracing::warn!(%machine, zone_shard, ?lifecycle, "listed machine is not in service");
    }
    let max_writes = controller.settings.max_writes_per_commit();
    let commit = plan_removals(&controller.replica.borrow(), &stale, max_writes);
    if let Err(error) = commit_unless_empty(controller, RequestClass::Lifecycle, commit).await {
        tracing::debug!(%error, "stale slots not removed");
    }
}

/// Returns the commit that removes these slots, for as many zone shards as fit. A zone shard's
/// version is the only precondition: its owner lists a machine again that is back in service.
fn plan_removals(replica: &Replica, stale: &[StaleSlot], max_writes: usize) -> Commit {
    let mut commit = Commit::default();
    let mut commit_bytes = 0;
    for (id, record) in edited_zone_shards(replica, stale) {
        if commit.writes.len() == max_writes || commit_bytes > COMMIT_BYTES / 2 {
            break;
        }
        let write = replica.put_zone_shard(id, &record);
        if let Write::Put { value, .. } = &write {
            commit_bytes += value.get().len();
        }
        let version = replica.zone_shard_version(id);
        commit
            .preconditions
            .push(precondition(zone_shard_key(id), version));
        commit.writes.push(write);
    }
    commit
}

/// Returns the zone shards with stale slots, by id, without these slots.
fn edited_zone_shards<'a>(
    replica: &Replica,
    stale: &'a [StaleSlot],
) -> BTreeMap<&'a str, ZoneShard> {
    let mut edited: BTreeMap<&str, ZoneShard> = BTreeMap::new();
    for slot in stale {
        let record = edited.entry(&slot.zone_shard).or_insert_with(|| {
            let known = replica.zone_shards.get(&slot.zone_shard);
            known.map(|entry| entry.value.clone()).unwrap_or_default()
        });
        record.machines.remove(&*slot.machine);
    }
    edited
}
