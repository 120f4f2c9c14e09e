//! Machines that their holder sends away: silent, unreachable and faulty ones.
//!
//! Only the holder knows when a machine was last heard: what another controller
//! has not told is no sign of silence.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::blame::{Health, health};
use super::removal::{Reason, Removal};
use crate::machines::Hand;
use crate::model::{Life, Machine};
use crate::node::Node;
use crate::view::View;

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
    let now = node.pulse();
    let view = node.view.borrow();
    let hands = node.hands.borrow();
    let review = Review {
        node,
        view: &view,
        now,
        partitioned: partitioned_zones(node, &view, &hands, now),
    };
    let unreachable = node.fleet.borrow().unreachable(node.settings.lease(), now);
    let mut removals: Vec<Removal> = unreachable
        .iter()
        .map(|id| Removal::new(id, Life::Returning, Reason::Unreachable))
        .collect();
    removals.extend(hands.iter().filter_map(|(id, hand)| {
        let machine = view.machines.get(id).map(|entry| &entry.value)?;
        review.removal_of(id, machine, hand)
    }));
    removals
}

/// Zones of which most machines that this controller holds are silent at once:
/// they are partitioned off rather than lost, and come back together.
fn partitioned_zones(
    node: &Node,
    view: &View,
    hands: &HashMap<String, Hand>,
    now: Instant,
) -> HashSet<String> {
    #[derive(Default)]
    struct Count {
        all: usize,
        silent: usize,
    }
    let limit = node.settings.lease();
    let mut zones: HashMap<&str, Count> = HashMap::new();
    for (id, hand) in hands {
        if let Some(entry) = view.machines.get(id) {
            let count = zones.entry(&entry.value.zone).or_default();
            count.all += 1;
            count.silent += usize::from(silence(hand, now) > limit);
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
fn silence(hand: &Hand, now: Instant) -> Duration {
    now.saturating_duration_since(hand.heard)
}

/// One pass over the machines that this controller holds.
struct Review<'a> {
    node: &'a Node,
    view: &'a View,
    now: Instant,
    partitioned: HashSet<String>,
}

impl Review<'_> {
    /// Whether a machine should leave.
    fn removal_of(&self, id: &str, machine: &Machine, hand: &Hand) -> Option<Removal> {
        let is_held = machine.token == hand.token && machine.incarnation == self.node.incarnation;
        if !is_held || !matches!(machine.life, Life::Active | Life::Draining) {
            return None;
        }
        if silence(hand, self.now) > self.silence_limit(machine, hand) {
            return Some(Removal::new(id, Life::Returning, Reason::Silent));
        }
        if self.is_unreachable(hand) {
            return Some(Removal::new(id, Life::Returning, Reason::Unreachable));
        }
        let is_active = machine.life == Life::Active;
        (is_active && health(self.node, self.view, id, hand) == Health::Faulty)
            .then(|| Removal::new(id, Life::Draining, Reason::Faulty))
    }

    /// How long a machine may be silent.
    fn silence_limit(&self, machine: &Machine, hand: &Hand) -> Duration {
        let lease = self.node.settings.lease();
        let report = hand.report.as_ref();
        if report.is_some_and(|report| report.notice_s.is_some()) {
            // It was to be taken back and is silent: it has been, and the
            // cloud's answer proves it sooner than the lease does.
            return lease.min(self.node.settings.report() * RECALLED_REPORTS);
        }
        // With a launch that may land late only the cloud can end the doubt.
        if hand.unresolved {
            return lease;
        }
        match self.partitioned.contains(&machine.zone) {
            true => lease * PARTITIONED_LEASES,
            false => lease * SILENT_LEASES,
        }
    }

    /// Whether a worker's reports have arrived for too long while answers and
    /// orders did not.
    fn is_unreachable(&self, hand: &Hand) -> bool {
        let limit = self.node.settings.lease() * UNREACHABLE_LEASES;
        hand.deaf_since
            .is_some_and(|since| self.now.saturating_duration_since(since) > limit)
    }
}
