//! One controller: what its loops share, and the loops that keep the view
//! and the horizon.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::admission::Ages;
use crate::api::Arrival;
use crate::fleet::FleetState;
use crate::http::Client;
use crate::machines::{Claim, EndKey, Hand, Proof};
use crate::mesh::Peers;
use crate::net::Net;
use crate::placement::Reason;
use crate::settings::Settings;
use crate::store::{Budget, Class, Store, StoreError};
use crate::view::{BARRIER_KEY, PREFIX, View};
use crate::wire::{Commit, Guard, Write, raw};

pub struct Node {
    pub settings: Settings,
    pub net: Net,
    /// For the state service and the cloud.
    pub client: Rc<Client>,
    /// For orders to workers: bounded, as there are many of them.
    pub workers: Client,
    pub store: Store,
    /// Tells this run of the process from the earlier ones of the same name.
    pub incarnation: u64,
    pub started: Instant,
    /// When this process last ran, as far as it has noticed.
    ran: Cell<Instant>,
    /// How late its timers fire of late: what it is asked for exceeds its share
    /// of the processor.
    lag: Cell<Duration>,
    /// When a question about a job was last answered here.
    pub answered: RefCell<HashMap<String, Instant>>,
    pub view: RefCell<View>,
    /// The revision that the view has reached, for those who wait on it.
    pub reached: watch::Sender<u64>,
    /// Something that placing depends on has changed.
    pub stir: Notify,
    /// Machines whose bookings or reports have changed.
    pub poke: Notify,
    /// The send time of the last barrier that the view has reached.
    pub horizon: Cell<Option<Instant>>,
    barrier_wanted: Notify,
    barrier_started: Cell<u64>,
    barrier_done: watch::Sender<u64>,
    watch_again: Notify,
    /// Someone waits for the view: the next watch is opened without delay.
    watch_soon: Notify,
    pub hands: RefCell<HashMap<String, Hand>>,
    pub ends: RefCell<BTreeMap<EndKey, Proof>>,
    pub ends_wanted: Notify,
    /// Submissions that wait to be accepted.
    pub arrivals: RefCell<VecDeque<Arrival>>,
    pub arrivals_wanted: Notify,
    pub claims: RefCell<BTreeMap<String, Claim>>,
    pub claims_wanted: Notify,
    /// A machine can take work from now on.
    pub rooms_wanted: Notify,
    pub peers: RefCell<Peers>,
    pub fleet: RefCell<FleetState>,
    /// Why each open job waits, as the decision that made it wait said.
    pub reasons: RefCell<HashMap<String, Reason>>,
    /// When each open job was first seen here.
    pub ages: RefCell<Ages>,
    pub rng: RefCell<SmallRng>,
}

