//! An operator's moves: asking for one, and closing what is left to move.
//!
//! Asking changes only what is pending. Any controller closes it, a step at a time:
//! free room first, then whole jobs with their bookings. Each step is one commit, so
//! that there is nothing halfway but what is pending; and a second move changes only
//! that.

use resources::{Amount, Resources};

use crate::booking::reserve;
use crate::change::Change;
use crate::ledger::{Ledger, TeamAccount};
use crate::names::{ControllerName, JobName, TeamName};
use crate::records::Share;

/// Why a move cannot be asked for.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MoveError {
    /// The team's room is not split.
    #[error("team {0} has no shares")]
    NoShares(TeamName),
    /// From a controller to itself.
    #[error("{0} cannot move a share to itself")]
    ToItself(ControllerName),
    /// Nothing, or less than nothing.
    #[error("the amount to move must be above 0")]
    NotPositive,
    /// More than the controller will have once earlier moves are done.
    #[error("{0} has less than that to give")]
    TooMuch(ControllerName),
}

/// The split once a move was asked for.
pub fn request_move(
    ledger: &Ledger,
    team: &TeamName,
    from: &ControllerName,
    to: &ControllerName,
    amount: Resources,
) -> Result<Share, MoveError> {
    let account = ledger.teams.get(team);
    let share = account.and_then(|account| account.share.as_ref());
    let share = share.ok_or_else(|| MoveError::NoShares(team.clone()))?;
    if from == to {
        return Err(MoveError::ToItself(from.clone()));
    }
    if amount.is_empty() || amount != amount.positive() {
        return Err(MoveError::NotPositive);
    }
    if !share.target_for(from.as_str()).fits(&amount) {
        return Err(MoveError::TooMuch(from.clone()));
    }
    let mut next = share.clone();
    next.generation += 1;
    next.add_pending(from, Resources::default() - amount);
    next.add_pending(to, amount);
    settle(&mut next);
    Ok(next)
}

/// A job's bookings, which may be taken along as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobBooking {
    /// The job.
    pub job: JobName,
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
        let owed = (Resources::default() - share.pending_for(from.as_str())).positive();
        for to in share.controllers() {
            let due = share.pending_for(to.as_str()).positive();
            let left = owed.min(&due);
            if from == to || left.is_empty() {
                continue;
            }
            let plan = TransferPlan::new(account, &from, &to, left);
            if let Some(transfer) = plan.with_jobs(team, share, jobs, max_jobs) {
                return Some(transfer);
            }
        }
    }
    None
}

/// The change that gives a receiver the free room without which no job can be taken along,
/// as the smallest one is larger than what is left to move; the next step then takes it.
/// `None` if that is not what is in the way, or there is no such room.
pub fn reserve_for_smallest_job(
    ledger: &Ledger,
    team: &TeamName,
    jobs: &[JobBooking],
    max_writes: usize,
) -> Option<Change> {
    let account = ledger.teams.get(team)?;
    let share = account.share.as_ref()?;
    let pending = |name: &ControllerName| share.pending_for(name.as_str());
    let controllers = share.controllers();
    let from = controllers
        .iter()
        .find(|name| pending(name) != pending(name).positive())?;
    let owed = (Resources::default() - pending(from)).positive();
    let to = controllers
        .iter()
        .find(|name| !owed.min(&pending(name).positive()).is_empty())?;
    let left = owed.min(&pending(to).positive());
    let smallest = jobs
        .iter()
        .filter(|job| job.controller == *from && !left.min(&job.booked).is_empty())
        .min_by_key(|job| (job.booked.cpus, &job.job))?;
    let beyond = |left: Amount, booked: Amount| match left.0 {
        0 => Amount(0),
        left => Amount((booked.0 - left).max(0)),
    };
    let needed = Resources {
        cpus: beyond(left.cpus, smallest.booked.cpus),
        gpus: beyond(left.gpus, smallest.booked.gpus),
        ram: beyond(left.ram, smallest.booked.ram),
    };
    let change = reserve(ledger, team, to, needed, max_writes).ok()?;
    (change.writes() > 0).then_some(change)
}

/// What may move from one share to another in one step.
struct TransferPlan<'a> {
    from: &'a ControllerName,
    to: &'a ControllerName,
    /// What is left to move between the two.
    left: Resources,
    /// What the giver has free, and the receiver.
    free_from: Resources,
    free_to: Resources,
}

impl<'a> TransferPlan<'a> {
    fn new(
        account: &TeamAccount,
        from: &'a ControllerName,
        to: &'a ControllerName,
        left: Resources,
    ) -> Self {
        TransferPlan {
            from,
            to,
            left,
            free_from: account.free(from.as_str()).positive(),
            free_to: account.free(to.as_str()).positive(),
        }
    }

