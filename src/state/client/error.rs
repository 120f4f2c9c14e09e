//! Defines the errors of requests to the state service.

use crate::http::CallError;

/// Error of a request to the state service.
#[derive(Debug, thiserror::Error)]
pub enum StateClientError {
    /// Failed precondition, with the keys of the records concerned. Nothing was written.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// Refusal by the state service, with the HTTP status, or 0 if no request was sent. The
    /// request was certainly not executed.
    #[error("state service refused the request with status {0}")]
    Refused(u16),
    /// Commit that exceeds the maximum length of a request, with its length in bytes. It
    /// was not sent.
    #[error("commit of {0} bytes exceeds the maximum request size")]
    CommitTooLong(usize),
    /// Missing or unreadable response, with the reason. The request may have been executed,
    /// or may still be.
    #[error("no valid response from the state service: {0}")]
    NoResponse(String),
    /// Commit that exceeds the limits of the state service, with the key of its longest
    /// record. It was certainly not executed, and would be refused again if it were sent
    /// unchanged.
    #[error("commit exceeds the limits of the state service; its longest record is {0}")]
    LimitsExceeded(String),
    /// Expired state lease. The keys that were tied to it are removed.
    #[error("state lease expired")]
    LeaseExpired,
    /// Watch of a revision whose subsequent changes the service no longer has. The state
    /// must be read again.
    #[error("the watched revision is too old")]
    TooOld,
    /// Response that is larger than this controller accepts.
    #[error("response from the state service is too large")]
    TooLarge,
}

impl StateClientError {
    /// Returns whether the state service currently serves no requests of this controller.
    /// Status 429 does not count, as rate limiting ends within milliseconds.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        matches!(self, StateClientError::Refused(status) if *status != 429)
    }
}

impl From<CallError> for StateClientError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(_) => StateClientError::Refused(0),
            CallError::TooLarge => StateClientError::TooLarge,
            other => StateClientError::NoResponse(other.to_string()),
        }
    }
}
