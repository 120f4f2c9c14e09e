//! What controllers tell one another: hints only. Nothing that a safety rule
//! rests on is decided by what comes over the mesh.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

use crate::controller::Controller;
use crate::net::{Listener, Stream};
use crate::workers::OwnedWorker;

/// What one controller tells of itself, sent a few times in a lease. The order
/// of the fields is the frame's.
#[derive(Debug, Clone, Encode, Decode)]
pub struct PeerStatus {
    /// The controller's name.
    pub controller: String,
    /// The run of its process.
    pub incarnation: u64,
    /// How old its last barrier is; `None` before its first barrier.
    pub staleness_ms: Option<u64>,
    /// How many machines report to it.
    pub machines: u32,
    /// How many of them it has not heard for two report intervals.
    pub silent: u32,
    /// What it would write to the state service, a second.
    pub writes: f64,
    /// Offers that the cloud has refused it of late.
    pub refused: Vec<String>,
}

/// Answers each frame.
const ACK: u8 = 1;

/// The longest frame that is read.
const FRAME_LIMIT: usize = 256 * 1024;

/// The most that is believed of what a controller would write a second.
const MAX_WRITES: f64 = 1e6;

/// A controller that has not been heard of for so many intervals counts as not
/// heard of.
const FRESH_INTERVALS: u32 = 4;

/// How long to wait when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The part of the state service's limits that is used, see `Node::new`.
const USED_RATE: f64 = 0.97;

/// What another controller has last told of itself.
#[derive(Debug)]
pub struct PeerState {
    /// When it told so.
    pub at: Instant,
    /// The run of its process.
    pub incarnation: u64,
    /// How old its last barrier was; `None` before its first barrier.
    pub staleness_ms: Option<u64>,
    /// How many machines report to it.
    pub machines: u32,
    /// How many of them it had not heard for two report intervals.
    pub silent: u32,
    /// What it would write to the state service, a second.
    pub writes: f64,
    /// Offers that the cloud had refused it of late.
    pub refused: Vec<String>,
}

/// What the other controllers have told, by name.
#[derive(Debug, Default)]
pub struct PeerTable(HashMap<String, PeerState>);

/// The time between two frames to one peer.
fn interval(controller: &Controller) -> Duration {
    (controller.settings.worker_lease() / 20).min(Duration::from_secs(1))
}

impl PeerTable {
    /// Takes in what a controller tells.
    pub fn take(&mut self, gossip: PeerStatus, now: Instant) {
        self.0.insert(
            gossip.controller,
            PeerState {
                at: now,
                incarnation: gossip.incarnation,
                staleness_ms: gossip.staleness_ms,
                machines: gossip.machines,
                silent: gossip.silent,
                writes: gossip.writes.clamp(0.0, MAX_WRITES),
                refused: gossip.refused,
            },
        );
    }

    /// Those that were heard of late.
    fn fresh(
        &self,
        controller: &Controller,
        now: Instant,
    ) -> impl Iterator<Item = (&str, &PeerState)> {
        let limit = interval(controller) * FRESH_INTERVALS;
        self.0
            .iter()
            .filter(move |(_, peer)| now.saturating_duration_since(peer.at) < limit)
            .map(|(name, peer)| (name.as_str(), peer))
    }

    /// This controller and those that were heard of late with state contact.
    pub fn alive<'a>(&'a self, controller: &'a Controller, now: Instant) -> Vec<&'a str> {
        let limit = (controller.settings.worker_lease() / 4).as_millis() as u64;
        let mut names: Vec<&str> = self
            .fresh(controller, now)
            .filter(|(_, peer)| peer.staleness_ms.is_some_and(|age| age < limit))
            .map(|(name, _)| name)
            .collect();
        names.push(controller.name());
        names
    }

    /// Whether a peer hears the machines that it holds, as far as it has told: one
    /// or a quarter may be lost or on their way. One that is cut off from workers
    /// alone still talks to us and to the state service.
    pub fn receives_heartbeats(&self, controller: &Controller, peer: &str, now: Instant) -> bool {
        let mut fresh = self.fresh(controller, now);
        fresh.any(|(name, told)| name == peer && told.silent <= (told.machines / 4).max(1))
    }

    /// What the other controllers would write a second; nothing for those that
    /// have not been heard of late.
    pub fn demands(&self, controller: &Controller, now: Instant) -> Vec<Option<f64>> {
        let fresh: HashMap<&str, f64> = self
            .fresh(controller, now)
            .map(|(name, peer)| (name, peer.writes))
            .collect();
        let others = controller.settings.others.iter();
        others
            .map(|other| fresh.get(other.name.as_str()).copied())
            .collect()
    }

    /// What the cloud has refused the others.
    pub fn refused(&self, controller: &Controller, now: Instant) -> Vec<String> {
        self.fresh(controller, now)
            .flat_map(|(_, peer)| peer.refused.iter().cloned())
            .collect()
    }

    /// Whether some other controller is served by the state service.
    pub fn state_serves_another(&self, controller: &Controller, now: Instant) -> bool {
        self.alive(controller, now).len() > 1
    }
}