impl Node {
    pub fn new(settings: Settings, net: Net, seed: u64) -> Rc<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let d = &settings.deployment;
        let count = d.count as f64;
        let client = Client::new(net.clone(), settings.lease());
        let client = Rc::new(client.bounded(usize::MAX, settings.answer_bytes()));
        let workers = Client::new(net.clone(), settings.lease());
        let workers = workers.bounded(settings.order_connections(), crate::http::BODY_LIMIT * 4);
        // The limits are shared by all controllers, which do not count for
        // one another: each keeps to its part, a little below it.
        let budget = Budget::new(
            settings.rps(false) / count * 0.97,
            settings.write_rps(false) / count * 0.97,
            now,
        );
        // Answers take milliseconds, now and then hundreds of them.
        let patience = Duration::from_secs_f64((d.workers.lease_s / 8.0).clamp(0.5, 2.0));
        let store = Store::new(
            client.clone(),
            settings.external.state,
            budget,
            patience,
            SmallRng::seed_from_u64(rng.random()),
        );
        let mut view = View::shrinking(settings.shrinks().then(|| settings.value_bytes()));
        let objectives = settings.deployment.objectives.iter();
        view.aimed_classes = objectives.filter_map(|o| o.class.clone()).collect();
        Rc::new(Node {
            net,
            client,
            workers,
            store,
            incarnation: rng.random_range(1..u64::from(u32::MAX)),
            started: now,
            ran: Cell::new(now),
            lag: Cell::default(),
            answered: RefCell::default(),
            view: RefCell::new(view),
            reached: watch::Sender::new(0),
            stir: Notify::new(),
            poke: Notify::new(),
            horizon: Cell::new(None),
            barrier_wanted: Notify::new(),
            barrier_started: Cell::new(0),
            barrier_done: watch::Sender::new(0),
            watch_again: Notify::new(),
            watch_soon: Notify::new(),
            hands: RefCell::default(),
            ends: RefCell::default(),
            ends_wanted: Notify::new(),
            arrivals: RefCell::default(),
            arrivals_wanted: Notify::new(),
            claims: RefCell::default(),
            claims_wanted: Notify::new(),
            rooms_wanted: Notify::new(),
            peers: RefCell::default(),
            fleet: RefCell::default(),
            reasons: RefCell::default(),
            ages: RefCell::default(),
            rng: RefCell::new(rng),
            settings,
        })
    }

    pub fn name(&self) -> &str {
        &self.settings.node
    }

    /// The time, once what this process did not see of it has been taken out of
    /// all spans of silence. A controller that stood still, for whatever cause,
    /// finds its timers due and its workers' reports unread when it goes on: to
    /// count that as their silence would end the work of hundreds of healthy
    /// machines. Whoever concludes anything from silence begins with this.
    pub fn pulse(&self) -> Instant {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.ran.replace(now));
        if gap > self.settings.lease() / 8 {
            tracing::info!(gap_s = gap.as_secs_f64(), "stood still");
            for hand in self.hands.borrow_mut().values_mut() {
                hand.skip(gap, now);
            }
            self.fleet.borrow_mut().skip(gap, now);
        }
        now
    }

    /// Notices soon when this process has stood still, or falls behind.
    pub async fn keep_pulse(self: Rc<Self>) {
        let tick = self.settings.lease() / 32;
        loop {
            let now = self.pulse();
            sleep(tick).await;
            // Timers fire in steps of some milliseconds: a mean of a few.
            let late = now.elapsed().saturating_sub(tick);
            // One long gap is not load.
            let late = late.min(self.settings.report() / 2);
            self.lag.set((self.lag.get() * 3 + late) / 4);
            let lease = self.settings.lease();
            let mut answered = self.answered.borrow_mut();
            answered.retain(|_, t| t.elapsed() < lease);
        }
    }

    /// How far this process is behind.
    pub fn lag(&self) -> Duration {
        self.lag.get()
    }

    /// The span in which this controller may make one request of its share.
    pub fn request_gap(&self) -> Duration {
        let rps = self.settings.rps(self.store.is_lowered());
        Duration::from_secs_f64(self.settings.deployment.count as f64 / rps)
    }

    /// How old the horizon is; `None` before the first barrier.
    pub fn horizon_age(&self) -> Option<Duration> {
        self.horizon.get().map(|t| t.elapsed())
    }

    /// Safety 4: a controller that may have missed a cancellation for too
    /// long must not keep workers' leases alive.
    pub fn may_answer_beats(&self) -> bool {
        self.horizon_age()
            .is_some_and(|age| age < self.settings.horizon_limit())
    }

    /// Whether the state service serves this controller, as far as is known.
    pub fn has_state(&self) -> bool {
        let limit = self.settings.lease() / 4;
        self.horizon_age().is_some_and(|age| age < limit)
    }

    /// Waits until the view holds everything that was committed before this
    /// call. Many callers share one read of the revision.
    pub async fn barrier(&self, limit: Duration) -> bool {
        // The next barrier to start was surely sent after this moment.
        let wanted = self.barrier_started.get() + 1;
        self.barrier_wanted.notify_one();
        let mut done = self.barrier_done.subscribe();
        matches!(
            timeout(limit, done.wait_for(|d| *d >= wanted)).await,
            Ok(Ok(_))
        )
    }

    pub async fn wait_revision(&self, revision: u64, limit: Duration) -> bool {
        let mut reached = self.reached.subscribe();
        matches!(
            timeout(limit, reached.wait_for(|r| *r >= revision)).await,
            Ok(Ok(_))
        )
    }

    /// Commits and lays the result over the view.
    pub async fn commit(
        &self,
        class: Class,
        guards: Vec<Guard>,
        writes: Vec<Write>,
    ) -> Result<u64, StoreError> {
        let commit = Commit { guards, writes };
        let revision = self.store.commit(class, &commit).await?;
        self.view.borrow_mut().overlay(&commit.writes, revision);
        self.announce();
        Ok(revision)
    }

    /// Tells the loops that the view has changed.
    pub fn announce(&self) {
        let revision = self.view.borrow().revision;
        self.reached.send_if_modified(|r| {
            let newer = *r < revision;
            *r = revision.max(*r);
            newer
        });
        self.stir.notify_one();
        self.poke.notify_one();
    }

    async fn load(&self) -> Result<(), StoreError> {
        let mut pairs = Vec::new();
        let mut after = String::new();
        let mut revision = u64::MAX;
        let mut newest = 0;
        loop {
            let page = self.store.page(PREFIX, &after).await?;
            revision = revision.min(page.revision);
            newest = newest.max(page.revision);
            if let Some(last) = page.items.last() {
                after = last.key.clone();
            }
            pairs.extend(page.items);
            if !page.more {
                break;
            }
        }
        tracing::info!(keys = pairs.len(), revision, "state read");
        // Pages read at different revisions may together show a removed key
        // or half of a commit: bookings without the part that they changed.
        // The events after the oldest mend both, before anyone decides.
        let mended = match newest > revision {
            true => Some(self.store.watch(PREFIX, revision, Duration::ZERO).await?),
            false => None,
        };
        let mut view = self.view.borrow_mut();
        view.reload(pairs, revision);
        if let Some(answer) = mended {
            view.advance(answer.events, answer.revision);
        }
        drop(view);
        self.announce();
        Ok(())
    }

    /// Keeps the view: a full read, then one watch after another.
    pub async fn keep_view(self: Rc<Self>) {
        let gap = self.request_gap() * 2;
        let block = self.settings.lease() / 4;
        // A watch brings every change since, however often a record was
        // written: after a long silence that is many times the state itself,
        // and more than the memory holds.
        let stale = self.settings.lease() / 2;
        let mut heard = Instant::now();
        let mut behind = false;
        loop {
            if !self.view.borrow().loaded || behind || heard.elapsed() > stale {
                if let Err(error) = self.load().await {
                    tracing::debug!(%error, "state not read");
                    sleep(self.store.jitter(Duration::from_millis(200))).await;
                    continue;
                }
                heard = Instant::now();
                behind = false;
            }
            let opened = Instant::now();
            let after = self.view.borrow().revision;
            let answer = tokio::select! {
                a = self.store.watch(PREFIX, after, block) => a,
                () = self.watch_again.notified() => {
                    tracing::debug!("watch opened again");
                    continue;
                }
            };
            match answer {
                Ok(answer) => {
                    heard = Instant::now();
                    self.view
                        .borrow_mut()
                        .advance(answer.events, answer.revision);
                    self.announce();
                }
                Err(error @ (StoreError::TooOld | StoreError::TooLarge)) => {
                    // The same request would bring the same answer: pages are
                    // bounded, and hold each record once.
                    tracing::info!(%error, "the watch has fallen behind: reading all again");
                    behind = true;
                }
                Err(error) => {
                    tracing::debug!(%error, "watch failed");
                    sleep(self.store.jitter(Duration::from_millis(200))).await;
                }
            }
            // Each opened watch counts as a request: a busy stream of changes
            // is taken in sips.
            let pause = gap.saturating_sub(opened.elapsed());
            let _ = timeout(pause, self.watch_soon.notified()).await;
        }
    }

    /// Something committed by others is known to be ahead of the view.
    pub fn hurry(&self) {
        self.watch_soon.notify_one();
    }

    /// Keeps the horizon and serves those who wait for a barrier.
    pub async fn keep_horizon(self: Rc<Self>) {
        let idle = self.settings.horizon_limit() / 20;
        let gap = self.request_gap() * 4;
        loop {
            // A controller that has just started has workers whose leases run
            // out: its first barrier does not wait for anyone to ask.
            if self.horizon.get().is_some() {
                let _ = timeout(idle, self.barrier_wanted.notified()).await;
            }
            let sent = Instant::now();
            let number = self.barrier_started.get() + 1;
            self.barrier_started.set(number);
            match self.store.revision(BARRIER_KEY).await {
                Ok(revision) => {
                    let limit = self.settings.lease() / 8;
                    if self.view.borrow().revision < revision {
                        self.hurry();
                    }
                    if self.view.borrow().loaded && self.wait_revision(revision, limit).await {
                        self.horizon.set(Some(sent));
                        self.barrier_done.send_replace(number);
                    } else {
                        // The watch is stuck, or its connection is dead.
                        self.watch_again.notify_one();
                    }
                }
                Err(error) => tracing::debug!(%error, "barrier failed"),
            }
            sleep(gap.saturating_sub(sent.elapsed())).await;
        }
    }

    /// Starts all loops of this controller; must run inside a `LocalSet`.
    /// They end with the returned set.
    pub async fn run(self: Rc<Self>) -> std::io::Result<()> {
        let users = self.net.listen(self.settings.serve_on).await?;
        let mesh = self.net.listen(self.settings.mesh_addr).await?;
        let tasks = [
            tokio::task::spawn_local(self.clone().keep_pulse()),
            tokio::task::spawn_local(self.clone().keep_view()),
            tokio::task::spawn_local(self.clone().keep_horizon()),
            tokio::task::spawn_local(crate::api::serve(self.clone(), users)),
            tokio::task::spawn_local(crate::mesh::listen(self.clone(), mesh)),
            tokio::task::spawn_local(crate::mesh::speak(self.clone())),
            tokio::task::spawn_local(crate::mesh::keep_share(self.clone())),
            tokio::task::spawn_local(crate::machines::keep_claims(self.clone())),
            tokio::task::spawn_local(crate::machines::keep_orders(self.clone())),
            tokio::task::spawn_local(crate::machines::keep_rooms(self.clone())),
            tokio::task::spawn_local(crate::placement::keep_placing(self.clone())),
            tokio::task::spawn_local(crate::fleet::keep_types(self.clone())),
            tokio::task::spawn_local(crate::fleet::keep_leases(self.clone())),
            tokio::task::spawn_local(crate::fleet::keep_fleet(self.clone())),
            tokio::task::spawn_local(crate::fleet::keep_renting(self.clone())),
            tokio::task::spawn_local(crate::api::keep_accepting(self.clone())),
            tokio::task::spawn_local(crate::shrink::keep_small(self.clone())),
        ];
        tracing::info!(node = self.name(), on = %self.settings.serve_on, "started");
        let _abort = AbortAll(tasks.iter().map(|t| t.abort_handle()).collect());
        for task in tasks {
            let _ = task.await;
        }
        Ok(())
    }
}

/// Ends the loops when the controller is dropped, as tests do.
struct AbortAll(Vec<tokio::task::AbortHandle>);

impl Drop for AbortAll {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

pub fn guard(key: String, version: u64) -> Guard {
    Guard { key, version }
}

/// An earlier moment as it counts after a gap: none of the gap has passed since.
pub fn skipped(at: Instant, gap: Duration, now: Instant) -> Instant {
    at.checked_add(gap).map_or(now, |t| t.min(now))
}

/// A write of `value` under `key`.
pub fn put<T: serde::Serialize>(key: String, value: &T) -> Write {
    Write::Put {
        key,
        value: raw(value),
        lease: None,
    }
}
