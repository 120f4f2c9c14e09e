//! Requests and responses, and their encoding on a connection.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{BODY_LIMIT, CallError, HEAD_LIMIT, MAX_HEADERS};

/// A request, as the server has received it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method, as it was sent.
    pub method: String,
    /// The target up to the `?`.
    pub path: String,
    /// What follows the `?`; empty if there is none.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A response, to be sent by the server or read by the client.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body: JSON, unless `text` is set.
    pub body: Vec<u8>,
    /// `Retry-After`, in whole seconds.
    pub retry_after: Option<u32>,
    /// The body is plain text.
    pub text: bool,
}

impl Response {
    /// An empty JSON object.
    pub fn empty(status: u16) -> Self {
        Response {
            status,
            body: b"{}".to_vec(),
            retry_after: None,
            text: false,
        }
    }

    /// A value as JSON.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Response {
                body,
                ..Response::empty(status)
            },
            Err(_) => Response::error(500, "answer could not be written"),
        }
    }

    /// An object that names the problem.
    pub fn error(status: u16, problem: &str) -> Self {
        Response::json(status, &serde_json::json!({ "error": problem }))
    }

    /// 503, and after how many seconds the client may come back.
    pub fn unavailable(problem: &str, retry_after: u32) -> Self {
        Response {
            retry_after: Some(retry_after),
            ..Response::error(503, problem)
        }
    }

    /// The body as a value.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::Malformed(error.to_string()))
    }
}

/// The reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
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

/// The outcome of parsing one request.
#[derive(Debug)]
pub enum Parsed {
    /// More bytes are needed.
    Partial,
    /// A whole request.
    Complete {
        /// The request.
        request: Request,
        /// The bytes that it took.
        len: usize,
        /// Whether the client keeps the connection open.
        keep_alive: bool,
    },
    /// The request is malformed or exceeds a limit: respond and close.
    Invalid(RequestError),
}

/// Parses one request at the start of `buffer`; pure.
pub fn parse_request(buffer: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_len = match head.parse(buffer) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buffer.len() > HEAD_LIMIT => {
            return invalid(431, "head too large");
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => return invalid(431, "too many headers"),
        Err(_) => return invalid(400, "malformed request"),
    };
    if head_len > HEAD_LIMIT {
        return invalid(431, "head too large");
    }
    let framing = match framing_of(&head) {
        Ok(framing) => framing,
        Err(error) => return Parsed::Invalid(error),
    };
    if framing.length > BODY_LIMIT {
        return invalid(400, "body over 64 KiB");
    }
    let end = head_len + framing.length;
    if buffer.len() < end {
        return Parsed::Partial;
    }
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: path.to_string(),
        query: query.to_string(),
        body: buffer[head_len..end].to_vec(),
    };
    Parsed::Complete {
        request,
        len: end,
        keep_alive: framing.keep_alive,
    }
}

fn invalid(status: u16, problem: &'static str) -> Parsed {
    Parsed::Invalid(RequestError { status, problem })
}

/// The length of a request's body, and what is to become of the connection.
struct Framing {
    length: usize,
    keep_alive: bool,
}

/// Why a request is refused before it reaches the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {problem}")]
pub struct RequestError {
    /// The status of the response.
    pub status: u16,
    /// The problem, as the client is told.
    pub problem: &'static str,
}

/// Reads the headers that frame the request.
fn framing_of(head: &httparse::Request) -> Result<Framing, RequestError> {
    let refuse = |status, problem| Err(RequestError { status, problem });
    let mut length: Option<usize> = None;
    let mut keep_alive = head.version == Some(1);
    for header in head.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            match value.parse::<usize>() {
                Ok(given) if digits && length.is_none_or(|known| known == given) => {
                    length = Some(given);
                }
                _ if digits && length.is_none() => return refuse(400, "body too large"),
                _ => return refuse(400, "bad content-length"),
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return refuse(411, "give a content-length");
        } else if header.name.eq_ignore_ascii_case("connection") {
            if value.eq_ignore_ascii_case("close") {
                keep_alive = false;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                keep_alive = true;
            }
        }
    }
    Ok(Framing {
        length: length.unwrap_or(0),
        keep_alive,
    })
}

/// A response as it is sent; one that does not keep the connection says so.
pub(super) fn encode(response: &Response, keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    let content_type = if response.text {
        "text/plain; charset=utf-8"
    } else {
        "application/json"
    };
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if !keep_alive {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&response.body);
    out
}

/// The value of `name` in a query string; no escapes are needed by PROTOCOL.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
