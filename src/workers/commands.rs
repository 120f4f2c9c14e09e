//! Direct calls to workers, `POST /orders`: they carry orders as soon as bookings
//! or reports have changed, where the answer to the next heartbeat would be late.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::http::{CallError, Deadlines, Response};
use crate::node::Node;
use crate::wire::{Order, Orders, Report, Verb};

use super::{Hand, Plan, reconcile};

/// How long a worker waits for the answers to its own reports; longer calls to it
/// are given up as well.
const WORKER_PATIENCE: Duration = Duration::from_secs(4);

/// A direct call that is ready to be sent.
struct Call {
    machine: String,
    addr: String,
    body: Orders,
    deadlines: Deadlines,
}

impl Call {
    fn launches(&self) -> bool {
        launches(&self.body.orders)
    }
}

fn launches(orders: &[Order]) -> bool {
    orders.iter().any(|o| o.verb == Verb::Start)
}

impl Node {
    /// The wait after which an order that has shown no effect is repeated.
    fn repeat(&self) -> Duration {
        self.settings.report() * 2
    }

    /// The plan of a machine by the present view; empty if it is not held.
    pub(super) fn plan(&self, id: &str) -> Plan {
        let hands = self.hands.borrow();
        let Some(hand) = hands.get(id) else {
            return Plan::default();
        };
        reconcile(
            id,
            hand,
            &self.view.borrow(),
            &self.ends.borrow(),
            self.repeat(),
            Instant::now(),
        )
    }

    /// Takes out launches that would follow from too old a view, and asks for the
    /// read barrier after which they are planned again.
    pub(super) fn defer_old_launches(&self, id: &str, plan: &mut Plan) {
        let limit = self.settings.launch_limit();
        if plan.defer_launches(self.horizon_age(), limit) {
            self.want_horizon_for(id);
        }
    }

    /// Has a machine's orders worked out anew.
    pub(super) fn poke_machine(&self, id: &str) {
        let changes = &mut self.view.borrow_mut().changes;
        changes.machines.insert(id.to_string());
        self.poke.notify_one();
    }

    fn known_report(&self, id: &str) -> Option<Report> {
        self.fleet.borrow().reports.get(id).cloned()
    }

    /// Where the worker takes calls, and the session that it is in.
    fn endpoint(&self, id: &str, hand: &Hand) -> Option<(String, u64)> {
        let fleet = self.fleet.borrow();
        let known = fleet.reports.get(id)?;
        let session = hand.report.as_ref().map_or(known.session, |r| r.session);
        Some((known.addr.clone(), session))
    }
}

