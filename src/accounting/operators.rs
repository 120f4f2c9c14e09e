//! What operators ask about shares: the splits, the moves, and a new move.
//!
//! Questions are answered from the replica, with its revision, so that every controller
//! gives the same answer at the same revision. A move is one commit, guarded by the split
//! and by its id being new.

use shares::{
    Change, ControllerName, Ledger, MoveRecord, TeamAccount, TeamName, blocked_transfer,
    request_move,
};

use super::CommitParts;
use super::messages::{
    ControllerShare, MoveAnswer, MoveReport, MoveRequest, ShareReport, TeamShares,
};
use crate::controller::Controller;
use crate::http::Response;
use crate::settings::Settings;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::{guard, put};
use crate::state::keys::move_key;
use crate::state::records::Resources;
use crate::state::replica::Replica;
use crate::wire::{Precondition, Write};

/// How often a move is decided again after a conflict.
const ATTEMPTS: usize = 8;

/// The longest id of an operation.
const MAX_ID_BYTES: usize = 64;

/// After how many seconds a client may come back.
const RETRY_AFTER_S: u32 = 2;

/// The most moves of one answer: the latest.
const MAX_MOVES: usize = 100;

const FEATURE_OFF: &str = "shares are off";

/// The answer to `GET /ops/shares`, of one team if one is named.
pub fn shares(controller: &Controller, team: Option<&str>) -> Response {
    let replica = controller.replica.borrow();
    if let Some(refusal) = refusal(controller, &replica) {
        return refusal;
    }
    let ledger = replica.ledger(&controller.settings);
    if team.is_some_and(|team| !ledger.teams.contains_key(team)) {
        return Response::error(404, "no such team");
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
    Response::json(200, &report)
}

/// The answer to `GET /ops/shares/moves`, of one move if one is named.
pub fn moves(controller: &Controller, id: Option<&str>) -> Response {
    let replica = controller.replica.borrow();
    if let Some(refusal) = refusal(controller, &replica) {
        return refusal;
    }
    match id {
        Some(id) => match move_answer(&replica, &controller.settings, id) {
            Some(answer) => Response::json(200, &answer),
            None => Response::error(404, "no such move"),
        },
        None => Response::json(200, &latest_moves(&replica, &controller.settings)),
    }
}

/// Why nothing can be said of shares here, if so.
fn refusal(controller: &Controller, replica: &Replica) -> Option<Response> {
    if !replica.loaded {
        return Some(Response::unavailable(
            "the state is not read yet",
            RETRY_AFTER_S,
        ));
    }
    let off = !controller.settings.features.shares.enabled && replica.pool.is_none();
    off.then(|| Response::error(422, FEATURE_OFF))
}

fn team_shares(name: &TeamName, account: &TeamAccount) -> TeamShares {
    let share = account.share.clone().unwrap_or_default();
    let mut controllers = share.controllers();
    controllers.extend(account.used.keys().cloned());
    controllers.sort();
    controllers.dedup();
    let of = |controller: ControllerName| ControllerShare {
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
        controllers: controllers.into_iter().map(of).collect(),
        obstacle: obstacle_text(account),
    }
}

/// What stands in the way of what is left to move, in words.
fn obstacle_text(account: &TeamAccount) -> Option<String> {
    let found = blocked_transfer(account)?;
    let free = (account.free(found.controller.as_str())).positive();
    Some(format!(
        "{} is still to give {}; it has {} free and {} booked",
        found.controller,
        amount_text(found.owed),
        amount_text(free),
        amount_text(found.booked)
    ))
}

fn amount_text(amount: Resources) -> String {
    let (cpus, gpus, ram) = (amount.cpus.units(), amount.gpus.units(), amount.ram.units());
    format!("{cpus} CPUs, {gpus} accelerators, {ram} GB")
}

fn move_report(ledger: &Ledger, id: &str, record: &MoveRecord) -> MoveReport {
    let account = ledger.teams.get(&record.team);
    let state = record.state(account.and_then(|account| account.share.as_ref()));
    let is_done = state == shares::MoveState::Done;
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

fn move_answer(replica: &Replica, settings: &Settings, id: &str) -> Option<MoveAnswer> {
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

/// The answer to `POST /ops/shares/move`.
pub async fn move_share(controller: &Controller, body: &[u8]) -> Response {
    let Ok(request) = serde_json::from_slice::<MoveRequest>(body) else {
        return Response::error(400, "not a move");
    };
    for _ in 0..ATTEMPTS {
        if !controller.is_state_service_reachable() {
            break;
        }
        match decide(controller, &request) {
            Decision::Answer(response) => return response,
            Decision::Commit(guards, writes) => {
                match controller
                    .commit(RequestClass::Accept, guards, writes)
                    .await
                {
                    Ok(_) => continue,
                    Err(StoreError::Conflict(_)) => controller.expedite_watch(),
                    Err(error) if error.is_refusal() => break,
                    Err(error) => tracing::debug!(%error, "move not answered"),
                }
                // What has come between is on its way; or the commit was carried out.
                if !controller
                    .barrier(controller.settings.worker_lease() / 8)
                    .await
                {
                    break;
                }
            }
        }
    }
    Response::unavailable("the state service does not answer", RETRY_AFTER_S)
}

enum Decision {
    Answer(Response),
    Commit(Vec<Precondition>, Vec<Write>),
}

/// What is to be done about a move: it is known already, it is wrong, or it is to be
/// committed.
fn decide(controller: &Controller, request: &MoveRequest) -> Decision {
    let replica = controller.replica.borrow();
    if let Some(refusal) = refusal(controller, &replica) {
        return Decision::Answer(refusal);
    }
    if let Some(entry) = replica.moves.get(&request.id) {
        return Decision::Answer(repeated(controller, &replica, request, &entry.value));
    }
    let wrong = |problem: &str| Decision::Answer(Response::error(400, problem));
    if !is_valid_id(&request.id) {
        return wrong("an id has 1 to 64 letters, digits, dashes or dots");
    }
    let Some(amount) = request.amount.resources() else {
        return wrong("an amount is negative, too large or not a number");
    };
    let controllers = controller.settings.controllers();
    for name in [&request.from, &request.to] {
        if !controllers.contains(&name.as_str()) {
            return wrong(&format!("no controller {name}"));
        }
    }
    let ledger = replica.ledger(&controller.settings);
    let team = TeamName::from(request.team.as_str());
    if !ledger.teams.contains_key(&team) {
        return wrong(&format!("no team {team}"));
    }
    if replica.is_share_unreadable(team.as_str()) {
        let problem = "the team's split cannot be read";
        return Decision::Answer(Response::unavailable(problem, RETRY_AFTER_S));
    }
    let [from, to] = [&request.from, &request.to].map(|name| ControllerName::from(name.as_str()));
    let share = match request_move(&ledger, &team, &from, &to, amount) {
        Ok(share) => share,
        Err(error) => return wrong(&error.to_string()),
    };
    let record = MoveRecord {
        team: team.clone(),
        from,
        to,
        amount,
        generation: share.generation,
    };
    if request.dry_run {
        let mut next = ledger;
        if let Some(account) = next.teams.get_mut(&team) {
            account.share = Some(share);
        }
        let answer = MoveAnswer {
            revision: replica.revision,
            moves: vec![move_report(&next, &request.id, &record)],
        };
        return Decision::Answer(Response::json(200, &answer));
    }
    let mut change = Change::default();
    change.shares.insert(team, share);
    let mut parts = CommitParts::new(&replica);
    parts.add_change(&change);
    let key = move_key(&request.id);
    parts
        .guards
        .push(guard(key.clone(), replica.absent_version(&key)));
    parts.writes.push(put(key, &record));
    Decision::Commit(parts.guards, parts.writes)
}

/// The answer to a move whose id is known.
fn repeated(
    controller: &Controller,
    replica: &Replica,
    request: &MoveRequest,
    known: &MoveRecord,
) -> Response {
    let is_same = known.team.as_str() == request.team
        && known.from.as_str() == request.from
        && known.to.as_str() == request.to
        && Some(known.amount) == request.amount.resources();
    match move_answer(replica, &controller.settings, &request.id) {
        Some(answer) if is_same => Response::json(200, &answer),
        _ => Response::error(400, "the id stands for another move"),
    }
}

fn is_valid_id(id: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.chars().all(allowed)
}
