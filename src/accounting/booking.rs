//! Charges the bookings of one transaction to the controllers' shares of their teams' limits.

use std::collections::BTreeMap;

use resources::Resources;
use shares::{Change, ControllerName, Ledger, Shortage, TeamName, reserve};

use super::CommitParts;
use crate::settings::Settings;
use crate::state::keys::share_use_id;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// The remaining capacity of a transaction, which is limited in writes and preconditions.
#[derive(Debug, Clone, Copy)]
pub struct CommitCapacity {
    /// The number of records that may still be written.
    pub writes: usize,
    /// The number of preconditions that may still be added.
    pub preconditions: usize,
}

/// A request to charge the bookings of one job.
pub struct BookingRequest<'a> {
    /// The job's team.
    pub team: &'a str,
    /// The controller to whose share the bookings are charged.
    pub controller: &'a ControllerName,
    /// The resources that one task needs.
    pub need: Resources,
    /// The number of tasks to book.
    pub tasks: usize,
    /// True if the tasks must be booked together or not at all, as for a gang.
    pub all_or_nothing: bool,
    /// The largest number of records that the transaction may write.
    pub max_writes: usize,
    /// The remaining capacity of the transaction if the booking is part of it.
    pub capacity_with_booking: CommitCapacity,
    /// The remaining capacity of the transaction if the booking is left out.
    pub capacity_without_booking: CommitCapacity,
}

/// The accounting by shares while one transaction is planned, with the effects of the bookings
/// that the transaction contains so far.
pub struct BookingAccounts {
    own: ControllerName,
    ledger: Ledger,
    /// The changes of share records and of the pool that the bookings require.
    change: Change,
    /// The usage records that this transaction writes, by id. Each contains the resources
    /// that will be booked against one controller's share.
    uses: BTreeMap<String, Resources>,
}

impl BookingAccounts {
    /// Returns the accounting at the start of a scheduling round, from the replica; `None` if
    /// no team's bookings are charged to shares.
    pub fn new(replica: &Replica, settings: &Settings) -> Option<Self> {
        replica.has_shares().then(|| BookingAccounts {
            own: ControllerName::from(settings.controller_name.as_str()),
            ledger: replica.ledger(settings),
            change: Change::default(),
            uses: BTreeMap::new(),
        })
    }

    /// Returns the number of records that the accounting adds to the transaction's writes.
    pub fn writes(&self) -> usize {
        self.change.writes() + self.uses.len()
    }

    /// Returns the number of records that the accounting depends on without writing them.
    pub fn reads(&self) -> usize {
        self.change.read_shares.len() + self.change.read_uses.len()
    }

    /// Returns the controller to whose share a job's new bookings are charged. While tasks of
    /// the job are booked, that is the controller of these bookings; otherwise this controller.
    pub fn controller_for_new_bookings(&self, team: &str, job: &Job) -> ControllerName {
        if job.runs.is_empty() {
            return self.own.clone();
        }
        self.controller_of_bookings(team, job)
    }

    /// Returns the controller to whose share a job's present bookings are charged: the one in
    /// the job's record, or else the fallback controller of the team's share record.
    pub fn controller_of_bookings(&self, team: &str, job: &Job) -> ControllerName {
        let share = self.ledger.teams.get(team).and_then(|a| a.share.as_ref());
        let fallback = || share.map(|share| share.fallback.clone());
        let name = job.share.clone().or_else(fallback);
        name.unwrap_or_else(|| self.own.clone())
    }

    /// Returns whether this transaction writes the usage record of a controller's share.
    pub fn writes_use_record(&self, team: &str, controller: &ControllerName) -> bool {
        let id = share_use_id(team, controller.as_str());
        self.uses.contains_key(&id)
    }

    /// Releases the resources of an ended task in the share to which the task was charged, so
    /// that this transaction can book them again.
    pub fn release(&mut self, team: &str, controller: &ControllerName, need: Resources) {
        if let Some(account) = self.ledger.teams.get_mut(team) {
            account.book(controller, Resources::default() - need);
        }
    }

    /// Reserves capacity for the tasks of a booking, charges the tasks to the share, and
    /// returns the number of tasks. A gang is booked as a whole or not at all; for other jobs,
    /// the number of tasks is halved until capacity can be reserved.
    ///
    /// A reservation may have to write records in addition to the booking. If the transaction
    /// cannot take both, 0 is returned and the records of the reservation alone are added, if
    /// they fit. The booking follows in a later transaction.
    pub fn admit(&mut self, request: &BookingRequest) -> usize {
        let team = TeamName::from(request.team);
        let mut tasks = request.tasks;
        while tasks > 0 {
            let resources = request.need.times(tasks);
            let reserved = reserve(
                &self.ledger,
                &team,
                request.controller,
                resources,
                request.max_writes,
            );
            match reserved {
                Ok(change) => {
                    let booked = self.try_merge(&change, request.capacity_with_booking);
                    if booked {
                        self.book(&team, request.controller, resources);
                        return tasks;
                    }
                    self.try_merge(&change, request.capacity_without_booking);
                    return 0;
                }
                Err(Shortage::CommitFirst(first)) => {
                    self.try_merge(&first, request.capacity_without_booking);
                    return 0;
                }
                Err(_) if request.all_or_nothing => return 0,
                Err(_) => tasks /= 2,
            }
        }
        0
    }

    fn book(&mut self, team: &TeamName, controller: &ControllerName, resources: Resources) {
        if let Some(account) = self.ledger.teams.get_mut(team) {
            account.book(controller, resources);
            let id = share_use_id(team.as_str(), controller.as_str());
            self.uses.insert(id, account.used_by(controller.as_str()));
        }
    }

    /// Merges a change if the transaction can take it; returns whether it could.
    fn try_merge(&mut self, change: &Change, capacity: CommitCapacity) -> bool {
        let mut merged = self.change.clone();
        merged.merge(change.clone());
        let more_writes = merged.writes() - self.change.writes();
        let more_reads = merged.read_shares.len() + merged.read_uses.len() - self.reads();
        if more_writes > capacity.writes || more_writes + more_reads > capacity.preconditions {
            return false;
        }
        change.apply(&mut self.ledger);
        self.change = merged;
        true
    }

    /// Adds the writes and preconditions of the accounting to the transaction's commit.
    pub fn into_commit(self, parts: &mut CommitParts) {
        parts.add_change(&self.change);
        for (id, used) in self.uses {
            parts.put_use(&id, used);
        }
    }
}
