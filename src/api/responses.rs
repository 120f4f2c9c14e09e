//! Responses to users that several request handlers share.

use super::validation::SubmissionError;
use crate::http::Response;

/// Shortest `Retry-After` that the protocol allows, in seconds.
pub(super) const MIN_RETRY_AFTER_S: u32 = 1;

/// `Retry-After` for a query that is shed, in seconds.
pub(super) const SHED_RETRY_AFTER_S: u32 = 2;

/// `Retry-After` for a failure that an operator has to resolve, in seconds. Users do not
/// wait for longer than this, even if a response asks for it.
pub(super) const MAX_RETRY_AFTER_S: u32 = 30;

/// Returns 503 for a request that needs the state service while it is unreachable.
pub(super) fn state_unavailable() -> Response {
    Response::unavailable("the state service does not answer", MIN_RETRY_AFTER_S)
}

/// Returns 503 for a job that was accepted, but whose record cannot be read.
pub(super) fn record_unreadable() -> Response {
    Response::unavailable("the job's record cannot be read", MAX_RETRY_AFTER_S)
}

/// Returns 404 for a job that was never accepted.
pub(super) fn no_such_job() -> Response {
    Response::error(404, "no such job")
}

/// Converts the reason for rejecting a submission into the response to the user.
impl From<SubmissionError> for Response {
    fn from(error: SubmissionError) -> Self {
        match error {
            SubmissionError::Malformed(problem) => Response::error(400, &problem),
            SubmissionError::Unsatisfiable(problem) => Response::error(422, &problem),
            SubmissionError::Undecidable => {
                Response::unavailable("not decidable yet", MIN_RETRY_AFTER_S)
            }
        }
    }
}
