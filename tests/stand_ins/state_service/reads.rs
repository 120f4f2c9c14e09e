//! Reads: lists of records in pages, and watches.

use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::{Response, query_value};
use tokio::time::{sleep, timeout};

use super::{StateFault, StateService};

/// Maximum number of records in a page.
const MAX_PAGE_RECORDS: usize = 1000;
/// Maximum size of the records in a page, in bytes of their JSON text.
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// Number of latest events that are kept for watches. A watch from an earlier revision
/// fails with status 410.
const MAX_KEPT_CHANGES: usize = 10_000;

impl StateService {
    /// Serves one page of the records under a prefix.
    pub(super) fn list(&self, query: &str) -> Response {
        let prefix = query_value(query, "prefix").unwrap_or("");
        let after = query_value(query, "after").unwrap_or("");
        let limit = query_value(query, "limit").and_then(|v| v.parse().ok());
        let limit = limit.unwrap_or(MAX_PAGE_RECORDS).min(MAX_PAGE_RECORDS);
        let pairs = self.pairs.borrow();
        let mut matching = pairs
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut page: Vec<Value> = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        for (key, (value, stamp)) in &mut matching {
            let record = json!({"key": key, "value": value, "stamp": stamp});
            bytes += record.to_string().len();
            if page.len() == limit || (bytes > MAX_PAGE_BYTES && !page.is_empty()) {
                truncated = true;
                break;
            }
            page.push(record);
        }
        let revision = self.revision.get();
        Response::json(
            200,
            &json!({"pairs": page, "truncated": truncated, "ledger_rev": revision}),
        )
    }

    /// Waits until the revision is later than `after`.
    async fn revision_after(&self, after: u64) {
        while self.revision.get() <= after {
            self.revision_changed.notified().await;
        }
    }

    /// Serves a watch: waits up to `block_ms` for a revision later than `after`, and returns all
    /// events since `after`. The prefix in the query is ignored.
    pub(super) async fn watch(&self, i: usize, query: &str) -> Response {
        let number = |name| query_value(query, name).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let block = Duration::from_millis(number("block_ms").unwrap_or(0));
        let _ = timeout(block, self.revision_after(after)).await;
        // An open watch waits until an outage, or the refusal of its controller, has ended.
        while self.refuses(i) {
            sleep(Duration::from_millis(100)).await;
        }
        let log = self.change_log.borrow();
        let last_dropped = log.len().checked_sub(MAX_KEPT_CHANGES + 1);
        if last_dropped.is_some_and(|last| log[last]["stamp"].as_u64() > Some(after)) {
            return Response::empty(410);
        }
        let new_events = log.iter().filter(|e| e["stamp"].as_u64() > Some(after));
        let events: Vec<&Value> = new_events.collect();
        let revision = self.revision.get();
        let mut response = Response::json(200, &json!({"ledger_rev": revision, "events": events}));
        if self.fault.get() == StateFault::OversizedWatchResponses && !events.is_empty() {
            response.body.resize(16 << 20, b' ');
        }
        response
    }
}
