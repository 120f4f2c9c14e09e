//! The machines that report to this controller: claims, beats, orders, ends.
//!
//! The wanted state of a machine is its bookings in the view; what is, its
//! newest report. [`reconcile`] works out the difference, and nothing else
//! decides what a worker is told.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::http::{CallError, Response};
use crate::model::{Job, Life, Machine, Outcome, Room, Slot, Spec, split_task};
use crate::node::{Node, guard, put};
use crate::settings::CLOCK_DRIFT;
use crate::store::{Class, StoreError};
use crate::view::{View, job_key, machine_key, team_key, zone_key};
use crate::wire::{
    BeatAnswer, Guard, Order, Orders, Redirect, Report, TaskStage, Verb, Why, Write,
};

/// A task's attempt on a machine whose booking is to be released.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndKey {
    pub job: String,
    pub machine: String,
    pub attempt: u64,
    pub task: u32,
}

/// What this controller knows of a machine that it holds.
#[derive(Debug)]
pub struct Hand {
    /// The token under which we claimed it.
    pub token: u64,
    /// The revision of that claim: the view must have reached it, or bookings
    /// that an earlier holder acted on may be missing from it.
    pub claimed_at: u64,
    /// The newest report by (session, seq) that was made under our token.
    pub report: Option<Report>,
    /// When anything at all came from the worker.
    pub heard: Instant,
    /// When a beat was last answered with 200; the claim's time at first.
    pub answered: Instant,
    /// An `/orders` call is under way.
    pub in_flight: bool,
    /// An `/orders` call with launches got no answer: they may land late, as
    /// long as the worker has not seen a higher token.
    pub unresolved: bool,
    /// The newest beat whose answer carried launches; until a newer beat has
    /// come it is not known whether the worker has them.
    pub offered: Option<(u64, u64)>,
    /// Launches given under this token.
    pub launched: HashSet<(String, u64)>,
    /// Stops given: when, and with how much grace.
    pub stopped: HashMap<(String, u64), (Instant, f64)>,
    /// Jobs whose tasks failed here since the last one that was done.
    pub failed_jobs: BTreeSet<String>,
    /// Direct orders go out again no sooner than this.
    pub quiet_until: Instant,
}

impl Hand {
    pub fn new(token: u64, claimed_at: u64, now: Instant) -> Self {
        Hand {
            token,
            claimed_at,
            report: None,
            heard: now,
            answered: now,
            in_flight: false,
            unresolved: false,
            offered: None,
            launched: HashSet::new(),
            stopped: HashMap::new(),
            failed_jobs: BTreeSet::new(),
            quiet_until: now,
        }
    }

    /// Takes a report if it is newer than what is known and was made under
    /// our token. Safety 3: an older report proves nothing about what has
    /// been launched since.
    pub fn take(&mut self, report: Report, is_beat: bool) -> bool {
        if report.token != self.token {
            return false;
        }
        let at = (report.session, report.seq);
        if let Some(old) = &self.report
            && at <= (old.session, old.seq)
        {
            return false;
        }
        // A beat newer than the one whose answer carried launches was made
        // after that answer was executed or dropped.
        if is_beat && self.offered.is_some_and(|o| at > o) {
            self.offered = None;
        }
        let here: HashSet<(&str, u64)> = report
            .tasks
            .iter()
            .map(|t| (t.task.as_str(), t.attempt))
            .collect();
        self.stopped
            .retain(|(task, attempt), _| here.contains(&(task.as_str(), *attempt)));
        self.report = Some(report);
        true
    }

    /// True when the newest report is newer than every launch, so that what
    /// it lacks is not there.
    fn settled(&self) -> bool {
        !self.in_flight && !self.unresolved && self.offered.is_none()
    }

    /// Safety 3, last case: the holder throughout, whose token the worker
    /// has shown, has not renewed the lease for its whole length. No launch
    /// may be under way: a hanging machine would execute it.
    pub fn lease_is_over(&self, lease: Duration, margin: Duration, now: Instant) -> bool {
        let span = lease.mul_f64(1.0 + 2.0 * CLOCK_DRIFT) + margin;
        self.report.is_some()
            && self.settled()
            && now.saturating_duration_since(self.answered) > span
            && now.saturating_duration_since(self.heard) > span
    }
}

