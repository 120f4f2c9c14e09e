//! Machines that their holder sends away: silent, unreachable and faulty ones.
//!
//! Only the holder knows when a machine was last heard: what another controller
//! has not told is no sign of silence.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::blame::{Health, health};
use super::removal::{Reason, Removal};
use crate::node::Node;
use crate::state::records::{Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::workers::WorkerSession;

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
pub(super) fn failing_machines(node: &Node) -> Vec<Removal> {
    let now = node.liveness_tick();
    let replica = node.replica.borrow();
    let worker_sessions = node.worker_sessions.borrow();
    let review = Review {
        node,
        replica: &replica,
        now,
        partitioned: partitioned_zones(node, &replica, &worker_sessions, now),
    };
    let unreachable = node.fleet.borrow().unreachable(node.settings.lease(), now);
    let mut removals: Vec<Removal> = unreachable
        .iter()
        .map(|id| Removal::new(id, MachineLifecycle::Returning, Reason::Unreachable))
        .collect();
    removals.extend(worker_sessions.iter().filter_map(|(id, worker_session)| {
        let machine = replica.machines.get(id).map(|entry| &entry.value)?;
        review.removal_of(id, machine, worker_session)
    }));
    removals
}

/// Zones of which most machines that this controller holds are silent at once:
/// they are partitioned off rather than lost, and come back together.
fn partitioned_zones(
    node: &Node,
    replica: &Replica,
    worker_sessions: &HashMap<String, WorkerSession>,
    now: Instant,
) -> HashSet<String> {
    #[derive(Default)]
    struct Count {
        all: usize,
        silent: usize,
    }
    let limit = node.settings.lease();
    let mut zones: HashMap<&str, Count> = HashMap::new();
    for (id, worker_session) in worker_sessions {
        if let Some(entry) = replica.machines.get(id) {
            let count = zones.entry(&entry.value.zone).or_default();
            count.all += 1;
            count.silent += usize::from(silence(worker_session, now) > limit);
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
fn silence(worker_session: &WorkerSession, now: Instant) -> Duration {
    now.saturating_duration_since(worker_session.heard)
}

/// One pass over the machines that this controller holds.
struct Review<'a> {
    node: &'a Node,
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
        worker_session: &WorkerSession,
    ) -> Option<Removal> {
        let is_held =
            machine.token == worker_session.token && machine.incarnation == self.node.incarnation;
        if !is_held
            || !matches!(
                machine.life,
                MachineLifecycle::Active | MachineLifecycle::Draining
            )
        {
            return None;
        }
        if silence(worker_session, self.now) > self.silence_limit(machine, worker_session) {
            return Some(Removal::new(
                id,
                MachineLifecycle::Returning,
                Reason::Silent,
            ));
        }
        if self.is_unreachable(worker_session) {
            return Some(Removal::new(
                id,
                MachineLifecycle::Returning,
                Reason::Unreachable,
            ));
        }
        let is_active = machine.life == MachineLifecycle::Active;
        (is_active && health(self.node, self.replica, id, worker_session) == Health::Faulty)
            .then(|| Removal::new(id, MachineLifecycle::Draining, Reason::Faulty))
    }

    /// How long a machine may be silent.
    fn silence_limit(&self, machine: &Machine, worker_session: &WorkerSession) -> Duration {
        let lease = self.node.settings.lease();
        let report = worker_session.report.as_ref();
        if report.is_some_and(|report| report.notice_s.is_some()) {
            // It was to be taken back and is silent: it has been, and the
            // cloud's answer proves it sooner than the lease does.
            return lease.min(self.node.settings.report() * RECALLED_REPORTS);
        }
        // With a launch that may land late only the cloud can end the doubt.
        if worker_session.unresolved {
            return lease;
        }
        match self.partitioned.contains(&machine.zone) {
            true => lease * PARTITIONED_LEASES,
            false => lease * SILENT_LEASES,
        }
    }

    /// Whether a worker's reports have arrived for too long while answers and
    /// orders did not.
    fn is_unreachable(&self, worker_session: &WorkerSession) -> bool {
        let limit = self.node.settings.lease() * UNREACHABLE_LEASES;
        worker_session
            .unreachable_since
            .is_some_and(|since| self.now.saturating_duration_since(since) > limit)
    }
}
