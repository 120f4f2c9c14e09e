//! Among machines with room, those where a job's tasks start soonest.

use serde_json::json;
use shelfhoist::scheduler::{self, Care, Hints, Plan};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{shard_id, zone_shard_key};
use shelfhoist::state::records::{Job, MachineSlot, Resources, Spec, ZoneShard};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, Kind, MachineType, Submission};

fn settings() -> Settings {
    let settings = json!({
        "node": "n0", "location": "a", "serve_on": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "others": [],
        "external": {"cloud": "127.0.0.9:1", "state": "127.0.0.9:2"},
        "deployment": {
            "count": 1, "zones": ["a"],
            "teams": [{"name": "t", "cpus": 100.0, "cpus_max": 100.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0,
                        "gang_peer_s": 5.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "machine_limits": {"cpu": 0.1, "memory_mb": 64.0, "sockets": 500},
            "clock_off_ms": 5.0
        }
    });
    Settings::parse(&settings.to_string()).expect("good settings")
}

/// One machine of each of two types that differ in how fast they fetch images.
/// The slower one is the smaller: without a difference it would be filled first.
fn replica(fetch_gb_per_s: [f64; 2]) -> Replica {
    let mut replica = Replica::default();
    let mut part = ZoneShard::default();
    for ((name, cpus), fetch) in [("small", 4.0), ("large", 8.0)]
        .into_iter()
        .zip(fetch_gb_per_s)
    {
        replica.types.value.types.push(MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 10.0,
            fetch_gb_per_s: fetch,
            price: 1.0,
            spot_price: 0.3,
            boot_s: 20.0,
            zones: vec!["a".into()],
        });
        let slot = MachineSlot {
            kind: name.into(),
            spot: false,
            free: Resources::default(),
            unbooked: Resources::default(),
        };
        part.machines.insert(format!("m-{name}"), slot);
    }
    replica.loaded = true;
    let event = Event::put(zone_shard_key(&shard_id("a", "n0.0")), &part, 3);
    replica.advance(vec![event], 3);
    replica
}

fn job(kind: Kind) -> Spec {
    let mut submission = json!({
        "name_id": "job-1", "lot": "x", "crew": "t", "cut": "gang", "urgency": "normal",
        "boards": 1, "vcpus": 2.0, "cards": 0.0, "ram_gb": 4.0, "blueprint": "i",
        "pull_gb": 2.0, "grades": null, "yard": null, "same_place": false, "scatter": false,
        "loaners": false, "expect_s": 10.0, "notch_s": 0.0, "stow_s": 0.0, "due_s": null
    });
    submission["cut"] = serde_json::to_value(kind).expect("kind");
    let submission: Submission = serde_json::from_value(submission).expect("submission");
    Spec::from(&submission)
}

fn chosen(kind: Kind, fetch_gb_per_s: [f64; 2]) -> String {
    let replica = replica(fetch_gb_per_s);
    let spec = job(kind);
    let waiting = Job::new(spec.clone(), 1);
    let hints = Hints::new(&replica, "n0");
    let plan = Plan::of(&replica);
    let places = scheduler::fit(&waiting, &spec, &plan, &hints, &settings(), Care::Strict);
    places.expect("there is room")[0].machine.to_string()
}

#[test]
fn an_image_is_fetched_where_that_takes_the_least_time() {
    for kind in [Kind::Service, Kind::Gang, Kind::Array] {
        assert_eq!(chosen(kind, [0.25, 1.0]), "m-large", "{kind:?}");
        assert_eq!(chosen(kind, [1.0, 0.25]), "m-small", "{kind:?}");
        // As fast as each other: the one with the least room left over.
        assert_eq!(chosen(kind, [1.0, 1.0]), "m-small", "{kind:?}");
        assert_eq!(
            chosen(kind, [0.0, 0.0]),
            "m-small",
            "rates unknown, {kind:?}"
        );
    }
}
