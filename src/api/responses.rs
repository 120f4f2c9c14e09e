//! The responses to users that several requests share.

use super::validation::SubmissionError;
use crate::http::Response;

/// `Retry-After` in seconds: as soon as the protocol allows.
pub(super) const RETRY_SOON: u32 = 1;

/// `Retry-After` in seconds for a query that is shed.
pub(super) const RETRY_SHED: u32 = 2;

/// `Retry-After` in seconds where an operator has to step in: the maximum that
/// users follow.
pub(super) const RETRY_LATE: u32 = 30;

pub(super) fn state_unavailable() -> Response {
    Response::unavailable("the state service does not answer", RETRY_SOON)
}

/// The job was accepted, but its record cannot be read.
pub(super) fn record_unreadable() -> Response {
    Response::unavailable("the job's record cannot be read", RETRY_LATE)
}

pub(super) fn no_such_job() -> Response {
    Response::error(404, "no such job")
}

/// The response to a submission that is not accepted.
impl From<SubmissionError> for Response {
    fn from(error: SubmissionError) -> Self {
        match error {
            SubmissionError::Malformed(problem) => Response::error(400, &problem),
            SubmissionError::Unsatisfiable(problem) => Response::error(422, &problem),
            SubmissionError::Undecidable => Response::unavailable("not decidable yet", RETRY_SOON),
        }
    }
}
