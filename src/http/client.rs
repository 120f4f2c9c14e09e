//! The client: keeps connections open, and uses one for a request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

use super::{ANSWER_LIMIT, HEADERS, Response};
use crate::net::{Net, Stream};

/// Why a call has no response that can be used.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing left this process: surely not executed.
    #[error("not connected: {0}")]
    NotSent(String),
    /// Sent, at least in part: executed or not, now or later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The response is not HTTP, or its body is not what was expected.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The response is longer than the client may read.
    #[error("answer too large")]
    TooLarge,
}

/// Counts one for as long as it lives.
pub(super) struct Count(pub(super) Rc<Cell<usize>>);

impl Count {
    pub(super) fn new(of: &Rc<Cell<usize>>) -> Self {
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
    /// A client that trusts idle connections for the time `keep`, with no bound
    /// on their number.
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
