//! Publishes which machines take work, and what room they have: the zone shards of the
//! zones' records, where these differ from what this controller knows of the
//! machines that it holds.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::OwnedWorker;
use super::zone_shards::{Conditions, ShardChooser, ShardEdit, ShardLengths};
use crate::controller::Controller;
use crate::scheduler::{COMMIT_BYTES, GUARDS_PER_WRITE};
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::guard;
use crate::state::keys::zone_shard_key;
use crate::state::records::{
    Machine, MachineLifecycle, MachineSlot, Resources, ZoneShard, split_task,
};
use crate::state::replica::Replica;
use crate::wire::{Precondition, TaskStage, TaskStatus, WorkerStatus};

/// A zone shard's record is published at most once in this time, unless machines join.
const INTERVAL: Duration = Duration::from_secs(5);

/// The share of a lease after which a silent machine takes no new work.
const QUIET_SHARE: f64 = 0.6;

/// When each zone shard's record was last published here.
type Published = HashMap<String, Instant>;

/// Publishes the room of held machines where the zone shards' records differ.
pub async fn run_publication(controller: Rc<Controller>) {
    let mut published = Published::new();
    let mut joined: Option<Instant> = None;
    loop {
        gather(&controller, joined).await;
        if !controller.is_state_service_reachable() {
            continue;
        }
        published.retain(|_, t| t.elapsed() < INTERVAL);
        let mut changes = room_changes(&controller, &published);
        if changes.is_empty() {
            continue;
        }
        // A machine that is in no record is rented for nothing, and work that
        // is sent to a silent one waits for its lease: neither stands behind
        // the rounds, which would have the whole budget while work waits.
        let mut class = RequestClass::Publication;
        if changes.iter().any(|c| c.members) {
            class = RequestClass::Claim;
            joined = Some(Instant::now());
            controller.store.wait_for_budget(class, changes.len()).await;
            changes = room_changes(&controller, &published);
        }
        let now = Instant::now();
        published.extend(changes.iter().map(|c| (c.id.clone(), now)));
        publish(&controller, class, changes, &mut published).await;
    }
}

/// Waits until room has changed. Machines that can take work from now on gather
/// for a moment, and while many of them boot for a little longer: each time costs
/// a write a zone shard.
async fn gather(controller: &Controller, joined: Option<Instant>) {
    let moment = controller.request_gap() * 4;
    let apart = controller.settings.heartbeat_interval() / 4;
    let _ = timeout(
        controller.settings.heartbeat_interval() / 3,
        controller.workers.publication_notify.notified(),
    )
    .await;
    let since = joined.map_or(apart, |t| t.elapsed());
    sleep(moment.max(apart.saturating_sub(since))).await;
}

/// Commits the changes; where others were quicker, those that do not conflict.
async fn publish(
    controller: &Controller,
    class: RequestClass,
    mut changes: Vec<RoomChange>,
    published: &mut Published,
) {
    while !changes.is_empty() {
        let (guards, writes) = {
            let replica = controller.replica.borrow();
            let writes = changes
                .iter()
                .map(|c| replica.put_zone_shard(&c.id, &c.shard));
            (all_guards(&changes), writes.collect())
        };
        match controller.commit(class, guards, writes).await {
            Ok(_) => return,
            Err(StoreError::Conflict(keys)) => {
                // A booking was quicker there; the others go on.
                tracing::debug!(?keys, "room not published");
                let known = changes.len();
                drop_conflicting(&mut changes, &keys, published);
                controller.expedite_watch();
                controller.workers.publication_notify.notify_one();
                // Where slots were put by what other zone shards of the commit hold,
                // all of it is chosen anew.
                if changes.len() == known || controller.replica.borrow().uses_compact_encoding() {
                    return;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "room not published");
                return;
            }
        }
    }
}

fn all_guards(changes: &[RoomChange]) -> Vec<Precondition> {
    let guards = changes.iter().flat_map(|c| c.guards.iter().cloned());
    let mut guards: Vec<Precondition> = guards.collect();
    guards.sort_by(|a, b| a.key.cmp(&b.key));
    guards.dedup_by(|a, b| a.key == b.key);
    guards
}

fn drop_conflicting(changes: &mut Vec<RoomChange>, keys: &[String], published: &mut Published) {
    changes.retain(|change| {
        let failed = change.guards.iter().any(|g| keys.contains(&g.key));
        if failed {
            published.remove(&change.id);
        }
        !failed
    });
}

/// A zone shard's record as it should be.
struct RoomChange {
    id: String,
    shard: ZoneShard,
    /// Machines join or leave.
    members: bool,
    /// All that has to be as it is.
    guards: Vec<Precondition>,
}

/// Zone shards whose records differ from what this controller knows of
/// the machines that it holds; as many as one commit takes.
fn room_changes(controller: &Controller, recent: &Published) -> Vec<RoomChange> {
    let now = controller.liveness_tick();
    let replica = controller.replica.borrow();
    let owned_workers = controller.workers.owned_workers.borrow();
    let suspects = crate::cloud::quarantined_machines(controller, &replica, &owned_workers);
    let mut planner = RoomPlanner::new(controller, &replica, suspects, now);
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
struct RoomPlanner<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    suspects: HashSet<String>,
    now: Instant,
    max_shards: usize,
    max_guards: usize,
    /// What the slots that are put somewhere depend on.
    conditions: Conditions,
    /// The keys of these conditions, by zone shard.
    condition_keys: BTreeMap<String, BTreeSet<String>>,
    edits: BTreeMap<String, ShardEdit>,
    lengths: ShardLengths,
}

