//! Selection of the account of a job's bookings. The account is the record that bookings
//! count against: the team's own record or, if the team's quota is split into shares, the
//! share of one controller.

use std::collections::BTreeSet;

use shares::ControllerName;

use super::Transaction;
use crate::accounting::{BookingRequest, CommitCapacity};
use crate::scheduler::plan::TaskPlacement;
use crate::state::records::{Job, JobSpec};

/// Account of a job's bookings.
enum Account {
    /// The team's quota is not split; bookings count against the team's own record.
    TeamUsage,
    /// The team's quota is split; bookings count against the share of this controller.
    Share(ControllerName),
}

impl Transaction<'_> {
    /// Returns the account of a job's bookings. Returns `None` if the account cannot be
    /// determined; nothing may be booked for the job then.
    fn account_of(&self, team: &str, job: &Job) -> Option<Account> {
        if self.replica.is_share_unreadable(team) {
            return None;
        }
        if self.replica.share(team).is_none() {
            return Some(Account::TeamUsage);
        }
        let accounts = self.accounts.as_ref()?;
        Some(Account::Share(
            accounts.controller_for_new_bookings(team, job),
        ))
    }

    /// Returns whether booking the job would add its account to the records that the
    /// transaction writes.
    pub(super) fn is_new_account(&self, job: &str, team: &str) -> bool {
        let account = self.job(job).and_then(|job| self.account_of(team, job));
        match (account, &self.accounts) {
            (Some(Account::Share(controller)), Some(accounts)) => {
                !accounts.writes_use_record(team, &controller)
            }
            _ => !self.teams.contains_key(team),
        }
    }

    /// Returns the controller whose share must be recorded in the job when it is booked,
    /// or `None` if the share recorded in the job does not change.
    pub(super) fn share_to_record(&self, id: &str, spec: &JobSpec) -> Option<ControllerName> {
        let job = self.job(id)?;
        match self.account_of(&spec.team, job)? {
            Account::Share(controller) => Some(controller),
            Account::TeamUsage => None,
        }
    }

    /// Charges the job's account for as many of the placements as the account permits, and
    /// returns their number.
    pub(super) fn admit(
        &mut self,
        id: &str,
        spec: &JobSpec,
        placements: &[&TaskPlacement],
    ) -> usize {
        let job = self.job(id);
        match job.and_then(|job| self.account_of(&spec.team, job)) {
            Some(Account::TeamUsage) => {
                *self.edit_team(&spec.team) += spec.need.times(placements.len());
                placements.len()
            }
            Some(Account::Share(controller)) => {
                self.admit_to_share(id, spec, placements, &controller)
            }
            None => 0,
        }
    }

    fn admit_to_share(
        &mut self,
        id: &str,
        spec: &JobSpec,
        placements: &[&TaskPlacement],
        controller: &ControllerName,
    ) -> usize {
        let new_records = self.new_records(id, spec, placements);
        let max_writes = self.max_records;
        let capacity_without_booking = self.remaining_space();
        let capacity_with_booking = CommitCapacity {
            writes: capacity_without_booking.writes.saturating_sub(new_records),
            preconditions: capacity_without_booking
                .preconditions
                .saturating_sub(new_records),
        };
        let Some(accounts) = &mut self.accounts else {
            return 0;
        };
        accounts.admit(&BookingRequest {
            team: &spec.team,
            controller,
            need: spec.need,
            tasks: placements.len(),
            all_or_nothing: spec.is_gang(),
            max_writes,
            capacity_with_booking,
            capacity_without_booking,
        })
    }

    /// Returns the number of records that a booking of these placements adds to the
    /// transaction.
    fn new_records(&self, id: &str, spec: &JobSpec, placements: &[&TaskPlacement]) -> usize {
        let shards: BTreeSet<&str> = placements.iter().map(|p| &*p.shard).collect();
        let new_shards = shards
            .iter()
            .filter(|shard| !self.zone_shards.contains_key(**shard));
        new_shards.count()
            + usize::from(!self.jobs.contains_key(id))
            + usize::from(self.is_new_account(id, &spec.team))
    }
}
