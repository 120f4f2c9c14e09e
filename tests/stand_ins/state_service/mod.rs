//! The simulated state service: keys with revisions, transactions, leases, watches, limits,
//! and the faults that a test injects.

mod commits;
mod faults;
mod leases;
mod limits;
mod places;
mod reads;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use shelfhoist::http::{Request, Response};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::production::is_readable_by_production;
use leases::StateLease;
use limits::RateLimit;

pub use faults::{StateFault, StateFaultOptions};
pub use limits::StateLimits;

/// The simulated state service of a deployment.
pub struct StateService {
    /// Values by key, each with the revision of its last write.
    pub(in crate::stand_ins) pairs: RefCell<BTreeMap<String, (Value, u64)>>,
    /// Events of all revisions, in their order.
    change_log: RefCell<Vec<Value>>,
    revision: Cell<u64>,
    /// Notifies open watches of a new revision, in the order in which the watches were opened.
    /// A `watch` channel of tokio would wake them in random order, so runs with the same seed
    /// would differ.
    revision_changed: Notify,
    /// Current fault mode.
    pub fault: Cell<StateFault>,
    /// Number of further commits that the fault modes [`StateFault::LostResponses`] and
    /// [`StateFault::LateCommits`] affect.
    pub faulty_commits_left: Cell<usize>,
    /// Faults with probabilities, delays and targets.
    pub fault_options: RefCell<StateFaultOptions>,
    leases: RefCell<BTreeMap<u64, StateLease>>,
    next_lease: Cell<u64>,
    rng: RefCell<SmallRng>,
    /// Limits that the service enforces.
    pub limits: Cell<StateLimits>,
    /// Descriptions of the commits refused because they exceed a size limit or contain an
    /// invalid key.
    pub rejected_commits: RefCell<Vec<String>>,
    /// Number of commits refused by the limit on writes per second.
    pub rate_limited_commits: Cell<usize>,
    /// Number of requests refused by the limit on requests per second.
    pub rate_limited_requests: Cell<usize>,
    /// Token bucket for writes.
    writes: RateLimit,
    /// Token bucket for requests.
    requests: RateLimit,
    /// Descriptions of machines that were in two zone shards or in two machine shards at some
    /// revision.
    pub misplaced_machines: RefCell<Vec<String>>,
    /// Machines that zone shards list, as of the last write of a zone shard.
    listed_machines: RefCell<BTreeSet<String>>,
    /// Descriptions of machines that a commit listed in a zone shard although they were not in
    /// service.
    pub listed_out_of_service: RefCell<Vec<String>>,
    /// Indexes of the controllers that stand for the production version, which neither announces
    /// the record formats that it reads nor stores the announced formats in `sh/formats`. The
    /// announcements are removed from the commits of these controllers, and a commit that
    /// writes `sh/formats` fails.
    pub previous_version_controllers: RefCell<BTreeSet<usize>>,
    /// Number of commits that failed a precondition.
    pub conflict_count: Cell<usize>,
    /// Predicate that selects commits to refuse with status 503.
    pub commit_refusal: RefCell<Option<CommitRefusal>>,
    /// Function that selects commits to be applied late and without a response.
    pub commit_delay: RefCell<Option<CommitDelay>>,
    /// Callbacks that are called after every applied commit.
    pub observers: RefCell<Vec<CommitObserver>>,
    /// Records that tests wrote directly. Only these records may be unreadable: one that a
    /// controller wrote fails the test.
    test_writes: RefCell<BTreeMap<String, Value>>,
}

/// Predicate on a controller's index and its commit, true if the commit is refused.
pub type CommitRefusal = Box<dyn Fn(usize, &Value) -> bool>;

/// Function of a controller's index and its commit: the time after which the commit is applied,
/// if it is to be applied late.
pub type CommitDelay = Box<dyn Fn(usize, &Value) -> Option<Duration>>;

/// Callback for an applied commit. Its arguments are all records after the commit, the written
/// keys and the revision.
pub type CommitObserver = Box<dyn Fn(&BTreeMap<String, (Value, u64)>, &[&str], u64)>;

impl StateService {
    /// Returns the keys of the records that the production version could not read, or would
    /// write back incompletely.
    pub fn keys_unreadable_by_production(&self) -> Vec<String> {
        let pairs = self.pairs.borrow();
        let unreadable = pairs
            .iter()
            .filter(|(k, v)| !is_readable_by_production(k, &v.0));
        unreadable.map(|(k, _)| k.clone()).collect()
    }

