//! Direct calls to workers, `POST /orders`: they carry orders as soon as bookings
//! or reports have changed, where the answer to the next heartbeat would be late.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::{Plan, WorkerSession, reconcile};
use crate::http::{CallError, Deadlines, Response};
use crate::node::Node;
use crate::wire::{CommandKind, Report, WorkerCommand, WorkerCommands};

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
        launches(&self.body.orders)
    }
}

fn launches(orders: &[WorkerCommand]) -> bool {
    orders.iter().any(|o| o.verb == CommandKind::Start)
}

impl Node {
    /// The wait after which an order that has shown no effect is repeated.
    fn repeat(&self) -> Duration {
        self.settings.report() * 2
    }

    /// The plan of a machine by the present view; empty if it is not held.
    pub(super) fn plan(&self, id: &str) -> Plan {
        let worker_sessions = self.worker_sessions.borrow();
        let Some(worker_session) = worker_sessions.get(id) else {
            return Plan::default();
        };
        reconcile(
            id,
            worker_session,
            &self.replica.borrow(),
            &self.ends.borrow(),
            self.repeat(),
            Instant::now(),
        )
    }

    /// Takes out launches that would follow from too old a replica, and asks for the
    /// read barrier after which they are planned again.
    pub(super) fn defer_old_launches(&self, id: &str, plan: &mut Plan) {
        let limit = self.settings.launch_limit();
        if plan.defer_launches(self.replica_staleness(), limit) {
            self.request_barrier_for(id);
        }
    }

    /// Has a machine's orders worked out anew.
    pub(super) fn poke_machine(&self, id: &str) {
        let changes = &mut self.replica.borrow_mut().changes;
        changes.machines.insert(id.to_string());
        self.commands_wanted.notify_one();
    }

    fn known_report(&self, id: &str) -> Option<Report> {
        self.fleet.borrow().reports.get(id).cloned()
    }

    /// Where the worker takes calls, and the session that it is in.
    fn endpoint(&self, id: &str, worker_session: &WorkerSession) -> Option<(String, u64)> {
        let fleet = self.fleet.borrow();
        let known = fleet.reports.get(id)?;
        let session = worker_session
            .report
            .as_ref()
            .map_or(known.session, |r| r.session);
        Some((known.addr.clone(), session))
    }
}

/// Sends orders directly, whenever bookings or reports have changed: to the
/// machines that these concern, and now and then to all.
pub async fn run_commands(node: Rc<Node>) {
    let tick = node.settings.report() / 2;
    let mut swept = Instant::now();
    loop {
        let _ = timeout(tick, node.commands_wanted.notified()).await;
        let now = node.liveness_tick();
        let changed = std::mem::take(&mut node.replica.borrow_mut().changes.machines);
        let sweep = now.saturating_duration_since(swept) >= tick;
        if sweep {
            swept = now;
        }
        // A controller with an old view gives no new orders by itself.
        if !node.has_state() {
            continue;
        }
        let ids: Vec<String> = match sweep {
            true => node.worker_sessions.borrow().keys().cloned().collect(),
            false => changed.into_iter().collect(),
        };
        for id in ids {
            if let Some(call) = next_call(&node, &id, now) {
                tokio::task::spawn_local(send(node.clone(), call));
            }
        }
    }
}

/// The call that a machine's worker is to get now, if any.
fn next_call(node: &Node, id: &str, now: Instant) -> Option<Call> {
    if !node.worker_sessions.borrow().contains_key(id) {
        return None;
    }
    if !node.holds(id) {
        drop_if_lost(node, id);
        return None;
    }
    let mut plan = node.plan(id);
    node.queue_terminations(std::mem::take(&mut plan.ends));
    let mut worker_sessions = node.worker_sessions.borrow_mut();
    let worker_session = worker_sessions.get_mut(id)?;
    if !may_call(node, worker_session, now) {
        return None;
    }
    node.defer_old_launches(id, &mut plan);
    // The first call tells the worker the token, with or without orders.
    let first = worker_session.report.is_none();
    if plan.orders.is_empty() && !first {
        return None;
    }
    let (addr, session) = node.endpoint(id, worker_session)?;
    worker_session.in_flight = true;
    for o in &plan.orders {
        tracing::debug!(verb = ?o.verb, task = o.task, attempt = o.attempt, machine = id, "order");
    }
    worker_session.note_orders(&plan.orders, now);
    Some(Call {
        machine: id.to_string(),
        addr,
        deadlines: deadlines(node, launches(&plan.orders), now),
        body: WorkerCommands {
            token: worker_session.token,
            session,
            orders: plan.orders,
        },
    })
}

