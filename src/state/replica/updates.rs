//! Applies updates of records to the replica: full reads, events of the watch, and
//! commits of this controller.

use serde_json::value::RawValue;

use super::Replica;
use super::tables::RecordUpdate;
use crate::state::full_read::Snapshot;
use crate::state::keys::PREFIX;
use crate::wire::{Event, Write};

impl Replica {
    /// Replaces all records of the replica by those of a snapshot, and rebuilds the indexes.
    /// The commits of this controller that are newer than the snapshot are applied again:
    /// their effects, such as released bookings, may have been acted on already. The assigned
    /// numbers, the hints for placement and the settings are kept. As for an event of the
    /// watch, an unreadable version does not replace a final job or a permanent record.
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
            // These records are never removed, and an unreadable version does not replace them.
            types: old.types,
            formats: old.formats,
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
        self.keep_unreadable_final_jobs(old.jobs);
    }

    /// Applies events of the watch.
    pub fn apply_events(&mut self, events: Vec<Event>, revision: u64) {
        for event in events {
            match event.key() {
                Some(key) => self.set(key, event.version, event.new_value()),
                None => tracing::debug!("watch event without a key"),
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
}
