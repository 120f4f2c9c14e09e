//! The state service's client. It alone keeps this controller inside its
//! share of the service's limits, and it lets the work that users wait for
//! go first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep};

use crate::http::{CallError, Client, Response};
use crate::wire::{Commit, StateLease, StateLeaseRequest, PairPage, Refused, Revision, WatchAnswer, Write};

/// Who goes first when the budget is short: the earlier, the sooner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Accepting and cancelling jobs, reading the revision, watching.
    Accept,
    /// The state lease, rentals, and reading pages of the state.
    Lease,
    /// Claims and rounds wait with `Store::ready` before they decide, then go
    /// at once, into debt if need be: a commit that waits goes stale.
    Claim,
    /// Commits of placement rounds.
    Round,
    /// Machines that start, drain, are returned or are gone.
    Lifecycle,
    /// What can wait: publishing free room, moving services, removing records.
    Publication,
}

const CLASSES: usize = 6;

impl Class {
    /// The share of a full burst that this class must leave for those before;
    /// below nothing, how far into debt it may go.
    fn reserve(self) -> f64 {
        match self {
            // Few, and somebody waits: they may take what the larger ones are
            // to leave in the seconds that follow.
            Class::Accept => -3.0,
            Class::Lease => -2.0,
            Class::Claim => 0.05,
            Class::Round => 0.1,
            Class::Lifecycle => 0.2,
            Class::Publication => 0.3,
        }
    }
}

/// What may be taken at a rate, with some to spare for a burst.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A full bucket; `rate` is a second's, `burst` the most that it holds.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Bucket {
            rate,
            burst,
            level: burst,
            at: now,
        }
    }
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = now;
    }
    /// Takes one, or says how long to wait.
    pub fn take_one(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        match self.wait(1.0, 0.0) {
            Some(wait) => Err(wait),
            None => {
                self.level -= 1.0;
                Ok(())
            }
        }
    }
    /// How long until `n` can be taken with `reserve` of the burst left over.
    /// Half a burst is enough for the largest: it goes into debt, as what
    /// waits for more would wait behind all that is small.
    fn wait(&self, n: f64, reserve: f64) -> Option<Duration> {
        let need = n.min(self.burst * 0.5) + self.burst * reserve;
        let short = need - self.level;
        (short > 1e-9).then(|| Duration::from_secs_f64(short / self.rate))
    }
}

/// How much this controller would write: what it has written of late, and more
/// the longer it had to wait for its budget.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    written: f64,
    waited: f64,
    at: Option<Instant>,
}

impl Demand {
    /// The span over which demand is averaged, in seconds.
    const SPAN: f64 = 4.0;

    fn note(&mut self, written: f64, waited: f64, now: Instant) {
        let passed = self
            .at
            .map_or(0.0, |t| now.saturating_duration_since(t).as_secs_f64());
        let kept = (-passed / Self::SPAN).exp();
        self.written = self.written * kept + written / Self::SPAN;
        self.waited = (self.waited * kept + waited / Self::SPAN).min(1.0);
        self.at = Some(now);
    }
}

/// This controller's part of what all may write together, by what each would;
/// `others` holds what is known of the others, nothing for those not heard of.
/// Each keeps some, to begin with, and none is given more than it could use.
pub fn write_share(total: f64, mine: f64, others: &[Option<f64>]) -> f64 {
    let even = total / (others.len() + 1) as f64;
    let least = even / 4.0;
    let all: f64 = others.iter().map(|d| d.map_or(even, |d| d + least)).sum();
    let share = total * (mine + least) / (all + mine + least);
    share.clamp(least, even * 3.0)
}

/// The budget of requests and of written keys; pure but for the clock.
#[derive(Debug)]
pub struct Budget {
    requests: Bucket,
    writes: Bucket,
}

impl Budget {
    /// A full budget of requests and written keys a second.
    pub fn new(rps: f64, write_rps: f64, now: Instant) -> Self {
        Budget {
            requests: Bucket::new(rps, rps, now),
            writes: Bucket::new(write_rps, write_rps, now),
        }
    }

    /// How long until a request with `writes` written keys may go.
    pub fn wait(&mut self, class: Class, writes: usize, now: Instant) -> Option<Duration> {
        self.requests.refill(now);
        self.writes.refill(now);
        let reserve = class.reserve();
        let wait = self.requests.wait(1.0, reserve);
        if writes == 0 {
            return wait;
        }
        wait.max(self.writes.wait(writes as f64, reserve))
    }

