//! Decides which workers are called directly, and when. A direct call carries commands to a
//! worker as soon as its machine's bookings or its status have changed, without a wait for
//! the next heartbeat.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::claim_queue::ClaimPriority;
use super::command_call::{CommandCall, send};
use super::command_log::Channel;
use super::fencing::TokenChange;
use super::reconcile::reconcile;
use super::worker_plan::{WorkerPlan, includes_launch};
use super::{OwnedWorker, Termination};
use crate::controller::Controller;
use crate::http::Deadlines;
use crate::wire::{WorkerCommand, WorkerCommands};

/// Maximum time for the answer to a direct call, the same as a worker waits for the answer
/// to a heartbeat.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

impl Controller {
    /// Returns the time after which a command without visible effect is repeated.
    fn command_retry_interval(&self) -> Duration {
        self.settings.heartbeat_interval() * 2
    }

    /// Plans the commands for a machine's worker from the present replica, and queues the
    /// terminations that were found. The returned plan contains only the commands; it is
    /// empty if the machine is not owned.
    pub(super) fn reconcile_worker(&self, id: &str) -> WorkerPlan {
        let mut plan = self.plan_worker(id);
        let terminations: Vec<Termination> = std::mem::take(&mut plan.terminations);
        self.queue_terminations(terminations);
        plan
    }

    fn plan_worker(&self, id: &str) -> WorkerPlan {
        let owned_workers = self.workers.owned();
        let Some(owned_worker) = owned_workers.get(id) else {
            return WorkerPlan::default();
        };
        reconcile(
            id,
            owned_worker,
            &self.replica.borrow(),
            &self.workers.pending_terminations(),
            self.command_retry_interval(),
            Instant::now(),
        )
    }

    /// Removes the launches from a plan if the replica is too old for launches, and requests
    /// a read barrier. The launches are planned again after the barrier.
    pub(super) fn defer_stale_launches(&self, id: &str, plan: &mut WorkerPlan) {
        let limit = self.settings.max_launch_staleness();
        if plan.defer_launches(self.replica_staleness(), limit) {
            self.defer_launches_until_barrier(id);
        }
    }

    /// Makes the worker refuse late copies of earlier direct calls that could start tasks after
    /// these commands: increments the fencing token if necessary. Requests a claim with further
    /// tokens if few remain; commands that need a token are removed if none remains.
    pub(super) fn fence_commands(
        &self,
        id: &str,
        owned_worker: &mut OwnedWorker,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let priority = match owned_worker.fencing.raise_for(commands) {
            TokenChange::Unchanged => return,
            TokenChange::Raised => {
                self.workers.count(|counts| counts.tokens_raised += 1);
                ClaimPriority::Normal
            }
            TokenChange::Exhausted => {
                self.workers.count(|counts| counts.tokens_exhausted += 1);
                tracing::info!(machine = id, "fencing tokens exhausted");
                ClaimPriority::Urgent
            }
        };
        if owned_worker.fencing.needs_tokens() {
            self.request_claim_of(id, priority);
        }
    }

    /// Requests another claim of an owned machine, which begins with a higher fencing token.
    pub(super) fn request_claim_of(&self, id: &str, priority: ClaimPriority) {
        let status = self.fleet.borrow().claim_status(id).cloned();
        if let Some(status) = status {
            self.request_claim(&status, priority);
        }
    }

    /// Marks a machine as changed and wakes the command loop. The loop calls the machine's
    /// worker if there are commands for it.
    pub(super) fn call_worker(&self, id: &str) {
        let changes = &mut self.replica.borrow_mut().changes;
        changes.machines.insert(id.to_string());
        self.workers.wake_commands();
    }
}

/// Runs the loop that calls workers directly: those of machines whose bookings or statuses
/// have changed, and in regular sweeps those of all owned machines.
pub async fn run_commands(controller: Rc<Controller>) {
    let sweep_interval = controller.settings.heartbeat_interval() / 2;
    let mut last_sweep = Instant::now();
    loop {
        let _ = timeout(sweep_interval, controller.workers.commands_woken()).await;
        let now = controller.now_excluding_pauses();
        let changed = std::mem::take(&mut controller.replica.borrow_mut().changes.machines);
        let is_sweep = now.saturating_duration_since(last_sweep) >= sweep_interval;
        if is_sweep {
            last_sweep = now;
        }
        // While the state service is unreachable the replica becomes outdated, so no
        // commands are planned from it.
        if !controller.is_state_service_reachable() {
            continue;
        }
        let machines: Vec<String> = match is_sweep {
            true => controller.workers.owned().keys().cloned().collect(),
            false => changed.into_iter().collect(),
        };
        for id in machines {
            if let Some(call) = next_call(&controller, &id, now) {
                tokio::task::spawn_local(send(controller.clone(), call));
            }
        }
    }
}

