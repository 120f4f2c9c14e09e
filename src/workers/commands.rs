//! Direct commands to workers: which workers are called, and when. They carry commands
//! as soon as bookings or statuses have changed, where the answer to the next heartbeat
//! would be late.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::command_call::{CommandCall, send};
use super::reconcile::reconcile;
use super::worker_plan::{WorkerPlan, includes_launch};
use super::{OwnedWorker, Termination};
use crate::controller::Controller;
use crate::http::Deadlines;
use crate::wire::{WorkerCommand, WorkerCommands};

/// How long a worker waits for the answers to its own heartbeats; longer calls to it
/// are given up as well.
const WORKER_PATIENCE: Duration = Duration::from_secs(4);

impl Controller {
    /// The wait after which a command that has shown no effect is repeated.
    fn command_retry_interval(&self) -> Duration {
        self.settings.heartbeat_interval() * 2
    }

    /// What a machine's worker is to be told by the present replica; empty if the
    /// machine is not owned. Terminations that follow are queued at once.
    pub(super) fn reconcile_worker(&self, id: &str) -> WorkerPlan {
        let mut plan = self.plan_of(id);
        let terminations: Vec<Termination> = std::mem::take(&mut plan.terminations);
        self.queue_terminations(terminations);
        plan
    }

    fn plan_of(&self, id: &str) -> WorkerPlan {
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

    /// Takes out launches that would follow from too old a replica, and asks for the
    /// read barrier after which they are planned again.
    pub(super) fn defer_stale_launches(&self, id: &str, plan: &mut WorkerPlan) {
        let limit = self.settings.launch_limit();
        if plan.defer_launches(self.replica_staleness(), limit) {
            self.defer_launches_until_barrier(id);
        }
    }

    /// Has a machine's commands worked out anew.
    pub(super) fn call_worker(&self, id: &str) {
        let changes = &mut self.replica.borrow_mut().changes;
        changes.machines.insert(id.to_string());
        self.workers.wake_commands();
    }
}

/// Sends commands directly, whenever bookings or statuses have changed: to the
/// machines that these concern, and now and then to all.
pub async fn run_commands(controller: Rc<Controller>) {
    let sweep_interval = controller.settings.heartbeat_interval() / 2;
    let mut last_sweep = Instant::now();
    loop {
        let _ = timeout(sweep_interval, controller.workers.commands_woken()).await;
        let now = controller.liveness_tick();
        let changed = std::mem::take(&mut controller.replica.borrow_mut().changes.machines);
        let is_sweep = now.saturating_duration_since(last_sweep) >= sweep_interval;
        if is_sweep {
            last_sweep = now;
        }
        // A controller with an old replica gives no new commands by itself.
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

/// The call that a machine's worker is to get now, if any.
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
    // The first call tells the worker the fencing token, with or without commands.
    let is_first = owned_worker.status.is_none();
    if plan.commands.is_empty() && !is_first {
        return None;
    }
    let (addr, epoch) = endpoint(controller, id, owned_worker)?;
    owned_worker.in_flight = true;
    log_commands(id, owned_worker.fencing_token, &plan.commands);
    owned_worker.record_commands(&plan.commands, now);
    Some(CommandCall {
        machine: id.to_string(),
        addr,
        deadlines: deadlines(controller, includes_launch(&plan.commands), now),
        body: WorkerCommands {
            fencing_token: owned_worker.fencing_token,
            epoch,
            commands: plan.commands,
        },
    })
}

fn log_commands(machine: &str, fencing_token: u64, commands: &[WorkerCommand]) {
    for command in commands {
        tracing::debug!(
            command = ?command.action,
            task = command.task,
            attempt = command.attempt,
            machine,
            fencing_token,
            "command issued"
        );
    }
}

/// Where the worker takes calls, and the epoch that it is in.
fn endpoint(
    controller: &Controller,
    id: &str,
    owned_worker: &OwnedWorker,
) -> Option<(String, u64)> {
    let fleet = controller.fleet.borrow();
    let known = fleet.claim_report(id)?;
    let status = owned_worker.status.as_ref();
    let epoch = status.map_or(known.epoch, |status| status.epoch);
    Some((known.addr.clone(), epoch))
}

/// Forgets a machine that another controller has claimed, once the replica has
/// reached our own claim.
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

/// Whether a worker may be called now. A call to a machine that is gone, hung or
/// cut off takes a connection until it times out: hundreds of them would leave none
/// for the rest. What sends heartbeats again has its commands by the answer.
fn may_call(controller: &Controller, owned_worker: &OwnedWorker, now: Instant) -> bool {
    let silence_limit = controller.settings.heartbeat_interval() * 2;
    !owned_worker.in_flight
        && !owned_worker.has_unanswered_launch
        && owned_worker.next_call_at <= now
        && !owned_worker.is_silent(silence_limit, now)
}

/// By when a call must be sent and answered. If this process stands still before
/// it is sent, it is sent no more, as work may have been cancelled or moved since;
/// a launch not once the last barrier that it was planned with is too old for it.
fn deadlines(controller: &Controller, launches: bool, decided_at: Instant) -> Deadlines {
    let answer = decided_at + WORKER_PATIENCE.min(controller.settings.worker_lease() / 4);
    let last_barrier = controller.state_sync.last_barrier().filter(|_| launches);
    let latest_launch = last_barrier.map(|sent| sent + controller.settings.launch_limit());
    Deadlines {
        send: latest_launch.map_or(answer, |latest| latest.min(answer)),
        answer,
    }
}
