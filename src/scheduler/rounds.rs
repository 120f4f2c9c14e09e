//! The placement loop: rounds of decisions, each written as one transaction.
//!
//! A round takes whatever has accumulated since the last one, so that its
//! transaction grows with the load and not the number of transactions.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::round::{Batch, decide};
use super::round_state::RoundState;
use crate::node::Node;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::keys::job_key;
use crate::workers;

/// Runs placement rounds for ever: what has ended is recorded and what waits is
/// placed, in one transaction a round.
pub async fn run_placement(node: Rc<Node>) {
    let mut state = RoundState::default();
    let idle = node.settings.report() / 3;
    let shortest_pause = node.request_gap();
    let mut released: Option<Instant> = None;
    loop {
        tokio::select! {
            () = node.placement_wanted.notified() => {}
            () = node.terminations_wanted.notified() => {}
            () = sleep(idle) => {}
        }
        // A controller that is cut off by itself learns nothing from silence:
        // its workers have moved to others.
        if !node.replica.borrow().loaded || !node.has_state() {
            continue;
        }
        // Both go through all machines, and are about leases and returns: a
        // few times a report interval is soon enough.
        if released.is_none_or(|at| at.elapsed() > idle / 2) {
            released = Some(Instant::now());
            workers::release_silent(&node);
            workers::release_gone(&node);
        }
        let begun = Instant::now();
        run_rounds(&node, &mut state).await;
        // Processor time is scarce: a round that found nothing is not repeated
        // at once.
        sleep(shortest_pause.max(begun.elapsed() / 2)).await;
    }
}

/// Decides and commits until there is nothing left to write; each transaction
/// waits for the answer to the one before.
async fn run_rounds(node: &Rc<Node>, state: &mut RoundState) {
    // Ends within this span go into one transaction: reports come so often that
    // nobody notices.
    let shortest_gap = node.settings.report() / 100;
    let mut gap = Duration::ZERO;
    loop {
        // However much the write budget allows, rounds leave the processor to
        // heartbeats, probes and submissions for as long as they took it
        // themselves.
        sleep(gap).await;
        // The budget comes first, so that decisions are not stale when sent.
        let wanted = (state.records_written / 2).max(1);
        node.store.ready(RequestClass::Round, wanted).await;
        let deciding = Instant::now();
        let Some(batch) = decide(node, state) else {
            return;
        };
        gap = deciding.elapsed().max(shortest_gap);
        state.records_written = batch.writes.len();
        if commit(node, state, batch).await == Next::Pause {
            return;
        }
    }
}

/// What follows a commit.
#[derive(PartialEq, Eq)]
enum Next {
    /// Decide again on what the replica shows now.
    DecideAgain,
    /// Stop until the next wake-up, as the state service cannot be reached.
    Pause,
}

/// Sends one round's transaction and deals with its answer.
async fn commit(node: &Rc<Node>, state: &mut RoundState, batch: Batch) -> Next {
    let ends = batch.ends;
    match node
        .commit(RequestClass::Round, batch.guards, batch.writes)
        .await
    {
        Ok(_) => {
            state.small_commits = false;
            tracing::debug!(jobs = batch.jobs, ends = ends.len(), "decided");
            let mut pending = node.ends.borrow_mut();
            for key in &ends {
                pending.remove(key);
            }
        }
        Err(StoreError::TooLong(_)) => state.small_commits = true,
        Err(StoreError::Limits(key)) => {
            shrink_after_refusal(node, state, &key);
            sleep(node.store.jitter(node.request_gap() * 4)).await;
        }
        Err(StoreError::Conflict(keys)) => {
            tracing::debug!(?keys, "conflict");
            await_newer_replica(node).await;
        }
        Err(error) => {
            // The commit may have happened: the replica tells after a barrier.
            tracing::debug!(%error, "decisions not answered");
            if !node.barrier(node.settings.lease() / 4).await {
                return Next::Pause;
            }
        }
    }
    Next::DecideAgain
}

/// The same transaction would be refused again: the next has fewer records, and
/// if that was no help either, it leaves out the job whose record is too long.
fn shrink_after_refusal(node: &Node, state: &mut RoundState, refused_key: &str) {
    let job = refused_key.strip_prefix(&job_key(""));
    if let Some(job) = job.filter(|_| state.small_commits) {
        state.exclude(job, Instant::now() + node.settings.lease());
    }
    state.small_commits = true;
}

/// What has changed under the commit is on its way: waits until the replica has it.
async fn await_newer_replica(node: &Rc<Node>) {
    let before = node.replica.borrow().revision;
    node.expedite_watch();
    node.wait_revision(before + 1, node.request_gap() * 8).await;
    sleep(node.store.jitter(node.request_gap() / 2)).await;
}