/// Returns the call to send to a machine's worker now, if any, and records it as in flight.
/// Removes the machine from the owned ones if another controller has claimed it.
fn next_call(controller: &Controller, id: &str, now: Instant) -> Option<CommandCall> {
    if !controller.workers.owned().contains_key(id) {
        return None;
    }
    if !controller.owns(id) {
        release_if_lost(controller, id);
        return None;
    }
    let mut plan = controller.reconcile_worker(id);
    let mut owned_workers = controller.workers.owned_mut();
    let owned_worker = owned_workers.get_mut(id)?;
    if !may_call(controller, owned_worker, now) {
        return None;
    }
    controller.defer_stale_launches(id, &mut plan);
    plan.fit_message();
    controller.fence_commands(id, owned_worker, &mut plan.commands);
    // The first call is made even without commands, as it tells the worker the fencing token.
    let is_first_call = owned_worker.status.is_none();
    if plan.commands.is_empty() && !is_first_call {
        return None;
    }
    let (addr, epoch) = endpoint(controller, id, owned_worker)?;
    owned_worker.in_flight = true;
    controller.log_commands(id, owned_worker, &plan.commands, Channel::Call);
    owned_worker.record_call(&plan.commands, now);
    Some(CommandCall {
        machine: id.to_string(),
        addr,
        deadlines: deadlines(controller, includes_launch(&plan.commands), now),
        body: WorkerCommands {
            fencing_token: owned_worker.fencing.token(),
            epoch,
            commands: plan.commands,
        },
    })
}

/// Returns the address at which the worker accepts calls, and its present epoch.
fn endpoint(
    controller: &Controller,
    id: &str,
    owned_worker: &OwnedWorker,
) -> Option<(String, u64)> {
    let fleet = controller.fleet.borrow();
    let known = fleet.claim_status(id)?;
    let status = owned_worker.status.as_ref();
    let epoch = status.map_or(known.epoch, |status| status.epoch);
    Some((known.addr.clone(), epoch))
}

/// Removes a machine that another controller has claimed from the owned ones. A replica that
/// has not reached this controller's own claim yet shows the earlier owner, so the machine
/// is kept until then.
fn release_if_lost(controller: &Controller, id: &str) {
    let mut owned_workers = controller.workers.owned_mut();
    let revision = controller.replica.borrow().revision;
    let is_lost = owned_workers
        .get(id)
        .is_some_and(|owned_worker| revision >= owned_worker.claim_revision);
    if is_lost {
        tracing::info!(machine = id, revision, "worker ownership lost");
        owned_workers.remove(id);
    }
}

/// Returns whether a worker may be called now. A call to a machine that is gone, hung or
/// partitioned holds a connection until it times out, and hundreds of such calls would leave
/// no connections for other workers. Silent workers are therefore not called; a worker that
/// sends heartbeats again receives its commands in the answers.
fn may_call(controller: &Controller, owned_worker: &OwnedWorker, now: Instant) -> bool {
    let silence_limit = controller.settings.heartbeat_interval() * 2;
    !owned_worker.in_flight
        && !owned_worker.has_unanswered_launch
        && owned_worker.next_call_at <= now
        && !owned_worker.is_silent(silence_limit, now)
}

/// Returns the deadlines by which a call must be sent and answered. If this process is
/// paused past the send deadline, the call is not sent, as work may have been cancelled or
/// moved since. Launches are based on the replica as of the last read barrier, so a call with
/// launches must also be sent before that barrier is too old for launches.
fn deadlines(controller: &Controller, includes_launch: bool, planned_at: Instant) -> Deadlines {
    let answer_deadline = planned_at + CALL_TIMEOUT.min(controller.settings.worker_lease() / 4);
    let last_barrier = controller
        .state_sync
        .last_barrier()
        .filter(|_| includes_launch);
    let launch_deadline =
        last_barrier.map(|sent| sent + controller.settings.max_launch_staleness());
    Deadlines {
        send: launch_deadline.map_or(answer_deadline, |launch| launch.min(answer_deadline)),
        response: answer_deadline,
    }
}
