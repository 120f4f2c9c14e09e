//! What a controller knows of each worker whose machine it owns.
//!
//! A machine is owned from the commit of a claim until another controller claims
//! it. The state here lives in memory only: it counts from the claim on, and what
//! a status proves holds for the fencing token under which the status was made.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::controller::shifted_past_pause;
use crate::settings::CLOCK_DRIFT;
use crate::state::records::HeartbeatId;
use crate::wire::{CommandAction, WorkerCommand, WorkerStatus};

/// A worker counts as reachable again once it has kept one epoch for this many
/// leases: one whole lease, and a margin.
const REACHABLE_AGAIN_LEASES: f64 = 1.25;

/// One attempt of a task, as the messages of its worker name it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskAttempt {
    /// The task, such as `job-000412/3`.
    pub task: String,
    /// The attempt's number.
    pub attempt: u64,
}

impl TaskAttempt {
    /// The attempt of this number at a task.
    pub fn new(task: impl Into<String>, attempt: u64) -> Self {
        TaskAttempt {
            task: task.into(),
            attempt,
        }
    }
}

impl From<&WorkerCommand> for TaskAttempt {
    fn from(command: &WorkerCommand) -> Self {
        TaskAttempt::new(command.task.clone(), command.attempt)
    }
}

/// A stop that a worker was told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopCommand {
    /// When it was sent.
    pub sent_at: Instant,
    /// The grace period that it gave, in seconds.
    pub grace_s: f64,
}

/// The epoch that a worker is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerEpoch {
    /// The worker's number of the epoch.
    pub number: u64,
    /// When this controller first saw it.
    pub first_seen_at: Instant,
}

/// What this controller knows of a worker that it owns, from the claim of its
/// fencing token on.
#[derive(Debug)]
pub struct OwnedWorker {
    /// The fencing token under which this controller claimed the machine.
    pub fencing_token: u64,
    /// The revision of that claim: the replica must have reached it, or bookings
    /// that an earlier owner acted on may be missing from it.
    pub claim_revision: u64,
    /// The newest status that was made under our fencing token.
    pub status: Option<WorkerStatus>,
    /// When the worker last sent anything, a heartbeat or an answer.
    pub last_message_at: Instant,
    /// When the last heartbeat came. A worker that answers direct commands but
    /// opens no connection of its own sends messages, and its lease runs out all
    /// the same.
    pub last_heartbeat_at: Instant,
    /// When this controller claimed it.
    pub claimed_at: Instant,
    /// When a heartbeat was last answered with 200; at first, the time of the claim.
    pub last_answered_at: Instant,
    /// A direct call is under way.
    pub in_flight: bool,
    /// A direct call with launches got no answer: they may be executed late, as
    /// long as the worker has not seen a higher fencing token.
    pub has_unanswered_launch: bool,
    /// The newest heartbeat whose answer carried launches; until a newer heartbeat
    /// has come it is not known whether the worker has executed them.
    pub launches_offered_on: Option<HeartbeatId>,
    /// The attempts whose launch was commanded under this fencing token.
    pub launched_attempts: HashSet<TaskAttempt>,
    /// The last stop that was commanded of each attempt.
    pub stop_commands: HashMap<TaskAttempt, StopCommand>,
    /// Jobs whose tasks failed here since the last one that was done.
    pub failed_jobs: BTreeSet<String>,
    /// The earliest time of the next direct call.
    pub next_call_at: Instant,
    /// The newest heartbeat, whatever its fencing token. A worker has one in flight
    /// at most: an older one is a late copy, and nobody waits for its answer.
    pub newest_heartbeat: HeartbeatId,
    /// The worker's epoch, once it has sent anything.
    pub epoch: Option<WorkerEpoch>,
    /// Since when its messages have arrived while answers and commands have not.
    pub unreachable_since: Option<Instant>,
    /// It was silent for a whole lease: that it sends heartbeats again does not tell
    /// whether answers reach it. Its status counts once it has answered a direct
    /// call or shown a newer fencing token.
    pub unconfirmed: bool,
}

impl OwnedWorker {
    /// The worker of a machine that was claimed under a fencing token by the commit of
    /// a revision.
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

    /// Takes over what does not depend on the fencing token from the claim before this.
    pub fn inherit_from(&mut self, earlier: &OwnedWorker) {
        self.failed_jobs.clone_from(&earlier.failed_jobs);
        self.newest_heartbeat = earlier.newest_heartbeat;
        self.last_heartbeat_at = earlier.last_heartbeat_at;
        self.epoch = earlier.epoch;
        self.unreachable_since = earlier.unreachable_since;
    }

    /// Takes a pause of this process out of every span of silence; the proof by
    /// silence only comes later by it. The time of the last answer stays: that a
    /// lease ran out in the pause does not show that answers fail to reach the
    /// worker.
    pub fn exclude_pause(&mut self, pause: Duration, now: Instant) {
        for at in [
            &mut self.last_message_at,
            &mut self.last_heartbeat_at,
            &mut self.claimed_at,
        ] {
            *at = shifted_past_pause(*at, pause, now);
        }
        if let Some(since) = &mut self.unreachable_since {
            *since = shifted_past_pause(*since, pause, now);
        }
        if let Some(epoch) = &mut self.epoch {
            epoch.first_seen_at = shifted_past_pause(epoch.first_seen_at, pause, now);
        }
    }

    /// Records that a heartbeat has come; false for a late copy, which proves
    /// nothing: neither that the machine is alive, nor what runs there.
    #[must_use]
    pub fn record_heartbeat(
        &mut self,
        status: &WorkerStatus,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let id = status.heartbeat_id();
        if id <= self.newest_heartbeat {
            return false;
        }
        self.newest_heartbeat = id;
        self.last_heartbeat_at = now;
        self.observe_status(status, lease, now);
        true
    }

