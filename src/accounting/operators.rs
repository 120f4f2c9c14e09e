//! Operators' queries for shares and moves.
//!
//! The queries are answered from the replica alone, and each response contains the replica's
//! revision. Every controller gives the same answer at the same revision.

use shares::{
    ControllerName, Ledger, MoveRecord, MoveState, TeamAccount, TeamName, blocked_transfer,
};

use super::messages::{ControllerShare, MoveAnswer, MoveReport, ShareReport, TeamShares};
use crate::controller::Controller;
use crate::http::Response;
use crate::settings::Settings;
use crate::state::records::Resources;
use crate::state::replica::Replica;

/// `Retry-After` of a refused query, in seconds.
pub(super) const RETRY_AFTER_S: u32 = 2;

/// The largest number of moves in one response. Older moves are left out.
const MAX_MOVES: usize = 100;

const FEATURE_DISABLED: &str = "shares are disabled";

/// Handles `GET /ops/shares`: returns the shares of all teams, or of the given team.
pub fn shares(controller: &Controller, team: Option<&str>) -> Response {
    let replica = controller.replica.borrow();
    if let Some(refusal) = unavailable_response(controller, &replica) {
        return refusal;
    }
    let ledger = replica.ledger(&controller.settings);
    if team.is_some_and(|team| !ledger.teams.contains_key(team)) {
        return Response::error(404, "unknown team");
    }
    let teams = ledger.teams.iter();
    let teams = teams.filter(|(name, _)| team.is_none_or(|team| team == name.as_str()));
    let pool = ledger.pool.unwrap_or_default();
    let report = ShareReport {
        revision: replica.revision,
        capacity: pool.capacity.into(),
        granted: pool.granted.into(),
        teams: teams
            .map(|(name, account)| team_shares(name, account))
            .collect(),
    };
    Response::json_lines(200, &report)
}

/// Handles `GET /ops/shares/moves`: returns the latest moves, or the move with the given id.
pub fn moves(controller: &Controller, id: Option<&str>) -> Response {
    let replica = controller.replica.borrow();
    if let Some(refusal) = unavailable_response(controller, &replica) {
        return refusal;
    }
    match id {
        Some(id) => match move_answer(&replica, &controller.settings, id) {
            Some(answer) => Response::json_lines(200, &answer),
            None => Response::error(404, "unknown move"),
        },
        None => Response::json_lines(200, &latest_moves(&replica, &controller.settings)),
    }
}

/// Returns the refusal of a query while the state is not loaded or shares are disabled; `None`
/// if the query can be answered.
pub(super) fn unavailable_response(controller: &Controller, replica: &Replica) -> Option<Response> {
    if !replica.loaded {
        return Some(Response::unavailable(
            "the state is not loaded yet",
            RETRY_AFTER_S,
        ));
    }
    let is_disabled = !controller.settings.features.shares.enabled && replica.pool.is_none();
    is_disabled.then(|| Response::error(422, FEATURE_DISABLED))
}

fn team_shares(name: &TeamName, account: &TeamAccount) -> TeamShares {
    let share = account.share.clone().unwrap_or_default();
    let mut controllers = share.controllers();
    controllers.extend(account.used.keys().cloned());
    controllers.sort();
    controllers.dedup();
    let controller_share = |controller: ControllerName| ControllerShare {
        granted: share.granted_to(controller.as_str()).into(),
        wanted: share.target_for(controller.as_str()).into(),
        used: account.used_by(controller.as_str()).into(),
        controller: controller.to_string(),
    };
    TeamShares {
        team: name.to_string(),
        split: account.share.is_some(),
        generation: share.generation,
        settled: share.settled,
        controllers: controllers.into_iter().map(controller_share).collect(),
        obstacle: obstacle_text(account),
    }
}

/// Returns the first transfer that the team's pending moves still wait for, as text, with the
/// free and the booked resources of its source.
fn obstacle_text(account: &TeamAccount) -> Option<String> {
    let found = blocked_transfer(account)?;
    let free = (account.free(found.controller.as_str())).positive();
    Some(format!(
        "{} must still transfer {}; it has {} free and {} booked",
        found.controller,
        amount_text(found.outgoing),
        amount_text(free),
        amount_text(found.booked)
    ))
}

fn amount_text(amount: Resources) -> String {
    let (cpus, gpus, ram) = (amount.cpus.units(), amount.gpus.units(), amount.ram.units());
    format!("{cpus} CPUs, {gpus} accelerators, {ram} GB")
}

/// Returns the report of a move, with its progress according to the team's share record.
pub(super) fn move_report(ledger: &Ledger, id: &str, record: &MoveRecord) -> MoveReport {
    let account = ledger.teams.get(&record.team);
    let state = record.state(account.and_then(|account| account.share.as_ref()));
    let is_done = state == MoveState::Done;
    MoveReport {
        id: id.to_string(),
        team: record.team.to_string(),
        from: record.from.to_string(),
        to: record.to.to_string(),
        amount: record.amount.into(),
        generation: record.generation,
        state,
        obstacle: account.filter(|_| !is_done).and_then(obstacle_text),
    }
}

/// Returns the response for one move; `None` if its id is unknown.
pub(super) fn move_answer(replica: &Replica, settings: &Settings, id: &str) -> Option<MoveAnswer> {
    let record = &replica.moves.get(id)?.value;
    Some(MoveAnswer {
        revision: replica.revision,
        moves: vec![move_report(&replica.ledger(settings), id, record)],
    })
}

fn latest_moves(replica: &Replica, settings: &Settings) -> MoveAnswer {
    let ledger = replica.ledger(settings);
    let mut latest: Vec<_> = replica.moves.iter().collect();
    latest.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.version));
    latest.truncate(MAX_MOVES);
    MoveAnswer {
        revision: replica.revision,
        moves: latest
            .into_iter()
            .map(|(id, entry)| move_report(&ledger, id, &entry.value))
            .collect(),
    }
}
