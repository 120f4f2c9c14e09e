//! The state of the users' interface: submissions that wait for their commit, and
//! the questions that were answered lately.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use tokio::sync::Notify;
use tokio::time::Instant;

use super::PendingSubmission;

/// Submissions that wait, and when jobs were last asked about.
#[derive(Default)]
pub struct Admissions {
    /// Submissions that wait to be accepted.
    pub(crate) pending_submissions: RefCell<VecDeque<PendingSubmission>>,
    /// Wakes the acceptance of submissions.
    pub(crate) acceptance_notify: Notify,
    /// When a question about a job was last answered here.
    pub(crate) last_answered: RefCell<HashMap<String, Instant>>,
}
