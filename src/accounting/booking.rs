//! What the bookings of one transaction count against: the team's own record, or a
//! controller's share of the team's limit.

use std::collections::BTreeMap;

use resources::Resources;
use shares::{Change, ControllerName, Ledger, Shortage, TeamName, reserve};

use super::CommitParts;
use crate::settings::Settings;
use crate::state::keys::share_use_id;
use crate::state::records::Job;
use crate::state::replica::Replica;

/// How many records and conditions a transaction can still take.
#[derive(Debug, Clone, Copy)]
pub struct CommitCapacity {
    /// Records that may still be written.
    pub writes: usize,
    /// Conditions that may still be added.
    pub preconditions: usize,
}

/// What is asked of the accounting for one job.
pub struct BookingRequest<'a> {
    /// The job's team.
    pub team: &'a str,
    /// The controller whose share its bookings count against.
    pub controller: &'a ControllerName,
    /// What one task takes.
    pub need: Resources,
    /// How many tasks are to be booked.
    pub tasks: usize,
    /// All of them are booked, or none.
    pub all_or_nothing: bool,
    /// The most records that the transaction may write.
    pub max_writes: usize,
    /// What the transaction can take beside the booking itself.
    pub capacity_with_booking: CommitCapacity,
    /// What it can take without the booking.
    pub capacity_without_booking: CommitCapacity,
}

/// The accounting by shares as one transaction will leave it.
pub struct BookingAccounts {
    own: ControllerName,
    ledger: Ledger,
    /// What the bookings change of splits and pool.
    change: Change,
    /// What is booked against each share that is booked against here, by its id.
    uses: BTreeMap<String, Resources>,
}

impl BookingAccounts {
    /// The accounting that a round of this controller starts from; `None` where no team's
    /// bookings count against shares.
    pub fn new(replica: &Replica, settings: &Settings) -> Option<Self> {
        replica.has_shares().then(|| BookingAccounts {
            own: ControllerName::from(settings.controller_name.as_str()),
            ledger: replica.ledger(settings),
            change: Change::default(),
            uses: BTreeMap::new(),
        })
    }

    /// How many records it writes.
    pub fn writes(&self) -> usize {
        self.change.writes() + self.uses.len()
    }

    /// How many records it depends on that it does not write.
    pub fn reads(&self) -> usize {
        self.change.read_shares.len() + self.change.read_uses.len()
    }

    /// The controller whose share a job's bookings count against: as long as some of its
    /// tasks are booked it stays the same, else it is this one.
    pub fn controller_for_new_bookings(&self, team: &str, job: &Job) -> ControllerName {
        if job.runs.is_empty() {
            return self.own.clone();
        }
        self.controller_of_bookings(team, job)
    }

    /// The controller whose share a job's present bookings count against.
    pub fn controller_of_bookings(&self, team: &str, job: &Job) -> ControllerName {
        let share = self.ledger.teams.get(team).and_then(|a| a.share.as_ref());
        let fallback = || share.map(|share| share.fallback.clone());
        let name = job.share.clone().or_else(fallback);
        name.unwrap_or_else(|| self.own.clone())
    }

    /// Whether this transaction writes the record of what is booked there.
    pub fn writes_use_record(&self, team: &str, controller: &ControllerName) -> bool {
        let id = share_use_id(team, controller.as_str());
        self.uses.contains_key(&id)
    }

    /// Counts what an end frees.
    pub fn release(&mut self, team: &str, controller: &ControllerName, need: Resources) {
        if let Some(account) = self.ledger.teams.get_mut(team) {
            account.book(controller, Resources::default() - need);
        }
    }

    /// Reserves capacity for the tasks of a booking, for as many as there is or for all or
    /// none of a gang, and books it; returns how many. Where the transaction cannot take
    /// what has to be written beside the booking, that alone goes into it if it can, and
    /// the booking follows in the next.
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
                Err(Shortage::Partial(first)) => {
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

    /// Merges a change in, if the transaction can take it; false if not.
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

    /// Adds all that it writes and depends on to a commit.
    pub fn into_commit(self, parts: &mut CommitParts) {
        parts.add_change(&self.change);
        for (id, used) in self.uses {
            parts.put_use(&id, used);
        }
    }
}
