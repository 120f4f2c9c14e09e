//! Maintains this controller's state lease, which is its lease in the state service, and the
//! keys attached to the lease. These are the controller's own key, which shows that the
//! controller is up, and on the fleet leader the fleet key, which contains the leader's name.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::state::commit::{precondition, put};
use crate::state::keys::{FLEET_KEY, FORMATS_KEY, controller_key};
use crate::state::records::ControllerRecord;
use crate::state::replica::Replica;
use crate::wire::{Commit, Precondition, Write, to_raw_json};

/// Runs the loop that maintains the state lease. It is separate from the other fleet loops,
/// because waiting for the cloud or for the write budget can delay those loops for longer than
/// the lease's time to live.
pub async fn run_lease_renewal(controller: Rc<Controller>) {
    let interval = controller.settings.worker_lease() / 16;
    let retry_interval = interval / 16;
    loop {
        if !controller.replica.borrow().loaded {
            sleep(retry_interval).await;
            continue;
        }
        match maintain_lease(&controller).await {
            Ok(LeaseProgress::NewLease) => continue,
            Ok(LeaseProgress::Maintained) => {}
            Err(error) => tracing::debug!(%error, "state lease not maintained"),
        }
        sleep(controller.state_client.jitter(interval)).await;
    }
}

/// The result of one pass of the lease maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseProgress {
    /// A lease was acquired. The next pass starts immediately and writes the keys that are
    /// attached to the lease.
    NewLease,
    /// The pass has nothing left to do. The next pass starts after the usual interval.
    Maintained,
}

/// The validity of the state lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseStatus {
    Valid,
    Expired,
}

/// Acquires or extends this controller's state lease and writes the keys attached to
/// it: the controller's own key and, if there is no fleet leader, the fleet key.
async fn maintain_lease(controller: &Controller) -> Result<LeaseProgress, StateClientError> {
    let ttl = controller.settings.worker_lease() / 2;
    let current_lease = controller.fleet.borrow().state_lease();
    let Some(lease) = current_lease else {
        let lease = controller.state_client.acquire_lease(ttl).await?;
        controller.fleet.borrow_mut().record_state_lease(lease);
        return Ok(LeaseProgress::NewLease);
    };
    if extend_if_due(controller, lease, ttl).await? == LeaseStatus::Valid {
        write_leased_keys(controller, lease).await?;
    }
    Ok(LeaseProgress::Maintained)
}

/// Extends the lease when a quarter of its time to live has passed.
async fn extend_if_due(
    controller: &Controller,
    lease: u64,
    ttl: Duration,
) -> Result<LeaseStatus, StateClientError> {
    if !controller.fleet.borrow().is_extension_due(ttl / 4) {
        return Ok(LeaseStatus::Valid);
    }
    match controller.state_client.renew_lease(lease).await {
        Ok(()) => {
            controller.fleet.borrow_mut().record_state_lease(lease);
            Ok(LeaseStatus::Valid)
        }
        Err(StateClientError::LeaseExpired) => {
            tracing::info!(controller = controller.name(), "state lease expired");
            controller.fleet.borrow_mut().clear_state_lease();
            Ok(LeaseStatus::Expired)
        }
        Err(error) => Err(error),
    }
}

/// Writes the keys whose stored value is missing or outdated.
async fn write_leased_keys(controller: &Controller, lease: u64) -> Result<(), StateClientError> {
    let Commit {
        preconditions,
        writes,
    } = KeyUpdates::for_outdated_keys(controller, &controller.replica.borrow(), lease)
        .into_commit();
    if writes.is_empty() {
        return Ok(());
    }
    let writes_fleet_key = preconditions
        .iter()
        .any(|precondition| precondition.key == FLEET_KEY);
    match controller
        .commit(RequestClass::Lease, preconditions, writes)
        .await
    {
        Ok(_) => {
            if writes_fleet_key {
                tracing::info!(controller = controller.name(), "became fleet leader");
            }
            Ok(())
        }
        Err(StateClientError::LeaseExpired) => {
            controller.fleet.borrow_mut().clear_state_lease();
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// The builder of a commit that writes the missing or outdated keys. This controller's own key
/// and the fleet key are attached to the lease. The third key contains the record formats that
/// all controllers support.
struct KeyUpdates<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    lease: u64,
    /// The value of this controller's own key and, if it is the fleet leader, of the
    /// fleet key.
    own_record: ControllerRecord,
    preconditions: Vec<Precondition>,
    writes: Vec<Write>,
}

impl<'a> KeyUpdates<'a> {
    /// Returns the updates of all keys that are missing or outdated in the replica.
    fn for_outdated_keys(controller: &'a Controller, replica: &'a Replica, lease: u64) -> Self {
        let mut updates = KeyUpdates {
            controller,
            replica,
            lease,
            own_record: ControllerRecord {
                controller: controller.name().to_string(),
                incarnation: controller.incarnation,
                formats: controller.settings.announced_formats(),
            },
            preconditions: Vec::new(),
            writes: Vec::new(),
        };
        updates.add_controller_key();
        updates.add_fleet_key();
        updates.add_formats_key();
        updates
    }

    /// Adds this controller's own key, which shows that the controller is up.
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

    /// Adds the fleet key if there is no fleet leader or if an earlier run of this
    /// controller holds the key.
    fn add_fleet_key(&mut self) {
        match &self.replica.fleet_leader {
            None => {
                let absent = self.replica.absent_version(FLEET_KEY);
                self.put_own_record(FLEET_KEY.to_string(), absent);
            }
            // An earlier run of this controller was the fleet leader, and that run's state
            // lease has not expired yet. That run has certainly ended, so this run takes over
            // the key. No other controller may do so before the lease expires.
            Some(entry)
                if entry.value.controller == self.own_record.controller
                    && entry.value != self.own_record =>
            {
                self.put_own_record(FLEET_KEY.to_string(), entry.version);
            }
            Some(_) => {}
        }
    }

    /// Adds the formats that all controllers support. The key is not attached to a
    /// lease: a format, once listed, stays listed permanently.
    fn add_formats_key(&mut self) {
        let (controller, replica) = (self.controller, self.replica);
        let recorded = &replica.formats;
        let supported = replica
            .controllers
            .iter()
            .map(|(name, entry)| (name.as_str(), entry.value.formats));
        let next = recorded
            .value
            .with(supported, &controller.settings.controllers());
        let unreadable = replica.is_unreadable(FORMATS_KEY);
        if replica.controllers.contains_key(controller.name())
            && (next != recorded.value || unreadable)
        {
            let version = recorded.version.max(replica.absent_version(FORMATS_KEY));
            self.preconditions
                .push(precondition(FORMATS_KEY.to_string(), version));
            self.writes.push(put(FORMATS_KEY.to_string(), &next));
        }
    }

    /// Adds a guarded write of this controller's record, attached to the lease.
    fn put_own_record(&mut self, key: String, version: u64) {
        self.preconditions.push(precondition(key.clone(), version));
        self.writes.push(Write::Put {
            key,
            value: to_raw_json(&self.own_record),
            lease_id: Some(self.lease),
        });
    }

    /// Returns the commit.
    fn into_commit(self) -> Commit {
        Commit {
            preconditions: self.preconditions,
            writes: self.writes,
        }
    }
}
