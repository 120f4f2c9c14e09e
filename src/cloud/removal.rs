//! Removes machines from service. A decision can be outdated by the time the write budget
//! allows its commit. Therefore it is made again at that time, and only then committed.

use std::fmt;

use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::unrecorded_machines::{UnrecordedMachine, record_machines, unbooted_machine};
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::records::MachineLifecycle;

/// The reason why a machine is removed from service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RemovalReason {
    /// The worker's messages arrive, but no answers or commands reach the worker.
    Unreachable,
    /// No message of the worker has arrived for too long.
    Silent,
    /// A job that failed on the machine has since succeeded on another machine.
    Faulty,
    /// The controller that owns the machine has not been up for too long.
    Orphaned,
    /// The machine was draining, and its work has ended.
    Drained,
    /// The machine runs only opportunistic work and costs more than such work is worth.
    OpportunisticOnly,
    /// The machine has run no work for longer than the idle limit.
    Idle,
    /// The machine's worker has not sent a heartbeat within the boot limit.
    BootTimeout,
}

impl fmt::Display for RemovalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RemovalReason::Unreachable => "unreachable: sends heartbeats, but receives nothing",
            RemovalReason::Silent => "silent: no messages",
            RemovalReason::Faulty => "faulty: jobs that failed there succeeded elsewhere",
            RemovalReason::Orphaned => "orphaned: its owner is not up",
            RemovalReason::Drained => "drained",
            RemovalReason::OpportunisticOnly => "runs opportunistic work only",
            RemovalReason::Idle => "idle",
            RemovalReason::BootTimeout => "boot timed out",
        })
    }
}

/// A decision to remove a machine from service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MachineRemoval {
    pub(super) machine: String,
    /// The machine's next lifecycle state: draining or returning.
    pub(super) lifecycle: MachineLifecycle,
    pub(super) reason: RemovalReason,
}

impl MachineRemoval {
    /// Returns a removal by draining: the machine takes no new work, and is
    /// decommissioned once its work has ended.
    pub(super) fn drain(machine: &str, reason: RemovalReason) -> Self {
        MachineRemoval::new(machine, MachineLifecycle::Draining, reason)
    }

    /// Returns a removal by decommissioning: the machine is returned to the cloud.
    pub(super) fn decommission(machine: &str, reason: RemovalReason) -> Self {
        MachineRemoval::new(machine, MachineLifecycle::Returning, reason)
    }

    fn new(machine: &str, lifecycle: MachineLifecycle, reason: RemovalReason) -> Self {
        MachineRemoval {
            machine: machine.to_string(),
            lifecycle,
            reason,
        }
    }
}

/// Removes the machines from service that `find_removals` returns. `find_removals` is called
/// again once the write budget allows the commit: the wait for the budget or a pause of this
/// process may have taken long, and a silent worker may have sent a heartbeat in the
/// meantime.
pub(super) async fn remove_machines(
    controller: &Controller,
    find_removals: fn(&Controller) -> Vec<MachineRemoval>,
) {
    if find_removals(controller).is_empty() {
        return;
    }
    controller
        .state_client
        .wait_for_budget(RequestClass::Lifecycle, 1)
        .await;
    if !controller.is_state_service_reachable() {
        return;
    }
    let (recorded, unrecorded): (Vec<MachineRemoval>, Vec<MachineRemoval>) = {
        let removals = find_removals(controller);
        let replica = controller.replica.borrow();
        removals
            .into_iter()
            .partition(|removal| replica.machines.contains_key(&removal.machine))
    };
    change_lifecycles(controller, &recorded).await;
    let unbooted: Vec<UnrecordedMachine> = {
        let replica = controller.replica.borrow();
        unrecorded
            .iter()
            .filter_map(|removal| unbooted_machine(&replica, &removal.machine))
            .collect()
    };
    record_machines(controller, &unbooted).await;
}

/// Writes the next lifecycle states of machines that have a record, and logs each change.
async fn change_lifecycles(controller: &Controller, removals: &[MachineRemoval]) {
    let changes: Vec<LifecycleChange> = removals
        .iter()
        .map(|removal| LifecycleChange::new(&removal.machine, removal.lifecycle))
        .collect();
    let changed = set_lifecycles(controller, &changes).await;
    for removal in removals {
        if changed.contains(&removal.machine) {
            tracing::info!(
                machine = removal.machine,
                lifecycle = ?removal.lifecycle,
                reason = %removal.reason,
                "machine leaves service"
            );
        }
    }
}
