//! The HTTP interface: what users, workers, probes and operators ask of a
//! controller.
//!
//! - [`users`]: submission, query and withdrawal of jobs.
//! - [`validation`]: whether a submission is well formed, and can ever run.
//! - [`acceptance`]: the loop that commits accepted submissions in batches.
//! - [`health`]: what the load balancer's probes are told.

pub mod acceptance;
pub mod health;
pub mod users;
pub mod validation;

use std::rc::Rc;
use std::time::Duration;

use health::up;
use users::{query, submit, withdraw};

use crate::accounting;
use crate::http::{Request, Response, ServerLimits, query_value};
use crate::net::Listener;
use crate::node::Node;
use crate::ops;
use crate::wire::Report;

pub use acceptance::{Arrival, run_acceptance};
pub use users::{should_shed, state_of};
pub use validation::{Refusal, check_submission, read_submission};

/// How long a request may take to arrive in full.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(5);

const REPORT_PATH: &str = "/agent/beat";

/// Serves until dropped. Must run inside a `LocalSet`.
pub async fn serve(node: Rc<Node>, listener: Listener) {
    let limits = ServerLimits {
        connections: node.settings.served_connections(),
        idle: node.settings.lease() * 4,
        arrive: ARRIVAL_LIMIT,
        // One connection a machine, while there are connections for all.
        stays: |request| request.path == REPORT_PATH,
    };
    let handler = Rc::new(move |request: Request| -> crate::http::Answer {
        let node = node.clone();
        Box::pin(async move { route(&node, request).await })
    });
    crate::http::serve(listener, limits, handler).await;
}

async fn route(node: &Rc<Node>, request: Request) -> Response {
    if let Some(rest) = request.path.strip_prefix("/submissions/") {
        return route_job(node, &request.method, rest).await;
    }
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/up") => up(node),
        ("POST", REPORT_PATH) => report(node, &request.body).await,
        ("POST", "/submissions") => submit(node, &request.body).await,
        ("GET", "/ops/teams") => ops::teams(node),
        ("GET", "/ops/report") => ops::report(node, &request.query),
        ("GET", "/ops/shares") => accounting::shares(node, query_value(&request.query, "team")),
        ("GET", "/ops/shares/moves") => accounting::moves(node, query_value(&request.query, "id")),
        ("POST", "/ops/shares/move") => accounting::move_share(node, &request.body).await,
        ("GET", path) if path.starts_with("/ops/job/") => {
            ops::job(node, path.trim_start_matches("/ops/job/"))
        }
        (
            _,
            "/up" | REPORT_PATH | "/submissions" | "/ops/teams" | "/ops/report" | "/ops/shares"
            | "/ops/shares/moves" | "/ops/shares/move",
        ) => method_not_allowed(),
        _ => Response::error(404, "no such path"),
    }
}

/// Routes what concerns one job; `rest` is the path behind `/submissions/`.
async fn route_job(node: &Rc<Node>, method: &str, rest: &str) -> Response {
    match (method, rest.strip_suffix("/withdraw")) {
        ("POST", Some(id)) => withdraw(node, id).await,
        ("GET", None) => query(node, rest).await,
        _ => method_not_allowed(),
    }
}

fn method_not_allowed() -> Response {
    Response::error(405, "method not allowed")
}

/// `POST /agent/beat`: a worker's report.
async fn report(node: &Rc<Node>, body: &[u8]) -> Response {
    match serde_json::from_slice::<Report>(body) {
        Ok(report) => node.heartbeat(report).await,
        Err(_) => Response::error(400, "not a report"),
    }
}