/// A frame: the length of what follows, and the message itself.
pub fn encode(gossip: &PeerStatus) -> Option<Vec<u8>> {
    let body = bincode::encode_to_vec(gossip, bincode::config::standard()).ok()?;
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    Some(frame)
}

/// The message of a frame, without its length.
pub fn decode(body: &[u8]) -> Option<PeerStatus> {
    let config = bincode::config::standard().with_limit::<FRAME_LIMIT>();
    bincode::decode_from_slice(body, config)
        .ok()
        .map(|(gossip, _)| gossip)
}

/// Accepts the other controllers' connections.
pub async fn run_receiver(controller: Rc<Controller>, mut listener: Listener) {
    loop {
        match listener.accept().await {
            Ok(stream) => {
                tokio::task::spawn_local(receive(controller.clone(), stream));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Takes in one peer's frames until it sends none or a bad one.
async fn receive(controller: Rc<Controller>, mut stream: Stream) {
    let patience = interval(&controller) * 10;
    loop {
        let Ok(Ok(body)) = timeout(patience, read_frame(&mut stream)).await else {
            return;
        };
        let others = &controller.settings.others;
        let is_known =
            |gossip: &PeerStatus| others.iter().any(|peer| peer.name == gossip.controller);
        match decode(&body) {
            Some(gossip) if is_known(&gossip) => {
                controller.peers.borrow_mut().take(gossip, Instant::now());
            }
            _ => return,
        }
        let acknowledged = timeout(patience, stream.write_all(&[ACK])).await;
        if !matches!(acknowledged, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read_frame(stream: &mut Stream) -> io::Result<Vec<u8>> {
    let len = stream.read_u32().await? as usize;
    if len > FRAME_LIMIT {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await?;
    Ok(body)
}

/// Divides the state service's writes by what each controller would write.
pub async fn run_write_budget(controller: Rc<Controller>) {
    loop {
        sleep(interval(&controller)).await;
        // The lower rate comes into force without notice: it is kept to once
        // refusals show it, and the present one is tried again later.
        let lowered = controller.store.is_lowered() && controller.replica.borrow().upgraded();
        let total = controller.settings.write_rps(lowered) * USED_RATE;
        let mut others = controller
            .peers
            .borrow()
            .demands(&controller, Instant::now());
        // A controller that is not heard and has no state lease either writes
        // nothing: it is cut off, or has ended, and its zone shard is needed most just
        // then. Only when there was time for all to write their keys.
        if controller.started.elapsed() > controller.settings.worker_lease()
            && controller.is_state_service_reachable()
        {
            let replica = controller.replica.borrow();
            for (peer, demand) in controller.settings.others.iter().zip(&mut others) {
                if demand.is_none() && !replica.nodes.contains_key(&peer.name) {
                    *demand = Some(0.0);
                }
            }
        }
        let share = crate::state::budget::write_share(total, controller.store.demand(), &others);
        let count = controller.settings.deployment.count as f64;
        let requests = controller.settings.rps(lowered) / count * USED_RATE;
        controller.store.set_requests(requests);
        controller.store.set_share(share);
    }
}

/// Tells the other controllers of this one.
pub async fn run_sender(controller: Rc<Controller>) {
    for peer in controller.settings.others.clone() {
        tokio::task::spawn_local(speak_to(controller.clone(), peer.addr));
    }
}

async fn speak_to(controller: Rc<Controller>, addr: SocketAddrV4) {
    let mut stream: Option<Stream> = None;
    loop {
        sleep(interval(&controller)).await;
        if stream.is_none() {
            let dial = controller.net.dial(addr);
            stream = timeout(interval(&controller), dial)
                .await
                .ok()
                .and_then(Result::ok);
        }
        let Some(open) = &mut stream else { continue };
        let Some(frame) = encode(&gossip_of(&controller)) else {
            continue;
        };
        // Each frame is acknowledged: a connection to a process that ended
        // without a word takes writes for a long time.
        let exchange = async {
            open.write_all(&frame).await?;
            open.read_u8().await
        };
        match timeout(interval(&controller) * 2, exchange).await {
            Ok(Ok(ACK)) => {}
            _ => stream = None,
        }
    }
}

/// What this controller tells of itself now.
fn gossip_of(controller: &Controller) -> PeerStatus {
    let now = controller.liveness_tick();
    let limit = controller.settings.heartbeat_interval() * 2;
    let owned_workers = controller.workers.owned();
    let is_silent = |owned_worker: &&OwnedWorker| {
        now.saturating_duration_since(owned_worker.last_message_at) > limit
    };
    PeerStatus {
        controller: controller.name().to_string(),
        incarnation: controller.incarnation,
        staleness_ms: controller
            .replica_staleness()
            .map(|age| age.as_millis() as u64),
        machines: owned_workers.len() as u32,
        silent: owned_workers.values().filter(is_silent).count() as u32,
        writes: controller.store.demand(),
        refused: controller.fleet.borrow().refused_now(now),
    }
}
