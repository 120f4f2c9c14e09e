//! What a worker is to be told: the difference between the bookings of its machine
//! and its newest report. Nothing is sent or recorded here.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::{AttemptKey, OwnedWorker, TerminationEvidence};
use crate::state::records::{Job, JobStatus, MachineLifecycle, Run, Spec, TaskOutcome, split_task};
use crate::state::replica::{Entry, Replica};
use crate::wire::{CommandAction, ExitReason, TaskStage, TaskStatus, WorkerCommand, WorkerStatus};

/// What a worker is to be told, and which bookings are to be released.
#[derive(Debug, Default, PartialEq)]
pub struct WorkerPlan {
    /// Orders for the worker, to be executed in this order.
    pub commands: Vec<WorkerCommand>,
    /// Attempts that have ended, with their outcome.
    pub terminations: Vec<(AttemptKey, TaskOutcome)>,
}

impl WorkerPlan {
    /// Whether any of the orders starts a task.
    pub fn launches(&self) -> bool {
        self.commands
            .iter()
            .any(|o| o.action == CommandAction::Start)
    }

    /// Takes the launches out unless the replica is recent enough for them: what an
    /// older view books may have been cancelled at another controller since.
    /// True if any were taken out; they are planned again after a read barrier.
    pub fn defer_launches(&mut self, replica_staleness: Option<Duration>, limit: Duration) -> bool {
        let recent = replica_staleness.is_some_and(|age| age < limit);
        if recent || !self.launches() {
            return false;
        }
        self.commands.retain(|o| o.action != CommandAction::Start);
        true
    }

    fn order(&mut self, action: CommandAction, task: &str, attempt: u64, grace_s: Option<f64>) {
        self.commands.push(WorkerCommand {
            action,
            task: task.to_string(),
            attempt,
            grace_s,
        });
    }
}

fn outcome(why: Option<ExitReason>) -> TaskOutcome {
    match why {
        Some(ExitReason::Done) => TaskOutcome::Done,
        Some(ExitReason::Error | ExitReason::Unknown) => TaskOutcome::Failed,
        _ => TaskOutcome::Lost,
    }
}

/// The grace period of a stop: enough to save a checkpoint, none for a job that
/// is over.
pub fn stop_grace_s(job: &Job, spec: Option<&Spec>) -> f64 {
    match spec {
        Some(s) if job.is_open() && s.checkpoint_s > 0.0 => s.save_s * 1.5 + 1.0,
        _ => 0.0,
    }
}

/// Works out the difference between the bookings of a machine and its newest
/// report. Stops that have shown no effect are ordered again after `repeat`. Pure:
/// nothing is sent or recorded here.
pub fn reconcile(
    id: &str,
    owned_worker: &OwnedWorker,
    replica: &Replica,
    ends: &BTreeMap<AttemptKey, TerminationEvidence>,
    repeat: Duration,
    now: Instant,
) -> WorkerPlan {
    let mut plan = WorkerPlan::default();
    let (Some(report), Some(machine)) = (&owned_worker.status, replica.machines.get(id)) else {
        return plan;
    };
    // Safety 2: act on bookings only once the replica has reached our claim, and
    // only while the claim is still ours as far as the replica tells.
    if replica.revision < owned_worker.claim_revision
        || machine.value.fencing_token != owned_worker.fencing_token
    {
        return plan;
    }
    let reconciler = Reconciler {
        machine: id,
        lifecycle: machine.value.lifecycle,
        owned_worker,
        replica,
        ends,
        repeat,
        now,
    };
    let mut reported = HashSet::new();
    for task in &report.tasks {
        if let Some((job, number)) = split_task(&task.task) {
            reported.insert((job, number, task.attempt));
            reconciler.plan_reported(job, number, task, &mut plan);
        }
    }
    // Safety 3: only a report newer than every launch proves that a task that it
    // lacks is not there.
    if owned_worker.are_launches_settled() {
        reconciler.plan_missing(&reported, &mut plan);
    }
    plan
}

/// What the plan of one machine depends on.
struct Reconciler<'a> {
    machine: &'a str,
    lifecycle: MachineLifecycle,
    owned_worker: &'a OwnedWorker,
    replica: &'a Replica,
    /// Ends that wait to be recorded.
    ends: &'a BTreeMap<AttemptKey, TerminationEvidence>,
    repeat: Duration,
    now: Instant,
}

