//! Rounds of admission: what waits, in queue order, gets its places in one
//! conditional write per batch. A round takes what has gathered, so that its
//! batches widen with the load.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use foldhash::HashMap;
use tokio::time::{Instant, sleep};

use super::candidates::Hints;
use super::ends::take_ends;
use super::ownership::placer;
use super::plan::{Place, Plan};
use super::preemption::preempt;
use super::queue::{queue, starves};
use super::reasons::{Wait, note};
use super::search::Search;
use super::transaction::Draft;
use crate::machines::{self, EndKey};
use crate::model::{Job, Room, Spec};
use crate::node::Node;
use crate::store::{Class, StoreError};
use crate::view::{View, job_key};
use crate::wire::{Guard, Kind, Write};

/// How long a job that failed so often waits before it is tried again.
pub fn back_off(errors: u32, base: Duration) -> Duration {
    match errors {
        0 => Duration::ZERO,
        n => base * 2u32.pow((n - 1).min(5)),
    }
}

#[derive(Default)]
pub(super) struct Rounds {
    /// When this controller first saw the job in its present version.
    seen: HashMap<String, (u64, Instant)>,
    /// Jobs whose latest failure is waited out until then.
    held: HashMap<String, (u32, Instant)>,
    /// Preemptions made, so that their effect is awaited.
    pub(super) preempted: HashMap<String, Instant>,
    /// Searches for work to stop that found none: each goes through all that
    /// runs, and little changes from one round to the next.
    pub(super) in_vain: HashMap<String, Instant>,
    /// When the whole queue was last gone through.
    noted: Option<Instant>,
    /// The first end that found no room in the last commit.
    pub(super) last_end: Option<EndKey>,
    /// How many records the last commit wrote.
    wrote: usize,
    /// The last commit was too long to send: the next writes few records.
    narrow: bool,
    /// Gangs or services had their places, but no room in the last commit.
    crowded: bool,
    /// Jobs whose record the state service refused for its size: left alone
    /// until then, as the rest goes on without them.
    pub(super) left: HashMap<String, Instant>,
}

impl Rounds {
    /// How long a job's record has been as it is.
    fn unchanged(&self, id: &str, now: Instant) -> Duration {
        let seen = self.seen.get(id);
        seen.map_or(Duration::ZERO, |s| now.saturating_duration_since(s.1))
    }

    /// Why a job that has failed waits, if it does: until its back-off is over;
    /// and one that fails wherever it runs until what is tried has ended, or,
    /// of a service, has run for a lease.
    fn holds(&self, node: &Node, id: &str, job: &Job, now: Instant) -> Option<Wait> {
        let why = match job.is_doubtful() {
            true => Wait::Fails,
            false => Wait::BackOff,
        };
        if self.held.get(id).is_some_and(|h| h.1 > now) {
            return Some(why);
        }
        let service = job.spec.as_ref().is_some_and(|s| s.kind == Kind::Service);
        let proven = service && self.unchanged(id, now) > node.settings.lease();
        (job.is_doubtful() && job.booked() > 0 && !proven).then_some(why)
    }
}

/// Rounds of decisions: what has ended is recorded and what waits is placed,
/// in one commit a round. A round waits for the budget first and decides then,
/// on what has gathered: its commits widen with the load.
pub async fn keep_placing(node: Rc<Node>) {
    let mut rounds = Rounds::default();
    let idle = node.settings.report() / 3;
    let least = node.request_gap();
    let mut looked: Option<Instant> = None;
    loop {
        tokio::select! {
            () = node.stir.notified() => {}
            () = node.ends_wanted.notified() => {}
            () = sleep(idle) => {}
        }
        // Alone behind a cut, silence says nothing: the workers have moved.
        if !node.view.borrow().loaded || !node.has_state() {
            continue;
        }
        // Both go through all machines, and are about leases and returns: a
        // few times a report interval is soon enough.
        if looked.is_none_or(|t| t.elapsed() > idle / 2) {
            looked = Some(Instant::now());
            machines::release_silent(&node);
            machines::release_gone(&node);
        }
        let begun = Instant::now();
        let mut busy = Duration::ZERO;
        // What ends in this span stands in one commit: reports come so often
        // that it is not felt.
        let gather = node.settings.report() / 100;
        // As many commits as it takes; each waits for its answer.
        loop {
            // However much the budget lets through, rounds leave the processor
            // to beats, probes and acceptance for as long as they took it; what
            // gathers meanwhile widens the next.
            sleep(busy).await;
            let wanted = (rounds.wrote / 2).max(1);
            node.store.ready(Class::Round, wanted).await;
            let deciding = Instant::now();
            let Some(batch) = round(&node, &mut rounds) else {
                break;
            };
            busy = deciding.elapsed().max(gather);
            rounds.wrote = batch.writes.len();
            let ends = batch.ends;
            match node.commit(Class::Round, batch.guards, batch.writes).await {
                Ok(_) => {
                    rounds.narrow = false;
                    tracing::debug!(jobs = batch.jobs, ends = ends.len(), "decided");
                    let mut all = node.ends.borrow_mut();
                    for key in &ends {
                        all.remove(key);
                    }
                }
                Err(StoreError::TooLong(_)) => rounds.narrow = true,
                Err(StoreError::Limits(key)) => {
                    // The same again would be refused again: first with fewer
                    // records, then without the longest.
                    let job = key.strip_prefix(&job_key(""));
                    if let Some(job) = job.filter(|_| rounds.narrow) {
                        let until = Instant::now() + node.settings.lease();
                        rounds.left.insert(job.to_string(), until);
                    }
                    rounds.narrow = true;
                    sleep(node.store.jitter(node.request_gap() * 4)).await;
                }
                Err(StoreError::Conflict(keys)) => {
                    // What has changed is on its way: take it in, and decide
                    // again on that.
                    tracing::debug!(?keys, "conflict");
                    let before = node.view.borrow().revision;
                    node.hurry();
                    node.wait_revision(before + 1, node.request_gap() * 8).await;
                    sleep(node.store.jitter(node.request_gap() / 2)).await;
                }
                Err(error) => {
                    // It may have happened: the view tells after a barrier.
                    tracing::debug!(%error, "decisions not answered");
                    if !node.barrier(node.settings.lease() / 4).await {
                        break;
                    }
                }
            }
        }
        // CPU is scarce: a round that found nothing is not begun at once.
        sleep(least.max(begun.elapsed() / 2)).await;
    }
}

