//! Rentals: the recorded intent, the call to the cloud and its answer.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use super::demand::demand;
use crate::model::{Hire, Life};
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
    resolve_hires(node);
    // What an answer that is awaited refuses is not asked for again.
    if !node.fleet.borrow().calling.is_empty() {
        return;
    }
    let hires = demand(node);
    if hires.is_empty() {
        return;
    }
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    for hire in hires {
        let id = format!(
            "{}-{:x}",
            node.name(),
            node.rng.borrow_mut().random::<u64>()
        );
        tracing::info!(
            kind = hire.kind,
            zone = hire.zone,
            spot = hire.spot,
            count = hire.count,
            "renting"
        );
        // Safety 5: the intent comes before the call, under a unique name.
        guards.push(guard(hire_key(&id), 0));
        writes.push(put(hire_key(&id), &hire));
    }
    // Who has stood still, and rents no more, finds out by this.
    match node.view.borrow().fleet.as_ref() {
        Some(mine) => guards.push(guard(FLEET_KEY.to_string(), mine.version)),
        None => return,
    }
    match node.commit(Class::Lease, guards, writes).await {
        Ok(_) => resolve_hires(node),
        Err(error) => tracing::debug!(%error, "rental not recorded"),
    }
}

/// Calls the cloud for every recorded rental until it has answered: repeating
/// a request by its name rents nothing twice.
fn resolve_hires(node: &Rc<Node>) {
    let view = node.view.borrow();
    let mut fleet = node.fleet.borrow_mut();
    for (id, e) in &view.hires {
        if e.value.machines.is_empty() && fleet.calling.insert(id.clone()) {
            let (node, id, version, hire) = (node.clone(), id.clone(), e.version, e.value.clone());
            tokio::task::spawn_local(async move {
                resolve_hire(&node, &id, version, hire).await;
                node.fleet.borrow_mut().calling.remove(&id);
            });
        }
    }
}

async fn resolve_hire(node: &Node, id: &str, version: u64, mut hire: Hire) {
    let request = RentRequest {
        request: id,
        kind: &hire.kind,
        zone: &hire.zone,
        spot: hire.spot,
        count: hire.count,
    };
    let Ok(body) = serde_json::to_vec(&request) else {
        return;
    };
    let there = || {
        let view = node.view.borrow();
        view.hires.get(id).is_some_and(|e| e.version == version)
    };
    let Some(r) = node.cloud_if("POST", "/rentals", Some(body), there).await else {
        return;
    };
    let mut short = true;
    if r.status == 200
        && let Ok(names) = r.parse::<MachineNames>()
    {
        short = (names.machines.len() as u32) < hire.count;
        let view = node.view.borrow();
        // The workers of some may have been quicker than the answer.
        hire.machines = names.machines;
        hire.machines.retain(|m| !view.machines.contains_key(m));
    }
    if short {
        tracing::info!(
            kind = hire.kind,
            zone = hire.zone,
            spot = hire.spot,
            status = r.status,
            got = hire.machines.len(),
            "no capacity"
        );
    }
    let offer = (hire.kind.clone(), hire.zone.clone(), hire.spot);
    {
        let mut fleet = node.fleet.borrow_mut();
        if short {
            // As often refused, as much longer left alone.
            let base = Duration::from_secs_f64(node.settings.deployment.cloud.list_lag_s);
            let count = fleet.refused.get(&offer).map_or(0, |r| r.1);
            let pause = base * 2u32.pow(count.min(2));
            fleet
                .refused
                .insert(offer, (Instant::now() + pause, count + 1));
        } else {
            fleet.refused.remove(&offer);
        }
    }
    let key = hire_key(id);
    let guards = vec![guard(key.clone(), version)];
    let write = match hire.machines.is_empty() {
        true => Write::Delete { key },
        false => put(key, &hire),
    };
    if let Err(error) = node.commit(Class::Lease, guards, vec![write]).await {
        // The next pass asks the cloud again and gets the same names.
        tracing::debug!(%error, "rental not settled");
    }
}

/// The rental that still has this machine among those that boot.
pub(super) fn hire_of<'a>(view: &'a View, machine: &str) -> Option<(&'a String, &'a Entry<Hire>)> {
    let mut hires = view.hires.iter();
    hires.find(|(_, e)| e.value.machines.iter().any(|m| m == machine))
}

/// Machines that boot: those of rentals that have no record of their own yet,
/// and those that were found in the cloud's list.
pub(super) fn booting(view: &View) -> impl Iterator<Item = (&str, &str, &str, bool)> {
    let rented = view.hires.values().flat_map(|e| {
        let hire = &e.value;
        hire.machines
            .iter()
            .filter(|m| !view.machines.contains_key(*m))
            .map(|m| {
                (
                    m.as_str(),
                    hire.kind.as_str(),
                    hire.zone.as_str(),
                    hire.spot,
                )
            })
    });
    let found = view.machines.iter().filter_map(|(id, e)| {
        let m = &e.value;
        (m.life == Life::Booting).then_some((id.as_str(), m.kind.as_str(), m.zone.as_str(), m.spot))
    });
    rented.chain(found)
}