/// Forgets a machine that another controller has claimed, once the replica has
/// reached our own claim.
fn drop_if_lost(node: &Node, id: &str) {
    if node.replica.borrow().revision >= node.worker_sessions.borrow()[id].claimed_at {
        tracing::info!(machine = id, "claimed by another controller, or gone");
        node.worker_sessions.borrow_mut().remove(id);
    }
}

/// Whether a worker may be called now. A call to a machine that is gone, hung or
/// cut off takes a connection until it times out: hundreds of them would leave none
/// for the rest. What is heard again has its orders by the answer.
fn may_call(node: &Node, worker_session: &WorkerSession, now: Instant) -> bool {
    let silent = now.saturating_duration_since(worker_session.heard) > node.settings.report() * 2;
    !worker_session.in_flight
        && !worker_session.unresolved
        && worker_session.quiet_until <= now
        && !silent
}

/// By when a call must be sent and answered. If this process stands still before
/// it is sent, it is sent no more, as work may have been cancelled or moved since;
/// a launch not once the last barrier that it was planned with is too old for it.
fn deadlines(node: &Node, launches: bool, decided: Instant) -> Deadlines {
    let answer = decided + WORKER_PATIENCE.min(node.settings.lease() / 4);
    let last_barrier = node.last_barrier.get().filter(|_| launches);
    let latest_launch = last_barrier.map(|sent| sent + node.settings.launch_limit());
    Deadlines {
        send: latest_launch.map_or(answer, |latest| latest.min(answer)),
        answer,
    }
}

/// Sends a worker its orders, and takes the report that it answers with.
async fn send(node: Rc<Node>, call: Call) {
    let result = exchange(&node, &call).await;
    let now = Instant::now();
    let quiet_until = now + node.settings.report();
    let id = call.machine.as_str();
    let mut worker_sessions = node.worker_sessions.borrow_mut();
    let Some(worker_session) = worker_sessions
        .get_mut(id)
        .filter(|h| h.token == call.body.token)
    else {
        return;
    };
    worker_session.in_flight = false;
    match result {
        Ok(answer) if answer.status == 200 || answer.status == 409 => {
            let keep = take_answer(&node, worker_session, &call, &answer, now);
            if !keep {
                worker_sessions.remove(id);
            }
        }
        Ok(answer) => {
            tracing::debug!(machine = id, status = answer.status, "orders refused");
            worker_session.quiet_until = quiet_until;
        }
        Err(CallError::NotSent(cause)) => {
            // Surely not there: heartbeat answers carry the orders meanwhile.
            tracing::debug!(machine = id, cause, "orders not sent");
            worker_session.quiet_until = quiet_until;
            worker_session.withdraw_orders(&call.body.orders);
        }
        Err(error) => {
            tracing::debug!(machine = id, %error, "orders not answered");
            worker_session.quiet_until = quiet_until;
            // Safety 3: an unanswered launch may be executed late. Only a higher
            // token that the worker has shown rules that out.
            worker_session.unresolved |= call.launches();
            if worker_session.unresolved
                && let Some(report) = node.known_report(id)
            {
                node.ask_claim(id, &report, true);
            }
        }
    }
    drop(worker_sessions);
    node.poke_machine(id);
}

async fn exchange(node: &Node, call: &Call) -> Result<Response, CallError> {
    let (Ok(addr), Ok(body)) = (call.addr.parse(), serde_json::to_vec(&call.body)) else {
        return Err(CallError::NotSent("bad address".into()));
    };
    let workers = &node.workers;
    workers
        .call_within(addr, "POST", "/orders", Some(body), call.deadlines)
        .await
}

/// Takes the report that a worker has answered a call with; false if it shows that
/// another controller has claimed the machine.
fn take_answer(
    node: &Node,
    worker_session: &mut WorkerSession,
    call: &Call,
    answer: &Response,
    now: Instant,
) -> bool {
    let id = call.machine.as_str();
    let report = match answer.parse::<Report>() {
        Ok(report) => report,
        Err(error) => {
            tracing::debug!(machine = id, %error, "report not understood");
            worker_session.unresolved |= call.launches();
            return true;
        }
    };
    worker_session.see(&report, node.settings.lease(), now);
    if report.token > call.body.token {
        tracing::info!(machine = id, "has seen a higher token");
        return false;
    }
    if let Some(known) = node.fleet.borrow_mut().reports.get_mut(id) {
        known.session = report.session;
    }
    let first = worker_session.report.is_none();
    if worker_session.take(report, false) && first {
        node.publication_wanted.notify_one();
    }
    true
}
