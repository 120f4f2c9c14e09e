//! Defines the message that controllers send to one another. On a connection each message is
//! sent as a frame: the length of the message in four bytes, big-endian, then the message.

use bincode::{Decode, Encode};

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Maximum number of bytes that encode the length of an offer's name.
const OFFER_LENGTH_BYTES: usize = 9;

/// The byte that acknowledges a frame.
pub(super) const ACK: u8 = 1;

/// The status of a controller. Each controller sends its status to every peer several times
/// in a worker lease.
/// Fields are encoded in the order of their declaration.
#[derive(Debug, Clone, Encode, Decode)]
pub struct PeerStatus {
    /// Name of the controller.
    pub controller: String,
    /// Incarnation of the controller: the number of this run of its process.
    pub incarnation: u64,
    /// Time since the controller's last read barrier, in milliseconds; `None` before the
    /// first one.
    pub staleness_ms: Option<u64>,
    /// Number of machines that the controller owns.
    pub owned_machines: u32,
    /// Number of owned machines whose workers have sent no message for two heartbeat
    /// intervals.
    pub silent_machines: u32,
    /// Demand for writes to the state service, in keys per second.
    pub write_demand: f64,
    /// Names of the cloud's offers of machines that were recently refused to the controller.
    pub refused_offers: Vec<String>,
}

/// The reason why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The status could not be encoded.
    #[error("cannot encode the gossip message: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The received bytes are not a valid message.
    #[error("cannot decode the gossip message: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

/// Returns the frame of a message: its length, followed by the message. Refused offers that do
/// not fit are left out, as peers would refuse the whole message otherwise.
pub fn encode(status: &PeerStatus) -> Result<Vec<u8>, FrameError> {
    let mut body = encode_body(status)?;
    if body.len() > MAX_MESSAGE_BYTES {
        let mut limited = status.clone();
        limited.refused_offers = offers_within_limit(&status.refused_offers);
        body = encode_body(&limited)?;
    }
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    Ok(frame)
}

fn encode_body(status: &PeerStatus) -> Result<Vec<u8>, FrameError> {
    let body = bincode::encode_to_vec(status, bincode::config::standard())?;
    Ok(body)
}

/// Returns the first offers whose names take at most half of a message.
fn offers_within_limit(offers: &[String]) -> Vec<String> {
    let mut bytes = 0;
    let fitting = offers.iter().take_while(|offer| {
        bytes += offer.len() + OFFER_LENGTH_BYTES;
        bytes <= MAX_MESSAGE_BYTES / 2
    });
    fitting.cloned().collect()
}

/// Decodes the message of a frame from the bytes that follow the length.
pub fn decode(body: &[u8]) -> Result<PeerStatus, FrameError> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (status, _) = bincode::decode_from_slice(body, config)?;
    Ok(status)
}
