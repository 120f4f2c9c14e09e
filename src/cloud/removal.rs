//! Removal of machines from service: decided, decided again once the budget of
//! writes is there, and then written.

use std::fmt;

use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::new_machines::{NewMachine, provisioned_but_not_up, record_machines};
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::records::MachineLifecycle;

/// Why a machine leaves service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RemovalReason {
    /// Its worker's reports arrive here, but no answer and no command does there.
    Unreachable,
    /// Nothing has come from its worker for too long.
    Silent,
    /// Jobs that failed there have succeeded elsewhere.
    Faulty,
    /// No controller that is up holds it.
    Orphaned,
    /// It was draining, and its work has ended.
    Drained,
    /// It costs more than the work that it runs is worth.
    OpportunisticOnly,
    /// Nothing has run there for long enough.
    Idle,
    /// It has not reported within the limit for boots.
    BootTimeout,
}

impl fmt::Display for RemovalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RemovalReason::Unreachable => "unreachable: reports, but receives nothing",
            RemovalReason::Silent => "silent: no reports",
            RemovalReason::Faulty => "faulty: jobs that failed there succeeded elsewhere",
            RemovalReason::Orphaned => "orphaned: its owner is not up",
            RemovalReason::Drained => "drained",
            RemovalReason::OpportunisticOnly => "runs opportunistic work only",
            RemovalReason::Idle => "idle",
            RemovalReason::BootTimeout => "boot timed out",
        })
    }
}

/// A machine that is to leave service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MachineRemoval {
    pub(super) machine: String,
    /// Its next lifecycle state: draining or returning.
    pub(super) lifecycle: MachineLifecycle,
    pub(super) reason: RemovalReason,
}

impl MachineRemoval {
    /// The machine takes no new work, and is decommissioned once its work has ended.
    pub(super) fn drain(machine: &str, reason: RemovalReason) -> Self {
        MachineRemoval::new(machine, MachineLifecycle::Draining, reason)
    }

    /// The machine is given back to the cloud.
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

/// Decides which machines leave, and carries it out. What is found is decided
/// again once the budget is there: it may have waited, or this process may have
/// been paused, and a silent worker may have reported meanwhile.
pub(super) async fn remove_machines(
    controller: &Controller,
    decide: fn(&Controller) -> Vec<MachineRemoval>,
) {
    if decide(controller).is_empty() {
        return;
    }
    controller
        .store
        .wait_for_budget(RequestClass::Lifecycle, 1)
        .await;
    if !controller.is_state_service_reachable() {
        return;
    }
    let (recorded, unrecorded): (Vec<MachineRemoval>, Vec<MachineRemoval>) = {
        let removals = decide(controller);
        let replica = controller.replica.borrow();
        removals
            .into_iter()
            .partition(|removal| replica.machines.contains_key(&removal.machine))
    };
    change_lifecycles(controller, &recorded).await;
    let not_up: Vec<NewMachine> = {
        let replica = controller.replica.borrow();
        unrecorded
            .iter()
            .filter_map(|removal| provisioned_but_not_up(&replica, &removal.machine))
            .collect()
    };
    record_machines(controller, &not_up).await;
}

/// Writes the next lifecycle states of machines that have a record.
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
