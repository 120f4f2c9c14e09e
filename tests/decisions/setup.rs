//! Settings, jobs, machines and replicas for the tests of decisions.

use std::collections::BTreeMap;

use serde_json::json;

use shelfhoist::scheduler::{self, PlacementHints, PreemptingJob, RunningWork};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{job_key, machine_shard_key, shard_id, zone_shard_key};
use shelfhoist::state::replica::Replica;

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

/// Returns valid settings of controller `n0`, with two controllers, zones and teams.
pub fn settings_json() -> serde_json::Value {
    json!({
        "node": "n0", "location": "a", "serve_on": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "others": [{"node": "n1", "location": "b", "addr": "127.0.0.2:2"}],
        "external": {"cloud": "127.0.0.9:1", "state": "127.0.0.9:2"},
        "deployment": {
            "count": 2, "zones": ["a", "b"],
            "teams": [{"name": "t", "cpus": 8.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0},
                      {"name": "u", "cpus": 8.0, "cpus_max": 16.0}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0,
                        "gang_peer_s": 5.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "machine_limits": {"cpu": 0.1, "memory_mb": 64.0, "sockets": 500},
            "clock_off_ms": 5.0
        }
    })
}

pub fn settings() -> Settings {
    Settings::parse(&settings_json().to_string()).expect("valid settings")
}

/// Returns a valid submission of a gang with two tasks.
pub fn submission_json() -> serde_json::Value {
    json!({"name_id":"job-000412","lot":"x","crew":"t","cut":"gang","urgency":"normal","boards":2,
        "vcpus":2.0,"cards":0.0,"ram_gb":4.0,"blueprint":"i","pull_gb":1.0,"grades":null,
        "yard":null,"same_place":true,"scatter":false,"loaners":false,
        "expect_s":10.0,"notch_s":0.0,"stow_s":0.0,"due_s":null})
}

pub fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Returns a loaded replica with two machine types and no machines.
pub fn replica_with_machine_types() -> Replica {
    let mut replica = Replica::default();
    replica.types.value.types = vec![
        machine_type("small", 4.0, 0.0),
        machine_type("big", 8.0, 2.0),
    ];
    replica.loaded = true;
    replica
}

/// Returns the spec of a job that may span zones.
pub fn job_spec(kind: JobKind, tasks: u32, cpus: f64) -> JobSpec {
    let mut submission = submission_json();
    submission["cut"] = serde_json::to_value(kind).expect("kind");
    submission["boards"] = json!(tasks);
    submission["vcpus"] = json!(cpus);
    let submission: Submission = serde_json::from_value(submission).expect("submission");
    JobSpec {
        one_zone: false,
        ..JobSpec::from(&submission)
    }
}

/// Returns a replica whose zone shards contain the given free machines, each as zone, name
/// and CPUs.
pub fn replica_with_machines(machines: &[(&str, &str, f64)]) -> Replica {
    let mut replica = replica_with_machine_types();
    let mut zone_shards: BTreeMap<&str, ZoneShard> = BTreeMap::new();
    let mut machine_shards: BTreeMap<&str, MachineShard> = BTreeMap::new();
    for (zone, machine, cpus) in machines {
        let kind = format!("of-{cpus}");
        if replica.machine_type(&kind).is_none() {
            replica
                .types
                .value
                .types
                .push(machine_type(&kind, *cpus, 0.0));
        }
        let machine_shard = machine_shards.entry(zone).or_default();
        let record = active_machine(&kind, zone);
        machine_shard.machines.insert(machine.to_string(), record);
        let slot = MachineSlot {
            kind,
            spot: false,
            free: Resources::default(),
            unbooked: Resources::default(),
        };
        let shard = zone_shards.entry(zone).or_default();
        shard.machines.insert(machine.to_string(), slot);
    }
    let id = |zone| shard_id(zone, "n0.0");
    let machine_events = machine_shards
        .iter()
        .map(|(zone, shard)| Event::put(machine_shard_key(&id(zone)), shard, 3));
    let zone_events = zone_shards
        .iter()
        .map(|(zone, shard)| Event::put(zone_shard_key(&id(zone)), shard, 3));
    replica.apply_events(machine_events.chain(zone_events).collect(), 3);
    replica
}

/// Returns the record of a machine in service.
pub fn active_machine(kind: &str, zone: &str) -> Machine {
    Machine {
        owner: "n0".into(),
        lifecycle: MachineLifecycle::Active,
        ..Machine::new(kind, zone)
    }
}

pub fn placement_hints(replica: &Replica) -> PlacementHints<'_> {
    PlacementHints::new(replica, "n0")
}

