//! Plans the commit that brings the zone shards up to date with the machines that this
//! controller owns.
//!
//! A zone shard is a record that lists machines which take new work. Each entry, a slot,
//! has the resources of the machine that are free.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use tokio::time::Instant;

use super::OwnedWorker;
use super::publication::PublicationTimes;
use super::zone_shards::{PreconditionVersions, ShardChooser, ShardEdit, ShardLengths};
use crate::controller::Controller;
use crate::scheduler::{COMMIT_BYTES, PRECONDITIONS_PER_WRITE};
use crate::settings::Settings;
use crate::state::commit::precondition;
use crate::state::keys::zone_shard_key;
use crate::state::records::{
    Machine, MachineLifecycle, MachineSlot, Resources, ZoneShard, split_task,
};
use crate::state::replica::Replica;
use crate::wire::{Precondition, TaskStage, TaskStatus, WorkerStatus};

/// Time since the last heartbeat after which a machine takes no new work, in worker
/// leases.
const SILENCE_LIMIT_LEASES: f64 = 0.6;

/// The planned replacement of one zone shard's record.
pub(super) struct ZoneShardChange {
    pub id: String,
    pub shard: ZoneShard,
    /// Flag set if machines are added to or removed from the record.
    pub changes_members: bool,
    /// Preconditions under which the record may be replaced.
    pub preconditions: Vec<Precondition>,
}

/// Returns the changes that bring the zone shards up to date with the machines that this
/// controller owns, as many as fit into one commit. Except to add a machine, or to remove one
/// on which jobs fail, a zone shard in `recently_published` is not changed.
pub(super) fn plan_capacity_changes(
    controller: &Controller,
    recently_published: &PublicationTimes,
) -> Vec<ZoneShardChange> {
    let now = controller.now_excluding_pauses();
    let replica = controller.replica.borrow();
    let owned_workers = controller.workers.owned();
    let quarantined = crate::cloud::quarantined_machines(controller, &replica, &owned_workers, now);
    let mut planner = CapacityPlanner::new(&controller.settings, &replica, quarantined, now);
    for (id, owned_worker) in owned_workers.iter() {
        let Some(machine) = replica.machines.get(id).map(|e| &e.value) else {
            continue;
        };
        if machine.incarnation != controller.incarnation
            || !owned_worker.fencing.is_recorded_in(machine)
        {
            continue;
        }
        match planner.desired_slot(id, owned_worker, machine) {
            DesiredSlot::Unknown => {}
            DesiredSlot::Absent(reason) => {
                let is_urgent = reason == AbsenceReason::Quarantined;
                if planner.plan(id, machine, None, is_urgent, recently_published) {
                    tracing::info!(machine = id, ?reason, "machine takes no new work");
                }
            }
            DesiredSlot::Present(slot) => {
                let is_new = replica.slot(id).is_none();
                let failed_jobs = owned_worker.failures.jobs().len();
                if planner.plan(id, machine, Some(slot), is_new, recently_published)
                    && is_new
                    && failed_jobs > 0
                {
                    tracing::info!(
                        machine = id,
                        failed_jobs,
                        "machine takes work after failures"
                    );
                }
            }
        }
    }
    planner.into_changes()
}

/// The entry that a machine should have in its zone shard's record.
enum DesiredSlot {
    /// The worker's status or the machine type is not known yet, so the record is left
    /// unchanged.
    Unknown,
    /// The machine takes no new work and must not be listed.
    Absent(AbsenceReason),
    /// The machine takes new work and must be listed with this entry.
    Present(MachineSlot),
}

/// The reason why a machine takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AbsenceReason {
    /// The machine is being drained or returned.
    NotActive,
    /// The worker has sent no heartbeat for most of a lease, or has not answered the claim.
    Silent,
    /// Several jobs failed on the machine lately.
    Quarantined,
    /// Answers and commands do not reach the worker.
    Unreachable,
}

