//! The state lease of this controller and the keys that are tied to it: the one
//! that says that it is up, and the one that says which controller is the fleet
//! leader.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::commit::{precondition, put};
use crate::state::keys::{FLEET_KEY, FORMATS_KEY, controller_key};
use crate::state::records::ControllerRecord;
use crate::state::replica::Replica;
use crate::wire::{Commit, Precondition, Write, to_raw_json};

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
        match maintain_lease(&controller).await {
            Ok(LeaseProgress::NewLease) => continue,
            Ok(LeaseProgress::Maintained) => {}
            Err(error) => tracing::debug!(%error, "state lease not maintained"),
        }
        sleep(controller.store.jitter(tick)).await;
    }
}

/// What one pass has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseProgress {
    /// A lease that is new: the keys are to be tied to it at once.
    NewLease,
    /// All that could be done now is done.
    Maintained,
}

/// Whether the state lease still stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseStatus {
    Valid,
    Expired,
}

/// Keeps this controller's state lease, the key that says it is up, and, when
/// nobody has it, the key that says who is the fleet leader.
async fn maintain_lease(controller: &Controller) -> Result<LeaseProgress, StoreError> {
    let ttl = controller.settings.worker_lease() / 2;
    let held = controller.fleet.borrow().state_lease();
    let Some(lease) = held else {
        let lease = controller.store.acquire_lease(ttl).await?;
        controller.fleet.borrow_mut().record_state_lease(lease);
        return Ok(LeaseProgress::NewLease);
    };
    if extend_if_due(controller, lease, ttl).await? == LeaseStatus::Valid {
        write_leased_keys(controller, lease).await?;
    }
    Ok(LeaseProgress::Maintained)
}

/// Extends the lease when a quarter of its time has passed.
async fn extend_if_due(
    controller: &Controller,
    lease: u64,
    ttl: Duration,
) -> Result<LeaseStatus, StoreError> {
    if !controller.fleet.borrow().is_extension_due(ttl / 4) {
        return Ok(LeaseStatus::Valid);
    }
    match controller.store.renew_lease(lease).await {
        Ok(()) => {
            controller.fleet.borrow_mut().record_state_lease(lease);
            Ok(LeaseStatus::Valid)
        }
        Err(StoreError::NoLease) => {
            tracing::info!(controller = controller.name(), "state lease expired");
            controller.fleet.borrow_mut().clear_state_lease();
            Ok(LeaseStatus::Expired)
        }
        Err(error) => Err(error),
    }
}

/// Writes the keys that do not say yet what they should.
async fn write_leased_keys(controller: &Controller, lease: u64) -> Result<(), StoreError> {
    let Commit {
        preconditions,
        writes,
    } = KeyEdits::missing(controller, &controller.replica.borrow(), lease).into_commit();
    if writes.is_empty() {
        return Ok(());
    }
    let takes_fleet_key = preconditions
        .iter()
        .any(|precondition| precondition.key == FLEET_KEY);
    match controller
        .commit(RequestClass::Lease, preconditions, writes)
        .await
    {
        Ok(_) => {
            if takes_fleet_key {
                tracing::info!(controller = controller.name(), "became fleet leader");
            }
            Ok(())
        }
        Err(StoreError::NoLease) => {
            controller.fleet.borrow_mut().clear_state_lease();
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// The commit that ties to the lease what is not tied to it, and that adds the
/// formats which other controllers have been seen to know.
struct KeyEdits<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    lease: u64,
    /// What this controller's keys are to say.
    own_record: ControllerRecord,
    preconditions: Vec<Precondition>,
    writes: Vec<Write>,
}

impl<'a> KeyEdits<'a> {
    fn missing(controller: &'a Controller, replica: &'a Replica, lease: u64) -> Self {
        let mut edits = KeyEdits {
            controller,
            replica,
            lease,
            own_record: ControllerRecord {
                controller: controller.name().to_string(),
                incarnation: controller.incarnation,
                formats: controller.settings.formats(),
            },
            preconditions: Vec::new(),
            writes: Vec::new(),
        };
        edits.add_controller_key();
        edits.add_fleet_key();
        edits.add_formats_key();
        edits
    }

    /// The key that says that this controller is up.
    fn add_controller_key(&mut self) {
        match self.replica.controllers.get(self.controller.name()) {
            Some(entry) if entry.value == self.own_record => {}
            other => {
                let key = controller_key(self.controller.name());
                let absent = self.replica.absent_version(&key);
                self.put_own_record(key, other.map_or(absent, |entry| entry.version));
            }
        }
    }

    /// The key that says which controller is the fleet leader.
    fn add_fleet_key(&mut self) {
        match &self.replica.fleet {
            None => {
                let absent = self.replica.absent_version(FLEET_KEY);
                self.put_own_record(FLEET_KEY.to_string(), absent);
            }
            // An earlier run of this process was the fleet leader, and its state
            // lease still stands: it is surely over, and nobody else may take
            // over till then.
            Some(entry)
                if entry.value.controller == self.own_record.controller
                    && entry.value != self.own_record =>
            {
                self.put_own_record(FLEET_KEY.to_string(), entry.version);
            }
            Some(_) => {}
        }
    }

    /// The formats that all controllers know. The key stands with no lease: what
    /// it says is for good.
    fn add_formats_key(&mut self) {
        let (controller, replica) = (self.controller, self.replica);
        let known = &replica.formats;
        let seen = replica
            .controllers
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.value.formats));
        let next = known.value.with(seen, &controller.settings.controllers());
        let unreadable = replica.is_unreadable(FORMATS_KEY);
        if replica.controllers.contains_key(controller.name())
            && (next != known.value || unreadable)
        {
            let version = known.version.max(replica.absent_version(FORMATS_KEY));
            self.preconditions
                .push(precondition(FORMATS_KEY.to_string(), version));
            self.writes.push(put(FORMATS_KEY.to_string(), &next));
        }
    }

    fn put_own_record(&mut self, key: String, version: u64) {
        self.preconditions.push(precondition(key.clone(), version));
        self.writes.push(Write::Put {
            key,
            value: to_raw_json(&self.own_record),
            lease: Some(self.lease),
        });
    }

    fn into_commit(self) -> Commit {
        Commit {
            preconditions: self.preconditions,
            writes: self.writes,
        }
    }
}
