//! Whether a job fits, and where: pure decisions on a plan of free room.
//!
//! KEP-2724, "Computing the assignment": a required gang is admitted only when
//! all its tasks fit one topology domain, here a zone, else it waits; a
//! preferred one relaxes upward and is finally admitted spread.

use std::cmp::Reverse;

use foldhash::HashMap;

use super::candidates::{Care, Field, Hints};
use super::plan::{Place, Plan, UNNAMED, team_slots};
use super::reasons::Wait;
use super::record_size::record_slots;
use crate::model::{Job, Spec};
use crate::settings::Settings;
use crate::view::Spot;
use crate::wire::Kind;

/// Finds places for a job's waiting tasks: all of a gang's or none, as many
/// as there are for independent tasks.
pub fn fit(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<Place>, Wait> {
    let view = hints.view;
    let mut places: Vec<Place> = find(job, spec, plan, hints, settings, care)?
        .into_iter()
        .map(|at| {
            let spot = &plan.spots[at];
            Place {
                at,
                machine: view.machine_names.name(spot.machine),
                zone: view.classes[spot.class as usize].zone.clone(),
                part: view.part_names.name(spot.part),
            }
        })
        .collect();
    let slots = record_slots(job, &places, settings.value_bytes(), view.is_short());
    if slots == 0 || (spec.is_gang() && slots < places.len()) {
        return Err(Wait::RecordFull);
    }
    places.truncate(slots);
    Ok(places)
}

/// How many of the job's tasks fit; cheaper than where.
pub fn count(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> usize {
    find(job, spec, plan, hints, settings, care).map_or(0, |places| places.len())
}

/// The machines that a job has failed on come last: for one that fails on all
/// of them, when there is no other; for the rest, once it has waited for one.
pub(super) fn find(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<usize>, Wait> {
    let found = find_off(&job.failed_on, job, spec, plan, hints, settings, care);
    match found {
        Err(_) if !job.failed_on.is_empty() && (hints.lenient || job.is_doubtful()) => {
            find_off(&[], job, spec, plan, hints, settings, care)
        }
        found => found,
    }
}

/// Places that are not on these machines, in as many parts as one commit writes
/// beside the job and its team.
///
/// What is guaranteed once short texts are written: a gang that fits into two
/// parts is admitted whole. A zone has one part for each controller that is at
/// home in it, unless it has some hundreds of machines for each, so a required
/// gang that fits its zone does where two are at home there at most. A preferred
/// one that only more parts would hold waits as if there were no room, so that
/// machines are rented for it. A service takes two parts if they hold all that
/// waits of it; else it is admitted by parts, replica by replica.
fn find_off(
    barred: &[String],
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<usize>, Wait> {
    let within = |parts| find_within(parts, barred, job, spec, plan, hints, settings, care);
    let found = within(None)?;
    if spec.kind == Kind::Array || !hints.view.is_short() {
        return Ok(found);
    }
    let most = settings.txn_ops().saturating_sub(2).max(1);
    let mut held: HashMap<u32, usize> = HashMap::default();
    let parts = found.iter().map(|at| plan.spots[*at].part);
    for part in parts.filter(|p| *p != UNNAMED) {
        *held.entry(part).or_default() += 1;
    }
    if held.len() <= most {
        return Ok(found);
    }
    let mut all: Vec<u32> = plan.spots.iter().map(|s| s.part).collect();
    all.sort_unstable();
    all.dedup();
    all.retain(|p| *p != UNNAMED);
    // Those that hold most of them first.
    all.sort_by_key(|p| Reverse(held.get(p).copied().unwrap_or(0)));
    let pairs = (1..all.len()).flat_map(|b| (0..b).map(move |a| (a, b)));
    let narrow = pairs
        .filter_map(|(a, b)| within(Some([all[a], all[b]])).ok())
        .find(|places| places.len() >= found.len());
    match narrow {
        Some(places) => Ok(places),
        None if spec.is_gang() => Err(Wait::NoRoom),
        None => Ok(found),
    }
}

#[allow(clippy::too_many_arguments)]
fn find_within(
    within: Option<[u32; 2]>,
    barred: &[String],
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &Hints,
    settings: &Settings,
    care: Care,
) -> Result<Vec<usize>, Wait> {
    let waiting = job.waiting();
    if waiting == 0 {
        return Err(Wait::OldAttempt);
    }
    let Some(terms) = settings.team(&spec.team) else {
        return Err(Wait::TeamLimit);
    };
    let gang = spec.is_gang();
    let by_team = team_slots(terms, &plan.used(&spec.team), &spec.need);
    let most = waiting.min(by_team);
    if most == 0 || (gang && most < waiting) {
        return Err(Wait::TeamLimit);
    }
    let per_zone = job.per_zone();
    // Tasks that are still elsewhere bind a job of one zone to theirs.
    let zones = &hints.view.zone_names;
    let caps: Vec<usize> = (0..zones.len() as u32)
        .map(|z| {
            let name = zones.name(z);
            if spec.one_zone && per_zone.keys().any(|other| *other != &*name) {
                return 0;
            }
            let here = per_zone.get(&*name).copied().unwrap_or(0);
            spec.zone_cap().saturating_sub(here)
        })
        .collect();
    let mut field = Field::new(spec, hints, care).without(barred);
    field.within = within;
    if gang || spec.one_zone {
        // KEP-2724: one domain that takes them all; the best such one.
        let found = (0..caps.len())
            .filter(|z| caps[*z] > 0)
            .map(|z| {
                let mut only = vec![0; caps.len()];
                only[z] = caps[z];
                field.fill(plan, &only, most)
            })
            .filter(|(places, _)| !places.is_empty())
            .min_by_key(|(places, score)| (Reverse(places.len()), *score));
        if let Some((places, _)) = found
            && (!gang || places.len() == waiting)
        {
            return Ok(places);
        }
        if spec.one_zone {
            return Err(if gang { Wait::NoZone } else { Wait::NoRoom });
        }
    }
    // Relaxed: spread over the zones.
    let capped = caps.iter().any(|cap| *cap < most);
    let (places, _) = field.fill(plan, &caps, most);
    if places.is_empty() || (gang && places.len() < waiting) {
        return Err(if capped { Wait::Spread } else { Wait::NoRoom });
    }
    Ok(places)
}

/// Keeps the room that a gang waits for, in the zone that has the most of it,
/// from what comes behind it in the queue. Machines that hold none of its
/// tasks yet are left to others: what they run would not make way sooner.
pub fn hold_room(spec: &Spec, plan: &mut Plan, hints: &Hints) {
    let field = Field::new(spec, hints, Care::Strict);
    let zones = hints.view.zone_names.len();
    let mut room = vec![0; zones];
    let open = |spot: &Spot| field.gates[spot.class as usize].allowed;
    for spot in plan.spots.iter().filter(|s| open(s)) {
        room[field.gates[spot.class as usize].zone] += spot.free.slots(&spec.need);
    }
    let Some(best) = (0..zones).max_by_key(|z| room[*z]).filter(|z| room[*z] > 0) else {
        return;
    };
    let mut left = spec.tasks as usize;
    for spot in &mut plan.spots {
        let gate = &field.gates[spot.class as usize];
        while left > 0 && gate.allowed && gate.zone == best && spot.free.fits(&spec.need) {
            spot.free -= spec.need;
            left -= 1;
        }
    }
}
