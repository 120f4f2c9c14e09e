//! Machines that the fleet_leader sends away: without a owner, without work that is
//! worth their price, drained, or not up in time.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::boots::booting;
use super::headroom::{headroom, spare_places};
use super::offers::{cheapest_place, machine_facts, price_of};
use super::removal::{Reason, Removal};
use super::state::FleetState;
use crate::controller::Controller;
use crate::scheduler::{self, Plan};
use crate::settings::Settings;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::wire::MachineType;

/// How many times the cheapest price a machine may cost that is kept for work
/// that only fills idle time.
const MAX_FILLER_PRICE_RATIO: f64 = 4.0;

/// Machines without a live owner are returned after so many leases. A zone
/// that is partitioned off has all its machines held by controllers that are
/// partitioned off with it: they come back together, and to return them would
/// be to rent a third of the fleet anew.
const ORPHANED_LEASES: u32 = 3;

/// Machines that the fleet_leader sends away, and why.
pub(super) fn unneeded_machines(controller: &Controller) -> Vec<Removal> {
    let now = controller.liveness_tick();
    let replica = controller.replica.borrow();
    let mut fleet = controller.fleet.borrow_mut();
    let mut review = Review::new(controller, &replica, now);
    let mut removals = Vec::new();
    for (id, entry) in &replica.machines {
        let machine = &entry.value;
        if matches!(
            machine.lifecycle,
            MachineLifecycle::Active | MachineLifecycle::Draining
        ) && let Some(kind) = replica.type_of(&machine.kind)
        {
            removals.extend(review.removal_of(&mut fleet, id, machine, kind));
        }
    }
    removals.extend(overdue_boots(controller, &replica, &mut fleet, now));
    forget_unknown(&replica, &mut fleet);
    removals
}

/// One pass over the machines that are up.
struct Review<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    now: Instant,
    /// Places that stay ready for the next gang on accelerators.
    headroom: usize,
    /// Free places for such work, less those on machines sent away so far.
    spare: usize,
}

impl<'a> Review<'a> {
    fn new(controller: &'a Controller, replica: &'a Replica, now: Instant) -> Self {
        let plan = Plan::from_replica(replica);
        Review {
            controller,
            replica,
            now,
            headroom: headroom(controller, replica, &plan),
            spare: spare_places(replica, &plan, None),
        }
    }

    /// Whether an active or draining machine should leave.
    fn removal_of(
        &mut self,
        fleet: &mut FleetState,
        id: &str,
        machine: &Machine,
        kind: &MachineType,
    ) -> Option<Removal> {
        if self.is_orphaned(fleet, id, machine) {
            return Some(Removal::new(
                id,
                MachineLifecycle::Returning,
                Reason::Orphaned,
            ));
        }
        let booked = self.replica.bookings.contains_key(id);
        if booked && self.stays_for_work(fleet, id, machine, kind) {
            fleet.empty_since.remove(id);
            return None;
        }
        let since = *fleet.empty_since.entry(id.to_string()).or_insert(self.now);
        if machine.lifecycle == MachineLifecycle::Draining {
            return Some(Removal::new(
                id,
                MachineLifecycle::Returning,
                Reason::Drained,
            ));
        }
        let idle = self.now.saturating_duration_since(since);
        let facts = machine_facts(kind, machine.spot);
        let idle_limit = Duration::from_secs_f64(self.controller.settings.policy.idle_s(&facts));
        if idle <= idle_limit || self.is_headroom(machine, kind) {
            return None;
        }
        Some(match booked {
            true => Removal::new(id, MachineLifecycle::Draining, Reason::OnlyFillers),
            false => Removal::new(id, MachineLifecycle::Returning, Reason::Idle),
        })
    }

    /// A worker whose controller is gone reports to another one soon, and is
    /// claimed by it; if not, it is gone, too.
    fn is_orphaned(&self, fleet: &mut FleetState, id: &str, machine: &Machine) -> bool {
        let owner = self.replica.nodes.get(&machine.owner);
        if owner.is_some_and(|entry| entry.value.incarnation == machine.incarnation) {
            fleet.first_seen.remove(id);
            return false;
        }
        let first = *fleet.first_seen.entry(id.to_string()).or_insert(self.now);
        let limit = self.controller.settings.worker_lease() * ORPHANED_LEASES;
        self.now.saturating_duration_since(first) > limit
    }

