//! Small HTTP/1.1 server and keep-alive client, based on `httparse`.
//!
//! The time and memory of every connection are bounded: head and body have maximum
//! sizes and have to arrive within a timeout.

mod client;
mod message;
mod server;

pub use client::{CallError, Client, Deadlines};
pub use message::{ParsedRequest, Request, RequestError, Response, parse_request, query_value};
pub use server::{Handler, ResponseFuture, ServerLimits, serve};

/// Maximum size of a request body, in bytes. PROTOCOL sets it to 64 KiB.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Maximum size of the head of a request, in bytes.
const HEAD_LIMIT: usize = 8 * 1024;

/// Maximum number of headers of a request or a response.
const MAX_HEADERS: usize = 48;

/// Default maximum size of a response that a client reads, in bytes. This limits how much
/// memory the client allocates if a server is faulty.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
