//! The state that a controller keeps of each worker whose machine it owns.
//!
//! A controller owns a machine from the commit of its claim until another controller claims
//! the machine. The state is kept in memory only and starts with the claim. A status of the
//! worker is evidence only for the claim whose fencing tokens contain that of the status.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::failure_record::FailureRecord;
use super::fencing::Fencing;
use super::token_range::TokenRange;
use crate::controller::shifted_past_pause;
use crate::settings::CLOCK_DRIFT;
use crate::state::records::HeartbeatId;
use crate::wire::{CommandAction, MAX_TASKS_PER_MESSAGE, TaskStage, WorkerCommand, WorkerStatus};

/// Time for which a worker must keep one epoch to count as reachable again, in leases. An
/// epoch that lasts longer than a lease, with a margin, shows that the lease was renewed.
const REACHABLE_AGAIN_LEASES: f64 = 1.25;

/// Identifier of one attempt to run a task, as used in the messages of workers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskAttempt {
    /// Id of the task, such as `job-000412/3`.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
}

impl TaskAttempt {
    /// Creates an identifier from the id of a task and the number of the attempt.
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

/// A stop command that was sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopCommand {
    /// Time at which the command was sent.
    pub sent_at: Instant,
    /// Grace period of the stop, in seconds.
    pub grace_s: f64,
}

/// The present epoch of a worker. An epoch ends when the worker's lease expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerEpoch {
    /// Number of the epoch, assigned by the worker.
    pub number: u64,
    /// Time at which this controller first saw the epoch.
    pub first_seen_at: Instant,
}

/// The state that this controller keeps of the worker of a machine that it owns, since the
/// claim with the present fencing token.
#[derive(Debug)]
pub struct OwnedWorker {
    /// Fencing tokens of the claim.
    pub fencing: Fencing,
    /// Revision of the claim's commit. Until the replica has reached this revision, bookings
    /// that an earlier owner acted on may be missing from the replica.
    pub claim_revision: u64,
    /// Newest status that carries a fencing token of the claim; `None` until the first one,
    /// and again after the worker's lease has expired.
    pub status: Option<WorkerStatus>,
    /// Time of the worker's last message, a heartbeat or an answer to a direct call.
    pub last_message_at: Instant,
    /// Time of the last heartbeat. A worker that answers direct calls but cannot open
    /// connections sends no heartbeats, so its lease expires although its answers arrive.
    pub last_heartbeat_at: Instant,
    /// Time of the claim.
    pub claimed_at: Instant,
    /// Time of the last answer with status 200 to a heartbeat; initially the time of the
    /// claim.
    pub last_answered_at: Instant,
    /// Flag set while a direct call is in flight.
    pub in_flight: bool,
    /// Flag set if a direct call with launches was not answered. The worker may execute the
    /// launches late, until it has seen a higher fencing token or begun a new epoch.
    pub has_unanswered_launch: bool,
    /// Newest heartbeat whose answer carried launches. Until a newer heartbeat arrives, it
    /// is unknown whether the worker has executed them.
    pub launches_offered_on: Option<HeartbeatId>,
    /// Attempts whose launch was commanded under this claim.
    pub launched_attempts: HashSet<TaskAttempt>,
    /// Last stop command of each attempt.
    pub stop_commands: HashMap<TaskAttempt, StopCommand>,
    /// Failures of tasks on the machine.
    pub failures: FailureRecord,
    /// Earliest time of the next direct call.
    pub next_call_at: Instant,
    /// Newest heartbeat, with any fencing token. A worker has at most one heartbeat in
    /// flight, so one that is not newer is a late copy, for whose answer the worker no
    /// longer waits.
    pub newest_heartbeat: HeartbeatId,
    /// Present epoch of the worker; `None` until its first message.
    pub epoch: Option<WorkerEpoch>,
    /// Time since which the worker counts as unreachable: its messages may arrive here, but
    /// it does not renew its lease or does not act on what this controller sends. `None`
    /// while the worker counts as reachable.
    pub unreachable_since: Option<Instant>,
    /// Flag set if the worker's lease has expired and it is unknown since then whether answers
    /// reach the worker; new heartbeats alone do not show that they do. The worker's statuses
    /// are accepted again once it has answered a direct call, or shown the fencing token of a
    /// newer claim.
    pub reachability_unconfirmed: bool,
}

