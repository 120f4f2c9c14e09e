//! Applies the update of one record to the table that contains records of its kind.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::{Replica, Table, Versioned};
use crate::state::encoding::is_compact_zone_shard;
use crate::state::records::Job;

/// Update of one record. An update without a value removes the record.
#[derive(Clone, Copy)]
pub(super) struct RecordUpdate<'a> {
    pub(super) key: &'a str,
    /// Part of the key after the name of the table, such as the job id in `sh/job/ID`.
    pub(super) id: &'a str,
    pub(super) version: u64,
    pub(super) value: Option<&'a RawValue>,
}

/// Returns whether an entry is older than a version, or there is no entry.
fn is_older<T>(entry: Option<&Versioned<T>>, version: u64) -> bool {
    entry.is_none_or(|entry| entry.version < version)
}

/// Sets or removes a record in a table, unless the table already has the record in the same
/// or a newer version. Returns whether the update was applied.
pub(super) fn put_if_newer<T>(
    table: &mut Table<T>,
    id: &str,
    version: u64,
    value: Option<T>,
) -> bool {
    if !is_older(table.get(id), version) {
        return false;
    }
    match value {
        Some(value) => {
            table.insert(id.to_string(), Versioned { version, value });
        }
        None => {
            table.remove(id);
        }
    }
    true
}

impl Replica {
    /// Applies an update to the table that the first part of the key identifies.
    pub(super) fn set_record(&mut self, table: &str, update: RecordUpdate) {
        match table {
            "job" => {
                let job = self.read_update::<Job>(update);
                self.set_job(update.id, update.version, job);
            }
            "team" => self.set_in_table(|replica| &mut replica.teams, update),
            "share" => self.set_in_table(|replica| &mut replica.shares, update),
            "use" => self.set_in_table(|replica| &mut replica.share_uses, update),
            "move" => self.set_in_table(|replica| &mut replica.moves, update),
            "hire" => self.set_in_table(|replica| &mut replica.provisioning_requests, update),
            "node" => self.set_in_table(|replica| &mut replica.controllers, update),
            "pool" => self.set_single(|replica| &mut replica.pool, update),
            "fleet" => self.set_single(|replica| &mut replica.fleet_leader, update),
            "zone" => self.set_zone_shard(update),
            "machine" => {
                let machine_shard = self.read_update(update);
                self.set_machine_shard(update.id, update.version, machine_shard);
            }
            "new" => self.set_accepted_batch(update),
            "types" => {
                if self.set_permanent(|replica| &mut replica.types, update) {
                    self.index_machine_types();
                }
            }
            "formats" => {
                self.set_permanent(|replica| &mut replica.formats, update);
            }
            _ => tracing::debug!(key = update.key, "unknown key"),
        }
    }

    /// Applies an update to a table of records that need no further index.
    fn set_in_table<T: DeserializeOwned>(
        &mut self,
        table: impl FnOnce(&mut Replica) -> &mut Table<T>,
        update: RecordUpdate,
    ) {
        let record = self.read_update(update);
        put_if_newer(table(self), update.id, update.version, record);
    }

    /// Applies an update to a record that exists at most once, such as the fleet leader's.
    fn set_single<T: DeserializeOwned>(
        &mut self,
        slot: impl Fn(&mut Replica) -> &mut Option<Versioned<T>>,
        update: RecordUpdate,
    ) {
        let version = update.version;
        if !is_older(slot(self).as_ref(), version) {
            return;
        }
        let record = self.read_update(update);
        *slot(self) = record.map(|value| Versioned { version, value });
    }

    /// Applies an update to a record that is never removed. If the update cannot be read, the
    /// replica keeps the last readable value. Returns whether the record was set.
    fn set_permanent<T: DeserializeOwned>(
        &mut self,
        entry: impl FnOnce(&mut Replica) -> &mut Versioned<T>,
        update: RecordUpdate,
    ) -> bool {
        let version = update.version;
        let Some(value) = self.read_update(update) else {
            return false;
        };
        let entry = entry(self);
        let is_newer = version > entry.version;
        if is_newer {
            *entry = Versioned { version, value };
        }
        is_newer
    }

    /// Applies an update to a zone shard and to the plan slots of its machines.
    fn set_zone_shard(&mut self, update: RecordUpdate) {
        let RecordUpdate {
            id, version, value, ..
        } = update;
        let shard = self.read_update(update);
        if !put_if_newer(&mut self.zone_shards, id, version, shard) {
            return;
        }
        if value.is_some_and(|value| is_compact_zone_shard(value.get())) {
            self.compact_zone_shards.insert(id.to_string());
        } else {
            self.compact_zone_shards.remove(id);
        }
        self.index_zone_shard(id);
    }

    /// Parses the record of an update. Returns `None` if the update removes the record or the
    /// record cannot be read.
    fn read_update<T: DeserializeOwned>(&mut self, update: RecordUpdate) -> Option<T> {
        self.read(update.key, update.version, update.value?)
    }
}
