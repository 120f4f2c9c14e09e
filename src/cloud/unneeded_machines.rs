//! Finds the machines that the fleet leader removes from service: machines without a live
//! owner, machines without work that is worth their price, drained machines, and machines
//! whose boot has timed out.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::booting_machines::booting_machines;
use super::fleet_state::FleetState;
use super::headroom::{free_accelerator_slots, wanted_headroom_slots};
use super::overdue_boots::timed_out_boots;
use super::pricing::{cheapest_slot_price, machine_facts, machine_price};
use super::removal::{MachineRemoval, RemovalReason};
use crate::controller::Controller;
use crate::scheduler::{self, Plan};
use crate::settings::Settings;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::wire::MachineType;

/// The maximum price of a slot, as a multiple of the cheapest slot's price, at which a
/// machine is kept for opportunistic work alone.
const MAX_OPPORTUNISTIC_PRICE_RATIO: f64 = 4.0;

/// The time after which a machine without a live owner is decommissioned, in worker leases.
/// All machines of a zone are owned by controllers in the same zone. When a partition of the
/// zone ends, the machines and their owners return together. If the machines had been
/// decommissioned by then, a third of the fleet might have to be provisioned again.
const ORPHANED_LEASES: u32 = 3;

/// Returns the removals of the machines that are not needed, and discards the in-memory state
/// of machines that no longer exist.
pub(super) fn unneeded_machines(controller: &Controller) -> Vec<MachineRemoval> {
    let now = controller.now_excluding_pauses();
    let replica = controller.replica.borrow();
    let mut fleet = controller.fleet.borrow_mut();
    let mut scan = UnneededMachineScan::new(&controller.settings, &replica, now);
    let mut removals = Vec::new();
    for (id, entry) in &replica.machines {
        let machine = &entry.value;
        if matches!(
            machine.lifecycle,
            MachineLifecycle::Active | MachineLifecycle::Draining
        ) && let Some(machine_type) = replica.machine_type(&machine.kind)
        {
            removals.extend(scan.removal_of(&mut fleet, id, machine, machine_type));
        }
    }
    removals.extend(timed_out_boots(
        &controller.settings,
        &replica,
        &mut fleet,
        now,
    ));
    prune_unknown_machines(controller, &replica, &mut fleet);
    removals
}

/// The state of one pass over the active and draining machines.
struct UnneededMachineScan<'a> {
    settings: &'a Settings,
    replica: &'a Replica,
    now: Instant,
    /// The number of slots to keep free for the next gang that needs accelerators.
    headroom_slots: usize,
    /// The number of free slots for such a gang, excluding those on machines that this pass
    /// has decided to remove.
    free_slots: usize,
}

impl<'a> UnneededMachineScan<'a> {
    fn new(settings: &'a Settings, replica: &'a Replica, now: Instant) -> Self {
        let plan = Plan::from_replica(replica);
        UnneededMachineScan {
            settings,
            replica,
            now,
            headroom_slots: wanted_headroom_slots(settings, replica, &plan),
            free_slots: free_accelerator_slots(replica, &plan, None),
        }
    }

    /// Returns the removal of an active or draining machine, or `None` if the machine stays
    /// in service.
    fn removal_of(
        &mut self,
        fleet: &mut FleetState,
        id: &str,
        machine: &Machine,
        machine_type: &MachineType,
    ) -> Option<MachineRemoval> {
        if self.is_orphaned(fleet, id, machine) {
            return Some(MachineRemoval::decommission(id, RemovalReason::Orphaned));
        }
        let booked = self.replica.bookings.contains_key(id);
        if booked && self.is_kept_for_work(fleet, id, machine, machine_type) {
            fleet.clear_idle(id);
            return None;
        }
        let idle_since = fleet.idle_since(id, self.now);
        if machine.lifecycle == MachineLifecycle::Draining {
            return Some(MachineRemoval::decommission(id, RemovalReason::Drained));
        }
        let idle = self.now.saturating_duration_since(idle_since);
        let facts = machine_facts(machine_type, machine.spot);
        let idle_limit = Duration::from_secs_f64(self.settings.policy.idle_s(&facts));
        if idle <= idle_limit || self.is_kept_as_headroom(machine, machine_type) {
            return None;
        }
        Some(match booked {
            true => MachineRemoval::drain(id, RemovalReason::OpportunisticOnly),
            false => MachineRemoval::decommission(id, RemovalReason::Idle),
        })
    }