/// A planner of one commit of zone shard changes.
struct CapacityPlanner<'a> {
    settings: &'a Settings,
    replica: &'a Replica,
    /// Quarantined machines: those that are suspected of making tasks fail.
    quarantined: HashSet<String>,
    now: Instant,
    max_shards: usize,
    max_preconditions: usize,
    /// Versions of all records on which the choices of zone shards for new slots depend.
    slot_preconditions: PreconditionVersions,
    /// Keys of the records on which the choice of each chosen zone shard depends.
    slot_precondition_keys: BTreeMap<String, BTreeSet<String>>,
    edits: BTreeMap<String, ShardEdit>,
    lengths: ShardLengths,
}

impl<'a> CapacityPlanner<'a> {
    fn new(
        settings: &'a Settings,
        replica: &'a Replica,
        quarantined: HashSet<String>,
        now: Instant,
    ) -> Self {
        // The state service is about to lower its limit on record sizes. Records in the
        // compact encoding are within the lower limit; all others may still be as long as
        // the present limit allows.
        let max_record_bytes = match replica.uses_compact_encoding() {
            true => settings.value_limit_bytes(),
            false => settings.current_value_limit_bytes(),
        };
        let max_shards = settings
            .max_writes_per_commit()
            .min((COMMIT_BYTES / max_record_bytes).max(1));
        CapacityPlanner {
            settings,
            replica,
            quarantined,
            now,
            max_shards,
            max_preconditions: max_shards * (PRECONDITIONS_PER_WRITE - 1),
            slot_preconditions: PreconditionVersions::new(),
            slot_precondition_keys: BTreeMap::new(),
            edits: BTreeMap::new(),
            lengths: ShardLengths::default(),
        }
    }

    fn desired_slot(&self, id: &str, owned_worker: &OwnedWorker, machine: &Machine) -> DesiredSlot {
        if let Some(reason) = self.absence_reason(id, owned_worker, machine) {
            return DesiredSlot::Absent(reason);
        }
        let machine_type = self.replica.machine_type(&machine.kind);
        let (Some(status), Some(machine_type)) = (&owned_worker.status, machine_type) else {
            return DesiredSlot::Unknown;
        };
        let unbooked = self.unbooked_resources(id, status);
        DesiredSlot::Present(MachineSlot {
            kind: machine.kind.clone(),
            spot: machine.spot,
            free: machine_type.resources() - self.replica.booked_on(id).resources - unbooked,
            unbooked,
        })
    }

    /// Returns the reason why a machine takes no new work, or `None` if it does.
    fn absence_reason(
        &self,
        id: &str,
        owned_worker: &OwnedWorker,
        machine: &Machine,
    ) -> Option<AbsenceReason> {
        if machine.lifecycle != MachineLifecycle::Active {
            return Some(AbsenceReason::NotActive);
        }
        if self.is_silent(owned_worker) {
            return Some(AbsenceReason::Silent);
        }
        if self.quarantined.contains(id) {
            return Some(AbsenceReason::Quarantined);
        }
        owned_worker
            .unreachable_since
            .map(|_| AbsenceReason::Unreachable)
    }

    /// Returns whether the worker has sent no heartbeat for most of a lease, or no status since
    /// the claim although it had time for one.
    fn is_silent(&self, owned_worker: &OwnedWorker) -> bool {
        let since = |at: Instant| self.now.saturating_duration_since(at);
        let has_not_answered = owned_worker.status.is_none()
            && since(owned_worker.claimed_at) > self.settings.heartbeat_interval() * 2;
        let silence_limit = self.settings.worker_lease().mul_f64(SILENCE_LIMIT_LEASES);
        has_not_answered || since(owned_worker.last_heartbeat_at) > silence_limit
    }

    /// Returns the resources of running tasks that have no booking on the machine. These
    /// resources are not free until the tasks have ended.
    fn unbooked_resources(&self, id: &str, status: &WorkerStatus) -> Resources {
        let mut unbooked = Resources::default();
        let unbooked_need = |task: &TaskStatus| {
            let (job, number) = split_task(&task.task)?;
            let job = &self.replica.jobs.get(job)?.value;
            let is_booked = job.find_run(id, task.attempt, number).is_some();
            let has_ended = task.stage == TaskStage::Ended;
            job.spec
                .as_ref()
                .filter(|_| !is_booked && !has_ended)
                .map(|spec| spec.need)
        };
        for need in status.tasks.iter().filter_map(unbooked_need) {
            unbooked += need;
        }
        unbooked
    }

