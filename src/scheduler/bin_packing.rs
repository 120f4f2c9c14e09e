//! Whether a job fits, and where: pure decisions on a plan of free resources.
//!
//! KEP-2724, "Computing the assignment": a required gang is admitted only when
//! all its tasks fit one topology domain, here a zone, else it waits; a
//! preferred one relaxes upward and is finally admitted spread.

use std::cmp::Reverse;

use foldhash::HashMap;

use super::candidates::{AcceleratorProtection, MachineCandidates, PlacementHints};
use super::plan::{Plan, TaskPlacement, UNASSIGNED, tasks_within_quota};
use super::record_size::tasks_within_record_limit;
use super::wait_states::WaitReason;
use crate::settings::Settings;
use crate::state::records::{Job, Spec};
use crate::state::replica::PlanSlot;
use crate::wire::Kind;

/// How many records of a transaction are not zone shards: the job and its team.
const RECORDS_BESIDE_PARTS: usize = 2;

/// Finds places for a job's waiting tasks: all of a gang's or none, as many
/// as there are for independent tasks.
pub fn find_placements(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &PlacementHints,
    settings: &Settings,
    care: AcceleratorProtection,
) -> Result<Vec<TaskPlacement>, WaitReason> {
    let replica = hints.replica;
    let request = Request {
        job,
        spec,
        plan,
        hints,
        settings,
        care,
    };
    let mut places: Vec<TaskPlacement> = request
        .find()?
        .into_iter()
        .map(|at| {
            let slot = &plan.plan_slots[at];
            TaskPlacement {
                slot_index: at,
                machine: replica.machine_names.name(slot.machine),
                zone: replica.classes[slot.class as usize].zone.clone(),
                shard: replica.zone_shard_names.name(slot.shard),
            }
        })
        .collect();
    let slots = tasks_within_record_limit(
        job,
        &places,
        settings
            .value_limit_bytes()
            .saturating_sub(replica.share_name_bytes(&spec.team)),
        replica.uses_compact_encoding(),
    );
    if slots == 0 || (spec.is_gang() && slots < places.len()) {
        return Err(WaitReason::RecordFull);
    }
    places.truncate(slots);
    Ok(places)
}

/// How many of the job's tasks fit; cheaper than where.
pub fn count_placements(
    job: &Job,
    spec: &Spec,
    plan: &Plan,
    hints: &PlacementHints,
    settings: &Settings,
    care: AcceleratorProtection,
) -> usize {
    let request = Request {
        job,
        spec,
        plan,
        hints,
        settings,
        care,
    };
    request.find().map_or(0, |plan_slots| plan_slots.len())
}

/// A job that places are searched for, and what the search goes by.
#[derive(Clone, Copy)]
struct Request<'a> {
    job: &'a Job,
    spec: &'a Spec,
    plan: &'a Plan,
    hints: &'a PlacementHints<'a>,
    settings: &'a Settings,
    care: AcceleratorProtection,
}

/// Places as indices of machines in the plan.
type Spots = Vec<usize>;

