//! Machines that their owner removes from service: silent, unreachable and faulty
//! ones.
//!
//! Only the owner knows when a machine's last report arrived: that another
//! controller has received none is no sign of silence.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::failure_attribution::{MachineHealth, machine_health};
use super::removal::{MachineRemoval, RemovalReason};
use crate::controller::Controller;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::workers::OwnedWorker;

/// How many leases a machine may be silent before it is decommissioned. When its
/// lease is surely over its work is free to go elsewhere (`release_silent`), and
/// its reports may arrive again.
const SILENT_LEASES: u32 = 2;

/// The same where most of its zone is silent at once.
const PARTITIONED_LEASES: u32 = 3;

/// How many report intervals a machine with a preemption notice may be silent.
const PREEMPTED_REPORTS: u32 = 3;

/// How many leases a worker's reports may arrive while answers and commands do
/// not.
const UNREACHABLE_LEASES: u32 = 2;

/// The fewest silent machines by which a zone counts as partitioned off.
const MIN_PARTITIONED_MACHINES: usize = 4;

/// Machines owned by this controller that should leave service, and why.
pub(super) fn unhealthy_machines(controller: &Controller) -> Vec<MachineRemoval> {
    let now = controller.liveness_tick();
    let replica = controller.replica.borrow();
    let owned_workers = controller.workers.owned();
    let review = OwnedMachineReview {
        controller,
        replica: &replica,
        now,
        partitioned_zones: partitioned_zones(controller, &replica, &owned_workers, now),
    };
    let unreachable = controller
        .fleet
        .borrow()
        .unreachable(controller.settings.worker_lease(), now);
    let mut removals: Vec<MachineRemoval> = unreachable
        .iter()
        .map(|id| MachineRemoval::decommission(id, RemovalReason::Unreachable))
        .collect();
    removals.extend(owned_workers.iter().filter_map(|(id, owned_worker)| {
        let machine = replica.machines.get(id).map(|entry| &entry.value)?;
        review.removal_of(id, machine, owned_worker)
    }));
    removals
}

/// How many of a zone's machines that this controller owns are silent.
#[derive(Default)]
struct ZoneSilence {
    machines: usize,
    silent: usize,
}

impl ZoneSilence {
    /// Whether the zone is taken to be partitioned off.
    fn is_partitioned(&self) -> bool {
        self.silent >= MIN_PARTITIONED_MACHINES && self.silent * 2 > self.machines
    }
}

/// Zones of which most machines that this controller owns are silent at once:
/// they are partitioned off rather than lost, and come back together.
fn partitioned_zones(
    controller: &Controller,
    replica: &Replica,
    owned_workers: &HashMap<String, OwnedWorker>,
    now: Instant,
) -> HashSet<String> {
    let limit = controller.settings.worker_lease();
    let mut zones: HashMap<&str, ZoneSilence> = HashMap::new();
    for (id, owned_worker) in owned_workers {
        if let Some(entry) = replica.machines.get(id) {
            let zone = zones.entry(&entry.value.zone).or_default();
            zone.machines += 1;
            zone.silent += usize::from(silence(owned_worker, now) > limit);
        }
    }
    zones
        .into_iter()
        .filter(|(_, zone)| zone.is_partitioned())
        .map(|(zone, _)| zone.to_string())
        .collect()
}

/// For how long nothing has come from a worker.
fn silence(owned_worker: &OwnedWorker, now: Instant) -> Duration {
    now.saturating_duration_since(owned_worker.last_message_at)
}

/// One pass over the machines that this controller owns.
struct OwnedMachineReview<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    now: Instant,
    partitioned_zones: HashSet<String>,
}

impl OwnedMachineReview<'_> {
    /// Whether a machine should leave service.
    fn removal_of(
        &self,
        id: &str,
        machine: &Machine,
        owned_worker: &OwnedWorker,
    ) -> Option<MachineRemoval> {
        let is_owned = machine.fencing_token == owned_worker.fencing_token
            && machine.incarnation == self.controller.incarnation;
        if !is_owned
            || !matches!(
                machine.lifecycle,
                MachineLifecycle::Active | MachineLifecycle::Draining
            )
        {
            return None;
        }
        if silence(owned_worker, self.now) > self.silence_limit(machine, owned_worker) {
            return Some(MachineRemoval::decommission(id, RemovalReason::Silent));
        }
        if self.is_unreachable(owned_worker) {
            return Some(MachineRemoval::decommission(id, RemovalReason::Unreachable));
        }
        let is_active = machine.lifecycle == MachineLifecycle::Active;
        let is_faulty = is_active
            && machine_health(self.controller, self.replica, id, owned_worker)
                == MachineHealth::Faulty;
        is_faulty.then(|| MachineRemoval::drain(id, RemovalReason::Faulty))
    }

    /// How long a machine may be silent.
    fn silence_limit(&self, machine: &Machine, owned_worker: &OwnedWorker) -> Duration {
        let lease = self.controller.settings.worker_lease();
        let report = owned_worker.status.as_ref();
        if report.is_some_and(|report| report.preemption_notice_s.is_some()) {
            // It was to be preempted and is silent: it has been, and the
            // cloud's answer proves it sooner than the lease does.
            return lease.min(self.controller.settings.heartbeat_interval() * PREEMPTED_REPORTS);
        }
        // With a launch that may arrive late only the cloud's answer is certain.
        if owned_worker.has_unanswered_launch {
            return lease;
        }
        match self.partitioned_zones.contains(&machine.zone) {
            true => lease * PARTITIONED_LEASES,
            false => lease * SILENT_LEASES,
        }
    }

    /// Whether a worker's reports have arrived for too long while answers and
    /// commands did not.
    fn is_unreachable(&self, owned_worker: &OwnedWorker) -> bool {
        let limit = self.controller.settings.worker_lease() * UNREACHABLE_LEASES;
        owned_worker
            .unreachable_since
            .is_some_and(|since| self.now.saturating_duration_since(since) > limit)
    }
}
