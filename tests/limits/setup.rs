//! Set-up and helpers for the tests of lower limits: records, a replica and a deployment.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::stand_ins::{DeploymentOptions, Simulation, StateLimits, job};
use shelfhoist::scheduler::TaskPlacement;
use shelfhoist::state::keys::{FORMATS_KEY, machine_shard_key, zone_shard_key};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, JobKind, Priority};

use shelfhoist::state::records::*;

/// Maximum size of a record once the limits are lowered, in bytes.
pub const LIMIT_BYTES: usize = 2048;

/// Decodes the text and asserts that the value is encoded to the same bytes.
pub fn decode_and_check_round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(
    text: &str,
) -> T {
    let value: T = serde_json::from_str(text).expect(text);
    assert_eq!(serde_json::to_string(&value).expect("text"), text);
    value
}

/// Decodes a text, which must be present and valid.
pub fn decode<T: serde::de::DeserializeOwned>(text: Option<String>) -> T {
    let text = text.expect("a text");
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

// --- compact encodings ---------------------------------------------------------------

/// Returns the shard with all free resources set to zero.
pub fn without_free_resources(shard: &ZoneShard) -> ZoneShard {
    let mut shard = shard.clone();
    for slot in shard.machines.values_mut() {
        slot.free = Resources::default();
    }
    shard
}

/// Machine names that differ from the pattern of the cloud's names, some only slightly.
pub const UNUSUAL_MACHINE_NAMES: [&str; 12] = [
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

/// Returns a machine name; every seventh is unusual.
pub fn machine_name(n: usize) -> String {
    match n % 7 {
        0 => UNUSUAL_MACHINE_NAMES[n / 7 % UNUSUAL_MACHINE_NAMES.len()].to_string(),
        1 => format!("gpu-{n:04}"),
        _ => format!("host-{n:06}"),
    }
}

/// Returns the specification of a job with long names.
pub fn job_spec(kind: JobKind, tasks: u32) -> JobSpec {
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

/// Returns placements of `tasks_per_machine` tasks on each machine.
pub fn placements(machines: usize, tasks_per_machine: usize) -> Vec<TaskPlacement> {
    let place = |index: usize| TaskPlacement {
        slot_index: index,
        machine: format!("host-{:06}", index * 17).into(),
        zone: ["capannone-nord", "capannone-sud", "ufficio-porto"][index % 3].into(),
        shard: "capannone-nord/bay-1.0".into(),
    };
    (0..machines * tasks_per_machine)
        .map(|n| place(n / tasks_per_machine))
        .collect()
}

// --- zone shards and machine shards ------------------------------------------------------------

/// Returns a replica that writes the compact encoding and contains zone shards and machine
/// shards in the plain encoding, as the version in production stored them.
pub fn production_replica(machine_shards: usize, machines_per_shard: usize) -> Replica {
    let mut replica = Replica::with_compact_limit(Some(LIMIT_BYTES));
    let formats = json!({"n": {"n0": 2}, "a": 2});
    let mut events = vec![Event::put(FORMATS_KEY.into(), &formats, 1)];
    for number in 0..machine_shards {
        let mut machine_shard = MachineShard::default();
        let mut shard = ZoneShard::default();
        for n in 0..machines_per_shard {
            let name = format!("host-{:06}", (number * machines_per_shard + n) * 3);
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
        let id = format!("a/n0.{number}");
        events.push(Event::put(
            machine_shard_key(&id),
            &machine_shard,
            2 + number as u64,
        ));
        events.push(Event::put(zone_shard_key(&id), &shard, 2 + number as u64));
    }
    replica.apply_events(events, 100);
    replica
}

// --- a deployment ------------------------------------------------------------------

/// Returns a deployment with 160 machines and the limits that apply before they are lowered: a
/// record may have 8 KiB.
pub fn deployment() -> DeploymentOptions {
    DeploymentOptions {
        teams: vec![("t".into(), 4000.0, 6000.0)],
        state: json!({"rps": 200.0, "write_rps": 90.0, "value_kb": 8.0, "txn_ops": 12}),
        machines: 160,
        ready_s: 3600.0,
        ..DeploymentOptions::default()
    }
}

/// Returns the upcoming limits as the value of the setting `state.next`.
pub fn upcoming_limits() -> Value {
    json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 27.0})
}

/// Lowers the limits that the state service enforces to the upcoming ones.
pub fn lower_limits(simulation: &Simulation) {
    simulation.state.limits.set(StateLimits {
        txn_ops: 4,
        value_limit_bytes: LIMIT_BYTES,
        write_rps: 27.0,
        ..simulation.state.limits.get()
    });
}

/// Stops all controllers, resets the formats record (`FORMATS_KEY`), and starts the controllers
/// one after another with settings that announce the upcoming limits. Only after the last start
/// does the formats record show that all controllers read the new formats.
pub async fn restart_with_upcoming_limits(simulation: &Rc<Simulation>) {
    for i in 0..simulation.shape.controllers {
        simulation.kill_controller(i);
    }
    *simulation.next.borrow_mut() = upcoming_limits();
    simulation
        .state
        .write(FORMATS_KEY, &json!({"n": {}, "a": 0}));
    for i in 0..simulation.shape.controllers {
        simulation.start(i);
        sleep(Duration::from_secs(2)).await;
    }
}

/// Waits until the formats record shows that all controllers read the new formats.
pub async fn wait_until_formats_recorded(simulation: &Simulation) {
    let start = Instant::now();
    loop {
        let formats = simulation.state.value(FORMATS_KEY).unwrap_or_default();
        if formats["a"] == json!(FORMATS) {
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(60), "{formats}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Submits a gang, a service and an array of the largest sizes and returns their ids in this
/// order.
pub async fn submit_largest_jobs(simulation: &Simulation, wave: u32, array: u32) -> [String; 3] {
    let mut gang = job(wave * 10, "gang", 8, 20.0);
    gang["same_place"] = json!(true);
    gang["vcpus"] = json!(6.0);
    let mut service = job(wave * 10 + 1, "daemon", 16, 0.0);
    service["scatter"] = json!(true);
    let array = job(wave * 10 + 2, "batch", array, 10.0);
    [
        simulation.submit(gang).await,
        simulation.submit(service).await,
        simulation.submit(array).await,
    ]
}

/// Waits until the gang and the array are done and all 16 replicas of the service run.
pub async fn wait_until_jobs_progress(
    simulation: &Simulation,
    [gang, service, array]: &[String; 3],
) {
    simulation.wait_for_stage(gang, "done", 200).await;
    simulation.wait_for_stage(array, "done", 400).await;
    let start = Instant::now();
    while simulation.running_task_count(service) < 16 {
        assert!(start.elapsed() < Duration::from_secs(200), "{service}");
        sleep(Duration::from_secs(1)).await;
    }
}

/// Returns the records that exceed the lower limit, with their sizes in bytes. Records of
/// accepted batches are left out, because they are never rewritten.
pub fn oversized_records(simulation: &Simulation) -> Vec<(String, usize)> {
    let mut records = simulation.state.value_sizes("sh/");
    records.retain(|(key, n)| *n > LIMIT_BYTES && !key.starts_with("sh/new/"));
    records
}