    /// What the giver lacks beyond its free room.
    fn missing(&self, taken: Resources) -> Resources {
        (self.left - self.free_from - taken).positive()
    }

    /// Whether jobs with these bookings may go along: where something is left to move
    /// they fit into that and the receiver's free room; elsewhere their room goes with
    /// them.
    fn admits(&self, taken: Resources) -> bool {
        let fits =
            |left: Amount, free: Amount, taken: Amount| left.0 == 0 || taken.0 <= left.0 + free.0;
        fits(self.left.cpus, self.free_to.cpus, taken.cpus)
            && fits(self.left.gpus, self.free_to.gpus, taken.gpus)
            && fits(self.left.ram, self.free_to.ram, taken.ram)
    }

    /// What leaves the giver's share: all that is left to move if free room and the jobs
    /// cover it; where nothing is left to move, what the jobs take.
    fn amount(&self, taken: Resources) -> Resources {
        let part = |left: Amount, free: Amount, taken: Amount| match left.0 {
            0 => taken,
            left => Amount(left.min(free.0 + taken.0)),
        };
        Resources {
            cpus: part(self.left.cpus, self.free_from.cpus, taken.cpus),
            gpus: part(self.left.gpus, self.free_from.gpus, taken.gpus),
            ram: part(self.left.ram, self.free_from.ram, taken.ram),
        }
    }

    /// The step with as many jobs as are needed and may go along, the largest first.
    fn with_jobs(
        &self,
        team: &TeamName,
        share: &Share,
        jobs: &[JobBooking],
        max_jobs: usize,
    ) -> Option<Transfer> {
        let mut candidates: Vec<&JobBooking> = jobs
            .iter()
            .filter(|job| job.controller == *self.from && !job.booked.is_empty())
            .collect();
        candidates.sort_by(|a, b| (b.booked.cpus, &a.job).cmp(&(a.booked.cpus, &b.job)));
        let mut taken = Resources::default();
        let mut change = Change::default();
        for job in candidates {
            let helps = !self.missing(taken).min(&job.booked).is_empty();
            if change.reassigned.len() == max_jobs || !helps || !self.admits(taken + job.booked) {
                continue;
            }
            taken += job.booked;
            change.reassigned.insert(job.job.clone(), self.to.clone());
        }
        let amount = self.amount(taken);
        if amount.min(&self.left).is_empty() {
            return None;
        }
        let mut next = share.clone();
        next.add_granted(self.from, Resources::default() - amount);
        next.add_granted(self.to, amount);
        let closed = amount.min(&self.left);
        next.add_pending(self.from, closed);
        next.add_pending(self.to, Resources::default() - closed);
        balance(&mut next);
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
}

/// Why something is left to move that cannot move now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockedTransfer {
    /// The controller that is to give.
    pub controller: ControllerName,
    /// What it is still to give.
    pub owed: Resources,
    /// Its bookings, which are too large to be taken along.
    pub booked: Resources,
}

/// The first controller that is to give what it cannot give now, if any.
pub fn blocked_transfer(account: &TeamAccount) -> Option<BlockedTransfer> {
    let share = account.share.as_ref()?;
    let controllers = share.controllers().into_iter();
    let mut owing = controllers.filter_map(|controller| {
        let owed = (Resources::default() - share.pending_for(controller.as_str())).positive();
        (!owed.is_empty()).then(|| BlockedTransfer {
            owed,
            booked: account.used_by(controller.as_str()),
            controller,
        })
    });
    owing.next()
}

/// Restores that no controller is to give more than it has, after room has left its
/// share by another way: the obligation follows the room, first to those that were to
/// receive.
pub(crate) fn balance(share: &mut Share) {
    let controllers = share.controllers();
    for poor in &controllers {
        let short = (Resources::default() - share.target_for(poor.as_str())).positive();
        pass_obligation(share, &controllers, poor, short);
    }
    settle(share);
}

fn pass_obligation(
    share: &mut Share,
    controllers: &[ControllerName],
    poor: &ControllerName,
    mut short: Resources,
) {
    // Those that are to receive come first, then whoever will have something.
    for receivers_only in [true, false] {
        for other in controllers.iter().filter(|name| *name != poor) {
            let wanted = share.target_for(other.as_str()).positive();
            let bound = match receivers_only {
                true => share.pending_for(other.as_str()).positive().min(&wanted),
                false => wanted,
            };
            let part = short.min(&bound);
            share.add_pending(other, Resources::default() - part);
            share.add_pending(poor, part);
            short -= part;
        }
    }
}

/// Notes that nothing is left to move.
fn settle(share: &mut Share) {
    if share.pending.is_empty() {
        share.settled = share.generation;
    }
}