    /// A new share of what all controllers may write together.
    pub fn share(&mut self, write_rps: f64, now: Instant) {
        self.writes.refill(now);
        self.writes.rate = write_rps;
        self.writes.burst = write_rps;
    }

    /// What this controller may ask a second from now on.
    pub fn requests(&mut self, rps: f64, now: Instant) {
        self.requests.refill(now);
        self.requests.rate = rps;
        self.requests.burst = rps;
    }

    /// What a refused request was to write was not written.
    pub fn give_back(&mut self, writes: usize) {
        self.writes.level = (self.writes.level + writes as f64).min(self.writes.burst);
    }

    /// Takes a request whether it is there or not.
    pub fn force(&mut self, writes: usize) {
        self.requests.level -= 1.0;
        self.writes.level -= writes as f64;
    }
}

/// Why the state service did not do as asked.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A guard did not hold: nothing was written.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// Not executed, surely.
    #[error("state service refuses: {0}")]
    Refused(u16),
    /// Longer than a request may be: not sent.
    #[error("a commit of {0} bytes is too long")]
    TooLong(usize),
    /// May have been executed, or may yet be.
    #[error("state service does not answer: {0}")]
    NoAnswer(String),
    /// Surely not executed, nor ever as it is; the longest record's key.
    #[error("a commit beyond the state service's limits: {0}")]
    Limits(String),
    /// The state lease has expired: its keys are gone.
    #[error("state lease is over")]
    NoLease,
    /// The service no longer has the changes since then: read the state anew.
    #[error("the watched revision is too old")]
    TooOld,
    /// A watch that holds more than this controller can take at once.
    #[error("the answer is too large")]
    TooLarge,
}

impl StoreError {
    /// Whether the state service serves this controller nothing at present. 429
    /// is no such refusal: it passes within milliseconds.
    pub fn is_refusal(&self) -> bool {
        matches!(self, StoreError::Refused(status) if *status != 429)
    }
}

impl From<CallError> for StoreError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent(_) => StoreError::Refused(0),
            CallError::TooLarge => StoreError::TooLarge,
            other => StoreError::NoAnswer(other.to_string()),
        }
    }
}

/// Counts among those that wait to write, for as long as it lives.
struct Turn<'a> {
    waiting: &'a RefCell<[usize; CLASSES]>,
    class: Class,
}

impl<'a> Turn<'a> {
    fn new(waiting: &'a RefCell<[usize; CLASSES]>, class: Class) -> Self {
        waiting.borrow_mut()[class as usize] += 1;
        Turn { waiting, class }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.waiting.borrow_mut()[self.class as usize] -= 1;
    }
}

/// The client of the state service, with this controller's budget.
pub struct Store {
    /// How many of each class wait to write.
    waiting: RefCell<[usize; CLASSES]>,
    /// Which class wrote last.
    last: Cell<Option<Class>>,
    client: Rc<Client>,
    addr: SocketAddrV4,
    budget: RefCell<Budget>,
    rng: RefCell<SmallRng>,
    /// How long an answer may take before it counts as none.
    patience: Duration,
    demand: Cell<Demand>,
    /// When the service last answered anything but a refusal.
    heard: Cell<Option<Instant>>,
    /// 429 makes everything but acceptance wait until then.
    pause: Cell<Option<Instant>>,
    /// The first of the latest refusals for the rate, and how many there were.
    refusals: Cell<(Option<Instant>, u32)>,
    /// Until then the lower rates are taken to be in force.
    lowered: Cell<Option<Instant>>,
    /// Keys whose commit was refused as it was: each is told once.
    told: RefCell<BTreeSet<String>>,
}

/// So many refusals for the rate within four answers' patience show a lower one.
const REFUSALS: u32 = 3;

/// The span for which it is then kept to, in patiences: four leases.
const LOWERED: u32 = 32;

impl Store {
    /// A client of the service at `addr` that counts a request as unanswered
    /// after `patience`.
    pub fn new(
        client: Rc<Client>,
        addr: SocketAddrV4,
        budget: Budget,
        patience: Duration,
        rng: SmallRng,
    ) -> Self {
        Store {
            waiting: RefCell::default(),
            last: Cell::new(None),
            client,
            addr,
            budget: RefCell::new(budget),
            rng: RefCell::new(rng),
            patience,
            demand: Cell::default(),
            heard: Cell::new(None),
            pause: Cell::new(None),
            refusals: Cell::default(),
            lowered: Cell::default(),
            told: RefCell::default(),
        }
    }

