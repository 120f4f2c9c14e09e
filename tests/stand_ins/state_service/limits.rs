//! The limits of the state service: the sizes of commits and keys, and request rates.

use std::cell::Cell;

use serde_json::Value;
use tokio::time::Instant;

use super::State;
use super::commits::written_key;

/// The longest key.
const MAX_KEY_BYTES: usize = 200;

/// The longest request.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// What one commit may write, one value hold, and all write in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    pub txn_ops: usize,
    pub value_limit_bytes: usize,
    pub write_rps: f64,
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

/// How much of a rate is left: bursts of one second's worth are allowed.
#[derive(Default)]
pub(super) struct RateLimit {
    /// What may be taken at once, and when that was.
    level: Cell<Option<(f64, Instant)>>,
}

impl RateLimit {
    /// Takes `count` at this rate a second; whether they are too many, and are
    /// not taken.
    pub(super) fn refuses(&self, rate: f64, count: usize) -> bool {
        if rate.is_infinite() {
            return false;
        }
        let now = Instant::now();
        let (level, at) = self.level.get().unwrap_or((rate, now));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let level = (level + passed * rate).min(rate);
        let refused = level < count as f64;
        let left = if refused { level } else { level - count as f64 };
        self.level.set(Some((left, now)));
        refused
    }
}

fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(char::is_whitespace)
}

impl State {
    /// Why a commit is beyond the limits, if it is.
    pub(super) fn limit_violation(&self, body: &Value) -> Option<String> {
        let limits = self.limits.get();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (writes, preconditions) = (list("writes"), list("guards"));
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
