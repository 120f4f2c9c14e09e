//! Which zone shards' records differ from what this controller knows of the machines
//! that it owns, and how one commit brings them up to date.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use tokio::time::Instant;

use super::OwnedWorker;
use super::publication::PublicationTimes;
use super::zone_shards::{Conditions, ShardChooser, ShardEdit, ShardLengths};
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

/// The share of a lease after which a silent machine takes no new work.
const SILENCE_LIMIT_LEASES: f64 = 0.6;

/// A zone shard's record as it should be.
pub(super) struct ZoneShardChange {
    pub id: String,
    pub shard: ZoneShard,
    /// Machines join or leave.
    pub changes_members: bool,
    /// All that has to be as it is.
    pub preconditions: Vec<Precondition>,
}

/// Zone shards whose records differ from what this controller knows of
/// the machines that it owns; as many as one commit takes.
pub(super) fn plan_capacity_changes(
    controller: &Controller,
    recent: &PublicationTimes,
) -> Vec<ZoneShardChange> {
    let now = controller.liveness_tick();
    let replica = controller.replica.borrow();
    let owned_workers = controller.workers.owned();
    let suspects = crate::cloud::quarantined_machines(controller, &replica, &owned_workers);
    let mut planner = CapacityPlanner::new(&controller.settings, &replica, suspects, now);
    for (id, owned_worker) in owned_workers.iter() {
        let Some(machine) = replica.machines.get(id).map(|e| &e.value) else {
            continue;
        };
        if machine.incarnation != controller.incarnation
            || machine.fencing_token != owned_worker.fencing_token
        {
            continue;
        }
        match planner.listing(id, owned_worker, machine) {
            Listing::Unknown => {}
            Listing::TakesNone => planner.plan(id, machine, None, recent),
            Listing::Takes(slot) => planner.plan(id, machine, Some(slot), recent),
        }
    }
    planner.into_changes()
}

/// What a zone shard's record should say of a machine.
enum Listing {
    /// Not known yet: the record stays as it is.
    Unknown,
    /// It takes no new work.
    TakesNone,
    Takes(MachineSlot),
}

/// Plans one commit of changed zone shards.
struct CapacityPlanner<'a> {
    settings: &'a Settings,
    replica: &'a Replica,
    /// Machines that are suspected of failing tasks.
    suspects: HashSet<String>,
    now: Instant,
    max_shards: usize,
    max_preconditions: usize,
    /// What the slots that are put somewhere depend on.
    conditions: Conditions,
    /// The keys of these conditions, by zone shard.
    condition_keys: BTreeMap<String, BTreeSet<String>>,
    edits: BTreeMap<String, ShardEdit>,
    lengths: ShardLengths,
}

impl<'a> CapacityPlanner<'a> {
    fn new(
        settings: &'a Settings,
        replica: &'a Replica,
        suspects: HashSet<String>,
        now: Instant,
    ) -> Self {
        // Records that stand in the longer text may be as long as ever.
        let max_record_bytes = match replica.uses_compact_encoding() {
            true => settings.value_limit_bytes(),
            false => settings.current_value_limit_bytes(),
        };
        let max_shards = settings
            .txn_ops()
            .min((COMMIT_BYTES / max_record_bytes).max(1));
        CapacityPlanner {
            settings,
            replica,
            suspects,
            now,
            max_shards,
            max_preconditions: max_shards * (PRECONDITIONS_PER_WRITE - 1),
            conditions: Conditions::new(),
            condition_keys: BTreeMap::new(),
            edits: BTreeMap::new(),
            lengths: ShardLengths::default(),
        }
    }

    fn listing(&self, id: &str, owned_worker: &OwnedWorker, machine: &Machine) -> Listing {
        if machine.lifecycle != MachineLifecycle::Active
            || self.is_silent_or_suspect(id, owned_worker)
            || owned_worker.unreachable_since.is_some()
        {
            return Listing::TakesNone;
        }
        let kind = self.replica.machine_type(&machine.kind);
        let (Some(status), Some(kind)) = (&owned_worker.status, kind) else {
            return Listing::Unknown;
        };
        let unbooked = self.unbooked_resources(id, status);
        Listing::Takes(MachineSlot {
            kind: machine.kind.clone(),
            spot: machine.spot,
            free: kind.resources() - self.replica.booked_on(id) - unbooked,
            unbooked,
        })
    }

