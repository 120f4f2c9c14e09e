//! What the load balancer's probes are told.

use tokio::time::Instant;

use crate::controller::Controller;
use crate::http::Response;

/// Healthy means able to take requests. When no controller reaches the state
/// service, leaving the balancer would only delay the return: all stay, and
/// requests are answered with when to come back.
pub(super) fn up(controller: &Controller) -> Response {
    let alone = controller
        .peers
        .borrow()
        .state_serves_another(controller, Instant::now());
    let loaded =
        controller.replica.borrow().loaded && controller.state_sync.last_barrier().is_some();
    if loaded && (controller.is_state_service_reachable() || !alone) {
        Response::empty(200)
    } else {
        Response::unavailable("no contact with the state service", 1)
    }
}