    /// When the service last served us.
    pub fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// A delay around `base` that no two controllers share.
    pub fn jitter(&self, base: Duration) -> Duration {
        base.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }

    fn note_demand(&self, written: usize, waited: Duration) {
        let mut demand = self.demand.get();
        demand.note(written as f64, waited.as_secs_f64(), Instant::now());
        self.demand.set(demand);
    }

    /// What this controller would write in a second, for the others to know.
    pub fn demand(&self) -> f64 {
        self.note_demand(0, Duration::ZERO);
        let demand = self.demand.get();
        // One that has come to write nothing wants to all the same.
        let waiting: usize = self.waiting.borrow().iter().sum();
        demand.written * (1.0 + demand.waited) + demand.waited * waiting as f64
    }

    /// Sets this controller's share of the writes.
    pub fn set_share(&self, write_rps: f64) {
        self.budget.borrow_mut().share(write_rps, Instant::now());
    }

    /// Sets this controller's share of the requests.
    pub fn set_requests(&self, rps: f64) {
        self.budget.borrow_mut().requests(rps, Instant::now());
    }

    /// Whether refusals have shown that the lower rates are in force.
    pub fn is_lowered(&self) -> bool {
        self.lowered.get().is_some_and(|t| t > Instant::now())
    }

    /// One refusal may come of a burst; several in short order do not.
    fn note_refusal(&self, now: Instant) {
        let (first, count) = self.refusals.get();
        let fresh = first.filter(|t| now.saturating_duration_since(*t) < self.patience * 2);
        let count = if fresh.is_some() { count + 1 } else { 1 };
        self.refusals.set((fresh.or(Some(now)), count));
        // Where it was met before, the first shows that it still is.
        let enough = match self.lowered.get() {
            Some(_) => 1,
            None => REFUSALS,
        };
        if count >= enough {
            self.refusals.set((None, 0));
            if !self.is_lowered() {
                tracing::info!("refused again and again: the lower rate is taken to be in force");
            }
            self.lowered.set(Some(now + self.patience * LOWERED));
        }
    }

    /// Waits until the budget has `writes` written keys for this class, and
    /// takes nothing: for those who decide late, on what they know by then.
    pub async fn ready(&self, class: Class, writes: usize) {
        self.wait_turn(class, writes, false).await;
    }

    async fn admit(&self, class: Class, writes: usize) {
        if matches!(class, Class::Round | Class::Claim) {
            self.budget.borrow_mut().force(writes);
        } else {
            self.wait_turn(class, writes, true).await;
        }
        if writes > 0 {
            self.note_demand(writes, Duration::ZERO);
            self.last.set(Some(class));
        }
    }

    /// Waits for the budget and for those that go first.
    async fn wait_turn(&self, class: Class, writes: usize, take: bool) {
        let _turn = (writes > 0).then(|| Turn::new(&self.waiting, class));
        loop {
            let now = Instant::now();
            let pause = self
                .pause
                .get()
                .filter(|t| class > Class::Lease && *t > now);
            let wait = match pause {
                Some(until) => until - now,
                None if writes > 0 && self.others_first(class) => self.patience / 50,
                None => {
                    let mut budget = self.budget.borrow_mut();
                    match budget.wait(class, writes, now) {
                        Some(wait) => wait,
                        None => {
                            if take {
                                budget.force(writes);
                            }
                            return;
                        }
                    }
                }
            };
            // The share may grow meanwhile, and what was refused is given back:
            // whoever slept out a wait of half a minute would miss both, and
            // would be forgotten as one that wants to write.
            let wait = wait.clamp(Duration::from_millis(1), self.patience / 4);
            if writes > 0 {
                self.note_demand(0, wait);
            }
            sleep(wait).await;
        }
    }

    /// Whether a class before this one waits to write. Claims and rounds take
    /// turns: neither may hold up the other for long.
    fn others_first(&self, class: Class) -> bool {
        let waiting = self.waiting.borrow();
        let waits = |c: Class| waiting[c as usize] > 0;
        let just = self.last.get();
        match class {
            Class::Claim if just == Some(Class::Claim) && waits(Class::Round) => true,
            Class::Round if just == Some(Class::Claim) => {
                waits(Class::Accept) || waits(Class::Lease)
            }
            _ => waiting[..class as usize].iter().any(|n| *n > 0),
        }
    }

