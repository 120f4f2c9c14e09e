//! What controllers tell one another: hints only. Nothing that a safety rule
//! rests on is decided by what comes over the gossip connections.

mod message;
mod peer_table;
mod receiver;
mod sender;
mod write_budget;

use std::time::Duration;

pub use message::{FrameError, PeerStatus, decode, encode};
pub use peer_table::PeerTable;
pub use receiver::run_receiver;
pub use sender::run_sender;
pub use write_budget::run_write_budget;

use crate::settings::Settings;

/// So many frames are sent to each peer in a worker's lease, or more.
const FRAMES_PER_LEASE: u32 = 20;

/// The longest time between two frames to one peer.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two frames to one peer.
fn gossip_interval(settings: &Settings) -> Duration {
    (settings.worker_lease() / FRAMES_PER_LEASE).min(MAX_INTERVAL)
}
