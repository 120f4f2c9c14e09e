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

use crate::http::{Request, Response, ServerLimits};
use crate::net::Listener;
use crate::node::Node;
use crate::wire::Report;

pub use acceptance::{Arrival, keep_accepting};
pub use users::{sheds, state_of};
pub use validation::{Refusal, check_submission, read_submission};

use health::up;
use users::{poll, submit, withdraw};

pub async fn serve(node: Rc<Node>, listener: Listener) {
    let limits = ServerLimits {
        connections: node.settings.served_connections(),
        idle: node.settings.lease() * 4,
        arrive: Duration::from_secs(5),
        // One report connection a machine, for as long as it reports here.
        stays: |request| request.path == "/agent/beat",
    };
    let handler = Rc::new(move |request: Request| -> crate::http::Answer {
        let node = node.clone();
        Box::pin(async move { route(&node, request).await })
    });
    crate::http::serve(listener, limits, handler).await;
}

async fn route(node: &Rc<Node>, request: Request) -> Response {
    let method = request.method.as_str();
    let path = request.path.as_str();
    let allowed = |m: &str| method == m;
    match path {
        "/up" if allowed("GET") => up(node),
        "/agent/beat" if allowed("POST") => match serde_json::from_slice::<Report>(&request.body) {
            Ok(report) => node.beat(report).await,
            Err(_) => Response::error(400, "not a report"),
        },
        "/submissions" if allowed("POST") => submit(node, &request.body).await,
        "/ops/teams" if allowed("GET") => crate::ops::teams(node),
        "/ops/report" if allowed("GET") => crate::ops::report(node, &request.query),
        _ if path.starts_with("/ops/job/") && allowed("GET") => {
            crate::ops::job(node, path.trim_start_matches("/ops/job/"))
        }
        "/ops/teams" | "/ops/report" => Response::error(405, "method not allowed"),
        "/up" | "/agent/beat" | "/submissions" => Response::error(405, "method not allowed"),
        _ => match path.strip_prefix("/submissions/") {
            Some(rest) => match rest.strip_suffix("/withdraw") {
                Some(id) if allowed("POST") => withdraw(node, id).await,
                None if allowed("GET") => poll(node, rest).await,
                _ => Response::error(405, "method not allowed"),
            },
            None => Response::error(404, "no such path"),
        },
    }
}
