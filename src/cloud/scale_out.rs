//! The scale-out loop: plans the missing capacity and records the provisioning
//! requests for it before it calls the cloud.

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

/// Runs the scale-out loop. It is separate from the loop that maintains the fleet, so that
/// maintenance does not delay jobs that wait for capacity.
pub async fn run_scale_out(controller: Rc<Controller>) {
    let interval = controller
        .settings
        .heartbeat_interval()
        .min(controller.settings.worker_lease() / 8)
        / 2;
    loop {
        sleep(controller.state_client.jitter(interval)).await;
        if controller.replica.borrow().loaded
            && controller.is_fleet_leader()
            && controller.is_state_service_reachable()
        {
            scale_out(&controller).await;
        }
    }
}

/// Runs one pass: calls the cloud for recorded requests that it has not answered,
/// then plans and records requests for the capacity that is still missing.
async fn scale_out(controller: &Rc<Controller>) {
    call_for_unanswered_requests(controller);
    // A pending answer may be a refusal: planning before it arrives could request
    // the same offer again.
    if controller.fleet.borrow().cloud_calls.is_any_in_progress() {
        return;
    }
    let requests = plan_scale_out(controller);
    if !requests.is_empty() {
        commit_requests(controller, &requests).await;
    }
}

/// Records the requests and calls the cloud for them.
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
        // Safety 5: the request is recorded under a unique name before the cloud is
        // called.
        preconditions.push(precondition(provisioning_request_key(&id), 0));
        writes.push(put(provisioning_request_key(&id), request));
    }
    // This precondition makes the commit fail if this process was paused and is no
    // longer the fleet leader.
    match controller.replica.borrow().fleet_leader.as_ref() {
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

/// Returns a name for a new request. A random number makes the name unique.
fn new_request_id(controller: &Controller) -> String {
    let number = controller.rng.borrow_mut().random::<u64>();
    format!("{}-{number:x}", controller.name())
}
