//! The placement loop: rounds of decisions, each written as one transaction.
//!
//! A round takes whatever has accumulated since the last one, so that its
//! transaction grows with the load and not the number of transactions.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::round::{Batch, decide};
use super::round_state::RoundState;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::keys::job_key;
use crate::workers;

/// Runs placement rounds for ever: terminations are recorded and waiting jobs are
/// placed, in one transaction a round.
pub async fn run_placement(controller: Rc<Controller>) {
    let mut state = RoundState::default();
    let idle_interval = controller.settings.heartbeat_interval() / 3;
    let shortest_pause = controller.request_interval();
    let mut last_release: Option<Instant> = None;
    loop {
        tokio::select! {
            () = controller.placement.woken() => {}
            () = controller.workers.terminations_queued() => {}
            () = sleep(idle_interval) => {}
        }
        // A controller that is cut off by itself learns nothing from silence:
        // its workers have moved to others.
        if !controller.replica.borrow().loaded || !controller.is_state_service_reachable() {
            continue;
        }
        // Both go through all machines, and are about leases and returns: a
        // few times a heartbeat interval is soon enough.
        if last_release.is_none_or(|at| at.elapsed() > idle_interval / 2) {
            last_release = Some(Instant::now());
            workers::release_expired_leases(&controller);
            workers::release_gone_machines(&controller);
        }
        let begun = Instant::now();
        run_rounds(&controller, &mut state).await;
        // Processor time is scarce: a round that found nothing is not repeated
        // at once.
        sleep(shortest_pause.max(begun.elapsed() / 2)).await;
    }
}

/// Decides and commits until there is nothing left to write; each transaction
/// waits for the answer to the one before.
async fn run_rounds(controller: &Rc<Controller>, state: &mut RoundState) {
    // Terminations within this span go into one transaction: heartbeats come so often
    // that nobody notices.
    let shortest_gap = controller.settings.heartbeat_interval() / 100;
    let mut gap = Duration::ZERO;
    loop {
        // However much the write budget allows, rounds leave the processor to
        // heartbeats, probes and submissions for as long as they took it
        // themselves.
        sleep(gap).await;
        // The budget comes first, so that decisions are not stale when sent.
        let wanted = (state.records_written / 2).max(1);
        controller
            .store
            .wait_for_budget(RequestClass::Round, wanted)
            .await;
        let deciding = Instant::now();
        let Some(batch) = decide(controller, state) else {
            return;
        };
        gap = deciding.elapsed().max(shortest_gap);
        state.records_written = batch.writes.len();
        if commit(controller, state, batch).await == NextStep::Pause {
            return;
        }
    }
}

/// What follows a commit.
#[derive(PartialEq, Eq)]
enum NextStep {
    /// Decide again on what the replica shows now.
    DecideAgain,
    /// Stop until the next wake-up, as the state service cannot be reached.
    Pause,
}

/// Sends one round's transaction and deals with its answer.
async fn commit(controller: &Rc<Controller>, state: &mut RoundState, batch: Batch) -> NextStep {
    let terminations = batch.terminations;
    match controller
        .commit(RequestClass::Round, batch.preconditions, batch.writes)
        .await
    {
        Ok(revision) => {
            state.small_commits = false;
            tracing::debug!(
                revision,
                jobs = batch.jobs,
                terminations = terminations.len(),
                "round committed"
            );
            controller.workers.remove_terminations(&terminations);
        }
        Err(StoreError::TooLong(_)) => state.small_commits = true,
        Err(StoreError::Limits(key)) => {
            shrink_after_refusal(controller, state, &key);
            sleep(controller.store.jitter(controller.request_interval() * 4)).await;
        }
        Err(StoreError::Conflict(keys)) => {
            tracing::debug!(?keys, "round conflicted");
            await_newer_replica(controller).await;
        }
        Err(error) => {
            // The commit may have happened: the replica tells after a barrier.
            tracing::debug!(%error, "round commit not answered");
            if !controller
                .wait_for_barrier(controller.settings.worker_lease() / 4)
                .await
            {
                return NextStep::Pause;
            }
        }
    }
    NextStep::DecideAgain
}

/// The same transaction would be refused again: the next has fewer records, and
/// if that was no help either, it leaves out the job whose record is too long.
fn shrink_after_refusal(controller: &Controller, state: &mut RoundState, refused_key: &str) {
    let job = refused_key.strip_prefix(&job_key(""));
    if let Some(job) = job.filter(|_| state.small_commits) {
        state.exclude(job, Instant::now() + controller.settings.worker_lease());
    }
    state.small_commits = true;
}

/// What has changed under the commit is on its way: waits until the replica has it.
async fn await_newer_replica(controller: &Rc<Controller>) {
    let before = controller.replica.borrow().revision;
    controller.expedite_watch();
    controller
        .wait_for_revision(before + 1, controller.request_interval() * 8)
        .await;
    sleep(controller.store.jitter(controller.request_interval() / 2)).await;
}
