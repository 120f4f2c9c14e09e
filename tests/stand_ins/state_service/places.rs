//! Checks that each machine is in at most one zone shard and at most one machine shard, and that
//! no commit lists a machine in a zone shard that is not in service.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde_json::Value;
use shelfhoist::state::records::{MachineLifecycle, MachineShard, ZoneShard};

use super::StateService;

const ZONE_SHARDS: &str = "sh/zone/";
const MACHINE_SHARDS: &str = "sh/machine/";

impl StateService {
    /// Checks the tables of machines that a transaction wrote to.
    pub(super) fn check_changed_places(&self, writes: &[Value], revision: u64) {
        let is_written = |table: &str| {
            let mut keys = writes.iter().filter_map(|w| w["set"].as_str());
            keys.any(|key| key.starts_with(table))
        };
        let pairs = self.pairs.borrow();
        if is_written(ZONE_SHARDS) {
            let listed = self.check_places(&pairs, ZONE_SHARDS, revision);
            self.check_new_listings(&pairs, listed, revision);
        }
        if is_written(MACHINE_SHARDS) {
            self.check_places(&pairs, MACHINE_SHARDS, revision);
        }
    }

    /// Panics unless a test wrote this unreadable record.
    fn assert_written_by_test(&self, key: &str, value: &Value) {
        let test_writes = self.test_writes.borrow();
        assert_eq!(test_writes.get(key), Some(value), "{key} cannot be read");
    }

    /// Records a violation for each machine that is in two records of a table. Returns the
    /// machines in the table.
    fn check_places(
        &self,
        pairs: &BTreeMap<String, (Value, u64)>,
        table: &str,
        revision: u64,
    ) -> BTreeSet<String> {
        let mut key_by_machine: HashMap<String, String> = HashMap::new();
        for (key, value) in records_of(pairs, table) {
            let text = value.to_string();
            let names: Option<Vec<String>> = match table {
                ZONE_SHARDS => {
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
        key_by_machine.into_keys().collect()
    }

    /// Records a violation for each machine that a zone shard lists since this revision although
    /// the machine is not in service.
    fn check_new_listings(
        &self,
        pairs: &BTreeMap<String, (Value, u64)>,
        listed: BTreeSet<String>,
        revision: u64,
    ) {
        let known = self.listed_machines.replace(listed.clone());
        let new: Vec<&String> = listed.difference(&known).collect();
        if new.is_empty() {
            return;
        }
        let mut lifecycles: HashMap<String, MachineLifecycle> = HashMap::new();
        for (_, value) in records_of(pairs, MACHINE_SHARDS) {
            let shard = serde_json::from_str::<MachineShard>(&value.to_string());
            let machines = shard.unwrap_or_default().machines.into_iter();
            lifecycles.extend(machines.map(|(name, machine)| (name, machine.lifecycle)));
        }
        for name in new {
            let lifecycle = lifecycles.get(name);
            if lifecycle != Some(&MachineLifecycle::Active) {
                let listing = format!("{name}, {lifecycle:?}, at {revision}");
                self.listed_out_of_service.borrow_mut().push(listing);
            }
        }
    }
}

/// Returns the records of a table, by key.
fn records_of<'a>(
    pairs: &'a BTreeMap<String, (Value, u64)>,
    table: &'a str,
) -> impl Iterator<Item = (&'a String, &'a Value)> {
    pairs
        .range(table.to_string()..)
        .take_while(move |(key, _)| key.starts_with(table))
        .map(|(key, (value, _))| (key, value))
}
