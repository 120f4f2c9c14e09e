//! A transaction in the making: records as they will be, each written once.
//!
//! Ends, bookings and preemptions go into the same draft, so that a round writes
//! every job, team and part at most once however many of its tasks have changed.
//! The writes to the state service grow with rounds, not with tasks.

use std::collections::{BTreeMap, BTreeSet};

use shares::ControllerName;

use super::plan::Place;
use crate::accounting::{BookingAccounts, BookingRequest, CommitCapacity, CommitParts};
use crate::state::commit::{guard, put};
use crate::state::keys::{job_key, machine_shard_key, shard_id, team_key, zone_shard_key};
use crate::state::records::{Job, MachineLifecycle, Resources, Spec, Team, ZoneShard};
use crate::state::replica::Replica;
use crate::wire::{Guard, Kind, MachineType, Write};
use crate::workers::{AttemptKey, TerminationEvidence};

/// How many conditions a commit may have for each write that it may have, by the
/// protocol.
pub const GUARDS_PER_WRITE: usize = 4;

/// What a commit may hold in all, by the protocol, less a zone shard for what the
/// estimates below leave out.
pub const COMMIT_BYTES: usize = crate::http::BODY_LIMIT * 9 / 10;

/// About what a machine takes in a zone shard's record, and in a machine shard's.
pub const SLOT: usize = 110;

/// The same in a zone shard's compact encoding.
const SHORT_SLOT_BYTES: usize = 10;

/// About what a job's spec, one of its runs and one of its tasks take in its record.
const SPEC_BYTES: usize = 500;
const RUN_BYTES: usize = 100;
const TASK_BYTES: usize = 8;

/// About what a job takes in its record.
fn job_bytes(job: &Job) -> usize {
    let tasks = job.booked() + job.retry.len();
    SPEC_BYTES + job.runs.len() * RUN_BYTES + tasks * TASK_BYTES
}

/// A transaction in the making, on one revision of the replica.
pub struct Transaction<'a> {
    replica: &'a Replica,
    /// The most records that one commit may write.
    pub most: usize,
    /// The jobs that it writes, by id.
    pub jobs: BTreeMap<String, Job>,
    teams: BTreeMap<String, Resources>,
    zone_shards: BTreeMap<String, ZoneShard>,
    /// What this draft's ends free, by machine.
    released: BTreeMap<String, Resources>,
    /// The same by team.
    team_released: BTreeMap<String, Resources>,
    /// Groups of machines that must be as they are, but are not written.
    machine_shards: BTreeSet<String>,
    /// What the bookings of teams count against whose room is split.
    accounts: Option<BookingAccounts>,
}

/// Which record a booking counts against.
enum Account {
    /// The team's own.
    Team,
    /// A controller's share of the team's room.
    Share(ControllerName),
}

impl<'a> Transaction<'a> {
    /// An empty draft that may write `most` records.
    pub fn new(replica: &'a Replica, most: usize) -> Self {
        Transaction {
            replica,
            most,
            jobs: BTreeMap::new(),
            teams: BTreeMap::new(),
            zone_shards: BTreeMap::new(),
            released: BTreeMap::new(),
            team_released: BTreeMap::new(),
            machine_shards: BTreeSet::new(),
            accounts: None,
        }
    }

    /// The transaction counts bookings against shares where a team's room is split; without
    /// this it books nothing for such a team.
    pub fn with_accounts(mut self, accounts: Option<BookingAccounts>) -> Self {
        self.accounts = accounts;
        self
    }

    /// How many records it writes.
    pub fn len(&self) -> usize {
        let accounts = self.accounts.as_ref().map_or(0, BookingAccounts::writes);
        self.jobs.len() + self.teams.len() + self.zone_shards.len() + accounts
    }

    /// Whether it writes nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The zone shards that it writes.
    pub fn zone_shards(&self) -> BTreeSet<String> {
        self.zone_shards.keys().cloned().collect()
    }

    /// A job as this draft has it.
    pub fn job(&self, id: &str) -> Option<&Job> {
        let known = || self.replica.jobs.get(id).map(|e| &e.value);
        self.jobs.get(id).or_else(known)
    }

    /// About how long it is as a request.
    fn bytes(&self) -> usize {
        let jobs: usize = self.jobs.values().map(job_bytes).sum();
        let slots: usize = self.zone_shards.values().map(|p| p.machines.len()).sum();
        jobs + slots * self.slot_entry_bytes() + (self.len() + self.machine_shards.len()) * SLOT
    }

    /// About what a machine takes in the text that its zone shard will have.
    fn slot_entry_bytes(&self) -> usize {
        if self.replica.uses_compact_encoding() {
            SHORT_SLOT_BYTES
        } else {
            SLOT
        }
    }