struct Batch {
    /// How many jobs it admits.
    jobs: usize,
    ends: Vec<EndKey>,
    guards: Vec<Guard>,
    writes: Vec<Write>,
}

/// Jobs this controller should place now: its own, and those that their
/// preferred controller has left waiting.
fn mine(node: &Node, rounds: &mut Rounds, view: &View, now: Instant) -> Vec<String> {
    let step_in = node.settings.report() * 2;
    let peers = node.peers.borrow();
    let alive: Vec<&str> = peers.alive(node, now);
    let mut ids = Vec::new();
    rounds
        .seen
        .retain(|id, _| view.jobs.get(id).is_some_and(|e| e.value.is_open()));
    rounds.held.retain(|id, _| rounds.seen.contains_key(id));
    let mut ages = node.ages.borrow_mut();
    ages.retain(|id, _| view.jobs.get(id).is_some_and(|e| e.value.is_open()));
    for (_, id) in &view.open {
        let Some(entry) = view.jobs.get(id) else {
            continue;
        };
        ages.entry(id.clone()).or_insert(now);
        let seen = rounds
            .seen
            .entry(id.clone())
            .or_insert((entry.version, now));
        if seen.0 != entry.version {
            *seen = (entry.version, now);
        }
        if entry.value.waiting() == 0 || rounds.left.contains_key(id) {
            continue;
        }
        let errors = entry.value.errors;
        // Fewer than before: it has succeeded, and failed again since.
        if rounds.held.get(id).is_none_or(|h| h.0 != errors) {
            let until = now + back_off(errors, node.settings.report());
            rounds.held.insert(id.clone(), (errors, until));
        }
        if let Some(why) = rounds.holds(node, id, &entry.value, now) {
            note(node, id, why, now);
            continue;
        }
        let team = entry.value.spec.as_ref().map_or("", |s| &s.team);
        let preferred = placer(&node.settings, id, team, alive.iter().copied());
        if preferred == Some(node.name()) || rounds.unchanged(id, now) > step_in {
            ids.push(id.clone());
        }
    }
    ids
}