/// What a worker is to be told, and which bookings are to be released.
#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    pub orders: Vec<Order>,
    pub ends: Vec<(EndKey, Outcome)>,
}

impl Plan {
    pub fn launches(&self) -> bool {
        self.orders.iter().any(|o| o.verb == Verb::Start)
    }
}

fn outcome(why: Option<Why>) -> Outcome {
    match why {
        Some(Why::Done) => Outcome::Done,
        Some(Why::Error | Why::Unknown) => Outcome::Failed,
        _ => Outcome::Lost,
    }
}

/// The grace that a stop gives: enough to save, nothing for cancelled work.
pub fn grace(job: &Job, spec: Option<&Spec>) -> f64 {
    match spec {
        Some(s) if job.is_open() && s.checkpoint_s > 0.0 => s.save_s * 1.5 + 1.0,
        _ => 0.0,
    }
}

/// Works out the difference between the bookings of a machine and its newest
/// report. Pure: nothing is sent or recorded here.
pub fn reconcile(
    id: &str,
    hand: &Hand,
    view: &View,
    ends: &BTreeMap<EndKey, Outcome>,
    repeat: Duration,
    now: Instant,
) -> Plan {
    let mut plan = Plan::default();
    let (Some(report), Some(machine)) = (&hand.report, view.machines.get(id)) else {
        return plan;
    };
    // Safety 2: act on bookings only once the view has reached our claim, and
    // only while the claim is still ours as far as the view tells.
    if view.revision < hand.claimed_at || machine.value.token != hand.token {
        return plan;
    }
    let life = machine.value.life;
    let clearing = matches!(life, Life::Returning | Life::Gone);
    let order = |verb, task: &str, attempt, grace_s| Order {
        verb,
        task: task.to_string(),
        attempt,
        grace_s,
    };
    let mut seen: HashSet<(&str, u32, u64)> = HashSet::new();
    for t in &report.tasks {
        let Some((job_id, n)) = split_task(&t.task) else {
            continue;
        };
        seen.insert((job_id, n, t.attempt));
        let entry = view.jobs.get(job_id);
        let run = entry.and_then(|e| e.value.find(id, t.attempt, n));
        let ended = t.stage == TaskStage::Ended;
        match (entry, run) {
            (Some(entry), Some(run)) => {
                if ended {
                    // Safety 3: with a launch that may land late neither the
                    // booking is released nor the attempt forgotten.
                    if !hand.unresolved {
                        let key = EndKey {
                            job: job_id.to_string(),
                            machine: id.to_string(),
                            attempt: t.attempt,
                            task: n,
                        };
                        plan.ends.push((key, outcome(t.why)));
                    }
                } else if !entry.value.is_open() || run.stop || clearing {
                    let g = grace(&entry.value, entry.value.spec.as_ref());
                    let told = hand.stopped.get(&(t.task.clone(), t.attempt));
                    let again = match told {
                        None => t.stage != TaskStage::Saving || g == 0.0,
                        Some((at, given)) => {
                            *given > g
                                || (t.stage != TaskStage::Saving
                                    && now.saturating_duration_since(*at) > repeat)
                        }
                    };
                    if again {
                        plan.orders
                            .push(order(Verb::Stop, &t.task, t.attempt, Some(g)));
                    }
                }
            }
            _ if ended => {
                // The end is on record, or was never ours to record.
                if hand.settled() {
                    plan.orders
                        .push(order(Verb::Forget, &t.task, t.attempt, None));
                }
            }
            _ => {
                let told = hand.stopped.get(&(t.task.clone(), t.attempt));
                if told.is_none_or(|(at, _)| now.saturating_duration_since(*at) > repeat) {
                    plan.orders
                        .push(order(Verb::Stop, &t.task, t.attempt, Some(0.0)));
                }
            }
        }
    }
    if !hand.settled() {
        return plan;
    }
    for (job_id, entry) in view.jobs_on(id) {
        let job = &entry.value;
        let gang = job.spec.as_ref().is_some_and(Spec::is_gang);
        for run in job.runs.iter().filter(|r| r.machine == id) {
            for n in run.tasks.iter() {
                if seen.contains(&(job_id, n, run.attempt)) {
                    continue;
                }
                let key = EndKey {
                    job: job_id.to_string(),
                    machine: id.to_string(),
                    attempt: run.attempt,
                    task: n,
                };
                if ends.contains_key(&key) {
                    continue;
                }
                let task = format!("{job_id}/{n}");
                let was_launched = hand.launched.contains(&(task.clone(), run.attempt));
                // A gang's member that was there and is gone has broken the
                // attempt; an independent task is simply launched again.
                if !job.is_open() || run.stop || life != Life::Active || (gang && was_launched) {
                    plan.ends.push((key, Outcome::Lost));
                } else if entry.version <= view.revision {
                    plan.orders
                        .push(order(Verb::Start, &task, run.attempt, None));
                }
            }
        }
    }
    plan
}

