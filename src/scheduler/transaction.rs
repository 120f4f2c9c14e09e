//! A transaction in the making: records as they will be, each written once.
//!
//! Terminations, bookings and preemptions go into the same transaction, so that a
//! round writes every job, team and zone shard at most once however many of its tasks
//! have changed. The writes to the state service grow with rounds, not with tasks.
//!
//! | module | task |
//! | --- | --- |
//! | `accounts` | the record that a job's bookings count against |
//! | `booking` | bookings of waiting tasks |
//! | `release` | bookings whose task has surely ended |
//! | `size` | how much more one commit can hold |

mod accounts;
mod booking;
mod release;
mod size;

use std::collections::{BTreeMap, BTreeSet};

use crate::accounting::{BookingAccounts, CommitParts};
use crate::state::commit::{precondition, put};
use crate::state::keys::{job_key, machine_shard_key, team_key, zone_shard_key};
use crate::state::records::{Job, Resources, Team, ZoneShard};
use crate::state::replica::Replica;
use crate::wire::{MachineType, Precondition, Write};

pub use booking::book;
pub use release::ReleaseOutcome;
pub use size::{COMMIT_BYTES, PRECONDITIONS_PER_WRITE};

/// A transaction in the making, on one revision of the replica.
pub struct Transaction<'a> {
    replica: &'a Replica,
    /// The most records that one commit may write.
    pub(super) max_records: usize,
    /// The jobs that it writes, by id.
    jobs: BTreeMap<String, Job>,
    /// What the teams use whose records it writes.
    teams: BTreeMap<String, Resources>,
    /// The zone shards that it writes, by id.
    zone_shards: BTreeMap<String, ZoneShard>,
    /// What the terminations of this transaction free, by machine.
    released_by_machine: BTreeMap<String, Resources>,
    /// The same by team.
    released_by_team: BTreeMap<String, Resources>,
    /// Machine shards that must be as they are, but are not written.
    guarded_machine_shards: BTreeSet<String>,
    /// What the bookings of teams count against whose quota is split into shares.
    accounts: Option<BookingAccounts>,
}

impl<'a> Transaction<'a> {
    /// An empty transaction that may write `max_records` records.
    pub fn new(replica: &'a Replica, max_records: usize) -> Self {
        Transaction {
            replica,
            max_records,
            jobs: BTreeMap::new(),
            teams: BTreeMap::new(),
            zone_shards: BTreeMap::new(),
            released_by_machine: BTreeMap::new(),
            released_by_team: BTreeMap::new(),
            guarded_machine_shards: BTreeSet::new(),
            accounts: None,
        }
    }

    /// The transaction counts bookings against shares where a team's quota is split;
    /// without this it books nothing for such a team.
    #[must_use]
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

    /// The ids of the zone shards that it writes.
    pub fn zone_shards(&self) -> BTreeSet<String> {
        self.zone_shards.keys().cloned().collect()
    }

    /// A job as this transaction leaves it.
    pub fn job(&self, id: &str) -> Option<&Job> {
        let known = || self.replica.jobs.get(id).map(|e| &e.value);
        self.jobs.get(id).or_else(known)
    }

    /// Changes a job's record alone.
    pub fn edit_job_record(&mut self, id: &str, edit: impl FnOnce(&mut Job)) {
        if let Some(job) = self.edit_job(id) {
            edit(job);
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

    /// The same of a team's record, recounted from the replica and the terminations
    /// of this transaction.
    fn edit_team(&mut self, team: &str) -> &mut Resources {
        let released = self.released_by_team.get(team).copied().unwrap_or_default();
        let used = self.replica.team_used(team) - released;
        self.teams.entry(team.to_string()).or_insert(used)
    }

    /// The same of a zone shard's record.
    fn edit_zone_shard(&mut self, id: &str) -> &mut ZoneShard {
        let (replica, released) = (self.replica, &self.released_by_machine);
        self.zone_shards.entry(id.to_string()).or_insert_with(|| {
            let known = replica.zone_shards.get(id).map(|e| e.value.clone());
            let mut shard = known.unwrap_or_default();
            for (machine, slot) in &mut shard.machines {
                let capacity = replica
                    .machine_type(&slot.kind)
                    .map_or(Resources::default(), MachineType::resources);
                let released = released.get(machine).copied().unwrap_or_default();
                slot.free = capacity - replica.booked_on(machine) - slot.unbooked + released;
            }
            shard
        })
    }

    /// Guards and writes every record that the transaction has touched.
    pub fn into_commit(self) -> (Vec<Precondition>, Vec<Write>) {
        let mut parts = CommitParts::new(self.replica);
        if let Some(accounts) = self.accounts {
            accounts.into_commit(&mut parts);
        }
        let CommitParts {
            mut preconditions,
            mut writes,
            ..
        } = parts;
        for (id, job) in &self.jobs {
            preconditions.push(precondition(job_key(id), self.replica.job_version(id)));
            writes.push(self.replica.put_job(id, job));
        }
        for (name, used) in self.teams {
            preconditions.push(precondition(
                team_key(&name),
                self.replica.team_version(&name),
            ));
            writes.push(put(team_key(&name), &Team { used }));
        }
        for (id, shard) in &self.zone_shards {
            let version = self.replica.zone_shard_version(id);
            preconditions.push(precondition(zone_shard_key(id), version));
            writes.push(self.replica.put_zone_shard(id, shard));
        }
        for id in &self.guarded_machine_shards {
            let version = self.replica.machine_shard_version(id);
            preconditions.push(precondition(machine_shard_key(id), version));
        }
        (preconditions, writes)
    }
}
