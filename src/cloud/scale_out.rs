//! Rentals: the recorded intent, the call to the cloud and its answer.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use super::demand::demand;
use super::offers::Offer;
use crate::controller::Controller;
use crate::http::Response;
use crate::state::budget::RequestClass;
use crate::state::commit::{guard, put};
use crate::state::keys::{FLEET_KEY, rental_key};
use crate::state::records::ProvisioningRequest;
use crate::state::replica::{Entry, Replica};
use crate::wire::{CreateMachinesRequest, MachineIds, Write};

/// Rents what is missing, apart from the rest: work waits for it.
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
            rent(&controller).await;
        }
    }
}

async fn rent(controller: &Rc<Controller>) {
    call_unanswered(controller);
    // What an answer that is awaited refuses is not asked for again.
    if !controller.fleet.borrow().calling.is_empty() {
        return;
    }
    let provisioning_requests = demand(controller);
    if provisioning_requests.is_empty() {
        return;
    }
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    for rental in provisioning_requests {
        let id = new_rental_id(controller);
        tracing::info!(
            kind = rental.kind,
            zone = rental.zone,
            spot = rental.spot,
            count = rental.count,
            "renting"
        );
        // Safety 5: the intent comes before the call, under a unique name.
        guards.push(guard(rental_key(&id), 0));
        writes.push(put(rental_key(&id), &rental));
    }
    // Who has stood still, and rents no more, finds out by this.
    match controller.replica.borrow().fleet.as_ref() {
        Some(fleet_leader) => guards.push(guard(FLEET_KEY.to_string(), fleet_leader.version)),
        None => return,
    }
    match controller.commit(RequestClass::Lease, guards, writes).await {
        Ok(_) => call_unanswered(controller),
        Err(error) => tracing::debug!(%error, "rental not recorded"),
    }
}

/// A name that no other rental has had.
fn new_rental_id(controller: &Controller) -> String {
    let number = controller.rng.borrow_mut().random::<u64>();
    format!("{}-{number:x}", controller.name())
}

/// Calls the cloud for every recorded rental until it has answered: repeating
/// a request by its name rents nothing twice.
fn call_unanswered(controller: &Rc<Controller>) {
    let replica = controller.replica.borrow();
    let mut fleet = controller.fleet.borrow_mut();
    for (id, entry) in &replica.provisioning_requests {
        if entry.value.machines.is_empty() && fleet.calling.insert(id.clone()) {
            let controller = controller.clone();
            let id = id.clone();
            let rental = entry.clone();
            tokio::task::spawn_local(async move {
                complete_rental(&controller, &id, rental).await;
                controller.fleet.borrow_mut().calling.remove(&id);
            });
        }
    }
}

/// Calls the cloud for one recorded rental, and records the answer.
async fn complete_rental(controller: &Controller, id: &str, recorded: Entry<ProvisioningRequest>) {
    let Entry {
        version,
        value: mut rental,
    } = recorded;
    let Some(response) = request_rental(controller, id, version, &rental).await else {
        return;
    };
    let fell_short = take_answer(controller, &mut rental, &response);
    note_capacity(controller, &rental, fell_short);
    let key = rental_key(id);
    let guards = vec![guard(key.clone(), version)];
    let write = match rental.machines.is_empty() {
        true => Write::Delete { key },
        false => put(key, &rental),
    };
    if let Err(error) = controller
        .commit(RequestClass::Lease, guards, vec![write])
        .await
    {
        // The next pass asks the cloud again and gets the same names.
        tracing::debug!(%error, "rental not settled");
    }
}

/// Asks the cloud for a rental's machines, if its record still stands as it was
/// when the call's turn has come.
async fn request_rental(
    controller: &Controller,
    id: &str,
    version: u64,
    rental: &ProvisioningRequest,
) -> Option<Response> {
    let request = CreateMachinesRequest {
        idempotency_key: id,
        machine_type: &rental.kind,
        zone: &rental.zone,
        spot: rental.spot,
        count: rental.count,
    };
    let body = serde_json::to_vec(&request).ok()?;
    let stands = || {
        let replica = controller.replica.borrow();
        let recorded = replica.provisioning_requests.get(id);
        recorded.is_some_and(|entry| entry.version == version)
    };
    controller
        .cloud_if("POST", "/rentals", Some(body), stands)
        .await
}

/// Takes the machines that the cloud has delivered into the rental; whether
/// they are fewer than was asked for.
fn take_answer(
    controller: &Controller,
    rental: &mut ProvisioningRequest,
    response: &Response,
) -> bool {
    let mut fell_short = true;
    if response.status == 200
        && let Ok(names) = response.parse::<MachineIds>()
    {
        fell_short = (names.machines.len() as u32) < rental.count;
        let replica = controller.replica.borrow();
        // The workers of some may have been quicker than the answer.
        rental.machines = names.machines;
        rental
            .machines
            .retain(|id| !replica.machines.contains_key(id));
    }
    if fell_short {
        tracing::info!(
            kind = rental.kind,
            zone = rental.zone,
            spot = rental.spot,
            status = response.status,
            got = rental.machines.len(),
            "no capacity"
        );
    }
    fell_short
}

/// Notes whether the cloud had capacity for the rental's offer.
fn note_capacity(controller: &Controller, rental: &ProvisioningRequest, fell_short: bool) {
    let offer = Offer::of_rental(rental);
    let mut fleet = controller.fleet.borrow_mut();
    if fell_short {
        let pause = Duration::from_secs_f64(controller.settings.deployment.cloud.list_lag_s);
        fleet.note_refusal(offer, pause, Instant::now());
    } else {
        fleet.clear_refusal(&offer);
    }
}

/// The rental that still has this machine among those that boot.
pub(super) fn rental_of<'a>(
    replica: &'a Replica,
    machine: &str,
) -> Option<(&'a String, &'a Entry<ProvisioningRequest>)> {
    let mut provisioning_requests = replica.provisioning_requests.iter();
    provisioning_requests.find(|(_, entry)| entry.value.machines.iter().any(|id| id == machine))
}
