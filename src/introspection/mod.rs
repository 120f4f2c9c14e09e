//! Introspection of a running controller for operators: the state of a job, the resource usage
//! of the teams, and the unfinished and late jobs, each with the reason why it is unfinished.
//!
//! The requests change nothing, are answered from this controller's own memory, and have
//! responses of bounded size, with short lines. Therefore they put no load on the state service and cannot slow
//! down the acceptance of jobs.
//!
//! - `messages`: responses as JSON messages.
//! - `reason`: reason why a job is unfinished.
//! - `snapshot`: builds the responses.

mod messages;
mod reason;
mod snapshot;

use snapshot::Snapshot;

use crate::controller::Controller;
use crate::http::{Response, query_value};

pub use messages::{FleetReport, JobDetails, RunDetails, TeamDetails, UnfinishedJob};

/// Returns the response to `GET /ops/job/{id}`: a [`JobDetails`].
pub fn job(controller: &Controller, id: &str) -> Response {
    match Snapshot::new(controller).job(id) {
        Some(details) => Response::json_lines(200, &details),
        None => Response::error(404, "no such job"),
    }
}

/// Returns the response to `GET /ops/teams`: a [`TeamDetails`] for each team.
pub fn teams(controller: &Controller) -> Response {
    Response::json_lines(200, &Snapshot::new(controller).teams())
}

/// Returns the response to `GET /ops/report`: a [`FleetReport`] with one page of jobs in the
/// order of their ids, after the id in the query parameter `after`.
pub fn report(controller: &Controller, query: &str) -> Response {
    let after = query_value(query, "after").unwrap_or("");
    Response::json_lines(200, &Snapshot::new(controller).report(after))
}