/// Remembers what a plan is about to tell the worker.
fn note_orders(hand: &mut Hand, orders: &[Order], now: Instant) {
    for o in orders {
        let key = (o.task.clone(), o.attempt);
        match o.verb {
            Verb::Start => {
                hand.launched.insert(key);
            }
            Verb::Stop => {
                hand.stopped.insert(key, (now, o.grace_s.unwrap_or(0.0)));
            }
            Verb::Forget => {
                hand.launched.remove(&key);
            }
        }
    }
}

impl Node {
    /// The wait after which an order that has shown no effect is repeated.
    fn repeat(&self) -> Duration {
        self.settings.report() * 2
    }

    fn plan(&self, id: &str) -> Plan {
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

    fn queue_ends(&self, ends: Vec<(EndKey, Outcome)>) {
        if ends.is_empty() {
            return;
        }
        let mut hands = self.hands.borrow_mut();
        let mut queue = self.ends.borrow_mut();
        for (key, outcome) in ends {
            if queue.contains_key(&key) {
                continue;
            }
            if let Some(hand) = hands.get_mut(&key.machine) {
                match outcome {
                    Outcome::Failed => {
                        hand.failed_jobs.insert(key.job.clone());
                    }
                    Outcome::Done => hand.failed_jobs.clear(),
                    Outcome::Lost => {}
                }
            }
            tracing::debug!(
                job = key.job,
                task = key.task,
                attempt = key.attempt,
                machine = key.machine,
                ?outcome,
                "ended"
            );
            queue.insert(key, outcome);
        }
        self.ends_wanted.notify_one();
    }

    /// Whom a worker that we no longer hold should report to.
    fn redirect(&self, machine: Option<&Machine>) -> Response {
        let report_to = machine
            .filter(|m| m.holder != self.name())
            .map(|m| m.holder.clone());
        Response::json(421, &Redirect { report_to })
    }

    /// A controller in the machine's own zone, if it is up and we are not in
    /// that zone: reports that cross no zone survive when zones are apart.
    /// Sent there seldom, as the worker may not reach it.
    fn nearer(&self, report: &Report, now: Instant) -> Option<String> {
        if report.zone == self.settings.zone {
            return None;
        }
        let pause = self.settings.lease() * 3;
        let mut fleet = self.fleet.borrow_mut();
        let recent = fleet.sent_home.get(&report.machine);
        if recent.is_some_and(|t| now.saturating_duration_since(*t) < pause) {
            return None;
        }
        let peers = self.peers.borrow();
        let alive = peers.alive(self, now);
        let there = self
            .settings
            .others
            .iter()
            .filter(|p| p.zone == report.zone && alive.contains(&p.name.as_str()))
            .map(|p| p.name.as_str());
        let home = crate::placement::preferred(&report.machine, there)?.to_string();
        fleet.sent_home.insert(report.machine.clone(), now);
        Some(home)
    }

    /// `POST /agent/beat`.
    pub async fn beat(&self, report: Report) -> Response {
        // Safety 4, the horizon.
        if !self.may_answer_beats() {
            return Response::unavailable("cut off from the state service", 1);
        }
        let id = report.machine.clone();
        let now = Instant::now();
        if let Some(home) = self.nearer(&report, now) {
            let report_to = Some(home);
            return Response::json(421, &Redirect { report_to });
        }
        let known = self.view.borrow().machines.get(&id).cloned();
        if let Some(m) = &known {
            if m.value.life == Life::Gone {
                return Response::unavailable("machine was returned", 30);
            }
            if report.token > m.value.token {
                // Someone has claimed it since; the view will tell who.
                self.hands.borrow_mut().remove(&id);
                return self.redirect(None);
            }
        }
        let ours = known.as_ref().is_some_and(|m| {
            m.value.holder == self.name() && m.value.token > 0 && m.value.life != Life::Booting
        });
        if let Some(m) = &known
            && !ours
            && self.hands.borrow_mut().remove(&id).is_some()
        {
            // We held it until another controller claimed it.
            return self.redirect(Some(&m.value));
        }
        if ours && !self.holds(&id) {
            // Held by an earlier run of this process: its token still renews
            // the lease while the new claim is being committed. No orders.
            let token = known.map_or(0, |m| m.value.token);
            self.ask_claim(&id, &report);
            return Response::json(
                200,
                &BeatAnswer {
                    token,
                    orders: vec![],
                },
            );
        }
        if !self.holds(&id) && !self.claim(&id, &report).await {
            return Response::unavailable("not claimed yet", 1);
        }
        let recalled = report.notice_s.is_some();
        let at = (report.session, report.seq);
        if let Some(hand) = self.hands.borrow_mut().get_mut(&id) {
            hand.heard = now;
            hand.take(report, true);
        }
        if recalled {
            self.fleet.borrow_mut().recalled.insert(id.clone());
        }
        let mut plan = self.plan(&id);
        self.queue_ends(std::mem::take(&mut plan.ends));
        let mut hands = self.hands.borrow_mut();
        let Some(hand) = hands.get_mut(&id) else {
            return Response::unavailable("lost while answering", 1);
        };
        if hand.in_flight {
            // What is on its way directly is not repeated here: the order in
            // which the two arrive would not be known.
            plan.orders.clear();
        }
        if !self.has_state() {
            // What an old view books may have been cancelled since.
            plan.orders.retain(|o| o.verb != Verb::Start);
        }
        if !self.may_answer_beats() {
            // The horizon may have passed while the claim was awaited.
            return Response::unavailable("cut off from the state service", 1);
        }
        if plan.launches() {
            hand.offered = Some(at);
        }
        note_orders(hand, &plan.orders, now);
        hand.answered = now;
        self.poke.notify_one();
        Response::json(
            200,
            &BeatAnswer {
                token: hand.token,
                orders: plan.orders,
            },
        )
    }

    pub fn holds(&self, id: &str) -> bool {
        let view = self.view.borrow();
        let hands = self.hands.borrow();
        match (hands.get(id), view.machines.get(id)) {
            (Some(h), Some(m)) => {
                h.token == m.value.token && m.value.incarnation == self.incarnation
            }
            _ => false,
        }
    }

    fn ask_claim(&self, id: &str, report: &Report) -> watch::Receiver<bool> {
        self.fleet.borrow_mut().remember(report);
        let receiver = self
            .claims
            .borrow_mut()
            .entry(id.to_string())
            .or_insert_with(|| watch::Sender::new(false))
            .subscribe();
        self.claims_wanted.notify_one();
        receiver
    }

    /// Claims the machine and waits for the commit.
    async fn claim(&self, id: &str, report: &Report) -> bool {
        let mut done = self.ask_claim(id, report);
        // A worker drops an answer that takes 4 s; a beat that cannot be
        // claimed soon is refused while that still helps it.
        let limit = Duration::from_secs_f64(2.0);
        let _ = timeout(limit, done.wait_for(|d| *d)).await;
        self.holds(id)
    }
}

/// Commits the claims that beats have asked for, several at a time.
pub async fn keep_claims(node: Rc<Node>) {
    loop {
        node.claims_wanted.notified().await;
        // Workers turn up together after a restart: let a few gather.
        sleep(node.request_gap() / 4).await;
        while !node.claims.borrow().is_empty() {
            if let Err(error) = claim_some(&node).await {
                tracing::debug!(%error, "claims not committed");
                sleep(node.store.jitter(node.request_gap() * 2)).await;
                if !node.may_answer_beats() {
                    node.claims.borrow_mut().clear();
                }
            }
        }
    }
}

async fn claim_some(node: &Node) -> Result<(), StoreError> {
    let ops = node.settings.deployment.state.txn_ops;
    let zones = node.settings.deployment.zones.len();
    let wanted: Vec<String> = node
        .claims
        .borrow()
        .keys()
        .take(ops.saturating_sub(zones).max(1))
        .cloned()
        .collect();
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    let mut taken: Vec<(String, u64)> = Vec::new();
    {
        let view = node.view.borrow();
        let fleet = node.fleet.borrow();
        let mut records = BTreeMap::new();
        for id in &wanted {
            let Some(report) = fleet.reports.get(id) else {
                continue;
            };
            let known = view.machines.get(id);
            let mut machine = known.map_or_else(
                || Machine {
                    holder: String::new(),
                    incarnation: 0,
                    token: 0,
                    life: Life::Active,
                    kind: report.kind.clone(),
                    zone: report.zone.clone(),
                    spot: report.spot,
                },
                |e| e.value.clone(),
            );
            if machine.life == Life::Gone {
                continue;
            }
            if machine.life == Life::Booting {
                machine.life = Life::Active;
            }
            machine.token = machine.token.max(report.token) + 1;
            machine.holder = node.name().to_string();
            machine.incarnation = node.incarnation;
            guards.push(guard(machine_key(id), known.map_or(0, |e| e.version)));
            writes.push(put(machine_key(id), &machine));
            taken.push((id.clone(), machine.token));
            // A machine that is new to its zone's record joins it at once.
            if machine.life == Life::Active
                && view.slot(&machine.zone, id).is_none()
                && let Some(kind) = view.type_of(&machine.kind)
            {
                let free = Room::of_type(kind) - view.booked_on(id);
                let zone = records.entry(machine.zone.clone()).or_insert_with(|| {
                    view.zones
                        .get(&machine.zone)
                        .map(|e| e.value.clone())
                        .unwrap_or_default()
                });
                zone.machines.insert(
                    id.clone(),
                    Slot {
                        kind: machine.kind.clone(),
                        spot: machine.spot,
                        free,
                    },
                );
            }
        }
        for (name, zone) in records {
            guards.push(guard(zone_key(&name), view.zone_version(&name)));
            writes.push(put(zone_key(&name), &zone));
        }
    }
    if !writes.is_empty() {
        let revision = match node.commit(Class::Claim, guards, writes).await {
            Ok(r) => r,
            Err(e) => {
                if matches!(e, StoreError::Conflict(_) | StoreError::NoAnswer(_)) {
                    node.barrier(node.settings.lease() / 8).await;
                }
                // An unanswered claim may have happened: then the view shows
                // a token that is ours by name but not in hand, and the next
                // try bumps it once more.
                return Err(e);
            }
        };
        let now = Instant::now();
        for (id, token) in taken {
            tracing::info!(machine = id, token, "claimed");
            let mut hands = node.hands.borrow_mut();
            let hand = Hand::new(token, revision, now);
            hands.insert(id, hand);
        }
    }
    for id in &wanted {
        if let Some(done) = node.claims.borrow_mut().remove(id) {
            done.send_replace(true);
        }
        // The worker learns the token now, and its report under it is what
        // launches wait for.
        node.poke.notify_one();
    }
    Ok(())
}

/// Sends orders directly, whenever bookings or reports have changed.
pub async fn keep_orders(node: Rc<Node>) {
    let tick = node.settings.report() / 2;
    loop {
        let _ = timeout(tick, node.poke.notified()).await;
        let _ = std::mem::take(&mut node.view.borrow_mut().changes.jobs);
        let _ = std::mem::take(&mut node.view.borrow_mut().changes.machines);
        // A controller with an old view gives no new orders by itself: what
        // it would launch may have been cancelled.
        if !node.has_state() {
            continue;
        }
        let now = Instant::now();
        let ids: Vec<String> = node.hands.borrow().keys().cloned().collect();
        for id in ids {
            if !node.holds(&id) {
                if node.view.borrow().revision >= node.hands.borrow()[&id].claimed_at {
                    tracing::info!(machine = id, "claimed by another controller, or gone");
                    node.hands.borrow_mut().remove(&id);
                }
                continue;
            }
            let mut plan = node.plan(&id);
            node.queue_ends(std::mem::take(&mut plan.ends));
            let mut hands = node.hands.borrow_mut();
            let Some(hand) = hands.get_mut(&id) else {
                continue;
            };
            if hand.in_flight || hand.unresolved || hand.quiet_until > now {
                continue;
            }
            let greeting = hand.report.is_none();
            if plan.orders.is_empty() && !greeting {
                continue;
            }
            let addr = node.fleet.borrow().reports.get(&id).map(|r| {
                let session = hand.report.as_ref().map_or(r.session, |h| h.session);
                (r.addr.clone(), session)
            });
            let Some((addr, session)) = addr else {
                continue;
            };
            hand.in_flight = true;
            for o in &plan.orders {
                tracing::debug!(verb = ?o.verb, task = o.task, attempt = o.attempt, machine = id, "order");
            }
            note_orders(hand, &plan.orders, now);
            let body = Orders {
                token: hand.token,
                session,
                orders: plan.orders,
            };
            drop(hands);
            tokio::task::spawn_local(send_orders(node.clone(), id, addr, body));
        }
    }
}

async fn send_orders(node: Rc<Node>, id: String, addr: String, body: Orders) {
    let launches = body.orders.iter().any(|o| o.verb == Verb::Start);
    let token = body.token;
    let result = match (addr.parse(), serde_json::to_vec(&body)) {
        (Ok(addr), Ok(bytes)) => {
            // As long as a worker waits for its own reports.
            let limit = Duration::from_secs(4).min(node.settings.lease() / 4);
            node.client
                .call(addr, "POST", "/orders", Some(bytes), limit)
                .await
        }
        _ => Err(CallError::NotSent("bad address".into())),
    };
    let now = Instant::now();
    let mut hands = node.hands.borrow_mut();
    let Some(hand) = hands.get_mut(&id).filter(|h| h.token == token) else {
        return;
    };
    hand.in_flight = false;
    match result {
        Ok(r) if r.status == 200 || r.status == 409 => match r.parse::<Report>() {
            Ok(report) => {
                hand.heard = now;
                if report.token > token {
                    tracing::info!(machine = id, "has seen a higher token");
                    hands.remove(&id);
                } else {
                    if let Some(known) = node.fleet.borrow_mut().reports.get_mut(&id) {
                        known.session = report.session;
                    }
                    hand.take(report, false);
                }
            }
            Err(error) => {
                tracing::debug!(machine = id, %error, "report not understood");
                hand.unresolved |= launches;
            }
        },
        Ok(r) => {
            tracing::debug!(machine = id, status = r.status, "orders refused");
            hand.quiet_until = now + node.settings.report();
        }
        Err(CallError::NotSent(cause)) => {
            // Surely not there: beat answers carry the orders meanwhile.
            tracing::debug!(machine = id, cause, "orders not sent");
            hand.quiet_until = now + node.settings.report();
            for o in &body.orders {
                match o.verb {
                    Verb::Start => hand.launched.remove(&(o.task.clone(), o.attempt)),
                    _ => hand.stopped.remove(&(o.task.clone(), o.attempt)).is_some(),
                };
            }
        }
        Err(error) => {
            tracing::debug!(machine = id, %error, "orders not answered");
            hand.quiet_until = now + node.settings.report();
            // Safety 3: an unanswered launch may land late. Only a higher
            // token that the worker has shown rules that out.
            hand.unresolved |= launches;
            if hand.unresolved {
                drop(hands);
                if let Some(report) = node.known_report(&id) {
                    node.ask_claim(&id, &report);
                }
            }
        }
    }
    node.poke.notify_one();
}

impl Node {
    fn known_report(&self, id: &str) -> Option<Report> {
        self.fleet.borrow().reports.get(id).cloned()
    }
}

/// Records ends: job, team and zone room in one commit, several at a time.
pub async fn keep_ends(node: Rc<Node>) {
    loop {
        let _ = timeout(node.settings.report(), node.ends_wanted.notified()).await;
        // Alone behind a cut, silence says nothing: the workers have moved.
        if !node.has_state() {
            continue;
        }
        release_silent(&node);
        release_gone(&node);
        if node.ends.borrow().is_empty() {
            continue;
        }
        // Ends come in bunches: a short wait puts them into one commit.
        sleep(node.request_gap() * 2).await;
        while !node.ends.borrow().is_empty() {
            match end_some(&node).await {
                Ok(0) => break,
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(%error, "ends not committed");
                    if matches!(error, StoreError::Conflict(_)) {
                        let before = node.view.borrow().revision;
                        node.hurry();
                        node.wait_revision(before + 1, node.request_gap() * 8).await;
                    } else if !node.barrier(node.settings.lease() / 4).await {
                        break;
                    }
                    sleep(node.store.jitter(node.request_gap() / 2)).await;
                }
            }
        }
    }
}

