//! Counts of the fleet's machines and tasks, for the log and for reports.

use std::collections::BTreeMap;

use super::headroom::free_accelerator_slots;
use crate::controller::Controller;
use crate::scheduler::Plan;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;

/// Returns the number of machines in each lifecycle state.
#[must_use]
pub fn count_machines_by_lifecycle(replica: &Replica) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for entry in replica.machines.values() {
        let name = match entry.value.lifecycle {
            MachineLifecycle::Booting => "booting",
            MachineLifecycle::Active => "active",
            MachineLifecycle::Draining => "draining",
            MachineLifecycle::Returning => "returning",
            MachineLifecycle::Gone => "gone",
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}

/// Logs a summary of the provisioned machines and their load, at most once per worker lease.
pub(super) fn log_fleet_summary(controller: &Controller) {
    {
        let mut fleet = controller.fleet.borrow_mut();
        let interval = controller.settings.worker_lease();
        if !fleet.summary_timer.is_due(interval) {
            return;
        }
        fleet.summary_timer.restart();
    }
    let replica = controller.replica.borrow();
    let plan = Plan::from_replica(&replica);
    let free_accelerator_slots: Vec<(&str, usize)> = replica
        .zone_names
        .all()
        .map(|zone| (zone, free_accelerator_slots(&replica, &plan, Some(zone))))
        .collect();
    tracing::debug!(
        machine_types = ?machines_by_type(&replica),
        tasks = ?tasks_by_class(&replica),
        machines_without_zone_shard = count_machines_without_zone_shard(&replica),
        ?free_accelerator_slots,
        "fleet summary"
    );
}

/// The machines of one type.
#[derive(Debug, Default)]
struct MachineTypeSummary {
    /// The number of machines.
    machines: usize,
    /// The number of CPUs that are booked on these machines.
    booked_cpus: f64,
    /// The total number of CPUs of these machines.
    cpus: f64,
}

/// The tasks of the open jobs of one class.
#[derive(Debug, Default)]
struct TaskSummary {
    /// The number of waiting tasks.
    waiting: usize,
    /// The number of booked tasks.
    booked: usize,
}

/// Returns the machines by type. A type's name is followed by `*` for spot machines and by
/// `?` for machines that are not active.
fn machines_by_type(replica: &Replica) -> BTreeMap<String, MachineTypeSummary> {
    let mut types: BTreeMap<String, MachineTypeSummary> = BTreeMap::new();
    for (id, entry) in &replica.machines {
        let machine = &entry.value;
        let spot = if machine.spot { "*" } else { "" };
        let inactive = if is_active(machine) { "" } else { "?" };
        let name = format!("{}{spot}{inactive}", machine.kind);
        let summary = types.entry(name).or_default();
        summary.machines += 1;
        summary.booked_cpus += replica.booked_on(id).resources.cpus.units();
        summary.cpus += replica
            .machine_type(&machine.kind)
            .map_or(0.0, |machine_type| machine_type.cpus);
    }
    types
}

/// Returns the tasks of the open jobs by the class of the job.
fn tasks_by_class(replica: &Replica) -> BTreeMap<&str, TaskSummary> {
    let mut classes: BTreeMap<&str, TaskSummary> = BTreeMap::new();
    for (_, id) in &replica.open_jobs {
        if let Some(job) = replica.jobs.get(id).map(|entry| &entry.value)
            && let Some(spec) = &job.spec
        {
            let summary = classes.entry(&spec.class).or_default();
            summary.waiting += job.waiting_count();
            summary.booked += job.booked_count();
        }
    }
    classes
}

/// Returns the number of active machines that are in no zone shard's record. No controller
/// places tasks on these machines yet.
fn count_machines_without_zone_shard(replica: &Replica) -> usize {
    let active = replica
        .machines
        .iter()
        .filter(|(_, entry)| is_active(&entry.value));
    active.filter(|(id, _)| replica.slot(id).is_none()).count()
}

/// Returns whether a machine is active.
fn is_active(machine: &Machine) -> bool {
    machine.lifecycle == MachineLifecycle::Active
}
