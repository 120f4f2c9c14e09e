//! Bin packing: finds machines for a job's tasks in a plan of free resources. The
//! functions only read the plan and have no side effects.
//!
//! The admission of gangs follows KEP-2724, "Computing the assignment": a gang that
//! requires one topology domain (here a zone) is admitted only if all its tasks fit into
//! one, and waits otherwise. A gang that merely prefers one domain is spread over several
//! if none has capacity for all its tasks.

use std::cmp::Reverse;

use foldhash::HashMap;

use super::assignment::assign;
use super::candidates::MachineCandidates;
use super::hints::{AcceleratorProtection, PlacementHints};
use super::plan::{Plan, TaskPlacement, UNASSIGNED, tasks_within_quota};
use super::record_size::tasks_within_record_limit;
use super::wait_states::WaitReason;
use crate::settings::Settings;
use crate::state::records::{Job, JobSpec};
use crate::wire::JobKind;

/// Number of records in a booking commit that are not zone shards: the record of the job
/// and that of its team.
const RECORDS_BESIDE_ZONE_SHARDS: usize = 2;

/// Finds placements for a job's waiting tasks. Returns placements for all tasks of a gang
/// or an error; for other jobs, returns placements for as many tasks as fit.
pub fn find_placements(
    job: &Job,
    spec: &JobSpec,
    plan: &Plan,
    hints: &PlacementHints,
    settings: &Settings,
    protection: AcceleratorProtection,
) -> Result<Vec<TaskPlacement>, WaitReason> {
    let request = PlacementRequest {
        job,
        spec,
        plan,
        hints,
        settings,
        protection,
    };
    request.find_placements()
}

/// Inputs of a search for a job's placements.
#[derive(Clone, Copy)]
pub(super) struct PlacementRequest<'a> {
    pub(super) job: &'a Job,
    pub(super) spec: &'a JobSpec,
    pub(super) plan: &'a Plan,
    pub(super) hints: &'a PlacementHints<'a>,
    pub(super) settings: &'a Settings,
    pub(super) protection: AcceleratorProtection,
}

/// Indices of machines in the plan, one entry per task.
type SlotIndices = Vec<usize>;

