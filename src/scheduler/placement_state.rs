//! What placement remembers of waiting jobs outside its rounds.

use std::cell::{Ref, RefCell};
use std::collections::HashMap;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::wait_states::{WaitReason, WaitState};
use super::{FirstSeenTimes, queue};
use crate::state::replica::Replica;

/// Why and since when jobs wait, and the wake-up of the placement loop.
#[derive(Debug, Default)]
pub struct PlacementState {
    /// Why each open job waits, as the decision that made it wait said.
    wait_states: RefCell<HashMap<String, WaitState>>,
    /// When each open job was first seen here.
    first_seen: RefCell<FirstSeenTimes>,
    /// Wakes the placement loop: something that it depends on has changed.
    notify: Notify,
}

impl PlacementState {
    /// Wakes the placement loop, now or when it next waits.
    pub fn wake(&self) {
        self.notify.notify_one();
    }

    /// Waits until the placement loop is woken.
    pub(super) async fn woken(&self) {
        self.notify.notified().await;
    }

    /// When each open job was first seen here.
    pub fn first_seen(&self) -> Ref<'_, FirstSeenTimes> {
        self.first_seen.borrow()
    }

    /// How many seconds a job has been known here; 0 if it is not known.
    pub fn age_s(&self, job: &str, now: Instant) -> f64 {
        queue::age_s(&self.first_seen.borrow(), job, now)
    }

    /// Records that an open job is known, since `now` if it is new.
    pub(super) fn observe_job(&self, job: &str, now: Instant) {
        let mut first_seen = self.first_seen.borrow_mut();
        if !first_seen.contains_key(job) {
            first_seen.insert(job.to_string(), now);
        }
    }

    /// Drops the times of jobs that are no longer open.
    pub(super) fn retain_open_jobs(&self, replica: &Replica) {
        let is_open = |job: &String| replica.jobs.get(job).is_some_and(|e| e.value.is_open());
        self.first_seen.borrow_mut().retain(|job, _| is_open(job));
    }

    /// Why a job waits and since when, if a decision has made it wait.
    pub fn wait_state(&self, job: &str) -> Option<WaitState> {
        self.wait_states.borrow().get(job).copied()
    }

    /// Records why a job waits. The time counts from the first decision with this
    /// reason. A refusal by the cloud is kept over [`WaitReason::NoRoom`].
    pub fn record_wait_reason(&self, job: &str, reason: WaitReason, now: Instant) {
        let mut wait_states = self.wait_states.borrow_mut();
        match wait_states.get(job) {
            Some(known) if known.reason == reason => {}
            // The controller that rents knows better why no machine has capacity.
            Some(known) if known.reason == WaitReason::Refused && reason == WaitReason::NoRoom => {}
            _ => {
                tracing::debug!(job, ?reason, "job waits");
                let since = now;
                wait_states.insert(job.to_string(), WaitState { reason, since });
            }
        }
    }

    /// Drops the reason of a job that waits no longer.
    pub(super) fn clear_wait_reason(&self, job: &str) {
        self.wait_states.borrow_mut().remove(job);
    }

    /// Drops the reasons of all jobs without waiting tasks.
    pub(super) fn retain_waiting_jobs(&self, replica: &Replica) {
        let is_waiting = |job: &String| {
            let entry = replica.jobs.get(job);
            entry.is_some_and(|entry| entry.value.waiting() > 0)
        };
        self.wait_states
            .borrow_mut()
            .retain(|job, _| is_waiting(job));
    }
}
