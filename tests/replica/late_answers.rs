//! Answers to this controller's commits that arrive after the watch has delivered the commits.

use serde_json::{Value, json};
use shelfhoist::state::keys::*;
use shelfhoist::state::records::Machine;
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, Write, to_raw_json};

/// Revision of the commit whose answer is late, and of the later removal of the record.
const WRITTEN: u64 = 5;
const REMOVED: u64 = 6;

/// Returns whether the replica contains the test's record with this key.
fn contains(replica: &Replica, key: &str) -> bool {
    match key.split('/').nth(1) {
        Some("new") => !replica.accepted_batches.is_empty(),
        Some("hire") => !replica.provisioning_requests.is_empty(),
        Some("node") => !replica.controllers.is_empty(),
        Some("fleet") => replica.fleet_leader.is_some(),
        Some("machine") => !replica.machines.is_empty(),
        Some("zone") => replica.zone_shard_of("host-000001").is_some(),
        other => panic!("{other:?}"),
    }
}

/// Guards against removed records that appear again: the late answer to a commit restored a
/// record that another controller, or the expiry of a state lease, had removed since. Each
/// later commit about the record then failed.
#[test]
fn late_answer_does_not_restore_a_removed_record() {
    let controller = json!({"h": "n0", "i": 1});
    let machine = serde_json::to_value(Machine::new("big", "a")).expect("machine");
    let slot = json!({"t": "big"});
    let cases: [(String, Value); 6] = [
        (accepted_batch_key("n0-1"), json!({"b": 1, "j": {}})),
        (
            provisioning_request_key("n0-1"),
            json!({"t": "big", "z": "a", "n": 1}),
        ),
        (controller_key("n0"), controller.clone()),
        (FLEET_KEY.to_string(), controller),
        (
            machine_shard_key("a/n0.0"),
            json!({"m": {"host-000001": machine}}),
        ),
        (
            zone_shard_key("a/n0.0"),
            json!({"m": {"host-000001": slot}}),
        ),
    ];
    for (key, value) in cases {
        let written = Event::put(key.clone(), &value, WRITTEN);
        let removed = Event {
            set: None,
            remove: Some(key.clone()),
            value: None,
            version: REMOVED,
        };
        let mut replica = Replica::default();
        replica.apply_events(vec![written], WRITTEN);
        assert!(contains(&replica, &key), "{key} is readable");
        replica.apply_events(vec![removed], REMOVED);
        let write = Write::Put {
            key: key.clone(),
            value: to_raw_json(&value),
            lease_id: None,
        };
        replica.apply_commit(&[write], WRITTEN);
        assert!(!contains(&replica, &key), "{key} is restored");
    }
}