impl<'a> RoomPlanner<'a> {
    fn new(
        controller: &'a Controller,
        replica: &'a Replica,
        suspects: HashSet<String>,
        now: Instant,
    ) -> Self {
        // Records that stand in the longer text may be as long as ever.
        let longest = match replica.uses_compact_encoding() {
            true => controller.settings.value_limit_bytes(),
            false => controller.settings.current_value_limit_bytes(),
        };
        let max_shards = controller
            .settings
            .txn_ops()
            .min((COMMIT_BYTES / longest).max(1));
        RoomPlanner {
            controller,
            replica,
            suspects,
            now,
            max_shards,
            max_guards: max_shards * (GUARDS_PER_WRITE - 1),
            conditions: Conditions::new(),
            condition_keys: BTreeMap::new(),
            edits: BTreeMap::new(),
            lengths: ShardLengths::default(),
        }
    }

    fn listing(&self, id: &str, owned_worker: &OwnedWorker, machine: &Machine) -> Listing {
        let hears = owned_worker.unreachable_since.is_none();
        if machine.lifecycle != MachineLifecycle::Active
            || self.is_quiet(id, owned_worker)
            || !hears
        {
            return Listing::TakesNone;
        }
        let kind = self.replica.machine_type(&machine.kind);
        let (Some(report), Some(kind)) = (&owned_worker.status, kind) else {
            return Listing::Unknown;
        };
        let unbooked = self.unbooked(id, report);
        Listing::Takes(MachineSlot {
            kind: machine.kind.clone(),
            spot: machine.spot,
            free: kind.resources() - self.replica.booked_on(id) - unbooked,
            unbooked,
        })
    }

    /// What has not been heard for most of a lease takes no new work until it is
    /// heard again; nor does a machine that is suspected of failing tasks.
    fn is_quiet(&self, id: &str, owned_worker: &OwnedWorker) -> bool {
        let settings = &self.controller.settings;
        let since = |t: Instant| self.now.saturating_duration_since(t);
        let unshown = owned_worker.status.is_none()
            && since(owned_worker.claimed_at) > settings.heartbeat_interval() * 2;
        let silent =
            since(owned_worker.last_heartbeat_at) > settings.worker_lease().mul_f64(QUIET_SHARE);
        unshown || silent || self.suspects.contains(id)
    }

    /// Tasks that nobody has booked here take room until they are gone.
    fn unbooked(&self, id: &str, report: &WorkerStatus) -> Resources {
        let mut unbooked = Resources::default();
        let needs = |task: &TaskStatus| {
            let (job, number) = split_task(&task.task)?;
            let job = &self.replica.jobs.get(job)?.value;
            let here = job.find(id, task.attempt, number).is_some();
            let ended = task.stage == TaskStage::Ended;
            job.spec
                .as_ref()
                .filter(|_| !here && !ended)
                .map(|s| s.need)
        };
        for need in report.tasks.iter().filter_map(needs) {
            unbooked += need;
        }
        unbooked
    }

    /// Puts the machine's slot into its zone shard's record, or takes it out, where the
    /// record differs and the commit has room for it.
    fn plan(&mut self, id: &str, machine: &Machine, slot: Option<MachineSlot>, recent: &Published) {
        let known = self.replica.slot(id);
        // Room alone is no reason to write: bookings are known to all.
        let same = match (known, &slot) {
            (Some(a), Some(b)) => a.unbooked == b.unbooked,
            (None, None) => true,
            _ => false,
        };
        if same {
            return;
        }
        let Some(shard) = self.zone_shard_of(id, machine) else {
            return;
        };
        // A machine that joins does not wait for the interval.
        let joins = known.is_none();
        let full = self.edits.len() == self.max_shards && !self.edits.contains_key(&shard);
        if full || (recent.contains_key(&shard) && !joins) {
            return;
        }
        let members = known.is_some() != slot.is_some();
        self.edit(shard, id, slot, members);
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
            first_candidates: self.controller.settings.txn_ops(),
        };
        let choice = chooser.choose(id, machine)?;
        let added = choice.conditions.keys();
        let added = added.filter(|key| !self.conditions.contains_key(*key));
        if self.conditions.len() + added.count() > self.max_guards {
            return None;
        }
        for (key, version) in choice.conditions {
            self.conditions.insert(key.clone(), version);
            let keys = self.condition_keys.entry(choice.shard.clone());
            keys.or_default().insert(key);
        }
        Some(choice.shard)
    }

    fn edit(&mut self, shard: String, id: &str, slot: Option<MachineSlot>, members: bool) {
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
                members: false,
            });
        edit.members |= members;
        let Some(slot) = slot else {
            edit.record.machines.remove(id);
            return;
        };
        let unbooked = !slot.unbooked.is_empty();
        edit.record.machines.insert(id.to_string(), slot);
        // What nobody has booked is told only where there is room for it: a
        // machine that is not listed takes no work meanwhile.
        if unbooked && !replica.fits_zone_shard(&edit.record) {
            edit.record.machines.remove(id);
        }
    }

    fn into_changes(mut self) -> Vec<RoomChange> {
        let edits = std::mem::take(&mut self.edits);
        let changes = edits.into_iter().map(|(id, edit)| RoomChange {
            guards: self.guards(&id),
            id,
            shard: edit.record,
            members: edit.members,
        });
        changes.collect()
    }

    /// What must be as it is for the change of a zone shard to hold.
    fn guards(&self, shard: &str) -> Vec<Precondition> {
        let mut guards = vec![guard(
            zone_shard_key(shard),
            self.replica.zone_shard_version(shard),
        )];
        let keys = self.condition_keys.get(shard).into_iter().flatten();
        guards.extend(keys.map(|key| {
            let version = self.conditions.get(key).copied().unwrap_or(0);
            guard(key.clone(), version)
        }));
        guards
    }
}
