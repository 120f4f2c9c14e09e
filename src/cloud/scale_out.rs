//! The scale-out loop: plans the capacity that is missing, and records the
//! requests for it before the cloud is called.

use std::rc::Rc;

use rand::Rng;
use tokio::time::sleep;

use super::provisioning::call_for_unanswered_requests;
use super::scale_out_planner::plan_scale_out;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::commit::{precondition, put};
use crate::state::keys::{FLEET_KEY, provisioning_request_key};
use crate::state::records::ProvisioningRequest;

/// Provisions what is missing, apart from the rest: work waits for it.
pub async fn run_scale_out(controller: Rc<Controller>) {
    let tick = controller
        .settings
        .heartbeat_interval()
        .min(controller.settings.worker_lease() / 8)
        / 2;
    loop {
        sleep(controller.store.jitter(tick)).await;
        if controller.replica.borrow().loaded
            && controller.is_fleet_leader()
            && controller.is_state_service_reachable()
        {
            scale_out(&controller).await;
        }
    }
}

/// One pass: calls for what is recorded, and records what is missing besides.
async fn scale_out(controller: &Rc<Controller>) {
    call_for_unanswered_requests(controller);
    // What an answer that is awaited refuses is not asked for again.
    if controller.fleet.borrow().cloud_calls.is_any_in_progress() {
        return;
    }
    let requests = plan_scale_out(controller);
    if !requests.is_empty() {
        commit_requests(controller, &requests).await;
    }
}

/// Records the requests, and calls the cloud for them.
async fn commit_requests(controller: &Rc<Controller>, requests: &[ProvisioningRequest]) {
    let mut preconditions = Vec::new();
    let mut writes = Vec::new();
    for request in requests {
        let id = new_request_id(controller);
        tracing::info!(
            request = id,
            machine_type = request.kind,
            zone = request.zone,
            spot = request.spot,
            count = request.count,
            "scale-out requested"
        );
        // Safety 5: the intent comes before the call, under a unique name.
        preconditions.push(precondition(provisioning_request_key(&id), 0));
        writes.push(put(provisioning_request_key(&id), request));
    }
    // Who was paused, and is the fleet leader no more, finds out by this.
    match controller.replica.borrow().fleet.as_ref() {
        Some(fleet_leader) => {
            preconditions.push(precondition(FLEET_KEY.to_string(), fleet_leader.version))
        }
        None => return,
    }
    match controller
        .commit(RequestClass::Lease, preconditions, writes)
        .await
    {
        Ok(revision) => {
            tracing::debug!(revision, "scale-out request committed");
            call_for_unanswered_requests(controller);
        }
        Err(error) => tracing::debug!(%error, "scale-out request not committed"),
    }
}

/// A name that no other request has had.
fn new_request_id(controller: &Controller) -> String {
    let number = controller.rng.borrow_mut().random::<u64>();
    format!("{}-{number:x}", controller.name())
}
