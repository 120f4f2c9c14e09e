//! Tells the other controllers of this one.

use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

use super::gossip_interval;
use super::message::{ACK, PeerStatus, encode};
use crate::controller::Controller;
use crate::net::Stream;

/// Tells the other controllers of this one.
pub async fn run_sender(controller: Rc<Controller>) {
    for peer in controller.settings.others.clone() {
        tokio::task::spawn_local(send_to_peer(controller.clone(), peer.addr));
    }
}

/// Sends one peer a frame in each interval, and connects anew whenever it has not
/// acknowledged one.
async fn send_to_peer(controller: Rc<Controller>, addr: SocketAddrV4) {
    let interval = gossip_interval(&controller.settings);
    let mut stream: Option<Stream> = None;
    loop {
        sleep(interval).await;
        if stream.is_none() {
            let dial = controller.net.dial(addr);
            stream = timeout(interval, dial).await.ok().and_then(Result::ok);
        }
        let Some(open) = &mut stream else { continue };
        let frame = match encode(&own_status(&controller)) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::debug!(%error, "gossip not sent");
                continue;
            }
        };
        // Each frame is acknowledged: a connection to a process that ended
        // without a word takes writes for a long time.
        let exchange = async {
            open.write_all(&frame).await?;
            open.read_u8().await
        };
        match timeout(interval * 2, exchange).await {
            Ok(Ok(ACK)) => {}
            _ => stream = None,
        }
    }
}

/// What this controller tells of itself now.
fn own_status(controller: &Controller) -> PeerStatus {
    let now = controller.liveness_tick();
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
        machines: owned_workers.len() as u32,
        silent: silent.count() as u32,
        writes: controller.store.demand(),
        refused: controller.fleet.borrow().refused_offers(now),
    }
}
