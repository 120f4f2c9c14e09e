//! Handles operators' requests to move capacity from one controller's share to another's, and
//! reports the transfer that pending moves still wait for.
//!
//! A request changes only the pending amounts of the share record. Several requests may be
//! pending at once, as their amounts add up. Any controller completes the moves by transfers
//! (see [`crate::next_transfer`]).

use resources::Resources;

use crate::ledger::{Ledger, TeamAccount};
use crate::names::{ControllerName, TeamName};
use crate::records::Share;

/// The reason why a move is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MoveError {
    /// The team's bookings are not charged to shares.
    #[error("team {0} has no shares")]
    NoShares(TeamName),
    /// The source and the destination are the same controller.
    #[error("the source and the destination of the move are both {0}")]
    ToItself(ControllerName),
    /// The amount is zero or negative.
    #[error("the amount to move must be above 0")]
    NotPositive,
    /// The amount is more than the source will have once earlier moves are done.
    #[error("{0} has less than the amount to move")]
    TooMuch(ControllerName),
}

/// Returns the team's share record with the requested move added to the pending amounts and a
/// new generation.
pub fn request_move(
    ledger: &Ledger,
    team: &TeamName,
    from: &ControllerName,
    to: &ControllerName,
    amount: Resources,
) -> Result<Share, MoveError> {
    let share = ledger
        .share(team)
        .ok_or_else(|| MoveError::NoShares(team.clone()))?;
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
    next.settle_if_complete();
    Ok(next)
}

/// A pending outgoing amount that a controller has not transferred yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockedTransfer {
    /// The source controller.
    pub controller: ControllerName,
    /// The amount that the controller must still transfer.
    pub outgoing: Resources,
    /// The resources booked against the controller's share, which cannot be transferred
    /// without the jobs that use them.
    pub booked: Resources,
}

/// Returns the first controller with a pending outgoing amount, if any.
pub fn blocked_transfer(account: &TeamAccount) -> Option<BlockedTransfer> {
    let share = account.share.as_ref()?;
    let mut controllers = share.controllers().into_iter();
    let controller = controllers.find(|name| !share.outgoing_from(name.as_str()).is_empty())?;
    Some(BlockedTransfer {
        outgoing: share.outgoing_from(controller.as_str()),
        booked: account.used_by(controller.as_str()),
        controller,
    })
}