    /// Whether the transaction can take changes of these records, with bookings on
    /// so many machines.
    fn has_room(
        &self,
        job: &str,
        team: Option<&str>,
        zone_shards: &BTreeSet<&str>,
        machines: usize,
    ) -> bool {
        let new_account = team.is_some_and(|team| self.is_new_account(job, team));
        let new_shards = || {
            zone_shards
                .iter()
                .filter(|shard| !self.zone_shards.contains_key(**shard))
        };
        let machines_of = |shard: &str| {
            let known = self.replica.zone_shards.get(shard);
            known.map_or(0, |e| e.value.machines.len())
        };
        let shard_bytes: usize = new_shards()
            .map(|shard| machines_of(shard) * self.slot_entry_bytes())
            .sum();
        let new_job = !self.jobs.contains_key(job);
        let new_job_bytes = match new_job {
            true => self.job(job).map_or(0, job_bytes),
            false => 0,
        };
        let more_bytes = shard_bytes + new_job_bytes + machines * self.slot_entry_bytes();
        if self.bytes() + more_bytes > COMMIT_BYTES {
            return false;
        }
        let new_records = usize::from(new_job) + usize::from(new_account) + new_shards().count();
        self.len() + new_records <= self.most
    }

    /// Which record a job's bookings count against; `None` if none may be made, as that
    /// cannot be told.
    fn account_of(&self, team: &str, job: &Job) -> Option<Account> {
        if self.replica.is_share_unreadable(team) {
            return None;
        }
        if self.replica.share(team).is_none() {
            return Some(Account::Team);
        }
        let accounts = self.accounts.as_ref()?;
        Some(Account::Share(accounts.share_of(team, job)))
    }

    /// Whether the record that the job's bookings count against is not written yet.
    fn is_new_account(&self, job: &str, team: &str) -> bool {
        let account = self.job(job).and_then(|job| self.account_of(team, job));
        match (account, &self.accounts) {
            (Some(Account::Share(controller)), Some(accounts)) => {
                !accounts.has_use(team, &controller)
            }
            _ => !self.teams.contains_key(team),
        }
    }

    /// How many of the places the job's account has room for; they are counted there.
    fn admit(&mut self, id: &str, spec: &Spec, places: &[&Place]) -> usize {
        let job = self.job(id);
        match job.and_then(|job| self.account_of(&spec.team, job)) {
            Some(Account::Team) => {
                *self.edit_team(&spec.team) += spec.need.times(places.len());
                places.len()
            }
            Some(Account::Share(controller)) => self.admit_to_share(id, spec, places, &controller),
            None => 0,
        }
    }

    fn admit_to_share(
        &mut self,
        id: &str,
        spec: &Spec,
        places: &[&Place],
        controller: &ControllerName,
    ) -> usize {
        let shards: BTreeSet<&str> = places.iter().map(|place| &*place.shard).collect();
        let new_shards = shards
            .iter()
            .filter(|shard| !self.zone_shards.contains_key(**shard));
        let new_records = new_shards.count()
            + usize::from(!self.jobs.contains_key(id))
            + usize::from(self.is_new_account(id, &spec.team));
        let max_writes = self.most;
        let capacity_without_booking = self.space();
        let capacity_with_booking = CommitCapacity {
            writes: capacity_without_booking.writes.saturating_sub(new_records),
            guards: capacity_without_booking.guards.saturating_sub(new_records),
        };
        let Some(accounts) = &mut self.accounts else {
            return 0;
        };
        accounts.admit(&BookingRequest {
            team: &spec.team,
            controller,
            need: spec.need,
            tasks: places.len(),
            all_or_nothing: spec.is_gang(),
            max_writes,
            capacity_with_booking,
            capacity_without_booking,
        })
    }

    /// What the transaction can still take.
    fn space(&self) -> CommitCapacity {
        let reads = self.accounts.as_ref().map_or(0, BookingAccounts::reads);
        let guards = self.len() + self.machine_shards.len() + reads;
        CommitCapacity {
            writes: self.most.saturating_sub(self.len()),
            guards: (self.most * GUARDS_PER_WRITE).saturating_sub(guards),
        }
    }

    /// The job's record in this transaction, which writes it from now on.
    fn edit_job(&mut self, id: &str) -> Option<&mut Job> {
        if !self.jobs.contains_key(id) {
            let job = self.replica.jobs.get(id)?.value.clone();
            self.jobs.insert(id.to_string(), job);
        }
        self.jobs.get_mut(id)
    }

    /// The same of a team's record, recounted from the replica and this draft's ends.
    fn edit_team(&mut self, team: &str) -> &mut Resources {
        let released = self.team_released.get(team).copied().unwrap_or_default();
        let used = self.replica.team_used(team) - released;
        self.teams.entry(team.to_string()).or_insert(used)
    }

