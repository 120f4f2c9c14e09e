//! Exchanges status messages between controllers. The messages are hints only: no decision
//! that a safety rule depends on is based on them.

mod message;
mod peer_table;
mod receiver;
mod sender;
mod write_budget;

use std::time::Duration;

pub use message::{FrameError, MAX_MESSAGE_BYTES, PeerStatus, decode, encode};
pub use peer_table::PeerTable;
pub use receiver::run_receiver;
pub use sender::run_sender;
pub use write_budget::run_write_budget;

use crate::settings::Settings;

/// Minimum number of frames that are sent to each peer during a worker lease.
const MIN_FRAMES_PER_LEASE: u32 = 20;

/// Maximum time between two frames to one peer.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the time between two frames to one peer.
fn gossip_interval(settings: &Settings) -> Duration {
    (settings.worker_lease() / MIN_FRAMES_PER_LEASE).min(MAX_INTERVAL)
}