impl OwnedWorker {
    /// Creates the state of a worker whose machine was claimed with the given fencing tokens,
    /// in the commit with the given revision.
    pub fn new(tokens: TokenRange, claim_revision: u64, now: Instant) -> Self {
        OwnedWorker {
            fencing: Fencing::new(tokens),
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
            failures: FailureRecord::default(),
            next_call_at: now,
            newest_heartbeat: HeartbeatId::default(),
            epoch: None,
            unreachable_since: None,
            reachability_unconfirmed: false,
        }
    }

    /// Copies the state that does not depend on the fencing token from the state under the
    /// previous claim.
    pub fn inherit_from(&mut self, earlier: &OwnedWorker) {
        self.failures.clone_from(&earlier.failures);
        self.newest_heartbeat = earlier.newest_heartbeat;
        self.last_heartbeat_at = earlier.last_heartbeat_at;
        self.epoch = earlier.epoch;
        self.unreachable_since = earlier.unreachable_since;
    }

    /// Excludes a pause of this process from the measured silence of the worker. This is safe,
    /// as it only delays the proof that the lease has expired. `last_answered_at` is not
    /// changed: if the lease expired during the pause, the worker was not answered, and that
    /// must not count as a failure of answers to reach the worker.
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

    /// Records a heartbeat. Returns false for a late copy, which is not recorded: it proves
    /// neither that the machine is alive now nor which tasks run on the machine.
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

    /// Records the worker's epoch and reachability as shown by the status in a heartbeat or
    /// in an answer to a direct call.
    pub fn observe_status(&mut self, status: &WorkerStatus, lease: Duration, now: Instant) {
        self.last_message_at = now;
        // A worker that receives this controller's answers keeps its epoch, and adopts a
        // fencing token of this claim within a lease after the claim.
        let ignores_token = status.fencing_token < self.fencing.range().first()
            && now.saturating_duration_since(self.claimed_at) > lease;
        match self.epoch {
            Some(known) if known.number < status.epoch => self.begin_epoch(status, lease, now),
            Some(known) if known.number > status.epoch => {
                let (machine, epoch) = (status.machine.as_str(), known.number);
                let shown_epoch = status.epoch;
                tracing::warn!(machine, epoch, shown_epoch, "worker epoch went back");
            }
            Some(known) => {
                let epoch_age = now.saturating_duration_since(known.first_seen_at);
                if !ignores_token && epoch_age > lease.mul_f64(REACHABLE_AGAIN_LEASES) {
                    self.unreachable_since = None;
                }
            }
            None => self.set_epoch(status, now),
        }
        // A worker that answers direct calls but sends no heartbeats cannot renew its lease.
        // When the lease expires, the worker ends all its tasks, including those that direct
        // calls have launched. It is marked as unreachable so that it takes no new work.
        let sends_no_heartbeats = now.saturating_duration_since(self.last_heartbeat_at) > lease;
        if ignores_token || sends_no_heartbeats {
            self.mark_unreachable(now);
        }
    }

