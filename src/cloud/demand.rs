//! What to rent: the work that fits neither the free room nor what is coming.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use tokio::time::Instant;

use super::boots::Offer;
use super::headroom::{headroom, spare_places};
use super::offers::{Bounds, RENT_MOST, best_offer, rent_one};
use super::rentals::booting;
use crate::admission::{self, Care, Hints, Plan};
use crate::model::{DOUBT, Hire, Job, Room, Spec};
use crate::node::Node;
use crate::view::View;
use crate::wire::Kind;

/// Room that is on its way: booting machines and recorded rentals. Not those
/// that are late: another is rented in their stead, and they are used if they
/// come all the same.
fn add_coming(plan: &mut Plan, view: &View, late: &HashSet<String>) {
    let mut add = |kind: &str, zone: &str, spot: bool| {
        if let Some(t) = view.type_of(kind)
            && let Some(class) = view.find_class(kind, zone, spot)
        {
            plan.add(class, Room::of_type(t));
        }
    };
    for (_, kind, zone, spot) in booting(view).filter(|b| !late.contains(b.0)) {
        add(kind, zone, spot);
    }
    for e in view.hires.values().filter(|e| e.value.machines.is_empty()) {
        for _ in 0..e.value.count {
            add(&e.value.kind, &e.value.zone, e.value.spot);
        }
    }
}

/// What to rent: room for the jobs, in queue order, whose tasks fit neither
/// the free room nor what is coming. Offers that are asked for more than once
/// become one rental.
pub(super) fn demand(node: &Node) -> Vec<Hire> {
    let settings = &node.settings;
    name_offers(node);
    let view = node.view.borrow();
    let mut hires: BTreeMap<Offer, (usize, Hire)> = BTreeMap::new();
    if view.types.value.types.is_empty() {
        return Vec::new();
    }
    let now = Instant::now();
    let mut plan = Plan::of(&view);
    add_coming(&mut plan, &view, &node.fleet.borrow().boots.late);
    let home = "";
    let hints = Hints::new(&view, home);
    // The work that running independent tasks leave room for soon.
    let mut turnover = running_cpus(&view);
    let most = settings.txn_ops().saturating_sub(2).max(1);
    let ages = node.ages.borrow();
    let queue = admission::queue(&view, &plan, settings, &ages, now);
    let soon = about_to_start(&view);
    let first_soon = soon.first().map(|s| s.0);
    let ahead = soon.iter().map(|(id, _)| *id);
    for id in queue.into_iter().chain(ahead) {
        if Some(id) == first_soon {
            // What they await ends before they begin: its room is theirs.
            let before: BTreeSet<&String> = soon.iter().flat_map(|(_, left)| *left).collect();
            for awaited in before {
                let Some(job) = view.jobs.get(awaited).map(|e| &e.value) else {
                    continue;
                };
                let Some(spec) = &job.spec else { continue };
                for run in &job.runs {
                    let room = spec.need.times(run.tasks.len());
                    plan.give(&view, &run.machine, &spec.team, room);
                }
            }
        }
        let Some(job) = view.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        if job.is_doubtful() && !may_rent_once_more(&view, job, spec) {
            continue;
        }
        let age = ages
            .get(id)
            .map_or(0.0, |t| now.saturating_duration_since(*t).as_secs_f64());
        let standing = view.standing(id, spec, now);
        let facts = admission::facts(job, spec, &plan, settings, &view, age, &standing);
        let policy = &settings.policy;
        let dearest = policy.rent_price_ratio(&facts);
        // The job as it would be with the places planned so far, so that its
        // zones' shares are kept.
        let mut planned = job.clone();
        let mut barred: HashSet<String> = HashSet::new();
        let mut rented: Option<String> = None;
        // Rent and fill by turns: what is rented for one task serves others.
        let mut tries = 0u32;
        let mut care = Care::Strict;
        loop {
            match admission::fit(&planned, spec, &plan, &hints, settings, care) {
                Ok(places) => {
                    for p in &places {
                        plan.take(p, &spec.team, spec.need);
                    }
                    let places: Vec<_> = places.iter().collect();
                    crate::draft::book(&mut planned, spec, &places);
                }
                // More room there does not help: it has its share already.
                Err(_) if spec.spread => barred.extend(rented.take()),
                Err(_) => {}
            }
            let mut left = planned.waiting();
            if let Some(terms) = settings.team(&spec.team) {
                let slots = admission::team_slots(terms, &plan.used(&spec.team), &spec.need);
                left = left.min(slots);
            }
            tries += 1;
            if left == 0 || tries > RENT_MOST {
                break;
            }
            let mut wanted = left as f64;
            if spec.kind == Kind::Array {
                // Tasks that run one after another in the window need less
                // room at once; what others free in that time serves too.
                let window = policy.rent_window_s(&facts);
                let cpus = spec.need.cpus.units().max(0.001);
                wanted = wanted * spec.estimate_s.max(1.0) / window;
                let covered = wanted.min(turnover * policy.rent_turnover(&facts) / cpus);
                turnover -= covered * cpus / policy.rent_turnover(&facts).max(0.01);
                wanted -= covered;
                // So little follows in the room of what runs; but what has no
                // place at all, and none to follow, would wait for ever.
                if wanted < 0.5 && (planned.booked() > 0 || covered > 0.0) {
                    break;
                }
            }
            let wanted = wanted.ceil().max(1.0) as usize;
            let bounds = Bounds {
                care,
                dearest,
                barred: &barred,
            };
            let Some((t, offer)) = best_offer(node, &view, &hires, spec, wanted, &bounds) else {
                if care == Care::Lax {
                    // What does not wait for room yet is not told so.
                    if !view.awaited(id).is_empty() {
                        break;
                    }
                    crate::placement::note(node, id, admission::Wait::Refused, now);
                    break;
                }
                care = Care::Lax;
                continue;
            };
            rented = Some(offer.1.clone());
            rent_one(&view, &mut hires, &mut plan, t, offer);
            if spec.kind == Kind::Array {
                // The rest of its tasks follow one another in that room.
                let room = Room::of_type(t).slots(&spec.need);
                if room >= wanted {
                    break;
                }
            }
        }
    }
    // Places that stand ready for the next gang.
    if let Some(gpu) = &view.gpu_spec {
        let wanted = headroom(node, &view, &plan);
        let mut tries = 0;
        while spare_places(&view, &plan, None) < wanted && tries < most {
            tries += 1;
            let bounds = Bounds {
                care: Care::Lax,
                dearest: f64::INFINITY,
                barred: &HashSet::new(),
            };
            let found = best_offer(node, &view, &hires, gpu, 1, &bounds);
            let Some((t, offer)) = found else { break };
            rent_one(&view, &mut hires, &mut plan, t, offer);
        }
    }
    // The first in the queue were asked for first.
    let mut hires: Vec<(usize, Hire)> = hires.into_values().collect();
    hires.sort_by_key(|h| h.0);
    hires.into_iter().map(|h| h.1).take(most).collect()
}

