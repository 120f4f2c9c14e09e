//! The limits of the state service: the sizes of commits and keys, and request rates.

use std::cell::Cell;

use serde_json::Value;
use tokio::time::Instant;

use super::StateService;
use super::commits::written_key;

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Maximum size of a commit request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// The limits of the state service, which tests can set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    /// Maximum number of writes per commit; a commit may have four times as many
    /// preconditions.
    pub txn_ops: usize,
    /// Maximum size of a value's JSON text.
    pub value_limit_bytes: usize,
    /// Maximum number of writes per second.
    pub write_rps: f64,
    /// Maximum number of requests of any kind per second.
    pub rps: f64,
}

impl Default for StateLimits {
    fn default() -> Self {
        StateLimits {
            txn_ops: usize::MAX / 8,
            value_limit_bytes: usize::MAX,
            write_rps: f64::INFINITY,
            rps: f64::INFINITY,
        }
    }
}

/// A token bucket with a capacity of one second's tokens.
#[derive(Default)]
pub(super) struct RateLimit {
    /// Number of tokens, and the time at which that number applied.
    level: Cell<Option<(f64, Instant)>>,
}

impl RateLimit {
    /// Refills the bucket with `rate` tokens per second. Then takes `count` tokens from it, or
    /// takes none and returns true if it holds fewer.
    pub(super) fn refuses(&self, rate: f64, count: usize) -> bool {
        if rate.is_infinite() {
            return false;
        }
        let now = Instant::now();
        let (level, at) = self.level.get().unwrap_or((rate, now));
        let elapsed_s = now.saturating_duration_since(at).as_secs_f64();
        let level = (level + elapsed_s * rate).min(rate);
        let refused = level < count as f64;
        let left = if refused { level } else { level - count as f64 };
        self.level.set(Some((left, now)));
        refused
    }
}

/// Returns whether the text is a valid key: not empty, not too long, without white space.
fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(char::is_whitespace)
}

impl StateService {
    /// Returns a description of the first limit that a commit exceeds, if any.
    pub(super) fn limit_violation(&self, body: &Value) -> Option<String> {
        let limits = self.limits.get();
        let items = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (writes, preconditions) = (items("writes"), items("guards"));
        if writes.len() > limits.txn_ops || preconditions.len() > limits.txn_ops * 4 {
            return Some(format!(
                "txn_ops: {} writes, {} guards, first {}",
                writes.len(),
                preconditions.len(),
                writes
                    .first()
                    .map_or("", |w| w["set"].as_str().unwrap_or(""))
            ));
        }
        let bytes = body.to_string().len();
        if bytes > MAX_REQUEST_BYTES {
            return Some(format!("a commit of {bytes} bytes"));
        }
        let keys = writes.iter().map(written_key);
        if let Some(key) = keys
            .chain(preconditions.iter().filter_map(|g| g["key"].as_str()))
            .find(|k| !is_valid_key(k))
        {
            return Some(format!("not a key: {key:?}"));
        }
        writes.iter().find_map(|w| {
            let size = w["value"].to_string().len();
            let key = w["set"].as_str()?;
            (size > limits.value_limit_bytes).then(|| format!("value_kb: {key} has {size} bytes"))
        })
    }
}