    /// Records the start of a newer epoch, which shows that the worker's lease has expired.
    /// If this controller had answered the worker within the last lease, the answers do not
    /// reach the worker, which is marked as unreachable.
    fn begin_epoch(&mut self, status: &WorkerStatus, lease: Duration, now: Instant) {
        // The worker has ended the tasks of the earlier epoch, and refuses late commands
        // for that epoch.
        self.has_unanswered_launch = false;
        self.launches_offered_on = None;
        if let Some(known) = self.epoch
            && status.epoch > known.number + 1
        {
            let (machine, epoch) = (status.machine.as_str(), known.number);
            let shown_epoch = status.epoch;
            tracing::info!(machine, epoch, shown_epoch, "worker epoch jumped");
        }
        let was_answered = now.saturating_duration_since(self.last_answered_at) < lease;
        if was_answered && self.fencing.range().contains(status.fencing_token) {
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

    /// Stores a status if it carries a fencing token of the claim and is newer than the stored
    /// one; returns whether it was stored. Safety 3: an older status proves nothing about tasks
    /// that have been launched since.
    pub fn accept_status(&mut self, status: WorkerStatus, is_heartbeat: bool) -> bool {
        if !self.fencing.range().contains(status.fencing_token) {
            return false;
        }
        if is_heartbeat && self.reachability_unconfirmed {
            return false;
        }
        self.reachability_unconfirmed = false;
        let id = status.heartbeat_id();
        if let Some(newest) = &self.status
            && id <= newest.heartbeat_id()
        {
            return false;
        }
        if !self.is_token_plausible(&status) {
            return false;
        }
        // The worker sends a heartbeat newer than the one whose answer carried launches only
        // after it has executed or dropped that answer.
        if is_heartbeat
            && self
                .launches_offered_on
                .is_some_and(|offered_on| id > offered_on)
        {
            self.launches_offered_on = None;
        }
        self.drop_stops_of_absent_attempts(&status);
        self.status = Some(status);
        true
    }

    /// Checks the fencing token of a status that is newer than the stored one. A worker that
    /// shows a lower token than before may have executed copies of earlier calls meanwhile, so
    /// the status proves nothing until the worker has adopted the present token again. A token
    /// that was never sent is adopted, as the worker refuses all commands with a lower one.
    fn is_token_plausible(&mut self, status: &WorkerStatus) -> bool {
        let (machine, shown) = (status.machine.as_str(), status.fencing_token);
        let newest = self.status.as_ref();
        let shown_before = newest.map_or(0, |newest| newest.fencing_token);
        if shown < shown_before {
            tracing::warn!(machine, shown, shown_before, "worker token went back");
            return false;
        }
        let fencing_token = self.fencing.token();
        if shown > fencing_token {
            tracing::warn!(machine, shown, fencing_token, "worker token unexpected");
            self.fencing.adopt(shown);
        }
        true
    }

    /// Drops the stop commands of attempts that the worker no longer reports.
    fn drop_stops_of_absent_attempts(&mut self, status: &WorkerStatus) {
        let tasks = status.tasks.iter();
        let reported: HashSet<(&str, u64)> = tasks.map(|t| (t.task.as_str(), t.attempt)).collect();
        self.stop_commands
            .retain(|key, _| reported.contains(&(key.task.as_str(), key.attempt)));
    }

    /// Returns whether the effect of every launch is known: none is in flight or unanswered.
    /// A task that is missing from the newest status is then not on the machine.
    pub(super) fn are_launches_settled(&self) -> bool {
        !self.in_flight && !self.has_unanswered_launch && self.launches_offered_on.is_none()
    }

    /// Returns the number of tasks in the newest status that may be told to stop now, besides
    /// those that have been told and have not ended yet.
    pub(super) fn max_new_stops(&self, status: &WorkerStatus) -> usize {
        let max_stops = status.max_stops();
        if max_stops == MAX_TASKS_PER_MESSAGE {
            return max_stops;
        }
        let present = status.tasks.iter().filter(|t| t.stage != TaskStage::Ended);
        let stopping = present.filter(|task| {
            let attempt = TaskAttempt::new(task.task.clone(), task.attempt);
            self.stop_commands.contains_key(&attempt)
        });
        max_stops.saturating_sub(stopping.count())
    }

    /// Records commands that are about to be sent to the worker in a direct call.
    pub(super) fn record_call(&mut self, commands: &[WorkerCommand], now: Instant) {
        self.fencing.record_call(commands);
        self.record_commands(commands, now);
    }

    /// Records commands that are about to be sent to the worker.
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

    /// Reverts [`Self::record_commands`] for launches and stops that were certainly not sent,
    /// so that they are planned again.
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

    /// Returns whether the worker's lease has certainly expired (Safety 3, last case), given
    /// that this controller has owned the machine since its claim. The worker must have shown
    /// the fencing token of the claim, and for longer than the lease this controller must have
    /// neither answered a heartbeat nor received a message. No launch may be in flight: a
    /// machine that hangs could execute it later.
    pub fn has_lease_expired(&self, lease: Duration, margin: Duration, now: Instant) -> bool {
        let expiry = lease.mul_f64(1.0 + 2.0 * CLOCK_DRIFT) + margin;
        self.status.is_some()
            && self.are_launches_settled()
            && now.saturating_duration_since(self.last_answered_at) > expiry
            && now.saturating_duration_since(self.last_message_at) > expiry
    }

    /// Records that the worker's lease has expired. All tasks of the worker have ended with
    /// the lease, so the status and the record of launches are discarded.
    pub(super) fn expire_lease(&mut self) {
        self.status = None;
        self.reachability_unconfirmed = true;
        self.launched_attempts.clear();
    }

    /// Returns whether the worker has sent no message for longer than the limit.
    pub fn is_silent(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_message_at) > limit
    }
}
