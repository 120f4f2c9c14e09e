//! The message that controllers send one another, and its frames: the length of the
//! message in four bytes, the highest first, and the message itself.

use bincode::{Decode, Encode};

/// The longest message that is read, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Answers each frame.
pub(super) const ACK: u8 = 1;

/// What one controller tells of itself, sent some times in a lease. The order
/// of the fields is the message's.
#[derive(Debug, Clone, Encode, Decode)]
pub struct PeerStatus {
    /// The controller's name.
    pub controller: String,
    /// The run of its process.
    pub incarnation: u64,
    /// How old its last barrier is, in milliseconds; `None` before its first barrier.
    pub staleness_ms: Option<u64>,
    /// How many machines it owns.
    pub machines: u32,
    /// How many of them have sent it nothing for two heartbeat intervals.
    pub silent: u32,
    /// What it would write to the state service, in keys a second.
    pub writes: f64,
    /// Offers that the cloud has refused it of late.
    pub refused: Vec<String>,
}

/// Why a message cannot be put into a frame, or read from one.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The message has no encoding.
    #[error("message not encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are no message.
    #[error("message not decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

/// A frame: the length of what follows, and the message itself.
pub fn encode(status: &PeerStatus) -> Result<Vec<u8>, FrameError> {
    let body = bincode::encode_to_vec(status, bincode::config::standard())?;
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    Ok(frame)
}

/// The message of a frame, without its length.
pub fn decode(body: &[u8]) -> Result<PeerStatus, FrameError> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (status, _) = bincode::decode_from_slice(body, config)?;
    Ok(status)
}
