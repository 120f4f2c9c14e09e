//! Implements the budget for requests to the state service and for the keys that they write.
//!
//! The budget is this controller's allocation of the state service's rate limits. Each class
//! of requests must leave a part of the budget to the classes with precedence over it. The
//! functions read no clock; the caller passes the current time.

use std::time::Duration;

use tokio::time::Instant;

/// Fraction of the state service's rate limits that all controllers together may use. The
/// rest is a margin, as the controllers do not see each other's requests.
pub const MAX_BUDGET_FRACTION: f64 = 0.97;

/// Class of a request. When the budget is short, a class has precedence over the classes
/// after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Requests that users wait for: they accept or cancel jobs or move quota between shares.
    /// Reads of the current revision and the watch are in this class as well.
    Accept,
    /// Requests that acquire or renew state leases, record machine types or provisioning
    /// requests, or read pages of the state.
    Lease,
    /// Commits that claim machines. The caller waits with `StateClient::wait_for_budget`
    /// before it decides which machines to claim. The commit is then sent without a further
    /// wait, into debt if necessary, as the decision would become outdated during a wait.
    Claim,
    /// Commits of placement rounds, which wait for the budget as claims do.
    Round,
    /// Commits that record that a machine starts, drains, or is returned or gone, that adjust
    /// shares, or that rewrite records to fit lower limits.
    Lifecycle,
    /// Commits that can be deferred: they publish free capacity, move services or remove
    /// records.
    Publication,
}

/// Number of request classes.
pub(super) const CLASS_COUNT: usize = 6;

impl RequestClass {
    /// Returns the reserve: the fraction of a full burst that this class must leave to the
    /// classes with precedence. A negative value is the debt that this class may incur.
    pub(super) fn reserve(self) -> f64 {
        match self {
            // These requests are few, and users wait for them. The debt that they incur is
            // repaid by delaying the more frequent classes in the following seconds.
            RequestClass::Accept => -3.0,
            RequestClass::Lease => -2.0,
            RequestClass::Claim => 0.05,
            RequestClass::Round => 0.1,
            RequestClass::Lifecycle => 0.2,
            RequestClass::Publication => 0.3,
        }
    }
}

/// Token bucket that is refilled at a constant rate until it contains `burst` tokens.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    /// Refill rate, in tokens per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Number of tokens at the last refill or charge; negative while in debt.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Instant,
}

/// Maximum shortage, in tokens, that is ignored as a rounding error.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// Maximum fraction of a burst that a request has to wait for. A request that costs more is
/// sent with a debt. If it had to wait for its full cost, smaller requests would take the
/// tokens first again and again.
const MAX_NEED_FRACTION: f64 = 0.5;

impl TokenBucket {
    /// Creates a full bucket with `rate` in tokens per second and at most `burst` tokens.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time since the last refill.
    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rate;
        self.tokens = refilled.min(self.burst);
        self.refilled_at = now;
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time to wait for the token if there is none.
    pub fn take_one(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        match self.wait(1.0, 0.0) {
            Some(wait) => Err(wait),
            None => {
                self.tokens -= 1.0;
                Ok(())
            }
        }
    }

    /// Returns the time until `count` tokens can be taken with the fraction `reserve` of
    /// the burst left over, or `None` if they can be taken now.
    pub(super) fn wait(&self, count: f64, reserve: f64) -> Option<Duration> {
        let need = count.min(self.burst * MAX_NEED_FRACTION) + self.burst * reserve;
        let shortage = need - self.tokens;
        (shortage > TOKEN_TOLERANCE).then(|| Duration::from_secs_f64(shortage / self.rate))
    }

    /// Sets the rate, and the burst to the tokens of one second.
    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate;
    }
}

/// Estimate of the rate at which this controller would write keys if the budget did not
/// limit it: the average of its recent writes, increased in proportion to the time that the
/// writes spent waiting for the budget.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct WriteDemand {
    /// Moving average of written keys per second.
    written_rate: f64,
    /// Moving average of the fraction of time spent waiting.
    waited_fraction: f64,
    /// Time of the last update of the averages.
    recorded_at: Option<Instant>,
}

