//! Plans the commands and terminations of a worker from the difference between the bookings
//! of its machine and its newest status. This module sends no commands and changes no state.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::owned_worker::{OwnedWorker, StopCommand, TaskAttempt};
use super::surplus::surplus_tasks;
use super::task_on_machine::TaskOnMachine;
use super::termination::{AttemptKey, Termination, TerminationEvidence};
use super::worker_plan::WorkerPlan;
use crate::state::records::{Job, JobSpec, MachineLifecycle, Run, TaskOutcome};
use crate::state::replica::{Replica, Versioned};
use crate::wire::{
    CommandAction, ExitReason, MAX_TASKS_PER_MESSAGE, TaskStage, TaskStatus, WorkerStatus,
};

/// Grace period of a stop without its margin, as a multiple of the time that the job declares
/// for saving a checkpoint.
const SAVE_GRACE_FACTOR: f64 = 1.5;

/// Time that is added to a grace period for the transfer of the command, in seconds.
const SAVE_GRACE_MARGIN_S: f64 = 1.0;

/// Returns the grace period of a stop, in seconds: long enough to save a checkpoint, and zero
/// if the job has ended or saves no checkpoints.
pub fn stop_grace_s(job: &Job, spec: Option<&JobSpec>) -> f64 {
    match spec {
        Some(s) if job.is_open() && s.checkpoint_s > 0.0 => {
            s.save_s * SAVE_GRACE_FACTOR + SAVE_GRACE_MARGIN_S
        }
        _ => 0.0,
    }
}

/// Returns the outcome of an attempt that a worker reports as ended.
fn outcome_of(reason: Option<ExitReason>) -> TaskOutcome {
    match reason {
        Some(ExitReason::Done) => TaskOutcome::Done,
        Some(ExitReason::Error | ExitReason::Unknown) => TaskOutcome::Failed,
        _ => TaskOutcome::Lost,
    }
}

/// Plans the commands and terminations that follow from the difference between the bookings
/// of a machine and the newest status of its worker. A stop that has shown no effect is
/// commanded again after `retry_after`.
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
    // Safety 2: act on bookings only once the replica has reached this controller's claim,
    // and only while that claim is the machine's newest one in the replica.
    if replica.revision < owned_worker.claim_revision
        || !owned_worker.fencing.is_recorded_in(&machine.value)
    {
        return plan;
    }
    let reported: HashMap<TaskOnMachine, TaskStage> = status
        .tasks
        .iter()
        .filter_map(|task| Some((TaskOnMachine::reported(task)?, task.stage)))
        .collect();
    let stage_of = |task: &TaskOnMachine| reported.get(task).copied();
    let reconciler = Reconciler {
        machine: id,
        lifecycle: machine.value.lifecycle,
        owned_worker,
        replica,
        pending_terminations,
        surplus: surplus_tasks(id, replica, stage_of),
        retry_after,
        now,
    };
    for task in &status.tasks {
        if let Some(reported_task) = TaskOnMachine::reported(task) {
            reconciler.plan_reported(reported_task, task, &mut plan);
        }
    }
    reconciler.plan_surplus(status, &mut plan);
    plan.limit(CommandAction::Stop, owned_worker.max_new_stops(status));
    // Safety 3: only a status newer than every launch proves that a task missing from it is
    // not on the machine.
    if owned_worker.are_launches_settled() {
        reconciler.plan_missing(&reported, &mut plan);
        let free_entries = free_entries(status, &plan);
        plan.limit(CommandAction::Start, free_entries);
    }
    plan
}

/// Returns the number of tasks that the worker can list in addition to those in its status,
/// once it has executed the planned commands.
fn free_entries(status: &WorkerStatus, plan: &WorkerPlan) -> usize {
    let listed = status.tasks.len() - plan.count(CommandAction::Forget);
    MAX_TASKS_PER_MESSAGE.saturating_sub(listed)
}

/// The inputs of one machine's plan.
struct Reconciler<'a> {
    machine: &'a str,
    lifecycle: MachineLifecycle,
    owned_worker: &'a OwnedWorker,
    replica: &'a Replica,
    /// Terminations that wait to be recorded.
    pending_terminations: &'a BTreeMap<AttemptKey, TerminationEvidence>,
    /// Booked tasks that the machine has too many of.
    surplus: HashSet<TaskOnMachine<'a>>,
    /// Time after which a stop without visible effect is repeated.
    retry_after: Duration,
    now: Instant,
}

