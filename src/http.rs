//! HTTP/1.1 over `httparse`: a small server and a small keep-alive client.
//!
//! Time and memory are bounded for every connection: a head and a body have
//! sizes that they may not exceed and a span in which they must arrive.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};

use crate::net::{Listener, Net, Stream};

/// PROTOCOL: a request body can be at most 64 KiB.
pub const BODY_LIMIT: usize = 64 * 1024;
const HEAD_LIMIT: usize = 8 * 1024;
const HEADERS: usize = 48;
/// What an answer may hold, unless the client says otherwise: this bounds what
/// a broken peer can make us hold.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whole seconds after which the client may come back.
    pub retry_after: Option<u32>,
    pub text: bool,
}

impl Response {
    pub fn empty(status: u16) -> Self {
        Response {
            status,
            body: b"{}".to_vec(),
            retry_after: None,
            text: false,
        }
    }
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Response {
                body,
                ..Response::empty(status)
            },
            Err(_) => Response::error(500, "answer could not be written"),
        }
    }
    pub fn error(status: u16, problem: &str) -> Self {
        Response::json(status, &serde_json::json!({ "error": problem }))
    }
    pub fn unavailable(problem: &str, retry_after: u32) -> Self {
        Response {
            retry_after: Some(retry_after),
            ..Response::error(503, problem)
        }
    }
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::Malformed(e.to_string()))
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// What became of reading one request.
#[derive(Debug)]
pub enum Parsed {
    /// More bytes are needed.
    Partial,
    /// A request, the bytes that it took, and whether the connection stays.
    Whole(Request, usize, bool),
    /// Answer with this status and close.
    Refuse(u16, &'static str),
}

/// Reads one request from the start of `buf`; pure.
pub fn parse_request(buf: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_len = match head.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > HEAD_LIMIT => {
            return Parsed::Refuse(431, "head too large");
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Refuse(431, "too many headers"),
        Err(_) => return Parsed::Refuse(400, "malformed request"),
    };
    if head_len > HEAD_LIMIT {
        return Parsed::Refuse(431, "head too large");
    }
    let mut length: Option<usize> = None;
    let mut keep = head.version == Some(1);
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            match value.parse::<usize>() {
                Ok(n) if digits && length.is_none_or(|l| l == n) => length = Some(n),
                _ if digits && length.is_none() => return Parsed::Refuse(400, "body too large"),
                _ => return Parsed::Refuse(400, "bad content-length"),
            }
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Parsed::Refuse(411, "give a content-length");
        } else if h.name.eq_ignore_ascii_case("connection") {
            if value.eq_ignore_ascii_case("close") {
                keep = false;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                keep = true;
            }
        }
    }
    let length = length.unwrap_or(0);
    if length > BODY_LIMIT {
        return Parsed::Refuse(400, "body over 64 KiB");
    }
    if buf.len() < head_len + length {
        return Parsed::Partial;
    }
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Parsed::Whole(
        Request {
            method: head.method.unwrap_or("").to_string(),
            path: path.to_string(),
            query: query.to_string(),
            body: buf[head_len..head_len + length].to_vec(),
        },
        head_len + length,
        keep,
    )
}

fn encode(response: &Response, keep: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    let kind = if response.text {
        "text/plain; charset=utf-8"
    } else {
        "application/json"
    };
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
        response.body.len()
    );
    if let Some(s) = response.retry_after {
        head.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if !keep {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&response.body);
    out
}

pub type Answer = Pin<Box<dyn Future<Output = Response>>>;
pub type Handler = Rc<dyn Fn(Request) -> Answer>;

/// Bounds on what the server's connections may take.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    pub connections: usize,
    /// An idle connection may wait this long for its next request.
    pub idle: Duration,
    /// A request, once begun, must have arrived after this long; so must the
    /// client have taken its answer.
    pub arrive: Duration,
    /// Whose connections are not closed after the answer when most are taken:
    /// the others come back on new ones, and none is shut out by those that
    /// idle.
    pub stays: fn(&Request) -> bool,
}

impl ServerLimits {
    fn is_crowded(&self, open: usize) -> bool {
        open > self.connections / 4 * 3
    }
}

/// Serves until dropped. Must run inside a `LocalSet`.
pub async fn serve(mut listener: Listener, limits: ServerLimits, handler: Handler) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok(s) => s,
            Err(error) => {
                // Out of sockets, most likely: wait for some to close.
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            drop(stream);
            continue;
        }
        let (count, handler) = (Count::new(&open), handler.clone());
        tokio::task::spawn_local(async move {
            let _ = converse(stream, limits, handler, &count.0).await;
        });
    }
}

