//! Machines that their owner sends away: silent, unreachable and faulty ones.
//!
//! Only the owner knows when a machine was last heard: what another controller
//! has not told is no sign of silence.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::blame::{Health, health};
use super::removal::{Reason, Removal};
use crate::controller::Controller;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::workers::OwnedWorker;

/// How many leases a machine may be silent before it is returned. When its
/// lease is surely over its work is free to go elsewhere (`release_silent`), and
/// it may be heard again.
const SILENT_LEASES: u32 = 2;

/// The same where most of its zone is silent at once.
const PARTITIONED_LEASES: u32 = 3;

/// How many report intervals a machine with a spot notice may be silent.
const RECALLED_REPORTS: u32 = 3;

/// How many leases a worker's reports may arrive while answers and orders do
/// not.
const UNREACHABLE_LEASES: u32 = 2;

/// The fewest silent machines by which a zone counts as partitioned off.
const MIN_PARTITIONED: usize = 4;

/// Machines held by this controller that should leave, and why.
pub(super) fn failing_machines(controller: &Controller) -> Vec<Removal> {
    let now = controller.liveness_tick();
    let replica = controller.replica.borrow();
    let owned_workers = controller.workers.owned();
    let review = Review {
        controller,
        replica: &replica,
        now,
        partitioned: partitioned_zones(controller, &replica, &owned_workers, now),
    };
    let unreachable = controller
        .fleet
        .borrow()
        .unreachable(controller.settings.worker_lease(), now);
    let mut removals: Vec<Removal> = unreachable
        .iter()
        .map(|id| Removal::new(id, MachineLifecycle::Returning, Reason::Unreachable))
        .collect();
    removals.extend(owned_workers.iter().filter_map(|(id, owned_worker)| {
        let machine = replica.machines.get(id).map(|entry| &entry.value)?;
        review.removal_of(id, machine, owned_worker)
    }));
    removals
}

/// Zones of which most machines that this controller holds are silent at once:
/// they are partitioned off rather than lost, and come back together.
fn partitioned_zones(
    controller: &Controller,
    replica: &Replica,
    owned_workers: &HashMap<String, OwnedWorker>,
    now: Instant,
) -> HashSet<String> {
    #[derive(Default)]
    struct Count {
        all: usize,
        silent: usize,
    }
    let limit = controller.settings.worker_lease();
    let mut zones: HashMap<&str, Count> = HashMap::new();
    for (id, owned_worker) in owned_workers {
        if let Some(entry) = replica.machines.get(id) {
            let count = zones.entry(&entry.value.zone).or_default();
            count.all += 1;
            count.silent += usize::from(silence(owned_worker, now) > limit);
        }
    }
    let is_partitioned =
        |count: &Count| count.silent >= MIN_PARTITIONED && count.silent * 2 > count.all;
    zones
        .into_iter()
        .filter(|(_, count)| is_partitioned(count))
        .map(|(zone, _)| zone.to_string())
        .collect()
}

/// For how long nothing has come from a worker.
fn silence(owned_worker: &OwnedWorker, now: Instant) -> Duration {
    now.saturating_duration_since(owned_worker.last_message_at)
}

/// One pass over the machines that this controller holds.
struct Review<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    now: Instant,
    partitioned: HashSet<String>,
}

impl Review<'_> {
    /// Whether a machine should leave.
    fn removal_of(
        &self,
        id: &str,
        machine: &Machine,
        owned_worker: &OwnedWorker,
    ) -> Option<Removal> {
        let is_held = machine.fencing_token == owned_worker.fencing_token
            && machine.incarnation == self.controller.incarnation;
        if !is_held
            || !matches!(
                machine.lifecycle,
                MachineLifecycle::Active | MachineLifecycle::Draining
            )
        {
            return None;
        }
        if silence(owned_worker, self.now) > self.silence_limit(machine, owned_worker) {
            return Some(Removal::new(
                id,
                MachineLifecycle::Returning,
                Reason::Silent,
            ));
        }
        if self.is_unreachable(owned_worker) {
            return Some(Removal::new(
                id,
                MachineLifecycle::Returning,
                Reason::Unreachable,
            ));
        }
        let is_active = machine.lifecycle == MachineLifecycle::Active;
        (is_active && health(self.controller, self.replica, id, owned_worker) == Health::Faulty)
            .then(|| Removal::new(id, MachineLifecycle::Draining, Reason::Faulty))
    }

    /// How long a machine may be silent.
    fn silence_limit(&self, machine: &Machine, owned_worker: &OwnedWorker) -> Duration {
        let lease = self.controller.settings.worker_lease();
        let report = owned_worker.status.as_ref();
        if report.is_some_and(|report| report.notice_s.is_some()) {
            // It was to be taken back and is silent: it has been, and the
            // cloud's answer proves it sooner than the lease does.
            return lease.min(self.controller.settings.heartbeat_interval() * RECALLED_REPORTS);
        }
        // With a launch that may land late only the cloud can end the doubt.
        if owned_worker.has_unanswered_launch {
            return lease;
        }
        match self.partitioned.contains(&machine.zone) {
            true => lease * PARTITIONED_LEASES,
            false => lease * SILENT_LEASES,
        }
    }

    /// Whether a worker's reports have arrived for too long while answers and
    /// orders did not.
    fn is_unreachable(&self, owned_worker: &OwnedWorker) -> bool {
        let limit = self.controller.settings.worker_lease() * UNREACHABLE_LEASES;
        owned_worker
            .unreachable_since
            .is_some_and(|since| self.now.saturating_duration_since(since) > limit)
    }
}
