//! A record of the frames that pass between the controllers and the stand-ins: every
//! request and every answer at the state service, the cloud, the workers and the users.
//! Two runs whose records have the same digest exchanged the same requests and answers at
//! the same moments of simulated time.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use shelfhoist::http::{CallError, Client, Request, Response, ResponseFuture};
use tokio::time::Instant;

use super::scenario::World;

/// The 64-bit FNV-1a hash, of one field after another.
struct Fnv1a(u64);

impl Fnv1a {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    /// Takes in one field, and its length, so that bytes can't move between fields.
    fn update(&mut self, field: &[u8]) {
        let length = (field.len() as u64).to_le_bytes();
        for byte in length.iter().chain(field) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }
}

/// One recorded frame.
#[derive(Debug, Clone)]
struct Frame {
    /// The simulated time since recording began.
    at: Duration,
    /// The address of the stand-in that received or sent it.
    stand_in: SocketAddrV4,
    /// Whether it is a request or an answer, and to what.
    head: String,
    body: Vec<u8>,
}

impl fmt::Display for Frame {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (at, body) = (self.at, String::from_utf8_lossy(&self.body));
        write!(f, "{at:?}, {}: {}: {body}", self.stand_in, self.head)
    }
}

/// All frames of a run: by their time, those of one moment by their stand-in, and those
/// of one stand-in as they came.
///
/// Frames of one moment at different stand-ins are sorted because their order is no
/// behaviour: a controller that sends orders to several workers at once walks a map whose
/// order is random (`run_commands`).
#[derive(Debug)]
pub struct Frames(Vec<Frame>);

impl Frames {
    fn sorted(mut frames: Vec<Frame>) -> Self {
        frames.sort_by_key(|frame| (frame.at, frame.stand_in));
        Frames(frames)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The digest of all.
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

    /// The number of the first frame that another run does not have alike, with the
    /// frame of each, in words.
    pub fn first_difference(&self, other: &Frames) -> Option<String> {
        let describe = |frames: &Frames, n: usize| match frames.0.get(n) {
            Some(frame) => frame.to_string(),
            None => "no frame".to_string(),
        };
        let longer = self.count().max(other.count());
        let pairs = (0..longer).map(|n| (n, describe(self, n), describe(other, n)));
        let mut differing = pairs.filter(|(_, own, others)| own != others);
        differing
            .next()
            .map(|(n, own, others)| format!("frame {n}:\n{own}\n{others}"))
    }
}

/// The frames since recording began. Nothing is recorded before, as most tests have
/// no use for it.
#[derive(Debug, Default)]
pub struct FrameRecord {
    began: Cell<Option<Instant>>,
    frames: RefCell<Vec<Frame>>,
}

impl FrameRecord {
    /// Records all frames from now on.
    pub fn begin(&self) {
        self.began.set(Some(Instant::now()));
    }

    /// Ends the recording, and returns the frames.
    pub fn finish(&self) -> Frames {
        self.began.set(None);
        Frames::sorted(self.frames.take())
    }

    /// Records one frame at the stand-in with this address.
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

    fn record_response(&self, at: SocketAddrV4, asked: &str, response: &Response) {
        let Response {
            status,
            retry_after,
            text,
            ..
        } = response;
        let head = format!("answer {status} {retry_after:?} {text} to {asked}");
        self.push(at, &head, &response.body);
    }
}

impl World {
    /// The handler of a stand-in, with its requests and answers recorded.
    pub(super) fn recorded_handler(
        &self,
        at: SocketAddrV4,
        handler: impl Fn(Request) -> ResponseFuture + 'static,
    ) -> impl Fn(Request) -> ResponseFuture + 'static {
        let frames = self.frames.clone();
        move |request| {
            let asked = format!("{} {}?{}", request.method, request.path, request.query);
            frames.push(at, &format!("request {asked}"), &request.body);
            let (frames, answer) = (frames.clone(), handler(request));
            Box::pin(async move {
                let response = answer.await;
                frames.record_response(at, &asked, &response);
                response
            })
        }
    }

    /// A client for the stand-in with this address, with its calls recorded.
    pub(super) fn recorded_client(&self, at: SocketAddrV4, max_idle: Duration) -> RecordedClient {
        let client = Client::new(self.net(at), max_idle);
        RecordedClient::new(client, at, self.frames.clone())
    }
}

/// The client of a stand-in that calls controllers: it records what it sends, and what
/// it is answered.
pub(super) struct RecordedClient {
    client: Client,
    at: SocketAddrV4,
    frames: Rc<FrameRecord>,
}

impl RecordedClient {
    pub(super) fn new(client: Client, at: SocketAddrV4, frames: Rc<FrameRecord>) -> Self {
        RecordedClient { client, at, frames }
    }

    /// The same as [`Client::call`].
    pub(super) async fn call(
        &self,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let asked = format!("{method} {path} of {to}");
        let sent = body.as_deref().unwrap_or_default();
        self.frames.push(self.at, &format!("request {asked}"), sent);
        let answer = self.client.call(to, method, path, body, limit).await;
        match &answer {
            Ok(response) => self.frames.record_response(self.at, &asked, response),
            Err(_) => {
                let head = format!("no answer to {asked}");
                self.frames.push(self.at, &head, &[]);
            }
        }
        answer
    }
}
