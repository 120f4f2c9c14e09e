//! Tests that stored records and messages between controllers keep their encoding, byte for
//! byte. Different versions serve side by side and read what older ones stored, so no change of
//! the source may alter this encoding. The expected texts were written by the version before
//! names and modules were last changed.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use shelfhoist::gossip::{PeerStatus, decode, encode};
use shelfhoist::state::keys;
use shelfhoist::state::records::{
    AcceptedBatch, Amount, ControllerRecord, Formats, HeartbeatId, Job, JobSpec, JobStatus,
    Machine, MachineLifecycle, MachineShard, MachineSlot, MachineTypesRecord, NumberSet,
    ProvisioningRequest, Resources, Run, TeamUsage, ZoneShard,
};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::{Event, JobKind, MachineType, Priority, Write};
use shelfhoist::workers::preferred_owner_of;

// --- values ---------------------------------------------------------------------

fn resources(cpus: i64, gpus: i64, ram: i64) -> Resources {
    Resources {
        cpus: Amount(cpus),
        gpus: Amount(gpus),
        ram: Amount(ram),
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Returns a specification with every field set.
fn full_spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1800,
        need: resources(2000, 500, 1800),
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(names(&["g8", "g16"])),
        zone: Some("a".into()),
        one_zone: true,
        spread: true,
        spot: true,
        estimate_s: 25.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.5),
        dependencies: names(&["job-000398", "job-000405"]),
    }
}

/// Returns a specification without the optional fields.
fn minimal_spec(kind: JobKind, priority: Priority) -> JobSpec {
    JobSpec {
        kind,
        priority,
        tasks: 4,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        deadline_s: None,
        dependencies: Vec::new(),
        ..full_spec()
    }
}

fn run(machine: &str, attempt: u64, tasks: &[(u32, u32)], stop: bool) -> Run {
    Run {
        machine: machine.into(),
        zone: "a".into(),
        attempt,
        tasks: NumberSet(tasks.to_vec()),
        stop,
    }
}

fn waiting_job() -> Job {
    Job::new(minimal_spec(JobKind::Gang, Priority::High), 9)
}

fn dependent_job() -> Job {
    Job::new(full_spec(), 412)
}

/// Returns a job of which some tasks run, some are stopped, some have failed and some wait to
/// be retried.
fn running_job() -> Job {
    Job {
        attempt: 300,
        next_task: 40,
        retry: NumberSet(vec![(0, 4), (7, 7)]),
        runs: vec![
            run("host-000231", 1, &[(10, 19), (21, 22)], false),
            run("host-000231", 300, &[(30, 30)], true),
            run("gpu-box", 2, &[(31, 33)], false),
        ],
        has_preempted: true,
        failure_count: 2,
        failed_attempt: 290,
        failed_on: names(&["host-000007", "host-000008"]),
        ..dependent_job()
    }
}

/// Returns a cancelled job whose tasks have been asked to stop.
fn cancelled_job() -> Job {
    Job {
        status: JobStatus::Cancelled,
        runs: vec![run("host-000231", 1, &[(0, 3)], true)],
        attempt: 1,
        next_task: 4,
        ..Job::new(minimal_spec(JobKind::Service, Priority::Production), 77)
    }
}

fn final_job(status: JobStatus) -> Job {
    Job {
        status,
        spec: None,
        attempt: 3,
        next_task: 40,
        ..dependent_job()
    }
}

fn accepted_batch() -> AcceptedBatch {
    AcceptedBatch {
        accepted_revision: 7,
        jobs: BTreeMap::from([
            ("job-000001".into(), full_spec()),
            (
                "job-000002".into(),
                minimal_spec(JobKind::Array, Priority::Low),
            ),
        ]),
    }
}

fn zone_shard() -> ZoneShard {
    let slot = |kind: &str, spot, free, unbooked| MachineSlot {
        kind: kind.into(),
        spot,
        free,
        unbooked,
    };
    let none = Resources::default();
    ZoneShard {
        machines: BTreeMap::from([
            ("gpu-box".into(), slot("g16", false, none, none)),
            (
                "host-000231".into(),
                slot("g8", true, none, resources(2000, 0, 1800)),
            ),
            ("host-000232".into(), slot("g8", true, none, none)),
            ("host-000234".into(), slot("g8", true, none, none)),
        ]),
    }
}

