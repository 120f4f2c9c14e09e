//! Direct calls to workers, `POST /orders`: they carry orders as soon as bookings
//! or reports have changed, where the answer to the next heartbeat would be late.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::{OwnedWorker, WorkerPlan, reconcile};
use crate::controller::Controller;
use crate::http::{CallError, Deadlines, Response};
use crate::wire::{CommandAction, WorkerCommand, WorkerCommands, WorkerStatus};

/// How long a worker waits for the answers to its own reports; longer calls to it
/// are given up as well.
const WORKER_PATIENCE: Duration = Duration::from_secs(4);

/// A direct call that is ready to be sent.
struct Call {
    machine: String,
    addr: String,
    body: WorkerCommands,
    deadlines: Deadlines,
}

impl Call {
    fn launches(&self) -> bool {
        launches(&self.body.commands)
    }
}

fn launches(orders: &[WorkerCommand]) -> bool {
    orders.iter().any(|o| o.action == CommandAction::Start)
}

impl Controller {
    /// The wait after which an order that has shown no effect is repeated.
    fn repeat(&self) -> Duration {
        self.settings.heartbeat_interval() * 2
    }

    /// The plan of a machine by the present view; empty if it is not held.
    pub(super) fn plan(&self, id: &str) -> WorkerPlan {
        let owned_workers = self.workers.owned_workers.borrow();
        let Some(owned_worker) = owned_workers.get(id) else {
            return WorkerPlan::default();
        };
        reconcile(
            id,
            owned_worker,
            &self.replica.borrow(),
            &self.workers.pending_terminations.borrow(),
            self.repeat(),
            Instant::now(),
        )
    }

    /// Takes out launches that would follow from too old a replica, and asks for the
    /// read barrier after which they are planned again.
    pub(super) fn defer_old_launches(&self, id: &str, plan: &mut WorkerPlan) {
        let limit = self.settings.launch_limit();
        if plan.defer_launches(self.replica_staleness(), limit) {
            self.request_barrier_for(id);
        }
    }

    /// Has a machine's orders worked out anew.
    pub(super) fn call_worker(&self, id: &str) {
        let changes = &mut self.replica.borrow_mut().changes;
        changes.machines.insert(id.to_string());
        self.workers.commands_notify.notify_one();
    }

    fn known_report(&self, id: &str) -> Option<WorkerStatus> {
        self.fleet.borrow().claim_report(id).cloned()
    }

    /// Where the worker takes calls, and the epoch that it is in.
    fn endpoint(&self, id: &str, owned_worker: &OwnedWorker) -> Option<(String, u64)> {
        let fleet = self.fleet.borrow();
        let known = fleet.claim_report(id)?;
        let epoch = owned_worker
            .status
            .as_ref()
            .map_or(known.epoch, |r| r.epoch);
        Some((known.addr.clone(), epoch))
    }
}

/// Sends orders directly, whenever bookings or reports have changed: to the
/// machines that these concern, and now and then to all.
pub async fn run_commands(controller: Rc<Controller>) {
    let tick = controller.settings.heartbeat_interval() / 2;
    let mut swept = Instant::now();
    loop {
        let _ = timeout(tick, controller.workers.commands_notify.notified()).await;
        let now = controller.liveness_tick();
        let changed = std::mem::take(&mut controller.replica.borrow_mut().changes.machines);
        let sweep = now.saturating_duration_since(swept) >= tick;
        if sweep {
            swept = now;
        }
        // A controller with an old view gives no new orders by itself.
        if !controller.is_state_service_reachable() {
            continue;
        }
        let ids: Vec<String> = match sweep {
            true => controller
                .workers
                .owned_workers
                .borrow()
                .keys()
                .cloned()
                .collect(),
            false => changed.into_iter().collect(),
        };
        for id in ids {
            if let Some(call) = next_call(&controller, &id, now) {
                tokio::task::spawn_local(send(controller.clone(), call));
            }
        }
    }
}

/// The call that a machine's worker is to get now, if any.
fn next_call(controller: &Controller, id: &str, now: Instant) -> Option<Call> {
    if !controller.workers.owned_workers.borrow().contains_key(id) {
        return None;
    }
    if !controller.owns(id) {
        drop_if_lost(controller, id);
        return None;
    }
    let mut plan = controller.plan(id);
    controller.queue_terminations(std::mem::take(&mut plan.terminations));
    let mut owned_workers = controller.workers.owned_workers.borrow_mut();
    let owned_worker = owned_workers.get_mut(id)?;
    if !may_call(controller, owned_worker, now) {
        return None;
    }
    controller.defer_old_launches(id, &mut plan);
    // The first call tells the worker the token, with or without orders.
    let first = owned_worker.status.is_none();
    if plan.commands.is_empty() && !first {
        return None;
    }
    let (addr, epoch) = controller.endpoint(id, owned_worker)?;
    owned_worker.in_flight = true;
    for o in &plan.commands {
        tracing::debug!(action = ?o.action, task = o.task, attempt = o.attempt, machine = id, "order");
    }
    owned_worker.record_commands(&plan.commands, now);
    Some(Call {
        machine: id.to_string(),
        addr,
        deadlines: deadlines(controller, launches(&plan.commands), now),
        body: WorkerCommands {
            fencing_token: owned_worker.fencing_token,
            epoch,
            commands: plan.commands,
        },
    })
}

