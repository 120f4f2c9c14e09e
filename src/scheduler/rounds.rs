//! Placement loop: runs placement rounds, each of which is written as one transaction.
//!
//! A round handles all changes that have accumulated since the last round. Higher load
//! thus makes the transactions larger, but does not increase their number.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::round::{RoundCommit, decide_round};
use super::round_state::RoundState;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::state::keys::job_id;
use crate::workers;

/// Runs placement rounds until the process ends. Each round records terminations and
/// places waiting jobs, in one transaction.
pub async fn run_placement(controller: Rc<Controller>) {
    let mut state = RoundState::default();
    let idle_interval = controller.settings.heartbeat_interval() / 3;
    let min_pause = controller.request_interval();
    let mut last_release_at: Option<Instant> = None;
    loop {
        tokio::select! {
            () = controller.placement.notified() => {}
            () = controller.workers.terminations_queued() => {}
            () = sleep(idle_interval) => {}
        }
        // A controller that cannot reach the state service must not conclude anything from
        // the silence of its workers: they may have moved to other controllers.
        if !controller.replica.borrow().loaded || !controller.is_state_service_reachable() {
            continue;
        }
        // Both functions examine all machines, so they are not called in every iteration.
        // It is enough to look for expired leases and removed machines a few times per
        // heartbeat interval.
        if last_release_at.is_none_or(|at| at.elapsed() > idle_interval / 2) {
            last_release_at = Some(Instant::now());
            workers::queue_terminations_of_expired_leases(&controller);
            workers::queue_terminations_of_gone_machines(&controller);
        }
        let started_at = Instant::now();
        run_rounds(&controller, &mut state).await;
        // Limits the CPU time of rounds: a round that found nothing to do is not repeated
        // immediately.
        sleep(min_pause.max(started_at.elapsed() / 2)).await;
    }
}

/// Runs rounds until there is nothing left to write. Each round waits for the response to
/// the previous transaction.
async fn run_rounds(controller: &Rc<Controller>, state: &mut RoundState) {
    // Terminations within this interval are collected into one transaction. It is a small
    // fraction of the heartbeat interval, so the delay is not noticeable.
    let min_gap = controller.settings.heartbeat_interval() / 100;
    let mut gap = Duration::ZERO;
    loop {
        // Regardless of the write budget, the loop sleeps for as long as the last decision
        // took, so that heartbeats, probes and submissions get CPU time.
        sleep(gap).await;
        // Waits for the budget before deciding, so that the decisions are not stale when
        // they are sent.
        let wanted = (state.records_written / 2).max(1);
        controller
            .state_client
            .wait_for_budget(RequestClass::Round, wanted)
            .await;
        let decision_started_at = Instant::now();
        let Some(round_commit) = decide_round(controller, state) else {
            return;
        };
        gap = decision_started_at.elapsed().max(min_gap);
        state.records_written = round_commit.commit.writes.len();
        if commit(controller, state, round_commit).await == NextStep::Pause {
            return;
        }
    }
}

/// Action of the placement loop after a commit.
#[derive(PartialEq, Eq)]
enum NextStep {
    /// The loop decides another round on the current state of the replica.
    DecideAgain,
    /// The loop runs no more rounds until its next wake-up, as the state service cannot be
    /// reached.
    Pause,
}

/// Commits one round's transaction and handles the response.
async fn commit(
    controller: &Rc<Controller>,
    state: &mut RoundState,
    round_commit: RoundCommit,
) -> NextStep {
    let RoundCommit {
        admitted_jobs,
        terminations,
        commit,
    } = round_commit;
    match controller
        .commit(RequestClass::Round, commit.preconditions, commit.writes)
        .await
    {
        Ok(revision) => {
            state.small_commits = false;
            tracing::debug!(
                revision,
                jobs = admitted_jobs,
                terminations = terminations.len(),
                "round committed"
            );
            controller.workers.remove_terminations(&terminations);
        }
        Err(StateClientError::CommitTooLong(_)) => state.small_commits = true,
        Err(StateClientError::LimitsExceeded(key)) => {
            shrink_after_refusal(controller, state, &key);
            sleep(
                controller
                    .state_client
                    .jitter(controller.request_interval() * 4),
            )
            .await;
        }
        Err(StateClientError::Conflict(keys)) => {
            tracing::debug!(?keys, "round conflicted");
            await_newer_replica(controller).await;
        }
        Err(error) => {
            // The commit may have been applied although no response arrived. Once a read
            // barrier has completed, the replica shows whether the commit was applied.
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

/// Reduces the next commit after the state service has refused a record as too large, as
/// the same transaction would be refused again. The next commit writes fewer records. If a
/// small commit has been refused too, the job whose record is too large is excluded.
fn shrink_after_refusal(controller: &Controller, state: &mut RoundState, refused_key: &str) {
    let job = job_id(refused_key);
    if let Some(job) = job.filter(|_| state.small_commits) {
        state.exclude(job, Instant::now() + controller.settings.worker_lease());
    }
    state.small_commits = true;
}

/// Waits until the replica has received the change that conflicted with the commit.
async fn await_newer_replica(controller: &Rc<Controller>) {
    let before = controller.replica.borrow().revision;
    controller.expedite_watch();
    controller
        .wait_for_revision(before + 1, controller.request_interval() * 8)
        .await;
    sleep(
        controller
            .state_client
            .jitter(controller.request_interval() / 2),
    )
    .await;
}
