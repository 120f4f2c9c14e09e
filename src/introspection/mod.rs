//! What operators may ask a running controller: the state of a job, the teams,
//! and what is unfinished or late, with the one reason each.
//!
//! Read-only, answered from this controller's replica alone, and bounded in
//! size: a question here costs the state service nothing and cannot slow
//! acceptance. `messages` holds the responses, `reason` why a job is not over,
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
        Some(story) => Response::json(200, &story),
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
