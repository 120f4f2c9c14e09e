//! What the tests of lower limits are set up with.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::stand_ins::{Shape, StateLimits, World, job};
use shelfhoist::scheduler::TaskPlacement;
use shelfhoist::state::keys::{FORMATS_KEY, machine_shard_key, zone_shard_key};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, JobKind, Priority};

use shelfhoist::state::records::*;

pub const LIMIT: usize = 2048;

pub fn same_bytes<T: serde::Serialize + serde::de::DeserializeOwned>(text: &str) -> T {
    let value: T = serde_json::from_str(text).expect(text);
    assert_eq!(serde_json::to_string(&value).expect("text"), text);
    value
}

pub fn read<T: serde::de::DeserializeOwned>(text: Option<String>) -> T {
    let text = text.expect("a text");
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

// --- compact encodings ---------------------------------------------------------------

pub fn without_free(shard: &ZoneShard) -> ZoneShard {
    let mut shard = shard.clone();
    for slot in shard.machines.values_mut() {
        slot.free = Resources::default();
    }
    shard
}

/// Names that are not like the cloud's, or only nearly.
pub const ODD: [&str; 12] = [
    "host",
    "h",
    "7",
    "host-",
    "host-0",
    "host-00",
    "x-12345678901234567890",
    "a b:c!d.e-9",
    "quote\"d\\-3",
    "größe-17",
    "host-000231",
    "999999999",
];

pub fn name(n: usize) -> String {
    match n % 7 {
        0 => ODD[n / 7 % ODD.len()].to_string(),
        1 => format!("gpu-{n:04}"),
        _ => format!("host-{n:06}"),
    }
}

pub fn spec(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        class: "reprice-array".into(),
        team: "squadra-piazzale-07".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        need: Resources {
            cpus: Amount(2000),
            gpus: Amount(0),
            ram: Amount(1800),
        },
        image: "nightly-reprice-image-07".into(),
        image_gb: 1.5,
        types: Some(vec![
            "bancone".into(),
            "cavalletto".into(),
            "trave".into(),
            "occhio".into(),
        ]),
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 25.25,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(912.5),
        dependencies: Vec::new(),
    }
}

pub fn places(machines: usize, each: usize) -> Vec<TaskPlacement> {
    let place = |at: usize| TaskPlacement {
        slot_index: at,
        machine: format!("host-{:06}", at * 17).into(),
        zone: ["capannone-nord", "capannone-sud", "ufficio-porto"][at % 3].into(),
        shard: "capannone-nord/bay-1.0".into(),
    };
    (0..machines * each).map(|n| place(n / each)).collect()
}

// --- zone shards and machine shards ------------------------------------------------------------

/// A replica whose records are to be short, of zone shards and machine shards as production left
/// them.
pub fn production_view(machine_shards: usize, each: usize) -> Replica {
    let mut replica = Replica::with_compact_limit(Some(LIMIT));
    let formats = json!({"n": {"n0": 2}, "a": 2});
    let mut events = vec![Event::put(FORMATS_KEY.into(), &formats, 1)];
    for g in 0..machine_shards {
        let mut machine_shard = MachineShard::default();
        let mut shard = ZoneShard::default();
        for n in 0..each {
            let name = format!("host-{:06}", (g * each + n) * 3);
            let machine = Machine {
                owner: "n0".into(),
                incarnation: u64::from(u32::MAX),
                fencing_token: u64::MAX - 7,
                claim_heartbeat: HeartbeatId::new(u64::MAX, u64::MAX),
                lifecycle: MachineLifecycle::Active,
                ..Machine::new("grande-occhio", "a")
            };
            machine_shard.machines.insert(name.clone(), machine);
            let slot = MachineSlot {
                kind: "grande-occhio".into(),
                spot: false,
                free: Resources::default(),
                unbooked: Resources::default(),
            };
            shard.machines.insert(name, slot);
        }
        let id = format!("a/n0.{g}");
        events.push(Event::put(
            machine_shard_key(&id),
            &machine_shard,
            2 + g as u64,
        ));
        events.push(Event::put(zone_shard_key(&id), &shard, 2 + g as u64));
    }
    replica.apply_events(events, 100);
    replica
}

// --- a deployment ------------------------------------------------------------------

pub fn yard() -> Shape {
    Shape {
        teams: vec![("t".into(), 4000.0, 6000.0)],
        state: json!({"rps": 200.0, "write_rps": 90.0, "value_kb": 8.0, "txn_ops": 12}),
        machines: 160,
        ready_s: 3600.0,
        ..Shape::default()
    }
}

pub fn next() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 27.0})
}

pub fn fall(w: &World) {
    w.state.limits.set(StateLimits {
        txn_ops: 4,
        value_limit_bytes: LIMIT,
        write_rps: 27.0,
        ..w.state.limits.get()
    });
}

/// All controllers end, and come back one after the other with the new settings:
/// only then is it recorded that all read the new formats.
pub async fn roll(w: &Rc<World>) {
    for i in 0..w.shape.controllers {
        w.kill(i);
    }
    *w.next.borrow_mut() = next();
    w.state.write(FORMATS_KEY, &json!({"n": {}, "a": 0}));
    for i in 0..w.shape.controllers {
        w.start(i);
        sleep(Duration::from_secs(2)).await;
    }
}

pub async fn upgraded(w: &World) {
    let began = Instant::now();
    loop {
        let formats = w.state.value(FORMATS_KEY).unwrap_or_default();
        if formats["a"] == json!(FORMATS) {
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(60), "{formats}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// One of each kind, of the largest size: ids of gang, service and array.
pub async fn largest(w: &World, wave: u32, array: u32) -> [String; 3] {
    let mut gang = job(wave * 10, "gang", 8, 20.0);
    gang["same_place"] = json!(true);
    gang["vcpus"] = json!(6.0);
    let mut service = job(wave * 10 + 1, "daemon", 16, 0.0);
    service["scatter"] = json!(true);
    let array = job(wave * 10 + 2, "batch", array, 10.0);
    [
        w.submit(gang).await,
        w.submit(service).await,
        w.submit(array).await,
    ]
}

pub async fn all_go_on(w: &World, [gang, service, array]: &[String; 3]) {
    w.until(gang, "done", 200).await;
    w.until(array, "done", 400).await;
    let began = Instant::now();
    while w.running(service) < 16 {
        assert!(began.elapsed() < Duration::from_secs(200), "{service}");
        sleep(Duration::from_secs(1)).await;
    }
}

pub fn too_long(w: &World) -> Vec<(String, usize)> {
    let mut all = w.state.sizes("sh/");
    all.retain(|(key, n)| *n > LIMIT && !key.starts_with("sh/new/"));
    all
}