/// The bookings on a machine whose lease is surely over are released.
fn release_silent(node: &Node) {
    let now = Instant::now();
    let mut lost = Vec::new();
    {
        let mut hands = node.hands.borrow_mut();
        let view = node.view.borrow();
        for (id, hand) in hands.iter_mut() {
            let held = view.machines.get(id).is_some_and(|m| {
                m.value.token == hand.token && m.value.incarnation == node.incarnation
            });
            if !held || !hand.lease_is_over(node.settings.lease(), node.settings.margin(), now) {
                continue;
            }
            tracing::info!(machine = id, "silent for a whole lease: its tasks are gone");
            lost.extend(all_bookings(&view, id));
            // What it says next counts as a new beginning.
            hand.report = None;
            hand.launched.clear();
        }
    }
    node.queue_ends(lost);
}

/// The bookings on machines that the cloud has confirmed as gone.
fn release_gone(node: &Node) {
    let lost: Vec<_> = {
        let view = node.view.borrow();
        view.machines
            .iter()
            .filter(|(_, m)| m.value.life == Life::Gone)
            .flat_map(|(id, _)| all_bookings(&view, id))
            .collect()
    };
    node.queue_ends(lost);
}

fn all_bookings(view: &View, machine: &str) -> Vec<(EndKey, Outcome)> {
    let mut all = Vec::new();
    for (job, entry) in view.jobs_on(machine) {
        for run in entry.value.runs.iter().filter(|r| r.machine == machine) {
            for task in run.tasks.iter() {
                let key = EndKey {
                    job: job.to_string(),
                    machine: machine.to_string(),
                    attempt: run.attempt,
                    task,
                };
                all.push((key, Outcome::Lost));
            }
        }
    }
    all
}

