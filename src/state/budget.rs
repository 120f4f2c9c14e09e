//! The budget of requests and writes: this controller's share of the state
//! service's limits, by the class of what asks.

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

pub(super) const CLASSES: usize = 6;

impl RequestClass {
    /// The share of a full burst that this class must leave for those before;
    /// below nothing, how far into debt it may go.
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
    pub(super) fn refill(&mut self, now: Instant) {
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
    pub(super) fn wait(&self, n: f64, reserve: f64) -> Option<Duration> {
        let need = n.min(self.burst * 0.5) + self.burst * reserve;
        let short = need - self.level;
        (short > 1e-9).then(|| Duration::from_secs_f64(short / self.rate))
    }
}

/// How much this controller would write: what it has written of late, and more
/// the longer it had to wait for its budget.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Demand {
    written: f64,
    waited: f64,
    at: Option<Instant>,
}

impl Demand {
    /// The span over which demand is averaged, in seconds.
    const SPAN: f64 = 4.0;

    pub(super) fn note(&mut self, written: f64, waited: f64, now: Instant) {
        let passed = self
            .at
            .map_or(0.0, |t| now.saturating_duration_since(t).as_secs_f64());
        let kept = (-passed / Self::SPAN).exp();
        self.written = self.written * kept + written / Self::SPAN;
        self.waited = (self.waited * kept + waited / Self::SPAN).min(1.0);
        self.at = Some(now);
    }

    /// Keys a second that this controller would write. One that has come to
    /// write nothing, as `waiting` commits wait for the budget, wants to all
    /// the same.
    pub(super) fn wanted(&self, waiting: usize) -> f64 {
        self.written * (1.0 + self.waited) + self.waited * waiting as f64
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