/// Forgets a machine that another controller has claimed, once the replica has
/// reached our own claim.
fn drop_if_lost(controller: &Controller, id: &str) {
    if controller.replica.borrow().revision
        >= controller.workers.owned_workers.borrow()[id].claim_revision
    {
        tracing::info!(machine = id, "claimed by another controller, or gone");
        controller.workers.owned_workers.borrow_mut().remove(id);
    }
}

/// Whether a worker may be called now. A call to a machine that is gone, hung or
/// cut off takes a connection until it times out: hundreds of them would leave none
/// for the rest. What is heard again has its orders by the answer.
fn may_call(controller: &Controller, owned_worker: &OwnedWorker, now: Instant) -> bool {
    let silent = now.saturating_duration_since(owned_worker.last_message_at)
        > controller.settings.heartbeat_interval() * 2;
    !owned_worker.in_flight
        && !owned_worker.has_unanswered_launch
        && owned_worker.next_call_at <= now
        && !silent
}

/// By when a call must be sent and answered. If this process stands still before
/// it is sent, it is sent no more, as work may have been cancelled or moved since;
/// a launch not once the last barrier that it was planned with is too old for it.
fn deadlines(controller: &Controller, launches: bool, decided: Instant) -> Deadlines {
    let answer = decided + WORKER_PATIENCE.min(controller.settings.worker_lease() / 4);
    let last_barrier = controller.state_sync.last_barrier().filter(|_| launches);
    let latest_launch = last_barrier.map(|sent| sent + controller.settings.launch_limit());
    Deadlines {
        send: latest_launch.map_or(answer, |latest| latest.min(answer)),
        answer,
    }
}

/// Sends a worker its orders, and takes the report that it answers with.
async fn send(controller: Rc<Controller>, call: Call) {
    let result = exchange(&controller, &call).await;
    let now = Instant::now();
    let quiet_until = now + controller.settings.heartbeat_interval();
    let id = call.machine.as_str();
    let mut owned_workers = controller.workers.owned_workers.borrow_mut();
    let Some(owned_worker) = owned_workers
        .get_mut(id)
        .filter(|h| h.fencing_token == call.body.fencing_token)
    else {
        return;
    };
    owned_worker.in_flight = false;
    match result {
        Ok(answer) if answer.status == 200 || answer.status == 409 => {
            let keep = take_answer(&controller, owned_worker, &call, &answer, now);
            if !keep {
                owned_workers.remove(id);
            }
        }
        Ok(answer) => {
            tracing::debug!(machine = id, status = answer.status, "orders refused");
            owned_worker.next_call_at = quiet_until;
        }
        Err(CallError::NotSent(cause)) => {
            // Surely not there: heartbeat answers carry the orders meanwhile.
            tracing::debug!(machine = id, cause, "orders not sent");
            owned_worker.next_call_at = quiet_until;
            owned_worker.withdraw_commands(&call.body.commands);
        }
        Err(error) => {
            tracing::debug!(machine = id, %error, "orders not answered");
            owned_worker.next_call_at = quiet_until;
            // Safety 3: an unanswered launch may be executed late. Only a higher
            // token that the worker has shown rules that out.
            owned_worker.has_unanswered_launch |= call.launches();
            if owned_worker.has_unanswered_launch
                && let Some(report) = controller.known_report(id)
            {
                controller.request_claim(id, &report, true);
            }
        }
    }
    drop(owned_workers);
    controller.call_worker(id);
}

async fn exchange(controller: &Controller, call: &Call) -> Result<Response, CallError> {
    let (Ok(addr), Ok(body)) = (call.addr.parse(), serde_json::to_vec(&call.body)) else {
        return Err(CallError::NotSent("bad address".into()));
    };
    let workers = &controller.worker_client;
    workers
        .call_within(addr, "POST", "/orders", Some(body), call.deadlines)
        .await
}

/// Takes the report that a worker has answered a call with; false if it shows that
/// another controller has claimed the machine.
fn take_answer(
    controller: &Controller,
    owned_worker: &mut OwnedWorker,
    call: &Call,
    answer: &Response,
    now: Instant,
) -> bool {
    let id = call.machine.as_str();
    let report = match answer.parse::<WorkerStatus>() {
        Ok(report) => report,
        Err(error) => {
            tracing::debug!(machine = id, %error, "report not understood");
            owned_worker.has_unanswered_launch |= call.launches();
            return true;
        }
    };
    owned_worker.observe_status(&report, controller.settings.worker_lease(), now);
    if report.fencing_token > call.body.fencing_token {
        tracing::info!(machine = id, "has seen a higher token");
        return false;
    }
    if let Some(known) = controller.fleet.borrow_mut().claim_report_mut(id) {
        known.epoch = report.epoch;
    }
    let first = owned_worker.status.is_none();
    if owned_worker.accept_status(report, false) && first {
        controller.workers.publication_notify.notify_one();
    }
    true
}
