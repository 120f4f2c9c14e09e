//! The check that each machine is in one zone shard and one machine shard at most.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;
use shelfhoist::state::records::{MachineShard, ZoneShard};

use super::State;

impl State {
    /// Judges the places of machines in the tables that a transaction wrote to.
    pub(super) fn check_changed_places(&self, writes: &[Value], at: u64) {
        for table in ["sh/zone/", "sh/machine/"] {
            let mut keys = writes.iter().filter_map(|w| w["set"].as_str());
            if keys.any(|key| key.starts_with(table)) {
                self.check_places(&self.pairs.borrow(), table, at);
            }
        }
    }

    /// Panics for a record that cannot be read, unless a test put it down.
    fn assert_written_by_test(&self, key: &str, value: &Value) {
        let put_down = self.test_writes.borrow();
        assert_eq!(put_down.get(key), Some(value), "{key} cannot be read");
    }

    /// Each machine stands in one zone shard and one machine shard at most.
    fn check_places(&self, pairs: &BTreeMap<String, (Value, u64)>, table: &str, at: u64) {
        let mut seen: HashMap<String, String> = HashMap::new();
        for (key, (value, _)) in pairs.range(table.to_string()..) {
            if !key.starts_with(table) {
                break;
            }
            let text = value.to_string();
            let names: Option<Vec<String>> = match table {
                "sh/zone/" => {
                    let shard = serde_json::from_str::<ZoneShard>(&text);
                    shard.ok().map(|shard| shard.machines.into_keys().collect())
                }
                _ => {
                    let machine_shard = serde_json::from_str::<MachineShard>(&text);
                    machine_shard
                        .ok()
                        .map(|machine_shard| machine_shard.machines.into_keys().collect())
                }
            };
            let Some(names) = names else {
                self.assert_written_by_test(key, value);
                continue;
            };
            for name in names {
                if let Some(other) = seen.insert(name.clone(), key.clone()) {
                    let place = format!("{name} in {other} and {key} at {at}");
                    self.misplaced_machines.borrow_mut().push(place);
                }
            }
        }
    }
}
