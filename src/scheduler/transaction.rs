//! Transactions of placement rounds: the changed records, each written once.
//!
//! Terminations, bookings and preemptions go into the same transaction, so that a
//! round writes every job, team and zone shard at most once, however many tasks have
//! changed. The number of writes to the state service thus grows with the number of
//! rounds and not with the number of tasks.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `accounts` | selects the record that a job's bookings count against |
//! | `booking` | books waiting tasks |
//! | `release` | releases bookings of tasks that are proven to have ended |
//! | `size` | estimates the remaining capacity of the commit |

mod accounts;
mod booking;
mod release;
mod size;

use std::collections::{BTreeMap, BTreeSet};

use crate::accounting::{BookingAccounts, CommitParts};
use crate::state::commit::{precondition, put};
use crate::state::keys::{job_key, machine_shard_key, team_key, zone_shard_key};
use crate::state::records::{Job, Resources, TeamUsage, ZoneShard};
use crate::state::replica::Replica;
use crate::wire::{Commit, MachineType};

pub use booking::book;
pub use release::ReleaseOutcome;
pub use size::{COMMIT_BYTES, PRECONDITIONS_PER_WRITE};

/// Transaction that is being built on one revision of the replica.
pub struct Transaction<'a> {
    replica: &'a Replica,
    /// Maximum number of records that the commit may write.
    pub(super) max_records: usize,
    /// Jobs that the transaction writes, by id.
    jobs: BTreeMap<String, Job>,
    /// Resources used by each team whose record the transaction writes, by team name.
    teams: BTreeMap<String, Resources>,
    /// Zone shards that the transaction writes, by id.
    zone_shards: BTreeMap<String, ZoneShard>,
    /// Resources that the terminations of this transaction release, by machine name.
    released_by_machine: BTreeMap<String, Resources>,
    /// Resources that the terminations of this transaction release, by team name.
    released_by_team: BTreeMap<String, Resources>,
    /// Ids of machine shards that the commit guards (with a precondition on their version)
    /// but does not write.
    guarded_machine_shards: BTreeSet<String>,
    /// Accounts of teams whose quota is split into shares, one share per controller.
    accounts: Option<BookingAccounts>,
}

impl<'a> Transaction<'a> {
    /// Creates an empty transaction that may write `max_records` records.
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

    /// Counts bookings against these accounts where a team's quota is split into shares.
    /// Without accounts, the transaction books nothing for such teams.
    #[must_use]
    pub fn with_accounts(mut self, accounts: Option<BookingAccounts>) -> Self {
        self.accounts = accounts;
        self
    }

    /// Returns the number of records that the transaction writes.
    pub fn len(&self) -> usize {
        let accounts = self.accounts.as_ref().map_or(0, BookingAccounts::writes);
        self.jobs.len() + self.teams.len() + self.zone_shards.len() + accounts
    }

    /// Returns whether the transaction writes no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the ids of the zone shards that the transaction writes.
    pub fn zone_shards(&self) -> BTreeSet<String> {
        self.zone_shards.keys().cloned().collect()
    }

    /// Returns a job as it is after this transaction.
    pub fn job(&self, id: &str) -> Option<&Job> {
        let known = || self.replica.jobs.get(id).map(|e| &e.value);
        self.jobs.get(id).or_else(known)
    }

    /// Changes a job's record without changing any other record.
    pub fn edit_job_record(&mut self, id: &str, edit: impl FnOnce(&mut Job)) {
        if let Some(job) = self.edit_job(id) {
            edit(job);
        }
    }

    /// Returns a job's record for modification, and marks the record to be written.
    fn edit_job(&mut self, id: &str) -> Option<&mut Job> {
        if !self.jobs.contains_key(id) {
            let job = self.replica.jobs.get(id)?.value.clone();
            self.jobs.insert(id.to_string(), job);
        }
        self.jobs.get_mut(id)
    }

    /// Returns the resources that a team uses, for modification, and marks the team's
    /// record to be written. The first call for a team computes them from the replica, less
    /// the resources that the terminations recorded so far release.
    fn edit_team(&mut self, team: &str) -> &mut Resources {
        let released = self.released_by_team.get(team).copied().unwrap_or_default();
        let used = self.replica.team_used(team) - released;
        self.teams.entry(team.to_string()).or_insert(used)
    }

    /// Returns a zone shard's record for modification, and marks the record to be written.
    /// The first call for a zone shard computes the free resources of its machines from the
    /// replica, plus the resources that the terminations recorded so far release.
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
                slot.free =
                    capacity - replica.booked_on(machine).resources - slot.unbooked + released;
            }
            shard
        })
    }

    /// Returns the commit. It guards every record that the transaction writes or depends on.
    pub fn into_commit(self) -> Commit {
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
            writes.push(put(team_key(&name), &TeamUsage { used }));
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
        Commit {
            preconditions,
            writes,
        }
    }
}