/// Jobs that wait for others which are about to end, and what those are: all
/// of their tasks run, and by their owners' estimates are over before a machine
/// that is rented now is up. For others that wait nothing is rented yet.
fn about_to_start(view: &View) -> Vec<(&str, &[String])> {
    let boot_s = view.least_boot_s();
    let ends_soon = |id: &String| {
        let job = view.jobs.get(id).map(|e| &e.value);
        let job = job.filter(|j| j.booked() > 0 && j.waiting() == 0);
        let spec = job.and_then(|j| j.spec.as_ref());
        spec.is_some_and(|s| s.kind != Kind::Service && s.estimate_s <= boot_s)
    };
    let held = view.held();
    held.filter(|(_, left)| left.iter().all(ends_soon))
        .collect()
}

/// A job that fails wherever it runs rents nothing: it is tried on what others
/// have. Where nothing is there that could hold it, it may a few times more, or
/// three sick machines in a row would be the end of a job in order.
fn may_rent_once_more(view: &View, job: &Job, spec: &Spec) -> bool {
    let holds = |class: &crate::view::Class| {
        let room = view.class_type(class).map(Room::of_type);
        spec.allows(&class.kind, &class.zone, class.spot)
            && room.is_some_and(|r| r.fits(&spec.need))
    };
    let tries = DOUBT as u32 * 2;
    let mut spots = view.spots();
    job.booked() == 0
        && job.errors <= tries
        && !spots.any(|s| holds(&view.classes[s.class as usize]))
}

/// Every offer is known as a class of machines before the plan counts on it.
fn name_offers(node: &Node) {
    let mut view = node.view.borrow_mut();
    for t in view.types.value.types.clone() {
        for zone in &t.zones {
            for spot in [true, false] {
                view.class(&t.name, zone, spot);
            }
        }
    }
}

fn running_cpus(view: &View) -> f64 {
    let mut cpus = 0.0;
    for (_, id) in &view.open {
        if let Some(job) = view.jobs.get(id).map(|e| &e.value)
            && let Some(spec) = &job.spec
            && spec.kind == Kind::Array
        {
            cpus += spec.need.cpus.units() * job.booked() as f64;
        }
    }
    cpus
}
