//! The fleet in numbers, for the log and for reports.

use std::collections::BTreeMap;
use std::fmt;

use tokio::time::Instant;

use super::headroom::spare_places;
use crate::controller::Controller;
use crate::scheduler::Plan;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;

/// Machines by state, for the report.
pub fn census(replica: &Replica) -> BTreeMap<&'static str, usize> {
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

/// One line a while on what is rented and how full it is, for a replay.
pub(super) fn log_fleet(controller: &Controller) {
    {
        let mut fleet = controller.fleet.borrow_mut();
        let interval = controller.settings.worker_lease();
        if fleet.logged_at.is_some_and(|at| at.elapsed() < interval) {
            return;
        }
        fleet.logged_at = Some(Instant::now());
    }
    let replica = controller.replica.borrow();
    let plan = Plan::from_replica(&replica);
    let places: Vec<(&str, usize)> = replica
        .zone_names
        .all()
        .map(|zone| (zone, spare_places(&replica, &plan, Some(zone))))
        .collect();
    tracing::debug!(
        kinds = ?machines_by_kind(&replica),
        waiting = ?tasks_by_class(&replica),
        unlisted = unlisted_machines(&replica),
        ?places,
        "fleet (number, CPUs booked, CPUs), tasks (waiting, booked)"
    );
}

/// Machines of one kind.
#[derive(Default)]
struct KindSummary {
    number: usize,
    booked_cpus: f64,
    cpus: f64,
}

impl fmt::Debug for KindSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.number, self.booked_cpus, self.cpus).fmt(f)
    }
}

/// Tasks of one class of jobs.
#[derive(Default)]
struct TaskSummary {
    waiting: usize,
    booked: usize,
}

impl fmt::Debug for TaskSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.waiting, self.booked).fmt(f)
    }
}

/// Machines by type; `*` marks spot machines, `?` those that take no work.
fn machines_by_kind(replica: &Replica) -> BTreeMap<String, KindSummary> {
    let mut kinds: BTreeMap<String, KindSummary> = BTreeMap::new();
    for (id, entry) in &replica.machines {
        let machine = &entry.value;
        let spot = if machine.spot { "*" } else { "" };
        let inactive = if is_active(machine) { "" } else { "?" };
        let name = format!("{}{spot}{inactive}", machine.kind);
        let summary = kinds.entry(name).or_default();
        summary.number += 1;
        summary.booked_cpus += replica.booked_on(id).cpus.units();
        summary.cpus += replica.type_of(&machine.kind).map_or(0.0, |kind| kind.cpus);
    }
    kinds
}

fn tasks_by_class(replica: &Replica) -> BTreeMap<&str, TaskSummary> {
    let mut classes: BTreeMap<&str, TaskSummary> = BTreeMap::new();
    for (_, id) in &replica.open {
        if let Some(job) = replica.jobs.get(id).map(|entry| &entry.value)
            && let Some(spec) = &job.spec
        {
            let summary = classes.entry(&spec.class).or_default();
            summary.waiting += job.waiting();
            summary.booked += job.booked();
        }
    }
    classes
}

/// Active machines that stand in no zone shard's record: nobody counts on them yet.
fn unlisted_machines(replica: &Replica) -> usize {
    let active = replica.machines.iter().filter(|(_, e)| is_active(&e.value));
    active.filter(|(id, _)| replica.slot(id).is_none()).count()
}

fn is_active(machine: &Machine) -> bool {
    machine.lifecycle == MachineLifecycle::Active
}
