//! `GET /up`: responds to the health checks of the load balancer.

use tokio::time::Instant;

use crate::controller::Controller;
use crate::http::Response;

/// Returns 200 if this controller can serve requests, and 503 otherwise.
///
/// If no controller can reach the state service, all controllers that have loaded the
/// state report healthy: removing them from the load balancer would only delay the
/// recovery. Until the state service is reachable again, controllers answer the requests that
/// need it with 503 and `Retry-After`.
pub(super) fn health(controller: &Controller) -> Response {
    let is_reachable_by_peer = controller
        .peers
        .borrow()
        .is_state_service_reachable_by_peer(controller, Instant::now());
    let is_loaded =
        controller.replica.borrow().loaded && controller.state_sync.last_barrier().is_some();
    if is_loaded && (controller.is_state_service_reachable() || !is_reachable_by_peer) {
        Response::empty(200)
    } else {
        Response::unavailable("no contact with the state service", 1)
    }
}