fn zone_shard_with_free_resources() -> ZoneShard {
    let mut zone_shard = zone_shard();
    for slot in zone_shard.machines.values_mut() {
        slot.free = resources(6000, 1000, 12000);
    }
    zone_shard
}

fn machine_shard() -> MachineShard {
    let machine = |owner: &str, number: u64, lifecycle| Machine {
        owner: owner.into(),
        incarnation: 4_000_000_000 * number.min(1),
        fencing_token: number * 41,
        claim_heartbeat: HeartbeatId::new(number, number * 88),
        lifecycle,
        spot: number == 1,
        ..Machine::new("g8", "")
    };
    MachineShard {
        machines: BTreeMap::from([
            (
                "gpu-box".into(),
                machine("bay-2", 6, MachineLifecycle::Active),
            ),
            (
                "host-000231".into(),
                machine("bay-1", 1, MachineLifecycle::Active),
            ),
            (
                "host-000232".into(),
                machine("", 0, MachineLifecycle::Booting),
            ),
            (
                "host-000233".into(),
                machine("bay-2", 2, MachineLifecycle::Draining),
            ),
            (
                "host-000234".into(),
                machine("bay-1", 3, MachineLifecycle::Returning),
            ),
            (
                "host-000235".into(),
                machine("bay-1", 4, MachineLifecycle::Gone),
            ),
            (
                "host-000236".into(),
                machine("bay-2", 5, MachineLifecycle::Active),
            ),
        ]),
    }
}

fn provisioning_request(spot: bool, machines: &[&str]) -> ProvisioningRequest {
    ProvisioningRequest {
        kind: "g8".into(),
        zone: "a".into(),
        spot,
        count: 3,
        machines: names(machines),
    }
}

fn types() -> MachineTypesRecord {
    let machine_type: MachineType = serde_json::from_value(json!({
        "label": "g8", "vcpus": 8.0, "cards": 1.0, "ram_gb": 64.0, "local_gb": 50.0,
        "pull_gb_per_s": 1.5, "hourly": 0.14, "spot_price": 0.04, "ready_s": 20.0,
        "yards": ["a", "b"]
    }))
    .expect("a machine type");
    MachineTypesRecord {
        types: vec![machine_type],
    }
}

fn fleet_leader(formats: u32) -> ControllerRecord {
    ControllerRecord {
        controller: "bay-1".into(),
        incarnation: 4_000_000_000,
        formats,
    }
}

fn formats() -> Formats {
    Formats {
        controllers: BTreeMap::from([("bay-1".into(), 2), ("bay-2".into(), 2)]),
        all: 2,
    }
}

fn peer_status() -> PeerStatus {
    PeerStatus {
        controller: "bay-1".into(),
        incarnation: 4_000_000_000,
        staleness_ms: Some(1250),
        owned_machines: 300,
        silent_machines: 7,
        write_demand: 12.5,
        refused_offers: names(&["g8/a/spot", "g16/b"]),
    }
}

// --- comparison -----------------------------------------------------------------

/// Asserts that the value is encoded as this text and the text decoded as this value.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("text"), text);
    assert_decodes_to(value, text);
}

/// Asserts that the text is decoded as this value.
fn assert_decodes_to<T: DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    let read: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"));
    assert_eq!(&read, value, "{text}");
}

/// Returns a replica that writes the plain or the compact encoding.
fn replica(compact: bool) -> Replica {
    let mut replica = Replica::with_compact_limit(Some(2048));
    let all = if compact { 2 } else { 0 };
    let formats = json!({"n": {}, "a": all});
    replica.apply_events(vec![Event::put("sh/formats".into(), &formats, 1)], 1);
    assert_eq!(replica.uses_compact_encoding(), compact);
    replica
}

/// Asserts that the write stores this text under this key, without a lease.
fn assert_write(write: &Write, expected_key: &str, text: &str) {
    let Write::Put {
        key,
        value,
        lease_id,
    } = write
    else {
        panic!("{write:?}")
    };
    assert_eq!(key, expected_key);
    assert_eq!(value.get(), text);
    assert_eq!(*lease_id, None);
}

