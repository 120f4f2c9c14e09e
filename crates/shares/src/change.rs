//! The records that a decision writes, and those that it depends on.

use std::collections::{BTreeMap, BTreeSet};

use resources::Resources;

use crate::ledger::Ledger;
use crate::names::{ControllerName, JobId, TeamName};
use crate::records::{Pool, Share};

/// The records that a decision writes and those that it only reads. The commit of the change
/// has preconditions on the versions of both.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Change {
    /// The share records that are written, by team.
    pub shares: BTreeMap<TeamName, Share>,
    /// The teams whose share records are removed, which disables their accounting by shares.
    pub closed: BTreeSet<TeamName>,
    /// The pool, if it is written.
    pub pool: Option<Pool>,
    /// The jobs whose bookings move to another controller's share, with that controller.
    pub reassigned: BTreeMap<JobId, ControllerName>,
    /// The teams whose share records are only read.
    pub read_shares: BTreeSet<TeamName>,
    /// The shares whose usage records are only read. The commit fails if anything was booked
    /// against these shares since.
    pub read_uses: BTreeSet<(TeamName, ControllerName)>,
}

impl Change {
    /// Returns the number of records that the change writes.
    pub fn writes(&self) -> usize {
        self.shares.len()
            + self.closed.len()
            + self.reassigned.len()
            + usize::from(self.pool.is_some())
    }

    /// Returns whether the change neither writes nor reads any record.
    pub fn is_empty(&self) -> bool {
        *self == Change::default()
    }

    /// Adds a later change, which was decided on the ledger with this change applied.
    pub fn merge(&mut self, later: Change) {
        self.shares.extend(later.shares);
        self.closed.extend(later.closed);
        self.pool = later.pool.or(self.pool);
        self.reassigned.extend(later.reassigned);
        self.read_shares.extend(later.read_shares);
        self.read_uses.extend(later.read_uses);
    }

    /// Applies the share records and the pool to a ledger. The booked resources of reassigned
    /// jobs are not moved, as the ledger contains no jobs; the caller must do that.
    pub fn apply(&self, ledger: &mut Ledger) {
        for (team, share) in &self.shares {
            ledger.teams.entry(team.clone()).or_default().share = Some(share.clone());
        }
        for team in &self.closed {
            if let Some(account) = ledger.teams.get_mut(team) {
                account.share = None;
            }
        }
        if let Some(pool) = self.pool {
            ledger.pool = Some(pool);
        }
    }
}

/// A change under construction, with working copies of the records that it writes.
pub(crate) struct Draft<'a> {
    ledger: &'a Ledger,
    pool: Option<Pool>,
    change: Change,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(ledger: &'a Ledger) -> Self {
        Draft {
            ledger,
            pool: ledger.pool,
            change: Change::default(),
        }
    }

    /// Returns a team's share record with the changes made so far.
    pub(crate) fn share(&self, team: &TeamName) -> Option<&Share> {
        let known = || self.ledger.share(team);
        self.change.shares.get(team).or_else(known)
    }

    /// Returns the pool with the changes made so far.
    pub(crate) fn pool(&self) -> Option<Pool> {
        self.pool
    }

    /// Returns the free capacity of a controller's share with the changes made so far.
    pub(crate) fn free(&self, team: &TeamName, controller: &str) -> Resources {
        let used = self.ledger.teams.get(team).map(|a| a.used_by(controller));
        let granted = self.share(team).map(|share| share.granted_to(controller));
        granted.unwrap_or_default() - used.unwrap_or_default()
    }

    /// Returns a team's share record for modification, and marks it as written.
    pub(crate) fn edit_share(&mut self, team: &TeamName) -> Option<&mut Share> {
        if !self.change.shares.contains_key(team) {
            let share = self.share(team)?.clone();
            self.change.shares.insert(team.clone(), share);
        }
        self.change.shares.get_mut(team)
    }

    /// Returns the number of share records that are written.
    pub(crate) fn written_shares(&self) -> usize {
        self.change.shares.len()
    }

    /// Returns the number of other teams' share records that are written.
    pub(crate) fn written_shares_of_others(&self, team: &TeamName) -> usize {
        let others = self.change.shares.keys().filter(|name| *name != team);
        others.count()
    }

    /// Sets the pool, and marks it as written.
    pub(crate) fn set_pool(&mut self, pool: Pool) {
        self.pool = Some(pool);
        self.change.pool = Some(pool);
    }

    /// Makes the change depend on the usage record of a share, so that the commit fails if
    /// anything was booked against the share since.
    pub(crate) fn read_use(&mut self, team: &TeamName, controller: &ControllerName) {
        let key = (team.clone(), controller.clone());
        self.change.read_uses.insert(key);
    }

    /// Makes the change depend on a team's share record.
    pub(crate) fn read_share(&mut self, team: &TeamName) {
        self.change.read_shares.insert(team.clone());
    }

    pub(crate) fn finish(self) -> Change {
        self.change
    }
}
