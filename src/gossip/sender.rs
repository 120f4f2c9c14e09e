//! Sends the status of this controller to the other controllers.

use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

use super::gossip_interval;
use super::message::{ACK, PeerStatus, encode};
use crate::controller::Controller;
use crate::net::Stream;

/// Starts a task for each other controller that sends it the status of this controller.
pub async fn run_sender(controller: Rc<Controller>) {
    for peer in controller.settings.others.clone() {
        tokio::task::spawn_local(send_to_peer(controller.clone(), peer.addr));
    }
}

/// Sends a frame to one peer in each interval, and reconnects after a frame that was not
/// acknowledged.
async fn send_to_peer(controller: Rc<Controller>, addr: SocketAddrV4) {
    let interval = gossip_interval(&controller.settings);
    let mut stream: Option<Stream> = None;
    loop {
        sleep(interval).await;
        if stream.is_none() {
            let dial = controller.net.connect(addr);
            stream = timeout(interval, dial).await.ok().and_then(Result::ok);
        }
        let Some(conn) = &mut stream else { continue };
        let frame = match encode(&own_status(&controller)) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::debug!(%error, "gossip message not encoded");
                continue;
            }
        };
        // Writes to a connection still succeed for a long time after the peer has ended
        // without closing the connection. Only a missing acknowledgement shows the failure.
        let exchange = async {
            conn.write_all(&frame).await?;
            conn.read_u8().await
        };
        match timeout(interval * 2, exchange).await {
            Ok(Ok(ACK)) => {}
            _ => stream = None,
        }
    }
}

/// Returns the present status of this controller.
fn own_status(controller: &Controller) -> PeerStatus {
    let now = controller.now_excluding_pauses();
    let silence_limit = controller.settings.heartbeat_interval() * 2;
    let owned_workers = controller.workers.owned();
    let silent = owned_workers
        .values()
        .filter(|owned_worker| owned_worker.is_silent(silence_limit, now));
    PeerStatus {
        controller: controller.name().to_string(),
        incarnation: controller.incarnation,
        staleness_ms: controller
            .replica_staleness()
            .map(|age| age.as_millis() as u64),
        owned_machines: owned_workers.len() as u32,
        silent_machines: silent.count() as u32,
        write_demand: controller.state_client.demand(),
        refused_offers: controller.fleet.borrow().refused_offers(now),
    }
}
