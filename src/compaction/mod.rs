//! Compaction: once compact encodings may be written, what stands in longer ones comes
//! below the limits that are to fall, in the background. The zone shards that this
//! controller looks after take the compact encoding and are merged (`zone_shards`), and
//! records that are too long are written anew, the oldest first (`oversized`). Nothing
//! waits for this: whoever writes such a record meanwhile writes the compact encoding
//! by itself.

mod oversized;
mod zone_shards;

use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::{Instant, sleep};

pub use zone_shards::{merge, split_long};

use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::replica::Replica;
use crate::wire::Commit;
use crate::workers::preferred_owner_of;

/// How many keys a commit of this loop writes, for the budget to be ready.
const WRITES_PER_STEP: usize = 2;

/// Keys of records that could not be written as they were, and until when they wait.
pub type DeferredKeys = HashMap<String, Instant>;

/// One commit of this loop.
struct CompactionStep {
    class: RequestClass,
    commit: Commit,
}

/// Writes records anew that are to be shorter, a commit at a time, as the budget
/// allows.
pub async fn run_compaction(controller: Rc<Controller>) {
    let tick = controller.settings.heartbeat_interval() / 4;
    let mut deferred = DeferredKeys::new();
    loop {
        if !controller.replica.borrow().uses_compact_encoding() {
            sleep(tick).await;
            continue;
        }
        sleep(controller.store.jitter(tick)).await;
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
            .store
            .wait_for_budget(step.class, WRITES_PER_STEP)
            .await;
        // Decided on what is known once the budget is there.
        if let Some(step) = next_step(&controller, &deferred) {
            commit_step(&controller, step, &mut deferred, now).await;
        }
    }
}

/// Commits a step; what is refused waits for a lease.
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
        Err(StoreError::Conflict(_)) => controller.expedite_watch(),
        Err(error) => {
            tracing::debug!(?keys, %error, "compaction commit failed");
            let until = now + controller.settings.worker_lease();
            deferred.extend(keys.into_iter().map(|key| (key, until)));
        }
    }
}

/// Whether this controller looks after the shards of a preferred owner: its own; the
/// fleet leader after those whose controller is not up.
fn is_responsible_for(controller: &Controller, replica: &Replica, preferred_owner: &str) -> bool {
    preferred_owner == controller.name()
        || (controller.is_fleet_leader() && !replica.controllers.contains_key(preferred_owner))
}

/// Zone shards come by turns with the rounds: until they are few a gang may have its
/// places in more of them than a commit writes. The rest comes last.
fn next_step(controller: &Controller, deferred: &DeferredKeys) -> Option<CompactionStep> {
    let replica = controller.replica.borrow();
    let is_responsible = |id: &str| {
        let shard = id.split_once('/').map_or("", |(_zone, shard)| shard);
        is_responsible_for(controller, &replica, preferred_owner_of(shard))
    };
    let max_writes = controller.settings.txn_ops();
    let of_zone_shards = zone_shards::compact(&replica, deferred, &is_responsible, max_writes)
        .or_else(|| split_long(&replica, deferred, &is_responsible))
        .or_else(|| merge(&replica, deferred, &is_responsible));
    if let Some(commit) = of_zone_shards {
        return Some(CompactionStep {
            class: RequestClass::Claim,
            commit,
        });
    }
    let peers = controller.peers.borrow();
    let alive = peers.alive(controller, Instant::now());
    let is_preferred = |job: &str| {
        let preferred = crate::hash::preferred(job, alive.iter().copied());
        preferred == Some(controller.name())
    };
    Some(CompactionStep {
        class: RequestClass::Lifecycle,
        commit: oversized::rewrite(&replica, deferred, &is_responsible, &is_preferred)?,
    })
}
