//! Calls the cloud for recorded provisioning requests and records its answers.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::client::CloudError;
use super::machine_offer::MachineOffer;
use crate::controller::Controller;
use crate::http::Response;
use crate::state::budget::RequestClass;
use crate::state::commit::{precondition, put};
use crate::state::keys::provisioning_request_key;
use crate::state::records::ProvisioningRequest;
use crate::state::replica::{Replica, Versioned};
use crate::wire::{CreateMachinesRequest, MachineIds, Write};

/// The result of a provisioning request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The cloud delivered all requested machines.
    Complete,
    /// The cloud delivered fewer machines or none. It is treated as short of capacity.
    Short,
}

/// A provisioning request in the replica, with its name.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordedRequest<'a> {
    pub(super) id: &'a String,
    pub(super) entry: &'a Versioned<ProvisioningRequest>,
}

/// Returns the provisioning request that still lists the machine, if there is one.
pub(super) fn find_request_of<'a>(
    replica: &'a Replica,
    machine: &str,
) -> Option<RecordedRequest<'a>> {
    replica
        .provisioning_requests
        .iter()
        .map(|(id, entry)| RecordedRequest { id, entry })
        .find(|request| request.entry.value.machines.iter().any(|id| id == machine))
}

/// Calls the cloud for every recorded request that it has not answered and that has
/// no call in progress. Repeating a request is safe: its name is the idempotency key,
/// so the cloud never provisions its machines twice.
pub(super) fn call_for_unanswered_requests(controller: &Rc<Controller>) {
    let replica = controller.replica.borrow();
    let mut fleet = controller.fleet.borrow_mut();
    for (id, entry) in &replica.provisioning_requests {
        if entry.value.machines.is_empty() && fleet.cloud_calls.begin(id) {
            let controller = controller.clone();
            let id = id.clone();
            let recorded = entry.clone();
            tokio::task::spawn_local(async move {
                complete_request(&controller, &id, recorded).await;
                controller.fleet.borrow_mut().cloud_calls.end(&id);
            });
        }
    }
}

/// Calls the cloud for one recorded request and records the answer.
async fn complete_request(
    controller: &Controller,
    id: &str,
    recorded: Versioned<ProvisioningRequest>,
) {
    let Versioned {
        version,
        value: mut request,
    } = recorded;
    let response = match create_machines(controller, id, version, &request).await {
        Ok(response) => response,
        Err(error) => {
            tracing::debug!(request = id, %error, "scale-out request not answered");
            return;
        }
    };
    let delivery = apply_response(controller, &mut request, &response);
    record_capacity(controller, &request, delivery);
    let key = provisioning_request_key(id);
    let preconditions = vec![precondition(key.clone(), version)];
    let write = match request.machines.is_empty() {
        true => Write::Delete { key },
        false => put(key, &request),
    };
    if let Err(error) = controller
        .commit(RequestClass::Lease, preconditions, vec![write])
        .await
    {
        // The next pass repeats the call, and the cloud returns the same machine IDs.
        tracing::debug!(request = id, %error, "scale-out answer not recorded");
    }
}

/// Calls the cloud for a request's machines, unless the request's record has changed
/// by the time the rate limit allows the call.
async fn create_machines(
    controller: &Controller,
    id: &str,
    version: u64,
    request: &ProvisioningRequest,
) -> Result<Response, CloudError> {
    let body = serde_json::to_vec(&CreateMachinesRequest {
        idempotency_key: id,
        machine_type: &request.kind,
        zone: &request.zone,
        spot: request.spot,
        count: request.count,
    })?;
    let is_unchanged = || {
        let replica = controller.replica.borrow();
        let recorded = replica.provisioning_requests.get(id);
        recorded.is_some_and(|entry| entry.version == version)
    };
    controller
        .call_cloud_if("POST", "/rentals", Some(body), is_unchanged)
        .await
}

/// Adds the machines that the cloud has delivered to the request.
fn apply_response(
    controller: &Controller,
    request: &mut ProvisioningRequest,
    response: &Response,
) -> Delivery {
    let mut delivery = Delivery::Short;
    if response.status == 200
        && let Ok(delivered) = response.parse::<MachineIds>()
    {
        if delivered.machines.len() as u32 >= request.count {
            delivery = Delivery::Complete;
        }
        let replica = controller.replica.borrow();
        // A machine whose worker has reported before this answer arrived already has
        // a record of its own.
        request.machines = delivered.machines;
        request
            .machines
            .retain(|id| !replica.machines.contains_key(id));
    }
    if delivery == Delivery::Short {
        tracing::info!(
            machine_type = request.kind,
            zone = request.zone,
            spot = request.spot,
            status = response.status,
            delivered = request.machines.len(),
            requested = request.count,
            "cloud capacity short"
        );
    }
    delivery
}

/// Backs off the request's offer if the cloud was short of capacity. Otherwise ends the
/// offer's backoff.
fn record_capacity(controller: &Controller, request: &ProvisioningRequest, delivery: Delivery) {
    let offer = MachineOffer::from(request);
    let refusals = &mut controller.fleet.borrow_mut().refusals;
    match delivery {
        Delivery::Complete => refusals.clear(&offer),
        Delivery::Short => {
            let pause = Duration::from_secs_f64(controller.settings.deployment.cloud.list_lag_s);
            refusals.record(offer, pause, Instant::now());
        }
    }
}
