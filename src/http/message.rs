//! HTTP requests and responses: parsing of requests, and encoding of responses.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CallError, HEAD_LIMIT, MAX_HEADERS};

/// Maximum number of characters of the problem in an error response.
const MAX_PROBLEM_CHARS: usize = 500;

/// Request that the server has received.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Request target up to the `?`.
    pub path: String,
    /// Query string after the `?`; empty if there is none.
    pub query: String,
    /// Body, without transfer encoding.
    pub body: Vec<u8>,
}

/// Response that the server sends or the client has received.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body: JSON, unless `text` is set.
    pub body: Vec<u8>,
    /// `Retry-After`, in whole seconds.
    pub retry_after: Option<u32>,
    /// True if the body is plain text.
    pub text: bool,
}

impl Response {
    /// Returns a response with an empty JSON object.
    pub fn empty(status: u16) -> Self {
        Response {
            status,
            body: b"{}".to_vec(),
            retry_after: None,
            text: false,
        }
    }

    /// Returns a response with a value as JSON.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Response {
                body,
                ..Response::empty(status)
            },
            Err(_) => Response::error(500, "answer could not be written"),
        }
    }

    /// Returns a response with a value as JSON on several lines, one for each field. The lines
    /// stay short if the value is a long list.
    pub fn json_lines<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec_pretty(value) {
            Ok(body) => Response {
                body,
                ..Response::empty(status)
            },
            Err(_) => Response::error(500, "answer could not be written"),
        }
    }

    /// Returns an error response, `{"error": problem}`. A long problem is cut off, as it may
    /// quote what the client has sent.
    pub fn error(status: u16, problem: &str) -> Self {
        let problem: String = problem.chars().take(MAX_PROBLEM_CHARS).collect();
        Response::json(status, &serde_json::json!({ "error": problem }))
    }

    /// Returns a 503 response. The client may retry after `retry_after` seconds.
    pub fn unavailable(problem: &str, retry_after: u32) -> Self {
        Response {
            retry_after: Some(retry_after),
            ..Response::error(503, problem)
        }
    }

    /// Deserializes the body from JSON.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::Malformed(error.to_string()))
    }
}

/// Returns the reason phrase of a status code.
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

/// Request that has arrived in full.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Parsed request.
    pub request: Request,
    /// Length of the request in the buffer, in bytes.
    pub len: usize,
    /// True if the client keeps the connection open after the response.
    pub keep_alive: bool,
}

/// Reason why a request is rejected before it reaches the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {problem}")]
pub struct RequestError {
    /// Status code of the response.
    pub status: u16,
    /// Problem, as it appears in the response.
    pub problem: &'static str,
}

impl RequestError {
    const fn new(status: u16, problem: &'static str) -> Self {
        RequestError { status, problem }
    }
}

const HEAD_TOO_LARGE: RequestError = RequestError::new(431, "head too large");

/// Parses one request at the start of `buffer`. Returns `None` if more bytes are needed, and
/// an error if the body has more than `max_body_bytes`.
pub fn parse_request(
    buffer: &[u8],
    max_body_bytes: usize,
) -> Result<Option<ParsedRequest>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_len = match head.parse(buffer) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buffer.len() > HEAD_LIMIT => return Err(HEAD_TOO_LARGE),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::new(431, "too many headers"));
        }
        Err(_) => return Err(RequestError::new(400, "malformed request")),
    };
    if head_len > HEAD_LIMIT {
        return Err(HEAD_TOO_LARGE);
    }
    let framing = Framing::read(&head)?;
    if framing.length > max_body_bytes {
        return Err(RequestError::new(400, "body too long"));
    }
    let len = head_len + framing.length;
    if buffer.len() < len {
        return Ok(None);
    }
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: path.to_string(),
        query: query.to_string(),
        body: buffer[head_len..len].to_vec(),
    };
    Ok(Some(ParsedRequest {
        request,
        len,
        keep_alive: framing.keep_alive,
    }))
}

/// Framing of a request, as its headers specify it.
struct Framing {
    /// Length of the body, in bytes.
    length: usize,
    /// True if the client keeps the connection open after the response.
    keep_alive: bool,
}

impl Framing {
    /// Extracts the framing from the headers.
    fn read(head: &httparse::Request) -> Result<Self, RequestError> {
        let mut length = None;
        let mut keep_alive = head.version == Some(1);
        for header in head.headers.iter() {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                length = Some(parse_content_length(value, length)?);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(RequestError::new(411, "give a content-length"));
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
}

/// Parses the value of a `Content-Length` header. If the request has several such headers,
/// their values must be equal: `earlier` is the value of the preceding one.
fn parse_content_length(value: &str, earlier: Option<usize>) -> Result<usize, RequestError> {
    let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    match value.parse::<usize>() {
        Ok(length) if is_number && earlier.is_none_or(|earlier| earlier == length) => Ok(length),
        _ if is_number && earlier.is_none() => Err(RequestError::new(400, "body too large")),
        _ => Err(RequestError::new(400, "bad content-length")),
    }
}

/// Encodes a response. Without `keep_alive`, the response announces that the server
/// closes the connection.
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

/// Returns the value of the parameter `name` in a query string.
///
/// The value is not percent-decoded: no parameter of PROTOCOL contains characters that
/// have to be encoded.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
