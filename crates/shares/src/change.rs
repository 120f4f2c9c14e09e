//! What a decision reads and writes.

use std::collections::{BTreeMap, BTreeSet};

use resources::Resources;

use crate::ledger::Ledger;
use crate::names::{ControllerName, JobId, TeamName};
use crate::records::{Pool, Share};

/// What a decision writes, and what must be as it was read when that is committed.
/// Everything that is written is guarded, too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Change {
    /// The splits that are written, by team.
    pub shares: BTreeMap<TeamName, Share>,
    /// Teams whose split ends.
    pub closed: BTreeSet<TeamName>,
    /// The pool, if it is written.
    pub pool: Option<Pool>,
    /// Jobs whose bookings count against another controller's share from then on.
    pub reassigned: BTreeMap<JobId, ControllerName>,
    /// Splits that are only read.
    pub read_shares: BTreeSet<TeamName>,
    /// Records of use that are only read: nothing may be booked there meanwhile.
    pub read_uses: BTreeSet<(TeamName, ControllerName)>,
}

impl Change {
    /// How many records it writes.
    pub fn writes(&self) -> usize {
        self.shares.len()
            + self.closed.len()
            + self.reassigned.len()
            + usize::from(self.pool.is_some())
    }

    /// Whether it neither writes nor reads anything.
    pub fn is_empty(&self) -> bool {
        *self == Change::default()
    }

    /// Adds a change that was decided on the ledger that this one leaves.
    pub fn merge(&mut self, later: Change) {
        self.shares.extend(later.shares);
        self.closed.extend(later.closed);
        self.pool = later.pool.or(self.pool);
        self.reassigned.extend(later.reassigned);
        self.read_shares.extend(later.read_shares);
        self.read_uses.extend(later.read_uses);
    }

    /// Applies splits and pool to a ledger. What is booked is for the caller to move:
    /// the ledger does not know jobs.
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

/// A change in the making: the working copies of what it writes.
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

    /// A team's split as the change leaves it.
    pub(crate) fn share(&self, team: &TeamName) -> Option<&Share> {
        let known = || self.ledger.share(team);
        self.change.shares.get(team).or_else(known)
    }

    /// The pool as the change leaves it.
    pub(crate) fn pool(&self) -> Option<Pool> {
        self.pool
    }

    /// What a share has free as the change leaves it.
    pub(crate) fn free(&self, team: &TeamName, controller: &str) -> Resources {
        let used = self.ledger.teams.get(team).map(|a| a.used_by(controller));
        let granted = self.share(team).map(|share| share.granted_to(controller));
        granted.unwrap_or_default() - used.unwrap_or_default()
    }

    /// A team's split, to be written.
    pub(crate) fn edit_share(&mut self, team: &TeamName) -> Option<&mut Share> {
        if !self.change.shares.contains_key(team) {
            let share = self.share(team)?.clone();
            self.change.shares.insert(team.clone(), share);
        }
        self.change.shares.get_mut(team)
    }

    /// How many splits are written.
    pub(crate) fn written_shares(&self) -> usize {
        self.change.shares.len()
    }

    /// How many splits of other teams are written.
    pub(crate) fn written_shares_of_others(&self, team: &TeamName) -> usize {
        let others = self.change.shares.keys().filter(|name| *name != team);
        others.count()
    }

    /// The pool, to be written.
    pub(crate) fn set_pool(&mut self, pool: Pool) {
        self.pool = Some(pool);
        self.change.pool = Some(pool);
    }

    /// The change depends on nothing being booked against this share meanwhile.
    pub(crate) fn read_use(&mut self, team: &TeamName, controller: &ControllerName) {
        let key = (team.clone(), controller.clone());
        self.change.read_uses.insert(key);
    }

    /// The change depends on this split.
    pub(crate) fn read_share(&mut self, team: &TeamName) {
        self.change.read_shares.insert(team.clone());
    }

    pub(crate) fn finish(self) -> Change {
        self.change
    }
}
