//! Transfers: the steps by which any controller completes what is left to move.
//!
//! Free capacity moves first, then whole jobs with their bookings. Each step is one
//! commit, so that there is nothing halfway but what is pending.

use resources::{Amount, Resources};

use crate::change::Change;
use crate::ledger::{Ledger, TeamAccount};
use crate::names::{ControllerName, JobId, TeamName};
use crate::records::Share;

/// A job's bookings, which may be taken along as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobBooking {
    /// The job.
    pub job: JobId,
    /// Whose share they count against.
    pub controller: ControllerName,
    /// What they take.
    pub booked: Resources,
}

/// One step of a team's moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The controller that gives.
    pub from: ControllerName,
    /// The controller that receives.
    pub to: ControllerName,
    /// What leaves the one share and enters the other.
    pub amount: Resources,
    /// What to commit.
    pub change: Change,
}

/// The next step that brings a team's split nearer to the one that is wanted; `None` if
/// nothing is left to move or nothing can move now. At most `max_jobs` jobs are taken
/// along.
pub fn next_transfer(
    ledger: &Ledger,
    team: &TeamName,
    jobs: &[JobBooking],
    max_jobs: usize,
) -> Option<Transfer> {
    let account = ledger.teams.get(team)?;
    let share = account.share.as_ref()?;
    for from in share.controllers() {
        let owed = share.outgoing_from(from.as_str());
        for to in share.controllers() {
            let remaining = owed.min(&share.incoming_to(to.as_str()));
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

/// What may move from one share to another in one step.
struct TransferPlan<'a> {
    from: &'a ControllerName,
    to: &'a ControllerName,
    /// What is left to move between the two.
    remaining: Resources,
    /// What the giver has free, and the receiver.
    source_free: Resources,
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

    /// What the giver lacks beyond its free capacity.
    fn shortfall(&self, included: Resources) -> Resources {
        (self.remaining - self.source_free - included).positive()
    }

    /// Whether jobs with these bookings may go along: where something is left to move
    /// they fit into that and the receiver's free capacity; elsewhere their room goes with
    /// them.
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

    /// What leaves the giver's share: all that is left to move if free capacity and the jobs
    /// cover it; where nothing is left to move, what the jobs take.
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

    /// The step with as many jobs as are needed and may go along, the largest first.
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
        // A booking at the giver meets the move as a conflict, on one side or the other.
        change.read_uses.insert((team.clone(), self.from.clone()));
        // What the receiver has free may go to jobs that come along.
        change.read_uses.insert((team.clone(), self.to.clone()));
        Some(Transfer {
            from: self.from.clone(),
            to: self.to.clone(),
            amount,
            change,
        })
    }

    /// The giver's jobs that may be taken along, the largest first.
    fn candidates<'b>(&self, jobs: &'b [JobBooking]) -> Vec<&'b JobBooking> {
        let mut candidates: Vec<&JobBooking> = jobs
            .iter()
            .filter(|job| job.controller == *self.from && !job.booked.is_empty())
            .collect();
        candidates.sort_by(|a, b| (b.booked.cpus, &a.job).cmp(&(a.booked.cpus, &b.job)));
        candidates
    }

    /// The split once this amount has moved.
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
