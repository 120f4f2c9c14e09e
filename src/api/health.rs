//! `GET /up`: the response to the load balancer's health checks.

use tokio::time::Instant;

use crate::controller::Controller;
use crate::http::Response;

/// Healthy means able to take requests. When no controller reaches the state
/// service, leaving the balancer would only delay the return: all stay, and
/// requests are answered with when to come back.
pub(super) fn health(controller: &Controller) -> Response {
    let state_serves_another = controller
        .peers
        .borrow()
        .is_state_service_reachable_by_peer(controller, Instant::now());
    let is_loaded =
        controller.replica.borrow().loaded && controller.state_sync.last_barrier().is_some();
    if is_loaded && (controller.is_state_service_reachable() || !state_serves_another) {
        Response::empty(200)
    } else {
        Response::unavailable("no contact with the state service", 1)
    }
}