/// Asserts that both encodings of a job are decoded without loss. Also asserts that a decoded job
/// is encoded again as `plain` by a replica that writes the plain encoding, and as `compact` by
/// one that writes the compact encoding.
fn assert_job_encodings(job: &Job, plain: &str, compact: &str) {
    assert_round_trip(job, plain);
    assert_decodes_to(job, compact);
    for text in [plain, compact] {
        let job: Job = serde_json::from_str(text).expect("a job");
        let key = "sh/job/job-000412";
        assert_write(&replica(false).put_job("job-000412", &job), key, plain);
        assert_write(&replica(true).put_job("job-000412", &job), key, compact);
    }
}

// --- records ----------------------------------------------------------------------

const WAITING_JOB: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"gang","p":"urgent","n":4,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0},"n":4,"b":9,"a":0,"x":0}"#;
const DEPENDENT_JOB: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5,"aw":["job-000398","job-000405"]},"n":1800,"b":412,"a":0,"x":0}"#;
const RUNNING_JOB: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5,"aw":["job-000398","job-000405"]},"n":1800,"b":412,"a":300,"x":40,"q":"0-4,7","r":[{"m":"host-000231","z":"a","a":1,"t":"10-19,21-22"},{"m":"host-000231","z":"a","a":300,"t":"30","x":true},{"m":"gpu-box","z":"a","a":2,"t":"31-33"}],"c":true,"e":2,"ea":290,"em":["host-000007","host-000008"]}"#;
const RUNNING_JOB_COMPACT: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5,"aw":["job-000398","job-000405"]},"n":1800,"b":412,"a":300,"x":40,"c":true,"e":2,"ea":290,"em":["host-000007","host-000008"],"q":".200-0407","r":{"k":[["host-",6,"a"],["gpu-box",0,"a"]],"t":"2 03d.1:0A-0J0L0M 03d.4i!0U 10.2:0V-0X"}}"#;
const CANCELLED_JOB: &str = r#"{"f":"c","s":{"l":"train","w":"vision","k":"daemon","p":"prod","n":4,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0},"n":4,"b":77,"a":1,"x":4,"r":[{"m":"host-000231","z":"a","a":1,"t":"0-3","x":true}]}"#;
const CANCELLED_JOB_COMPACT: &str = r#"{"f":"c","s":{"l":"train","w":"vision","k":"daemon","p":"prod","n":4,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0},"n":4,"b":77,"a":1,"x":4,"r":{"k":[["host-",6,"a"]],"t":"2 03d.1!00-03"}}"#;
const DONE_JOB: &str = r#"{"f":"d","n":1800,"b":412,"a":3,"x":40}"#;
const ABORTED_JOB: &str = r#"{"f":"c","n":1800,"b":412,"a":3,"x":40}"#;
const ACCEPTED_BATCH: &str = r#"{"b":7,"j":{"job-000001":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5,"aw":["job-000398","job-000405"]},"job-000002":{"l":"train","w":"vision","k":"batch","p":"low","n":4,"r":{"c":2000,"g":500,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0}}}"#;
const TEAM_USAGE: &str = r#"{"u":{"c":3000,"g":1000,"m":2000}}"#;
const SPOT_REQUEST: &str = r#"{"t":"g8","z":"a","l":true,"n":3,"m":["host-000236","host-000237"]}"#;
const REQUEST_WITHOUT_MACHINES: &str = r#"{"t":"g8","z":"a","l":false,"n":3}"#;
const TYPES: &str = r#"{"types":[{"label":"g8","vcpus":8.0,"cards":1.0,"ram_gb":64.0,"local_gb":50.0,"pull_gb_per_s":1.5,"hourly":0.14,"spot_price":0.04,"ready_s":20.0,"yards":["a","b"]}]}"#;
const OLDER_FLEET_LEADER: &str = r#"{"h":"bay-1","i":4000000000}"#;
const FLEET_LEADER: &str = r#"{"h":"bay-1","i":4000000000,"v":2}"#;
const FORMATS_RECORD: &str = r#"{"n":{"bay-1":2,"bay-2":2},"a":2}"#;
const ZONE_SHARD: &str = r#"{"m":{"gpu-box":{"t":"g16","f":{"c":6000,"g":1000,"m":12000}},"host-000231":{"t":"g8","l":true,"f":{"c":6000,"g":1000,"m":12000},"o":{"c":2000,"g":0,"m":1800}},"host-000232":{"t":"g8","l":true,"f":{"c":6000,"g":1000,"m":12000}},"host-000234":{"t":"g8","l":true,"f":{"c":6000,"g":1000,"m":12000}}}}"#;
const ZONE_SHARD_COMPACT: &str = r#"{"m":[["g16",0,[],["gpu-box"],{}],["g8",1,[["host-",6,"231-232,234"]],[],{"host-000231":[2000,0,1800]}]]}"#;
const MACHINE_SHARD: &str = r#"{"m":{"gpu-box":{"h":"bay-2","i":4000000000,"k":246,"s":[6,528],"f":"a","t":"g8"},"host-000231":{"h":"bay-1","i":4000000000,"k":41,"s":[1,88],"f":"a","t":"g8","l":true},"host-000232":{"h":"","i":0,"k":0,"s":[0,0],"f":"b","t":"g8"},"host-000233":{"h":"bay-2","i":4000000000,"k":82,"s":[2,176],"f":"d","t":"g8"},"host-000234":{"h":"bay-1","i":4000000000,"k":123,"s":[3,264],"f":"r","t":"g8"},"host-000235":{"h":"bay-1","i":4000000000,"k":164,"s":[4,352],"f":"g","t":"g8"},"host-000236":{"h":"bay-2","i":4000000000,"k":205,"s":[5,440],"f":"a","t":"g8"}}}"#;
const MACHINE_SHARD_COMPACT: &str = r#"{"m":[["",0,"b","g8",0,[["host-",6,"3e.0.0.0"]]],["bay-1",4000000000,"a","g8",1,[["host-",6,"3d.f.1.1O"]]],["bay-1",4000000000,"r","g8",0,[["host-",6,"3g.1x.3.48"]]],["bay-1",4000000000,"g","g8",0,[["host-",6,"3h.2a.4.5W"]]],["bay-2",4000000000,"a","g8",0,[["gpu-box",0,"0.3s.6.8G"],["host-",6,"3i.3D.5.6u"]]],["bay-2",4000000000,"d","g8",0,[["host-",6,"3f.1I.2.2m"]]]]}"#;
const FRAME: &[u8] = b"\x00\x00\x00,\x05bay-1\xfc\x00(k\xee\x01\xfb\xe2\x04\xfb,\x01\x07\x00\x00\x00\x00\x00\x00)@\x02\x09g8/a/spot\x05g16/b";
const FRAME_BEFORE_FIRST_BARRIER: &[u8] =
    b"\x00\x00\x00\x19\x05bay-1\xfc\x00(k\xee\x00\xfb,\x01\x07\x00\x00\x00\x00\x00\x00)@\x00";