async fn end_some(node: &Node) -> Result<usize, StoreError> {
    let ops = node.settings.deployment.state.txn_ops;
    let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
    let mut teams: BTreeMap<String, Room> = BTreeMap::new();
    let mut zones = BTreeMap::new();
    let mut machines = BTreeSet::new();
    let mut used = Vec::new();
    let mut stale = Vec::new();
    let mut guards: Vec<Guard> = Vec::new();
    let mut writes: Vec<Write> = Vec::new();
    {
        let view = node.view.borrow();
        for (key, outcome) in node.ends.borrow().iter() {
            let machine = view.machines.get(&key.machine);
            // Safety 3: what proved the end holds only while the machine is
            // still ours, or once it is gone for good; the guard below makes
            // the commit depend on it.
            let ours = machine.is_some_and(|m| {
                m.value.life == Life::Gone
                    || (m.value.holder == node.name() && m.value.incarnation == node.incarnation)
            });
            let entry = view.jobs.get(&key.job);
            let booked =
                entry.is_some_and(|e| e.value.find(&key.machine, key.attempt, key.task).is_some());
            if !booked || !ours {
                stale.push(key.clone());
                continue;
            }
            let (Some(entry), Some(machine)) = (entry, machine) else {
                continue;
            };
            let Some(spec) = entry.value.spec.clone() else {
                stale.push(key.clone());
                continue;
            };
            let zone = machine.value.zone.clone();
            let in_zone = view.slot(&zone, &key.machine).is_some();
            let new_ops = usize::from(!jobs.contains_key(&key.job))
                + usize::from(!teams.contains_key(&spec.team))
                + usize::from(in_zone && !zones.contains_key(&zone));
            if jobs.len() + teams.len() + zones.len() + new_ops > ops {
                continue;
            }
            if !machines.contains(&key.machine) && machines.len() >= ops {
                continue;
            }
            let job = jobs
                .entry(key.job.clone())
                .or_insert_with(|| entry.value.clone());
            if !job.release(&key.machine, key.attempt, key.task, *outcome) {
                continue;
            }
            *teams
                .entry(spec.team.clone())
                .or_insert_with(|| view.team_used(&spec.team)) -= spec.need;
            if in_zone {
                let record = zones.entry(zone.clone()).or_insert_with(|| {
                    view.zones
                        .get(&zone)
                        .map(|e| e.value.clone())
                        .unwrap_or_default()
                });
                if let Some(slot) = record.machines.get_mut(&key.machine) {
                    slot.free += spec.need;
                }
            }
            machines.insert(key.machine.clone());
            used.push(key.clone());
        }
        for (id, job) in &jobs {
            guards.push(guard(job_key(id), view.job_version(id)));
            writes.push(put(job_key(id), job));
        }
        for (name, room) in &teams {
            guards.push(guard(team_key(name), view.team_version(name)));
            writes.push(put(team_key(name), &crate::model::Team { used: *room }));
        }
        for (name, zone) in &zones {
            guards.push(guard(zone_key(name), view.zone_version(name)));
            writes.push(put(zone_key(name), zone));
        }
        for id in &machines {
            let version = view.machines.get(id).map_or(0, |e| e.version);
            guards.push(guard(machine_key(id), version));
        }
    }
    {
        let mut ends = node.ends.borrow_mut();
        for key in &stale {
            ends.remove(key);
        }
    }
    if used.is_empty() {
        return Ok(0);
    }
    node.commit(Class::End, guards, writes).await?;
    let mut ends = node.ends.borrow_mut();
    for key in &used {
        ends.remove(key);
    }
    Ok(used.len())
}

