//! Handles an operator's request to move a part of one controller's share to another
//! controller.
//!
//! The request is recorded in one commit, with preconditions on the team's share record and
//! on the absence of a record with the move's id. A repeated request therefore takes effect
//! only once. The capacity itself is transferred later (see [`super::reconcile`]).

use shares::{Change, ControllerName, MoveError, MoveRecord, TeamName, request_move};

use super::CommitParts;
use super::messages::{MoveAnswer, MoveRequest};
use super::operators::{RETRY_AFTER_S, move_answer, move_report, unavailable_response};
use crate::controller::Controller;
use crate::http::Response;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::state::commit::{precondition, put};
use crate::state::keys::move_key;
use crate::state::records::Resources;
use crate::state::replica::Replica;
use crate::wire::{Precondition, Write};

/// The largest number of times that a move is decided for one request. A conflict requires
/// another decision, and so does a successful commit, whose answer is then taken from the
/// replica.
const MAX_ATTEMPTS: usize = 8;

/// The largest length of a move's id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// The reason why a requested move is refused.
#[derive(Debug, thiserror::Error)]
enum MoveRefusal {
    #[error("the id must have 1 to 64 letters, digits, dashes, underscores or dots")]
    InvalidId,
    #[error("an amount is negative, too large or not a number")]
    InvalidAmount,
    #[error("unknown controller {0}")]
    UnknownController(String),
    #[error("unknown team {0}")]
    UnknownTeam(TeamName),
    #[error("the id is already used by another move")]
    IdInUse,
    #[error("the team's share record is unreadable")]
    ShareRecordUnreadable,
    #[error(transparent)]
    Move(#[from] MoveError),
}

impl From<MoveRefusal> for Response {
    fn from(refusal: MoveRefusal) -> Self {
        let problem = refusal.to_string();
        match refusal {
            MoveRefusal::ShareRecordUnreadable => Response::unavailable(&problem, RETRY_AFTER_S),
            _ => Response::error(400, &problem),
        }
    }
}

/// The next action for a valid request.
enum MoveDecision {
    /// The request is answered without a commit: the move is already recorded, or the request
    /// is a dry run.
    Answer(MoveAnswer),
    /// The move is not recorded yet. It is committed, and the request is then decided again.
    Commit {
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
    },
}

/// Handles `POST /ops/shares/move`.
pub async fn move_share(controller: &Controller, body: &[u8]) -> Response {
    let Ok(request) = serde_json::from_slice::<MoveRequest>(body) else {
        return Response::error(400, "the request body is not a valid move");
    };
    for _ in 0..MAX_ATTEMPTS {
        if !controller.is_state_service_reachable() {
            break;
        }
        if let Some(refusal) = unavailable_response(controller, &controller.replica.borrow()) {
            return refusal;
        }
        match decide_move(controller, &request) {
            Err(refusal) => return refusal.into(),
            Ok(MoveDecision::Answer(answer)) => return Response::json(200, &answer),
            Ok(MoveDecision::Commit {
                preconditions,
                writes,
            }) => {
                if !commit_move(controller, preconditions, writes).await {
                    break;
                }
            }
        }
    }
    Response::unavailable("the state service does not answer", RETRY_AFTER_S)
}

/// Commits a move. Returns false if the state service does not answer. If true is returned,
/// the replica shows whether the commit took effect.
async fn commit_move(
    controller: &Controller,
    preconditions: Vec<Precondition>,
    writes: Vec<Write>,
) -> bool {
    let committed = controller
        .commit(RequestClass::Accept, preconditions, writes)
        .await;
    match committed {
        Ok(_) => return true,
        Err(StateClientError::Conflict(_)) => controller.expedite_watch(),
        Err(error) if error.is_refusal() => return false,
        Err(error) => tracing::debug!(%error, "share move commit failed"),
    }
    // Either a conflicting commit has not reached the replica yet, or this commit took
    // effect although its response was lost.
    let limit = controller.settings.worker_lease() / 8;
    controller.wait_for_barrier(limit).await
}

/// Decides from the replica whether a requested move is already recorded, must be refused, or
/// must be committed.
fn decide_move(
    controller: &Controller,
    request: &MoveRequest,
) -> Result<MoveDecision, MoveRefusal> {
    let replica = controller.replica.borrow();
    if let Some(entry) = replica.moves.get(&request.id) {
        return repeated_move(controller, &replica, request, &entry.value);
    }
    let amount = validated_amount(controller, request)?;
    let mut ledger = replica.ledger(&controller.settings);
    let team = TeamName::from(request.team.as_str());
    if !ledger.teams.contains_key(&team) {
        return Err(MoveRefusal::UnknownTeam(team));
    }
    if replica.is_share_unreadable(team.as_str()) {
        return Err(MoveRefusal::ShareRecordUnreadable);
    }
    let from = ControllerName::from(request.from.as_str());
    let to = ControllerName::from(request.to.as_str());
    let share = request_move(&ledger, &team, &from, &to, amount)?;
    let record = MoveRecord {
        team: team.clone(),
        from,
        to,
        amount,
        generation: share.generation,
    };
    let mut change = Change::default();
    change.shares.insert(team, share);
    if request.dry_run {
        change.apply(&mut ledger);
        return Ok(MoveDecision::Answer(MoveAnswer {
            revision: replica.revision,
            moves: vec![move_report(&ledger, &request.id, &record)],
        }));
    }
    let mut parts = CommitParts::new(&replica);
    parts.add_change(&change);
    let key = move_key(&request.id);
    let version = replica.absent_version(&key);
    parts.preconditions.push(precondition(key.clone(), version));
    parts.writes.push(put(key, &record));
    Ok(MoveDecision::Commit {
        preconditions: parts.preconditions,
        writes: parts.writes,
    })
}

/// Validates the fields of a move and returns its amount.
fn validated_amount(
    controller: &Controller,
    request: &MoveRequest,
) -> Result<Resources, MoveRefusal> {
    if !is_valid_id(&request.id) {
        return Err(MoveRefusal::InvalidId);
    }
    let amount = request.amount.resources();
    let amount = amount.ok_or(MoveRefusal::InvalidAmount)?;
    let controllers = controller.settings.controllers();
    for name in [&request.from, &request.to] {
        if !controllers.contains(&name.as_str()) {
            return Err(MoveRefusal::UnknownController(name.clone()));
        }
    }
    Ok(amount)
}

/// Returns the decision on a move whose id is already recorded.
fn repeated_move(
    controller: &Controller,
    replica: &Replica,
    request: &MoveRequest,
    known: &MoveRecord,
) -> Result<MoveDecision, MoveRefusal> {
    let is_same = known.team.as_str() == request.team
        && known.from.as_str() == request.from
        && known.to.as_str() == request.to
        && Some(known.amount) == request.amount.resources();
    move_answer(replica, &controller.settings, &request.id)
        .filter(|_| is_same)
        .map(MoveDecision::Answer)
        .ok_or(MoveRefusal::IdInUse)
}

fn is_valid_id(id: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.chars().all(is_allowed)
}
