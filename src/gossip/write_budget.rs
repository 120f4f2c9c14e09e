//! Divides the rate limits of the state service among the controllers. The request limit is
//! divided equally, the write limit by demand.

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
    // The state service changes from its present limits to announced lower ones without
    // notice. The lower limits are applied once refusals show that they are in force, and the
    // present limits are tried again later.
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
    // A controller is cut off or has ended if it sends no status and its record, which the
    // state service removes when the controller's lease there expires, is gone as well. It
    // writes nothing, and the other controllers need its share most at that time. After a
    // start, controllers get the time of one lease to write their records.
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
