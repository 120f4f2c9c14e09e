//! The client: keeps connections open, and uses one for a request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout_at};

use super::{ANSWER_LIMIT, MAX_HEADERS, Response};
use crate::net::{Net, Stream};

/// How many idle connections are kept for each address.
const IDLE_PER_ADDRESS: usize = 4;

/// The room that is made for each read.
const READ_BYTES: usize = 4096;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing left this process: surely not executed.
    #[error("not connected: {0}")]
    NotSent(String),
    /// Sent, at least in part: executed or not, now or later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer is not what was expected.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The answer is longer than the client reads.
    #[error("answer too large")]
    TooLarge,
}

/// Counts one open connection for as long as it lives.
pub(super) struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    pub(super) fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenConnection(open.clone())
    }

    /// How many connections are open.
    pub(super) fn count(&self) -> &Cell<usize> {
        &self.0
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    stream: Stream,
    _open: OpenConnection,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// By when a request must be sent, and by when its answer must be there.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// What has not been sent by then is not sent any more.
    pub send: Instant,
    /// What has not been answered by then counts as unanswered.
    pub answer: Instant,
}

/// Keeps connections open per address, and uses one for a request at a time.
pub struct Client {
    net: Net,
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
    /// An idle connection older than this is not trusted to be open still.
    max_idle: Duration,
    /// How many connections are open, in use or idle.
    open: Rc<Cell<usize>>,
    /// How many may be.
    max_open: usize,
    /// The longest answer that is read.
    max_answer: usize,
}

impl Client {
    /// A client that uses connections again if they were idle for less than
    /// `max_idle`.
    pub fn new(net: Net, max_idle: Duration) -> Self {
        Client {
            net,
            idle: RefCell::default(),
            max_idle,
            open: Rc::default(),
            max_open: usize::MAX,
            max_answer: ANSWER_LIMIT,
        }
    }

    /// The same with other bounds: on connections, and on an answer's bytes.
    pub fn bounded(self, max_open: usize, max_answer: usize) -> Self {
        Client {
            max_open,
            max_answer,
            ..self
        }
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.open.get()
    }

    /// Makes room for one more connection, by closing the one that has been
    /// idle longest; false when all are in use.
    fn make_room(&self) -> bool {
        if self.open.get() < self.max_open {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(addr, list)| Some((list.first()?.since, *addr)))
            .min_by_key(|(since, _)| *since);
        let Some((_, addr)) = oldest else {
            return false;
        };
        if let Some(list) = idle.get_mut(&addr) {
            list.remove(0);
            if list.is_empty() {
                idle.remove(&addr);
            }
        }
        true
    }

    async fn connect(&self, addr: SocketAddrV4) -> io::Result<Connection> {
        if !self.make_room() {
            return Err(io::Error::other("all connections are in use"));
        }
        // Counted from here on, as several may connect at once.
        let open = OpenConnection::new(&self.open);
        let stream = self.net.dial(addr).await?;
        Ok(Connection {
            stream,
            _open: open,
        })
    }

    async fn connect_until(
        &self,
        addr: SocketAddrV4,
        deadline: Instant,
    ) -> Result<Connection, CallError> {
        match timeout_at(deadline, self.connect(addr)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(CallError::NotSent(error.to_string())),
            Err(_) => Err(CallError::NotSent("connecting took too long".into())),
        }
    }

