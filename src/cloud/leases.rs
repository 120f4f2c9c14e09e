//! The state lease of this controller and the keys that are tied to it.

use std::rc::Rc;

use tokio::time::{Instant, sleep};

use crate::model::{FORMATS, Renter};
use crate::node::{Node, guard, put};
use crate::store::{Class, StoreError};
use crate::view::{FLEET_KEY, FORMATS_KEY, node_key};
use crate::wire::{Write, raw};

/// Keeps this controller's state lease, the key that says it is up, and, when
/// nobody has it, the key that says who rents. True when there is more to do
/// at once.
async fn keep_lease(node: &Node) -> Result<bool, StoreError> {
    let ttl = node.settings.lease() / 2;
    let held = node.fleet.borrow().lease;
    let Some(lease) = held else {
        let lease = node.store.hold(ttl).await?;
        let mut fleet = node.fleet.borrow_mut();
        fleet.lease = Some(lease);
        fleet.extended = Some(Instant::now());
        return Ok(true);
    };
    let due = node
        .fleet
        .borrow()
        .extended
        .is_none_or(|t| t.elapsed() > ttl / 4);
    if due {
        match node.store.extend(lease).await {
            Ok(()) => node.fleet.borrow_mut().extended = Some(Instant::now()),
            Err(StoreError::NoLease) => {
                tracing::info!("the state lease has run out");
                node.fleet.borrow_mut().lease = None;
                return Ok(false);
            }
            Err(e) => return Err(e),
        }
    }
    let me = Renter {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        formats: FORMATS,
    };
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    let mut sign = |key: String, version: u64| {
        guards.push(guard(key.clone(), version));
        writes.push(Write::Put {
            key,
            value: raw(&me),
            lease: Some(lease),
        });
    };
    {
        let view = node.view.borrow();
        match view.nodes.get(node.name()) {
            Some(e) if e.value == me => {}
            other => sign(node_key(node.name()), other.map_or(0, |e| e.version)),
        }
        match &view.fleet {
            None => sign(FLEET_KEY.to_string(), 0),
            // An earlier run of this process rented, and its state lease still
            // stands: it is surely over, and nobody else may rent till then.
            Some(e) if e.value.node == me.node && e.value != me => {
                sign(FLEET_KEY.to_string(), e.version);
            }
            Some(_) => {}
        }
        // It stands with no lease: what it says is for good.
        let known = &view.formats;
        let seen = view
            .nodes
            .iter()
            .map(|(n, e)| (n.as_str(), e.value.formats));
        let next = known.value.with(seen, &node.settings.controllers());
        if view.nodes.contains_key(node.name()) && next != known.value {
            guards.push(guard(FORMATS_KEY.to_string(), known.version));
            writes.push(put(FORMATS_KEY.to_string(), &next));
        }
    }
    if writes.is_empty() {
        return Ok(false);
    }
    let rents = guards.iter().any(|g| g.key == FLEET_KEY);
    match node.commit(Class::Lease, guards, writes).await {
        Ok(_) => {
            if rents {
                tracing::info!("renting from now on");
            }
            Ok(false)
        }
        Err(StoreError::NoLease) => {
            node.fleet.borrow_mut().lease = None;
            Ok(false)
        }
        Err(e) => Err(e),
    }
}

/// Keeps the state lease by a loop of its own: the cloud's answers and the
/// budget may hold up the rest for longer than it lasts.
pub async fn keep_leases(node: Rc<Node>) {
    let tick = node.settings.lease() / 16;
    let soon = tick / 16;
    loop {
        if !node.view.borrow().loaded {
            sleep(soon).await;
            continue;
        }
        match keep_lease(&node).await {
            // A lease that is new signs for this controller at once.
            Ok(true) => continue,
            Ok(false) => {}
            Err(error) => tracing::debug!(%error, "state lease"),
        }
        sleep(node.store.jitter(tick)).await;
    }
}
