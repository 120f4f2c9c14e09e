//! Plans transfers, the steps by which controllers complete pending moves.
//!
//! A transfer moves free capacity first. If that is not enough, it includes whole jobs with
//! the capacity that they use. Each transfer is one commit, so an unfinished move is visible
//! only in the pending amounts of the share record.

use resources::{Amount, Resources};

use crate::change::Change;
use crate::ledger::{Ledger, TeamAccount};
use crate::names::{ControllerName, JobId, TeamName};
use crate::records::Share;

/// The bookings of a job, which are all charged to one controller's share and can only be
/// reassigned to another share together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobBooking {
    /// The id of the job.
    pub job: JobId,
    /// The controller to whose share the bookings are charged.
    pub controller: ControllerName,
    /// The booked resources.
    pub booked: Resources,
}

/// One step towards the completion of a team's pending moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The source controller.
    pub from: ControllerName,
    /// The destination controller.
    pub to: ControllerName,
    /// The resources that leave the source's share and are added to the destination's.
    pub amount: Resources,
    /// The change to commit.
    pub change: Change,
}

/// Returns the next transfer of a team's pending moves; `None` if nothing is pending or
/// nothing can be transferred now. The transfer reassigns at most `max_jobs` jobs.
pub fn next_transfer(
    ledger: &Ledger,
    team: &TeamName,
    jobs: &[JobBooking],
    max_jobs: usize,
) -> Option<Transfer> {
    let account = ledger.teams.get(team)?;
    let share = account.share.as_ref()?;
    for from in share.controllers() {
        let outgoing = share.outgoing_from(from.as_str());
        for to in share.controllers() {
            let remaining = outgoing.min(&share.incoming_to(to.as_str()));
            if from == to || remaining.is_empty() {
                continue;
            }
            let plan = TransferPlan::new(account, &from, &to, remaining);
            if let Some(transfer) = plan.build_transfer(team, share, jobs, max_jobs) {
                return Some(transfer);
            }
        }
    }
    None
}

/// The amounts that limit a transfer from one share to another.
struct TransferPlan<'a> {
    from: &'a ControllerName,
    to: &'a ControllerName,
    /// The amount that is still to be transferred between the two.
    remaining: Resources,
    /// The free capacity of the source.
    source_free: Resources,
    /// The free capacity of the destination.
    destination_free: Resources,
}

impl<'a> TransferPlan<'a> {
    fn new(
        account: &TeamAccount,
        from: &'a ControllerName,
        to: &'a ControllerName,
        remaining: Resources,
    ) -> Self {
        TransferPlan {
            from,
            to,
            remaining,
            source_free: account.free(from.as_str()).positive(),
            destination_free: account.free(to.as_str()).positive(),
        }
    }

    /// Returns the part of the remaining amount that neither the source's free capacity nor
    /// the included jobs cover.
    fn shortfall(&self, included: Resources) -> Resources {
        (self.remaining - self.source_free - included).positive()
    }

    /// Returns whether jobs with these bookings may be included. In dimensions with a
    /// remaining amount, the bookings must fit into the sum of that amount and the
    /// destination's free capacity. In the other dimensions there is no bound, as the capacity
    /// that the jobs use is transferred with them.
    fn can_include(&self, included: Resources) -> bool {
        let fits = |remaining: Amount, free: Amount, included: Amount| {
            remaining.0 == 0 || included.0 <= remaining.0 + free.0
        };
        fits(
            self.remaining.cpus,
            self.destination_free.cpus,
            included.cpus,
        ) && fits(
            self.remaining.gpus,
            self.destination_free.gpus,
            included.gpus,
        ) && fits(self.remaining.ram, self.destination_free.ram, included.ram)
    }

    /// Returns the amount that leaves the source's share. In dimensions with a remaining
    /// amount, that is the part of the remaining amount that the source's free capacity and
    /// the included jobs cover. In the other dimensions it is what the jobs use.
    fn amount(&self, included: Resources) -> Resources {
        let part = |remaining: Amount, free: Amount, included: Amount| match remaining.0 {
            0 => included,
            remaining => Amount(remaining.min(free.0 + included.0)),
        };
        Resources {
            cpus: part(self.remaining.cpus, self.source_free.cpus, included.cpus),
            gpus: part(self.remaining.gpus, self.source_free.gpus, included.gpus),
            ram: part(self.remaining.ram, self.source_free.ram, included.ram),
        }
    }

    /// Returns the transfer, with as many jobs as are needed and may be included, largest
    /// first; `None` if nothing of the remaining amount can be transferred.
    fn build_transfer(
        &self,
        team: &TeamName,
        share: &Share,
        jobs: &[JobBooking],
        max_jobs: usize,
    ) -> Option<Transfer> {
        let mut included = Resources::default();
        let mut change = Change::default();
        for job in self.candidates(jobs) {
            let helps = !self.shortfall(included).min(&job.booked).is_empty();
            if change.reassigned.len() == max_jobs
                || !helps
                || !self.can_include(included + job.booked)
            {
                continue;
            }
            included += job.booked;
            change.reassigned.insert(job.job.clone(), self.to.clone());
        }
        let amount = self.amount(included);
        if amount.min(&self.remaining).is_empty() {
            return None;
        }
        let next = self.share_after(share, amount);
        change.shares.insert(team.clone(), next);
        // The transfer depends on the source's free capacity, so it must conflict with a
        // concurrent booking against the source's share.
        change.read_uses.insert((team.clone(), self.from.clone()));
        // The included jobs may use the destination's free capacity, so nothing else may be
        // booked against it in the meantime.
        change.read_uses.insert((team.clone(), self.to.clone()));
        Some(Transfer {
            from: self.from.clone(),
            to: self.to.clone(),
            amount,
            change,
        })
    }

    /// Returns the jobs with bookings against the source's share, largest first.
    fn candidates<'b>(&self, jobs: &'b [JobBooking]) -> Vec<&'b JobBooking> {
        let mut candidates: Vec<&JobBooking> = jobs
            .iter()
            .filter(|job| job.controller == *self.from && !job.booked.is_empty())
            .collect();
        candidates.sort_by(|a, b| (b.booked.cpus, &a.job).cmp(&(a.booked.cpus, &b.job)));
        candidates
    }

    /// Returns the share record after this amount has been transferred.
    fn share_after(&self, share: &Share, amount: Resources) -> Share {
        let mut next = share.clone();
        next.add_granted(self.from, Resources::default() - amount);
        next.add_granted(self.to, amount);
        let completed = amount.min(&self.remaining);
        next.add_pending(self.from, completed);
        next.add_pending(self.to, Resources::default() - completed);
        next.rebalance();
        next
    }
}
