//! Publishes in zone shards which of this controller's machines take new work, and how much
//! of their resources is free. Every controller places tasks by these records.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::capacity_plan::{ZoneShardChange, plan_capacity_changes};
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::wire::{Precondition, Write};

/// Minimum time between two publications of a zone shard's record, unless a machine is
/// added to it.
const PUBLICATION_INTERVAL: Duration = Duration::from_secs(5);

/// Times at which this controller last published each zone shard's record.
pub(super) type PublicationTimes = HashMap<String, Instant>;

/// Runs the loop that rewrites zone shards whose records no longer match this controller's
/// machines.
pub async fn run_publication(controller: Rc<Controller>) {
    let mut published = PublicationTimes::new();
    let mut last_join: Option<Instant> = None;
    loop {
        wait_for_changes(&controller, last_join).await;
        if !controller.is_state_service_reachable() {
            continue;
        }
        published.retain(|_, at| at.elapsed() < PUBLICATION_INTERVAL);
        let mut changes = plan_capacity_changes(&controller, &published);
        if changes.is_empty() {
            continue;
        }
        // A machine in no record costs money without taking work, and a task placed on a
        // silent machine waits until the lease of that machine's worker has expired.
        // Scheduling rounds would use the whole write budget while work waits. Changes that
        // add or remove machines therefore have a request class that rounds do not delay.
        let mut class = RequestClass::Publication;
        if changes.iter().any(|c| c.changes_members) {
            class = RequestClass::Claim;
            last_join = Some(Instant::now());
            controller
                .state_client
                .wait_for_budget(class, changes.len())
                .await;
            changes = plan_capacity_changes(&controller, &published);
        }
        let now = Instant::now();
        published.extend(changes.iter().map(|c| (c.id.clone(), now)));
        publish(&controller, class, changes, &mut published).await;
    }
}

/// Waits until capacity has changed, or for a third of a heartbeat interval, and then for a
/// short delay. The delay is longer if machines were added or removed a short time ago: each
/// publication costs one write for each zone shard, so that machines which boot at about the
/// same time should be published together.
async fn wait_for_changes(controller: &Controller, last_join: Option<Instant>) {
    let heartbeat_interval = controller.settings.heartbeat_interval();
    let min_delay = controller.request_interval() * 4;
    let join_interval = heartbeat_interval / 4;
    let woken = controller.workers.publication_woken();
    let _ = timeout(heartbeat_interval / 3, woken).await;
    let since_join = last_join.map_or(join_interval, |at| at.elapsed());
    sleep(min_delay.max(join_interval.saturating_sub(since_join))).await;
}

/// Commits the changes. After a conflict, drops the changes that conflict and commits the
/// others again.
async fn publish(
    controller: &Controller,
    class: RequestClass,
    mut changes: Vec<ZoneShardChange>,
    published: &mut PublicationTimes,
) {
    while !changes.is_empty() {
        let writes = zone_shard_writes(controller, &changes);
        match controller
            .commit(class, preconditions_of(&changes), writes)
            .await
        {
            Ok(revision) => {
                let zone_shards: Vec<&String> = changes.iter().map(|c| &c.id).collect();
                tracing::debug!(revision, ?zone_shards, "capacity published");
                return;
            }
            Err(StateClientError::Conflict(keys)) => {
                // A booking has changed these zone shards; the other changes are retried.
                tracing::debug!(?keys, "capacity publication conflict");
                let count = changes.len();
                drop_conflicting(&mut changes, &keys, published);
                controller.expedite_watch();
                controller.workers.wake_publication();
                // Once compact encodings are in use, the choice of a zone shard for a machine
                // depends on the other zone shards in the commit. All changes are then
                // planned again.
                let depends_on_others = controller.replica.borrow().uses_compact_encoding();
                if changes.len() == count || depends_on_others {
                    return;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "capacity publication failed");
                return;
            }
        }
    }
}

fn zone_shard_writes(controller: &Controller, changes: &[ZoneShardChange]) -> Vec<Write> {
    let replica = controller.replica.borrow();
    let writes = changes
        .iter()
        .map(|c| replica.put_zone_shard(&c.id, &c.shard));
    writes.collect()
}

/// Returns the preconditions of all changes, each key once.
fn preconditions_of(changes: &[ZoneShardChange]) -> Vec<Precondition> {
    let preconditions = changes.iter().flat_map(|c| c.preconditions.iter().cloned());
    let mut preconditions: Vec<Precondition> = preconditions.collect();
    preconditions.sort_by(|a, b| a.key.cmp(&b.key));
    preconditions.dedup_by(|a, b| a.key == b.key);
    preconditions
}

fn drop_conflicting(
    changes: &mut Vec<ZoneShardChange>,
    keys: &[String],
    published: &mut PublicationTimes,
) {
    changes.retain(|change| {
        let conflicts = change.preconditions.iter().any(|p| keys.contains(&p.key));
        if conflicts {
            published.remove(&change.id);
        }
        !conflicts
    });
}
