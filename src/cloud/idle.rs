//! Machines that the renter sends away.

use std::collections::HashSet;
use std::time::Duration;

use super::headroom::{headroom, spare_places};
use super::offers::{cheapest_of, cost, machine_facts};
use super::removal::Leaving;
use super::rentals::booting;
use crate::admission::{self, Plan};
use crate::model::{Life, Room};
use crate::node::Node;
use crate::settings::Settings;
use crate::view::View;
use crate::wire::MachineType;

/// Whether all that a machine runs fills idle time, at a price that such work
/// is not worth.
fn only_fillers(
    view: &View,
    settings: &Settings,
    machine: &str,
    kind: &MachineType,
    spot: bool,
) -> bool {
    view.jobs_on(machine).all(|(id, e)| {
        let spec = e.value.spec.as_ref().filter(|_| e.value.is_open());
        !view.is_needed(id)
            && spec.is_some_and(|s| {
                let slots = Room::of_type(kind).slots(&s.need).max(1) as f64;
                let worth = cheapest_of(view, s) * FILLER_PRICE;
                admission::is_filler(s, settings) && cost(kind, spot) / slots > worth
            })
    })
}

/// How many times the cheapest price a machine may cost that is kept for work
/// that only fills idle time.
const FILLER_PRICE: f64 = 4.0;

/// Machines that the renter sends away, and why.
pub(super) fn judge(node: &Node) -> Leaving {
    let now = node.pulse();
    let view = node.view.borrow();
    let mut fleet = node.fleet.borrow_mut();
    // A zone that is cut off has all its machines held by controllers that are
    // cut off with it: they come back together, and to return them would be to
    // rent a third of the fleet anew.
    let orphaned = node.settings.lease() * 3;
    let settings = &node.settings;
    let plan = Plan::of(&view);
    let kept = headroom(node, &view, &plan);
    let mut spare = spare_places(&view, &plan, None);
    let mut leaving = Vec::new();
    for (id, entry) in &view.machines {
        let m = &entry.value;
        let Some(kind) = view.type_of(&m.kind) else {
            continue;
        };
        let facts = machine_facts(kind, m.spot);
        let policy = &node.settings.policy;
        match m.life {
            Life::Booting => {}
            Life::Active | Life::Draining => {
                // A worker whose controller is gone reports to another one
                // soon, and is claimed by it; if not, it is gone, too.
                let held = view
                    .nodes
                    .get(&m.holder)
                    .is_some_and(|n| n.value.incarnation == m.incarnation);
                if held {
                    fleet.first_seen.remove(id);
                } else {
                    let first = *fleet.first_seen.entry(id.clone()).or_insert(now);
                    if now.saturating_duration_since(first) > orphaned {
                        leaving.push((id.clone(), Life::Returning, "reports to nobody"));
                        continue;
                    }
                }
                // Work that fills what stands idle does not keep a machine that
                // costs more than such work may: it saves, and goes elsewhere.
                let booked = view.bookings.contains_key(id);
                let pinned = booked && !only_fillers(&view, settings, id, kind, m.spot);
                if pinned || (booked && m.life == Life::Draining) {
                    if !pinned {
                        fleet.recalled.insert(id.clone());
                    }
                    fleet.empty_since.remove(id);
                    continue;
                }
                let since = *fleet.empty_since.entry(id.clone()).or_insert(now);
                let idle = now.saturating_duration_since(since);
                if m.life == Life::Draining {
                    leaving.push((id.clone(), Life::Returning, "drained"));
                } else if idle > Duration::from_secs_f64(policy.idle_s(&facts)) {
                    // What stands ready for the next gang stays.
                    if kind.gpus > 0.0
                        && let Some(gpu) = &view.gpu_spec
                        && gpu.allows(&m.kind, &m.zone, m.spot)
                    {
                        let here = Room::of_type(kind).slots(&gpu.need);
                        if here > 0 && spare < kept + here {
                            continue;
                        }
                        spare -= here.min(spare);
                    }
                    leaving.push(match booked {
                        true => (id.clone(), Life::Draining, "holds up fillers alone"),
                        false => (id.clone(), Life::Returning, "idle"),
                    });
                }
            }
            Life::Returning | Life::Gone => {}
        }
    }
    let up = |id: &str| {
        let machine = view.machines.get(id).map(|m| &m.value);
        machine.is_some_and(|m| m.life == Life::Active)
    };
    let boots = &mut fleet.boots;
    boots.see(booting(&view), up, now);
    for (id, kind, zone, spot) in booting(&view) {
        let Some(kind) = view.type_of(kind) else {
            continue;
        };
        let first = *fleet.first_seen.entry(id.to_string()).or_insert(now);
        let limit = node
            .settings
            .policy
            .boot_limit_s(&machine_facts(kind, spot));
        let age = now.saturating_duration_since(first).as_secs_f64();
        let late_s = fleet.boots.late_s(kind, zone, limit);
        let pause = Duration::from_secs_f64(late_s);
        if age > late_s && fleet.boots.late.insert(id.to_string()) {
            tracing::info!(machine = id, kind = kind.name, zone, late_s, "is late");
            fleet.boots.fails(id, pause, now);
        }
        if age > limit {
            leaving.push((id.to_string(), Life::Returning, "never came up"));
            fleet.boots.fails(id, pause * 2, now);
        }
    }
    let mut known: HashSet<&str> = view.machines.keys().map(String::as_str).collect();
    known.extend(booting(&view).map(|(id, _, _, _)| id));
    fleet.first_seen.retain(|id, _| known.contains(id.as_str()));
    fleet.sent_home.retain(|id, _| known.contains(id.as_str()));
    fleet.kept.retain(|id, _| known.contains(id.as_str()));
    fleet
        .empty_since
        .retain(|id, _| known.contains(id.as_str()));
    leaving
}
