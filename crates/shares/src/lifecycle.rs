//! The accounting of a team by shares is begun, and ended.
//!
//! Both are one commit that also writes the team's own record: a booking that was
//! decided under the other accounting guards that record or the split, and fails.

use resources::Resources;

use crate::change::{Change, Draft};
use crate::ledger::Ledger;
use crate::names::{ControllerName, TeamName};
use crate::records::Share;

/// Why a team's accounting by shares cannot be begun.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// It has begun already.
    #[error("{0} has shares already")]
    AlreadyOpen(TeamName),
    /// There is no pool yet, or it does not hold what is booked.
    #[error("the pool does not hold what is booked yet")]
    PoolTooSmall,
}

/// Begins a team's accounting by shares: each controller is granted what is booked
/// against it, and the rest comes on demand. What names no controller counts against
/// the share of `fallback`.
pub fn open_team(
    ledger: &Ledger,
    team: &TeamName,
    fallback: &ControllerName,
) -> Result<Change, OpenError> {
    let mut draft = Draft::new(ledger);
    if draft.share(team).is_some() {
        return Err(OpenError::AlreadyOpen(team.clone()));
    }
    let used = ledger.teams.get(team).map(|account| account.used.clone());
    let granted = used.unwrap_or_default();
    let total: Resources = granted.values().copied().sum();
    let Some(mut pool) = draft.pool() else {
        return Err(OpenError::PoolTooSmall);
    };
    if !pool.free().fits(&total) {
        return Err(OpenError::PoolTooSmall);
    }
    pool.granted += total;
    draft.set_pool(pool);
    let mut change = draft.finish();
    let share = Share {
        fallback: fallback.clone(),
        granted,
        ..Share::default()
    };
    change.shares.insert(team.clone(), share);
    Ok(change)
}

/// Ends a team's accounting by shares; `None` if it has none.
pub fn close_team(ledger: &Ledger, team: &TeamName) -> Option<Change> {
    let mut draft = Draft::new(ledger);
    let total = draft.share(team)?.total();
    let mut pool = draft.pool()?;
    pool.granted -= total;
    draft.set_pool(pool);
    let mut change = draft.finish();
    change.closed.insert(team.clone());
    Some(change)
}
