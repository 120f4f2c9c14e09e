//! An operator's moves of a share from one controller to another: the request, and
//! what stands in its way.
//!
//! A request changes only what is pending; a second one changes only that, too. Any
//! controller completes it by transfers (see [`crate::next_transfer`]).

use resources::Resources;

use crate::ledger::{Ledger, TeamAccount};
use crate::names::{ControllerName, TeamName};
use crate::records::Share;

/// Why a move is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MoveError {
    /// The team's limit is not split into shares.
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

/// The team's split with a move added to what is pending.
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

/// What a controller is to give and cannot give now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockedTransfer {
    /// The controller that is to give.
    pub controller: ControllerName,
    /// What it is still to give.
    pub outgoing: Resources,
    /// Its bookings, which are too large to be taken along.
    pub booked: Resources,
}

/// The first controller that is to give what it cannot give now, if any.
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
