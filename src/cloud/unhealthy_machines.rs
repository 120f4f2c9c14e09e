//! Finds the machines that their owner removes from service: silent, unreachable and faulty
//! machines.
//!
//! Only the owner of a machine decides that the machine is silent. Workers send heartbeats to
//! their owner, so missing heartbeats mean nothing to any other controller.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::failure_attribution::{MachineHealth, machine_health};
use super::removal::{MachineRemoval, RemovalReason};
use crate::controller::Controller;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::workers::OwnedWorker;

/// The time for which a machine may be silent before it is decommissioned, in worker leases.
/// It is longer than the lease: the machine's tasks are released as soon as the lease has
/// certainly expired (`workers::termination::queue_terminations_of_expired_leases`), and its heartbeats may
/// still resume after that.
const SILENT_LEASES: u32 = 2;

/// The time for which a machine in a partitioned zone may be silent before it is
/// decommissioned, in worker leases.
const PARTITIONED_LEASES: u32 = 3;

/// The time for which a machine with a preemption notice may be silent, in heartbeat
/// intervals.
const PREEMPTED_REPORTS: u32 = 3;

/// The time for which a worker's messages may arrive while answers and commands do not reach
/// it, in worker leases.
const UNREACHABLE_LEASES: u32 = 2;

/// The minimum number of silent machines in a zone that counts as partitioned.
const MIN_PARTITIONED_MACHINES: usize = 4;

/// Returns the removals of the unhealthy machines that this controller owns, and of machines
/// whose heartbeats to this controller show that they are unreachable.
pub(super) fn unhealthy_machines(controller: &Controller) -> Vec<MachineRemoval> {
    let now = controller.now_excluding_pauses();
    let replica = controller.replica.borrow();
    let owned_workers = controller.workers.owned();
    let scan = OwnedMachineScan {
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
        scan.removal_of(id, machine, owned_worker)
    }));
    removals
}

/// The counts of a zone's machines that this controller owns.
#[derive(Default)]
struct ZoneSilence {
    /// The number of owned machines in the zone.
    machines: usize,
    /// The number of these machines that are silent.
    silent: usize,
}

impl ZoneSilence {
    /// Returns whether the zone counts as partitioned: more than half of its machines, and at
    /// least `MIN_PARTITIONED_MACHINES`, are silent.
    fn is_partitioned(&self) -> bool {
        self.silent >= MIN_PARTITIONED_MACHINES && self.silent * 2 > self.machines
    }
}

/// Returns the zones in which most machines that this controller owns are silent at the same
/// time. Most likely, a network partition separates these machines from this controller, and
/// their heartbeats resume together when the partition ends.
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
            zone.silent += usize::from(silence_duration(owned_worker, now) > limit);
        }
    }
    zones
        .into_iter()
        .filter(|(_, zone)| zone.is_partitioned())
        .map(|(zone, _)| zone.to_string())
        .collect()
}

/// Returns the time since the last message of a worker.
fn silence_duration(owned_worker: &OwnedWorker, now: Instant) -> Duration {
    now.saturating_duration_since(owned_worker.last_message_at)
}

/// The inputs of one pass over the machines that this controller owns.
struct OwnedMachineScan<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    now: Instant,
    partitioned_zones: HashSet<String>,
}

impl OwnedMachineScan<'_> {
    /// Returns the removal of a machine, or `None` if the machine stays in service or is not
    /// owned by this run of the controller.
    fn removal_of(
        &self,
        id: &str,
        machine: &Machine,
        owned_worker: &OwnedWorker,
    ) -> Option<MachineRemoval> {
        let is_owned = owned_worker.fencing.is_recorded_in(machine)
            && machine.incarnation == self.controller.incarnation;
        if !is_owned
            || !matches!(
                machine.lifecycle,
                MachineLifecycle::Active | MachineLifecycle::Draining
            )
        {
            return None;
        }
        if silence_duration(owned_worker, self.now) > self.silence_limit(machine, owned_worker) {
            return Some(MachineRemoval::decommission(id, RemovalReason::Silent));
        }
        if self.is_unreachable(owned_worker) {
            return Some(MachineRemoval::decommission(id, RemovalReason::Unreachable));
        }
        let is_removable = machine.lifecycle == MachineLifecycle::Active
            && !self.replica.bookings.contains_key(id);
        let is_faulty = is_removable
            && machine_health(self.controller, self.replica, id, owned_worker, self.now)
                == MachineHealth::Faulty;
        // A faulty machine with work is quarantined until that has ended.
        is_faulty.then(|| MachineRemoval::decommission(id, RemovalReason::Faulty))
    }

    /// Returns the time for which a machine may be silent before it is decommissioned.
    fn silence_limit(&self, machine: &Machine, owned_worker: &OwnedWorker) -> Duration {
        let lease = self.controller.settings.worker_lease();
        let report = owned_worker.status.as_ref();
        if report.is_some_and(|report| report.preemption_notice_s.is_some()) {
            // A silent machine that had a preemption notice has almost certainly been
            // preempted. If the machine is returned to the cloud now, the cloud's answer
            // proves that the machine is gone, without waiting for the lease to expire.
            return lease.min(self.controller.settings.heartbeat_interval() * PREEMPTED_REPORTS);
        }
        // A launch that was not answered may still be executed late. Only the cloud's
        // answer that the machine is gone rules that out.
        if owned_worker.has_unanswered_launch {
            return lease;
        }
        match self.partitioned_zones.contains(&machine.zone) {
            true => lease * PARTITIONED_LEASES,
            false => lease * SILENT_LEASES,
        }
    }

    /// Returns whether, for longer than `UNREACHABLE_LEASES`, a worker's messages have
    /// arrived while answers and commands have not reached it.
    fn is_unreachable(&self, owned_worker: &OwnedWorker) -> bool {
        let limit = self.controller.settings.worker_lease() * UNREACHABLE_LEASES;
        owned_worker
            .unreachable_since
            .is_some_and(|since| self.now.saturating_duration_since(since) > limit)
    }
}
