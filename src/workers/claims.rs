//! Commits claims, by which this controller becomes the owner of machines.
//!
//! A claim writes this controller as the owner into the machine's record, and reserves a range
//! of fencing tokens above the highest known one. Claims are requested on receipt of heartbeats
//! (`claim_request`, `claim_queue`), and one commit contains several claims (`claim_plan`).

use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::{Instant, sleep};

use super::OwnedWorker;
use super::claim_plan::{GrantedClaim, plan_claims};
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::state::keys::{machine_shard_key, shard_id};
use crate::state::records::HeartbeatId;
use crate::wire::Commit;

/// Runs the loop that commits the claims that heartbeats have requested, several in each
/// commit.
pub async fn run_claims(controller: Rc<Controller>) {
    loop {
        controller.workers.claims.requested().await;
        // After a restart many workers send heartbeats within a short time. The delay
        // collects their claims, so that one commit can contain many of them.
        sleep(controller.request_interval() * 2).await;
        while !controller.workers.claims.is_empty() {
            // One record contains many machines, so the wait is for the budget of one write.
            controller
                .state_client
                .wait_for_budget(RequestClass::Claim, 1)
                .await;
            if let Err(error) = commit_batch(&controller).await {
                handle_failed_commit(&controller, &error).await;
            }
        }
    }
}

/// Drops or refuses queued claims according to the error of a failed commit, and waits for
/// the retry delay. Drops all claims if this controller may not renew leases any more.
async fn handle_failed_commit(controller: &Controller, error: &StateClientError) {
    tracing::debug!(%error, "claim commit failed");
    drop_claims_beyond_limits(controller, error);
    if error.is_refusal() {
        controller.workers.claims.refuse_all();
    }
    sleep(
        controller
            .state_client
            .jitter(controller.request_interval() * 2),
    )
    .await;
    if !controller.may_renew_leases() {
        controller.workers.claims.clear();
    }
}

/// Drops the claims in a machine shard whose record exceeds the limits of the state
/// service, as the same commit would be refused again. The other claims are committed
/// without the dropped ones, which the next heartbeats of their workers request again.
fn drop_claims_beyond_limits(controller: &Controller, error: &StateClientError) {
    let StateClientError::LimitsExceeded(key) = error else {
        return;
    };
    let replica = controller.replica.borrow();
    let is_in_machine_shard = |id: &str| {
        let machine = replica.machines.get(id).map(|entry| &entry.value);
        machine.is_none_or(|m| machine_shard_key(&shard_id(&m.zone, &m.shard)) == *key)
    };
    let claims = &controller.workers.claims;
    claims.retain(|id, _| !is_in_machine_shard(id));
}

/// Commits as many claims as fit into one commit, and resolves them.
async fn commit_batch(controller: &Controller) -> Result<(), StateClientError> {
    drop_stale_claims(controller);
    let batch = plan_claims(controller);
    if !batch.commit.writes.is_empty() {
        let revision = commit_claims(controller, batch.commit).await?;
        renew_termination_evidence(controller, &batch.granted);
        let now = Instant::now();
        for claim in batch.granted {
            acquire_worker(controller, claim, revision, now);
        }
    }
    for id in &batch.resolved {
        controller.workers.claims.resolve(id);
        // No task is launched until the worker has sent a status with the new fencing token.
        // A direct call tells the worker that token without a wait for its next heartbeat.
        controller.call_worker(id);
    }
    Ok(())
}

/// Drops claims of machines that another controller owns, if their workers no longer
/// request them.
fn drop_stale_claims(controller: &Controller) {
    let replica = controller.replica.borrow();
    let now = Instant::now();
    // Within this time a worker sends another heartbeat here, unless it has moved on to
    // another controller.
    let fresh_for = controller.settings.heartbeat_interval() * 2;
    controller.workers.claims.retain(|id, claim| {
        let known = replica.machines.get(id).map(|entry| &entry.value);
        let owned_by_other =
            known.is_some_and(|m| !m.owner.is_empty() && m.owner != controller.name());
        // If another controller has claimed the machine first, but the worker still sends
        // its heartbeats here, the next one requests the claim again.
        let is_superseded = known.is_some_and(|m| m.fencing_token > claim.known_fencing_token);
        let is_fresh = now.saturating_duration_since(claim.requested_at) < fresh_for;
        !owned_by_other || (!is_superseded && is_fresh)
    });
}

async fn commit_claims(controller: &Controller, commit: Commit) -> Result<u64, StateClientError> {
    let Commit {
        preconditions,
        writes,
    } = commit;
    let result = controller
        .commit(RequestClass::Claim, preconditions, writes)
        .await;
    if let Err(StateClientError::Conflict(_) | StateClientError::NoResponse(_)) = &result {
        // A commit without a response may have been applied. After the barrier the replica
        // shows this: this controller is then the owner under a fencing token that it has
        // not recorded as its own, and the next attempt increments the token again.
        controller
            .wait_for_barrier(controller.settings.worker_lease() / 8)
            .await;
    }
    result
}

/// The recorded fencing tokens of a machine before and after a claim by its present owner.
struct RenewedToken {
    before: u64,
    after: u64,
}

/// Updates the evidence of pending terminations to the new fencing token if this controller
/// owned the machine before the claim as well. The terminations remain proven: as the new
/// tokens begin directly after the old ones, no other controller has owned the machine in
/// between, and no task was launched since.
fn renew_termination_evidence(controller: &Controller, granted: &[GrantedClaim]) {
    let owned_workers = controller.workers.owned();
    let mut renewed: HashMap<&str, RenewedToken> = HashMap::new();
    for claim in granted {
        let Some(owned_worker) = owned_workers.get(&claim.machine) else {
            continue;
        };
        let token = RenewedToken {
            before: owned_worker.fencing.range().last(),
            after: claim.tokens.last(),
        };
        if token.before + 1 == claim.tokens.first() {
            renewed.insert(&claim.machine, token);
        }
    }
    let mut terminations = controller.workers.pending_terminations_mut();
    for (key, evidence) in terminations.iter_mut() {
        if let Some(token) = renewed.get(key.machine.as_str())
            && evidence.fencing_token == token.before
        {
            evidence.fencing_token = token.after;
        }
    }
}

/// Adds a machine to the owned ones after the commit of its claim.
fn acquire_worker(controller: &Controller, claim: GrantedClaim, revision: u64, now: Instant) {
    let GrantedClaim {
        machine,
        tokens,
        newest_heartbeat,
    } = claim;
    tracing::info!(
        machine,
        fencing_token = tokens.first(),
        last_token = tokens.last(),
        revision,
        "worker ownership acquired"
    );
    let mut owned_workers = controller.workers.owned_mut();
    let mut owned_worker = OwnedWorker::new(tokens, revision, now);
    if let Some(earlier) = owned_workers.get(&machine) {
        owned_worker.inherit_from(earlier);
    }
    // The heartbeat that requested the claim is accepted only after the claim. It must not
    // count as a late copy then, so the heartbeat before it is recorded as the newest.
    let before = HeartbeatId {
        sequence: newest_heartbeat.sequence.saturating_sub(1),
        ..newest_heartbeat
    };
    owned_worker.newest_heartbeat = owned_worker.newest_heartbeat.max(before);
    owned_workers.insert(machine, owned_worker);
}
