//! Preemption: running work is stopped for jobs that find no room.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::bin_packing::find_placements;
use super::candidates::{AcceleratorProtection, PlacementHints};
use super::plan::Plan;
use super::preemption_search::{PreemptionCandidate, VictimSearch, places_wanted};
use super::round_search::{RoundSearch, VICTIM_SEARCHES};
use super::round_state::RoundState;
use super::transaction::Transaction;
use crate::controller::Controller;
use crate::state::records::{Job, Spec};
use crate::state::replica::Replica;

/// How long a preemption is given to show its effect before the same job may
/// preempt again, as a multiple of a gang's wait for its peers.
const PREEMPTION_PATIENCE: u32 = 2;

/// The preemptions of one round.
pub(super) struct Preemption<'a, 'v> {
    controller: &'a Controller,
    replica: &'v Replica,
    state: &'a mut RoundState,
    transaction: &'a mut Transaction<'v>,
    search: &'a mut RoundSearch,
    hints: PlacementHints<'a>,
    /// The plan as it will be: resources that are being cleared count as free,
    /// once for each job that they will serve.
    expected: Plan,
    /// Jobs with victims, as this round has left them so far.
    changed: BTreeMap<String, Job>,
    now: Instant,
}

/// Victims that make room for a job, and the care under which it fits then.
struct Found {
    victims: Vec<PreemptionCandidate>,
    care: AcceleratorProtection,
}

impl<'a, 'v> Preemption<'a, 'v> {
    /// Prepares the preemptions of a round that ends with this plan.
    pub(super) fn new(
        controller: &'a Controller,
        replica: &'v Replica,
        state: &'a mut RoundState,
        transaction: &'a mut Transaction<'v>,
        search: &'a mut RoundSearch,
        plan: &Plan,
        now: Instant,
    ) -> Preemption<'a, 'v> {
        let expected = search.expected(replica, plan).clone();
        Preemption {
            controller,
            replica,
            state,
            transaction,
            search,
            hints: PlacementHints::new(replica, controller.name()),
            expected,
            changed: BTreeMap::new(),
            now,
        }
    }

    /// Stops work for the blocked jobs, as many as one transaction holds.
    pub(super) fn run(&mut self, plan: &Plan, blocked: &[String]) {
        for id in blocked {
            if self.search.victim_searches >= VICTIM_SEARCHES * 2 {
                return;
            }
            let Some(job) = self.replica.jobs.get(id).map(|e| &e.value) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            let Some(missing) = self.missing_places(id, job, spec) else {
                continue;
            };
            let Some(found) = self.find_victims(plan, id, job, spec, missing) else {
                self.state.without_victims.insert(id.clone(), self.now);
                continue;
            };
            let touched = found.victims.iter().map(|v| v.job.as_str());
            if !self
                .transaction
                .has_capacity_for_jobs(touched.chain([id.as_str()]))
            {
                return;
            }
            self.state.preempted_for.insert(id.clone(), self.now);
            for victim in &found.victims {
                self.stop(victim, id);
            }
            self.transaction
                .edit_job_record(id, |job| job.has_preempted = true);
            self.take_places(job, spec, found.care);
        }
    }

    /// How many places the job lacks, unless none, or preemption for it was tried
    /// lately. The places that it will have are taken out of the plan.
    fn missing_places(&mut self, id: &str, job: &Job, spec: &Spec) -> Option<usize> {
        let wanted = places_wanted(job, spec);
        let found = self.take_places(job, spec, AcceleratorProtection::Strict);
        let tried = self.state.preempted_for.contains_key(id)
            || self.state.without_victims.contains_key(id);
        (found < wanted && !tried).then(|| wanted - found)
    }

    /// Takes the job's places out of the plan, and tells how many there are.
    fn take_places(&mut self, job: &Job, spec: &Spec, care: AcceleratorProtection) -> usize {
        let settings = &self.controller.settings;
        let places = find_placements(job, spec, &self.expected, &self.hints, settings, care);
        for place in places.iter().flatten() {
            self.expected.reserve(place, &spec.team, spec.need);
        }
        places.map_or(0, |places| places.len())
    }

    /// Victims for a job; those whose machines it may take with care come first.
    fn find_victims(
        &mut self,
        plan: &Plan,
        id: &str,
        job: &Job,
        spec: &Spec,
        missing: usize,
    ) -> Option<Found> {
        self.search.victim_searches += 1;
        let running = self
            .search
            .running(self.controller.name(), self.replica, plan);
        let search = VictimSearch {
            settings: &self.controller.settings,
            hints: &self.hints,
            running: &running,
            changed: &self.changed,
            expected: &self.expected,
        };
        [AcceleratorProtection::Strict, AcceleratorProtection::Lax]
            .into_iter()
            .find_map(|care| {
                let found = search.find(id, job, spec, care, missing)?;
                let victims = found.victims;
                Some(Found { victims, care })
            })
    }

    /// Stops a victim's tasks and gives their resources back to the plan.
    fn stop(&mut self, victim: &PreemptionCandidate, for_job: &str) {
        tracing::info!(
            job = victim.job,
            machine = victim.machine,
            tasks = victim.tasks,
            for_job,
            "preempted"
        );
        let (replica, expected) = (self.replica, &mut self.expected);
        let value_limit_bytes = self.controller.settings.value_limit_bytes();
        self.transaction.edit_job_record(&victim.job, |stopped| {
            if let Some(spec) = &stopped.spec {
                let resources = spec.need.times(victim.tasks);
                expected.release(replica, &victim.machine, &spec.team, resources);
            }
            let fits = |job: &Job| replica.fits_job(job, value_limit_bytes);
            stopped.stop_tasks(&victim.machine, victim.tasks, fits);
        });
        if let Some(stopped) = self.transaction.job(&victim.job) {
            self.changed.insert(victim.job.clone(), stopped.clone());
        }
    }
}

/// Forgets preemptions and vain searches of so long ago that the same job may
/// try again.
pub(super) fn forget_old_attempts(controller: &Controller, state: &mut RoundState, now: Instant) {
    let settings = &controller.settings;
    let gang_wait = Duration::from_secs_f64(settings.deployment.workers.gang_peer_s);
    let patience = gang_wait * PREEMPTION_PATIENCE;
    let pause = settings.heartbeat_interval() / 2;
    state
        .preempted_for
        .retain(|_, at| now.saturating_duration_since(*at) < patience);
    state
        .without_victims
        .retain(|_, at| now.saturating_duration_since(*at) < pause);
}
