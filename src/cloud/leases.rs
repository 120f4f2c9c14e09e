//! The state lease of this controller and the keys that are tied to it: the one
//! that says that it is up, and the one that says which controller rents.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::{guard, put};
use crate::state::keys::{FLEET_KEY, FORMATS_KEY, node_key};
use crate::state::records::ControllerRecord;
use crate::state::replica::Replica;
use crate::wire::{Precondition, Write, to_raw_json};

/// Keeps the state lease by a loop of its own: the cloud's answers and the
/// budget may hold up the rest for longer than it lasts.
pub async fn run_lease_renewal(controller: Rc<Controller>) {
    let tick = controller.settings.worker_lease() / 16;
    let retry = tick / 16;
    loop {
        if !controller.replica.borrow().loaded {
            sleep(retry).await;
            continue;
        }
        match keep_lease(&controller).await {
            Ok(Progress::NewLease) => continue,
            Ok(Progress::Kept) => {}
            Err(error) => tracing::debug!(%error, "state lease"),
        }
        sleep(controller.store.jitter(tick)).await;
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
async fn keep_lease(controller: &Controller) -> Result<Progress, StoreError> {
    let ttl = controller.settings.worker_lease() / 2;
    let held = controller.fleet.borrow().lease;
    let Some(lease) = held else {
        let lease = controller.store.acquire_lease(ttl).await?;
        let mut fleet = controller.fleet.borrow_mut();
        fleet.lease = Some(lease);
        fleet.lease_extended_at = Some(Instant::now());
        return Ok(Progress::NewLease);
    };
    if extend_if_due(controller, lease, ttl).await? {
        sign_keys(controller, lease).await?;
    }
    Ok(Progress::Kept)
}

/// Whether the lease still stands.
async fn extend_if_due(
    controller: &Controller,
    lease: u64,
    ttl: Duration,
) -> Result<bool, StoreError> {
    let extended_at = controller.fleet.borrow().lease_extended_at;
    if extended_at.is_some_and(|extended| extended.elapsed() <= ttl / 4) {
        return Ok(true);
    }
    match controller.store.renew_lease(lease).await {
        Ok(()) => {
            controller.fleet.borrow_mut().lease_extended_at = Some(Instant::now());
            Ok(true)
        }
        Err(StoreError::NoLease) => {
            tracing::info!("the state lease has run out");
            controller.fleet.borrow_mut().lease = None;
            Ok(false)
        }
        Err(error) => Err(error),
    }
}

/// Writes the keys that do not say yet what they should.
async fn sign_keys(controller: &Controller, lease: u64) -> Result<(), StoreError> {
    let (guards, writes) = missing_keys(controller, &controller.replica.borrow(), lease);
    if writes.is_empty() {
        return Ok(());
    }
    let rents = guards.iter().any(|guard| guard.key == FLEET_KEY);
    match controller.commit(RequestClass::Lease, guards, writes).await {
        Ok(_) => {
            if rents {
                tracing::info!("renting from now on");
            }
            Ok(())
        }
        Err(StoreError::NoLease) => {
            controller.fleet.borrow_mut().lease = None;
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// The commit that ties to the lease what is not tied to it, and that adds the
/// formats which other controllers have been seen to know.
fn missing_keys(
    controller: &Controller,
    replica: &Replica,
    lease: u64,
) -> (Vec<Precondition>, Vec<Write>) {
    let me = ControllerRecord {
        controller: controller.name().to_string(),
        incarnation: controller.incarnation,
        formats: controller.settings.formats(),
    };
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    let mut sign = |key: String, version: u64| {
        guards.push(guard(key.clone(), version));
        writes.push(Write::Put {
            key,
            value: to_raw_json(&me),
            lease: Some(lease),
        });
    };
    match replica.controllers.get(controller.name()) {
        Some(entry) if entry.value == me => {}
        other => {
            let key = node_key(controller.name());
            let absent = replica.absent_version(&key);
            sign(key, other.map_or(absent, |entry| entry.version));
        }
    }
    match &replica.fleet {
        None => sign(FLEET_KEY.to_string(), replica.absent_version(FLEET_KEY)),
        // An earlier run of this process rented, and its state lease still
        // stands: it is surely over, and nobody else may rent till then.
        Some(entry) if entry.value.controller == me.controller && entry.value != me => {
            sign(FLEET_KEY.to_string(), entry.version);
        }
        Some(_) => {}
    }
    // It stands with no lease: what it says is for good.
    let known = &replica.formats;
    let seen = replica
        .controllers
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.value.formats));
    let next = known.value.with(seen, &controller.settings.controllers());
    let unreadable = replica.is_unreadable(FORMATS_KEY);
    if replica.controllers.contains_key(controller.name()) && (next != known.value || unreadable) {
        let version = known.version.max(replica.absent_version(FORMATS_KEY));
        guards.push(guard(FORMATS_KEY.to_string(), version));
        writes.push(put(FORMATS_KEY.to_string(), &next));
    }
    (guards, writes)
}
