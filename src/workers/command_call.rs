//! Sends one direct call, `POST /orders`, to a worker, and processes the worker's answer.

use std::rc::Rc;

use tokio::time::Instant;

use super::OwnedWorker;
use super::claim_queue::ClaimPriority;
use super::worker_plan::includes_launch;
use crate::controller::Controller;
use crate::http::{CallError, Deadlines, Response};
use crate::wire::{WorkerCommands, WorkerStatus};

/// A direct call that is ready to be sent.
pub(super) struct CommandCall {
    pub machine: String,
    /// Address at which the worker accepts calls, as reported by the worker.
    pub addr: String,
    pub body: WorkerCommands,
    pub deadlines: Deadlines,
}

impl CommandCall {
    fn launches(&self) -> bool {
        includes_launch(&self.body.commands)
    }
}

/// Result of the check whether an answer shows that another controller owns the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ownership {
    /// The answer does not show that this controller has lost the machine.
    Kept,
    /// The worker has seen a higher fencing token, so another controller has claimed the
    /// machine.
    Superseded,
}

/// Sends a call to a worker, and records the status in the worker's answer. If the worker
/// has seen a higher fencing token, the machine is removed from the owned ones.
pub(super) async fn send(controller: Rc<Controller>, call: CommandCall) {
    let result = post_commands(&controller, &call).await;
    let now = Instant::now();
    let id = call.machine.as_str();
    let mut owned_workers = controller.workers.owned_mut();
    let Some(owned_worker) = owned_workers
        .get_mut(id)
        .filter(|w| w.fencing.range().contains(call.body.fencing_token))
    else {
        return;
    };
    owned_worker.in_flight = false;
    match result {
        Ok(answer) if answer.status == 200 || answer.status == 409 => {
            let ownership = accept_answer(&controller, owned_worker, &call, &answer, now);
            if ownership == Ownership::Superseded {
                owned_workers.remove(id);
            }
        }
        Ok(answer) => {
            // The worker may yet execute the commands.
            tracing::warn!(
                machine = id,
                status = answer.status,
                "command answer invalid"
            );
            owned_worker.next_call_at = now + controller.settings.heartbeat_interval();
            require_new_token(&controller, owned_worker, &call);
        }
        Err(error) => {
            owned_worker.next_call_at = now + controller.settings.heartbeat_interval();
            handle_call_error(&controller, owned_worker, &call, &error);
        }
    }
    drop(owned_workers);
    controller.call_worker(id);
}

/// Updates the state of a worker after a call that was not sent or not answered.
fn handle_call_error(
    controller: &Controller,
    owned_worker: &mut OwnedWorker,
    call: &CommandCall,
    error: &CallError,
) {
    let machine = call.machine.as_str();
    if matches!(error, CallError::NotSent(_)) {
        // The worker certainly did not receive the commands. They are planned again, for the
        // next heartbeat answer or the next call.
        tracing::debug!(machine, %error, "commands not sent");
        owned_worker.withdraw_commands(&call.body.commands);
        return;
    }
    tracing::debug!(machine, %error, "commands not answered");
    require_new_token(controller, owned_worker, call);
}

/// Records that it is unknown whether a worker has executed a call. Safety 3: a launch may be
/// executed late, until the worker has seen a higher fencing token. A claim is requested to
/// increment the token.
fn require_new_token(controller: &Controller, owned_worker: &mut OwnedWorker, call: &CommandCall) {
    controller
        .workers
        .count(|counts| counts.calls_unanswered += 1);
    owned_worker.has_unanswered_launch |= call.launches();
    if owned_worker.has_unanswered_launch {
        controller.request_claim_of(&call.machine, ClaimPriority::Urgent);
    }
}

async fn post_commands(controller: &Controller, call: &CommandCall) -> Result<Response, CallError> {
    let (Ok(addr), Ok(body)) = (call.addr.parse(), serde_json::to_vec(&call.body)) else {
        return Err(CallError::NotSent(
            "invalid worker address or commands".into(),
        ));
    };
    let workers = &controller.worker_client;
    workers
        .call_with_deadlines(addr, "POST", "/orders", Some(body), call.deadlines)
        .await
}

/// Logs a call that the worker refused, with the token and the epoch that it has shown.
fn log_refused_call(controller: &Controller, call: &CommandCall, status: &WorkerStatus) {
    controller.workers.count(|counts| counts.calls_refused += 1);
    tracing::info!(
        machine = call.machine,
        fencing_token = call.body.fencing_token,
        shown_token = status.fencing_token,
        epoch = call.body.epoch,
        shown_epoch = status.epoch,
        "commands refused"
    );
}

/// Records the status in a worker's answer to a call, and returns whether the answer shows
/// that another controller owns the machine.
fn accept_answer(
    controller: &Controller,
    owned_worker: &mut OwnedWorker,
    call: &CommandCall,
    answer: &Response,
    now: Instant,
) -> Ownership {
    let machine = call.machine.as_str();
    let status = match WorkerStatus::parse(&answer.body) {
        Ok(status) => status,
        Err(error) => {
            tracing::warn!(machine, %error, "worker status invalid");
            owned_worker.next_call_at = now + controller.settings.heartbeat_interval();
            require_new_token(controller, owned_worker, call);
            return Ownership::Kept;
        }
    };
    owned_worker.observe_status(&status, controller.settings.worker_lease(), now);
    if answer.status == 409 {
        log_refused_call(controller, call, &status);
    }
    if status.fencing_token > owned_worker.fencing.range().last() {
        tracing::info!(
            machine,
            fencing_token = status.fencing_token,
            "fencing token superseded"
        );
        return Ownership::Superseded;
    }
    if let Some(known) = controller.fleet.borrow_mut().claim_status_mut(machine) {
        known.epoch = status.epoch;
    }
    let is_first_status = owned_worker.status.is_none();
    if owned_worker.accept_status(status, false) && is_first_status {
        controller.workers.wake_publication();
    }
    Ownership::Kept
}
