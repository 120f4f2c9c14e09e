//! Client of the state service. All requests of this controller pass through the client,
//! which delays them so that they stay within the controller's allocation of the service's
//! rate limits. Requests that users wait for have precedence.
//!
//! | module | task |
//! | --- | --- |
//! | `operations` | operations of the service: commit, read, watch, leases |
//! | `request` | a request and its cost in the budget |
//! | `write_queue` | commits that wait, and the precedence of their classes |
//! | `rate_limit` | detection of a lower rate limit by refusals |
//! | `error` | errors of requests |

mod error;
mod operations;
mod rate_limit;
mod request;
mod write_queue;

pub use error::StateClientError;

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

/// Time for which requests of the classes after `RequestClass::Lease` pause after the state
/// service has answered a request with status 429, before jitter.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// Minimum time to sleep before a waiting request checks the budget again.
const MIN_BUDGET_WAIT: Duration = Duration::from_millis(1);

/// Divisor of the response timeout that gives the maximum time to sleep before a waiting
/// request checks the budget again. The allocation may grow and refused writes may be
/// refunded in the meantime. A request that slept for half a minute would miss both, and the
/// controller's write demand, which counts a wait when the sleep begins, would decay.
const MAX_BUDGET_WAIT_DIVISOR: u32 = 4;

/// Divisor of the response timeout that gives the time to sleep before a write that yields to
/// writes of classes with precedence checks again whether it may be sent.
const YIELD_DIVISOR: u32 = 50;

/// Client of the state service, with this controller's budget.
pub struct StateClient {
    client: Rc<Client>,
    addr: SocketAddrV4,
    budget: RefCell<Budget>,
    queue: WriteQueue,
    demand: Cell<WriteDemand>,
    rng: RefCell<SmallRng>,
    /// Time after which a request counts as unanswered.
    response_timeout: Duration,
    /// Time of the last response from the service that was not a refusal.
    last_response: Cell<Option<Instant>>,
    /// End of the pause that follows a response with status 429. The pause applies to the
    /// classes after `RequestClass::Lease`.
    paused_until: Cell<Option<Instant>>,
    rate_limit: RateLimitDetector,
    /// Keys of the records that were logged as the longest of a commit that exceeded the
    /// limits, so that each is logged only once.
    logged_keys: RefCell<BTreeSet<String>>,
}

impl StateClient {
    /// Creates a client of the state service at `addr`. A request counts as unanswered after
    /// `response_timeout`.
    pub fn new(
        client: Rc<Client>,
        addr: SocketAddrV4,
        budget: Budget,
        response_timeout: Duration,
        rng: SmallRng,
    ) -> Self {
        StateClient {
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

    /// Returns the time of the last response from the service that was not a refusal.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response.get()
    }

    /// Returns a random delay between half and one and a half times `base`, so that
    /// controllers do not act simultaneously.
    pub fn jitter(&self, base: Duration) -> Duration {
        base.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }

    /// Returns this controller's write demand in keys per second, to be announced to the
    /// other controllers.
    pub fn demand(&self) -> f64 {
        self.record_demand(0, Duration::ZERO);
        self.demand.get().wanted_rate(self.queue.len())
    }

    /// Records written keys and the time spent waiting for the budget.
    fn record_demand(&self, written: usize, waited: Duration) {
        let mut demand = self.demand.get();
        demand.record(written as f64, waited.as_secs_f64(), Instant::now());
        self.demand.set(demand);
    }

    /// Sets this controller's allocation of writes, in keys per second.
    pub fn set_write_rate(&self, write_rps: f64) {
        let now = Instant::now();
        self.budget.borrow_mut().set_write_rate(write_rps, now);
    }

    /// Sets this controller's allocation of requests, in requests per second.
    pub fn set_request_rate(&self, rps: f64) {
        let now = Instant::now();
        self.budget.borrow_mut().set_request_rate(rps, now);
    }

    /// Returns whether recent refusals have shown that the state service applies the lower
    /// rate limits that the settings announce.
    pub fn is_rate_reduced(&self) -> bool {
        self.rate_limit.is_reduced()
    }

    /// Waits until the budget allows a request of this class with `writes` written keys,
    /// without charging the budget. The caller decides what to send only after the wait, so
    /// that the decision uses the latest state.
    pub async fn wait_for_budget(&self, class: RequestClass, writes: usize) {
        self.wait_for_turn(class, writes, BudgetUse::Keep).await;
    }

    /// Waits until the budget allows a request, and charges the request and its writes to
    /// the budget. Rounds and claims are charged without a wait, as they have already waited
    /// in `wait_for_budget`.
    async fn admit(&self, class: RequestClass, writes: usize) {
        if matches!(class, RequestClass::Round | RequestClass::Claim) {
            self.budget.borrow_mut().charge(writes);
        } else {
            self.wait_for_turn(class, writes, BudgetUse::Charge).await;
        }
        if writes > 0 {
            self.record_demand(writes, Duration::ZERO);
            self.queue.record_writer(class);
        }
    }

    /// Waits until the pause after a 429 is over and the budget allows the request. A request
    /// that writes also waits until it has to let no other write go first.
    async fn wait_for_turn(&self, class: RequestClass, writes: usize, budget_use: BudgetUse) {
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

    /// Checks whether a request may be sent now. If so, charges it to the budget unless
    /// `budget_use` is `Keep`, and returns `None`. Otherwise returns the time to wait before
    /// the next check.
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

    /// Returns the time until requests of a class may be sent again after a 429, or `None` if
    /// the class is not paused.
    fn remaining_pause(&self, class: RequestClass, now: Instant) -> Option<Duration> {
        let until = self.paused_until.get()?;
        (class > RequestClass::Lease && until > now).then(|| until - now)
    }

    /// Sends a request once the budget allows it.
    async fn send(&self, request: Request<'_>) -> Result<Response, StateClientError> {
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
                self.pause_after_refusal(writes);
                Err(StateClientError::Refused(429))
            }
            status @ 500.. => Err(StateClientError::Refused(status)),
            _ => {
                self.last_response.set(Some(Instant::now()));
                Ok(response)
            }
        }
    }

    /// Starts the pause that follows a response with status 429.
    fn pause_after_refusal(&self, writes: usize) {
        if writes > 0 {
            self.rate_limit.record_refusal(Instant::now());
        }
        let pause = self.jitter(REFUSAL_PAUSE);
        self.paused_until.set(Some(Instant::now() + pause));
        // The state service did not execute the request, so the writes are refunded.
        self.budget.borrow_mut().refund(writes);
    }
}

/// Use of the budget when a wait for it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BudgetUse {
    /// The request is charged to the budget, as it is sent immediately.
    Charge,
    /// Nothing is charged yet, as the caller first decides what to send.
    Keep,
}