    /// Returns whether a machine has had no live owner for longer than `ORPHANED_LEASES`. A
    /// worker whose owner is gone soon sends heartbeats to another controller, which claims
    /// the machine. If that does not happen, the worker is gone too.
    fn is_orphaned(&self, fleet: &mut FleetState, id: &str, machine: &Machine) -> bool {
        let owner = self.replica.controllers.get(&machine.owner);
        if owner.is_some_and(|entry| entry.value.incarnation == machine.incarnation) {
            fleet.clear_ownerless(id);
            return false;
        }
        let ownerless_since = fleet.ownerless_since(id, self.now);
        let limit = self.settings.worker_lease() * ORPHANED_LEASES;
        self.now.saturating_duration_since(ownerless_since) > limit
    }

    /// Returns whether a machine's work keeps it in service. Opportunistic work does not keep
    /// an active machine that costs more than such work is worth: the machine is drained, so
    /// that the work saves its progress and moves elsewhere. A machine that is already
    /// draining stays until its work has ended. It is queued for draining again, in case some
    /// of its work has not been stopped yet.
    fn is_kept_for_work(
        &self,
        fleet: &mut FleetState,
        id: &str,
        machine: &Machine,
        machine_type: &MachineType,
    ) -> bool {
        if !runs_only_overpriced_opportunistic_work(
            self.replica,
            self.settings,
            id,
            machine_type,
            machine.spot,
        ) {
            return true;
        }
        let draining = machine.lifecycle == MachineLifecycle::Draining;
        if draining {
            fleet.queue_drain(id);
        }
        draining
    }

    /// Returns whether an idle machine is kept for the next gang that needs accelerators. If
    /// not, its slots are subtracted from the free slots.
    fn is_kept_as_headroom(&mut self, machine: &Machine, machine_type: &MachineType) -> bool {
        if machine_type.gpus <= 0.0 {
            return false;
        }
        let Some(gpu_spec) = &self.replica.latest_gpu_spec else {
            return false;
        };
        if !gpu_spec.allows(&machine.kind, &machine.zone, machine.spot) {
            return false;
        }
        let slots = machine_type.capacity().task_slots(&gpu_spec.need);
        if slots > 0 && self.free_slots < self.headroom_slots + slots {
            return true;
        }
        self.free_slots -= slots.min(self.free_slots);
        false
    }
}

/// Returns whether a machine runs only opportunistic work and costs more than such work is
/// worth.
fn runs_only_overpriced_opportunistic_work(
    replica: &Replica,
    settings: &Settings,
    machine: &str,
    machine_type: &MachineType,
    spot: bool,
) -> bool {
    replica.jobs_on(machine).all(|(id, entry)| {
        let job = &entry.value;
        let spec = job.spec.as_ref().filter(|_| job.is_open());
        !replica.has_dependents(id)
            && spec.is_some_and(|spec| {
                let slots = machine_type.capacity().task_slots(&spec.need).max(1) as f64;
                let max_price = cheapest_slot_price(replica, spec) * MAX_OPPORTUNISTIC_PRICE_RATIO;
                scheduler::is_opportunistic(spec, settings)
                    && machine_price(machine_type, spot) / slots > max_price
            })
    })
}

/// Discards the in-memory state of machines that are neither recorded nor booting.
fn prune_unknown_machines(controller: &Controller, replica: &Replica, fleet: &mut FleetState) {
    let mut known: HashSet<&str> = replica.machines.keys().map(String::as_str).collect();
    known.extend(booting_machines(replica).map(|machine| machine.id));
    fleet.retain_machines(&known);
    controller.workers.retain_redirects(&known);
}
