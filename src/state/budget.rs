//! The budget of requests and writes: this controller's allocation of the state
//! service's rate limits, by the class of the request. Pure but for the clock's
//! instants, which the caller passes.

use std::time::Duration;

use tokio::time::Instant;

/// The limits of the state service are shared by all controllers, which do not
/// count for one another: together they keep to so much of them.
pub const BUDGET_SHARE: f64 = 0.97;

/// Who goes first when the budget is short: the earlier, the sooner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Accepting and cancelling jobs, reading the revision, watching.
    Accept,
    /// The state lease, rentals, and reading pages of the state.
    Lease,
    /// Claims and rounds wait with `Store::wait_for_budget` before they decide, then
    /// go at once, into debt if need be: a commit that waits goes stale.
    Claim,
    /// Commits of placement rounds.
    Round,
    /// Machines that start, drain, are returned or are gone.
    Lifecycle,
    /// What can wait: publishing free capacity, moving services, removing records.
    Publication,
}

/// How many classes there are.
pub(super) const CLASSES: usize = 6;

impl RequestClass {
    /// The fraction of a full burst that this class must leave for those before;
    /// below 0, how far into debt it may go.
    pub(super) fn reserve(self) -> f64 {
        match self {
            // Few, and somebody waits: they may take what the larger ones are
            // to leave in the seconds that follow.
            RequestClass::Accept => -3.0,
            RequestClass::Lease => -2.0,
            RequestClass::Claim => 0.05,
            RequestClass::Round => 0.1,
            RequestClass::Lifecycle => 0.2,
            RequestClass::Publication => 0.3,
        }
    }
}

/// A token bucket: tokens come at a rate, and are kept up to a burst.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// The most tokens that are kept.
    burst: f64,
    /// The tokens at the last refill; negative while in debt.
    tokens: f64,
    refilled_at: Instant,
}

/// A shortage up to here is a rounding error.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// The fraction of a burst that is enough for the largest request: it goes into debt,
/// as what waits for more would wait behind all that is small.
const MAX_NEED_FRACTION: f64 = 0.5;

impl TokenBucket {
    /// A full bucket; `rate` is in tokens a second, `burst` the most that it holds.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rate;
        self.tokens = refilled.min(self.burst);
        self.refilled_at = now;
    }

    /// Takes one token; the error is how long to wait for it.
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

    /// How long until `count` tokens can be taken with the fraction `reserve` of the
    /// burst left over; `None` if they can be now.
    pub(super) fn wait(&self, count: f64, reserve: f64) -> Option<Duration> {
        let need = count.min(self.burst * MAX_NEED_FRACTION) + self.burst * reserve;
        let shortage = need - self.tokens;
        (shortage > TOKEN_TOLERANCE).then(|| Duration::from_secs_f64(shortage / self.rate))
    }

    /// Sets the rate, and a second's tokens as the burst.
    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate;
    }
}

/// How much this controller would write: what it has written of late, and more
/// the longer it had to wait for its budget.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct WriteDemand {
    /// Keys written a second, averaged.
    written: f64,
    /// The fraction of the time spent waiting, averaged.
    waited: f64,
    recorded_at: Option<Instant>,
}

impl WriteDemand {
    /// The span over which demand is averaged, in seconds.
    const AVERAGING_S: f64 = 4.0;

    /// Records keys that were written, and seconds of waiting for the budget.
    pub(super) fn record(&mut self, written: f64, waited_s: f64, now: Instant) {
        let elapsed_s = self.recorded_at.map_or(0.0, |recorded_at| {
            now.saturating_duration_since(recorded_at).as_secs_f64()
        });
        let decay = (-elapsed_s / Self::AVERAGING_S).exp();
        self.written = self.written * decay + written / Self::AVERAGING_S;
        self.waited = (self.waited * decay + waited_s / Self::AVERAGING_S).min(1.0);
        self.recorded_at = Some(now);
    }

    /// Keys a second that this controller would write. One that has come to
    /// write nothing, as `queued` commits wait for the budget, wants to all
    /// the same.
    pub(super) fn wanted(&self, queued: usize) -> f64 {
        self.written * (1.0 + self.waited) + self.waited * queued as f64
    }
}

/// The smallest allocation of a controller, as a fraction of an even one.
const MIN_ALLOCATION: f64 = 0.25;

/// The largest allocation of a controller, in even ones.
const MAX_ALLOCATION: f64 = 3.0;

/// This controller's allocation of the write rate that all have together, by what each
/// would write; `others` holds what is known of the others, `None` for those not heard
/// of. Each keeps a minimum, and none is given more than it could use.
#[must_use]
pub fn write_rate_allocation(total: f64, demand: f64, others: &[Option<f64>]) -> f64 {
    let even = total / (others.len() + 1) as f64;
    let minimum = even * MIN_ALLOCATION;
    let others: f64 = others
        .iter()
        .map(|demand| demand.map_or(even, |demand| demand + minimum))
        .sum();
    let allocation = total * (demand + minimum) / (others + demand + minimum);
    allocation.clamp(minimum, even * MAX_ALLOCATION)
}

/// The budget of requests and of written keys.
#[derive(Debug)]
pub struct Budget {
    requests: TokenBucket,
    writes: TokenBucket,
}

impl Budget {
    /// A full budget of requests and written keys a second.
    pub fn new(rps: f64, write_rps: f64, now: Instant) -> Self {
        Budget {
            requests: TokenBucket::new(rps, rps, now),
            writes: TokenBucket::new(write_rps, write_rps, now),
        }
    }

    /// How long until a request with `writes` written keys may go.
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

    /// Sets this controller's allocation of the writes, in keys a second.
    pub fn set_write_rate(&mut self, write_rps: f64, now: Instant) {
        self.writes.set_rate(write_rps, now);
    }

    /// Sets this controller's allocation of the requests, a second.
    pub fn set_request_rate(&mut self, rps: f64, now: Instant) {
        self.requests.set_rate(rps, now);
    }

    /// Gives back the writes of a request that was refused: they did not happen.
    pub fn refund(&mut self, writes: usize) {
        let refunded = self.writes.tokens + writes as f64;
        self.writes.tokens = refunded.min(self.writes.burst);
    }

    /// Takes a request and its writes, into debt if need be.
    pub fn charge(&mut self, writes: usize) {
        self.requests.tokens -= 1.0;
        self.writes.tokens -= writes as f64;
    }
}
