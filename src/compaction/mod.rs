//! Rewrites records in the background so that all of them fit into the upcoming limits: the
//! lower limits of the state service that the settings announce.
//!
//! Compaction begins once all controllers can read the compact encodings. It rewrites the
//! zone shards that this controller is responsible for in the compact encoding, splits and
//! merges them (`zone_shards`), and rewrites records that are too long, the oldest first
//! (`oversized`). No other work waits for compaction, as any other write of such a record uses
//! the compact encoding as well.

mod oversized;
mod zone_shards;

use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::{Instant, sleep};

pub use zone_shards::{merge, split_long};

use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::state::replica::Replica;
use crate::wire::Commit;
use crate::workers::preferred_owner_of;

/// Number of written keys for which the write budget must have capacity before a commit.
const WRITES_PER_STEP: usize = 2;

/// Keys of records whose commit failed, with the times until which the records are skipped.
pub type DeferredKeys = HashMap<String, Instant>;

/// One commit of the compaction loop, with its request class.
struct CompactionStep {
    class: RequestClass,
    commit: Commit,
}

/// Runs the loop that compacts records, one commit at a time, as the write budget allows.
pub async fn run_compaction(controller: Rc<Controller>) {
    let step_interval = controller.settings.heartbeat_interval() / 4;
    let mut deferred = DeferredKeys::new();
    loop {
        if !controller.replica.borrow().uses_compact_encoding() {
            sleep(step_interval).await;
            continue;
        }
        sleep(controller.state_client.jitter(step_interval)).await;
        if !controller.replica.borrow().uses_compact_encoding()
            || !controller.is_state_service_reachable()
        {
            continue;
        }
        let now = Instant::now();
        deferred.retain(|_, until| *until > now);
        let Some(step) = next_step(&controller, &deferred) else {
            continue;
        };
        controller
            .state_client
            .wait_for_budget(step.class, WRITES_PER_STEP)
            .await;
        // Records may have changed during the wait for the budget, so the step is chosen
        // again.
        if let Some(step) = next_step(&controller, &deferred) {
            commit_step(&controller, step, &mut deferred, now).await;
        }
    }
}

/// Commits a step. After an error other than a conflict, the keys of the step are skipped for
/// the duration of a worker lease.
async fn commit_step(
    controller: &Controller,
    step: CompactionStep,
    deferred: &mut DeferredKeys,
    now: Instant,
) {
    let Commit {
        preconditions,
        writes,
    } = step.commit;
    let keys: Vec<String> = writes.iter().map(|w| w.key().to_string()).collect();
    match controller.commit(step.class, preconditions, writes).await {
        Ok(revision) => tracing::debug!(?keys, revision, "records compacted"),
        Err(StateClientError::Conflict(_)) => controller.expedite_watch(),
        Err(error) => {
            tracing::debug!(?keys, %error, "compaction commit failed");
            let until = now + controller.settings.worker_lease();
            deferred.extend(keys.into_iter().map(|key| (key, until)));
        }
    }
}

/// Returns whether this controller compacts the shards of a preferred owner, the controller
/// whose name is part of the shards' names. Each controller compacts its own shards, and the
/// fleet leader also those of controllers that are not up.
fn is_responsible_for(controller: &Controller, replica: &Replica, preferred_owner: &str) -> bool {
    preferred_owner == controller.name()
        || (controller.is_fleet_leader() && !replica.controllers.contains_key(preferred_owner))
}

/// Returns the next compaction step, if any. Zone shards come first: until they are few, the
/// machines of a gang may be listed in more zone shards than one commit can write. Their
/// request class therefore takes turns with scheduling rounds in the use of the write budget.
/// Oversized records come last, in a request class with a lower priority.
fn next_step(controller: &Controller, deferred: &DeferredKeys) -> Option<CompactionStep> {
    let replica = controller.replica.borrow();
    let is_responsible = |id: &str| {
        let shard = id.split_once('/').map_or("", |(_zone, shard)| shard);
        is_responsible_for(controller, &replica, preferred_owner_of(shard))
    };
    let max_writes = controller.settings.max_writes_per_commit();
    let zone_shard_commit = zone_shards::compact(&replica, deferred, &is_responsible, max_writes)
        .or_else(|| split_long(&replica, deferred, &is_responsible))
        .or_else(|| merge(&replica, deferred, &is_responsible));
    if let Some(commit) = zone_shard_commit {
        return Some(CompactionStep {
            class: RequestClass::Claim,
            commit,
        });
    }
    let peers = controller.peers.borrow();
    let alive = peers.alive_controllers(controller, Instant::now());
    let is_preferred = |job: &str| {
        let preferred = crate::hash::preferred_controller(job, alive.iter().copied());
        preferred == Some(controller.name())
    };
    Some(CompactionStep {
        class: RequestClass::Lifecycle,
        commit: oversized::rewrite(&replica, deferred, &is_responsible, &is_preferred)?,
    })
}
