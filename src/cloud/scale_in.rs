//! Scale-in: returns machines to the cloud and deletes the records of those that are
//! gone.

use tokio::time::Instant;

use super::client::CloudError;
use super::commit::commit_unless_empty;
use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::record_deletions::plan_record_deletions;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::records::MachineLifecycle;
use crate::state::replica::Replica;
use crate::wire::MachineIds;

/// The maximum number of machines that one call returns to the cloud.
const MAX_MACHINES_PER_CALL: usize = 100;

/// Returns the machines in the `Returning` state to the cloud and deletes the records of
/// those in the `Gone` state that have no bookings.
pub(super) async fn scale_in(controller: &Controller) {
    let (returning, gone) = {
        let replica = controller.replica.borrow();
        let returning = machines_in_state(&replica, MachineLifecycle::Returning)
            .take(MAX_MACHINES_PER_CALL)
            .cloned()
            .collect::<Vec<_>>();
        let gone = machines_in_state(&replica, MachineLifecycle::Gone)
            .filter(|id| !replica.bookings.contains_key(*id))
            .take(controller.settings.max_writes_per_commit())
            .cloned()
            .collect::<Vec<_>>();
        (returning, gone)
    };
    if !returning.is_empty() {
        match decommission(controller, &returning).await {
            Ok(()) => record_decommissioned(controller, returning).await,
            Err(error) => tracing::debug!(%error, "machines not decommissioned"),
        }
    }
    delete_records(controller, &gone).await;
}

/// Returns the IDs of the machines in a lifecycle state.
fn machines_in_state(
    replica: &Replica,
    lifecycle: MachineLifecycle,
) -> impl Iterator<Item = &String> {
    replica
        .machines
        .iter()
        .filter(move |(_, entry)| entry.value.lifecycle == lifecycle)
        .map(|(id, _)| id)
}

/// Returns machines to the cloud.
async fn decommission(controller: &Controller, machines: &[String]) -> Result<(), CloudError> {
    let body = serde_json::to_vec(&MachineIds {
        machines: machines.to_vec(),
    })?;
    let response = controller
        .call_cloud("POST", "/rentals/return", Some(body))
        .await?;
    match response.status {
        200 => Ok(()),
        status => Err(CloudError::Refused(status)),
    }
}

/// Records that the cloud has taken machines back: deletes the records of machines without
/// bookings and marks the others as gone.
async fn record_decommissioned(controller: &Controller, decommissioned: Vec<String>) {
    let now = Instant::now();
    // Most machines have no bookings, so their records can be deleted immediately. The
    // records of the others are deleted once their bookings are released.
    let (booked, empty): (Vec<String>, Vec<String>) = {
        let replica = controller.replica.borrow();
        let is_booked = |id: &String| replica.bookings.contains_key(id);
        decommissioned.iter().cloned().partition(is_booked)
    };
    let changes: Vec<LifecycleChange> = booked
        .iter()
        .map(|id| LifecycleChange::new(id, MachineLifecycle::Gone))
        .collect();
    set_lifecycles(controller, &changes).await;
    delete_records(controller, &empty).await;
    let mut fleet = controller.fleet.borrow_mut();
    for id in decommissioned {
        fleet.confirm_gone(id, now);
    }
}

/// Deletes the records of machines that the cloud has taken back.
async fn delete_records(controller: &Controller, ids: &[String]) {
    let commit = plan_record_deletions(&controller.settings, &controller.replica.borrow(), ids);
    if let Err(error) = commit_unless_empty(controller, RequestClass::Publication, commit).await {
        tracing::debug!(%error, "records of gone machines not deleted");
    }
}