impl Request<'_> {
    /// The machines that a job has failed on come last: for one that fails on all
    /// of them, when there is no other; for the rest, once it has waited for one.
    fn find(&self) -> Result<Spots, WaitReason> {
        let job = self.job;
        let found = self.find_without(&job.failed_on);
        match found {
            Err(_)
                if !job.failed_on.is_empty()
                    && (self.hints.retry_failed_machines || job.is_suspected_faulty()) =>
            {
                self.find_without(&[])
            }
            found => found,
        }
    }

    /// Places that are not on these machines, in as many zone shards as one commit
    /// writes beside the job and its team.
    ///
    /// What is guaranteed once compact encodings are written: a gang that fits into two
    /// zone shards is admitted whole. A zone has one zone shard for each controller that is at
    /// home in it, unless it has some hundreds of machines for each, so a required
    /// gang that fits its zone does where two are at home there at most. A
    /// preferred one that only more zone shards would hold waits as if there were no
    /// room, so that machines are rented for it. A service takes two zone shards if they
    /// hold all that waits of it; else it is admitted by zone shards, replica by replica.
    fn find_without(&self, excluded: &[String]) -> Result<Spots, WaitReason> {
        let found = self.find_within(None, excluded)?;
        if self.spec.kind == Kind::Array || !self.hints.replica.uses_compact_encoding() {
            return Ok(found);
        }
        let txn_ops = self.settings.txn_ops();
        let max_shards = txn_ops.saturating_sub(RECORDS_BESIDE_PARTS).max(1);
        let tasks_by_shard = self.tasks_by_shard(&found);
        if tasks_by_shard.len() <= max_shards {
            return Ok(found);
        }
        let zone_shards = self.shards_by_tasks(&tasks_by_shard);
        let pairs = (1..zone_shards.len()).flat_map(|b| (0..b).map(move |a| (a, b)));
        let narrow = pairs
            .filter_map(|(a, b)| {
                self.find_within(Some([zone_shards[a], zone_shards[b]]), excluded)
                    .ok()
            })
            .find(|plan_slots| plan_slots.len() >= found.len());
        match narrow {
            Some(plan_slots) => Ok(plan_slots),
            None if self.spec.is_gang() => Err(WaitReason::NoRoom),
            None => Ok(found),
        }
    }

    /// How many of the places each zone shard has.
    fn tasks_by_shard(&self, plan_slots: &[usize]) -> HashMap<u32, usize> {
        let mut tasks: HashMap<u32, usize> = HashMap::default();
        let zone_shards = plan_slots.iter().map(|at| self.plan.plan_slots[*at].shard);
        for shard in zone_shards.filter(|shard| *shard != UNASSIGNED) {
            *tasks.entry(shard).or_default() += 1;
        }
        tasks
    }

    /// All zone shards of the plan; those that hold most of the tasks come first.
    fn shards_by_tasks(&self, tasks: &HashMap<u32, usize>) -> Vec<u32> {
        let mut zone_shards: Vec<u32> =
            self.plan.plan_slots.iter().map(|slot| slot.shard).collect();
        zone_shards.sort_unstable();
        zone_shards.dedup();
        zone_shards.retain(|shard| *shard != UNASSIGNED);
        zone_shards.sort_by_key(|shard| Reverse(tasks.get(shard).copied().unwrap_or(0)));
        zone_shards
    }

    /// Places in these zone shards, or in all: in one zone if the job wants that and a
    /// zone has room, else spread over the zones.
    fn find_within(
        &self,
        zone_shards: Option<[u32; 2]>,
        excluded: &[String],
    ) -> Result<Spots, WaitReason> {
        let spec = self.spec;
        let waiting = self.job.waiting();
        let limit = self.task_limit()?;
        let zone_caps = self.zone_caps();
        let candidates = MachineCandidates::new(spec, self.hints, self.care)
            .without(excluded)
            .within(zone_shards);
        if spec.is_gang() || spec.one_zone {
            let best = best_zone(&candidates, self.plan, &zone_caps, limit);
            if let Some(plan_slots) = best
                && (!spec.is_gang() || plan_slots.len() == waiting)
            {
                return Ok(plan_slots);
            }
            if spec.one_zone {
                return Err(match spec.is_gang() {
                    true => WaitReason::NoZone,
                    false => WaitReason::NoRoom,
                });
            }
        }
        let capped = zone_caps.iter().any(|cap| *cap < limit);
        let plan_slots = candidates.fill(self.plan, &zone_caps, limit).plan_slots;
        if plan_slots.is_empty() || (spec.is_gang() && plan_slots.len() < waiting) {
            return Err(if capped {
                WaitReason::Spread
            } else {
                WaitReason::NoRoom
            });
        }
        Ok(plan_slots)
    }

    /// How many tasks wait that the team's limit lets run.
    fn task_limit(&self) -> Result<usize, WaitReason> {
        let spec = self.spec;
        let waiting = self.job.waiting();
        if waiting == 0 {
            return Err(WaitReason::OldAttempt);
        }
        let Some(terms) = self.settings.team(&spec.team) else {
            return Err(WaitReason::TeamLimit);
        };
        let by_team = tasks_within_quota(terms, &self.plan.team_used(&spec.team), &spec.need);
        let limit = waiting.min(by_team);
        if limit == 0 || (spec.is_gang() && limit < waiting) {
            return Err(WaitReason::TeamLimit);
        }
        Ok(limit)
    }

    /// How many more tasks each zone may take. Tasks that are still elsewhere bind
    /// a job of one zone to theirs.
    fn zone_caps(&self) -> Vec<usize> {
        let spec = self.spec;
        let running = self.job.tasks_per_zone();
        let zones = &self.hints.replica.zone_names;
        (0..zones.len() as u32)
            .map(|zone| {
                let name = zones.name(zone);
                if spec.one_zone && running.keys().any(|other| *other != &*name) {
                    return 0;
                }
                let here = running.get(&*name).copied().unwrap_or(0);
                spec.zone_cap().saturating_sub(here)
            })
            .collect()
    }
}

/// The places in the one zone that takes most of the tasks; of those that take as
/// many, in the zone with the best places (KEP-2724: one domain that takes them
/// all, and the best such one).
fn best_zone(
    candidates: &MachineCandidates,
    plan: &Plan,
    zone_caps: &[usize],
    limit: usize,
) -> Option<Spots> {
    let best = (0..zone_caps.len())
        .filter(|zone| zone_caps[*zone] > 0)
        .map(|zone| {
            let mut only = vec![0; zone_caps.len()];
            only[zone] = zone_caps[zone];
            candidates.fill(plan, &only, limit)
        })
        .filter(|filled| !filled.plan_slots.is_empty())
        .min_by_key(|filled| (Reverse(filled.plan_slots.len()), filled.score));
    best.map(|filled| filled.plan_slots)
}

/// Keeps the resources that a gang waits for, in the zone that has the most of
/// them, from what comes behind it in the queue. Machines that hold none of its
/// tasks yet are left to others: a reservation would not free them any sooner.
pub fn reserve_capacity(spec: &Spec, plan: &mut Plan, hints: &PlacementHints) {
    let candidates = MachineCandidates::new(spec, hints, AcceleratorProtection::Strict);
    let zones = hints.replica.zone_names.len();
    let mut slots = vec![0; zones];
    let allowed = |slot: &&PlanSlot| candidates.class(slot).allowed;
    for slot in plan.plan_slots.iter().filter(allowed) {
        slots[candidates.class(slot).zone] += slot.free.slots(&spec.need);
    }
    let best = (0..zones).max_by_key(|zone| slots[*zone]);
    let Some(best) = best.filter(|zone| slots[*zone] > 0) else {
        return;
    };
    let mut left = spec.tasks as usize;
    for slot in &mut plan.plan_slots {
        let class = candidates.class(slot);
        while left > 0 && class.allowed && class.zone == best && slot.free.fits(&spec.need) {
            slot.free -= spec.need;
            left -= 1;
        }
    }
}