/// Publishes the room of held machines where the zone's record differs, and
/// drains machines with a notice. On change only, one zone at a time.
pub async fn keep_rooms(node: Rc<Node>) {
    // Starting value of the design: at most every 5 s per record.
    let mut last: HashMap<String, Instant> = HashMap::new();
    let interval = Duration::from_secs(5);
    loop {
        sleep(node.settings.report() / 3).await;
        if !node.has_state() {
            continue;
        }
        let zones = node.settings.deployment.zones.clone();
        for zone in zones {
            if last.get(&zone).is_some_and(|t| t.elapsed() < interval) {
                continue;
            }
            let Some((guards, writes)) = room_changes(&node, &zone) else {
                continue;
            };
            last.insert(zone.clone(), Instant::now());
            if let Err(error) = node.commit(Class::Room, guards, writes).await {
                tracing::debug!(zone, %error, "room not published");
            }
        }
    }
}

fn room_changes(node: &Node, zone: &str) -> Option<(Vec<Guard>, Vec<Write>)> {
    let view = node.view.borrow();
    let hands = node.hands.borrow();
    let entry = view.zones.get(zone);
    let mut record = entry.map(|e| e.value.clone()).unwrap_or_default();
    let mut changed = false;
    let now = Instant::now();
    let quiet = node.settings.lease().mul_f64(0.6);
    for (id, hand) in hands.iter() {
        let Some(machine) = view.machines.get(id) else {
            continue;
        };
        let m = &machine.value;
        if m.zone != zone
            || m.life != Life::Active
            || m.incarnation != node.incarnation
            || m.token != hand.token
        {
            continue;
        }
        // What has not been heard for most of a lease takes no new work until
        // it is heard again.
        if now.saturating_duration_since(hand.heard) > quiet {
            changed |= record.machines.remove(id).is_some();
            continue;
        }
        let (Some(report), Some(kind)) = (&hand.report, view.type_of(&m.kind)) else {
            continue;
        };
        let mut free = Room::of_type(kind) - view.booked_on(id);
        // Tasks that nobody has booked here take room until they are gone.
        for t in &report.tasks {
            if let Some((job, n)) = split_task(&t.task)
                && t.stage != TaskStage::Ended
                && let Some(e) = view.jobs.get(job)
                && e.value.find(id, t.attempt, n).is_none()
                && let Some(spec) = &e.value.spec
            {
                free -= spec.need;
            }
        }
        let slot = Slot {
            kind: m.kind.clone(),
            spot: m.spot,
            free,
        };
        if record.machines.get(id) != Some(&slot) {
            record.machines.insert(id.clone(), slot);
            changed = true;
        }
    }
    // Slots of machines that take no work any more.
    let before = record.machines.len();
    record.machines.retain(|id, _| {
        view.machines
            .get(id)
            .is_some_and(|m| m.value.life == Life::Active)
    });
    changed |= record.machines.len() != before;
    if !changed {
        return None;
    }
    let guards = vec![guard(zone_key(zone), view.zone_version(zone))];
    Some((guards, vec![put(zone_key(zone), &record)]))
}
