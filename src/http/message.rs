//! Requests and responses, and how they stand on a connection.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{BODY_LIMIT, CallError, HEAD_LIMIT, MAX_HEADERS};

/// A request as the server has read it.
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
    /// Whole seconds after which the client may come back.
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

/// The phrase that goes with a status code.
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

/// Reads one request from the start of `buffer`; pure.
pub fn parse_request(buffer: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_len = match head.parse(buffer) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buffer.len() > HEAD_LIMIT => {
            return Parsed::Refuse(431, "head too large");
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Refuse(431, "too many headers"),
        Err(_) => return Parsed::Refuse(400, "malformed request"),
    };
    if head_len > HEAD_LIMIT {
        return Parsed::Refuse(431, "head too large");
    }
    let framing = match framing_of(&head) {
        Ok(framing) => framing,
        Err(RequestError { status, problem }) => return Parsed::Refuse(status, problem),
    };
    if framing.length > BODY_LIMIT {
        return Parsed::Refuse(400, "body over 64 KiB");
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
    Parsed::Whole(request, end, framing.keep_alive)
}

/// What a request's headers say of its body and of the connection.
struct Framing {
    length: usize,
    keep_alive: bool,
}

/// Why a request is refused.
struct RequestError {
    status: u16,
    problem: &'static str,
}

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
        reason(response.status),
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
