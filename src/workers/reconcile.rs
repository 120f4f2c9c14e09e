//! What a worker is to be told: the difference between the bookings of its machine
//! and its newest status. Nothing is sent or recorded here.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::owned_worker::{OwnedWorker, StopCommand, TaskAttempt};
use super::termination::{AttemptKey, Termination, TerminationEvidence};
use super::worker_plan::WorkerPlan;
use crate::state::records::{Job, MachineLifecycle, Run, Spec, TaskOutcome, split_task};
use crate::state::replica::{Entry, Replica};
use crate::wire::{CommandAction, ExitReason, TaskStage, TaskStatus};

/// The grace period of a stop is this many times as long as the job says that it takes
/// to save a checkpoint, and `SAVE_MARGIN_S` longer.
const SAVE_FACTOR: f64 = 1.5;

/// What a grace period adds for the way of the command, in seconds.
const SAVE_MARGIN_S: f64 = 1.0;

/// The grace period of a stop, in seconds: enough to save a checkpoint, none for a job
/// that is over.
pub fn stop_grace_s(job: &Job, spec: Option<&Spec>) -> f64 {
    match spec {
        Some(s) if job.is_open() && s.checkpoint_s > 0.0 => s.save_s * SAVE_FACTOR + SAVE_MARGIN_S,
        _ => 0.0,
    }
}

/// The outcome of an attempt that a worker reports as ended.
fn outcome_of(reason: Option<ExitReason>) -> TaskOutcome {
    match reason {
        Some(ExitReason::Done) => TaskOutcome::Done,
        Some(ExitReason::Error | ExitReason::Unknown) => TaskOutcome::Failed,
        _ => TaskOutcome::Lost,
    }
}

/// Works out the difference between the bookings of a machine and its newest
/// status. Stops that have shown no effect are commanded again after `retry_after`.
/// Pure: nothing is sent or recorded here.
pub fn reconcile(
    id: &str,
    owned_worker: &OwnedWorker,
    replica: &Replica,
    pending_terminations: &BTreeMap<AttemptKey, TerminationEvidence>,
    retry_after: Duration,
    now: Instant,
) -> WorkerPlan {
    let mut plan = WorkerPlan::default();
    let (Some(status), Some(machine)) = (&owned_worker.status, replica.machines.get(id)) else {
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
        pending_terminations,
        retry_after,
        now,
    };
    let mut reported = HashSet::new();
    for task in &status.tasks {
        if let Some((job, number)) = split_task(&task.task) {
            reported.insert(ReportedTask {
                job,
                number,
                attempt: task.attempt,
            });
            reconciler.plan_reported(job, number, task, &mut plan);
        }
    }
    // Safety 3: only a status newer than every launch proves that a task that it
    // lacks is not there.
    if owned_worker.are_launches_settled() {
        reconciler.plan_missing(&reported, &mut plan);
    }
    plan
}

/// A task that the worker's newest status shows.
#[derive(PartialEq, Eq, Hash)]
struct ReportedTask<'a> {
    job: &'a str,
    number: u32,
    attempt: u64,
}

/// What the plan of one machine depends on.
struct Reconciler<'a> {
    machine: &'a str,
    lifecycle: MachineLifecycle,
    owned_worker: &'a OwnedWorker,
    replica: &'a Replica,
    /// Terminations that wait to be recorded.
    pending_terminations: &'a BTreeMap<AttemptKey, TerminationEvidence>,
    /// The wait after which a stop that has shown no effect is repeated.
    retry_after: Duration,
    now: Instant,
}

