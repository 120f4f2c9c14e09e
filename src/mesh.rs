//! What controllers tell one another: hints only. Nothing that a Rule rests
//! on is decided by what comes over the mesh.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

use crate::net::{Listener, Stream};
use crate::node::Node;

/// One controller's word on itself, sent a few times in a lease.
#[derive(Debug, Clone, Encode, Decode)]
pub struct Gossip {
    /// The sender's name.
    pub node: String,
    /// Which of the sender's starts it is from.
    pub incarnation: u64,
    /// How old its horizon is; `None` before its first barrier.
    pub horizon_ms: Option<u64>,
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

const FRAME_LIMIT: usize = 256 * 1024;

/// What another controller has last told of itself.
#[derive(Debug)]
pub struct Peer {
    /// When that arrived here.
    pub at: Instant,
    /// Which of its starts it was from.
    pub incarnation: u64,
    /// How far its replica of the state was behind, in milliseconds; `None`
    /// before its first full read.
    pub horizon_ms: Option<u64>,
    /// How many machines report to it.
    pub machines: u32,
    /// How many of them have missed two report intervals.
    pub silent: u32,
    /// How many keys it would write a second.
    pub writes: f64,
    /// Offers that the cloud has refused it of late.
    pub refused: Vec<String>,
}

/// The other controllers that have been heard of, by their names.
#[derive(Debug, Default)]
pub struct Peers(HashMap<String, Peer>);

fn interval(node: &Node) -> Duration {
    (node.settings.lease() / 20).min(Duration::from_secs(1))
}

impl Peers {
    /// Stores what a controller tells of itself, in place of what it told
    /// before.
    pub fn take(&mut self, gossip: Gossip, now: Instant) {
        self.0.insert(
            gossip.node,
            Peer {
                at: now,
                incarnation: gossip.incarnation,
                horizon_ms: gossip.horizon_ms,
                machines: gossip.machines,
                silent: gossip.silent,
                writes: gossip.writes.clamp(0.0, 1e6),
                refused: gossip.refused,
            },
        );
    }

    fn fresh(&self, node: &Node, now: Instant) -> impl Iterator<Item = (&str, &Peer)> {
        let limit = interval(node) * 4;
        self.0
            .iter()
            .filter(move |(_, p)| now.saturating_duration_since(p.at) < limit)
            .map(|(n, p)| (n.as_str(), p))
    }

    /// This controller and those that were heard of late with state contact.
    pub fn alive<'a>(&'a self, node: &'a Node, now: Instant) -> Vec<&'a str> {
        let limit = (node.settings.lease() / 4).as_millis() as u64;
        let mut names: Vec<&str> = self
            .fresh(node, now)
            .filter(|(_, p)| p.horizon_ms.is_some_and(|h| h < limit))
            .map(|(n, _)| n)
            .collect();
        names.push(node.name());
        names
    }

    /// Whether a peer hears the machines that it holds, as far as it has told: one
    /// or a quarter may be lost or on their way. One that is cut off from workers
    /// alone still talks to us and to the state service.
    pub fn hears_machines(&self, node: &Node, peer: &str, now: Instant) -> bool {
        let mut fresh = self.fresh(node, now);
        fresh.any(|(name, p)| name == peer && p.silent <= (p.machines / 4).max(1))
    }

    /// What the other controllers would write a second; nothing for those that
    /// have not been heard of late.
    pub fn demands(&self, node: &Node, now: Instant) -> Vec<Option<f64>> {
        let fresh: HashMap<&str, f64> = self.fresh(node, now).map(|(n, p)| (n, p.writes)).collect();
        let others = node.settings.others.iter();
        others
            .map(|p| fresh.get(p.name.as_str()).copied())
            .collect()
    }

    /// What the cloud has refused the others.
    pub fn refused(&self, node: &Node, now: Instant) -> Vec<String> {
        self.fresh(node, now)
            .flat_map(|(_, p)| p.refused.iter().cloned())
            .collect()
    }