/// Sends orders directly, whenever bookings or reports have changed: to the
/// machines that these concern, and now and then to all.
pub async fn keep_orders(node: Rc<Node>) {
    let tick = node.settings.report() / 2;
    let mut swept = Instant::now();
    loop {
        let _ = timeout(tick, node.poke.notified()).await;
        let now = node.pulse();
        let changed = std::mem::take(&mut node.view.borrow_mut().changes.machines);
        let sweep = now.saturating_duration_since(swept) >= tick;
        if sweep {
            swept = now;
        }
        // A controller with an old view gives no new orders by itself.
        if !node.has_state() {
            continue;
        }
        let ids: Vec<String> = match sweep {
            true => node.hands.borrow().keys().cloned().collect(),
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
    if !node.hands.borrow().contains_key(id) {
        return None;
    }
    if !node.holds(id) {
        drop_if_lost(node, id);
        return None;
    }
    let mut plan = node.plan(id);
    node.queue_ends(std::mem::take(&mut plan.ends));
    let mut hands = node.hands.borrow_mut();
    let hand = hands.get_mut(id)?;
    if !may_call(node, hand, now) {
        return None;
    }
    node.defer_old_launches(id, &mut plan);
    // The first call tells the worker the token, with or without orders.
    let first = hand.report.is_none();
    if plan.orders.is_empty() && !first {
        return None;
    }
    let (addr, session) = node.endpoint(id, hand)?;
    hand.in_flight = true;
    for o in &plan.orders {
        tracing::debug!(verb = ?o.verb, task = o.task, attempt = o.attempt, machine = id, "order");
    }
    hand.note_orders(&plan.orders, now);
    Some(Call {
        machine: id.to_string(),
        addr,
        deadlines: deadlines(node, launches(&plan.orders), now),
        body: Orders {
            token: hand.token,
            session,
            orders: plan.orders,
        },
    })
}

/// Forgets a machine that another controller has claimed, once the view has
/// reached our own claim.
fn drop_if_lost(node: &Node, id: &str) {
    if node.view.borrow().revision >= node.hands.borrow()[id].claimed_at {
        tracing::info!(machine = id, "claimed by another controller, or gone");
        node.hands.borrow_mut().remove(id);
    }
}

/// Whether a worker may be called now. A call to a machine that is gone, hung or
/// cut off takes a connection until it times out: hundreds of them would leave none
/// for the rest. What is heard again has its orders by the answer.
fn may_call(node: &Node, hand: &Hand, now: Instant) -> bool {
    let silent = now.saturating_duration_since(hand.heard) > node.settings.report() * 2;
    !hand.in_flight && !hand.unresolved && hand.quiet_until <= now && !silent
}

/// By when a call must be sent and answered. If this process stands still before
/// it is sent, it is sent no more, as work may have been cancelled or moved since;
/// a launch not once the horizon that it was planned with is too old for it.
fn deadlines(node: &Node, launches: bool, decided: Instant) -> Deadlines {
    let answer = decided + WORKER_PATIENCE.min(node.settings.lease() / 4);
    let horizon = node.horizon.get().filter(|_| launches);
    let latest_launch = horizon.map(|sent| sent + node.settings.launch_limit());
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
    let mut hands = node.hands.borrow_mut();
    let Some(hand) = hands.get_mut(id).filter(|h| h.token == call.body.token) else {
        return;
    };
    hand.in_flight = false;
    match result {
        Ok(answer) if answer.status == 200 || answer.status == 409 => {
            let keep = take_answer(&node, hand, &call, &answer, now);
            if !keep {
                hands.remove(id);
            }
        }
        Ok(answer) => {
            tracing::debug!(machine = id, status = answer.status, "orders refused");
            hand.quiet_until = quiet_until;
        }
        Err(CallError::NotSent(cause)) => {
            // Surely not there: heartbeat answers carry the orders meanwhile.
            tracing::debug!(machine = id, cause, "orders not sent");
            hand.quiet_until = quiet_until;
            hand.withdraw_orders(&call.body.orders);
        }
        Err(error) => {
            tracing::debug!(machine = id, %error, "orders not answered");
            hand.quiet_until = quiet_until;
            // Safety 3: an unanswered launch may be executed late. Only a higher
            // token that the worker has shown rules that out.
            hand.unresolved |= call.launches();
            if hand.unresolved
                && let Some(report) = node.known_report(id)
            {
                node.ask_claim(id, &report, true);
            }
        }
    }
    drop(hands);
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
fn take_answer(node: &Node, hand: &mut Hand, call: &Call, answer: &Response, now: Instant) -> bool {
    let id = call.machine.as_str();
    let report = match answer.parse::<Report>() {
        Ok(report) => report,
        Err(error) => {
            tracing::debug!(machine = id, %error, "report not understood");
            hand.unresolved |= call.launches();
            return true;
        }
    };
    hand.see(&report, node.settings.lease(), now);
    if report.token > call.body.token {
        tracing::info!(machine = id, "has seen a higher token");
        return false;
    }
    if let Some(known) = node.fleet.borrow_mut().reports.get_mut(id) {
        known.session = report.session;
    }
    let first = hand.report.is_none();
    if hand.take(report, false) && first {
        node.rooms_wanted.notify_one();
    }
    true
}
