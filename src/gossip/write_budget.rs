//! Divides the request and write limits of the state service among the controllers; writes
//! are divided by each controller's demand.

use std::rc::Rc;

use tokio::time::{Instant, sleep};

use super::gossip_interval;
use crate::controller::Controller;
use crate::state::budget::{MAX_BUDGET_FRACTION, write_rate_allocation};

/// Runs the loop that updates this controller's rates of requests and writes.
pub async fn run_write_budget(controller: Rc<Controller>) {
    loop {
        sleep(gossip_interval(&controller.settings)).await;
        update_budget(&controller);
    }
}

/// Sets this controller's rates of requests and of writes from the limits of the state service
/// and the demands of all controllers.
fn update_budget(controller: &Controller) {
    // The lower limits come into force without notice. They are applied once refusals by
    // the state service show that, and the present limits are tried again later.
    let is_rate_reduced = controller.state_client.is_rate_reduced()
        && controller.replica.borrow().all_read_compact_encodings();
    let writes_per_s = controller.settings.max_writes_per_s(is_rate_reduced) * MAX_BUDGET_FRACTION;
    let others = peer_demands(controller);
    let share = write_rate_allocation(writes_per_s, controller.state_client.demand(), &others);
    let count = controller.settings.deployment.count as f64;
    let requests_per_s =
        controller.settings.max_requests_per_s(is_rate_reduced) / count * MAX_BUDGET_FRACTION;
    controller.state_client.set_request_rate(requests_per_s);
    controller.state_client.set_write_rate(share);
}

/// Returns the write demands of the other controllers, in keys per second; `None` where the
/// demand is unknown.
fn peer_demands(controller: &Controller) -> Vec<Option<f64>> {
    let mut demands = controller
        .peers
        .borrow()
        .write_demands(controller, Instant::now());
    // A controller without a recent status whose state lease has expired, too, writes nothing:
    // it is cut off or has ended, and the others need its share most at that time. The
    // rule applies only after all controllers have had time to write their records.
    if controller.started.elapsed() <= controller.settings.worker_lease()
        || !controller.is_state_service_reachable()
    {
        return demands;
    }
    let replica = controller.replica.borrow();
    for (peer, demand) in controller.settings.others.iter().zip(&mut demands) {
        if demand.is_none() && !replica.controllers.contains_key(&peer.name) {
            *demand = Some(0.0);
        }
    }
    demands
}
