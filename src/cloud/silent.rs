//! Machines that their holder sends away: silent, deaf and faulty ones.

use std::collections::{HashMap, HashSet};

use super::blame::{Judgement, judgement};
use super::removal::Leaving;
use crate::machines::Hand;
use crate::model::Life;
use crate::node::Node;
use crate::view::View;

/// Zones of which most machines that this controller holds are silent at once:
/// they are cut off rather than lost, and come back together.
fn cut_off<'a>(view: &View, silent: impl Iterator<Item = (&'a String, bool)>) -> HashSet<String> {
    let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
    for (id, is_silent) in silent {
        if let Some(m) = view.machines.get(id) {
            let zone = zones.entry(&m.value.zone).or_default();
            zone.0 += 1;
            zone.1 += usize::from(is_silent);
        }
    }
    let most = |(all, silent): &(usize, usize)| *silent >= 4 && silent * 2 > *all;
    let cut = zones.iter().filter(|(_, counts)| most(counts));
    cut.map(|(zone, _)| zone.to_string()).collect()
}

/// Machines held by this controller that should leave, and why. Only the
/// holder knows when a machine was last heard: what another controller has
/// not told is no sign of silence.
pub(super) fn judge_own(node: &Node) -> Leaving {
    let now = node.pulse();
    let view = node.view.borrow();
    let hands = node.hands.borrow();
    let limit = node.settings.lease();
    let deaf = node.fleet.borrow().deaf(limit, now);
    let silent = |hand: &Hand| now.saturating_duration_since(hand.heard) > limit;
    let cut = cut_off(&view, hands.iter().map(|(id, hand)| (id, silent(hand))));
    let mut leaving: Vec<_> = deaf
        .into_iter()
        .map(|id| (id, Life::Returning, "reports, but hears nothing"))
        .collect();
    for (id, hand) in hands.iter() {
        let life = match view.machines.get(id) {
            Some(m) if m.value.token == hand.token && m.value.incarnation == node.incarnation => {
                m.value.life
            }
            _ => continue,
        };
        if !matches!(life, Life::Active | Life::Draining) {
            continue;
        }
        // When its lease is surely over its work is free to go elsewhere
        // (`release_silent`), and it may be heard again. With a launch that
        // may land late only the cloud can end the doubt.
        let recalled = hand.report.as_ref().is_some_and(|r| r.notice_s.is_some());
        let limit = match (recalled, hand.unresolved) {
            // It was to be taken back and is silent: it has been, and the
            // cloud's answer proves it sooner than the lease does.
            (true, _) => limit.min(node.settings.report() * 3),
            (false, true) => limit,
            (false, false) if cut.contains(&view.machines[id].value.zone) => limit * 3,
            (false, false) => limit * 2,
        };
        let deaf = hand.deaf_since.is_some_and(|t| {
            let limit = node.settings.lease() * 2;
            now.saturating_duration_since(t) > limit
        });
        if now.saturating_duration_since(hand.heard) > limit {
            leaving.push((id.clone(), Life::Returning, "silent"));
        } else if deaf {
            leaving.push((id.clone(), Life::Returning, "reports, but hears nothing"));
        } else if life == Life::Active && judgement(node, &view, id, hand) == Judgement::Sick {
            leaving.push((id.clone(), Life::Draining, "fails what succeeds elsewhere"));
        }
    }
    leaving
}
