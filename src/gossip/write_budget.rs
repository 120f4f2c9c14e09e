//! Divides the state service's limits among the controllers, by what each has told
//! that it would write.

use std::rc::Rc;

use tokio::time::{Instant, sleep};

use super::gossip_interval;
use crate::controller::Controller;
use crate::state::budget::{BUDGET_SHARE, write_rate_allocation};

/// Divides the state service's writes by what each controller would write.
pub async fn run_write_budget(controller: Rc<Controller>) {
    loop {
        sleep(gossip_interval(&controller.settings)).await;
        update_budget(&controller);
    }
}

/// Sets this controller's rates of requests and of writes.
fn update_budget(controller: &Controller) {
    // The lower rate comes into force without notice: it is kept to once
    // refusals show it, and the present one is tried again later.
    let is_rate_reduced = controller.store.is_rate_reduced()
        && controller.replica.borrow().all_read_compact_encodings();
    let writes_per_s = controller.settings.write_rps(is_rate_reduced) * BUDGET_SHARE;
    let others = peer_demands(controller);
    let share = write_rate_allocation(writes_per_s, controller.store.demand(), &others);
    let count = controller.settings.deployment.count as f64;
    let requests_per_s = controller.settings.rps(is_rate_reduced) / count * BUDGET_SHARE;
    controller.store.set_request_rate(requests_per_s);
    controller.store.set_write_rate(share);
}

/// What the other controllers would write, in keys a second, as far as it is known.
fn peer_demands(controller: &Controller) -> Vec<Option<f64>> {
    let mut demands = controller
        .peers
        .borrow()
        .write_demands(controller, Instant::now());
    // A controller that is not heard and has no state lease either writes
    // nothing: it is cut off, or has ended, and its share is needed most just
    // then. Only when there was time for all to write their keys.
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
