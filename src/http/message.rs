//! Requests and responses as text.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{BODY_LIMIT, CallError, HEAD_LIMIT, HEADERS};

/// A request that the server has read.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method, as it was sent.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// What follows the `?` of the path; empty if nothing does.
    pub query: String,
    /// The body, 64 KiB at most.
    pub body: Vec<u8>,
}

/// A response, of this server or to this client.
#[derive(Debug, Clone)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The body: JSON, unless `text` is set.
    pub body: Vec<u8>,
    /// Whole seconds after which the client may come back.
    pub retry_after: Option<u32>,
    /// Whether the body is plain text for people to read.
    pub text: bool,
}

impl Response {
    /// A response whose body is an empty JSON object.
    pub fn empty(status: u16) -> Self {
        Response {
            status,
            body: b"{}".to_vec(),
            retry_after: None,
            text: false,
        }
    }
    /// A response with `value` as JSON.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Response {
                body,
                ..Response::empty(status)
            },
            Err(_) => Response::error(500, "answer could not be written"),
        }
    }
    /// A JSON response that names a problem in its field `error`.
    pub fn error(status: u16, problem: &str) -> Self {
        Response::json(status, &serde_json::json!({ "error": problem }))
    }
    /// A 503 response that asks the client to come back after so many seconds.
    pub fn unavailable(problem: &str, retry_after: u32) -> Self {
        Response {
            retry_after: Some(retry_after),
            ..Response::error(503, problem)
        }
    }
    /// Reads the body as JSON.
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

pub(super) fn encode(response: &Response, keep: bool) -> Vec<u8> {
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

/// What a handler returns: the response, once it is ready.
/// The value of `name` in a query string; no escapes are needed by PROTOCOL.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name)
        .map(|(_, v)| v)
}