impl Reconciler<'_> {
    fn end_key(&self, job: &str, task: u32, attempt: u64) -> AttemptKey {
        AttemptKey {
            job: job.to_string(),
            machine: self.machine.to_string(),
            attempt,
            task,
        }
    }

    /// Plans for a task that the worker reports.
    fn plan_reported(&self, job: &str, number: u32, task: &TaskStatus, plan: &mut WorkerPlan) {
        let entry = self.replica.jobs.get(job);
        let booking = entry.and_then(|e| {
            let run = e.value.find(self.machine, task.attempt, number)?;
            Some((&e.value, run))
        });
        let ended = task.stage == TaskStage::Ended;
        match booking {
            Some(_) if ended => {
                // Safety 3: with a launch that may be executed late neither the
                // booking is released nor the attempt forgotten.
                if !self.owned_worker.has_unanswered_launch {
                    let key = self.end_key(job, number, task.attempt);
                    plan.terminations.push((key, outcome(task.exit_reason)));
                }
            }
            Some((job, run)) => self.stop_booked(job, run, task, plan),
            None if ended => {
                // The end is on record, or was never ours to record.
                if self.owned_worker.are_launches_settled() {
                    plan.order(CommandAction::Forget, &task.task, task.attempt, None);
                }
            }
            None => self.stop_unbooked(task, plan),
        }
    }

    /// Stops a booked task whose job is over, whose run is to end, or whose
    /// machine is to be returned.
    fn stop_booked(&self, job: &Job, run: &Run, task: &TaskStatus, plan: &mut WorkerPlan) {
        let returning = matches!(
            self.lifecycle,
            MachineLifecycle::Returning | MachineLifecycle::Gone
        );
        if job.is_open() && !run.stop && !returning {
            return;
        }
        let grace_s = stop_grace_s(job, job.spec.as_ref());
        let saving = task.stage == TaskStage::Saving;
        let wanted = match self.stop_ordered(task) {
            None => !saving || grace_s == 0.0,
            Some((at, given)) => *given > grace_s || (!saving && self.is_overdue(*at)),
        };
        if wanted {
            plan.order(CommandAction::Stop, &task.task, task.attempt, Some(grace_s));
        }
    }

    /// Stops a task that nobody has booked here, at once.
    fn stop_unbooked(&self, task: &TaskStatus, plan: &mut WorkerPlan) {
        let ordered = self.stop_ordered(task);
        if ordered.is_none_or(|(at, _)| self.is_overdue(*at)) {
            plan.order(CommandAction::Stop, &task.task, task.attempt, Some(0.0));
        }
    }

    /// When the task was last ordered to stop, and with how much grace.
    fn stop_ordered(&self, task: &TaskStatus) -> Option<&(Instant, f64)> {
        self.owned_worker
            .stop_commands
            .get(&(task.task.clone(), task.attempt))
    }

    fn is_overdue(&self, ordered: Instant) -> bool {
        self.now.saturating_duration_since(ordered) > self.repeat
    }

    /// Plans for the bookings of which the report shows no task.
    fn plan_missing(&self, reported: &HashSet<(&str, u32, u64)>, plan: &mut WorkerPlan) {
        for (job, entry) in self.replica.jobs_on(self.machine) {
            let runs = entry.value.runs.iter();
            for run in runs.filter(|r| r.machine == self.machine) {
                for number in run.tasks.iter() {
                    if !reported.contains(&(job, number, run.attempt)) {
                        self.plan_missing_task(job, entry, run, number, plan);
                    }
                }
            }
        }
    }

    /// A task that is booked and not there is lost, or has yet to be launched.
    fn plan_missing_task(
        &self,
        job_id: &str,
        entry: &Entry<Job>,
        run: &Run,
        number: u32,
        plan: &mut WorkerPlan,
    ) {
        let key = self.end_key(job_id, number, run.attempt);
        let recording = self.ends.get(&key);
        if recording.is_some_and(|proof| proof.fencing_token == self.owned_worker.fencing_token) {
            return;
        }
        let task = format!("{job_id}/{number}");
        let launched = self
            .owned_worker
            .launched_attempts
            .contains(&(task.clone(), run.attempt));
        // A gang's member that was there and is gone has broken the attempt; an
        // independent task is simply launched again, but not where no order
        // arrives.
        let job = &entry.value;
        let gang = job.spec.as_ref().is_some_and(Spec::is_gang);
        let lost = run.stop || self.owned_worker.unreachable_since.is_some() || (gang && launched);
        if !job.is_open() || self.lifecycle != MachineLifecycle::Active || lost {
            plan.terminations.push((key, TaskOutcome::Lost));
        } else if entry.version <= self.replica.revision {
            plan.order(CommandAction::Start, &task, run.attempt, None);
        }
    }
}

/// Whether something on the machine has to end: its lease must not be renewed by
/// a controller that cannot order that yet. A cancelled task would outlive
/// `cancel_s` if its owner came back again and again before it could claim the
/// machine.
pub fn must_stop(report: &WorkerStatus, replica: &Replica) -> bool {
    let reported = report.tasks.iter().any(|task| {
        let Some((id, number)) = split_task(&task.task) else {
            return false;
        };
        let job = replica.jobs.get(id).map(|e| &e.value);
        let stays = job.is_some_and(|job| {
            job.is_open() && job.find(&report.machine, task.attempt, number).is_some()
        });
        task.stage != TaskStage::Ended && !stays
    });
    let mut booked = replica.jobs_on(&report.machine);
    reported || booked.any(|(_, entry)| !entry.value.is_open())
}

/// The stops that an answer which renews the lease has to carry: for every task
/// in that very report whose job is cancelled. What is final needs neither a
/// report under our token nor a replica that has reached our claim, and a stop may
/// be repeated at any time: it is not left out because it was ordered a moment
/// ago, or is in a direct call just now, as neither may ever arrive.
pub fn stops_of_cancelled_tasks(report: &WorkerStatus, replica: &Replica) -> Vec<WorkerCommand> {
    let cancelled = |task: &&TaskStatus| {
        let job = split_task(&task.task).and_then(|(id, _)| replica.jobs.get(id));
        task.stage != TaskStage::Ended
            && job.is_some_and(|e| e.value.status == JobStatus::Cancelled)
    };
    let stop = |task: &TaskStatus| WorkerCommand {
        action: CommandAction::Stop,
        task: task.task.clone(),
        attempt: task.attempt,
        grace_s: Some(0.0),
    };
    report.tasks.iter().filter(cancelled).map(stop).collect()
}
