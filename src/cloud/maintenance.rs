//! The loop that maintains the fleet. Scale-out runs in a loop of its own (`scale_out`).

use std::rc::Rc;

use tokio::time::sleep;

use super::cancellations::record_dependent_cancellations;
use super::consolidation::consolidate;
use super::draining::drain_machines;
use super::garbage_collection::collect_obsolete_records;
use super::inventory::reconcile_inventory;
use super::removal::remove_machines;
use super::scale_in::scale_in;
use super::stale_slots::remove_stale_slots;
use super::summary::log_fleet_summary;
use super::unhealthy_machines::unhealthy_machines;
use super::unneeded_machines::unneeded_machines;
use crate::controller::Controller;

/// Runs the loop that drains and removes unhealthy machines owned by this controller. On the
/// fleet leader, the loop also maintains the fleet as a whole.
pub async fn run_fleet_maintenance(controller: Rc<Controller>) {
    loop {
        let interval = controller
            .settings
            .heartbeat_interval()
            .min(controller.settings.worker_lease() / 8)
            / 2;
        sleep(controller.state_client.jitter(interval)).await;
        if !controller.replica.borrow().loaded {
            continue;
        }
        if controller.is_state_service_reachable() {
            drain_machines(&controller).await;
            remove_machines(&controller, unhealthy_machines).await;
        }
        if !controller.is_fleet_leader() || !controller.is_state_service_reachable() {
            continue;
        }
        maintain_fleet(&controller).await;
    }
}

/// Runs one pass of the fleet leader over the fleet.
async fn maintain_fleet(controller: &Rc<Controller>) {
    log_fleet_summary(controller);
    remove_stale_slots(controller).await;
    scale_in(controller).await;
    collect_obsolete_records(controller).await;
    record_dependent_cancellations(controller).await;
    reconcile_inventory(controller).await;
    remove_machines(controller, unneeded_machines).await;
    consolidate(controller).await;
}