#[test]
fn job_encodings_are_unchanged() {
    assert_job_encodings(&waiting_job(), WAITING_JOB, WAITING_JOB);
    assert_job_encodings(&dependent_job(), DEPENDENT_JOB, DEPENDENT_JOB);
    assert_job_encodings(&running_job(), RUNNING_JOB, RUNNING_JOB_COMPACT);
    assert_job_encodings(&cancelled_job(), CANCELLED_JOB, CANCELLED_JOB_COMPACT);
    assert_job_encodings(&final_job(JobStatus::Done), DONE_JOB, DONE_JOB);
    assert_job_encodings(&final_job(JobStatus::Cancelled), ABORTED_JOB, ABORTED_JOB);
}

/// Absent fields have the values that older versions implied, and unknown fields are ignored.
#[test]
fn records_are_decoded_without_optional_fields() {
    let job = Job {
        spec: None,
        tasks: 0,
        ..Job::new(minimal_spec(JobKind::Gang, Priority::High), 0)
    };
    assert_decodes_to(&job, "{}");
    assert_decodes_to(&job, r#"{"s":null,"field of a later version":[1]}"#);
    assert_decodes_to(&ZoneShard::default(), "{}");
    assert_decodes_to(&MachineShard::default(), "{}");
    assert_decodes_to(&Formats::default(), "{}");
}

#[test]
fn batch_team_and_fleet_encodings_are_unchanged() {
    assert_round_trip(&accepted_batch(), ACCEPTED_BATCH);
    assert_round_trip(
        &TeamUsage {
            used: resources(3000, 1000, 2000),
        },
        TEAM_USAGE,
    );
    assert_round_trip(
        &provisioning_request(true, &["host-000236", "host-000237"]),
        SPOT_REQUEST,
    );
    assert_round_trip(&provisioning_request(false, &[]), REQUEST_WITHOUT_MACHINES);
    assert_round_trip(&types(), TYPES);
    assert_round_trip(&fleet_leader(0), OLDER_FLEET_LEADER);
    assert_round_trip(&fleet_leader(2), FLEET_LEADER);
    assert_round_trip(&formats(), FORMATS_RECORD);
}

/// The compact encoding omits the free resources, because no version reads them.
#[test]
fn zone_shard_encodings_are_unchanged() {
    assert_round_trip(&zone_shard_with_free_resources(), ZONE_SHARD);
    assert_decodes_to(&zone_shard(), ZONE_SHARD_COMPACT);
    let key = "sh/zone/a/bay-1.0";
    let (plain, compact) = (replica(false), replica(true));
    assert_write(
        &plain.put_zone_shard("a/bay-1.0", &zone_shard_with_free_resources()),
        key,
        ZONE_SHARD,
    );
    assert_write(
        &compact.put_zone_shard("a/bay-1.0", &zone_shard_with_free_resources()),
        key,
        ZONE_SHARD_COMPACT,
    );
    assert_write(
        &compact.put_zone_shard("a/bay-1.0", &zone_shard()),
        key,
        ZONE_SHARD_COMPACT,
    );
    assert_write(
        &compact.put_zone_shard("a/bay-1.0", &ZoneShard::default()),
        key,
        r#"{"m":[]}"#,
    );
    assert_write(
        &plain.put_zone_shard("a/bay-1.0", &ZoneShard::default()),
        key,
        r#"{"m":{}}"#,
    );
}

#[test]
fn machine_shard_encodings_are_unchanged() {
    assert_round_trip(&machine_shard(), MACHINE_SHARD);
    assert_decodes_to(&machine_shard(), MACHINE_SHARD_COMPACT);
    let key = "sh/machine/a/bay-1.0";
    for text in [MACHINE_SHARD, MACHINE_SHARD_COMPACT] {
        let machine_shard: MachineShard = serde_json::from_str(text).expect("a machine shard");
        assert_write(
            &replica(false).put_machine_shard("a/bay-1.0", &machine_shard),
            key,
            MACHINE_SHARD,
        );
        assert_write(
            &replica(true).put_machine_shard("a/bay-1.0", &machine_shard),
            key,
            MACHINE_SHARD_COMPACT,
        );
    }
}

#[test]
fn keys_are_unchanged() {
    for (key, text) in [
        (keys::job_key("job-000412"), "sh/job/job-000412"),
        (keys::team_key("vision"), "sh/team/vision"),
        (keys::shard_id("a", "bay-1.0"), "a/bay-1.0"),
        (keys::zone_shard_key("a/bay-1.0"), "sh/zone/a/bay-1.0"),
        (keys::machine_shard_key("a/bay-1.0"), "sh/machine/a/bay-1.0"),
        (keys::controller_key("bay-1"), "sh/node/bay-1"),
        (keys::accepted_batch_key("bay-1-7"), "sh/new/bay-1-7"),
        (keys::provisioning_request_key("r-17"), "sh/hire/r-17"),
        (keys::PREFIX.into(), "sh/"),
        (keys::BARRIER_KEY.into(), "sh-barrier"),
        (keys::FLEET_KEY.into(), "sh/fleet"),
        (keys::TYPES_KEY.into(), "sh/types"),
        (keys::FORMATS_KEY.into(), "sh/formats"),
        (preferred_owner_of("bay-1.0").into(), "bay-1"),
    ] {
        assert_eq!(key, text);
    }
}

// --- the mesh ---------------------------------------------------------------------

/// A frame consists of a length of four bytes and the fields in their order.
#[test]
fn mesh_frames_are_unchanged() {
    let before_first_barrier = PeerStatus {
        staleness_ms: None,
        refused_offers: Vec::new(),
        ..peer_status()
    };
    for (status, frame) in [
        (peer_status(), FRAME),
        (before_first_barrier, FRAME_BEFORE_FIRST_BARRIER),
    ] {
        assert_eq!(encode(&status).expect("a frame"), frame);
        let length = u32::from_be_bytes(frame[..4].try_into().expect("a length"));
        assert_eq!(length as usize, frame.len() - 4);
        let read = decode(&frame[4..]).expect("a status");
        assert_eq!(format!("{read:?}"), format!("{status:?}"));
        assert_eq!(encode(&read).expect("a frame"), frame);
    }
    assert!(decode(&FRAME[4..FRAME.len() - 1]).is_err());
}