    /// Records what a status, of a heartbeat or of an answer to a direct call, says of
    /// the worker's epoch, and whether our answers reach the worker.
    pub fn observe_status(&mut self, status: &WorkerStatus, lease: Duration, now: Instant) {
        self.last_message_at = now;
        // A worker that receives our answers keeps its epoch, and shows our
        // token within a lease.
        let ignores_token = status.fencing_token < self.fencing_token
            && now.saturating_duration_since(self.claimed_at) > lease;
        match self.epoch {
            Some(known) if known.number < status.epoch => self.begin_epoch(status, lease, now),
            Some(known) => {
                let span = now.saturating_duration_since(known.first_seen_at);
                if !ignores_token && span > lease.mul_f64(REACHABLE_AGAIN_LEASES) {
                    self.unreachable_since = None;
                }
            }
            None => self.set_epoch(status, now),
        }
        // A worker that cannot reach us has no lease, however well our commands
        // reach it: what is started there ends with each epoch.
        let sends_no_heartbeats = now.saturating_duration_since(self.last_heartbeat_at) > lease;
        if ignores_token || sends_no_heartbeats {
            self.mark_unreachable(now);
        }
    }

    /// A newer epoch: the worker's lease has run out since the last status.
    fn begin_epoch(&mut self, status: &WorkerStatus, lease: Duration, now: Instant) {
        // Whatever was commanded in the earlier epoch is gone, and late
        // commands for it are refused.
        self.has_unanswered_launch = false;
        self.launches_offered_on = None;
        let was_answered = now.saturating_duration_since(self.last_answered_at) < lease;
        if was_answered && status.fencing_token == self.fencing_token {
            self.mark_unreachable(now);
        }
        self.set_epoch(status, now);
    }

    fn set_epoch(&mut self, status: &WorkerStatus, now: Instant) {
        self.epoch = Some(WorkerEpoch {
            number: status.epoch,
            first_seen_at: now,
        });
    }

    fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Accepts a status as the newest if it is newer than what is known and was made
    /// under our fencing token; true if it was accepted. Safety 3: an older status
    /// proves nothing about what has been launched since.
    pub fn accept_status(&mut self, status: WorkerStatus, is_heartbeat: bool) -> bool {
        if status.fencing_token != self.fencing_token {
            return false;
        }
        if is_heartbeat && self.unconfirmed {
            return false;
        }
        self.unconfirmed = false;
        let id = status.heartbeat_id();
        if let Some(newest) = &self.status
            && id <= newest.heartbeat_id()
        {
            return false;
        }
        // A heartbeat newer than the one whose answer carried launches was made
        // after that answer was executed or dropped.
        if is_heartbeat && self.launches_offered_on.is_some_and(|offer| id > offer) {
            self.launches_offered_on = None;
        }
        self.forget_stops_of_absent(&status);
        self.status = Some(status);
        true
    }

    /// Forgets the stops of attempts that the worker no longer reports.
    fn forget_stops_of_absent(&mut self, status: &WorkerStatus) {
        let tasks = status.tasks.iter();
        let present: HashSet<(&str, u64)> = tasks.map(|t| (t.task.as_str(), t.attempt)).collect();
        self.stop_commands
            .retain(|key, _| present.contains(&(key.task.as_str(), key.attempt)));
    }

    /// True when the newest status is newer than every launch, so that a task
    /// that it lacks is not on the machine.
    pub(super) fn are_launches_settled(&self) -> bool {
        !self.in_flight && !self.has_unanswered_launch && self.launches_offered_on.is_none()
    }

    /// Records what the worker is about to be told.
    pub(super) fn record_commands(&mut self, commands: &[WorkerCommand], now: Instant) {
        for command in commands {
            let attempt = TaskAttempt::from(command);
            match command.action {
                CommandAction::Start => _ = self.launched_attempts.insert(attempt),
                CommandAction::Stop => {
                    let stop = StopCommand {
                        sent_at: now,
                        grace_s: command.grace_s.unwrap_or(0.0),
                    };
                    self.stop_commands.insert(attempt, stop);
                }
                CommandAction::Forget => _ = self.launched_attempts.remove(&attempt),
            }
        }
    }

    /// Takes back what was recorded of commands that were surely not sent.
    pub(super) fn withdraw_commands(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            let attempt = TaskAttempt::from(command);
            match command.action {
                CommandAction::Start => _ = self.launched_attempts.remove(&attempt),
                CommandAction::Stop | CommandAction::Forget => {
                    _ = self.stop_commands.remove(&attempt)
                }
            }
        }
    }

    /// Safety 3, last case: this controller has owned the machine throughout, the
    /// worker has shown its fencing token, and this controller has not renewed the
    /// lease for its whole length. No launch may be under way: a hanging machine would
    /// execute it.
    pub fn lease_is_over(&self, lease: Duration, margin: Duration, now: Instant) -> bool {
        let span = lease.mul_f64(1.0 + 2.0 * CLOCK_DRIFT) + margin;
        self.status.is_some()
            && self.are_launches_settled()
            && now.saturating_duration_since(self.last_answered_at) > span
            && now.saturating_duration_since(self.last_message_at) > span
    }

    /// Records that the worker's lease is over, and with it all that ran there: its
    /// next status counts as a new beginning.
    pub(super) fn expire_lease(&mut self) {
        self.status = None;
        self.unconfirmed = true;
        self.launched_attempts.clear();
    }

    /// Whether nothing has come from the worker for longer than a span.
    pub fn is_silent(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_message_at) > limit
    }
}