    /// Adds, updates or removes the machine's slot in its zone shard's record if the record
    /// differs and the commit has capacity for the change. A change that is not urgent waits if
    /// the record was published recently. Returns whether the change was planned.
    fn plan(
        &mut self,
        id: &str,
        machine: &Machine,
        slot: Option<MachineSlot>,
        is_urgent: bool,
        recently_published: &PublicationTimes,
    ) -> bool {
        let known_slot = self.replica.slot(id);
        // A change of free capacity alone needs no write: every controller derives it from
        // the bookings.
        let is_current = match (known_slot, &slot) {
            (Some(known_slot), Some(slot)) => known_slot.unbooked == slot.unbooked,
            (None, None) => true,
            _ => false,
        };
        if is_current {
            return false;
        }
        let Some(shard) = self.zone_shard_of(id, machine) else {
            return false;
        };
        let is_full = self.edits.len() == self.max_shards && !self.edits.contains_key(&shard);
        if is_full || (recently_published.contains_key(&shard) && !is_urgent) {
            return false;
        }
        let changes_members = known_slot.is_some() != slot.is_some();
        self.edit(shard, id, slot, changes_members);
        true
    }

    /// Returns the zone shard that lists the machine. If none does, chooses a zone shard;
    /// returns `None` if no choice is possible now or its preconditions do not fit into
    /// this commit.
    fn zone_shard_of(&mut self, id: &str, machine: &Machine) -> Option<String> {
        if let Some(shard) = self.replica.zone_shard_of(id) {
            return Some(shard.to_string());
        }
        let chooser = ShardChooser {
            replica: self.replica,
            edits: &self.edits,
            lengths: &self.lengths,
            shared_candidates: self.settings.max_writes_per_commit(),
        };
        let choice = chooser.choose(id, machine)?;
        let added = choice.preconditions.keys();
        let added = added.filter(|key| !self.slot_preconditions.contains_key(*key));
        if self.slot_preconditions.len() + added.count() > self.max_preconditions {
            return None;
        }
        for (key, version) in choice.preconditions {
            self.slot_preconditions.insert(key.clone(), version);
            let keys = self.slot_precondition_keys.entry(choice.shard.clone());
            keys.or_default().insert(key);
        }
        Some(choice.shard)
    }

    fn edit(&mut self, shard: String, id: &str, slot: Option<MachineSlot>, changes_members: bool) {
        let replica = self.replica;
        self.lengths.invalidate(&shard);
        let edit = self
            .edits
            .entry(shard)
            .or_insert_with_key(|shard| ShardEdit {
                record: replica
                    .zone_shards
                    .get(shard)
                    .map(|e| e.value.clone())
                    .unwrap_or_default(),
                changes_members: false,
            });
        edit.changes_members |= changes_members;
        let Some(slot) = slot else {
            edit.record.machines.remove(id);
            return;
        };
        let unbooked = !slot.unbooked.is_empty();
        edit.record.machines.insert(id.to_string(), slot);
        // Unbooked resources make the slot longer. If the record would become too long, the
        // machine is not listed, and takes no work, until the unbooked tasks are gone.
        if unbooked && !replica.fits_zone_shard(&edit.record) {
            edit.record.machines.remove(id);
        }
    }

    fn into_changes(mut self) -> Vec<ZoneShardChange> {
        let edits = std::mem::take(&mut self.edits);
        let changes = edits.into_iter().map(|(id, edit)| ZoneShardChange {
            preconditions: self.preconditions(&id),
            id,
            shard: edit.record,
            changes_members: edit.changes_members,
        });
        changes.collect()
    }

    /// Returns the preconditions of a zone shard's change: the version of its own record,
    /// and the versions of the records by which it was chosen for new slots.
    fn preconditions(&self, shard: &str) -> Vec<Precondition> {
        let mut preconditions = vec![precondition(
            zone_shard_key(shard),
            self.replica.zone_shard_version(shard),
        )];
        let keys = self.slot_precondition_keys.get(shard).into_iter().flatten();
        preconditions.extend(keys.map(|key| {
            let version = self.slot_preconditions.get(key).copied().unwrap_or(0);
            precondition(key.clone(), version)
        }));
        preconditions
    }
}
