//! Runs the loop that commits the steps of the accounting by shares, which
//! [`super::reconcile`] decides.

use std::rc::Rc;

use tokio::time::{Instant, sleep};

use super::reconcile::{ReconcileStep, next_reconcile_step};
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;

/// Runs the loop. In each interval it commits one step after another, as the write budget
/// allows, until none is due or a commit fails.
pub async fn run_shares(controller: Rc<Controller>) {
    let settings = &controller.settings;
    let interval = settings.heartbeat_interval() / settings.features.shares.passes_per_report;
    loop {
        sleep(controller.state_client.jitter(interval)).await;
        while has_step(&controller) {
            if commit_next_step(&controller).await == Progress::Pause {
                break;
            }
        }
    }
}

/// Decision after one pass whether the next one follows at once or in the next interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// A step was committed, and another one may be due at once.
    Continue,
    /// No step is due, or the commit failed. The next pass waits for the next interval.
    Pause,
}

fn has_step(controller: &Controller) -> bool {
    controller.replica.borrow().loaded
        && controller.is_state_service_reachable()
        && next_step(controller).is_some()
}

fn next_step(controller: &Controller) -> Option<ReconcileStep> {
    let replica = controller.replica.borrow();
    let peers = controller.peers.borrow();
    let alive = peers.alive_controllers(controller, Instant::now());
    next_reconcile_step(&replica, &controller.settings, &alive)
}

/// Waits for the write budget, then decides the next step and commits it.
async fn commit_next_step(controller: &Controller) -> Progress {
    controller
        .state_client
        .wait_for_budget(RequestClass::Lifecycle, 1)
        .await;
    if !controller.is_state_service_reachable() {
        return Progress::Pause;
    }
    let Some(step) = next_step(controller) else {
        return Progress::Pause;
    };
    let action = step.action;
    let committed = controller
        .commit(RequestClass::Lifecycle, step.preconditions, step.writes)
        .await;
    match committed {
        Ok(_) => {
            tracing::debug!(action, "share accounting committed");
            Progress::Continue
        }
        Err(StateClientError::Conflict(keys)) => {
            tracing::debug!(action, ?keys, "share accounting conflict");
            controller.expedite_watch();
            Progress::Pause
        }
        Err(error) => {
            tracing::debug!(action, %error, "share accounting commit failed");
            // The commit may have taken effect all the same. After a barrier the replica shows
            // whether it has, so the next step is decided after the barrier.
            let limit = controller.settings.worker_lease() / 4;
            controller.wait_for_barrier(limit).await;
            Progress::Pause
        }
    }
}