    /// The same of a zone shard's record.
    fn edit_zone_shard(&mut self, id: &str) -> &mut ZoneShard {
        let (replica, released) = (self.replica, &self.released);
        self.zone_shards.entry(id.to_string()).or_insert_with(|| {
            let known = replica.zone_shards.get(id).map(|e| e.value.clone());
            let mut shard = known.unwrap_or_default();
            for (machine, slot) in &mut shard.machines {
                let room = replica
                    .machine_type(&slot.kind)
                    .map_or(Resources::default(), MachineType::resources);
                let ended = released.get(machine).copied().unwrap_or_default();
                slot.free = room - replica.booked_on(machine) - slot.unbooked + ended;
            }
            shard
        })
    }

    /// The machine shard whose record proves an end, if it still does.
    ///
    /// Safety 3: what proved the end holds only while the machine is still ours by
    /// the claim that it was proven under, or once it is gone for good; the guard
    /// on its machine shard's record makes the commit depend on it.
    fn proven_by(
        &self,
        key: &AttemptKey,
        proof: TerminationEvidence,
        controller: &str,
        incarnation: u64,
    ) -> Option<String> {
        let machine = &self.replica.machines.get(&key.machine)?.value;
        let same_claim = machine.owner == controller
            && machine.incarnation == incarnation
            && machine.fencing_token == proof.fencing_token;
        let proven = machine.lifecycle == MachineLifecycle::Gone || same_claim;
        proven.then(|| shard_id(&machine.zone, &machine.shard))
    }

    /// Releases a booking whose task is surely gone. `node` and `incarnation`
    /// are those of the controller that has the proof.
    pub fn release(
        &mut self,
        key: &AttemptKey,
        proof: TerminationEvidence,
        controller: &str,
        incarnation: u64,
    ) -> Released {
        let Some(machine_shard) = self.proven_by(key, proof, controller, incarnation) else {
            return Released::Stale;
        };
        let Some(job) = self.job(&key.job) else {
            return Released::Stale;
        };
        let Some(spec) = job.spec.clone() else {
            return Released::Stale;
        };
        if job.find(&key.machine, key.attempt, key.task).is_none() {
            return Released::Stale;
        }
        let accounts = self.accounts.as_ref();
        let share = accounts.map(|accounts| accounts.booked_share(&spec.team, job));
        // Neither the team's record nor the zone shard's is written: what ends is
        // known to all from the job's, and the next booking there counts it.
        let max_machine_shards = self.most * (GUARDS_PER_WRITE - 1);
        let reads = self.accounts.as_ref().map_or(0, BookingAccounts::reads);
        let guards_full = self.machine_shards.len() + reads >= max_machine_shards
            && !self.machine_shards.contains(&machine_shard);
        if guards_full || !self.has_room(&key.job, None, &BTreeSet::new(), 0) {
            return Released::Full;
        }
        if let (Some(accounts), Some(share)) = (&mut self.accounts, share) {
            accounts.release(&spec.team, &share, spec.need);
        }
        if let Some(job) = self.edit_job(&key.job) {
            job.release(&key.machine, key.attempt, key.task, proof.outcome);
        }
        *self.released.entry(key.machine.clone()).or_default() += spec.need;
        *self.team_released.entry(spec.team).or_default() += spec.need;
        self.machine_shards.insert(machine_shard);
        Released::Yes
    }

