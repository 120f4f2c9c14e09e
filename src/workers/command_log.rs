//! Logs the commands that are sent to workers, as events with fixed names, and counts them.
//!
//! One event describes all commands of a kind in one message. The tasks of one attempt of a job
//! are written as ranges, such as `job-000412@2/0-6,9`.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};
use tracing::Level;

use super::owned_worker::OwnedWorker;
use crate::controller::Controller;
use crate::state::records::{JobStatus, MachineLifecycle, NumberSet, split_task};
use crate::state::replica::Replica;
use crate::wire::{CommandAction, WorkerCommand};

/// Number of commands that this run of the controller has sent to workers, and of messages and
/// fencing tokens.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CommandCounts {
    /// Launches in direct calls.
    pub started_by_call: u64,
    /// Launches in answers to heartbeats.
    pub started_by_heartbeat: u64,
    /// Stops.
    pub stopped: u64,
    /// Forgets.
    pub forgotten: u64,
    /// Increments of a fencing token without a claim.
    pub tokens_raised: u64,
    /// Messages whose commands had to wait for a claim with further fencing tokens.
    pub tokens_exhausted: u64,
    /// Direct calls that a worker refused because of their fencing token or epoch.
    pub calls_refused: u64,
    /// Direct calls that were sent and not answered, or not answered with a valid status.
    pub calls_unanswered: u64,
}

/// The message that carries commands to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Channel {
    /// A direct call.
    Call,
    /// The answer to a heartbeat.
    HeartbeatAnswer,
}

impl Channel {
    fn name(self) -> &'static str {
        match self {
            Channel::Call => "call",
            Channel::HeartbeatAnswer => "heartbeat",
        }
    }
}

/// Reason why a stop is commanded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    NotBooked,
    Cancelled,
    JobDone,
    RunStopped,
    MachineReturned,
    MachineOverfull,
}

impl Controller {
    /// Logs and counts the commands that are about to be sent to a worker.
    pub(super) fn log_commands(
        &self,
        machine: &str,
        owned_worker: &OwnedWorker,
        commands: &[WorkerCommand],
        channel: Channel,
    ) {
        self.workers.count_commands(commands, channel);
        if !tracing::enabled!(Level::INFO) {
            return;
        }
        let log = CommandLog {
            machine,
            fencing_token: owned_worker.fencing.token(),
            epoch: owned_worker.epoch.map_or(0, |epoch| epoch.number),
            channel,
            replica: &self.replica.borrow(),
            barrier_age_ms: self.replica_staleness().map(|age| age.as_millis() as u64),
        };
        log.starts(commands);
        if tracing::enabled!(Level::DEBUG) {
            log.stops(commands);
            log.forgets(commands);
        }
    }
}

/// The facts that the events of one message have in common.
struct CommandLog<'a> {
    machine: &'a str,
    fencing_token: u64,
    epoch: u64,
    channel: Channel,
    replica: &'a Replica,
    /// Time since the last read barrier was sent, in milliseconds; `None` before the first one.
    barrier_age_ms: Option<u64>,
}

impl CommandLog<'_> {
    /// Logs launches. A launch is allowed by the booking in the replica, so the event tells
    /// the newest version of the jobs' records.
    fn starts(&self, commands: &[WorkerCommand]) {
        let starts = commands.iter().filter(|c| c.action == CommandAction::Start);
        let tasks = grouped_tasks(starts.clone());
        if tasks.is_empty() {
            return;
        }
        let booked_at = starts.filter_map(|start| self.job_version(start)).max();
        tracing::info!(
            machine = self.machine,
            fencing_token = self.fencing_token,
            epoch = self.epoch,
            channel = self.channel.name(),
            tasks,
            reason = "Booked",
            booked_at,
            revision = self.replica.revision,
            barrier_age_ms = self.barrier_age_ms,
            "tasks started"
        );
    }

    /// Logs stops, one event for each reason.
    fn stops(&self, commands: &[WorkerCommand]) {
        let mut by_reason: BTreeMap<String, Vec<&WorkerCommand>> = BTreeMap::new();
        for stop in commands.iter().filter(|c| c.action == CommandAction::Stop) {
            let reason = format!("{:?}", self.stop_reason(stop));
            by_reason.entry(reason).or_default().push(stop);
        }
        for (reason, stops) in by_reason {
            tracing::debug!(
                machine = self.machine,
                fencing_token = self.fencing_token,
                epoch = self.epoch,
                channel = self.channel.name(),
                tasks = grouped_tasks(stops.into_iter()),
                reason,
                revision = self.replica.revision,
                barrier_age_ms = self.barrier_age_ms,
                "tasks stopped"
            );
        }
    }

    /// Logs forgets. A forget is allowed because the attempt has ended and has no booking.
    fn forgets(&self, commands: &[WorkerCommand]) {
        let forgets = commands
            .iter()
            .filter(|c| c.action == CommandAction::Forget);
        let tasks = grouped_tasks(forgets);
        if tasks.is_empty() {
            return;
        }
        tracing::debug!(
            machine = self.machine,
            fencing_token = self.fencing_token,
            epoch = self.epoch,
            channel = self.channel.name(),
            tasks,
            reason = "Released",
            revision = self.replica.revision,
            barrier_age_ms = self.barrier_age_ms,
            "tasks forgotten"
        );
    }

    fn job_version(&self, command: &WorkerCommand) -> Option<u64> {
        let (job, _) = split_task(&command.task)?;
        self.replica.jobs.get(job).map(|entry| entry.version)
    }

    fn stop_reason(&self, stop: &WorkerCommand) -> StopReason {
        let job = split_task(&stop.task)
            .and_then(|(id, number)| Some((&self.replica.jobs.get(id)?.value, number)));
        let Some((job, number)) = job else {
            return StopReason::NotBooked;
        };
        match job.status {
            JobStatus::Cancelled => return StopReason::Cancelled,
            JobStatus::Done => return StopReason::JobDone,
            JobStatus::Open => {}
        }
        let Some(run) = job.find_run(self.machine, stop.attempt, number) else {
            return StopReason::NotBooked;
        };
        let machine = self.replica.machines.get(self.machine);
        let is_returning = machine.is_some_and(|m| {
            let lifecycle = m.value.lifecycle;
            matches!(
                lifecycle,
                MachineLifecycle::Returning | MachineLifecycle::Gone
            )
        });
        match (run.stop, is_returning) {
            (true, _) => StopReason::RunStopped,
            (false, true) => StopReason::MachineReturned,
            (false, false) => StopReason::MachineOverfull,
        }
    }
}

/// Returns the tasks of commands as text. Tasks of one attempt of a job stand together.
fn grouped_tasks<'a>(commands: impl Iterator<Item = &'a WorkerCommand>) -> String {
    let mut groups: BTreeMap<(&str, u64), NumberSet> = BTreeMap::new();
    for command in commands {
        if let Some((job, number)) = split_task(&command.task) {
            let group = groups.entry((job, command.attempt)).or_default();
            group.insert(number);
        }
    }
    let mut text = String::new();
    for ((job, attempt), numbers) in groups {
        let separator = if text.is_empty() { "" } else { " " };
        let _ = write!(text, "{separator}{job}@{attempt}/{numbers}");
    }
    text
}
