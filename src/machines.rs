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

use crate::draft::{COMMIT_BYTES, GUARDS_PER_WRITE, Groups};
use crate::http::{CallError, Deadlines, Response};
use crate::model::{Final, Job, Life, Machine, Outcome, Part, Room, Slot, Spec, split_task};
use crate::node::{Node, guard, skipped};
use crate::settings::CLOCK_DRIFT;
use crate::store::{Class, StoreError};
use crate::view::{View, group_key, part_id, part_key};
use crate::wire::{BeatAnswer, Guard, Order, Orders, Redirect, Report, TaskStage, Verb, Why};

/// A task's attempt on a machine whose booking is to be released.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndKey {
    pub job: String,
    pub machine: String,
    pub attempt: u64,
    pub task: u32,
}

/// An end that is to be recorded, and the token under which it was proven. Who
/// loses a machine and claims it again may have let another launch the same
/// attempt there meanwhile: what was proven before the new claim is void.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    pub outcome: Outcome,
    pub token: u64,
}

/// A claim that a beat has asked for.
#[derive(Debug)]
pub struct Claim {
    done: watch::Sender<bool>,
    /// When it was last asked for: a worker that has gone on to another
    /// controller meanwhile is not to be drawn back.
    asked: Instant,
    /// The machine's token in the view when it was asked for.
    token: u64,
    /// The worker has to be told to stop something.
    urgent: bool,
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
    /// When it last reported by itself. A worker that answers orders but opens
    /// no connection is heard, and its lease runs out all the same.
    pub beat: Instant,
    /// When it was claimed.
    pub claimed: Instant,
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
    /// The newest beat, whatever its token. A worker has one beat in flight at
    /// most: an older one is a late copy, and nobody waits for its answer.
    pub newest_beat: (u64, u64),
    /// The worker's session, and when this controller first saw it.
    pub session: Option<(u64, Instant)>,
    /// Since when its reports arrive while answers and orders do not.
    pub deaf_since: Option<Instant>,
    /// It was silent for a whole lease: that it reports again does not tell
    /// whether it hears us. Its reports count once it has answered an order
    /// or shown a newer token.
    pub doubted: bool,
}

impl Hand {
    pub fn new(token: u64, claimed_at: u64, now: Instant) -> Self {
        Hand {
            token,
            claimed_at,
            report: None,
            heard: now,
            beat: now,
            claimed: now,
            answered: now,
            in_flight: false,
            unresolved: false,
            offered: None,
            launched: HashSet::new(),
            stopped: HashMap::new(),
            failed_jobs: BTreeSet::new(),
            quiet_until: now,
            newest_beat: (0, 0),
            session: None,
            deaf_since: None,
            doubted: false,
        }
    }

    /// What holds whoever has the token, for the hand that follows this one.
    pub fn follow(&mut self, earlier: &Hand) {
        self.failed_jobs.clone_from(&earlier.failed_jobs);
        self.newest_beat = earlier.newest_beat;
        self.beat = earlier.beat;
        self.session = earlier.session;
        self.deaf_since = earlier.deaf_since;
    }

    /// Takes a gap in which this process did not run out of every span of
    /// silence; the proof by silence only comes later by it. The last answer was
    /// when it was: that a lease ran out in the gap is no sign of deafness.
    pub fn skip(&mut self, gap: Duration, now: Instant) {
        for at in [&mut self.heard, &mut self.beat, &mut self.claimed] {
            *at = skipped(*at, gap, now);
        }
        self.deaf_since = self.deaf_since.map(|t| skipped(t, gap, now));
        self.session = self.session.map(|(s, t)| (s, skipped(t, gap, now)));
    }

    /// Notes that a beat has come; false for a late copy, which tells nothing:
    /// neither that the machine is alive, nor what runs there.
    pub fn hear(&mut self, report: &Report, lease: Duration, now: Instant) -> bool {
        let at = (report.session, report.seq);
        if at <= self.newest_beat {
            return false;
        }
        self.newest_beat = at;
        self.beat = now;
        self.see(report, lease, now);
        true
    }

