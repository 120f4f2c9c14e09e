//! HTTP/1.1 over `httparse`: a small server and a small keep-alive client.
//!
//! Time and memory are bounded for every connection: a head and a body have maximum
//! sizes, and have to arrive within a timeout.

mod client;
mod message;
mod server;

pub use client::{CallError, Client, Deadlines};
pub use message::{ParsedRequest, Request, RequestError, Response, parse_request, query_value};
pub use server::{Handler, ResponseFuture, ServerLimits, serve};

/// PROTOCOL: a request body can be at most 64 KiB.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The maximum bytes of a request's head.
const HEAD_LIMIT: usize = 8 * 1024;

/// The maximum number of headers of a request or a response.
const MAX_HEADERS: usize = 48;

/// The maximum bytes of a response, unless the client sets another limit: it bounds
/// the memory that a broken peer can take here.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
