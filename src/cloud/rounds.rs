//! The loop that keeps the fleet; renting has one of its own (`rentals`).

use std::rc::Rc;

use tokio::time::sleep;

use super::consolidation::consolidate;
use super::draining::drain_recalled;
use super::idle::unneeded_machines;
use super::list::reconcile_list;
use super::removal::remove_machines;
use super::returns::finish_returns;
use super::settling::{settle_cancelled, settle_records};
use super::silent::failing_machines;
use super::summary::log_fleet;
use crate::node::Node;

/// Removes the machines that this controller holds and that fail; the renter
/// also keeps the fleet as a whole.
pub async fn run_fleet(node: Rc<Node>) {
    loop {
        let tick = node.settings.report().min(node.settings.lease() / 8) / 2;
        sleep(node.store.jitter(tick)).await;
        if !node.replica.borrow().loaded {
            continue;
        }
        if node.has_state() {
            drain_recalled(&node).await;
            remove_machines(&node, failing_machines).await;
        }
        if !node.is_renter() || !node.has_state() {
            continue;
        }
        maintain_fleet(&node).await;
    }
}

/// One pass of the renter over the fleet.
async fn maintain_fleet(node: &Rc<Node>) {
    log_fleet(node);
    finish_returns(node).await;
    settle_records(node).await;
    settle_cancelled(node).await;
    reconcile_list(node).await;
    remove_machines(node, unneeded_machines).await;
    consolidate(node).await;
}
