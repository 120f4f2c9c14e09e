//! The accounting of a team by shares is begun, and ended.
//!
//! Both are one commit that also writes the team's own record: a booking that was
//! decided under the other accounting guards that record or the split, and fails.

use resources::Resources;

use crate::booking::pool_with_free_capacity;
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
    /// Other teams' free capacity is more than one commit takes back: this is to be committed
    /// first.
    #[error("other teams have to give room back first")]
    Partial(Box<Change>),
}

/// Begins a team's accounting by shares: each controller is granted what is booked
/// against it, and the rest comes on demand. What names no controller counts against
/// the share of `fallback`. With the team's own record it writes at most `max_writes`.
pub fn open_team(
    ledger: &Ledger,
    team: &TeamName,
    fallback: &ControllerName,
    max_writes: usize,
) -> Result<Change, OpenError> {
    let mut draft = Draft::new(ledger);
    if draft.share(team).is_some() {
        return Err(OpenError::AlreadyOpen(team.clone()));
    }
    let used = ledger.teams.get(team).map(|account| account.used.clone());
    let granted = used.unwrap_or_default();
    let total: Resources = granted.values().copied().sum();
    if draft.pool().is_none() {
        return Err(OpenError::PoolTooSmall);
    }
    // The split, the pool and the team's own record are written anyway.
    let max_others = max_writes.saturating_sub(3);
    let Some(mut pool) = pool_with_free_capacity(&mut draft, ledger, team, total, max_others)
    else {
        return Err(match draft.written_shares_of_others(team) {
            0 => OpenError::PoolTooSmall,
            _ => OpenError::Partial(Box::new(draft.finish())),
        });
    };
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

/// Makes a split anew that cannot be read: each controller is granted what is booked
/// against it. What was left to move is lost; moves up to `generation` count as done. Every
/// change of a split's total writes the pool, so that this one depends on no other record.
/// `None` if there is no pool.
pub fn rebuild_team(
    ledger: &Ledger,
    team: &TeamName,
    fallback: &ControllerName,
    generation: u64,
) -> Option<Change> {
    let mut pool = ledger.pool?;
    let account = ledger.teams.get(team)?;
    let others = ledger.teams.iter().filter(|(name, _)| *name != team);
    let others = others.filter_map(|(_, account)| account.share.as_ref());
    let others: Resources = others.map(Share::total).sum();
    pool.granted = others + account.total_used();
    let share = Share {
        generation,
        settled: generation,
        fallback: fallback.clone(),
        granted: account.used.clone(),
        ..Share::default()
    };
    let mut change = Change {
        pool: Some(pool),
        ..Change::default()
    };
    change.shares.insert(team.clone(), share);
    Some(change)
}
