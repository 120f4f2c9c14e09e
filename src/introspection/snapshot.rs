//! Builds the responses to operators from the controller's state at one point in time.

use std::cell::Ref;
use std::collections::BTreeMap;

use tokio::time::Instant;

use super::messages::{FleetReport, JobDetails, RunDetails, TeamDetails, UnfinishedJob};
use super::reason::PendingReason;
use crate::api::job_state;
use crate::cloud;
use crate::controller::Controller;
use crate::scheduler::{self, Plan};
use crate::settings::TeamQuota;
use crate::state::records::{Job, JobSpec, JobStatus, MachineLifecycle, Run};
use crate::state::replica::Replica;
use crate::wire::{JobKind, JobStage};

/// Maximum number of jobs on a page of the report, and of runs in the details of a job.
const PAGE_SIZE: usize = 100;

/// Key in the machine counts for machines on which tasks are booked.
const MACHINES_WITH_WORK: &str = "with-work";

/// State of a controller at one point in time.
pub(super) struct Snapshot<'a> {
    controller: &'a Controller,
    replica: Ref<'a, Replica>,
    now: Instant,
}

/// Job that is neither done nor cancelled.
struct Unfinished<'a> {
    id: &'a str,
    job: &'a Job,
    spec: &'a JobSpec,
    stage: JobStage,
    is_late: bool,
}

impl<'a> Snapshot<'a> {
    /// Returns a snapshot of the current state.
    pub(super) fn new(controller: &'a Controller) -> Self {
        Snapshot {
            controller,
            replica: controller.replica.borrow(),
            now: Instant::now(),
        }
    }

    /// Returns the details of a job, or `None` if the replica does not contain the job.
    pub(super) fn job(&self, id: &str) -> Option<JobDetails> {
        let job = &self.replica.jobs.get(id)?.value;
        let spec = job.spec.as_ref();
        let stage = job_state(&self.replica, id)?.stage;
        let is_open = self.replica.effective_status(id) == Some(JobStatus::Open);
        let reason = is_open.then(|| self.reason(id, job));
        let runs = job.runs.iter().take(PAGE_SIZE);
        Some(JobDetails {
            job: id.to_string(),
            stage,
            class: spec.map(|spec| spec.class.clone()),
            team: spec.map(|spec| spec.team.clone()),
            tasks: job.tasks,
            done: job.done_count(),
            waiting: job.waiting_count(),
            running: job.booked_count(),
            failures: job.failure_count,
            failed_on: job.failed_on.clone(),
            known_s: is_open.then(|| self.age_s(id)),
            late: spec.is_some_and(|spec| is_open && self.is_late(id, job, spec)),
            reason_s: reason.as_ref().map(|reason| reason.seconds),
            reason: reason.map(|reason| reason.text),
            runs: runs.map(|run| run_details(run, is_open)).collect(),
        })
    }

    /// Returns the details of all teams, in the order of the settings.
    pub(super) fn teams(&self) -> Vec<TeamDetails> {
        let settings = &self.controller.settings;
        let plan = Plan::from_replica(&self.replica);
        let first_seen = self.controller.placement.first_seen();
        let queue = scheduler::queue(&self.replica, &plan, settings, &first_seen, self.now);
        let teams = settings.deployment.teams.iter();
        teams.map(|quota| self.team(quota, &queue)).collect()
    }

    /// Returns the details of one team. `queue` contains the waiting jobs in scheduling
    /// order.
    fn team(&self, quota: &TeamQuota, queue: &[&str]) -> TeamDetails {
        let used = self.replica.team_used(&quota.name);
        let (cpus, gpus) = (used.cpus.units(), used.gpus.units());
        let waiting: Vec<(&str, &Job)> = queue
            .iter()
            .filter_map(|id| Some((*id, &self.replica.jobs.get(*id)?.value)))
            .filter(|(_, job)| {
                job.spec
                    .as_ref()
                    .is_some_and(|spec| spec.team == quota.name)
            })
            .collect();
        TeamDetails {
            team: quota.name.clone(),
            cpus_used: cpus,
            cpus_guaranteed: quota.cpus,
            cpus_limit: quota.cpus_max,
            cpus_borrowed: (cpus - quota.cpus).max(0.0),
            gpus_used: gpus,
            gpus_guaranteed: quota.gpus,
            gpus_limit: quota.gpus_max,
            gpus_borrowed: (gpus - quota.gpus).max(0.0),
            waiting_jobs: waiting.len(),
            waiting_tasks: waiting.iter().map(|(_, job)| job.waiting_count()).sum(),
            why: waiting.first().map(|(id, job)| self.reason(id, job).text),
        }
    }