    async fn call(
        &self,
        class: Class,
        writes: usize,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Response, StoreError> {
        self.admit(class, writes).await;
        let response = self
            .client
            .call(self.addr, method, path, body, limit)
            .await?;
        match response.status {
            429 => {
                if writes > 0 {
                    self.note_refusal(Instant::now());
                }
                let pause = self.jitter(Duration::from_millis(150));
                self.pause.set(Some(Instant::now() + pause));
                // Not executed: what it took of the budget is there still.
                self.budget.borrow_mut().give_back(writes);
                Err(StoreError::Refused(429))
            }
            s @ 500.. => Err(StoreError::Refused(s)),
            _ => {
                self.heard.set(Some(Instant::now()));
                Ok(response)
            }
        }
    }

    /// Sends a transaction, and returns the revision of its changes.
    pub async fn commit(&self, class: Class, commit: &Commit) -> Result<u64, StoreError> {
        let body = encode(commit)?;
        if body.len() > crate::http::BODY_LIMIT {
            tracing::error!(bytes = body.len(), writes = commit.writes.len(), "too long");
            return Err(StoreError::TooLong(body.len()));
        }
        let writes = commit.writes.len();
        let r = self
            .call(class, writes, "POST", "/commit", Some(body), self.patience)
            .await?;
        match r.status {
            200 => Ok(r.parse::<Revision>()?.revision),
            409 => Err(StoreError::Conflict(r.parse::<Refused>()?.failed)),
            400 if String::from_utf8_lossy(&r.body).contains("no such lease") => {
                Err(StoreError::NoLease)
            }
            400 => Err(StoreError::Limits(self.tell_largest(commit, &r.body))),
            s => {
                tracing::error!(status = s, body = %String::from_utf8_lossy(&r.body), "commit refused");
                Err(StoreError::Refused(s))
            }
        }
    }

    /// Says once which record a refused commit was refused for, as far as that
    /// can be known: its longest. Returns its key.
    fn tell_largest(&self, commit: &Commit, body: &[u8]) -> String {
        let sizes = commit.writes.iter().map(|w| match w {
            Write::Put { key, value, .. } => (value.get().len(), key),
            Write::Delete { key } => (0, key),
        });
        let Some((bytes, key)) = sizes.max() else {
            return String::new();
        };
        let mut told = self.told.borrow_mut();
        if told.len() > 1000 {
            told.clear();
        }
        if told.insert(key.clone()) {
            tracing::info!(
                key,
                bytes,
                writes = commit.writes.len(),
                conditions = commit.guards.len(),
                limit = %String::from_utf8_lossy(body),
                "a commit is beyond the limits"
            );
        }
        key.clone()
    }

    /// The current revision, by asking for a key that never exists.
    pub async fn revision(&self, key: &str) -> Result<u64, StoreError> {
        let path = format!("/store/{key}");
        let r = self
            .call(Class::Accept, 0, "GET", &path, None, self.patience)
            .await?;
        match r.status {
            404 => Ok(r.parse::<Revision>()?.revision),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Reads records in the order of their keys, beginning after a key.
    pub async fn page(&self, prefix: &str, after: &str) -> Result<PairPage, StoreError> {
        let mut path = format!("/store?prefix={prefix}&limit=500");
        if !after.is_empty() {
            path.push_str(&format!("&after={after}"));
        }
        let r = self
            .call(Class::Lease, 0, "GET", &path, None, self.patience)
            .await?;
        match r.status {
            200 => Ok(r.parse()?),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Waits up to `block` for changes after a revision, and returns them.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        block: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        let path = format!(
            "/watch?prefix={prefix}&after={after}&block_ms={}",
            block.as_millis()
        );
        // An outage keeps watches open: a little patience beyond the block.
        let limit = block + self.patience;
        let r = self
            .call(Class::Accept, 0, "GET", &path, None, limit)
            .await?;
        match r.status {
            200 => Ok(r.parse()?),
            410 => Err(StoreError::TooOld),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Takes a state lease that ends if it is not renewed in time.
    pub async fn hold(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = encode(&StateLeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        })?;
        let r = self
            .call(Class::Lease, 0, "POST", "/holds", Some(body), self.patience)
            .await?;
        match r.status {
            200 => Ok(r.parse::<StateLease>()?.lease),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Renews a state lease.
    pub async fn extend(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/holds/{lease}/extend");
        let body = Some(b"{}".to_vec());
        let r = self
            .call(Class::Lease, 0, "POST", &path, body, self.patience)
            .await?;
        match r.status {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            s => Err(StoreError::Refused(s)),
        }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(value).map_err(|e| StoreError::NoAnswer(e.to_string()))
}
