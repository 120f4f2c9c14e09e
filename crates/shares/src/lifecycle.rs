//! Enables and disables a team's accounting by shares. While it is disabled, the team's
//! bookings are charged to the team's own record.
//!
//! Either change is one commit, which writes or removes the share record and also writes the
//! team's own record. A booking that was decided before the change has a precondition on one
//! of the two records, and therefore fails.

use resources::Resources;

use crate::booking::pool_with_free_capacity;
use crate::change::{Change, Draft};
use crate::ledger::Ledger;
use crate::names::{ControllerName, TeamName};
use crate::records::Share;

/// The reason why a team's accounting by shares cannot be enabled.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The team's accounting by shares is already enabled.
    #[error("team {0} already has shares")]
    AlreadyOpen(TeamName),
    /// There is no pool yet, or its capacity does not cover the booked resources.
    #[error("the pool does not cover the booked resources yet")]
    PoolTooSmall,
    /// More share records of other teams must return free capacity than one commit can write.
    /// The contained change, which returns a part, must be committed first.
    #[error("other teams must return free capacity first")]
    CommitFirst(Box<Change>),
}

/// Returns the change that enables a team's accounting by shares. Each controller is granted
/// the resources that are booked against its share, and gets more on demand. Bookings of jobs
/// whose records contain no controller are charged to the share of `fallback`. The change and
/// the team's own record together are at most `max_writes` writes.
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
    // The team's share record, the pool and the team's own record are written in any case.
    let max_others = max_writes.saturating_sub(3);
    let Some(mut pool) = pool_with_free_capacity(&mut draft, ledger, team, total, max_others)
    else {
        return Err(match draft.written_shares_of_others(team) {
            0 => OpenError::PoolTooSmall,
            _ => OpenError::CommitFirst(Box::new(draft.finish())),
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

/// Returns the change that disables a team's accounting by shares; `None` if it is not enabled.
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

/// Returns the change that rebuilds an unreadable share record; `None` if there is no pool.
/// Each controller is granted the resources that are booked against its share. Pending moves
/// are lost, and moves up to `generation` count as done.
///
/// The pool's granted amount is recomputed from the other teams' share records. The change
/// needs no preconditions on other records than the two that it writes, as every commit that
/// changes the total of a share record also writes the pool.
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
