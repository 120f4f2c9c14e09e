//! Maintains the list of machine types that the cloud offers. The fleet leader reads the list
//! from the cloud and records it in the state service. All controllers use the recorded list,
//! so it is also available after a restart.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::client::CloudError;
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::commit::{precondition, put};
use crate::state::keys::TYPES_KEY;
use crate::state::records::MachineTypesRecord;
use crate::wire::MachineTypes;

/// The interval between reads of the machine types, as a multiple of the inventory's lag.
const REFRESH_LAGS: u32 = 3;

/// Runs the loop that keeps the recorded machine types equal to those of the cloud.
pub async fn run_machine_type_refresh(controller: Rc<Controller>) {
    let interval = controller.settings.heartbeat_interval() / 3;
    loop {
        // No controller can accept jobs until the machine types are known.
        let known = !controller.replica.borrow().types.value.types.is_empty();
        sleep(if known { interval } else { interval / 16 }).await;
        if controller.is_fleet_leader() && is_refresh_due(&controller) {
            refresh(&controller).await;
        }
    }
}

/// Returns whether the machine types are due to be read again.
fn is_refresh_due(controller: &Controller) -> bool {
    let lag = Duration::from_secs_f64(controller.settings.deployment.cloud.list_lag_s);
    let fleet = controller.fleet.borrow();
    fleet.machine_types_timer.is_due(lag * REFRESH_LAGS)
}

/// Reads the machine types from the cloud.
async fn read_machine_types(controller: &Controller) -> Result<MachineTypesRecord, CloudError> {
    let response = controller.call_cloud("GET", "/flavors", None).await?;
    let MachineTypes { types } = response.parse::<MachineTypes>()?;
    Ok(MachineTypesRecord { types })
}

/// Reads the machine types from the cloud and records them if they have changed.
async fn refresh(controller: &Controller) {
    let types = match read_machine_types(controller).await {
        Ok(types) => types,
        Err(error) => {
            tracing::debug!(%error, "machine types not read");
            return;
        }
    };
    controller.fleet.borrow_mut().machine_types_timer.restart();
    let known = controller.replica.borrow().types.clone();
    let unreadable = controller.replica.borrow().absent_version(TYPES_KEY);
    if known.value == types && unreadable == 0 {
        return;
    }
    let version = known.version.max(unreadable);
    let preconditions = vec![precondition(TYPES_KEY.to_string(), version)];
    let writes = vec![put(TYPES_KEY.to_string(), &types)];
    if let Err(error) = controller
        .commit(RequestClass::Lease, preconditions, writes)
        .await
    {
        tracing::debug!(%error, "machine types not recorded");
        controller.fleet.borrow_mut().machine_types_timer.reset();
    }
}