    /// Whether a machine's work keeps it rented. Work that fills what stands
    /// idle does not keep one that costs more than such work may: it is drained,
    /// so that the work saves its progress and goes elsewhere.
    fn stays_for_work(
        &self,
        fleet: &mut FleetState,
        id: &str,
        machine: &Machine,
        kind: &MachineType,
    ) -> bool {
        if !only_costly_fillers(
            self.replica,
            &self.controller.settings,
            id,
            kind,
            machine.spot,
        ) {
            return true;
        }
        let draining = machine.lifecycle == MachineLifecycle::Draining;
        if draining {
            fleet.recalled.insert(id.to_string());
        }
        draining
    }

    /// Whether an idle machine is kept for the next gang on accelerators.
    fn is_headroom(&mut self, machine: &Machine, kind: &MachineType) -> bool {
        if kind.gpus <= 0.0 {
            return false;
        }
        let Some(gpu) = &self.replica.gpu_spec else {
            return false;
        };
        if !gpu.allows(&machine.kind, &machine.zone, machine.spot) {
            return false;
        }
        let places = kind.resources().slots(&gpu.need);
        if places > 0 && self.spare < self.headroom + places {
            return true;
        }
        self.spare -= places.min(self.spare);
        false
    }
}

/// Whether all that a machine runs fills idle time, at a price that such work
/// is not worth.
fn only_costly_fillers(
    replica: &Replica,
    settings: &Settings,
    machine: &str,
    kind: &MachineType,
    spot: bool,
) -> bool {
    replica.jobs_on(machine).all(|(id, entry)| {
        let job = &entry.value;
        let spec = job.spec.as_ref().filter(|_| job.is_open());
        !replica.has_dependents(id)
            && spec.is_some_and(|spec| {
                let slots = kind.resources().slots(&spec.need).max(1) as f64;
                let max_price = cheapest_place(replica, spec) * MAX_FILLER_PRICE_RATIO;
                scheduler::is_opportunistic(spec, settings)
                    && price_of(kind, spot) / slots > max_price
            })
    })
}

/// Machines that should have come up by now; notes those that are late.
fn overdue_boots(
    controller: &Controller,
    replica: &Replica,
    fleet: &mut FleetState,
    now: Instant,
) -> Vec<Removal> {
    let is_up = |id: &str| {
        let machine = replica.machines.get(id).map(|entry| &entry.value);
        machine.is_some_and(|machine| machine.lifecycle == MachineLifecycle::Active)
    };
    fleet.boots.observe(booting(replica), is_up, now);
    let mut removals = Vec::new();
    for machine in booting(replica) {
        let Some(kind) = replica.type_of(machine.kind) else {
            continue;
        };
        let (id, zone) = (machine.id, machine.zone);
        let first = *fleet.first_seen.entry(id.to_string()).or_insert(now);
        let facts = machine_facts(kind, machine.spot);
        let limit_s = controller.settings.policy.boot_limit_s(&facts);
        let age_s = now.saturating_duration_since(first).as_secs_f64();
        let late_s = fleet.boots.late_after_s(kind, zone, limit_s);
        let pause = Duration::from_secs_f64(late_s);
        if age_s > late_s && fleet.boots.mark_late(id) {
            tracing::info!(machine = id, kind = kind.name, zone, late_s, "is late");
            fleet.boots.note_failure(id, pause, now);
        }
        if age_s > limit_s {
            removals.push(Removal::new(
                id,
                MachineLifecycle::Returning,
                Reason::NeverCameUp,
            ));
            fleet.boots.note_failure(id, pause * 2, now);
        }
    }
    removals
}

/// Drops what is remembered of machines that are neither recorded nor rented.
fn forget_unknown(replica: &Replica, fleet: &mut FleetState) {
    let mut known: HashSet<&str> = replica.machines.keys().map(String::as_str).collect();
    known.extend(booting(replica).map(|machine| machine.id));
    fleet.first_seen.retain(|id, _| known.contains(id.as_str()));
    fleet.sent_home.retain(|id, _| known.contains(id.as_str()));
    fleet.kept.retain(|id, _| known.contains(id.as_str()));
    fleet
        .empty_since
        .retain(|id, _| known.contains(id.as_str()));
}