    /// Whether some other controller is served by the state service.
    pub fn state_serves_another(&self, node: &Node, now: Instant) -> bool {
        self.alive(node, now).len() > 1
    }
}

/// The frame that carries a message: its length in four bytes, then bincode.
pub fn encode(gossip: &Gossip) -> Option<Vec<u8>> {
    let body = bincode::encode_to_vec(gossip, bincode::config::standard()).ok()?;
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    Some(frame)
}

/// Reads a frame's body; `None` if it is malformed.
pub fn decode(body: &[u8]) -> Option<Gossip> {
    let config = bincode::config::standard().with_limit::<FRAME_LIMIT>();
    bincode::decode_from_slice(body, config)
        .ok()
        .map(|(g, _)| g)
}

/// Accepts connections of other controllers until it is dropped.
pub async fn listen(node: Rc<Node>, mut listener: Listener) {
    loop {
        match listener.accept().await {
            Ok(stream) => {
                tokio::task::spawn_local(hear(node.clone(), stream));
            }
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn hear(node: Rc<Node>, mut stream: Stream) {
    let patience = interval(&node) * 10;
    loop {
        let frame = async {
            let len = stream.read_u32().await? as usize;
            if len > FRAME_LIMIT {
                return Err(std::io::Error::from(std::io::ErrorKind::InvalidData));
            }
            let mut body = vec![0; len];
            stream.read_exact(&mut body).await?;
            Ok(body)
        };
        let Ok(Ok(body)) = timeout(patience, frame).await else {
            return;
        };
        let known = |g: &Gossip| node.settings.others.iter().any(|p| p.name == g.node);
        match decode(&body) {
            Some(gossip) if known(&gossip) => {
                node.peers.borrow_mut().take(gossip, Instant::now());
            }
            _ => return,
        }
        if !matches!(
            timeout(patience, stream.write_all(&[ACK])).await,
            Ok(Ok(()))
        ) {
            return;
        }
    }
}

/// Divides the state service's writes by what each controller would write.
pub async fn keep_share(node: Rc<Node>) {
    loop {
        sleep(interval(&node)).await;
        // The lower rate comes into force without notice: it is kept to once
        // refusals show it, and the present one is tried again later.
        let lowered = node.store.is_lowered() && node.view.borrow().upgraded();
        let total = node.settings.write_rps(lowered) * 0.97;
        let mut others = node.peers.borrow().demands(&node, Instant::now());
        // Who is not heard and has no state lease either writes nothing: he is
        // cut off, or has ended, and his part is needed most just then. Only
        // when there was time for all to sign.
        if node.started.elapsed() > node.settings.lease() && node.has_state() {
            let view = node.view.borrow();
            for (peer, demand) in node.settings.others.iter().zip(&mut others) {
                if demand.is_none() && !view.nodes.contains_key(&peer.name) {
                    *demand = Some(0.0);
                }
            }
        }
        let share = crate::store::write_share(total, node.store.demand(), &others);
        let count = node.settings.deployment.count as f64;
        let requests = node.settings.rps(lowered) / count * 0.97;
        node.store.set_requests(requests);
        node.store.set_share(share);
    }
}

/// Sends this controller's message to each other one at a steady interval.
pub async fn speak(node: Rc<Node>) {
    for peer in node.settings.others.clone() {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let mut stream: Option<Stream> = None;
            loop {
                sleep(interval(&node)).await;
                if stream.is_none() {
                    let dial = node.net.dial(peer.addr);
                    stream = timeout(interval(&node), dial)
                        .await
                        .ok()
                        .and_then(Result::ok);
                }
                let Some(open) = &mut stream else { continue };
                let Some(frame) = encode(&word(&node)) else {
                    continue;
                };
                // Each word is acknowledged: a connection to a process that
                // ended without a word takes writes for a long time.
                let exchange = async {
                    open.write_all(&frame).await?;
                    open.read_u8().await
                };
                match timeout(interval(&node) * 2, exchange).await {
                    Ok(Ok(ACK)) => {}
                    _ => stream = None,
                }
            }
        });
    }
}

fn word(node: &Node) -> Gossip {
    let now = node.pulse();
    let limit = node.settings.report() * 2;
    let hands = node.hands.borrow();
    let silent = |hand: &&crate::machines::Hand| now.saturating_duration_since(hand.heard) > limit;
    Gossip {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        horizon_ms: node.horizon_age().map(|a| a.as_millis() as u64),
        machines: hands.len() as u32,
        silent: hands.values().filter(silent).count() as u32,
        writes: node.store.demand(),
        refused: node.fleet.borrow().refused_now(now),
    }
}
