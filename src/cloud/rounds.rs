//! The loop that keeps the fleet; renting has one of its own (`rentals`).

use std::rc::Rc;

use tokio::time::sleep;

use super::consolidation::consolidate;
use super::draining::drain_recalled;
use super::idle::unneeded_machines;
use super::list::reconcile_list;
use super::removal::remove_machines;
use super::scale_in::finish_returns;
use super::settling::{settle_cancelled, settle_records};
use super::silent::failing_machines;
use super::summary::log_fleet;
use crate::controller::Controller;

/// Removes the machines that this controller holds and that fail; the fleet_leader
/// also keeps the fleet as a whole.
pub async fn run_fleet(controller: Rc<Controller>) {
    loop {
        let tick = controller
            .settings
            .heartbeat_interval()
            .min(controller.settings.worker_lease() / 8)
            / 2;
        sleep(controller.store.jitter(tick)).await;
        if !controller.replica.borrow().loaded {
            continue;
        }
        if controller.is_state_service_reachable() {
            drain_recalled(&controller).await;
            remove_machines(&controller, failing_machines).await;
        }
        if !controller.is_fleet_leader() || !controller.is_state_service_reachable() {
            continue;
        }
        maintain_fleet(&controller).await;
    }
}

/// One pass of the fleet_leader over the fleet.
async fn maintain_fleet(controller: &Rc<Controller>) {
    log_fleet(controller);
    finish_returns(controller).await;
    settle_records(controller).await;
    settle_cancelled(controller).await;
    reconcile_list(controller).await;
    remove_machines(controller, unneeded_machines).await;
    consolidate(controller).await;
}
