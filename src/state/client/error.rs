//! Errors of requests to the state service.

use crate::http::CallError;

/// Why the state service did not do as asked.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A guard did not hold: nothing was written.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// Not executed, surely.
    #[error("state service refuses: {0}")]
    Refused(u16),
    /// Longer than a request may be: not sent.
    #[error("a commit of {0} bytes is too long")]
    TooLong(usize),
    /// May have been executed, or may yet be.
    #[error("state service does not answer: {0}")]
    NoAnswer(String),
    /// Surely not executed, nor ever as it is; the longest record's key.
    #[error("a commit beyond the state service's limits: {0}")]
    Limits(String),
    /// The state lease has expired: its keys are gone.
    #[error("state lease expired")]
    NoLease,
    /// The service no longer has the changes since then: read the state anew.
    #[error("the watched revision is too old")]
    TooOld,
    /// A watch that holds more than this controller can take at once.
    #[error("the answer is too large")]
    TooLarge,
}

impl StoreError {
    /// Whether the state service serves this controller nothing at present. 429
    /// is no such refusal: it passes within milliseconds.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        matches!(self, StoreError::Refused(status) if *status != 429)
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(_) => StoreError::Refused(0),
            CallError::TooLarge => StoreError::TooLarge,
            other => StoreError::NoAnswer(other.to_string()),
        }
    }
}