impl Reconciler<'_> {
    fn attempt_key(&self, task: TaskOnMachine) -> AttemptKey {
        AttemptKey {
            job: task.job.to_string(),
            machine: self.machine.to_string(),
            attempt: task.attempt,
            task: task.number,
        }
    }

    /// Plans the command or termination, if any, of a task that the worker reports.
    fn plan_reported(&self, reported: TaskOnMachine, task: &TaskStatus, plan: &mut WorkerPlan) {
        let entry = self.replica.jobs.get(reported.job);
        let booking = entry.and_then(|e| {
            let run = e
                .value
                .find_run(self.machine, task.attempt, reported.number)?;
            Some((&e.value, run))
        });
        let has_ended = task.stage == TaskStage::Ended;
        match booking {
            Some(_) if has_ended => {
                // Safety 3: while a launch may still be executed late, the booking is not
                // released and the worker is not commanded to forget the attempt.
                if !self.owned_worker.has_unanswered_launch {
                    plan.terminations.push(Termination {
                        key: self.attempt_key(reported),
                        outcome: outcome_of(task.exit_reason),
                    });
                }
            }
            Some((job, run)) => {
                if self.must_leave(job, run) {
                    self.stop_booked(job, task, plan);
                }
            }
            None if has_ended => {
                // The attempt has no booking to be released, so the worker may forget it.
                if self.owned_worker.are_launches_settled() {
                    plan.push_command(CommandAction::Forget, &task.task, task.attempt, None);
                }
            }
            None => self.stop_unbooked(task, plan),
        }
    }

    /// Returns whether a booked task has to leave the machine: if its job has ended, its run is
    /// to be stopped, or the machine is being returned.
    fn must_leave(&self, job: &Job, run: &Run) -> bool {
        let is_returning = matches!(
            self.lifecycle,
            MachineLifecycle::Returning | MachineLifecycle::Gone
        );
        !job.is_open() || run.stop || is_returning
    }

    /// Plans the stops of the tasks that the machine has too many of, after all other stops.
    fn plan_surplus(&self, status: &WorkerStatus, plan: &mut WorkerPlan) {
        if self.surplus.is_empty() {
            return;
        }
        for task in status.tasks.iter().filter(|t| t.stage != TaskStage::Ended) {
            let surplus = TaskOnMachine::reported(task).filter(|t| self.surplus.contains(t));
            let job = surplus.and_then(|surplus| self.replica.jobs.get(surplus.job));
            if let Some(entry) = job {
                self.stop_booked(&entry.value, task, plan);
            }
        }
    }

    /// Plans the stop of a booked task, unless it is being stopped already.
    fn stop_booked(&self, job: &Job, task: &TaskStatus, plan: &mut WorkerPlan) {
        let grace_s = stop_grace_s(job, job.spec.as_ref());
        let is_saving = task.stage == TaskStage::Saving;
        let is_due = match self.last_stop(task) {
            None => !is_saving || grace_s == 0.0,
            Some(stop) => stop.grace_s > grace_s || (!is_saving && self.is_overdue(stop)),
        };
        if is_due {
            plan.push_command(CommandAction::Stop, &task.task, task.attempt, Some(grace_s));
        }
    }

    /// Plans the stop, without a grace period, of a task that has no booking on the machine.
    fn stop_unbooked(&self, task: &TaskStatus, plan: &mut WorkerPlan) {
        if self
            .last_stop(task)
            .is_none_or(|stop| self.is_overdue(stop))
        {
            plan.push_command(CommandAction::Stop, &task.task, task.attempt, Some(0.0));
        }
    }

    /// Returns the last stop that was commanded for the task.
    fn last_stop(&self, task: &TaskStatus) -> Option<&StopCommand> {
        let attempt = TaskAttempt::new(task.task.clone(), task.attempt);
        self.owned_worker.stop_commands.get(&attempt)
    }

    /// Returns whether a stop should have had a visible effect by now.
    fn is_overdue(&self, stop: &StopCommand) -> bool {
        self.now.saturating_duration_since(stop.sent_at) > self.retry_after
    }

    /// Plans the launches and terminations of booked tasks that are missing from the status.
    fn plan_missing(&self, reported: &HashMap<TaskOnMachine, TaskStage>, plan: &mut WorkerPlan) {
        for (job, entry) in self.replica.jobs_on(self.machine) {
            let runs = entry.value.runs.iter();
            for run in runs.filter(|r| r.machine == self.machine) {
                for number in run.tasks.iter() {
                    let booked = TaskOnMachine {
                        job,
                        number,
                        attempt: run.attempt,
                    };
                    if !reported.contains_key(&booked) {
                        self.plan_missing_task(booked, entry, run, plan);
                    }
                }
            }
        }
    }

    /// Plans the launch of a booked task that is not on the machine, or its termination if
    /// the attempt is lost or must not be launched.
    fn plan_missing_task(
        &self,
        booked: TaskOnMachine,
        entry: &Versioned<Job>,
        run: &Run,
        plan: &mut WorkerPlan,
    ) {
        let key = self.attempt_key(booked);
        let pending = self.pending_terminations.get(&key);
        let claim_token = self.owned_worker.fencing.range().last();
        if pending.is_some_and(|evidence| evidence.fencing_token == claim_token) {
            return;
        }
        let task = format!("{}/{}", booked.job, booked.number);
        let attempt = TaskAttempt::new(task, run.attempt);
        let job = &entry.value;
        if !job.is_open()
            || self.lifecycle != MachineLifecycle::Active
            || self.surplus.contains(&booked)
            || self.is_lost(job, run, &attempt)
        {
            plan.terminations.push(Termination {
                key,
                outcome: TaskOutcome::Lost,
            });
        } else if entry.version <= self.replica.revision {
            plan.push_command(CommandAction::Start, &attempt.task, attempt.attempt, None);
        }
    }

    /// Returns whether a missing task must not be launched in this attempt: if its run is to
    /// be stopped, if the worker is unreachable, or if a task of a gang has disappeared after
    /// its launch. The gang's attempt has failed then. An independent task that has
    /// disappeared is launched again.
    fn is_lost(&self, job: &Job, run: &Run, attempt: &TaskAttempt) -> bool {
        let is_gang = job.spec.as_ref().is_some_and(JobSpec::is_gang);
        let was_launched = self.owned_worker.launched_attempts.contains(attempt);
        run.stop || self.owned_worker.unreachable_since.is_some() || (is_gang && was_launched)
    }
}
