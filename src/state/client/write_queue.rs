//! The commits that wait for the write budget, and which class of them goes first.

use std::cell::{Cell, RefCell};

use crate::state::budget::{CLASSES, RequestClass};

/// How many commits of each class wait to be sent.
#[derive(Default)]
pub(super) struct WriteQueue {
    waiting: RefCell<[usize; CLASSES]>,
    last_writer: Cell<Option<RequestClass>>,
}

impl WriteQueue {
    /// Counts a commit as waiting until the guard is dropped.
    pub(super) fn enqueue(&self, class: RequestClass) -> QueuedWrite<'_> {
        self.waiting.borrow_mut()[class as usize] += 1;
        QueuedWrite { queue: self, class }
    }

    /// How many commits wait, of all classes.
    pub(super) fn len(&self) -> usize {
        self.waiting.borrow().iter().sum()
    }

    /// Remembers the class that has written last.
    pub(super) fn record_writer(&self, class: RequestClass) {
        self.last_writer.set(Some(class));
    }

    /// Whether a class that goes before this one waits to write. Claims and rounds
    /// take turns: neither may hold up the other for long.
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

/// Counts a commit as waiting for as long as it lives.
pub(super) struct QueuedWrite<'a> {
    queue: &'a WriteQueue,
    class: RequestClass,
}

impl Drop for QueuedWrite<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut()[self.class as usize] -= 1;
    }
}
