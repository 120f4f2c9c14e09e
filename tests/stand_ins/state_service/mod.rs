//! The state service: keys with revisions, transactions, leases, watches and
//! its limits, and the troubles that a test gives it.

mod commits;
mod faults;
mod leases;
mod limits;
mod places;
mod reads;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use shelfhoist::http::{Request, Response};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::production::is_readable_by_production;
use leases::StateLease;
use limits::RateLimit;

pub use faults::{StateTroubles, Trouble};
pub use limits::StateLimits;

/// The state service of a deployment.
pub struct State {
    pub(in crate::stand_ins) pairs: RefCell<BTreeMap<String, (Value, u64)>>,
    change_log: RefCell<Vec<Value>>,
    revision: Cell<u64>,
    /// Wakes open watches in the order in which they came: a `watch` channel of tokio
    /// would wake them in a random one, and no two runs would be alike.
    revision_changed: Notify,
    pub trouble: Cell<Trouble>,
    /// How many commits the trouble still meets.
    pub troubled: Cell<usize>,
    pub troubles: RefCell<StateTroubles>,
    leases: RefCell<BTreeMap<u64, StateLease>>,
    next_lease: Cell<u64>,
    rng: RefCell<SmallRng>,
    /// The limits in force.
    pub limits: Cell<StateLimits>,
    /// Commits refused for their size: none may be that keep to the limits.
    pub beyond: RefCell<Vec<String>>,
    /// Requests refused for their rate.
    pub rate_limited_commits: Cell<usize>,
    /// The same of requests of any kind.
    pub rate_limited_requests: Cell<usize>,
    /// What may be written at once.
    writes: RateLimit,
    /// What may be asked at once.
    requests: RateLimit,
    /// Machines that stood in two zone shards or in two machine shards at a revision.
    pub misplaced_machines: RefCell<Vec<String>>,
    /// Controllers whose records are those of the program in production: they do
    /// not tell of any formats, nor record what others tell.
    pub older: RefCell<BTreeSet<usize>>,
    /// Commits that failed on a condition.
    pub conflicts: Cell<usize>,
    /// Commits that are refused, by who sends them and what they hold.
    pub gate: RefCell<Option<CommitRefusal>>,
    /// Told of every commit that was carried out, with the records as it leaves them.
    pub observers: RefCell<Vec<CommitObserver>>,
    /// What tests have put down by themselves: it alone may be unreadable.
    test_writes: RefCell<BTreeMap<String, Value>>,
}

/// Whether a commit of a controller is refused.
pub type CommitRefusal = Box<dyn Fn(usize, &Value) -> bool>;

/// Who reads every committed revision: the records, the keys that were written, and the
/// revision.
pub type CommitObserver = Box<dyn Fn(&BTreeMap<String, (Value, u64)>, &[&str], u64)>;

impl State {
    /// Records that the program in production could not read, or would spoil.
    pub fn unreadable(&self) -> Vec<String> {
        let pairs = self.pairs.borrow();
        let bad = pairs
            .iter()
            .filter(|(k, v)| !is_readable_by_production(k, &v.0));
        bad.map(|(k, _)| k.clone()).collect()
    }

    pub(in crate::stand_ins) fn new(seed: u64) -> Self {
        State {
            pairs: RefCell::default(),
            change_log: RefCell::default(),
            revision: Cell::default(),
            revision_changed: Notify::default(),
            trouble: Cell::default(),
            troubled: Cell::default(),
            troubles: RefCell::default(),
            leases: RefCell::default(),
            next_lease: Cell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            limits: Cell::default(),
            beyond: RefCell::default(),
            rate_limited_commits: Cell::default(),
            rate_limited_requests: Cell::default(),
            writes: RateLimit::default(),
            requests: RateLimit::default(),
            misplaced_machines: RefCell::default(),
            older: RefCell::default(),
            conflicts: Cell::default(),
            gate: RefCell::default(),
            observers: RefCell::default(),
            test_writes: RefCell::default(),
        }
    }

    fn is_in_outage(&self) -> bool {
        self.trouble.get() == Trouble::Down
    }

    fn refuses(&self, i: usize) -> bool {
        self.is_in_outage() || self.troubles.borrow().refused.contains(&i)
    }

    pub(in crate::stand_ins) fn draw_bool(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().random_bool(share)
    }

    /// A random factor that differs from one by up to `part`.
    pub(in crate::stand_ins) fn random_factor(&self, part: f64) -> f64 {
        match part > 0.0 {
            true => self.rng.borrow_mut().random_range(1.0 - part..1.0 + part),
            false => 1.0,
        }
    }

    pub(in crate::stand_ins) fn answer(
        self: Rc<Self>,
        i: usize,
        r: Request,
    ) -> shelfhoist::http::ResponseFuture {
        Box::pin(async move {
            let (before, after) = self.delays(i);
            sleep(before).await;
            if self.refuses(i) {
                return Response::empty(503);
            }
            if self.requests.refuses(self.limits.get().rps, 1) {
                self.rate_limited_requests
                    .set(self.rate_limited_requests.get() + 1);
                return Response::json(429, &json!({"error": "too many"}));
            }
            let body: Value = serde_json::from_slice(&r.body).unwrap_or_default();
            let answer = match (r.method.as_str(), r.path.as_str()) {
                ("GET", "/store") => self.list(&r.query),
                ("GET", "/watch") => self.watch(i, &r.query).await,
                ("GET", path) => self.read(path.trim_start_matches("/store/")),
                ("POST", "/commit") if self.is_commit_refused(i, &body) => Response::empty(503),
                ("POST", "/commit") if self.older.borrow().contains(&i) => {
                    self.commit_as_production(body).await
                }
                ("POST", "/commit") => self.commit(body).await,
                (method, path) if path.starts_with("/holds") => {
                    self.lease(method, path.trim_start_matches("/holds"), &body)
                }
                _ => Response::empty(400),
            };
            sleep(after).await;
            answer
        })
    }

    fn is_commit_refused(&self, i: usize, body: &Value) -> bool {
        let gate = self.gate.borrow();
        gate.as_ref().is_some_and(|refuses| refuses(i, body))
    }

    /// One key, by `GET /store/{key}`.
    fn read(&self, key: &str) -> Response {
        match self.pairs.borrow().get(key) {
            Some((value, stamp)) => {
                Response::json(200, &json!({"key": key, "value": value, "stamp": stamp}))
            }
            None => Response::json(404, &json!({"ledger_rev": self.revision.get()})),
        }
    }

    /// A record as another program would have written it.
    pub fn write(&self, key: &str, value: &Value) {
        let mut put_down = self.test_writes.borrow_mut();
        put_down.insert(key.to_string(), value.clone());
        drop(put_down);
        self.apply(&json!({"writes": [{"set": key, "value": value}]}));
    }

    /// The record of a key, as it stands.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.pairs.borrow().get(key).map(|p| p.0.clone())
    }

    /// The records under a prefix, as they stand.
    pub fn records(&self, prefix: &str) -> Vec<(String, Value)> {
        let pairs = self.pairs.borrow();
        let all = pairs.iter().filter(|(k, _)| k.starts_with(prefix));
        all.map(|(k, (v, _))| (k.clone(), v.clone())).collect()
    }

    /// The keys under a prefix, with the length of each value.
    pub fn sizes(&self, prefix: &str) -> Vec<(String, usize)> {
        let pairs = self.pairs.borrow();
        let all = pairs.iter().filter(|(k, _)| k.starts_with(prefix));
        all.map(|(k, (v, _))| (k.clone(), v.to_string().len()))
            .collect()
    }
}
