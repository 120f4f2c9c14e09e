//! Counts the commits that wait for the write budget, and decides which class of commits has
//! to let another class go first.

use std::cell::{Cell, RefCell};

use crate::state::budget::{CLASS_COUNT, RequestClass};

/// Number of commits of each class that wait to be sent. The commits themselves are held by
/// their senders.
#[derive(Default)]
pub(super) struct WriteQueue {
    waiting: RefCell<[usize; CLASS_COUNT]>,
    /// Class of the last commit that was sent.
    last_writer: Cell<Option<RequestClass>>,
}

impl WriteQueue {
    /// Counts a commit as waiting until the guard is dropped.
    pub(super) fn enqueue(&self, class: RequestClass) -> QueuedWrite<'_> {
        self.waiting.borrow_mut()[class as usize] += 1;
        QueuedWrite { queue: self, class }
    }

    /// Returns the number of waiting commits of all classes.
    pub(super) fn len(&self) -> usize {
        self.waiting.borrow().iter().sum()
    }

    /// Records the class of the last commit that was sent.
    pub(super) fn record_writer(&self, class: RequestClass) {
        self.last_writer.set(Some(class));
    }

    /// Returns whether a commit of this class must let a waiting commit of another class go
    /// first. In general, the other class is one with precedence. Claims and rounds alternate
    /// instead, so that neither delays the other for long: after a claim, a waiting round
    /// goes before further claims.
    pub(super) fn must_yield(&self, class: RequestClass) -> bool {
        let waiting = self.waiting.borrow();
        let is_waiting = |class: RequestClass| waiting[class as usize] > 0;
        let claim_wrote_last = self.last_writer.get() == Some(RequestClass::Claim);
        match class {
            RequestClass::Claim if claim_wrote_last && is_waiting(RequestClass::Round) => true,
            RequestClass::Round if claim_wrote_last => {
                is_waiting(RequestClass::Accept) || is_waiting(RequestClass::Lease)
            }
            _ => waiting[..class as usize].iter().any(|count| *count > 0),
        }
    }
}

/// Guard that counts a commit as waiting until it is dropped.
pub(super) struct QueuedWrite<'a> {
    queue: &'a WriteQueue,
    class: RequestClass,
}

impl Drop for QueuedWrite<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut()[self.class as usize] -= 1;
    }
}
