//! Receives the status messages of the other controllers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

use super::gossip_interval;
use super::message::{ACK, MAX_MESSAGE_BYTES, PeerStatus, decode};
use crate::controller::Controller;
use crate::net::{Listener, Stream};

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without a frame after which a connection is closed, in gossip intervals.
const MAX_SILENT_INTERVALS: u32 = 10;

/// Runs the loop that accepts the connections of the other controllers.
pub async fn run_receiver(controller: Rc<Controller>, mut listener: Listener) {
    loop {
        match listener.accept().await {
            Ok(stream) => {
                tokio::task::spawn_local(receive_frames(controller.clone(), stream));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Receives frames from one connection and records their messages, until a frame is invalid
/// or late.
async fn receive_frames(controller: Rc<Controller>, mut stream: Stream) {
    let frame_timeout = gossip_interval(&controller.settings) * MAX_SILENT_INTERVALS;
    loop {
        let Ok(Ok(body)) = timeout(frame_timeout, read_frame(&mut stream)).await else {
            return;
        };
        match decode(&body) {
            Ok(status) if is_known(&controller, &status) => {
                let mut peers = controller.peers.borrow_mut();
                peers.record(status, Instant::now());
            }
            _ => return,
        }
        let acknowledged = timeout(frame_timeout, stream.write_all(&[ACK])).await;
        if !matches!(acknowledged, Ok(Ok(()))) {
            return;
        }
    }
}

/// Returns whether the controller that sent a message is in the settings.
fn is_known(controller: &Controller, status: &PeerStatus) -> bool {
    let mut others = controller.settings.others.iter();
    others.any(|peer| peer.name == status.controller)
}

async fn read_frame(stream: &mut Stream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(body)
}
