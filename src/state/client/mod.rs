//! The state service's client. It alone keeps this controller inside its
//! allocation of the service's rate limits, and it lets the work that users wait
//! for go first.
//!
//! | module | task |
//! | --- | --- |
//! | `operations` | the service's operations: commit, read, watch, leases |
//! | `request` | one request, with what it takes of the budget |
//! | `write_queue` | the commits that wait, and which class goes first |
//! | `rate_limit` | whether refusals show a lower rate limit |
//! | `error` | why the service did not do as asked |

mod error;
mod operations;
mod rate_limit;
mod request;
mod write_queue;

pub use error::StoreError;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep};

use self::rate_limit::RateLimitDetector;
use self::request::Request;
use self::write_queue::WriteQueue;
use super::budget::{Budget, RequestClass, WriteDemand};
use crate::http::{Client, Response};

/// How long everything but acceptance pauses after a 429, before jitter.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// The shortest wait for the budget.
const MIN_BUDGET_WAIT: Duration = Duration::from_millis(1);

/// The longest wait for the budget at a time, as a part of the response timeout. The
/// allocation may grow meanwhile, and what was refused is given back: whoever slept out
/// a wait of half a minute would miss both, and would be forgotten as one that wants to
/// write.
const MAX_BUDGET_WAIT_DIVISOR: u32 = 4;

/// How long a write waits for those of classes before it, as a part of the response
/// timeout.
const YIELD_DIVISOR: u32 = 50;

/// The client of the state service, with this controller's budget.
pub struct Store {
    client: Rc<Client>,
    addr: SocketAddrV4,
    budget: RefCell<Budget>,
    queue: WriteQueue,
    demand: Cell<WriteDemand>,
    rng: RefCell<SmallRng>,
    /// How long a response may take before it counts as none.
    response_timeout: Duration,
    /// When the service last answered anything but a refusal.
    last_response: Cell<Option<Instant>>,
    /// 429 makes everything but acceptance wait until then.
    paused_until: Cell<Option<Instant>>,
    rate_limit: RateLimitDetector,
    /// Keys whose commit was refused as it was: each is logged once.
    logged_keys: RefCell<BTreeSet<String>>,
}

impl Store {
    /// A client of the service at `addr` that counts a request as unanswered
    /// after `response_timeout`.
    pub fn new(
        client: Rc<Client>,
        addr: SocketAddrV4,
        budget: Budget,
        response_timeout: Duration,
        rng: SmallRng,
    ) -> Self {
        Store {
            client,
            addr,
            budget: RefCell::new(budget),
            queue: WriteQueue::default(),
            demand: Cell::default(),
            rng: RefCell::new(rng),
            response_timeout,
            last_response: Cell::new(None),
            paused_until: Cell::new(None),
            rate_limit: RateLimitDetector::new(response_timeout),
            logged_keys: RefCell::default(),
        }
    }

    /// When the service last served us.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response.get()
    }

    /// A delay around `base` that no two controllers share.
    pub fn jitter(&self, base: Duration) -> Duration {
        base.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }

    /// Keys a second that this controller would write, for the others to know.
    pub fn demand(&self) -> f64 {
        self.record_demand(0, Duration::ZERO);
        self.demand.get().wanted(self.queue.len())
    }

    fn record_demand(&self, written: usize, waited: Duration) {
        let mut demand = self.demand.get();
        demand.record(written as f64, waited.as_secs_f64(), Instant::now());
        self.demand.set(demand);
    }

    /// Sets this controller's allocation of the writes, in keys a second.
    pub fn set_write_rate(&self, write_rps: f64) {
        let now = Instant::now();
        self.budget.borrow_mut().set_write_rate(write_rps, now);
    }

    /// Sets this controller's allocation of the requests, a second.
    pub fn set_request_rate(&self, rps: f64) {
        let now = Instant::now();
        self.budget.borrow_mut().set_request_rate(rps, now);
    }

    /// Whether refusals have shown that the lower rates are in force.
    pub fn is_rate_reduced(&self) -> bool {
        self.rate_limit.is_reduced()
    }

    /// Waits until the budget has `writes` written keys for this class, and
    /// takes nothing: for those who decide late, on what they know by then.
    pub async fn wait_for_budget(&self, class: RequestClass, writes: usize) {
        self.wait_turn(class, writes, BudgetUse::Keep).await;
    }

    /// Takes a request and its writes out of the budget, once it may go.
    async fn admit(&self, class: RequestClass, writes: usize) {
        if matches!(class, RequestClass::Round | RequestClass::Claim) {
            self.budget.borrow_mut().charge(writes);
        } else {
            self.wait_turn(class, writes, BudgetUse::Charge).await;
        }
        if writes > 0 {
            self.record_demand(writes, Duration::ZERO);
            self.queue.record_writer(class);
        }
    }

    /// Waits for the budget and for those that go first.
    async fn wait_turn(&self, class: RequestClass, writes: usize, budget_use: BudgetUse) {
        let _queued = (writes > 0).then(|| self.queue.enqueue(class));
        while let Some(wait) = self.try_admit(class, writes, budget_use) {
            let max_wait = self.response_timeout / MAX_BUDGET_WAIT_DIVISOR;
            let wait = wait.clamp(MIN_BUDGET_WAIT, max_wait);
            if writes > 0 {
                self.record_demand(0, wait);
            }
            sleep(wait).await;
        }
    }

    /// Charges the budget, if that is asked for, or tells how long to wait for it.
    fn try_admit(
        &self,
        class: RequestClass,
        writes: usize,
        budget_use: BudgetUse,
    ) -> Option<Duration> {
        let now = Instant::now();
        if let Some(pause) = self.remaining_pause(class, now) {
            return Some(pause);
        }
        if writes > 0 && self.queue.must_yield(class) {
            return Some(self.response_timeout / YIELD_DIVISOR);
        }
        let mut budget = self.budget.borrow_mut();
        let wait = budget.wait(class, writes, now);
        if wait.is_none() && budget_use == BudgetUse::Charge {
            budget.charge(writes);
        }
        wait
    }

    /// How long a class still pauses after a 429.
    fn remaining_pause(&self, class: RequestClass, now: Instant) -> Option<Duration> {
        let until = self.paused_until.get()?;
        (class > RequestClass::Lease && until > now).then(|| until - now)
    }

    /// Sends a request once the budget allows it.
    async fn send(&self, request: Request<'_>) -> Result<Response, StoreError> {
        let Request {
            class,
            writes,
            method,
            path,
            body,
            timeout,
        } = request;
        self.admit(class, writes).await;
        let response = self
            .client
            .call(self.addr, method, path, body, timeout)
            .await?;
        match response.status {
            429 => {
                self.back_off(writes);
                Err(StoreError::Refused(429))
            }
            status @ 500.. => Err(StoreError::Refused(status)),
            _ => {
                self.last_response.set(Some(Instant::now()));
                Ok(response)
            }
        }
    }

    /// Pauses after a refusal for the rate.
    fn back_off(&self, writes: usize) {
        if writes > 0 {
            self.rate_limit.record_refusal(Instant::now());
        }
        let pause = self.jitter(REFUSAL_PAUSE);
        self.paused_until.set(Some(Instant::now() + pause));
        // Not executed: what it took of the budget is there still.
        self.budget.borrow_mut().refund(writes);
    }
}

/// What a wait for the budget ends with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BudgetUse {
    /// The request is taken out of the budget.
    Charge,
    /// Nothing is taken: the caller decides first what to send.
    Keep,
}