    /// The places that this commit has room for: all of a gang's or none, of
    /// other jobs as many as there are. An array may have its places in more
    /// zone shards than any commit writes: the rest follow, or it would wait for ever.
    fn bookable<'p>(&self, id: &str, spec: &Spec, places: &'p [Place]) -> Vec<&'p Place> {
        let zone_shards: BTreeSet<&str> = places.iter().map(|place| &*place.shard).collect();
        let machines: BTreeSet<usize> = places.iter().map(|place| place.at).collect();
        if self.has_room(id, Some(&spec.team), &zone_shards, machines.len()) {
            return places.iter().collect();
        }
        if spec.is_gang() {
            return Vec::new();
        }
        self.bookable_one_by_one(id, spec, places)
    }

    /// The places for which there is room if each is added for itself.
    fn bookable_one_by_one<'p>(
        &self,
        id: &str,
        spec: &Spec,
        places: &'p [Place],
    ) -> Vec<&'p Place> {
        let mut zone_shards: BTreeSet<&str> = BTreeSet::new();
        let mut machines: BTreeSet<usize> = BTreeSet::new();
        let mut bookable = Vec::new();
        for place in places {
            let new_shard = zone_shards.insert(&place.shard);
            let new_machine = machines.insert(place.at);
            if (!new_shard && !new_machine)
                || self.has_room(id, Some(&spec.team), &zone_shards, machines.len())
            {
                bookable.push(place);
                continue;
            }
            if new_shard {
                zone_shards.remove(&*place.shard);
            }
            if new_machine {
                machines.remove(&place.at);
            }
        }
        bookable
    }

    /// Books a job's waiting tasks, and tells how many; none when the commit
    /// is full.
    pub fn book(&mut self, id: &str, spec: &Spec, places: &[Place]) -> usize {
        let places = self.bookable(id, spec, places);
        if places.is_empty() {
            return 0;
        }
        // Safety 7: no task starts before all that its job awaits is done. That
        // is final, so this replica, which the commit is decided on, can only be
        // late in knowing it; what is launched follows from bookings alone.
        if !self.replica.is_ready(spec) {
            return 0;
        }
        let admitted = self.admit(id, spec, &places);
        let places = &places[..admitted];
        if places.is_empty() {
            return 0;
        }
        let share = self.share_for(id, spec);
        let Some(job) = self.edit_job(id) else {
            return 0;
        };
        if let Some(spec) = &mut job.spec {
            spec.dependencies.clear();
        }
        if share.is_some() {
            job.share = share;
        }
        book(job, spec, places);
        for place in places {
            if let Some(slot) = self
                .edit_zone_shard(&place.shard)
                .machines
                .get_mut(&*place.machine)
            {
                slot.free -= spec.need;
            }
        }
        places.len()
    }

    /// The controller whose share a job names once it is booked; `None` where its name
    /// stays as it is.
    fn share_for(&self, id: &str, spec: &Spec) -> Option<ControllerName> {
        let job = self.job(id)?;
        match self.account_of(&spec.team, job)? {
            Account::Share(controller) => Some(controller),
            Account::Team => None,
        }
    }

    /// Whether the transaction has room for the records of these jobs alone.
    pub fn fits_jobs<'b>(&self, ids: impl Iterator<Item = &'b str>) -> bool {
        let new: BTreeSet<&str> = ids.filter(|id| !self.jobs.contains_key(*id)).collect();
        let more: usize = new
            .iter()
            .filter_map(|id| self.job(id))
            .map(job_bytes)
            .sum();
        self.len() + new.len() <= self.most && self.bytes() + more <= COMMIT_BYTES
    }

    /// Changes a job's record alone.
    pub fn change(&mut self, id: &str, edit: impl FnOnce(&mut Job)) {
        if let Some(job) = self.edit_job(id) {
            edit(job);
        }
    }

    /// Guards and writes every record that the draft has touched.
    pub fn into_commit(self) -> (Vec<Guard>, Vec<Write>) {
        let mut parts = CommitParts::new(self.replica);
        if let Some(accounts) = self.accounts {
            accounts.into_commit(&mut parts);
        }
        let CommitParts {
            mut guards,
            mut writes,
            ..
        } = parts;
        for (id, job) in &self.jobs {
            guards.push(guard(job_key(id), self.replica.job_version(id)));
            writes.push(self.replica.put_job(id, job));
        }
        for (name, used) in self.teams {
            guards.push(guard(team_key(&name), self.replica.team_version(&name)));
            writes.push(put(team_key(&name), &Team { used }));
        }
        for (id, shard) in &self.zone_shards {
            guards.push(guard(
                zone_shard_key(id),
                self.replica.zone_shard_version(id),
            ));
            writes.push(self.replica.put_zone_shard(id, shard));
        }
        for id in &self.machine_shards {
            guards.push(guard(
                machine_shard_key(id),
                self.replica.machine_shard_version(id),
            ));
        }
        (guards, writes)
    }
}

/// What became of an end.
#[derive(Debug, PartialEq, Eq)]
pub enum Released {
    /// It is in the transaction.
    Yes,
    /// The commit is full: it goes into the next.
    Full,
    /// Nothing is booked any more, or what proved it no longer holds.
    Stale,
}

/// Books the places for the job's next waiting tasks. A gang's attempt is new.
/// Tasks that were never started share the first attempt, so that those on one
/// machine share one run in the job's record; those that were get a new one.
pub fn book(job: &mut Job, spec: &Spec, places: &[&Place]) {
    job.has_preempted = false;
    // More replicas follow what has failed only once others run well.
    if spec.kind == Kind::Service && job.is_suspected_faulty() && job.booked() > 0 {
        job.record_success();
    }
    let retry_attempt = job.attempt.max(1) + 1;
    if spec.is_gang() {
        job.attempt += 1;
    } else {
        job.attempt = job.attempt.max(1);
    }
    for (index, place) in places.iter().enumerate() {
        let (task, attempt) = if spec.is_gang() {
            (Some(index as u32), job.attempt)
        } else if let Some(task) = job.retry.pop_first() {
            job.attempt = retry_attempt;
            (Some(task), retry_attempt)
        } else {
            (job.take_unstarted_task(), 1)
        };
        if let Some(task) = task {
            job.book(&place.machine, &place.zone, attempt, task);
        }
    }
}
