//! Defines the errors of requests to the state service.

use crate::http::CallError;

/// Error of a request to the state service.
#[derive(Debug, thiserror::Error)]
pub enum StateClientError {
    /// A precondition of the commit was not met, so nothing was written. The value lists the
    /// keys whose versions differ.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// The state service refused the request with this HTTP status, or the request could not
    /// be sent (status 0). The request was certainly not executed.
    #[error("state service refused the request with status {0}")]
    Refused(u16),
    /// The commit, of this length in bytes, exceeds the maximum length of a request. It was
    /// not sent.
    #[error("commit of {0} bytes exceeds the maximum request size")]
    CommitTooLong(usize),
    /// The response did not arrive or is unreadable, for this reason. The request may have been
    /// executed already, or may be executed later.
    #[error("no valid response from the state service: {0}")]
    NoResponse(String),
    /// The commit exceeds the limits of the state service. The value is the key of the
    /// longest record in the commit. The commit was certainly not executed, and would be
    /// refused again if it were sent unchanged.
    #[error("commit exceeds the limits of the state service; its longest record is {0}")]
    LimitsExceeded(String),
    /// The state lease has expired. The state service has removed the keys that were written
    /// with the lease.
    #[error("state lease expired")]
    LeaseExpired,
    /// The state service no longer has all changes after the watched revision. The caller has
    /// to read the whole state again.
    #[error("the watched revision is too old")]
    TooOld,
    /// The response is larger than this controller accepts.
    #[error("response from the state service is too large")]
    TooLarge,
}

impl StateClientError {
    /// Returns whether the error indicates that the state service currently serves no requests
    /// of this controller. A response with status 429 does not, as rate limiting ends within
    /// milliseconds.
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