async fn converse(
    mut stream: Stream,
    limits: ServerLimits,
    handler: Handler,
    open: &Cell<usize>,
) -> io::Result<()> {
    let mut buf: Vec<u8> = Vec::new();
    loop {
        let mut begun: Option<Instant> = (!buf.is_empty()).then(Instant::now);
        let (request, used, keep) = loop {
            match parse_request(&buf) {
                Parsed::Whole(r, n, keep) => break (r, n, keep),
                Parsed::Refuse(status, problem) => {
                    let bytes = encode(&Response::error(status, problem), false);
                    let _ = timeout(limits.arrive, stream.write_all(&bytes)).await;
                    let _ = timeout(limits.arrive, stream.shutdown()).await;
                    return Ok(());
                }
                Parsed::Partial => {}
            }
            let wait = match begun {
                None => limits.idle,
                Some(t) => limits.arrive.saturating_sub(t.elapsed()),
            };
            buf.reserve(2048);
            match timeout(wait, stream.read_buf(&mut buf)).await {
                Ok(Ok(0)) | Err(_) => return Ok(()),
                Ok(Ok(_)) => begun = begun.or(Some(Instant::now())),
                Ok(Err(e)) => return Err(e),
            }
        };
        buf.drain(..used);
        if buf.is_empty() {
            // Idle connections hold no buffer: there may be many.
            buf = Vec::new();
        }
        let stays = (limits.stays)(&request);
        let response = handler(request).await;
        let keep = keep && (stays || !limits.is_crowded(open.get()));
        let bytes = encode(&response, keep);
        match timeout(limits.arrive, stream.write_all(&bytes)).await {
            Ok(done) => done?,
            Err(_) => return Ok(()),
        }
        if !keep {
            let _ = timeout(limits.arrive, stream.shutdown()).await;
            return Ok(());
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing left this process: surely not executed.
    #[error("not connected: {0}")]
    NotSent(String),
    /// Sent, at least in part: executed or not, now or later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    #[error("malformed answer: {0}")]
    Malformed(String),
    #[error("answer too large")]
    TooLarge,
}

/// Counts one for as long as it lives.
struct Count(Rc<Cell<usize>>);

impl Count {
    fn new(of: &Rc<Cell<usize>>) -> Self {
        of.set(of.get() + 1);
        Count(of.clone())
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    stream: Stream,
    _open: Count,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// By when a request must be sent, and by when its answer must be there.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// The request is not sent after this.
    pub send: Instant,
    /// The answer is not waited for any longer.
    pub answer: Instant,
}

/// Keeps connections open per address, and uses one for a request at a time.
pub struct Client {
    net: Net,
    idle: RefCell<HashMap<SocketAddrV4, Vec<Idle>>>,
    /// An idle connection older than this is not trusted to be open still.
    keep: Duration,
    /// How many connections are open, in use or idle, and may be.
    open: Rc<Cell<usize>>,
    most: usize,
    /// The longest answer that is read.
    answer: usize,
}

const IDLE_PER_ADDRESS: usize = 4;

impl Client {
    pub fn new(net: Net, keep: Duration) -> Self {
        Client {
            net,
            idle: RefCell::default(),
            keep,
            open: Rc::default(),
            most: usize::MAX,
            answer: ANSWER_LIMIT,
        }
    }

    /// The same with other bounds: on connections, and on an answer's bytes.
    pub fn bounded(self, most: usize, answer: usize) -> Self {
        Client {
            most,
            answer,
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
        if self.open.get() < self.most {
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

    async fn dial(&self, addr: SocketAddrV4) -> io::Result<Connection> {
        if !self.make_room() {
            return Err(io::Error::other("all connections are in use"));
        }
        // Counted from here on, as several may dial at once.
        let open = Count::new(&self.open);
        let stream = self.net.dial(addr).await?;
        Ok(Connection {
            stream,
            _open: open,
        })
    }

    /// Sends a request; the answer must be there within the limit.
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
        let reused = self.idle.borrow_mut().get_mut(&addr).and_then(|v| v.pop());
        let mut connection = match reused {
            Some(idle) if idle.since.elapsed() < self.keep => idle.connection,
            _ => match tokio::time::timeout_at(deadlines.send, self.dial(addr)).await {
                Ok(Ok(s)) => s,
                Ok(Err(e)) => return Err(CallError::NotSent(e.to_string())),
                Err(_) => return Err(CallError::NotSent("connecting took too long".into())),
            },
        };
        let body = body.unwrap_or_default();
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(&body);
        // A timeout alone looks at the clock only after its future has run.
        if Instant::now() >= deadlines.send {
            return Err(CallError::NotSent("too late to send".into()));
        }
        let exchange = async {
            connection.stream.write_all(&out).await?;
            read_response(&mut connection.stream, self.answer).await
        };
        match tokio::time::timeout_at(deadlines.answer, exchange).await {
            Err(_) => Err(CallError::NoAnswer("timed out".into())),
            Ok(Err(e)) if e.kind() == io::ErrorKind::FileTooLarge => Err(CallError::TooLarge),
            Ok(Err(e)) => Err(CallError::NoAnswer(e.to_string())),
            Ok(Ok((response, keep))) => {
                if keep {
                    let mut idle = self.idle.borrow_mut();
                    let list = idle.entry(addr).or_default();
                    if list.len() < IDLE_PER_ADDRESS {
                        list.push(Idle {
                            connection,
                            since: Instant::now(),
                        });
                    }
                }
                Ok(response)
            }
        }
    }

    /// Forgets connections that have been idle too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|i| i.since.elapsed() < self.keep);
        }
        idle.retain(|_, l| !l.is_empty());
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

fn too_large() -> io::Error {
    io::Error::from(io::ErrorKind::FileTooLarge)
}

async fn read_more(stream: &mut Stream, buf: &mut Vec<u8>, most: usize) -> io::Result<()> {
    if buf.len() > most {
        return Err(too_large());
    }
    buf.reserve(4096);
    match stream.read_buf(buf).await? {
        0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        _ => Ok(()),
    }
}

async fn read_response(stream: &mut Stream, most: usize) -> io::Result<(Response, bool)> {
    let mut buf = Vec::new();
    loop {
        read_more(stream, &mut buf, most).await?;
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let head_len = match head.parse(&buf) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) => continue,
            Err(e) => return Err(bad(&e.to_string())),
        };
        let mut length = None;
        let mut chunked = false;
        let mut keep = head.version == Some(1);
        let mut retry_after = None;
        for h in head.headers.iter() {
            let value = std::str::from_utf8(h.value).unwrap_or("").trim();
            if h.name.eq_ignore_ascii_case("content-length") {
                length = Some(value.parse::<usize>().map_err(|_| bad("content-length"))?);
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                chunked = value.eq_ignore_ascii_case("chunked");
            } else if h.name.eq_ignore_ascii_case("connection") {
                keep = keep && !value.eq_ignore_ascii_case("close");
            } else if h.name.eq_ignore_ascii_case("retry-after") {
                retry_after = value.parse().ok();
            }
        }
        let status = head.code.unwrap_or(0);
        let mut rest = buf.split_off(head_len);
        let body = if chunked {
            read_chunks(stream, rest, most).await?
        } else if let Some(n) = length {
            if n > most {
                return Err(too_large());
            }
            rest.reserve(n.saturating_sub(rest.len()));
            while rest.len() < n {
                read_more(stream, &mut rest, most).await?;
            }
            rest.truncate(n);
            rest
        } else {
            keep = false;
            while read_more(stream, &mut rest, most).await.is_ok() {}
            rest
        };
        let response = Response {
            status,
            body,
            retry_after,
            text: false,
        };
        return Ok((response, keep));
    }
}

async fn read_chunks(stream: &mut Stream, mut buf: Vec<u8>, most: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(&buf) {
            Err(_) => return Err(bad("chunk size")),
            Ok(httparse::Status::Partial) => read_more(stream, &mut buf, most).await?,
            Ok(httparse::Status::Complete((used, size))) => {
                let size = usize::try_from(size).map_err(|_| bad("chunk size"))?;
                if body.len().saturating_add(size) > most {
                    return Err(too_large());
                }
                while buf.len() < used + size + 2 {
                    read_more(stream, &mut buf, most).await?;
                }
                body.extend_from_slice(&buf[used..used + size]);
                buf.drain(..used + size + 2);
                if size == 0 {
                    return Ok(body);
                }
            }
        }
    }
}

/// The value of `name` in a query string; no escapes are needed by PROTOCOL.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name)
        .map(|(_, v)| v)
}
