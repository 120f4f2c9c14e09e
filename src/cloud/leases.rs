//! The state lease of this controller and the keys that are tied to it: the one
//! that says that it is up, and the one that says which controller rents.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::node::Node;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::{guard, put};
use crate::state::keys::{FLEET_KEY, FORMATS_KEY, node_key};
use crate::state::records::ControllerRecord;
use crate::state::replica::Replica;
use crate::wire::{Guard, Write, raw};

/// Keeps the state lease by a loop of its own: the cloud's answers and the
/// budget may hold up the rest for longer than it lasts.
pub async fn run_lease_renewal(node: Rc<Node>) {
    let tick = node.settings.lease() / 16;
    let retry = tick / 16;
    loop {
        if !node.replica.borrow().loaded {
            sleep(retry).await;
            continue;
        }
        match keep_lease(&node).await {
            Ok(Progress::NewLease) => continue,
            Ok(Progress::Kept) => {}
            Err(error) => tracing::debug!(%error, "state lease"),
        }
        sleep(node.store.jitter(tick)).await;
    }
}

/// What one pass has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// A lease that is new: the keys are to be tied to it at once.
    NewLease,
    /// All that could be done now is done.
    Kept,
}

/// Keeps this controller's state lease, the key that says it is up, and, when
/// nobody has it, the key that says who rents.
async fn keep_lease(node: &Node) -> Result<Progress, StoreError> {
    let ttl = node.settings.lease() / 2;
    let held = node.fleet.borrow().lease;
    let Some(lease) = held else {
        let lease = node.store.hold(ttl).await?;
        let mut fleet = node.fleet.borrow_mut();
        fleet.lease = Some(lease);
        fleet.lease_extended_at = Some(Instant::now());
        return Ok(Progress::NewLease);
    };
    if extend_if_due(node, lease, ttl).await? {
        sign_keys(node, lease).await?;
    }
    Ok(Progress::Kept)
}

/// Whether the lease still stands.
async fn extend_if_due(node: &Node, lease: u64, ttl: Duration) -> Result<bool, StoreError> {
    let extended_at = node.fleet.borrow().lease_extended_at;
    if extended_at.is_some_and(|extended| extended.elapsed() <= ttl / 4) {
        return Ok(true);
    }
    match node.store.extend(lease).await {
        Ok(()) => {
            node.fleet.borrow_mut().lease_extended_at = Some(Instant::now());
            Ok(true)
        }
        Err(StoreError::NoLease) => {
            tracing::info!("the state lease has run out");
            node.fleet.borrow_mut().lease = None;
            Ok(false)
        }
        Err(error) => Err(error),
    }
}

/// Writes the keys that do not say yet what they should.
async fn sign_keys(node: &Node, lease: u64) -> Result<(), StoreError> {
    let (guards, writes) = missing_keys(node, &node.replica.borrow(), lease);
    if writes.is_empty() {
        return Ok(());
    }
    let rents = guards.iter().any(|guard| guard.key == FLEET_KEY);
    match node.commit(RequestClass::Lease, guards, writes).await {
        Ok(_) => {
            if rents {
                tracing::info!("renting from now on");
            }
            Ok(())
        }
        Err(StoreError::NoLease) => {
            node.fleet.borrow_mut().lease = None;
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// The commit that ties to the lease what is not tied to it, and that adds the
/// formats which other controllers have been seen to know.
fn missing_keys(node: &Node, replica: &Replica, lease: u64) -> (Vec<Guard>, Vec<Write>) {
    let me = ControllerRecord {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        formats: node.settings.formats(),
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
    match replica.nodes.get(node.name()) {
        Some(entry) if entry.value == me => {}
        other => {
            let key = node_key(node.name());
            let absent = replica.absent_version(&key);
            sign(key, other.map_or(absent, |entry| entry.version));
        }
    }
    match &replica.fleet {
        None => sign(FLEET_KEY.to_string(), replica.absent_version(FLEET_KEY)),
        // An earlier run of this process rented, and its state lease still
        // stands: it is surely over, and nobody else may rent till then.
        Some(entry) if entry.value.node == me.node && entry.value != me => {
            sign(FLEET_KEY.to_string(), entry.version);
        }
        Some(_) => {}
    }
    // It stands with no lease: what it says is for good.
    let known = &replica.formats;
    let seen = replica
        .nodes
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.value.formats));
    let next = known.value.with(seen, &node.settings.controllers());
    let unreadable = replica.is_unreadable(FORMATS_KEY);
    if replica.nodes.contains_key(node.name()) && (next != known.value || unreadable) {
        let version = known.version.max(replica.absent_version(FORMATS_KEY));
        guards.push(guard(FORMATS_KEY.to_string(), version));
        writes.push(put(FORMATS_KEY.to_string(), &next));
    }
    (guards, writes)
}
