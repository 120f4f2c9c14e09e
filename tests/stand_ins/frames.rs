//! A recorder of the frames between the controllers and the stand-ins: every request and
//! every response at the state service, the cloud, the workers and the users. Two runs
//! whose recordings have the same digest exchanged the same requests and responses at the
//! same points of simulated time.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use shelfhoist::http::{CallError, Client, Request, Response, ResponseFuture};
use tokio::time::Instant;

use super::scenario::Simulation;

/// Maximum size of a request's body, and of a line in a response to workers or users, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;

/// The state of a 64-bit FNV-1a hash over a sequence of fields.
struct Fnv1a(u64);

impl Fnv1a {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    /// Hashes the length and the bytes of one field. Without the lengths, the fields `ab`, `c`
    /// and the fields `a`, `bc` would have the same hash.
    fn update(&mut self, field: &[u8]) {
        let length = (field.len() as u64).to_le_bytes();
        for byte in length.iter().chain(field) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }
}

/// A request or response that was recorded, with the time and the stand-in that
/// [`Frames::digest`] covers.
#[derive(Debug, Clone)]
struct Frame {
    /// Simulated time since the recording began.
    at: Duration,
    /// Address of the stand-in that received or sent the frame.
    stand_in: SocketAddrV4,
    /// Description of the request, or of the response and the request that it belongs to.
    head: String,
    body: Vec<u8>,
}

impl fmt::Display for Frame {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (at, body) = (self.at, String::from_utf8_lossy(&self.body));
        write!(f, "{at:?}, {}: {}: {body}", self.stand_in, self.head)
    }
}

/// All frames of a run, sorted by time and then by the address of the stand-in. Frames of one
/// stand-in with equal times stay in the order of their arrival.
///
/// The order of simultaneous frames at different stand-ins is random: a controller sends
/// commands to several workers while it iterates over a map with random order
/// (`run_commands`). Sorting by address gives them the same order in every run.
#[derive(Debug)]
pub struct Frames(Vec<Frame>);

impl Frames {
    /// Returns the frames in their sorted order.
    fn sorted(mut frames: Vec<Frame>) -> Self {
        frames.sort_by_key(|frame| (frame.at, frame.stand_in));
        Frames(frames)
    }

    /// Returns the number of frames.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns the digest over all frames.
    pub fn digest(&self) -> u64 {
        let mut hash = Fnv1a(Fnv1a::OFFSET_BASIS);
        for frame in &self.0 {
            hash.update(&frame.at.as_nanos().to_le_bytes());
            hash.update(frame.stand_in.to_string().as_bytes());
            hash.update(frame.head.as_bytes());
            hash.update(&frame.body);
        }
        hash.0
    }

    /// Returns a description of the first position at which two runs differ, with the frame
    /// of each run, or `None` if the runs are equal.
    pub fn first_difference(&self, other: &Frames) -> Option<String> {
        let describe = |frames: &Frames, position: usize| match frames.0.get(position) {
            Some(frame) => frame.to_string(),
            None => "no frame".to_string(),
        };
        let longer_count = self.count().max(other.count());
        let pairs = (0..longer_count).map(|n| (n, describe(self, n), describe(other, n)));
        let mut differing = pairs.filter(|(_, own, others)| own != others);
        differing
            .next()
            .map(|(n, own, others)| format!("frame {n}:\n{own}\n{others}"))
    }
}

/// A recorder of frames. It records nothing until [`begin`](Self::begin) is called, since
/// most tests do not read the frames.
#[derive(Debug, Default)]
pub struct FrameRecorder {
    began: Cell<Option<Instant>>,
    frames: RefCell<Vec<Frame>>,
    /// Descriptions of the messages that exceed a size limit of the protocol. They are recorded
    /// at all times.
    pub oversized: RefCell<Vec<String>>,
}

impl FrameRecorder {
    /// Starts the recording.
    pub fn begin(&self) {
        self.began.set(Some(Instant::now()));
    }

    /// Ends the recording and returns its frames.
    pub fn finish(&self) -> Frames {
        self.began.set(None);
        Frames::sorted(self.frames.take())
    }

