//! Reads and parses a response from a connection.

use std::io;

use tokio::io::AsyncReadExt;

use crate::http::{MAX_HEADERS, Response};
use crate::net::Stream;

/// Free buffer capacity that is reserved for each read, in bytes.
const READ_CAPACITY_BYTES: usize = 4096;

fn malformed(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem.to_string())
}

fn too_large() -> io::Error {
    io::Error::from(io::ErrorKind::FileTooLarge)
}

/// Reads further bytes into the buffer. Fails at the end of the stream, and if the buffer
/// already contains more than `limit` bytes.
async fn read_more(stream: &mut Stream, buffer: &mut Vec<u8>, limit: usize) -> io::Result<()> {
    if buffer.len() > limit {
        return Err(too_large());
    }
    buffer.reserve(READ_CAPACITY_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        _ => Ok(()),
    }
}

/// Status and relevant headers of a response.
struct ResponseHead {
    status: u16,
    /// Length of the head, in bytes.
    len: usize,
    /// Framing of the body that follows.
    body: BodyFraming,
    /// `Retry-After`, in seconds.
    retry_after: Option<u32>,
    /// True if the connection can be used for another request.
    keep_alive: bool,
}

/// Way in which the end of a body is determined.
#[derive(Clone, Copy)]
enum BodyFraming {
    /// The body has chunked transfer encoding.
    Chunked,
    /// The body has this length in bytes, as given by `Content-Length`.
    Length(usize),
    /// The body ends when the server closes the connection.
    Close,
}

/// Headers of a response that the client evaluates.
#[derive(Default)]
struct HeaderFields {
    content_length: Option<usize>,
    is_chunked: bool,
    /// True if the server closes the connection after the response.
    closes_connection: bool,
    /// `Retry-After`, in seconds.
    retry_after: Option<u32>,
}

impl HeaderFields {
    /// Extracts the relevant headers.
    fn read(headers: &[httparse::Header]) -> io::Result<Self> {
        let mut fields = HeaderFields::default();
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let length = value
                    .parse()
                    .map_err(|_| malformed("invalid content-length"))?;
                fields.content_length = Some(length);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                fields.is_chunked = value.eq_ignore_ascii_case("chunked");
            } else if header.name.eq_ignore_ascii_case("connection") {
                fields.closes_connection |= value.eq_ignore_ascii_case("close");
            } else if header.name.eq_ignore_ascii_case("retry-after") {
                fields.retry_after = value.parse().ok();
            }
        }
        Ok(fields)
    }

    /// Returns the framing of the body that the headers announce.
    fn body_framing(&self) -> BodyFraming {
        match self.content_length {
            _ if self.is_chunked => BodyFraming::Chunked,
            Some(length) => BodyFraming::Length(length),
            None => BodyFraming::Close,
        }
    }
}

/// Parses the head at the start of `buffer`. Returns `None` if more bytes are needed.
fn parse_head(buffer: &[u8]) -> io::Result<Option<ResponseHead>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let len = match head.parse(buffer) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(malformed(&error.to_string())),
    };
    let fields = HeaderFields::read(head.headers)?;
    let body = fields.body_framing();
    let keeps_alive = head.version == Some(1) && !fields.closes_connection;
    Ok(Some(ResponseHead {
        status: head.code.unwrap_or(0),
        len,
        body,
        retry_after: fields.retry_after,
        keep_alive: keeps_alive && !matches!(body, BodyFraming::Close),
    }))
}

/// Response that the client has received, with the state of its connection.
pub(super) struct ReceivedResponse {
    pub(super) response: Response,
    /// True if the connection can be used for another request.
    pub(super) keep_alive: bool,
}

/// Reads a response whose head and body have at most `limit` bytes each.
pub(super) async fn read_response(
    stream: &mut Stream,
    limit: usize,
) -> io::Result<ReceivedResponse> {
    let mut buffer = Vec::new();
    let head = loop {
        read_more(stream, &mut buffer, limit).await?;
        if let Some(head) = parse_head(&buffer)? {
            break head;
        }
    };
    let body_start = buffer.split_off(head.len);
    let response = Response {
        status: head.status,
        body: read_body(stream, body_start, head.body, limit).await?,
        retry_after: head.retry_after,
        text: false,
    };
    Ok(ReceivedResponse {
        response,
        keep_alive: head.keep_alive,
    })
}

/// Reads the rest of a body. `body` contains the bytes that arrived with the head.
async fn read_body(
    stream: &mut Stream,
    mut body: Vec<u8>,
    framing: BodyFraming,
    limit: usize,
) -> io::Result<Vec<u8>> {
    match framing {
        BodyFraming::Chunked => return read_chunks(stream, body, limit).await,
        BodyFraming::Length(length) => {
            if length > limit {
                return Err(too_large());
            }
            body.reserve(length.saturating_sub(body.len()));
            while body.len() < length {
                read_more(stream, &mut body, limit).await?;
            }
            body.truncate(length);
        }
        BodyFraming::Close => while read_more(stream, &mut body, limit).await.is_ok() {},
    }
    Ok(body)
}

/// Reads a body in chunked transfer encoding. `buffer` contains the bytes that arrived
/// with the head.
async fn read_chunks(
    stream: &mut Stream,
    mut buffer: Vec<u8>,
    limit: usize,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(&buffer) {
            Err(_) => return Err(malformed("invalid chunk size")),
            Ok(httparse::Status::Partial) => read_more(stream, &mut buffer, limit).await?,
            Ok(httparse::Status::Complete((used, size))) => {
                let size = usize::try_from(size).map_err(|_| malformed("invalid chunk size"))?;
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
