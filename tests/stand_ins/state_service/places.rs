//! Checks that each machine is in at most one zone shard and at most one machine shard.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;
use shelfhoist::state::records::{MachineShard, ZoneShard};

use super::StateService;

impl StateService {
    /// Checks the tables of machines that a transaction wrote to.
    pub(super) fn check_changed_places(&self, writes: &[Value], revision: u64) {
        for table in ["sh/zone/", "sh/machine/"] {
            let mut keys = writes.iter().filter_map(|w| w["set"].as_str());
            if keys.any(|key| key.starts_with(table)) {
                self.check_places(&self.pairs.borrow(), table, revision);
            }
        }
    }

    /// Panics unless a test wrote this unreadable record.
    fn assert_written_by_test(&self, key: &str, value: &Value) {
        let test_writes = self.test_writes.borrow();
        assert_eq!(test_writes.get(key), Some(value), "{key} cannot be read");
    }

    /// Records a violation for each machine that is in two records of a table.
    fn check_places(&self, pairs: &BTreeMap<String, (Value, u64)>, table: &str, revision: u64) {
        let mut key_by_machine: HashMap<String, String> = HashMap::new();
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
                if let Some(other) = key_by_machine.insert(name.clone(), key.clone()) {
                    let place = format!("{name} in {other} and {key} at {revision}");
                    self.misplaced_machines.borrow_mut().push(place);
                }
            }
        }
    }
}
