//! Converts an accounting change into the preconditions and writes of a commit.

use std::collections::BTreeSet;

use shares::{Change, TeamName};

use crate::state::commit::{precondition, put};
use crate::state::keys::{POOL_KEY, share_key, share_use_id, share_use_key, team_key};
use crate::state::records::{Resources, TeamUsage};
use crate::state::replica::Replica;
use crate::wire::{Precondition, Write};

/// Builder of a commit's preconditions and writes. It adds at most one precondition per
/// key.
pub struct CommitParts<'a> {
    replica: &'a Replica,
    guarded_keys: BTreeSet<String>,
    /// The preconditions of the commit.
    pub preconditions: Vec<Precondition>,
    /// The writes of the commit.
    pub writes: Vec<Write>,
}

impl<'a> CommitParts<'a> {
    /// Creates an empty builder. It takes the versions for preconditions, and the records of
    /// teams and jobs, from the replica.
    pub fn new(replica: &'a Replica) -> Self {
        CommitParts {
            replica,
            guarded_keys: BTreeSet::new(),
            preconditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    fn precondition(&mut self, key: String, version: u64) {
        if self.guarded_keys.insert(key.clone()) {
            self.preconditions.push(precondition(key, version));
        }
    }

    /// Adds the share records and the pool of a change, with preconditions on every record
    /// that the change depends on. The records of reassigned jobs are not included; see
    /// [`Self::reassign_jobs`].
    pub fn add_change(&mut self, change: &Change) {
        for (team, share) in &change.shares {
            self.guard_share(team);
            self.writes.push(put(share_key(team.as_str()), share));
        }
        for team in &change.closed {
            self.guard_share(team);
            let key = share_key(team.as_str());
            self.writes.push(Write::Delete { key });
        }
        if let Some(pool) = &change.pool {
            self.precondition(POOL_KEY.to_string(), self.replica.pool_version());
            self.writes.push(put(POOL_KEY.to_string(), pool));
        }
        for team in &change.read_shares {
            self.guard_share(team);
        }
        for (team, controller) in &change.read_uses {
            self.guard_use(&share_use_id(team.as_str(), controller.as_str()));
        }
    }

    fn guard_share(&mut self, team: &TeamName) {
        let version = self.replica.share_version(team.as_str());
        self.precondition(share_key(team.as_str()), version);
    }

    fn guard_use(&mut self, id: &str) {
        let version = self.replica.share_use_version(id);
        self.precondition(share_use_key(id), version);
    }

    /// Adds a write of the usage record of a share.
    pub fn put_use(&mut self, id: &str, used: Resources) {
        self.guard_use(id);
        self.writes
            .push(put(share_use_key(id), &TeamUsage { used }));
    }

    /// Adds a write of a team's own record with the team's usage according to the replica.
    pub fn put_team(&mut self, team: &str) {
        self.precondition(team_key(team), self.replica.team_version(team));
        let used = self.replica.team_used(team);
        self.writes.push(put(team_key(team), &TeamUsage { used }));
    }

    /// Adds writes of the jobs whose bookings the change charges to another share. Only the
    /// controller of the share changes in these records.
    pub fn reassign_jobs(&mut self, change: &Change) {
        for (id, controller) in &change.reassigned {
            let Some(entry) = self.replica.jobs.get(id.as_str()) else {
                continue;
            };
            let mut job = entry.value.clone();
            job.share = Some(controller.clone());
            let write = self.replica.put_job(id.as_str(), &job);
            self.precondition(write.key().to_string(), entry.version);
            self.writes.push(write);
        }
    }

    /// Adds the removal of the pool's record.
    pub fn remove_pool(&mut self) {
        self.precondition(POOL_KEY.to_string(), self.replica.pool_version());
        let key = POOL_KEY.to_string();
        self.writes.push(Write::Delete { key });
    }
}