/// Puts together one commit: the ends that are known, then as many jobs as it
/// can hold, in queue order.
fn round(node: &Node, rounds: &mut Rounds) -> Option<Batch> {
    let now = Instant::now();
    let view = node.view.borrow();
    let ids = mine(node, rounds, &view, now);
    // Without work of its own a round now and then still notes why jobs wait:
    // any controller may be asked.
    let notes_due = rounds
        .noted
        .is_none_or(|t| now.saturating_duration_since(t) > node.settings.report());
    if ids.is_empty() && !notes_due && node.ends.borrow().is_empty() {
        return None;
    }
    rounds.noted = Some(now);
    let settings = &node.settings;
    let ops = match rounds.narrow {
        true => settings.txn_ops().min(4),
        false => settings.txn_ops(),
    };
    rounds.left.retain(|_, until| *until > now);
    let mut plan = Plan::of(&view);
    // A machine that hears nothing may stand in its part's record a while yet:
    // what is placed there ends at once, and would be placed there again.
    for (id, _) in node
        .hands
        .borrow()
        .iter()
        .filter(|(_, h)| h.deaf_since.is_some())
    {
        if let Some(at) = plan.find(&view, id) {
            plan.spots[at].free = Room::default();
        }
    }
    let mut draft = Draft::new(&view, ops);
    // Ends go first, as they make room; but where gangs or services had their
    // places and the last commit no room for them, they go before the ends.
    let ends_first = !rounds.crowded;
    let for_arrays = if ids.is_empty() { ops } else { ops * 5 / 8 };
    let mut ends = match ends_first {
        true => take_ends(node, rounds, &mut draft, &mut plan, for_arrays),
        false => Vec::new(),
    };
    node.reasons
        .borrow_mut()
        .retain(|id, _| view.jobs.get(id).is_some_and(|e| e.value.waiting() > 0));
    let mine: BTreeSet<&str> = ids.iter().map(String::as_str).collect();
    let mut blocked = Vec::new();
    let mut search = Search::default();
    let mut found: Vec<(&str, Spec, Vec<Place>)> = Vec::new();
    let mut touched = draft.parts();
    let alive: Vec<String> = {
        let peers = node.peers.borrow();
        let alive = peers.alive(node, now);
        alive.into_iter().map(str::to_string).collect()
    };
    // All that wait stand in one queue, whoever places them: what goes first
    // elsewhere keeps its room here, too.
    let queue = queue(&view, &plan, settings, &node.ages.borrow(), now);
    for id in queue {
        let Some(job) = draft.job(id).filter(|j| j.waiting() > 0) else {
            continue;
        };
        // What failed just now, in this very commit, waits for the next.
        let before = view.jobs.get(id).map_or(0, |e| e.value.errors);
        if job.errors > before || rounds.holds(node, id, job, now).is_some() {
            continue;
        }
        let doubtful = job.is_doubtful();
        let Some(spec) = job.spec.clone() else {
            continue;
        };
        let own = mine.contains(id);
        let home = match own {
            true => node.name(),
            false => {
                let alive = alive.iter().map(String::as_str);
                placer(settings, id, &spec.team, alive).unwrap_or("")
            }
        };
        let mut hints = Hints::new(&view, home);
        if own {
            hints.touched = touched.clone();
        }
        hints.lenient = rounds.unchanged(id, now) > settings.lease();
        let places = match search.place(node, &hints, &plan, id, job, &spec) {
            // One task shows whether it fails still; a gang's, all of them; and
            // a service whose first has run for a while is in order.
            Ok(mut places) => {
                if doubtful && !spec.is_gang() && job.booked() == 0 {
                    places.truncate(1);
                }
                places
            }
            // It stops nobody and has no room held for it.
            Err(_) if doubtful => {
                note(node, id, Wait::Fails, now);
                continue;
            }
            Err(why) => {
                note(node, id, why, now);
                let no_room = matches!(why, Wait::NoRoom | Wait::NoZone | Wait::Spread);
                if no_room && starves(job, &spec, settings, age_of(node, id, now)) {
                    search.hold(&hints, &mut plan, &spec);
                }
                if own && no_room {
                    blocked.push(id.to_string());
                }
                continue;
            }
        };
        for place in &places {
            plan.take(place, &spec.team, spec.need);
        }
        if own {
            touched.extend(places.iter().map(|p| p.part.to_string()));
            found.push((id, spec, places));
        }
    }
    // Each has its room by the queue's order. Into the commit go first those
    // whose tasks stay or start together: arrays come back with every end, and
    // would fill commit after commit while whole machines stand empty. Those of
    // a pipeline are few, and the rest of it follows.
    found.sort_by_key(|(id, spec, _)| {
        spec.kind == Kind::Array && spec.awaits.is_empty() && !view.is_needed(id)
    });
    rounds.crowded = false;
    let mut admitted = 0;
    for (id, spec, places) in found {
        let booked = draft.book(id, &spec, &places);
        if booked < places.len() {
            // The rest go into the next commit, every other time before ends.
            rounds.crowded |= ends_first && spec.kind != Kind::Array;
            note(node, id, Wait::Queue, now);
        }
        if booked == 0 {
            continue;
        }
        admitted += 1;
        tracing::debug!(
            job = id,
            class = spec.class,
            tasks = booked,
            machine = &*places[0].machine,
            kind = view.classes[plan.spots[places[0].at].class as usize].kind,
            "places"
        );
        if draft.job(id).is_none_or(|j| j.waiting() == 0) {
            node.reasons.borrow_mut().remove(id);
        } else if booked == places.len() && draft.job(id).is_some_and(|j| !j.is_doubtful()) {
            blocked.push(id.to_string());
            note(node, id, Wait::NoRoom, now);
        }
    }
    if !ends_first {
        ends = take_ends(node, rounds, &mut draft, &mut plan, ops);
    }
    if admitted == 0 {
        preempt(node, rounds, &mut draft, &mut search, &plan, &blocked, now);
    }
    if draft.is_empty() {
        return None;
    }
    let (guards, writes) = draft.into_commit();
    Some(Batch {
        jobs: admitted,
        ends,
        guards,
        writes,
    })
}

fn age_of(node: &Node, id: &str, now: Instant) -> f64 {
    let ages = node.ages.borrow();
    let known = ages.get(id);
    known.map_or(0.0, |t| now.saturating_duration_since(*t).as_secs_f64())
}
