//! Leases of the state service, and the removal of their keys when they expire.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::Response;
use tokio::time::{Instant, sleep};

use super::StateService;
use super::commits::written_key;

/// A lease that a controller holds at the state service, and the keys that are removed when
/// the lease ends, in the order of removal.
pub(super) struct StateLease {
    ttl: Duration,
    /// Time at which the lease expires unless it is renewed.
    ends: Instant,
    keys: BTreeSet<String>,
}

impl StateService {
    /// Removes expired leases and their keys periodically. No lease expires during an outage:
    /// each lease has its full TTL again when the outage ends.
    pub(in crate::stand_ins) async fn run_lease_expiry(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(50)).await;
            let now = Instant::now();
            let mut expired_keys = Vec::new();
            self.leases.borrow_mut().retain(|_, lease| {
                if self.is_in_outage() {
                    lease.ends = now + lease.ttl;
                }
                let is_valid = lease.ends > now;
                if !is_valid {
                    expired_keys.extend(std::mem::take(&mut lease.keys));
                }
                is_valid
            });
            self.remove(expired_keys);
        }
    }

    /// Removes keys, in transactions of at most `txn_ops` writes.
    fn remove(&self, keys: Vec<String>) {
        let writes: Vec<Value> = keys.iter().map(|k| json!({"remove": k})).collect();
        for chunk in writes.chunks(self.limits.get().txn_ops.max(1)) {
            self.apply(&json!({"guards": [], "writes": chunk}));
        }
    }

    /// Serves a request that creates, renews or revokes a lease.
    pub(super) fn lease(&self, method: &str, path: &str, body: &Value) -> Response {
        let now = Instant::now();
        let id = path.trim_matches('/').trim_end_matches("/extend").parse();
        match (method, id) {
            ("POST", Err(_)) => {
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
                let id = self.next_lease.get() + 1;
                self.next_lease.set(id);
                let keys = BTreeSet::new();
                let ends = now + ttl;
                let lease = StateLease { ttl, ends, keys };
                self.leases.borrow_mut().insert(id, lease);
                Response::json(200, &json!({"permit": id}))
            }
            ("POST", Ok(id)) => match self.leases.borrow_mut().get_mut(&id) {
                Some(lease) => {
                    lease.ends = now + lease.ttl;
                    Response::json(200, &json!({}))
                }
                None => Response::empty(404),
            },
            (_, Ok(id)) => {
                let revoked = self.leases.borrow_mut().remove(&id);
                self.remove(revoked.into_iter().flat_map(|l| l.keys).collect());
                Response::empty(200)
            }
            _ => Response::empty(400),
        }
    }

    /// Attaches the written key to the lease in the write's `permit` field, if there is one, and
    /// detaches the key from all other leases. A key belongs only to the lease of its last write.
    pub(super) fn attach_to_lease(&self, write: &Value) {
        let key = written_key(write);
        for (id, lease) in self.leases.borrow_mut().iter_mut() {
            if write["permit"].as_u64() == Some(*id) {
                lease.keys.insert(key.to_string());
            } else {
                lease.keys.remove(key);
            }
        }
    }
}
