//! One request to the state service, as the client sends it.

use std::time::Duration;

use crate::state::budget::RequestClass;

/// A request, with what it takes of the budget.
pub(super) struct Request<'a> {
    pub(super) class: RequestClass,
    /// How many keys it writes.
    pub(super) writes: usize,
    pub(super) method: &'static str,
    pub(super) path: &'a str,
    pub(super) body: Option<Vec<u8>>,
    /// How long the response may take before it counts as none.
    pub(super) timeout: Duration,
}

impl<'a> Request<'a> {
    /// A request that reads.
    pub(super) fn get(class: RequestClass, path: &'a str, timeout: Duration) -> Self {
        Request {
            class,
            writes: 0,
            method: "GET",
            path,
            body: None,
            timeout,
        }
    }

    /// A request with a body, which writes no key unless `writes` is set.
    pub(super) fn post(
        class: RequestClass,
        path: &'a str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Self {
        Request {
            class,
            writes: 0,
            method: "POST",
            path,
            body: Some(body),
            timeout,
        }
    }
}