impl WriteDemand {
    /// Time constant of the moving averages, in seconds.
    const AVERAGING_S: f64 = 4.0;

    /// Records written keys and seconds spent waiting for the budget.
    pub(super) fn record(&mut self, written: f64, waited_s: f64, now: Instant) {
        let elapsed_s = self.recorded_at.map_or(0.0, |recorded_at| {
            now.saturating_duration_since(recorded_at).as_secs_f64()
        });
        let decay = (-elapsed_s / Self::AVERAGING_S).exp();
        self.written_rate = self.written_rate * decay + written / Self::AVERAGING_S;
        self.waited_fraction =
            (self.waited_fraction * decay + waited_s / Self::AVERAGING_S).min(1.0);
        self.recorded_at = Some(now);
    }

    /// Returns the estimated demand, in keys per second. The `queued` commits count as well:
    /// a controller whose commits all wait for the budget writes nothing, so its recent
    /// writes alone would show no demand.
    pub(super) fn wanted_rate(&self, queued: usize) -> f64 {
        self.written_rate * (1.0 + self.waited_fraction) + self.waited_fraction * queued as f64
    }
}

/// Minimum allocation of a controller, as a fraction of an even allocation.
const MIN_ALLOCATION_FRACTION: f64 = 0.25;

/// Maximum allocation of a controller, as a multiple of an even allocation.
const MAX_ALLOCATION_MULTIPLE: f64 = 3.0;

/// Returns the part of the write rate `total` that is allocated to this controller, in
/// proportion to its `demand`. `others` contains the demands of the other controllers. It is
/// `None` for a controller that has not announced its demand, which then counts as an even
/// allocation. Each controller gets at least a minimum, and none gets more than a multiple
/// of an even allocation, as it could not use more.
#[must_use]
pub fn write_rate_allocation(total: f64, demand: f64, others: &[Option<f64>]) -> f64 {
    let even = total / (others.len() + 1) as f64;
    let minimum = even * MIN_ALLOCATION_FRACTION;
    let others: f64 = others
        .iter()
        .map(|demand| demand.map_or(even, |demand| demand + minimum))
        .sum();
    let allocation = total * (demand + minimum) / (others + demand + minimum);
    allocation.clamp(minimum, even * MAX_ALLOCATION_MULTIPLE)
}

/// Budget of this controller, with a token bucket for requests and one for written keys.
#[derive(Debug)]
pub struct Budget {
    requests: TokenBucket,
    writes: TokenBucket,
}

impl Budget {
    /// Creates a full budget with rates in requests and in written keys per second.
    pub fn new(rps: f64, write_rps: f64, now: Instant) -> Self {
        Budget {
            requests: TokenBucket::new(rps, rps, now),
            writes: TokenBucket::new(write_rps, write_rps, now),
        }
    }

    /// Returns the time until a request with `writes` written keys may be sent, or `None`
    /// if it may be sent now.
    pub fn wait(&mut self, class: RequestClass, writes: usize, now: Instant) -> Option<Duration> {
        self.requests.refill(now);
        self.writes.refill(now);
        let reserve = class.reserve();
        let wait = self.requests.wait(1.0, reserve);
        if writes == 0 {
            return wait;
        }
        wait.max(self.writes.wait(writes as f64, reserve))
    }

    /// Sets this controller's allocation of writes, in keys per second.
    pub fn set_write_rate(&mut self, write_rps: f64, now: Instant) {
        self.writes.set_rate(write_rps, now);
    }

    /// Sets this controller's allocation of requests, in requests per second.
    pub fn set_request_rate(&mut self, rps: f64, now: Instant) {
        self.requests.set_rate(rps, now);
    }

    /// Returns the writes of a refused request to the budget, as they were not executed.
    pub fn refund(&mut self, writes: usize) {
        let refunded = self.writes.tokens + writes as f64;
        self.writes.tokens = refunded.min(self.writes.burst);
    }

    /// Charges a request and its writes, into debt if necessary.
    pub fn charge(&mut self, writes: usize) {
        self.requests.tokens -= 1.0;
        self.writes.tokens -= writes as f64;
    }
}
