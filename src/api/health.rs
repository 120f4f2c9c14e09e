//! What the load balancer's probes are told.

use tokio::time::Instant;

use crate::http::Response;
use crate::node::Node;

/// Healthy means able to take requests. When no controller reaches the state
/// service, leaving the balancer would only delay the return: all stay, and
/// requests are answered with when to come back.
pub(super) fn up(node: &Node) -> Response {
    let alone = node
        .peers
        .borrow()
        .state_serves_another(node, Instant::now());
    let loaded = node.replica.borrow().loaded && node.last_barrier.get().is_some();
    if loaded && (node.has_state() || !alone) {
        Response::empty(200)
    } else {
        Response::unavailable("no contact with the state service", 1)
    }
}
