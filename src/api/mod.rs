//! HTTP API of a controller for users, workers, health checks and operators.
//!
//! - [`submission`], [`query`] and [`cancellation`] of jobs, for users.
//! - [`validation`]: checks that a submission is well formed, and that its job can run.
//! - [`acceptance`]: the loop that commits accepted submissions in batches.
//! - [`admissions`]: the queue of pending submissions.
//! - [`responses`]: responses to users that several request handlers share.
//! - [`health`]: the response to health checks of the load balancer.

pub mod acceptance;
pub mod admissions;
pub mod cancellation;
pub mod health;
pub mod query;
pub mod responses;
pub mod submission;
pub mod validation;

use std::rc::Rc;
use std::time::Duration;

use cancellation::withdraw;
use health::health;
use query::query;
use submission::submit;

use crate::accounting;
use crate::controller::Controller;
use crate::http::{BODY_LIMIT, Request, Response, ServerLimits, query_value};
use crate::introspection;
use crate::net::Listener;
use crate::state::client::StateClientError;
use crate::wire::WorkerStatus;

pub use acceptance::{PendingSubmission, run_acceptance};
pub use admissions::Admissions;
pub use query::{job_state, should_shed_query};
pub use validation::{SubmissionError, check_submission, read_submission};

/// Time within which a request must arrive in full, and within which the client must read
/// the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Path of the workers' heartbeats.
const HEARTBEAT_PATH: &str = "/agent/beat";

/// Serves users, workers, health checks and operators until dropped. Must run inside
/// a `LocalSet`.
pub async fn serve(controller: Rc<Controller>, listener: Listener) {
    let limits = ServerLimits {
        max_connections: controller.settings.served_connections(),
        max_body_bytes: BODY_LIMIT,
        idle_timeout: controller.settings.worker_lease() * 4,
        request_timeout: REQUEST_TIMEOUT,
        // Workers' connections are kept open in preference to others. There is one for each
        // machine, as long as the connection limit allows it.
        is_preferred: |request| request.path == HEARTBEAT_PATH,
    };
    let handler = Rc::new(move |request: Request| -> crate::http::ResponseFuture {
        let controller = controller.clone();
        Box::pin(async move { route(&controller, request).await })
    });
    crate::http::serve(listener, limits, handler).await;
}

/// Routes a request to its handler.
async fn route(controller: &Rc<Controller>, request: Request) -> Response {
    if let Some(subpath) = request.path.strip_prefix("/submissions/") {
        return route_job(controller, &request.method, subpath).await;
    }
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/up") => health(controller),
        ("POST", HEARTBEAT_PATH) => heartbeat(controller, &request.body).await,
        ("POST", "/submissions") => submit(controller, &request.body).await,
        ("GET", "/ops/teams") => introspection::teams(controller),
        ("GET", "/ops/report") => introspection::report(controller, &request.query),
        ("GET", "/ops/shares") => {
            accounting::shares(controller, query_value(&request.query, "team"))
        }
        ("GET", "/ops/shares/moves") => {
            accounting::moves(controller, query_value(&request.query, "id"))
        }
        ("POST", "/ops/shares/move") => accounting::move_share(controller, &request.body).await,
        ("GET", path) if path.starts_with("/ops/job/") => {
            introspection::job(controller, path.trim_start_matches("/ops/job/"))
        }
        (
            _,
            "/up" | HEARTBEAT_PATH | "/submissions" | "/ops/teams" | "/ops/report" | "/ops/shares"
            | "/ops/shares/moves" | "/ops/shares/move",
        ) => method_not_allowed(),
        _ => Response::error(404, "no such path"),
    }
}

/// Routes a request about one job. `subpath` is the path after `/submissions/`.
async fn route_job(controller: &Rc<Controller>, method: &str, subpath: &str) -> Response {
    match (method, subpath.strip_suffix("/withdraw")) {
        ("POST", Some(id)) => withdraw(controller, id).await,
        ("GET", None) => query(controller, subpath).await,
        _ => method_not_allowed(),
    }
}

/// Returns 405 for a known path that does not support the request's method.
fn method_not_allowed() -> Response {
    Response::error(405, "method not allowed")
}

/// Handles `POST /agent/beat`, a worker's heartbeat.
async fn heartbeat(controller: &Rc<Controller>, body: &[u8]) -> Response {
    match WorkerStatus::parse(body) {
        Ok(status) => controller.heartbeat(status).await,
        Err(_) => Response::error(400, "not a report"),
    }
}

/// Returns whether retrying a user's commit is futile for now, because the state
/// service is unreachable from this controller or would refuse the same commit again.
fn is_retry_futile(controller: &Controller, error: &StateClientError) -> bool {
    let exceeds_limits = matches!(
        error,
        StateClientError::LimitsExceeded(_) | StateClientError::CommitTooLong(_)
    );
    exceeds_limits || error.is_refusal() || !controller.is_state_service_reachable()
}
