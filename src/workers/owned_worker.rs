//! What a controller knows of each worker whose machine it holds.
//!
//! A machine is held from the commit of a claim until another controller claims
//! it. The record here lives in memory only: it counts from the claim on, and what
//! a report proves holds for the token under which the report was made.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::controller::shifted_past_pause;
use crate::settings::CLOCK_DRIFT;
use crate::state::records::HeartbeatId;
use crate::wire::{CommandAction, WorkerCommand, WorkerStatus};

/// What this controller knows of a machine that it holds, from the claim of its
/// token on.
#[derive(Debug)]
pub struct OwnedWorker {
    /// The token under which we claimed it.
    pub fencing_token: u64,
    /// The revision of that claim: the replica must have reached it, or bookings
    /// that an earlier owner acted on may be missing from it.
    pub claim_revision: u64,
    /// The newest report by (epoch, seq) that was made under our token.
    pub status: Option<WorkerStatus>,
    /// When the worker last sent anything, a heartbeat or an answer.
    pub last_message_at: Instant,
    /// When the last heartbeat came. A worker that answers direct orders but
    /// opens no connection of its own is heard, and its lease runs out all the same.
    pub last_heartbeat_at: Instant,
    /// When this controller claimed it.
    pub claimed_at: Instant,
    /// When a heartbeat was last answered with 200; at first, the time of the claim.
    pub last_answered_at: Instant,
    /// A direct `/orders` call is under way.
    pub in_flight: bool,
    /// A direct call with launches got no answer: they may be executed late, as
    /// long as the worker has not seen a higher token.
    pub has_unanswered_launch: bool,
    /// The (epoch, seq) of the newest heartbeat whose answer carried launches;
    /// until a newer heartbeat has come it is not known whether the worker has
    /// executed them.
    pub launches_offered_on: Option<HeartbeatId>,
    /// The (task, attempt) pairs whose launch was ordered under this token.
    pub launched_attempts: HashSet<(String, u64)>,
    /// Stops that were ordered: when, and with how much grace.
    pub stop_commands: HashMap<(String, u64), (Instant, f64)>,
    /// Jobs whose tasks failed here since the last one that was done.
    pub failed_jobs: BTreeSet<String>,
    /// The earliest time of the next direct call.
    pub next_call_at: Instant,
    /// The newest heartbeat, whatever its token. A worker has one in flight at
    /// most: an older one is a late copy, and nobody waits for its answer.
    pub newest_heartbeat: HeartbeatId,
    /// The worker's epoch, and when this controller first saw it.
    pub epoch: Option<(u64, Instant)>,
    /// Since when its reports have arrived while answers and orders have not.
    pub unreachable_since: Option<Instant>,
    /// It was silent for a whole lease: that it reports again does not tell
    /// whether answers reach it. Its reports count once it has answered a direct
    /// call or shown a newer token.
    pub unconfirmed: bool,
}

impl OwnedWorker {
    /// A machine that was claimed under `token` by the commit of this revision.
    pub fn new(fencing_token: u64, claim_revision: u64, now: Instant) -> Self {
        OwnedWorker {
            fencing_token,
            claim_revision,
            status: None,
            last_message_at: now,
            last_heartbeat_at: now,
            claimed_at: now,
            last_answered_at: now,
            in_flight: false,
            has_unanswered_launch: false,
            launches_offered_on: None,
            launched_attempts: HashSet::new(),
            stop_commands: HashMap::new(),
            failed_jobs: BTreeSet::new(),
            next_call_at: now,
            newest_heartbeat: HeartbeatId::default(),
            epoch: None,
            unreachable_since: None,
            unconfirmed: false,
        }
    }

    /// Takes over what does not depend on the token from the claim before this.
    pub fn inherit_from(&mut self, earlier: &OwnedWorker) {
        self.failed_jobs.clone_from(&earlier.failed_jobs);
        self.newest_heartbeat = earlier.newest_heartbeat;
        self.last_heartbeat_at = earlier.last_heartbeat_at;
        self.epoch = earlier.epoch;
        self.unreachable_since = earlier.unreachable_since;
    }

    /// Takes a gap in which this process did not run out of every span of
    /// silence; the proof by silence only comes later by it. The time of the last
    /// answer stays: that a lease ran out in the gap does not show that answers
    /// fail to reach the worker.
    pub fn exclude_pause(&mut self, gap: Duration, now: Instant) {
        for at in [
            &mut self.last_message_at,
            &mut self.last_heartbeat_at,
            &mut self.claimed_at,
        ] {
            *at = shifted_past_pause(*at, gap, now);
        }
        self.unreachable_since = self
            .unreachable_since
            .map(|t| shifted_past_pause(t, gap, now));
        self.epoch = self
            .epoch
            .map(|(s, t)| (s, shifted_past_pause(t, gap, now)));
    }

