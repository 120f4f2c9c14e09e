//! The fleet in numbers, for the log and for reports.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::headroom::spare_places;
use crate::admission::Plan;
use crate::model::{Life, Machine};
use crate::node::Node;
use crate::view::View;

/// One line a while on what is rented and how full it is, for a replay.
pub(super) fn describe(node: &Node) {
    {
        let mut fleet = node.fleet.borrow_mut();
        let due = node.settings.lease();
        if fleet.described_at.is_some_and(|t| t.elapsed() < due) {
            return;
        }
        fleet.described_at = Some(Instant::now());
    }
    let view = node.view.borrow();
    let mut kinds: BTreeMap<String, (usize, f64, f64)> = BTreeMap::new();
    for (id, e) in &view.machines {
        let m = &e.value;
        let name = format!(
            "{}{}{}",
            m.kind,
            if m.spot { "*" } else { "" },
            if m.life == Life::Active { "" } else { "?" }
        );
        let entry = kinds.entry(name).or_default();
        entry.0 += 1;
        entry.1 += view.booked_on(id).cpus.units();
        entry.2 += view.type_of(&m.kind).map_or(0.0, |t| t.cpus);
    }
    // Machines that nobody counts on yet, and where work on accelerators fits.
    let active = |m: &Machine| m.life == Life::Active;
    let machines = view.machines.iter().filter(|(_, e)| active(&e.value));
    let unlisted = machines.filter(|(id, _)| view.slot(id).is_none()).count();
    let plan = Plan::of(&view);
    let places: Vec<(&str, usize)> = view
        .zone_names
        .all()
        .map(|zone| (zone, spare_places(&view, &plan, Some(zone))))
        .collect();
    let mut waiting: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (_, id) in &view.open {
        if let Some(job) = view.jobs.get(id).map(|e| &e.value)
            && let Some(spec) = &job.spec
        {
            let entry = waiting.entry(&spec.class).or_default();
            entry.0 += job.waiting();
            entry.1 += job.booked();
        }
    }
    tracing::debug!(
        ?kinds,
        ?waiting,
        unlisted,
        ?places,
        "fleet (number, CPUs booked, CPUs), tasks (waiting, booked)"
    );
}

/// Machines by life, for the report.
pub fn census(view: &View) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for e in view.machines.values() {
        let name = match e.value.life {
            Life::Booting => "booting",
            Life::Active => "active",
            Life::Draining => "draining",
            Life::Returning => "returning",
            Life::Gone => "gone",
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}
