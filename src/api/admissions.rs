//! State of the user API: the queue of submissions that wait for their commit, and, for load
//! shedding, the time at which a query about each job was last answered.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::PendingSubmission;

/// Queue of pending submissions, and the times of the latest query responses.
#[derive(Default)]
pub struct Admissions {
    /// Submissions that wait to be committed, in order of arrival.
    queue: RefCell<VecDeque<PendingSubmission>>,
    /// Wakes the acceptance loop when a submission is enqueued.
    queue_notify: Notify,
    /// Time at which this controller last answered a query about each open job, by job
    /// id.
    last_answered: RefCell<HashMap<String, Instant>>,
}

impl Admissions {
    /// Appends a submission to the queue and wakes the acceptance loop.
    pub(super) fn enqueue(&self, submission: PendingSubmission) {
        self.queue.borrow_mut().push_back(submission);
        self.queue_notify.notify_one();
    }

    /// Waits until a submission is enqueued.
    pub(super) async fn wait_for_submission(&self) {
        self.queue_notify.notified().await;
    }

    /// Returns whether no submission is pending.
    pub(super) fn is_queue_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Removes and returns the first submission of the queue.
    pub(super) fn dequeue(&self) -> Option<PendingSubmission> {
        self.queue.borrow_mut().pop_front()
    }

    /// Puts submissions back at the head of the queue, keeping their order.
    pub(super) fn requeue(&self, batch: impl DoubleEndedIterator<Item = PendingSubmission>) {
        let mut queue = self.queue.borrow_mut();
        for submission in batch.rev() {
            queue.push_front(submission);
        }
    }

    /// Drops all pending submissions. The waiting requests are answered with 503 and
    /// `Retry-After`.
    pub(super) fn reject_all(&self) {
        self.queue.borrow_mut().clear();
    }

    /// Returns the time since this controller last answered a query about the job.
    pub(super) fn time_since_answer(&self, id: &str) -> Option<Duration> {
        let last_answered = self.last_answered.borrow();
        last_answered.get(id).map(Instant::elapsed)
    }

    /// Records that a query about the job has just been answered.
    pub(super) fn record_answer(&self, id: &str) {
        let mut last_answered = self.last_answered.borrow_mut();
        last_answered.insert(id.to_string(), Instant::now());
    }

    /// Removes the times of answers that are at least `max_age` old, so that the table does
    /// not grow without bound.
    pub(crate) fn prune_answers(&self, max_age: Duration) {
        let mut last_answered = self.last_answered.borrow_mut();
        last_answered.retain(|_, answered_at| answered_at.elapsed() < max_age);
    }
}
