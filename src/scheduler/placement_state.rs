//! State about waiting jobs that is shared between the placement loop and other tasks of
//! the controller.

use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::wait_states::{WaitReason, WaitState};
use super::{FirstSeenTimes, queue};
use crate::state::records::Job;
use crate::state::replica::Replica;
use crate::wire::JobKind;

/// Stall of a job.
#[derive(Debug)]
struct Stall {
    /// Time since which the job has been stalled.
    since: Instant,
    /// The last start before the stall. A job that is started and fails at once may be stalled
    /// again before this controller has seen it on a machine.
    last_start: LastStart,
}

/// The latest start of a job's tasks, as far as its record shows it.
#[derive(Debug, PartialEq, Eq)]
struct LastStart {
    attempt: u64,
    next_task: u32,
}

impl LastStart {
    fn of(job: &Job) -> Self {
        LastStart {
            attempt: job.attempt,
            next_task: job.next_task,
        }
    }
}

/// Wait states of jobs, and the wake-up signal of the placement loop.
#[derive(Debug, Default)]
pub struct PlacementState {
    /// Wait states of jobs that a placement decision has left waiting, by job id.
    wait_states: RefCell<HashMap<String, WaitState>>,
    /// Times at which this controller first saw each open job, by job id.
    first_seen: RefCell<FirstSeenTimes>,
    /// Present stalls of jobs, by job id. An array or a gang is stalled while it has waiting
    /// tasks and none on a machine, a service while it lacks a replica.
    stalls: RefCell<HashMap<String, Stall>>,
    /// Signal to the placement loop that something it depends on has changed.
    notify: Notify,
}

impl PlacementState {
    /// Wakes the placement loop. If the loop is not waiting, its next wait ends
    /// immediately.
    pub fn wake(&self) {
        self.notify.notify_one();
    }

    /// Waits until the placement loop is woken.
    pub(super) async fn notified(&self) {
        self.notify.notified().await;
    }

    /// Returns the times at which this controller first saw each open job.
    pub fn first_seen(&self) -> Ref<'_, FirstSeenTimes> {
        self.first_seen.borrow()
    }

    /// Returns the time since this controller first saw a job, in seconds, or 0 if it has
    /// not seen the job.
    pub fn age_s(&self, job: &str, now: Instant) -> f64 {
        queue::age_s(&self.first_seen.borrow(), job, now)
    }

    /// Records `now` as the time at which an open job was first seen, if the job is new.
    pub(super) fn observe_job(&self, job: &str, now: Instant) {
        let mut first_seen = self.first_seen.borrow_mut();
        if !first_seen.contains_key(job) {
            first_seen.insert(job.to_string(), now);
        }
    }

    /// Records since when a job has been stalled, or that it is not stalled.
    pub(super) fn observe_stall(&self, id: &str, job: &Job, now: Instant) {
        let mut stalls = self.stalls.borrow_mut();
        if !is_stalled(job) {
            stalls.remove(id);
            return;
        }
        let last_start = LastStart::of(job);
        let known = stalls.get(id);
        if known.is_none_or(|stall| stall.last_start != last_start) {
            let stall = Stall {
                since: now,
                last_start,
            };
            stalls.insert(id.to_string(), stall);
        }
    }

    /// Returns the time for which a job has been stalled, as seen by this controller.
    pub fn stalled_for(&self, job: &str, now: Instant) -> Duration {
        let stalls = self.stalls.borrow();
        let since = stalls.get(job).map(|stall| stall.since);
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Removes the times of jobs that are no longer open.
    pub(super) fn retain_open_jobs(&self, replica: &Replica) {
        let is_open = |job: &String| replica.jobs.get(job).is_some_and(|e| e.value.is_open());
        self.first_seen.borrow_mut().retain(|job, _| is_open(job));
        self.stalls.borrow_mut().retain(|job, _| is_open(job));
    }

    /// Returns the wait state of a job, if a decision has made it wait.
    pub fn wait_state(&self, job: &str) -> Option<WaitState> {
        self.wait_states.borrow().get(job).copied()
    }

    /// Records why a job waits. The wait time counts from the first of the successive
    /// decisions with this reason. [`WaitReason::NoCapacity`] does not replace a refusal by
    /// the cloud.
    pub fn record_wait_reason(&self, job: &str, reason: WaitReason, now: Instant) {
        let mut wait_states = self.wait_states.borrow_mut();
        match wait_states.get(job) {
            Some(known) if known.reason == reason => {}
            // The refusal, recorded by the controller that requests machines, explains why
            // no machine has capacity.
            Some(known)
                if known.reason == WaitReason::RefusedByCloud
                    && reason == WaitReason::NoCapacity => {}
            _ => {
                tracing::debug!(job, ?reason, "job waits");
                let since = now;
                wait_states.insert(job.to_string(), WaitState { reason, since });
            }
        }
    }

    /// Removes the wait state of a job that no longer waits.
    pub(super) fn clear_wait_reason(&self, job: &str) {
        self.wait_states.borrow_mut().remove(job);
    }

    /// Removes the wait states of all jobs without waiting tasks.
    pub(super) fn retain_waiting_jobs(&self, replica: &Replica) {
        let is_waiting = |job: &String| {
            let entry = replica.jobs.get(job);
            entry.is_some_and(|entry| entry.value.waiting_count() > 0)
        };
        self.wait_states
            .borrow_mut()
            .retain(|job, _| is_waiting(job));
    }
}

/// Returns whether a job waits and makes no progress meanwhile, or is a service that lacks a
/// replica.
fn is_stalled(job: &Job) -> bool {
    let is_service = job
        .spec
        .as_ref()
        .is_some_and(|spec| spec.kind == JobKind::Service);
    job.waiting_count() > 0 && (is_service || job.booked_count() == 0)
}