    /// What has sent no heartbeat for most of a lease takes no new work until it sends
    /// one again; nor does a machine that is suspected of failing tasks.
    fn is_silent_or_suspect(&self, id: &str, owned_worker: &OwnedWorker) -> bool {
        let since = |at: Instant| self.now.saturating_duration_since(at);
        let has_not_answered = owned_worker.status.is_none()
            && since(owned_worker.claimed_at) > self.settings.heartbeat_interval() * 2;
        let silence_limit = self.settings.worker_lease().mul_f64(SILENCE_LIMIT_LEASES);
        let is_silent = since(owned_worker.last_heartbeat_at) > silence_limit;
        has_not_answered || is_silent || self.suspects.contains(id)
    }

    /// What is taken by tasks that nobody has booked here, until they are gone.
    fn unbooked_resources(&self, id: &str, status: &WorkerStatus) -> Resources {
        let mut unbooked = Resources::default();
        let needs = |task: &TaskStatus| {
            let (job, number) = split_task(&task.task)?;
            let job = &self.replica.jobs.get(job)?.value;
            let is_booked = job.find(id, task.attempt, number).is_some();
            let has_ended = task.stage == TaskStage::Ended;
            job.spec
                .as_ref()
                .filter(|_| !is_booked && !has_ended)
                .map(|spec| spec.need)
        };
        for need in status.tasks.iter().filter_map(needs) {
            unbooked += need;
        }
        unbooked
    }

    /// Puts the machine's slot into its zone shard's record, or takes it out, where the
    /// record differs and the commit has capacity for it.
    fn plan(
        &mut self,
        id: &str,
        machine: &Machine,
        slot: Option<MachineSlot>,
        recent: &PublicationTimes,
    ) {
        let known = self.replica.slot(id);
        // Free capacity alone is no reason to write: bookings are known to all.
        let is_current = match (known, &slot) {
            (Some(known), Some(slot)) => known.unbooked == slot.unbooked,
            (None, None) => true,
            _ => false,
        };
        if is_current {
            return;
        }
        let Some(shard) = self.zone_shard_of(id, machine) else {
            return;
        };
        // A machine that joins does not wait for the interval.
        let joins = known.is_none();
        let is_full = self.edits.len() == self.max_shards && !self.edits.contains_key(&shard);
        if is_full || (recent.contains_key(&shard) && !joins) {
            return;
        }
        let changes_members = known.is_some() != slot.is_some();
        self.edit(shard, id, slot, changes_members);
    }

    /// The zone shard that the machine stands in, or is put into.
    fn zone_shard_of(&mut self, id: &str, machine: &Machine) -> Option<String> {
        if let Some(shard) = self.replica.zone_shard_of(id) {
            return Some(shard.to_string());
        }
        let chooser = ShardChooser {
            replica: self.replica,
            edits: &self.edits,
            lengths: &self.lengths,
            first_candidates: self.settings.txn_ops(),
        };
        let choice = chooser.choose(id, machine)?;
        let added = choice.conditions.keys();
        let added = added.filter(|key| !self.conditions.contains_key(*key));
        if self.conditions.len() + added.count() > self.max_preconditions {
            return None;
        }
        for (key, version) in choice.conditions {
            self.conditions.insert(key.clone(), version);
            let keys = self.condition_keys.entry(choice.shard.clone());
            keys.or_default().insert(key);
        }
        Some(choice.shard)
    }

    fn edit(&mut self, shard: String, id: &str, slot: Option<MachineSlot>, changes_members: bool) {
        let replica = self.replica;
        self.lengths.forget(&shard);
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
        // What nobody has booked is told only where the record has capacity for it: a
        // machine that is not listed takes no work meanwhile.
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

    /// What must be as it is for the change of a zone shard to hold.
    fn preconditions(&self, shard: &str) -> Vec<Precondition> {
        let mut preconditions = vec![precondition(
            zone_shard_key(shard),
            self.replica.zone_shard_version(shard),
        )];
        let keys = self.condition_keys.get(shard).into_iter().flatten();
        preconditions.extend(keys.map(|key| {
            let version = self.conditions.get(key).copied().unwrap_or(0);
            precondition(key.clone(), version)
        }));
        preconditions
    }
}
