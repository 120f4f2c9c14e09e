//! Records that have become unreadable, for example because another program wrote them.

use serde_json::json;
use shelfhoist::state::full_read::Snapshot;
use shelfhoist::state::keys::*;
use shelfhoist::state::records::{FORMATS_COMPACT, JobStatus};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, StoredRecord, to_raw_json};

/// The ways in which a controller receives a record that has become unreadable.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Watch,
    FullRead,
}

/// Delivers unreadable versions of these records to a replica.
fn make_unreadable(replica: &mut Replica, keys: &[String], delivery: Delivery) {
    let (version, value) = (9, json!("unreadable"));
    match delivery {
        Delivery::Watch => {
            let event = |key: &String| Event::put(key.clone(), &value, version);
            replica.apply_events(keys.iter().map(event).collect(), version);
        }
        Delivery::FullRead => {
            let record = |key: &String| StoredRecord {
                key: key.clone(),
                value: to_raw_json(&value),
                version,
            };
            let records = keys.iter().map(record).collect();
            let revision = version;
            replica.reload(Snapshot { records, revision });
        }
    }
}

/// Guards against known outcomes and settings that a full read forgot: a job that was known as
/// done or cancelled, the machine types and the formats stayed known when the watch delivered
/// an unreadable version of their records, but not when a full read did.
#[test]
fn unreadable_version_does_not_replace_a_final_or_permanent_record() {
    for delivery in [Delivery::Watch, Delivery::FullRead] {
        let machine_type = json!({"label": "big", "vcpus": 8.0, "cards": 0.0, "ram_gb": 16.0,
            "local_gb": 50.0, "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3,
            "ready_s": 4.0, "yards": ["a"]});
        let records = [
            (job_key("job-000001"), json!({"f": "d", "n": 1})),
            (job_key("job-000002"), json!({"f": "c", "n": 1})),
            (job_key("job-000003"), json!({"f": "o", "n": 1})),
            (TYPES_KEY.to_string(), json!({"types": [machine_type]})),
            (
                FORMATS_KEY.to_string(),
                json!({"a": FORMATS_COMPACT, "n": {}}),
            ),
        ];
        let events = records
            .iter()
            .map(|(key, value)| Event::put(key.clone(), value, 5));
        let mut replica = Replica::default();
        replica.apply_events(events.collect(), 5);
        let keys = records.map(|(key, _)| key);
        let is_known = |replica: &Replica| {
            (
                replica.effective_status("job-000001"),
                replica.effective_status("job-000002"),
                replica.machine_type("big").is_some(),
                replica.all_read_compact_encodings(),
            )
        };
        let known = (
            Some(JobStatus::Done),
            Some(JobStatus::Cancelled),
            true,
            true,
        );
        assert_eq!(is_known(&replica), known, "before");
        make_unreadable(&mut replica, &keys, delivery);
        assert_eq!(is_known(&replica), known, "{delivery:?}");
        // An open job may have changed, so its last readable record tells nothing.
        assert_eq!(replica.effective_status("job-000003"), None, "{delivery:?}");
    }
}
