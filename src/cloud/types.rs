//! The machine types that the cloud offers, kept in the state.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::model::Types;
use crate::node::{Node, guard, put};
use crate::store::Class;
use crate::view::TYPES_KEY;
use crate::wire::MachineTypes;

/// The renter reads the machine types and keeps them in the state, where
/// every controller, a newly started one too, finds them.
pub async fn keep_types(node: Rc<Node>) {
    let tick = node.settings.report() / 3;
    loop {
        // Until the types are known nobody can accept anything.
        let known = !node.view.borrow().types.value.types.is_empty();
        sleep(if known { tick } else { tick / 16 }).await;
        if !node.is_renter() {
            continue;
        }
        let fresh = Duration::from_secs_f64(node.settings.deployment.cloud.list_lag_s) * 3;
        let due = node
            .fleet
            .borrow()
            .types_at
            .is_none_or(|t| t.elapsed() > fresh);
        if !due {
            continue;
        }
        let Some(r) = node.cloud("GET", "/flavors", None).await else {
            continue;
        };
        let Ok(MachineTypes { types }) = r.parse::<MachineTypes>() else {
            continue;
        };
        node.fleet.borrow_mut().types_at = Some(Instant::now());
        let types = Types { types };
        let known = node.view.borrow().types.clone();
        if known.value != types {
            let guards = vec![guard(TYPES_KEY.to_string(), known.version)];
            let writes = vec![put(TYPES_KEY.to_string(), &types)];
            if let Err(error) = node.commit(Class::Lease, guards, writes).await {
                tracing::debug!(%error, "types not recorded");
                node.fleet.borrow_mut().types_at = None;
            }
        }
    }
}
