//! Offers of the cloud, their prices, and the best one for a job.

use std::collections::{BTreeMap, HashSet};

use tokio::time::Instant;

use super::boots::Offer;
use crate::admission::{Care, Plan};
use crate::model::{Hire, Room, Spec};
use crate::node::Node;
use crate::policy::MachineFacts;
use crate::view::View;
use crate::wire::{Kind, MachineType};

pub(super) fn machine_facts(kind: &MachineType, spot: bool) -> MachineFacts {
    MachineFacts {
        boot_s: kind.boot_s,
        price: cost(kind, spot),
        cpus: kind.cpus,
        gpus: kind.gpus,
        spot,
    }
}

/// One more machine of an offer, with its room in the plan.
pub(super) fn rent_one(
    view: &View,
    hires: &mut BTreeMap<Offer, (usize, Hire)>,
    plan: &mut Plan,
    t: &MachineType,
    offer: Offer,
) {
    let (kind, zone, spot) = offer.clone();
    if let Some(class) = view.find_class(&kind, &zone, spot) {
        plan.add(class, Room::of_type(t));
    }
    let place = hires.len();
    let hire = hires.entry(offer).or_insert((
        place,
        Hire {
            kind,
            zone,
            spot,
            count: 0,
            machines: Vec::new(),
        },
    ));
    hire.1.count += 1;
}

/// What an offer may not be.
pub(super) struct Bounds<'a> {
    pub(super) care: Care,
    /// The most it may cost, over the cheapest type.
    pub(super) dearest: f64,
    /// Zones where more room would not help.
    pub(super) barred: &'a HashSet<String>,
}

/// The most machines that one rental may ask for, by the protocol.
pub(super) const RENT_MOST: u32 = 50;

/// The offer that is cheapest for each task it would hold of those wanted.
pub(super) fn best_offer<'a>(
    node: &Node,
    view: &'a View,
    hires: &BTreeMap<Offer, (usize, Hire)>,
    spec: &Spec,
    wanted: usize,
    bounds: &Bounds,
) -> Option<(&'a MachineType, Offer)> {
    let now = Instant::now();
    let fleet = node.fleet.borrow();
    let mut best: Option<(f64, &MachineType, Offer)> = None;
    // Work that can wait is not worth any price.
    let cheapest = cheapest_of(view, spec);
    for t in &view.types.value.types {
        let slots = Room::of_type(t).slots(&spec.need);
        if slots == 0 || !spec.allows_type(&t.name) {
            continue;
        }
        for zone in &t.zones {
            for spot in [true, false] {
                if !spec.allows(&t.name, zone, spot) || bounds.barred.contains(zone) {
                    continue;
                }
                if (spec.kind == Kind::Array || bounds.care == Care::Strict)
                    && spec.need.gpus.0 == 0
                    && t.gpus > 0.0
                    && view
                        .gpu_spec
                        .as_ref()
                        .is_none_or(|g| g.allows(&t.name, zone, spot))
                {
                    // They would stand in the way there, see `admission`.
                    continue;
                }
                let offer = (t.name.clone(), zone.clone(), spot);
                let refused = fleet.refused.get(&offer);
                if refused.is_some_and(|(until, _)| *until > now)
                    || fleet.boots.is_left_alone(&offer, now)
                    || hires.get(&offer).is_some_and(|h| h.1.count >= RENT_MOST)
                {
                    continue;
                }
                let price = cost(t, spot) / slots.min(wanted) as f64;
                let full = cost(t, spot) / slots as f64;
                if full > cheapest * bounds.dearest {
                    continue;
                }
                if best.as_ref().is_none_or(|(p, _, _)| price < *p) {
                    best = Some((price, t, offer));
                }
            }
        }
    }
    best.map(|(_, t, offer)| (t, offer))
}

/// The least that a task of this shape costs anywhere by nominal price.
pub(super) fn cheapest_of(view: &View, spec: &Spec) -> f64 {
    let mut least = f64::INFINITY;
    for t in &view.types.value.types {
        let slots = Room::of_type(t).slots(&spec.need);
        if slots > 0 && spec.allows_type(&t.name) {
            least = least.min(cost(t, spec.spot) / slots as f64);
        }
    }
    least
}

pub(super) fn cost(t: &MachineType, spot: bool) -> f64 {
    if spot { t.spot_price } else { t.price }
}
