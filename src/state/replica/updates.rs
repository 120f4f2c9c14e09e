//! Applies updates of records to the replica: full reads, events of the watch, and
//! commits of this controller.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::{Replica, Table, Versioned};
use crate::state::encoding::is_compact_zone_shard;
use crate::state::full_read::Snapshot;
use crate::state::keys::PREFIX;
use crate::state::records::Job;
use crate::wire::{Event, Write};

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
    /// Replaces all records of the replica by those of a snapshot, and rebuilds the indexes.
    /// The commits of this controller that are newer than the snapshot are applied again:
    /// their effects, such as released bookings, may have been acted on already. The assigned
    /// numbers, the hints for placement and the settings are kept.
    pub fn reload(&mut self, snapshot: Snapshot) {
        let Snapshot { records, revision } = snapshot;
        let old = std::mem::take(self);
        let mut local_writes = old.local_writes;
        local_writes.discard_through(revision);
        let mut changes = old.changes;
        changes.machines.extend(old.machines.into_keys());
        *self = Replica {
            images: old.images,
            image_names: old.image_names,
            machine_names: old.machine_names,
            zone_shard_names: old.zone_shard_names,
            zone_names: old.zone_names,
            classes: old.classes,
            class_numbers: old.class_numbers,
            latest_gpu_spec: old.latest_gpu_spec,
            compact_limit: old.compact_limit,
            slo_classes: old.slo_classes,
            changes,
            dependency_graph: old.dependency_graph.after_reload(),
            loaded: true,
            revision,
            ..Replica::default()
        };
        for record in records {
            self.set(&record.key, record.version, Some(&record.value));
        }
        for (key, write) in local_writes.in_commit_order() {
            self.set(key, write.version, write.value.as_deref());
        }
        self.local_writes = local_writes;
    }

    /// Applies events of the watch.
    pub fn apply_events(&mut self, events: Vec<Event>, revision: u64) {
        for event in events {
            match (&event.set, &event.remove) {
                (Some(key), _) => self.set(key, event.version, event.value.as_deref()),
                (None, Some(key)) => self.set(key, event.version, None),
                (None, None) => tracing::debug!("watch event without a key"),
            }
        }
        self.revision = self.revision.max(revision);
        self.local_writes.discard_through(self.revision);
    }

    /// Applies the writes of a successful commit of this controller, ahead of the watch. Does
    /// nothing if the replica has reached the commit's revision before the answer arrived: it
    /// then contains the commit and later changes, such as the removal of a record that the
    /// commit has written.
    pub fn apply_commit(&mut self, writes: &[Write], revision: u64) {
        if revision <= self.revision {
            return;
        }
        for write in writes {
            let value = match write {
                Write::Put { value, .. } => Some(value.as_ref()),
                Write::Delete { .. } => None,
            };
            self.set(write.key(), revision, value);
            self.local_writes.record(write, revision);
        }
    }

    /// Returns the number of keys with a commit of this controller that is newer than the
    /// replica's revision.
    pub fn local_write_count(&self) -> usize {
        self.local_writes.len()
    }

    /// Applies an update of the record under a key, unless it is outdated.
    fn set(&mut self, key: &str, version: u64, value: Option<&RawValue>) {
        if self.is_outdated(key, version) {
            return;
        }
        self.unreadable.remove(key);
        let Some(path) = key.strip_prefix(PREFIX) else {
            return;
        };
        let (table, id) = path.split_once('/').unwrap_or((path, ""));
        self.track_size(key, value);
        let update = RecordUpdate {
            key,
            id,
            version,
            value,
        };
        if matches!(table, "machine" | "types" | "formats") {
            self.machine_sums.set(None);
        }
        self.set_record(table, update);
    }

    /// Returns whether the replica knows of a local write of this key, or of an unreadable
    /// record under the key, that is as new as `version` or newer.
    fn is_outdated(&self, key: &str, version: u64) -> bool {
        let written = self.local_writes.version_of(key);
        let unreadable = self.unreadable.get(key).copied();
        written.max(unreadable) >= Some(version)
    }

    /// Updates the list of records that exceed the lower size limit, if one is announced.
    fn track_size(&mut self, key: &str, value: Option<&RawValue>) {
        let Some(limit) = self.compact_limit else {
            return;
        };
        // An older update of a record may follow a newer one, as commits are applied ahead
        // of the watch. The list is therefore only a hint, and its readers check the record
        // itself.
        let bytes = value.map_or(0, |value| value.get().len());
        if bytes > limit {
            self.oversized_records.insert(key.to_string(), bytes);
        } else {
            self.oversized_records.remove(key);
        }
    }

    /// Applies an update to the table that the first part of the key identifies.
    fn set_record(&mut self, table: &str, update: RecordUpdate) {
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