impl PlacementRequest<'_> {
    /// Returns the same request with a different accelerator protection.
    pub(super) fn with_protection(self, protection: AcceleratorProtection) -> Self {
        PlacementRequest { protection, ..self }
    }

    /// Finds placements for the job's waiting tasks, at most as many as the job's record
    /// has space for.
    pub(super) fn find_placements(&self) -> Result<Vec<TaskPlacement>, WaitReason> {
        let slot_indices = self.find_slots()?;
        let mut placements: Vec<TaskPlacement> = slot_indices
            .into_iter()
            .map(|slot_index| self.placement_at(slot_index))
            .collect();
        let recordable = self.tasks_within_record(&placements);
        if recordable == 0 || (self.spec.is_gang() && recordable < placements.len()) {
            return Err(WaitReason::RecordFull);
        }
        placements.truncate(recordable);
        Ok(placements)
    }

    /// Returns the number of the job's tasks that machines are found for. Cheaper than
    /// [`Self::find_placements`], as it neither builds the placements nor checks whether
    /// the job's record has space for them.
    pub(super) fn count_placements(&self) -> usize {
        self.find_slots()
            .map_or(0, |slot_indices| slot_indices.len())
    }

    /// Returns the placement of a task on the machine with this index in the plan.
    fn placement_at(&self, slot_index: usize) -> TaskPlacement {
        let replica = self.hints.replica;
        let slot = &self.plan.plan_slots[slot_index];
        TaskPlacement {
            slot_index,
            machine: replica.machine_names.name(slot.machine),
            zone: replica.classes[slot.class as usize].zone.clone(),
            shard: replica.zone_shard_names.name(slot.shard),
        }
    }

    /// Returns the number of placements that the job's record has space for.
    fn tasks_within_record(&self, placements: &[TaskPlacement]) -> usize {
        let replica = self.hints.replica;
        let share_bytes = replica.share_name_bytes(&self.spec.team);
        let limit_bytes = self
            .settings
            .value_limit_bytes()
            .saturating_sub(share_bytes);
        let compact = replica.uses_compact_encoding();
        tasks_within_record_limit(self.job, placements, limit_bytes, compact)
    }

    /// Finds a machine for each task. Machines that the job has failed on are used only if
    /// no other machine has capacity, and only for a job that is suspected faulty or that
    /// has waited long enough for another machine.
    fn find_slots(&self) -> Result<SlotIndices, WaitReason> {
        let job = self.job;
        let found = self.find_excluding(&job.failed_on);
        match found {
            Err(_)
                if !job.failed_on.is_empty()
                    && (self.hints.retry_failed_machines || job.is_suspected_faulty()) =>
            {
                self.find_excluding(&[])
            }
            found => found,
        }
    }

    /// Finds machines outside `excluded`. The machines of a gang are in at most as many
    /// zone shards as one commit can write in addition to the job's and the team's records.
    ///
    /// The following is guaranteed once compact encodings are written: a gang that fits
    /// into two zone shards is admitted whole. A zone has one zone shard for each
    /// controller that is the preferred owner of machines there, and further ones only if
    /// it has some hundreds of machines per controller. A gang that requires one zone and
    /// fits into it is therefore always admitted in a zone with at most two such
    /// controllers. A gang that merely prefers one zone and would need more than two zone
    /// shards waits as if there were no capacity, so that machines are provisioned for it.
    /// A service gets two zone shards if they have capacity for all its waiting tasks;
    /// otherwise its replicas are booked in several commits.
    fn find_excluding(&self, excluded: &[String]) -> Result<SlotIndices, WaitReason> {
        let found = self.find_in_shards(None, excluded)?;
        if self.spec.kind == JobKind::Array || !self.hints.replica.uses_compact_encoding() {
            return Ok(found);
        }
        let txn_ops = self.settings.max_writes_per_commit();
        let max_shards = txn_ops.saturating_sub(RECORDS_BESIDE_ZONE_SHARDS).max(1);
        let tasks_by_shard = self.tasks_by_shard(&found);
        if tasks_by_shard.len() <= max_shards {
            return Ok(found);
        }
        let zone_shards = self.shards_by_tasks(&tasks_by_shard);
        let pairs = (1..zone_shards.len())
            .flat_map(|second| (0..second).map(move |first| (first, second)))
            .map(|(first, second)| [zone_shards[first], zone_shards[second]]);
        let in_two_shards = pairs
            .filter_map(|pair| self.find_in_shards(Some(pair), excluded).ok())
            .find(|slot_indices| slot_indices.len() >= found.len());
        match in_two_shards {
            Some(slot_indices) => Ok(slot_indices),
            None if self.spec.is_gang() => Err(WaitReason::NoCapacity),
            None => Ok(found),
        }
    }

    /// Returns the number of tasks that are placed in each zone shard.
    fn tasks_by_shard(&self, slot_indices: &[usize]) -> HashMap<u32, usize> {
        let mut tasks: HashMap<u32, usize> = HashMap::default();
        let slots = slot_indices
            .iter()
            .map(|index| &self.plan.plan_slots[*index]);
        let zone_shards = slots.map(|slot| slot.shard);
        for shard in zone_shards.filter(|shard| *shard != UNASSIGNED) {
            *tasks.entry(shard).or_default() += 1;
        }
        tasks
    }

    /// Returns all zone shards of the plan. Those in which the most tasks are placed come
    /// first.
    fn shards_by_tasks(&self, tasks: &HashMap<u32, usize>) -> Vec<u32> {
        let mut zone_shards: Vec<u32> =
            self.plan.plan_slots.iter().map(|slot| slot.shard).collect();
        zone_shards.sort_unstable();
        zone_shards.dedup();
        zone_shards.retain(|shard| *shard != UNASSIGNED);
        zone_shards.sort_by_key(|shard| Reverse(tasks.get(shard).copied().unwrap_or(0)));
        zone_shards
    }

    /// Finds machines in these zone shards, or in all zone shards if `zone_shards` is
    /// `None`. Gangs and one-zone jobs get machines in a single zone if one has capacity;
    /// other jobs, and gangs that merely prefer one zone, are spread over the zones.
    fn find_in_shards(
        &self,
        zone_shards: Option<[u32; 2]>,
        excluded: &[String],
    ) -> Result<SlotIndices, WaitReason> {
        let spec = self.spec;
        let waiting = self.job.waiting_count();
        let limit = self.task_limit()?;
        let zone_caps = self.zone_caps();
        let candidates = MachineCandidates::new(spec, self.hints, self.protection)
            .excluding(excluded)
            .restricted_to(zone_shards);
        if spec.is_gang() || spec.one_zone {
            let best = best_zone(&candidates, self.plan, &zone_caps, limit);
            if let Some(slot_indices) = best
                && (!spec.is_gang() || slot_indices.len() == waiting)
            {
                return Ok(slot_indices);
            }
            if spec.one_zone {
                return Err(match spec.is_gang() {
                    true => WaitReason::NoZone,
                    false => WaitReason::NoCapacity,
                });
            }
        }
        self.spread_over_zones(&candidates, &zone_caps, limit)
    }

    /// Finds machines in all zones, within the task cap of each zone.
    fn spread_over_zones(
        &self,
        candidates: &MachineCandidates,
        zone_caps: &[usize],
        limit: usize,
    ) -> Result<SlotIndices, WaitReason> {
        let slot_indices = assign(candidates, self.plan, zone_caps, limit).slot_indices;
        let incomplete_gang = self.spec.is_gang() && slot_indices.len() < self.job.waiting_count();
        if !slot_indices.is_empty() && !incomplete_gang {
            return Ok(slot_indices);
        }
        let is_capped = zone_caps.iter().any(|cap| *cap < limit);
        Err(match is_capped {
            true => WaitReason::ZoneCapReached,
            false => WaitReason::NoCapacity,
        })
    }

    /// Returns the number of waiting tasks that the team's limit allows to run.
    fn task_limit(&self) -> Result<usize, WaitReason> {
        let spec = self.spec;
        let waiting = self.job.waiting_count();
        if waiting == 0 {
            return Err(WaitReason::OldAttempt);
        }
        let Some(quota) = self.settings.team(&spec.team) else {
            return Err(WaitReason::TeamLimit);
        };
        let by_team = tasks_within_quota(quota, &self.plan.team_used(&spec.team), &spec.need);
        let limit = waiting.min(by_team);
        if limit == 0 || (spec.is_gang() && limit < waiting) {
            return Err(WaitReason::TeamLimit);
        }
        Ok(limit)
    }

    /// Returns the number of further tasks that may be placed in each zone. If a job must
    /// be in one zone and has booked tasks in a zone, the number is 0 for all other zones.
    fn zone_caps(&self) -> Vec<usize> {
        let spec = self.spec;
        let tasks_by_zone = self.job.tasks_per_zone();
        let zones = &self.hints.replica.zone_names;
        (0..zones.len() as u32)
            .map(|zone| {
                let name = zones.name(zone);
                if spec.one_zone && tasks_by_zone.keys().any(|other| *other != &*name) {
                    return 0;
                }
                let running_in_zone = tasks_by_zone.get(&*name).copied().unwrap_or(0);
                spec.zone_cap().saturating_sub(running_in_zone)
            })
            .collect()
    }
}

/// Returns machines in the zone that has capacity for the most tasks; among equal zones,
/// in the one with the best score (KEP-2724 likewise selects the best of the domains that
/// have capacity for all tasks).
fn best_zone(
    candidates: &MachineCandidates,
    plan: &Plan,
    zone_caps: &[usize],
    limit: usize,
) -> Option<SlotIndices> {
    let best = (0..zone_caps.len())
        .filter(|zone| zone_caps[*zone] > 0)
        .map(|zone| {
            let mut caps = vec![0; zone_caps.len()];
            caps[zone] = zone_caps[zone];
            assign(candidates, plan, &caps, limit)
        })
        .filter(|assignment| !assignment.slot_indices.is_empty())
        .min_by_key(|assignment| (Reverse(assignment.slot_indices.len()), assignment.score));
    best.map(|assignment| assignment.slot_indices)
}
