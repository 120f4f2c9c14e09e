//! Finds machines whose boot is overdue or has timed out.

use std::time::Duration;

use tokio::time::Instant;

use super::booting_machines::{BootingMachine, booting_machines};
use super::fleet_state::FleetState;
use super::pricing::machine_facts;
use super::removal::{MachineRemoval, RemovalReason};
use crate::settings::Settings;
use crate::state::records::MachineLifecycle;
use crate::state::replica::Replica;
use crate::wire::MachineType;

/// Updates the boot tracker, records the boots that are overdue, and returns the removals of
/// the machines whose boot has timed out.
pub(super) fn timed_out_boots(
    settings: &Settings,
    replica: &Replica,
    fleet: &mut FleetState,
    now: Instant,
) -> Vec<MachineRemoval> {
    let is_up = |id: &str| {
        let machine = replica.machines.get(id).map(|entry| &entry.value);
        machine.is_some_and(|machine| machine.lifecycle == MachineLifecycle::Active)
    };
    fleet.boots.observe(booting_machines(replica), is_up, now);
    let mut removals = Vec::new();
    for machine in booting_machines(replica) {
        if let Some(machine_type) = replica.machine_type(machine.machine_type) {
            removals.extend(check_boot(settings, fleet, machine, machine_type, now));
        }
    }
    removals
}

/// Records a boot that is overdue, and returns the machine's removal if the boot has timed
/// out.
fn check_boot(
    settings: &Settings,
    fleet: &mut FleetState,
    machine: BootingMachine,
    machine_type: &MachineType,
    now: Instant,
) -> Option<MachineRemoval> {
    let BootingMachine { id, zone, spot, .. } = machine;
    let started_at = fleet.ownerless_since(id, now);
    let age_s = now.saturating_duration_since(started_at).as_secs_f64();
    let limit_s = settings
        .policy
        .boot_limit_s(&machine_facts(machine_type, spot));
    let overdue_after_s = fleet.boots.overdue_after_s(machine_type, zone, limit_s);
    let pause = Duration::from_secs_f64(overdue_after_s);
    if age_s > overdue_after_s && fleet.boots.mark_overdue(id) {
        tracing::info!(
            machine = id,
            machine_type = machine_type.name,
            zone,
            spot,
            overdue_after_s,
            "machine boot overdue"
        );
        fleet.boots.record_failure(id, pause, now);
    }
    if age_s <= limit_s {
        return None;
    }
    fleet.boots.record_failure(id, pause * 2, now);
    Some(MachineRemoval::decommission(id, RemovalReason::BootTimeout))
}