impl Reconciler<'_> {
    fn attempt_key(&self, job: &str, task: u32, attempt: u64) -> AttemptKey {
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
        let has_ended = task.stage == TaskStage::Ended;
        match booking {
            Some(_) if has_ended => {
                // Safety 3: with a launch that may be executed late neither the
                // booking is released nor the attempt forgotten.
                if !self.owned_worker.has_unanswered_launch {
                    plan.terminations.push(Termination {
                        key: self.attempt_key(job, number, task.attempt),
                        outcome: outcome_of(task.exit_reason),
                    });
                }
            }
            Some((job, run)) => self.stop_booked(job, run, task, plan),
            None if has_ended => {
                // The termination is on record, or was never ours to record.
                if self.owned_worker.are_launches_settled() {
                    plan.command(CommandAction::Forget, &task.task, task.attempt, None);
                }
            }
            None => self.stop_unbooked(task, plan),
        }
    }

    /// Stops a booked task whose job is over, whose run is to end, or whose
    /// machine is to be returned.
    fn stop_booked(&self, job: &Job, run: &Run, task: &TaskStatus, plan: &mut WorkerPlan) {
        let is_returning = matches!(
            self.lifecycle,
            MachineLifecycle::Returning | MachineLifecycle::Gone
        );
        if job.is_open() && !run.stop && !is_returning {
            return;
        }
        let grace_s = stop_grace_s(job, job.spec.as_ref());
        let is_saving = task.stage == TaskStage::Saving;
        let is_due = match self.last_stop(task) {
            None => !is_saving || grace_s == 0.0,
            Some(stop) => stop.grace_s > grace_s || (!is_saving && self.is_overdue(stop)),
        };
        if is_due {
            plan.command(CommandAction::Stop, &task.task, task.attempt, Some(grace_s));
        }
    }

    /// Stops a task that nobody has booked here, at once.
    fn stop_unbooked(&self, task: &TaskStatus, plan: &mut WorkerPlan) {
        if self
            .last_stop(task)
            .is_none_or(|stop| self.is_overdue(stop))
        {
            plan.command(CommandAction::Stop, &task.task, task.attempt, Some(0.0));
        }
    }

    /// The last stop of the task that was commanded.
    fn last_stop(&self, task: &TaskStatus) -> Option<&StopCommand> {
        let attempt = TaskAttempt::new(task.task.clone(), task.attempt);
        self.owned_worker.stop_commands.get(&attempt)
    }

    /// Whether a stop should have shown its effect by now.
    fn is_overdue(&self, stop: &StopCommand) -> bool {
        self.now.saturating_duration_since(stop.sent_at) > self.retry_after
    }

    /// Plans for the bookings of which the status shows no task.
    fn plan_missing(&self, reported: &HashSet<ReportedTask>, plan: &mut WorkerPlan) {
        for (job, entry) in self.replica.jobs_on(self.machine) {
            let runs = entry.value.runs.iter();
            for run in runs.filter(|r| r.machine == self.machine) {
                for number in run.tasks.iter() {
                    let booked = ReportedTask {
                        job,
                        number,
                        attempt: run.attempt,
                    };
                    if !reported.contains(&booked) {
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
        let key = self.attempt_key(job_id, number, run.attempt);
        let pending = self.pending_terminations.get(&key);
        let fencing_token = self.owned_worker.fencing_token;
        if pending.is_some_and(|evidence| evidence.fencing_token == fencing_token) {
            return;
        }
        let attempt = TaskAttempt::new(format!("{job_id}/{number}"), run.attempt);
        let job = &entry.value;
        if !job.is_open()
            || self.lifecycle != MachineLifecycle::Active
            || self.is_lost(job, run, &attempt)
        {
            plan.terminations.push(Termination {
                key,
                outcome: TaskOutcome::Lost,
            });
        } else if entry.version <= self.replica.revision {
            plan.command(CommandAction::Start, &attempt.task, attempt.attempt, None);
        }
    }

    /// Whether a missing task is not to be launched again under this attempt. A gang's
    /// member that was there and is gone has broken the attempt; an independent task is
    /// simply launched again, but not where no command arrives.
    fn is_lost(&self, job: &Job, run: &Run, attempt: &TaskAttempt) -> bool {
        let is_gang = job.spec.as_ref().is_some_and(Spec::is_gang);
        let was_launched = self.owned_worker.launched_attempts.contains(attempt);
        run.stop || self.owned_worker.unreachable_since.is_some() || (is_gang && was_launched)
    }
}
