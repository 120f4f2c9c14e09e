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

use super::budget::{Budget, CLASSES, Demand, RequestClass};
use crate::http::{CallError, Client, Response};
use crate::wire::{
    Commit, CommitConflict, Revision, StateLease, StateLeaseRequest, StoredRecordPage,
    WatchResponse, Write,
};

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
    class: RequestClass,
}

impl<'a> Turn<'a> {
    fn new(waiting: &'a RefCell<[usize; CLASSES]>, class: RequestClass) -> Self {
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
    last: Cell<Option<RequestClass>>,
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
        let waiting: usize = self.waiting.borrow().iter().sum();
        demand.wanted(waiting)
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
    pub async fn ready(&self, class: RequestClass, writes: usize) {
        self.wait_turn(class, writes, false).await;
    }

    async fn admit(&self, class: RequestClass, writes: usize) {
        if matches!(class, RequestClass::Round | RequestClass::Claim) {
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
    async fn wait_turn(&self, class: RequestClass, writes: usize, take: bool) {
        let _turn = (writes > 0).then(|| Turn::new(&self.waiting, class));
        loop {
            let now = Instant::now();
            let pause = self
                .pause
                .get()
                .filter(|t| class > RequestClass::Lease && *t > now);
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
    fn others_first(&self, class: RequestClass) -> bool {
        let waiting = self.waiting.borrow();
        let waits = |c: RequestClass| waiting[c as usize] > 0;
        let just = self.last.get();
        match class {
            RequestClass::Claim
                if just == Some(RequestClass::Claim) && waits(RequestClass::Round) =>
            {
                true
            }
            RequestClass::Round if just == Some(RequestClass::Claim) => {
                waits(RequestClass::Accept) || waits(RequestClass::Lease)
            }
            _ => waiting[..class as usize].iter().any(|n| *n > 0),
        }
    }

    async fn call(
        &self,
        class: RequestClass,
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
    pub async fn commit(&self, class: RequestClass, commit: &Commit) -> Result<u64, StoreError> {
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
            409 => Err(StoreError::Conflict(r.parse::<CommitConflict>()?.failed)),
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
                conditions = commit.preconditions.len(),
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
            .call(RequestClass::Accept, 0, "GET", &path, None, self.patience)
            .await?;
        match r.status {
            404 => Ok(r.parse::<Revision>()?.revision),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Reads records in the order of their keys, beginning after a key.
    pub async fn page(&self, prefix: &str, after: &str) -> Result<StoredRecordPage, StoreError> {
        let mut path = format!("/store?prefix={prefix}&limit=500");
        if !after.is_empty() {
            path.push_str(&format!("&after={after}"));
        }
        let r = self
            .call(RequestClass::Lease, 0, "GET", &path, None, self.patience)
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
    ) -> Result<WatchResponse, StoreError> {
        let path = format!(
            "/watch?prefix={prefix}&after={after}&block_ms={}",
            block.as_millis()
        );
        // An outage keeps watches open: a little patience beyond the block.
        let limit = block + self.patience;
        let r = self
            .call(RequestClass::Accept, 0, "GET", &path, None, limit)
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
            .call(
                RequestClass::Lease,
                0,
                "POST",
                "/holds",
                Some(body),
                self.patience,
            )
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
            .call(RequestClass::Lease, 0, "POST", &path, body, self.patience)
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