    /// Returns an empty state service without faults or limits.
    pub(in crate::stand_ins) fn new(seed: u64) -> Self {
        StateService {
            pairs: RefCell::default(),
            change_log: RefCell::default(),
            revision: Cell::default(),
            revision_changed: Notify::default(),
            fault: Cell::default(),
            faulty_commits_left: Cell::default(),
            fault_options: RefCell::default(),
            leases: RefCell::default(),
            next_lease: Cell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            limits: Cell::default(),
            rejected_commits: RefCell::default(),
            rate_limited_commits: Cell::default(),
            rate_limited_requests: Cell::default(),
            writes: RateLimit::default(),
            requests: RateLimit::default(),
            misplaced_machines: RefCell::default(),
            listed_machines: RefCell::default(),
            listed_out_of_service: RefCell::default(),
            previous_version_controllers: RefCell::default(),
            conflict_count: Cell::default(),
            commit_refusal: RefCell::default(),
            commit_delay: RefCell::default(),
            observers: RefCell::default(),
            test_writes: RefCell::default(),
        }
    }

    /// Returns whether the service is unavailable to all controllers.
    fn is_in_outage(&self) -> bool {
        self.fault.get() == StateFault::Outage
    }

    /// Returns whether the service refuses all requests of a controller.
    fn refuses(&self, i: usize) -> bool {
        self.is_in_outage() || self.fault_options.borrow().refused_controllers.contains(&i)
    }

    /// Returns true with this probability. Draws no random number if it is zero.
    pub(in crate::stand_ins) fn draw_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random_bool(probability)
    }

    /// Returns a random factor that differs from one by up to `max_deviation`.
    pub(in crate::stand_ins) fn random_factor(&self, max_deviation: f64) -> f64 {
        match max_deviation > 0.0 {
            true => self
                .rng
                .borrow_mut()
                .random_range(1.0 - max_deviation..1.0 + max_deviation),
            false => 1.0,
        }
    }

    /// Serves a request of controller `i`, subject to the injected faults.
    pub(in crate::stand_ins) fn handle_request(
        self: Rc<Self>,
        i: usize,
        request: Request,
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
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let response = match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/store") => {
                    let page = self.list(&request.query);
                    sleep(self.page_delay(i)).await;
                    page
                }
                ("GET", "/watch") => self.watch(i, &request.query).await,
                ("GET", path) => self.read(path.trim_start_matches("/store/")),
                ("POST", "/commit") if self.is_commit_refused(i, &body) => Response::empty(503),
                ("POST", "/commit") if self.commit_delay.borrow().is_some() => {
                    match self.delay_of_commit(i, &body) {
                        Some(delay) => self.apply_late(delay, body).await,
                        None => self.commit(body).await,
                    }
                }
                ("POST", "/commit") if self.previous_version_controllers.borrow().contains(&i) => {
                    self.commit_as_production(body).await
                }
                ("POST", "/commit") => self.commit(body).await,
                (method, path) if path.starts_with("/holds") => {
                    self.lease(method, path.trim_start_matches("/holds"), &body)
                }
                _ => Response::empty(400),
            };
            sleep(after).await;
            response
        })
    }

    /// Returns whether the test's predicate refuses a commit of controller `i`.
    fn is_commit_refused(&self, i: usize, body: &Value) -> bool {
        let predicate = self.commit_refusal.borrow();
        predicate.as_ref().is_some_and(|refuses| refuses(i, body))
    }

    /// Returns the time after which the test's function has a commit of controller `i` applied,
    /// if the commit is to be applied late.
    fn delay_of_commit(&self, i: usize, body: &Value) -> Option<Duration> {
        let delay = self.commit_delay.borrow();
        delay.as_ref().and_then(|delay_of| delay_of(i, body))
    }

    /// Serves `GET /store/{key}`.
    fn read(&self, key: &str) -> Response {
        match self.pairs.borrow().get(key) {
            Some((value, stamp)) => {
                Response::json(200, &json!({"key": key, "value": value, "stamp": stamp}))
            }
            None => Response::json(404, &json!({"ledger_rev": self.revision.get()})),
        }
    }

    /// Writes a record directly, as another program would.
    pub fn write(&self, key: &str, value: &Value) {
        let mut test_writes = self.test_writes.borrow_mut();
        test_writes.insert(key.to_string(), value.clone());
        drop(test_writes);
        self.apply(&json!({"writes": [{"set": key, "value": value}]}));
    }

    /// Returns the current value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.pairs.borrow().get(key).map(|p| p.0.clone())
    }

    /// Returns the current keys and values under a prefix.
    pub fn records(&self, prefix: &str) -> Vec<(String, Value)> {
        let pairs = self.pairs.borrow();
        let matching = pairs.iter().filter(|(k, _)| k.starts_with(prefix));
        matching.map(|(k, (v, _))| (k.clone(), v.clone())).collect()
    }

    /// Returns the keys under a prefix, each with the length of its value in bytes.
    pub fn value_sizes(&self, prefix: &str) -> Vec<(String, usize)> {
        let pairs = self.pairs.borrow();
        let matching = pairs.iter().filter(|(k, _)| k.starts_with(prefix));
        matching
            .map(|(k, (v, _))| (k.clone(), v.to_string().len()))
            .collect()
    }
}
