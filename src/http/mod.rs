//! HTTP/1.1 over `httparse`: a small server and a small keep-alive client.
//!
//! Time and memory are bounded for every connection: a head and a body have
//! sizes that they may not exceed and a span in which they must arrive.

mod client;
mod message;
mod server;

pub use client::{CallError, Client, Deadlines};
pub use message::{Parsed, Request, Response, parse_request, query_value};
pub use server::{Handler, ResponseFuture, ServerLimits, serve};

/// PROTOCOL: a request body can be at most 64 KiB.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The longest head of a request.
const HEAD_LIMIT: usize = 8 * 1024;

/// The most headers of a request or an answer.
const MAX_HEADERS: usize = 48;

/// What an answer may hold, unless the client says otherwise: this bounds what
/// a broken peer can make us hold.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