/// Returns a replica with the machine `m`, claimed by controller `n0` with fencing token 5, on
/// which attempt 1 of the task `job-1/0` is booked.
pub fn replica_with_booking(kind: JobKind, edit_job: impl FnOnce(&mut Job)) -> Replica {
    let mut replica = replica_with_machine_types();
    let mut job = Job::new(job_spec(kind, 1, 1.0), 1);
    job.take_unstarted_task();
    job.book("m", "a", 1, 0);
    edit_job(&mut job);
    let machine = Machine {
        owner: "n0".into(),
        incarnation: 1,
        fencing_token: 5,
        claim_heartbeat: HeartbeatId::new(0, 0),
        lifecycle: MachineLifecycle::Active,
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        shard: "n0.0".into(),
    };
    let put = |key: String, value: serde_json::Value| Event::put(key, &value, 9);
    replica.apply_events(
        vec![
            put(job_key("job-1"), serde_json::to_value(&job).expect("job")),
            put(
                machine_shard_key("a/n0.0"),
                json!({"m": {"m": serde_json::to_value(&machine).expect("machine")}}),
            ),
            put(zone_shard_key("a/n0.0"), json!({"m": {}})),
        ],
        10,
    );
    replica
}

/// Returns the status of the worker of machine `m` with the given heartbeat sequence number.
pub fn worker_status(sequence: u64, fencing_token: u64, tasks: serde_json::Value) -> WorkerStatus {
    serde_json::from_value(
        json!({"bay":"m","endpoint":"127.0.0.1:5","grade":"small","yard":"a",
        "loaners":false,"shift":1,"tally":sequence,"baton":fencing_token,"boards":tasks}),
    )
    .expect("worker status")
}

/// Returns an array of two tasks that depends on the given jobs.
pub fn job_with_dependencies(
    dependencies: &[&str],
    priority: Priority,
    estimate_s: f64,
    deadline_s: Option<f64>,
) -> Job {
    let spec = JobSpec {
        priority,
        estimate_s,
        deadline_s,
        dependencies: dependencies.iter().map(|id| id.to_string()).collect(),
        ..job_spec(JobKind::Array, 2, 1.0)
    };
    Job::new(spec, 7)
}

/// Returns a job with a final status, which has no spec.
pub fn closed_job(status: JobStatus) -> Job {
    Job {
        status,
        spec: None,
        ..job_with_dependencies(&[], Priority::Low, 0.0, None)
    }
}

/// Returns the spec of each job, with a default spec for closed jobs.
pub fn job_specs(jobs: &[(&str, Job)]) -> BTreeMap<String, JobSpec> {
    let spec = |job: &Job| job.spec.clone();
    let default_job = job_with_dependencies(&[], Priority::Low, 5.0, None);
    jobs.iter()
        .map(|(id, job)| {
            (
                id.to_string(),
                spec(job).or(spec(&default_job)).expect("a spec"),
            )
        })
        .collect()
}

/// Returns whether running work may be preempted for a job, given the spec and the effective
/// priority of both.
pub fn may_preempt(
    (job, job_priority): (&JobSpec, Priority),
    within_guarantee: bool,
    (running, running_priority): (&JobSpec, Priority),
    borrows: bool,
) -> bool {
    let job = PreemptingJob {
        spec: job,
        priority: job_priority,
        within_guarantee,
    };
    let running = RunningWork {
        spec: running,
        priority: running_priority,
        borrows,
    };
    scheduler::may_preempt(job, running)
}