    /// Takes the connection to an address that has been idle for the shortest
    /// time.
    fn take_idle(&self, addr: SocketAddrV4) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    /// Keeps a connection for the next request to its address.
    fn keep(&self, addr: SocketAddrV4, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_PER_ADDRESS {
            list.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Sends a request and reads its answer, both within `limit`.
    pub async fn call(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let deadline = Instant::now() + limit;
        let deadlines = Deadlines {
            send: deadline,
            answer: deadline,
        };
        self.call_within(addr, method, path, body, deadlines).await
    }

    /// The same for a call that was decided on earlier. What has not been sent
    /// by its deadline is not sent any more: a process that stood still would
    /// else go on with what it meant to do before.
    pub async fn call_within(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        deadlines: Deadlines,
    ) -> Result<Response, CallError> {
        let idle = self.take_idle(addr);
        let mut connection = match idle {
            Some(idle) if idle.since.elapsed() < self.max_idle => idle.connection,
            _ => self.connect_until(addr, deadlines.send).await?,
        };
        let request = request_bytes(addr, method, path, &body.unwrap_or_default());
        // A timeout alone looks at the clock only after its future has run.
        if Instant::now() >= deadlines.send {
            return Err(CallError::NotSent("too late to send".into()));
        }
        let exchange = async {
            connection.stream.write_all(&request).await?;
            read_response(&mut connection.stream, self.max_answer).await
        };
        match timeout_at(deadlines.answer, exchange).await {
            Err(_) => Err(CallError::NoAnswer("timed out".into())),
            Ok(Err(error)) if error.kind() == io::ErrorKind::FileTooLarge => {
                Err(CallError::TooLarge)
            }
            Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
            Ok(Ok((response, keep_alive))) => {
                if keep_alive {
                    self.keep(addr, connection);
                }
                Ok(response)
            }
        }
    }

    /// Forgets connections that have been idle too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|idle| idle.since.elapsed() < self.max_idle);
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

fn request_bytes(addr: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

fn too_large() -> io::Error {
    io::Error::from(io::ErrorKind::FileTooLarge)
}

/// Reads what comes next; fails at the end of the stream, and when the buffer
/// holds more than `limit` already.
async fn read_more(stream: &mut Stream, buffer: &mut Vec<u8>, limit: usize) -> io::Result<()> {
    if buffer.len() > limit {
        return Err(too_large());
    }
    buffer.reserve(READ_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        _ => Ok(()),
    }
}

/// What an answer's head says.
struct ResponseHead {
    status: u16,
    /// Its own length.
    len: usize,
    /// How the body ends.
    body: BodyEnd,
    retry_after: Option<u32>,
    keep_alive: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy)]
enum BodyEnd {
    Chunked,
    Length(usize),
    /// With the connection.
    Close,
}

/// Reads the head of an answer from the start of `buffer`; none if more bytes
/// are needed.
fn parse_head(buffer: &[u8]) -> io::Result<Option<ResponseHead>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let len = match head.parse(buffer) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(malformed(&error.to_string())),
    };
    let mut length = None;
    let mut chunked = false;
    let mut keep_alive = head.version == Some(1);
    let mut retry_after = None;
    for header in head.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let given = value.parse::<usize>();
            length = Some(given.map_err(|_| malformed("content-length"))?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep_alive = keep_alive && !value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            retry_after = value.parse().ok();
        }
    }
    let body = match length {
        _ if chunked => BodyEnd::Chunked,
        Some(length) => BodyEnd::Length(length),
        None => BodyEnd::Close,
    };
    Ok(Some(ResponseHead {
        status: head.code.unwrap_or(0),
        len,
        body,
        retry_after,
        keep_alive: keep_alive && !matches!(body, BodyEnd::Close),
    }))
}

/// Reads an answer, and whether the connection may be used again.
async fn read_response(stream: &mut Stream, limit: usize) -> io::Result<(Response, bool)> {
    let mut buffer = Vec::new();
    let head = loop {
        read_more(stream, &mut buffer, limit).await?;
        if let Some(head) = parse_head(&buffer)? {
            break head;
        }
    };
    let begun = buffer.split_off(head.len);
    let response = Response {
        status: head.status,
        body: read_body(stream, begun, head.body, limit).await?,
        retry_after: head.retry_after,
        text: false,
    };
    Ok((response, head.keep_alive))
}

/// Reads the rest of a body of which some has come with the head.
async fn read_body(
    stream: &mut Stream,
    mut body: Vec<u8>,
    end: BodyEnd,
    limit: usize,
) -> io::Result<Vec<u8>> {
    match end {
        BodyEnd::Chunked => return read_chunks(stream, body, limit).await,
        BodyEnd::Length(length) => {
            if length > limit {
                return Err(too_large());
            }
            body.reserve(length.saturating_sub(body.len()));
            while body.len() < length {
                read_more(stream, &mut body, limit).await?;
            }
            body.truncate(length);
        }
        BodyEnd::Close => while read_more(stream, &mut body, limit).await.is_ok() {},
    }
    Ok(body)
}

async fn read_chunks(
    stream: &mut Stream,
    mut buffer: Vec<u8>,
    limit: usize,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(&buffer) {
            Err(_) => return Err(malformed("chunk size")),
            Ok(httparse::Status::Partial) => read_more(stream, &mut buffer, limit).await?,
            Ok(httparse::Status::Complete((used, size))) => {
                let size = usize::try_from(size).map_err(|_| malformed("chunk size"))?;
                if body.len().saturating_add(size) > limit {
                    return Err(too_large());
                }
                while buffer.len() < used + size + 2 {
                    read_more(stream, &mut buffer, limit).await?;
                }
                body.extend_from_slice(&buffer[used..used + size]);
                buffer.drain(..used + size + 2);
                if size == 0 {
                    return Ok(body);
                }
            }
        }
    }
}
