//! Rentals: the recorded intent, the call to the cloud and its answer.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use super::demand::demand;
use super::offers::Offer;
use crate::http::Response;
use crate::model::Hire;
use crate::node::{Node, guard, put};
use crate::store::Class;
use crate::view::{Entry, FLEET_KEY, View, hire_key};
use crate::wire::{MachineNames, RentRequest, Write};

/// Rents what is missing, apart from the rest: work waits for it.
pub async fn keep_renting(node: Rc<Node>) {
    let tick = node.settings.report().min(node.settings.lease() / 8) / 2;
    loop {
        sleep(node.store.jitter(tick)).await;
        if node.view.borrow().loaded && node.is_renter() && node.has_state() {
            rent(&node).await;
        }
    }
}

async fn rent(node: &Rc<Node>) {
    call_unanswered(node);
    // What an answer that is awaited refuses is not asked for again.
    if !node.fleet.borrow().calling.is_empty() {
        return;
    }
    let rentals = demand(node);
    if rentals.is_empty() {
        return;
    }
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    for rental in rentals {
        let id = new_rental_id(node);
        tracing::info!(
            kind = rental.kind,
            zone = rental.zone,
            spot = rental.spot,
            count = rental.count,
            "renting"
        );
        // Safety 5: the intent comes before the call, under a unique name.
        guards.push(guard(hire_key(&id), 0));
        writes.push(put(hire_key(&id), &rental));
    }
    // Who has stood still, and rents no more, finds out by this.
    match node.view.borrow().fleet.as_ref() {
        Some(renter) => guards.push(guard(FLEET_KEY.to_string(), renter.version)),
        None => return,
    }
    match node.commit(Class::Lease, guards, writes).await {
        Ok(_) => call_unanswered(node),
        Err(error) => tracing::debug!(%error, "rental not recorded"),
    }
}

/// A name that no other rental has had.
fn new_rental_id(node: &Node) -> String {
    let number = node.rng.borrow_mut().random::<u64>();
    format!("{}-{number:x}", node.name())
}

/// Calls the cloud for every recorded rental until it has answered: repeating
/// a request by its name rents nothing twice.
fn call_unanswered(node: &Rc<Node>) {
    let view = node.view.borrow();
    let mut fleet = node.fleet.borrow_mut();
    for (id, entry) in &view.hires {
        if entry.value.machines.is_empty() && fleet.calling.insert(id.clone()) {
            let node = node.clone();
            let id = id.clone();
            let rental = entry.clone();
            tokio::task::spawn_local(async move {
                complete_rental(&node, &id, rental).await;
                node.fleet.borrow_mut().calling.remove(&id);
            });
        }
    }
}

/// Calls the cloud for one recorded rental, and records the answer.
async fn complete_rental(node: &Node, id: &str, recorded: Entry<Hire>) {
    let Entry {
        version,
        value: mut rental,
    } = recorded;
    let Some(response) = request_rental(node, id, version, &rental).await else {
        return;
    };
    let is_short = take_answer(node, &mut rental, &response);
    note_capacity(node, &rental, is_short);
    let key = hire_key(id);
    let guards = vec![guard(key.clone(), version)];
    let write = match rental.machines.is_empty() {
        true => Write::Delete { key },
        false => put(key, &rental),
    };
    if let Err(error) = node.commit(Class::Lease, guards, vec![write]).await {
        // The next pass asks the cloud again and gets the same names.
        tracing::debug!(%error, "rental not settled");
    }
}

/// Asks the cloud for a rental's machines, if its record still stands as it was
/// when the call's turn has come.
async fn request_rental(node: &Node, id: &str, version: u64, rental: &Hire) -> Option<Response> {
    let request = RentRequest {
        request: id,
        kind: &rental.kind,
        zone: &rental.zone,
        spot: rental.spot,
        count: rental.count,
    };
    let body = serde_json::to_vec(&request).ok()?;
    let stands = || {
        let view = node.view.borrow();
        let recorded = view.hires.get(id);
        recorded.is_some_and(|entry| entry.version == version)
    };
    node.cloud_if("POST", "/rentals", Some(body), stands).await
}

/// Takes the machines that the cloud has delivered into the rental; whether
/// they are fewer than was asked for.
fn take_answer(node: &Node, rental: &mut Hire, response: &Response) -> bool {
    let mut is_short = true;
    if response.status == 200
        && let Ok(names) = response.parse::<MachineNames>()
    {
        is_short = (names.machines.len() as u32) < rental.count;
        let view = node.view.borrow();
        // The workers of some may have been quicker than the answer.
        rental.machines = names.machines;
        rental.machines.retain(|id| !view.machines.contains_key(id));
    }
    if is_short {
        tracing::info!(
            kind = rental.kind,
            zone = rental.zone,
            spot = rental.spot,
            status = response.status,
            got = rental.machines.len(),
            "no capacity"
        );
    }
    is_short
}

/// Notes whether the cloud had capacity for the rental's offer.
fn note_capacity(node: &Node, rental: &Hire, is_short: bool) {
    let offer = Offer::of_rental(rental);
    let mut fleet = node.fleet.borrow_mut();
    if is_short {
        let pause = Duration::from_secs_f64(node.settings.deployment.cloud.list_lag_s);
        fleet.note_refusal(offer, pause, Instant::now());
    } else {
        fleet.clear_refusal(&offer);
    }
}

/// The rental that still has this machine among those that boot.
pub(super) fn rental_of<'a>(
    view: &'a View,
    machine: &str,
) -> Option<(&'a String, &'a Entry<Hire>)> {
    let mut rentals = view.hires.iter();
    rentals.find(|(_, entry)| entry.value.machines.iter().any(|id| id == machine))
}
