//! Defines a request to the state service, with the information that the budget needs.

use std::time::Duration;

use crate::state::budget::RequestClass;

/// Request to the state service, with its cost in the budget.
pub(super) struct Request<'a> {
    pub(super) class: RequestClass,
    /// Number of keys that the request writes.
    pub(super) writes: usize,
    pub(super) method: &'static str,
    pub(super) path: &'a str,
    pub(super) body: Option<Vec<u8>>,
    /// Time after which the request counts as unanswered.
    pub(super) timeout: Duration,
}

impl<'a> Request<'a> {
    /// Creates a `GET` request, which writes no keys.
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

    /// Creates a `POST` request. The budget is charged for no written keys unless the caller
    /// sets `writes`.
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