    /// Notes that a heartbeat has come; false for a late copy, which proves
    /// nothing: neither that the machine is alive, nor what runs there.
    pub fn record_heartbeat(
        &mut self,
        report: &WorkerStatus,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let id = report.heartbeat_id();
        if id <= self.newest_heartbeat {
            return false;
        }
        self.newest_heartbeat = id;
        self.last_heartbeat_at = now;
        self.observe_status(report, lease, now);
        true
    }

    /// Notes what a report of either kind, a heartbeat or an answer to a direct
    /// call, says of the worker's epoch.
    pub fn observe_status(&mut self, report: &WorkerStatus, lease: Duration, now: Instant) {
        self.last_message_at = now;
        let since = |t: Instant| now.saturating_duration_since(t);
        // A worker that receives our answers keeps its epoch, and shows our
        // token within a lease.
        let unshown = report.fencing_token < self.fencing_token && since(self.claimed_at) > lease;
        match self.epoch {
            Some((s, _)) if s < report.epoch => {
                // Whatever was ordered in the earlier epoch is gone, and late
                // orders for it are refused.
                self.has_unanswered_launch = false;
                self.launches_offered_on = None;
                if since(self.last_answered_at) < lease
                    && report.fencing_token == self.fencing_token
                {
                    self.unreachable_since = self.unreachable_since.or(Some(now));
                }
                self.epoch = Some((report.epoch, now));
            }
            Some((_, first)) if !unshown && since(first) > lease.mul_f64(1.25) => {
                self.unreachable_since = None;
            }
            Some(_) => {}
            None => self.epoch = Some((report.epoch, now)),
        }
        // A worker that cannot reach us has no lease, however well our orders
        // reach it: what is started there ends with each epoch.
        let mute = since(self.last_heartbeat_at) > lease;
        if unshown || mute {
            self.unreachable_since = self.unreachable_since.or(Some(now));
        }
    }

    /// Takes a report if it is newer than what is known and was made under
    /// our token; true if it was taken. Safety 3: an older report proves nothing about what has
    /// been launched since.
    pub fn accept_status(&mut self, report: WorkerStatus, is_heartbeat: bool) -> bool {
        if report.fencing_token != self.fencing_token {
            return false;
        }
        if is_heartbeat && self.unconfirmed {
            return false;
        }
        self.unconfirmed = false;
        let id = report.heartbeat_id();
        if let Some(old) = &self.status
            && id <= old.heartbeat_id()
        {
            return false;
        }
        // A heartbeat newer than the one whose answer carried launches was made
        // after that answer was executed or dropped.
        if is_heartbeat && self.launches_offered_on.is_some_and(|offered| id > offered) {
            self.launches_offered_on = None;
        }
        let here: HashSet<(&str, u64)> = report
            .tasks
            .iter()
            .map(|t| (t.task.as_str(), t.attempt))
            .collect();
        self.stop_commands
            .retain(|(task, attempt), _| here.contains(&(task.as_str(), *attempt)));
        self.status = Some(report);
        true
    }

    /// True when the newest report is newer than every launch, so that a task
    /// that it lacks is not on the machine.
    pub(super) fn are_launches_settled(&self) -> bool {
        !self.in_flight && !self.has_unanswered_launch && self.launches_offered_on.is_none()
    }

    /// Notes what the worker is about to be told.
    pub(super) fn record_commands(&mut self, orders: &[WorkerCommand], now: Instant) {
        for order in orders {
            let attempt = (order.task.clone(), order.attempt);
            match order.action {
                CommandAction::Start => _ = self.launched_attempts.insert(attempt),
                CommandAction::Stop => {
                    let grace_s = order.grace_s.unwrap_or(0.0);
                    self.stop_commands.insert(attempt, (now, grace_s));
                }
                CommandAction::Forget => _ = self.launched_attempts.remove(&attempt),
            }
        }
    }

    /// Takes back what was noted of orders that were surely not sent.
    pub(super) fn withdraw_commands(&mut self, orders: &[WorkerCommand]) {
        for order in orders {
            let attempt = (order.task.clone(), order.attempt);
            match order.action {
                CommandAction::Start => _ = self.launched_attempts.remove(&attempt),
                CommandAction::Stop | CommandAction::Forget => {
                    _ = self.stop_commands.remove(&attempt)
                }
            }
        }
    }

    /// Safety 3, last case: this controller has held the machine throughout, the
    /// worker has shown its token, and it has not renewed the lease for its whole
    /// length. No launch may be under way: a hanging machine would execute it.
    pub fn lease_is_over(&self, lease: Duration, margin: Duration, now: Instant) -> bool {
        let span = lease.mul_f64(1.0 + 2.0 * CLOCK_DRIFT) + margin;
        self.status.is_some()
            && self.are_launches_settled()
            && now.saturating_duration_since(self.last_answered_at) > span
            && now.saturating_duration_since(self.last_message_at) > span
    }
}