    /// Notes what a report, of whatever kind, says of the worker's session.
    pub fn see(&mut self, report: &Report, lease: Duration, now: Instant) {
        self.heard = now;
        let since = |t: Instant| now.saturating_duration_since(t);
        // A worker that takes our answers keeps its session, and shows our
        // token within a lease.
        let unshown = report.token < self.token && since(self.claimed) > lease;
        match self.session {
            Some((s, _)) if s < report.session => {
                // Whatever was given to the earlier session is gone, and late
                // orders for it are refused.
                self.unresolved = false;
                self.offered = None;
                if since(self.answered) < lease && report.token == self.token {
                    self.deaf_since = self.deaf_since.or(Some(now));
                }
                self.session = Some((report.session, now));
            }
            Some((_, first)) if !unshown && since(first) > lease.mul_f64(1.25) => {
                self.deaf_since = None;
            }
            Some(_) => {}
            None => self.session = Some((report.session, now)),
        }
        // Whoever cannot reach us has no lease, however well our orders reach
        // it: what is started there ends with each session.
        let mute = since(self.beat) > lease;
        if unshown || mute {
            self.deaf_since = self.deaf_since.or(Some(now));
        }
    }

    /// Takes a report if it is newer than what is known and was made under
    /// our token. Safety 3: an older report proves nothing about what has
    /// been launched since.
    pub fn take(&mut self, report: Report, is_beat: bool) -> bool {
        if report.token != self.token {
            return false;
        }
        if is_beat && self.doubted {
            return false;
        }
        self.doubted = false;
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

    /// Takes the launches out unless the view is recent enough for them: what an
    /// older view books may have been cancelled at another controller since.
    /// True if any were taken out; they are planned again after a read barrier.
    pub fn defer_launches(&mut self, horizon_age: Option<Duration>, limit: Duration) -> bool {
        let recent = horizon_age.is_some_and(|age| age < limit);
        if recent || !self.launches() {
            return false;
        }
        self.orders.retain(|o| o.verb != Verb::Start);
        true
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
    ends: &BTreeMap<EndKey, Proof>,
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
                if ends.get(&key).is_some_and(|p| p.token == hand.token) {
                    continue;
                }
                let task = format!("{job_id}/{n}");
                let was_launched = hand.launched.contains(&(task.clone(), run.attempt));
                // A gang's member that was there and is gone has broken the
                // attempt; an independent task is simply launched again, but
                // not where no order arrives.
                let lost = run.stop || hand.deaf_since.is_some() || (gang && was_launched);
                if !job.is_open() || life != Life::Active || lost {
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

/// The controller whose name a part bears.
pub fn home_of(part: &str) -> &str {
    part.rsplit_once('.').map_or("", |(home, _)| home)
}

/// Whether something on the machine has to end: its lease must not be renewed
/// by one who cannot say so yet. A cancelled task would outlive `cancel_s` if
/// its holder came back again and again before it could claim the machine.
pub fn must_stop(report: &Report, view: &View) -> bool {
    let ends = |job: &Job| !job.is_open();
    let reported = report.tasks.iter().any(|t| {
        let Some((id, n)) = split_task(&t.task) else {
            return false;
        };
        let job = view.jobs.get(id).map(|e| &e.value);
        t.stage != TaskStage::Ended
            && job.is_none_or(|j| ends(j) || j.find(&report.machine, t.attempt, n).is_none())
    });
    reported || view.jobs_on(&report.machine).any(|(_, e)| ends(&e.value))
}

/// The stops that an answer which renews the lease has to carry: for every task
/// in that very report whose job is cancelled. What is final needs neither a
/// report under our token nor a view that has reached our claim, and a stop may
/// be repeated at any time: it is not left out because it was told a moment ago,
/// or goes directly just now, as neither may ever arrive.
pub fn stops_of_cancelled(report: &Report, view: &View) -> Vec<Order> {
    let tasks = report.tasks.iter().filter(|t| {
        let job = split_task(&t.task).and_then(|(id, _)| view.jobs.get(id));
        t.stage != TaskStage::Ended && job.is_some_and(|e| e.value.fin == Final::Cancelled)
    });
    tasks
        .map(|t| Order {
            verb: Verb::Stop,
            task: t.task.clone(),
            attempt: t.attempt,
            grace_s: Some(0.0),
        })
        .collect()
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

    /// Takes out launches that would follow from too old a view, and asks for the
    /// read barrier after which they are planned again.
    fn defer_old_launches(&self, id: &str, plan: &mut Plan) {
        let limit = self.settings.launch_limit();
        if plan.defer_launches(self.horizon_age(), limit) {
            self.want_horizon_for(id);
        }
    }

    fn queue_ends(&self, ends: Vec<(EndKey, Outcome)>) {
        if ends.is_empty() {
            return;
        }
        let mut hands = self.hands.borrow_mut();
        let mut queue = self.ends.borrow_mut();
        for (key, outcome) in ends {
            let hand = hands.get_mut(&key.machine);
            // Without a hand only the cloud's word proves an end.
            let token = hand.as_ref().map_or(0, |h| h.token);
            if queue.get(&key).is_some_and(|p| p.token >= token) {
                continue;
            }
            if let Some(hand) = hand {
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
            queue.insert(key, Proof { outcome, token });
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

    /// The controller that the machine belongs to, if it is up and another
    /// than this: that of its part, where the commits on its work meet no
    /// others, or one in its own zone, as reports that cross no zone survive
    /// when zones are apart. Each is sent there seldom, as it may not reach it.
    fn nearer(&self, report: &Report, now: Instant) -> Option<String> {
        let view = self.view.borrow();
        let machine = view.machines.get(&report.machine).map(|e| &e.value);
        let home = {
            let peers = self.peers.borrow();
            // One that does not hear its own has lost its workers.
            let mut alive = peers.alive(self, now);
            alive.retain(|n| *n == self.name() || peers.hears_machines(self, n, now));
            let part = machine.map_or("", |m| home_of(&m.part));
            match alive.iter().find(|n| **n == part) {
                Some(home) => home.to_string(),
                None => self.nearest(&report.machine, &report.zone, &alive)?,
            }
        };
        if home == self.name() {
            return None;
        }
        let lease = self.settings.lease();
        let mut fleet = self.fleet.borrow_mut();
        if let Some((sent, back)) = fleet.sent_home.get_mut(&report.machine) {
            // One that is back soon has not reached it, and is left alone for
            // a while; one that comes later has lost it since.
            let age = now.saturating_duration_since(*sent);
            *back |= age < lease;
            if *back && age < lease * 3 {
                return None;
            }
        }
        // One that nobody holds yet costs no more there than here. Of the
        // others a few at a time, and none while machines wait to be claimed:
        // after a restart of many, all workers stand at the first that is up.
        let free = machine.is_none_or(|m| m.holder.is_empty());
        if !free {
            let gap = self.request_gap() / 4;
            let last = fleet.last_sent_home;
            if !self.claims.borrow().is_empty()
                || last.is_some_and(|t| now.saturating_duration_since(t) < gap)
            {
                return None;
            }
            fleet.last_sent_home = Some(now);
        }
        fleet.sent_home.insert(report.machine.clone(), (now, false));
        Some(home)
    }

    /// Which of these controllers a machine without a home should report to:
    /// one of its zone, if there is any.
    pub fn nearest(&self, machine: &str, zone: &str, alive: &[&str]) -> Option<String> {
        let zone_of = |name: &str| {
            let others = &self.settings.others;
            let peer = others.iter().find(|p| p.name == name);
            peer.map_or(&self.settings.zone, |p| &p.zone).as_str()
        };
        let there: Vec<&str> = alive
            .iter()
            .copied()
            .filter(|n| zone_of(n) == zone)
            .collect();
        let choice = if there.is_empty() { alive } else { &there };
        crate::placement::preferred(machine, choice.iter().copied()).map(str::to_string)
    }

    /// The controller that holds a machine, if it is up and hears its workers: a
    /// worker that has lost it for a moment goes back once, which costs no claim.
    /// Not from its home, where it was sent: the two would send it to and fro.
    /// Nor to one that is silent to its workers: another try there takes what is
    /// left of the lease.
    fn send_back(&self, id: &str, machine: Option<&Machine>, now: Instant) -> Option<String> {
        let m = machine.filter(|m| m.holder != self.name() && m.token > 0)?;
        if home_of(&m.part) == self.name() {
            return None;
        }
        let view = self.view.borrow();
        let up = view.nodes.get(&m.holder)?.value.incarnation == m.incarnation;
        let peers = self.peers.borrow();
        let alive = peers.alive(self, now).contains(&m.holder.as_str());
        if !up || !alive || !peers.hears_machines(self, &m.holder, now) {
            return None;
        }
        let pause = self.settings.lease();
        let mut fleet = self.fleet.borrow_mut();
        let recent = fleet.sent_back.get(id);
        if recent.is_some_and(|t| now.saturating_duration_since(*t) < pause) {
            return None;
        }
        fleet.sent_back.insert(id.to_string(), now);
        Some(m.holder.clone())
    }

    /// `POST /agent/beat`.
    pub async fn beat(&self, report: Report) -> Response {
        let now = self.pulse();
        // Safety 4, the horizon.
        if !self.may_answer_beats() {
            return Response::unavailable("cut off from the state service", 1);
        }
        let id = report.machine.clone();
        if let Some(home) = self.nearer(&report, now) {
            let report_to = Some(home);
            return Response::json(421, &Redirect { report_to });
        }
        let known = self.view.borrow().machines.get(&id).cloned();
        if let Some(m) = &known {
            if matches!(m.value.life, Life::Returning | Life::Gone) && !self.holds(&id) {
                return Response::unavailable("machine was returned", 30);
            }
            if !self.holds(&id) && (report.session, report.seq) <= m.value.seen {
                return Response::unavailable("a newer report has come", 1);
            }
            let lease = self.settings.lease();
            let mut fleet = self.fleet.borrow_mut();
            if fleet.hears_nothing(&report, m.value.token, lease, now) {
                return Response::unavailable("it does not hear", 1);
            }
            drop(fleet);
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
        let must_stop = ours && !self.holds(&id) && must_stop(&report, &self.view.borrow());
        if ours && !self.holds(&id) && !must_stop {
            // Held by an earlier run of this process: its token still renews
            // the lease while the new claim is being committed. No orders.
            let token = known.map_or(0, |m| m.value.token);
            self.ask_claim(&id, &report, false);
            return Response::json(
                200,
                &BeatAnswer {
                    token,
                    orders: vec![],
                },
            );
        }
        if !self.holds(&id) {
            if let Some(holder) = self.send_back(&id, known.as_ref().map(|m| &m.value), now) {
                let report_to = Some(holder);
                return Response::json(421, &Redirect { report_to });
            }
            if report.token == 0 && known.is_none_or(|m| m.value.token == 0) {
                // Nobody has ever held it, so nobody can wait for its lease to
                // run out: it stays here until it is claimed.
                self.ask_claim(&id, &report, false);
                let orders = vec![];
                return Response::json(200, &BeatAnswer { token: 0, orders });
            }
            if !self.claim(&id, &report).await {
                if report.token > 0 && self.keeps(&id, Instant::now()) {
                    // Dropped by the worker, as it shows a higher token: its
                    // lease is not renewed, but it stays, and its claim is on
                    // its way. One that goes on tries all that are cut off, and
                    // is back when its lease is over.
                    let orders = vec![];
                    return Response::json(200, &BeatAnswer { token: 0, orders });
                }
                return Response::unavailable("not claimed yet", 1);
            }
        }
        let recalled = report.notice_s.is_some();
        let mut doubted = false;
        let at = (report.session, report.seq);
        if let Some(hand) = self.hands.borrow_mut().get_mut(&id) {
            if !hand.hear(&report, self.settings.lease(), now) {
                return Response::unavailable("a newer report has come", 1);
            }
            let first = hand.report.is_none();
            doubted = hand.doubted;
            if hand.take(report.clone(), true) && first {
                self.rooms_wanted.notify_one();
            }
        }
        if doubted {
            self.ask_claim(&id, &report, false);
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
        self.defer_old_launches(&id, &mut plan);
        if !self.may_answer_beats() {
            // The horizon may have passed while the claim was awaited.
            return Response::unavailable("cut off from the state service", 1);
        }
        // Safety 4: the answer renews the lease, so it ends what is cancelled.
        for stop in stops_of_cancelled(&report, &self.view.borrow()) {
            if !plan.orders.contains(&stop) {
                plan.orders.push(stop);
            }
        }
        if plan.launches() {
            hand.offered = Some(at);
        }
        note_orders(hand, &plan.orders, now);
        hand.answered = now;
        Response::json(
            200,
            &BeatAnswer {
                token: hand.token,
                orders: plan.orders,
            },
        )
    }

    /// Whether a worker whose claim takes long should stay here: for half a
    /// lease, and only where claims can be committed at all.
    fn keeps(&self, id: &str, now: Instant) -> bool {
        let lease = self.settings.lease();
        let mut fleet = self.fleet.borrow_mut();
        let first = fleet.kept.entry(id.to_string()).or_insert(now);
        if now.saturating_duration_since(*first) > lease {
            *first = now;
        }
        now.saturating_duration_since(*first) < lease / 2 && self.has_state()
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

    fn ask_claim(&self, id: &str, report: &Report, urgent: bool) -> watch::Receiver<bool> {
        self.fleet.borrow_mut().remember(report);
        let asked = Instant::now();
        let view = self.view.borrow();
        let token = view.machines.get(id).map_or(0, |e| e.value.token);
        let mut claims = self.claims.borrow_mut();
        let claim = claims.entry(id.to_string()).or_insert_with(|| Claim {
            done: watch::Sender::new(false),
            asked,
            token,
            urgent,
        });
        claim.token = token;
        claim.asked = asked;
        claim.urgent |= urgent;
        let receiver = claim.done.subscribe();
        self.claims_wanted.notify_one();
        receiver
    }

    /// Claims the machine and waits for the commit.
    async fn claim(&self, id: &str, report: &Report) -> bool {
        let mut done = self.ask_claim(id, report, true);
        // A worker drops an answer that takes 4 s; a beat that cannot be
        // claimed soon is refused while that still helps it.
        let limit = Duration::from_secs_f64(3.2);
        let _ = timeout(limit, done.wait_for(|d| *d)).await;
        self.holds(id)
    }
}

/// Commits the claims that beats have asked for, several at a time.
pub async fn keep_claims(node: Rc<Node>) {
    loop {
        node.claims_wanted.notified().await;
        // Workers turn up together after a restart: let them gather.
        sleep(node.request_gap() * 2).await;
        while !node.claims.borrow().is_empty() {
            // They stand in few records, however many they are.
            node.store.ready(Class::Claim, 1).await;
            if let Err(error) = claim_some(&node).await {
                tracing::debug!(%error, "claims not committed");
                // The same would be refused again: those that stand in that
                // group ask anew with their next reports, the rest go on.
                if let StoreError::Limits(key) = &error {
                    let view = node.view.borrow();
                    let there = |id: &String| {
                        let m = view.machines.get(id).map(|e| &e.value);
                        m.is_none_or(|m| group_key(&part_id(&m.zone, &m.part)) == *key)
                    };
                    node.claims.borrow_mut().retain(|id, _| !there(id));
                }
                sleep(node.store.jitter(node.request_gap() * 2)).await;
                if !node.may_answer_beats() {
                    node.claims.borrow_mut().clear();
                }
            }
        }
    }
}

/// Ends that wait to be recorded stay proven when this controller, holder
/// throughout, has only taken a newer token: the commit of the claim shows that
/// nobody else held the machine in between, and nothing was launched since.
fn keep_proofs(node: &Node, taken: &[(String, u64, (u64, u64))]) {
    let hands = node.hands.borrow();
    let renewed: HashMap<&str, (u64, u64)> = taken
        .iter()
        .filter_map(|(id, token, _)| Some((id.as_str(), (hands.get(id)?.token, *token))))
        .filter(|(_, (before, after))| before + 1 == *after)
        .collect();
    for (key, proof) in node.ends.borrow_mut().iter_mut() {
        if let Some((before, after)) = renewed.get(key.machine.as_str())
            && proof.token == *before
        {
            proof.token = *after;
        }
    }
}

async fn claim_some(node: &Node) -> Result<(), StoreError> {
    let ops = node.settings.txn_ops();
    let mut wanted: Vec<String> = Vec::new();
    let mut taken: Vec<(String, u64, (u64, u64))> = Vec::new();
    let (guards, writes);
    {
        let view = node.view.borrow();
        let fleet = node.fleet.borrow();
        let mut claims = node.claims.borrow_mut();
        let now = Instant::now();
        // A worker reports again, or has gone on, within this time.
        let fresh = node.settings.report() * 2;
        claims.retain(|id, claim| {
            let known = view.machines.get(id).map(|e| &e.value);
            let ours = known.is_none_or(|m| m.holder.is_empty() || m.holder == node.name());
            // If another was quicker and the worker is here all the same, its
            // next report asks again.
            let quicker = known.is_some_and(|m| m.token > claim.token);
            ours || (!quicker && now.saturating_duration_since(claim.asked) < fresh)
        });
        let mut order: Vec<(&String, &Claim)> = claims.iter().collect();
        // Those whose workers wait for the answer come first.
        order.sort_by_key(|(_, c)| (!c.urgent, c.done.is_closed()));
        let mut groups = Groups::new(&view);
        for (id, _) in order {
            let Some(report) = fleet.reports.get(id) else {
                wanted.push(id.clone());
                continue;
            };
            let known = view.machines.get(id).map(|e| &e.value);
            // A group that is new to the commit, and the conditions for one
            // that is new to its zone.
            let group = known.map(|m| part_id(&m.zone, &m.part));
            if groups.is_full(ops) && !group.is_some_and(|g| groups.has(&g)) {
                continue;
            }
            wanted.push(id.clone());
            let mut machine = match known {
                Some(m) => m.clone(),
                None => {
                    let (kind, zone) = (&report.kind, &report.zone);
                    let part = groups.new_part(&node.settings, id, kind, zone);
                    Machine {
                        part,
                        spot: report.spot,
                        ..Machine::new(kind, zone)
                    }
                }
            };
            if machine.life == Life::Gone {
                continue;
            }
            if machine.life == Life::Booting {
                machine.life = Life::Active;
            }
            machine.token = machine.token.max(report.token) + 1;
            machine.holder = node.name().to_string();
            machine.incarnation = node.incarnation;
            machine.seen = machine.seen.max((report.session, report.seq));
            taken.push((id.clone(), machine.token, machine.seen));
            groups.put(id, machine);
        }
        (guards, writes) = groups.into_commit();
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
        keep_proofs(node, &taken);
        for (id, token, seen) in taken {
            tracing::info!(machine = id, token, "claimed");
            let mut hands = node.hands.borrow_mut();
            let mut hand = Hand::new(token, revision, now);
            if let Some(earlier) = hands.get(&id) {
                hand.follow(earlier);
            }
            // The report that asked for the claim is taken yet.
            let before = (seen.0, seen.1.saturating_sub(1));
            hand.newest_beat = hand.newest_beat.max(before);
            hands.insert(id, hand);
        }
    }
    for id in &wanted {
        if let Some(claim) = node.claims.borrow_mut().remove(id) {
            claim.done.send_replace(true);
        }
        // The worker learns the token now, and its report under it is what
        // launches wait for.
        node.poke_machine(id);
    }
    Ok(())
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
        // A controller with an old view gives no new orders by itself: what
        // it would launch may have been cancelled.
        if !node.has_state() {
            continue;
        }
        let ids: Vec<String> = match sweep {
            true => node.hands.borrow().keys().cloned().collect(),
            false => changed.into_iter().collect(),
        };
        for id in ids {
            if !node.hands.borrow().contains_key(&id) {
                continue;
            }
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
            // A call to a machine that is gone, hung or cut off takes a
            // connection until it times out: hundreds of them would leave none
            // for the rest. What is heard again has its orders by the answer.
            if now.saturating_duration_since(hand.heard) > node.settings.report() * 2 {
                continue;
            }
            node.defer_old_launches(&id, &mut plan);
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
            let launches = body.orders.iter().any(|o| o.verb == Verb::Start);
            let deadlines = order_deadlines(&node, launches, now);
            tokio::task::spawn_local(send_orders(node.clone(), id, addr, body, deadlines));
        }
    }
}

/// By when a call with these orders must be sent and answered. If this process
/// stands still before it is sent, it is sent no more, as work may have been
/// cancelled or moved since; a launch not once the horizon that it was planned
/// with is too old for it.
fn order_deadlines(node: &Node, launches: bool, decided: Instant) -> Deadlines {
    // As long as a worker waits for its own reports.
    let limit = Duration::from_secs(4).min(node.settings.lease() / 4);
    let answer = decided + limit;
    let horizon = node.horizon.get().filter(|_| launches);
    let latest_launch = horizon.map(|sent| sent + node.settings.launch_limit());
    Deadlines {
        send: latest_launch.map_or(answer, |latest| latest.min(answer)),
        answer,
    }
}

/// Sends a worker its orders, and takes the report that it answers with.
async fn send_orders(node: Rc<Node>, id: String, addr: String, body: Orders, deadlines: Deadlines) {
    let launches = body.orders.iter().any(|o| o.verb == Verb::Start);
    let token = body.token;
    let result = match (addr.parse(), serde_json::to_vec(&body)) {
        (Ok(addr), Ok(bytes)) => {
            node.workers
                .call_within(addr, "POST", "/orders", Some(bytes), deadlines)
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
                hand.see(&report, node.settings.lease(), now);
                if report.token > token {
                    tracing::info!(machine = id, "has seen a higher token");
                    hands.remove(&id);
                } else {
                    if let Some(known) = node.fleet.borrow_mut().reports.get_mut(&id) {
                        known.session = report.session;
                    }
                    let first = hand.report.is_none();
                    if hand.take(report, false) && first {
                        node.rooms_wanted.notify_one();
                    }
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
            if hand.unresolved
                && let Some(report) = node.known_report(&id)
            {
                node.ask_claim(&id, &report, true);
            }
        }
    }
    drop(hands);
    node.poke_machine(&id);
}

impl Node {
    /// Has a machine's orders worked out anew.
    fn poke_machine(&self, id: &str) {
        let changes = &mut self.view.borrow_mut().changes;
        changes.machines.insert(id.to_string());
        self.poke.notify_one();
    }

    fn known_report(&self, id: &str) -> Option<Report> {
        self.fleet.borrow().reports.get(id).cloned()
    }
}

/// The bookings on a machine whose lease is surely over are released.
pub fn release_silent(node: &Node) {
    let now = node.pulse();
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
            hand.doubted = true;
            hand.launched.clear();
        }
    }
    node.queue_ends(lost);
}

/// The bookings on machines that the cloud has confirmed as gone.
pub fn release_gone(node: &Node) {
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

/// Publishes the room of held machines where the parts' records differ.
pub async fn keep_rooms(node: Rc<Node>) {
    // Starting value of the design: at most every 5 s per record.
    let mut last: HashMap<String, Instant> = HashMap::new();
    let interval = Duration::from_secs(5);
    // Machines that can take work from now on gather for a moment, and while
    // many of them boot for a little longer: each time costs a write a part.
    let gather = node.request_gap() * 4;
    let apart = node.settings.report() / 4;
    let mut joined: Option<Instant> = None;
    loop {
        let _ = timeout(node.settings.report() / 3, node.rooms_wanted.notified()).await;
        let since = joined.map_or(apart, |t| t.elapsed());
        sleep(gather.max(apart.saturating_sub(since))).await;
        if !node.has_state() {
            continue;
        }
        last.retain(|_, t| t.elapsed() < interval);
        let found = room_changes(&node, &last);
        if found.is_empty() {
            continue;
        }
        // A machine that is in no record is rented for nothing, and work that
        // is sent to a silent one waits for its lease: neither stands behind
        // the rounds, which would have the whole budget while work waits.
        let mut changes = found;
        let mut class = Class::Room;
        if changes.iter().any(|c| c.members) {
            class = Class::Claim;
            joined = Some(Instant::now());
            node.store.ready(class, changes.len()).await;
            changes = room_changes(&node, &last);
        }
        let now = Instant::now();
        last.extend(changes.iter().map(|c| (c.id.clone(), now)));
        while !changes.is_empty() {
            let mut guards = Vec::new();
            let mut writes = Vec::new();
            for c in &changes {
                guards.extend(c.guards.iter().cloned());
                writes.push(node.view.borrow().put_part(&c.id, &c.part));
            }
            guards.sort_by(|a, b| a.key.cmp(&b.key));
            guards.dedup_by(|a, b| a.key == b.key);
            match node.commit(class, guards, writes).await {
                Err(StoreError::Conflict(keys)) => {
                    // A booking was quicker there; the others go on.
                    tracing::debug!(?keys, "room not published");
                    let known = changes.len();
                    changes.retain(|c| {
                        let failed = c.guards.iter().any(|g| keys.contains(&g.key));
                        if failed {
                            last.remove(&c.id);
                        }
                        !failed
                    });
                    node.hurry();
                    node.rooms_wanted.notify_one();
                    // Where slots were put by what other parts of the commit
                    // hold, all of it is chosen anew.
                    if changes.len() == known || node.view.borrow().is_short() {
                        break;
                    }
                }
                Err(error) => {
                    tracing::debug!(%error, "room not published");
                    break;
                }
                Ok(_) => break,
            }
        }
    }
}

/// A part's record as it should be.
struct RoomChange {
    id: String,
    part: Part,
    /// Machines join or leave.
    members: bool,
    /// All that has to be as it is.
    guards: Vec<Guard>,
}

/// Parts of the zones' records that differ from what this controller knows of
/// the machines that it holds; as many as one commit takes.
fn room_changes(node: &Node, recent: &HashMap<String, Instant>) -> Vec<RoomChange> {
    let now = node.pulse();
    let view = node.view.borrow();
    let hands = node.hands.borrow();
    let quiet = node.settings.lease().mul_f64(0.6);
    let suspects = crate::fleet::suspects(node, &view, &hands);
    let most = node.settings.txn_ops();
    // Records that stand in the longer text may be as long as ever.
    let longest = match view.is_short() {
        true => node.settings.value_bytes(),
        false => node.settings.longest_value(),
    };
    let most = most.min((COMMIT_BYTES / longest).max(1));
    let most_guards = most * (GUARDS_PER_WRITE - 1);
    // What the slots that are put somewhere depend on, by part.
    let mut conditions: BTreeMap<String, u64> = BTreeMap::new();
    let mut seated: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut parts: BTreeMap<String, (Part, bool)> = BTreeMap::new();
    for (id, hand) in hands.iter() {
        let Some(machine) = view.machines.get(id) else {
            continue;
        };
        let m = &machine.value;
        if m.incarnation != node.incarnation || m.token != hand.token {
            continue;
        }
        let known = view.slot(id);
        // What has not been heard for most of a lease takes no new work until
        // it is heard again; nor does what does not hear us, or is to leave.
        let unshown = hand.report.is_none()
            && now.saturating_duration_since(hand.claimed) > node.settings.report() * 2;
        let quiet = unshown || now.saturating_duration_since(hand.beat) > quiet;
        let quiet = quiet || suspects.contains(id);
        let slot = if m.life != Life::Active || quiet || hand.deaf_since.is_some() {
            None
        } else {
            let (Some(report), Some(kind)) = (&hand.report, view.type_of(&m.kind)) else {
                continue;
            };
            let mut unbooked = Room::default();
            // Tasks that nobody has booked here take room until they are gone.
            for t in &report.tasks {
                if let Some((job, n)) = split_task(&t.task)
                    && t.stage != TaskStage::Ended
                    && let Some(e) = view.jobs.get(job)
                    && e.value.find(id, t.attempt, n).is_none()
                    && let Some(spec) = &e.value.spec
                {
                    unbooked += spec.need;
                }
            }
            Some(Slot {
                kind: m.kind.clone(),
                spot: m.spot,
                free: Room::of_type(kind) - view.booked_on(id) - unbooked,
                unbooked,
            })
        };
        // Room alone is no reason to write: bookings are known to all.
        let same = match (known, &slot) {
            (Some(a), Some(b)) => a.unbooked == b.unbooked,
            (None, None) => true,
            _ => false,
        };
        if same {
            continue;
        }
        // A machine that joins does not wait for the interval.
        let joins = known.is_none();
        let part = match view.part_of(id) {
            Some(part) => part.to_string(),
            None => match seat(&view, &parts, id, m, slot.as_ref()) {
                Some((part, more)) if conditions.len() + more.len() <= most_guards => {
                    for (key, version) in more {
                        conditions.insert(key.clone(), version);
                        seated.entry(part.clone()).or_default().insert(key);
                    }
                    part
                }
                _ => continue,
            },
        };
        if (recent.contains_key(&part) && !joins)
            || (parts.len() == most && !parts.contains_key(&part))
        {
            continue;
        }
        let record = parts.entry(part).or_insert_with_key(|part| {
            let known = view.parts.get(part).map(|e| e.value.clone());
            (known.unwrap_or_default(), false)
        });
        record.1 |= known.is_some() != slot.is_some();
        match slot {
            Some(slot) => {
                let unbooked = !slot.unbooked.is_empty();
                record.0.machines.insert(id.clone(), slot);
                // What nobody has booked is told only where there is room for
                // it: a machine that is not listed takes no work meanwhile.
                if unbooked && !view.fits_part(&record.0) {
                    record.0.machines.remove(id);
                }
            }
            None => {
                record.0.machines.remove(id);
            }
        }
    }
    parts
        .into_iter()
        .map(|(id, (part, members))| {
            let mut guards = vec![guard(part_key(&id), view.part_version(&id))];
            let keys = seated.remove(&id).unwrap_or_default();
            guards.extend(keys.into_iter().map(|key| {
                let version = conditions.get(&key).copied().unwrap_or(0);
                guard(key, version)
            }));
            RoomChange {
                id,
                part,
                members,
                guards,
            }
        })
        .collect()
}

/// The part that a machine's slot is put into, with all that must be as this
/// view has it, so that the slot comes to stand in no other:
///
/// - Before short texts, the part of its group, as ever. So it is while that part
///   does not stand in the short text: a commit that an earlier version decided
///   may still arrive, and knows no condition but the part's.
/// - Then the first part of its home with room. The group is a condition: only
///   its holder puts a machine anywhere, and a claim changes the group. So are
///   all parts up to that one, and the group's own: a commit of ours without an
///   answer, which may be carried out later, had chosen by them. None of these
///   may be newer than what the view has wholly: a choice made elsewhere since
///   would be missing from it.
fn seat(
    view: &View,
    parts: &BTreeMap<String, (Part, bool)>,
    id: &str,
    m: &Machine,
    slot: Option<&Slot>,
) -> Option<(String, Vec<(String, u64)>)> {
    let own = part_id(&m.zone, &m.part);
    if !view.is_short() || !view.is_short_part(&own) {
        return Some((own, Vec::new()));
    }
    let mut conditions = vec![
        (group_key(&own), view.group_version(&own)),
        (part_key(&own), view.part_version(&own)),
    ];
    // What is chosen must follow from these alone: not from what unbooked tasks
    // take there just now.
    let slot = slot.map(|s| Slot {
        unbooked: Room::default(),
        ..s.clone()
    });
    let mut found = own;
    for number in 0.. {
        let part = part_id(&m.zone, &format!("{}.{number}", home_of(&m.part)));
        conditions.push((part_key(&part), view.part_version(&part)));
        let edited = parts.get(&part).map(|p| &p.0);
        let known = || view.parts.get(&part).map(|e| &e.value);
        let mut with = edited.or_else(known).cloned().unwrap_or_default();
        let empty = with.machines.is_empty();
        with.machines
            .extend(slot.clone().map(|s| (id.to_string(), s)));
        if empty || view.fits_part(&with) {
            found = part;
            break;
        }
    }
    conditions.sort();
    conditions.dedup();
    let whole = |(_, version): &(String, u64)| *version <= view.revision;
    conditions.iter().all(whole).then_some((found, conditions))
}
