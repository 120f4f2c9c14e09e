//! Removal of machines from service: decided, decided again once the budget of
//! writes is there, and then written.

use super::lifecycle::{LifecycleChange, set_lifecycles};
use super::list::{NewMachine, record_machines, rented_but_not_up};
use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::records::MachineLifecycle;

/// Why a machine leaves service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// Its worker's reports arrive here, but no answer and no order does there.
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
    OnlyFillers,
    /// Nothing has run there for long enough.
    Idle,
    /// It has not reported within the limit for boots.
    NeverCameUp,
}

impl Reason {
    /// The reason as the log says it.
    fn as_str(self) -> &'static str {
        match self {
            Reason::Unreachable => "reports, but hears nothing",
            Reason::Silent => "silent",
            Reason::Faulty => "fails what succeeds elsewhere",
            Reason::Orphaned => "reports to nobody",
            Reason::Drained => "drained",
            Reason::OnlyFillers => "holds up fillers alone",
            Reason::Idle => "idle",
            Reason::NeverCameUp => "never came up",
        }
    }
}

/// A machine that is to leave service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Removal {
    pub(super) machine: String,
    /// Its next state: draining or returning.
    pub(super) lifecycle: MachineLifecycle,
    pub(super) reason: Reason,
}

impl Removal {
    pub(super) fn new(machine: &str, lifecycle: MachineLifecycle, reason: Reason) -> Self {
        Removal {
            machine: machine.to_string(),
            lifecycle,
            reason,
        }
    }
}

/// Decides which machines leave, and carries it out. What is found is decided
/// again once the budget is there: it may have waited, or this process may have
/// stood still, and who was silent may have been heard meanwhile.
pub(super) async fn remove_machines(
    controller: &Controller,
    decide: fn(&Controller) -> Vec<Removal>,
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
    let (recorded, unrecorded): (Vec<Removal>, Vec<Removal>) = {
        let removals = decide(controller);
        let replica = controller.replica.borrow();
        removals
            .into_iter()
            .partition(|removal| replica.machines.contains_key(&removal.machine))
    };
    change_recorded(controller, &recorded).await;
    let never_up: Vec<NewMachine> = {
        let replica = controller.replica.borrow();
        unrecorded
            .iter()
            .filter_map(|removal| rented_but_not_up(&replica, &removal.machine))
            .collect()
    };
    record_machines(controller, &never_up).await;
}

async fn change_recorded(controller: &Controller, removals: &[Removal]) {
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
                why = removal.reason.as_str(),
                "leaves service"
            );
        }
    }
}