    /// Records one frame at the stand-in with address `stand_in`.
    fn push(&self, stand_in: SocketAddrV4, head: &str, body: &[u8]) {
        if let Some(began) = self.began.get() {
            self.frames.borrow_mut().push(Frame {
                at: began.elapsed(),
                stand_in,
                head: head.to_string(),
                body: body.to_vec(),
            });
        }
    }

    /// Returns whether a message is within the size limit, and records it if it is not.
    pub(super) fn check_size(&self, message: &str, body: &[u8]) -> bool {
        let longest = body.split(|byte| *byte == b'\n').map(<[u8]>::len).max();
        let bytes = longest.unwrap_or(0);
        if bytes > MAX_BODY_BYTES {
            let oversized = format!("{message}: {bytes} bytes");
            self.oversized.borrow_mut().push(oversized);
        }
        bytes <= MAX_BODY_BYTES
    }

    /// Records a response to `request` at the stand-in with address `stand_in`.
    fn record_response(&self, stand_in: SocketAddrV4, request: &str, response: &Response) {
        let Response {
            status,
            retry_after,
            text,
            ..
        } = response;
        let head = format!("answer {status} {retry_after:?} {text} to {request}");
        self.push(stand_in, &head, &response.body);
    }
}

impl Simulation {
    /// Wraps the request handler of a stand-in so that its requests and responses are
    /// recorded.
    pub(super) fn recorded_handler(
        &self,
        stand_in: SocketAddrV4,
        handler: impl Fn(Request) -> ResponseFuture + 'static,
    ) -> impl Fn(Request) -> ResponseFuture + 'static {
        let frames = self.frames.clone();
        move |request| {
            let request_line = format!("{} {}?{}", request.method, request.path, request.query);
            frames.push(stand_in, &format!("request {request_line}"), &request.body);
            if !frames.check_size(&format!("request {request_line}"), &request.body) {
                return Box::pin(async { Response::error(400, "body too long") });
            }
            let is_worker = request.path == "/orders";
            let (frames, pending) = (frames.clone(), handler(request));
            Box::pin(async move {
                let response = pending.await;
                if is_worker {
                    frames.check_size(
                        &format!("status in the answer to {request_line}"),
                        &response.body,
                    );
                }
                frames.record_response(stand_in, &request_line, &response);
                response
            })
        }
    }

    /// Returns an HTTP client for the stand-in with address `stand_in` that records its calls.
    pub(super) fn recorded_client(
        &self,
        stand_in: SocketAddrV4,
        max_idle: Duration,
    ) -> RecordedClient {
        let client = Client::new(self.net(stand_in), max_idle);
        RecordedClient::new(client, stand_in, self.frames.clone())
    }
}

/// The HTTP client of a stand-in that calls controllers. It records its requests and their
/// responses.
pub(super) struct RecordedClient {
    client: Client,
    stand_in: SocketAddrV4,
    frames: Rc<FrameRecorder>,
}

impl RecordedClient {
    /// Returns a client that records its calls in `frames`, at the address `stand_in`.
    pub(super) fn new(client: Client, stand_in: SocketAddrV4, frames: Rc<FrameRecorder>) -> Self {
        RecordedClient {
            client,
            stand_in,
            frames,
        }
    }

    /// Sends a request like [`Client::call`], and records it with its response.
    pub(super) async fn call(
        &self,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let request_line = format!("{method} {path} of {to}");
        let sent = body.as_deref().unwrap_or_default();
        self.frames
            .push(self.stand_in, &format!("request {request_line}"), sent);
        let result = self.client.call(to, method, path, body, limit).await;
        match &result {
            Ok(response)
                if !self
                    .frames
                    .check_size(&format!("response to {request_line}"), &response.body) =>
            {
                return Err(CallError::TooLarge);
            }
            Ok(response) => self
                .frames
                .record_response(self.stand_in, &request_line, response),
            Err(_) => {
                let head = format!("no answer to {request_line}");
                self.frames.push(self.stand_in, &head, &[]);
            }
        }
        result
    }
}
