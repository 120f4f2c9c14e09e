//! Introspection of a running controller for operators: the state of a job, the
//! teams, and what is unfinished or late, each with the one reason.
//!
//! Read-only, answered from this controller's replica alone, and bounded in
//! size: such a request costs the state service nothing and cannot slow acceptance. `messages` holds the responses, `reason` why a job is not over,
//! `snapshot` puts the responses together.

mod messages;
mod reason;
mod snapshot;

use snapshot::Snapshot;

use crate::controller::Controller;
use crate::http::{Response, query_value};

pub use messages::{FleetReport, JobDetails, RunDetails, TeamDetails, UnfinishedJob};

/// The response to `GET /ops/job/{id}`: a [`JobDetails`].
pub fn job(controller: &Controller, id: &str) -> Response {
    match Snapshot::new(controller).job(id) {
        Some(details) => Response::json(200, &details),
        None => Response::error(404, "no such job"),
    }
}

/// The response to `GET /ops/teams`: a [`TeamDetails`] for each team.
pub fn teams(controller: &Controller) -> Response {
    Response::json(200, &Snapshot::new(controller).teams())
}

/// The response to `GET /ops/report`: a page of the [`FleetReport`], with jobs in
/// the order of their ids, beginning after the one that the query names.
pub fn report(controller: &Controller, query: &str) -> Response {
    let after = query_value(query, "after").unwrap_or("");
    Response::json(200, &Snapshot::new(controller).report(after))
}