    /// Returns the page of unfinished jobs after the id `after`, with totals over all pages.
    pub(super) fn report(&self, after: &str) -> FleetReport {
        let unfinished: Vec<Unfinished> = self.unfinished().collect();
        let mut jobs: Vec<UnfinishedJob> = unfinished
            .iter()
            .filter(|entry| entry.id > after)
            .map(|entry| self.unfinished_job(entry))
            .collect();
        jobs.sort_by(|a, b| a.job.cmp(&b.job));
        let next = (jobs.len() > PAGE_SIZE).then(|| jobs[PAGE_SIZE - 1].job.clone());
        jobs.truncate(PAGE_SIZE);
        let count = |condition: fn(&Unfinished) -> bool| {
            unfinished.iter().filter(|entry| condition(entry)).count()
        };
        FleetReport {
            controller: self.controller.name().to_string(),
            state_age_s: self
                .controller
                .replica_staleness()
                .map(|age| age.as_secs_f64()),
            unfinished: unfinished.len(),
            late: count(|entry| entry.is_late),
            services_short: count(|entry| entry.spec.kind == JobKind::Service),
            machines: self.machine_counts(),
            refused_by_cloud: self.refused_offers(),
            commands: self.controller.workers.command_counts(),
            jobs,
            next,
        }
    }

    /// Returns the jobs that are neither done nor cancelled. Services are only included if they
    /// lack replicas.
    fn unfinished(&self) -> impl Iterator<Item = Unfinished<'_>> {
        let ready = self.replica.open_jobs.iter().map(|(_, id)| id.as_str());
        let blocked = self.replica.blocked_jobs().map(|(id, _)| id);
        ready.chain(blocked).filter_map(|id| {
            let job = &self.replica.jobs.get(id)?.value;
            let spec = job.spec.as_ref()?;
            if spec.kind == JobKind::Service && job.waiting_count() == 0 {
                return None;
            }
            Some(Unfinished {
                id,
                job,
                spec,
                stage: job_state(&self.replica, id)?.stage,
                is_late: self.is_late(id, job, spec),
            })
        })
    }

    /// Returns the report entry of an unfinished job.
    fn unfinished_job(&self, entry: &Unfinished) -> UnfinishedJob {
        let reason = self.reason(entry.id, entry.job);
        let done = entry.job.done_count();
        UnfinishedJob {
            job: entry.id.to_string(),
            class: entry.spec.class.clone(),
            team: entry.spec.team.clone(),
            stage: entry.stage,
            left: entry.job.tasks.saturating_sub(done),
            late: entry.is_late,
            known_s: self.age_s(entry.id),
            reason: reason.text,
            reason_s: reason.seconds,
        }
    }

    /// Returns the number of machines in each lifecycle state, and the number of machines with
    /// booked tasks.
    fn machine_counts(&self) -> BTreeMap<String, usize> {
        let mut counts: BTreeMap<String, usize> = cloud::count_machines_by_lifecycle(&self.replica)
            .into_iter()
            .map(|(state, count)| (state.to_string(), count))
            .collect();
        let machines = self.replica.machines.iter();
        let with_work = machines.filter(|(id, machine)| {
            machine.value.lifecycle != MachineLifecycle::Gone
                && self.replica.bookings.contains_key(*id)
        });
        counts.insert(MACHINES_WITH_WORK.into(), with_work.count());
        counts
    }

    /// Returns the offers that the cloud has recently refused, according to this controller and
    /// to the messages of its peers.
    fn refused_offers(&self) -> Vec<String> {
        let mut refused = self.controller.fleet.borrow().refused_offers(self.now);
        let peers = self.controller.peers.borrow();
        refused.extend(peers.refused_offers(self.controller, self.now));
        refused.sort();
        refused.dedup();
        refused
    }

    /// Returns the time since this controller first saw a job, in seconds.
    fn age_s(&self, id: &str) -> f64 {
        self.controller.placement.age_s(id, self.now)
    }

    /// Returns whether a job is past its own deadline, or has waiting tasks and is too late
    /// for every objective of its class.
    fn is_late(&self, id: &str, job: &Job, spec: &JobSpec) -> bool {
        let urgency = self.replica.effective_urgency(id, spec, self.now);
        if urgency.time_left_s.is_some_and(|left| left < 0.0) {
            return true;
        }
        let settings = &self.controller.settings;
        job.waiting_count() > 0 && scheduler::is_late(spec, settings, self.age_s(id), &urgency)
    }

    /// Returns the reason why an open job is unfinished.
    fn reason(&self, id: &str, job: &Job) -> PendingReason {
        PendingReason::for_job(self.controller, id, job, self.now)
    }
}

/// Returns the details of a run, which is the set of a job's tasks of one attempt on one
/// machine. If the job is not open, its tasks are being stopped.
fn run_details(run: &Run, is_open: bool) -> RunDetails {
    RunDetails {
        machine: run.machine.clone(),
        zone: run.zone.clone(),
        attempt: run.attempt,
        tasks: run.tasks.len(),
        stopping: run.stop || !is_open,
    }
}
