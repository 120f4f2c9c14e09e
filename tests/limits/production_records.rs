//! Tests with records that the version in production wrote.

use super::setup::{decode, decode_and_check_round_trip, without_free_resources};
use shelfhoist::state::encoding;

use shelfhoist::state::records::*;

// --- records as stored in production -------------------------------------------

/// The record of a job as the version in production (`f00c9ea`) serializes it. The constants
/// below contain its texts of the other records.
const JOB: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5},"n":1800,"b":412,"a":3,"x":40,"q":"0-4,7","r":[{"m":"host-000231","z":"a","a":1,"t":"10-19,21"},{"m":"host-000231","z":"a","a":3,"t":"30","x":true}],"c":true,"e":2,"ea":2,"em":["host-000007"]}"#;

const NEW_JOB: &str = r#"{"f":"o","s":{"l":"train","w":"vision","k":"gang","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0},"n":1800,"b":9,"a":0,"x":0}"#;

const DONE_JOB: &str = r#"{"f":"d","n":1800,"b":412,"a":3,"x":40,"c":true}"#;

const ACCEPTED_BATCH: &str = r#"{"b":7,"j":{"job-000001":{"l":"train","w":"vision","k":"batch","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"ty":["g8","g16"],"z":"a","oz":true,"sp":true,"lo":true,"e":25.0,"cs":30.0,"ss":4.0,"d":900.5},"job-000002":{"l":"train","w":"vision","k":"gang","p":"normal","n":1800,"r":{"c":2000,"g":0,"m":1800},"i":"img-07","ig":6.2,"e":25.0,"cs":30.0,"ss":4.0}}}"#;

const TEAM_USAGE: &str = r#"{"u":{"c":3000,"g":1000,"m":2000}}"#;

const ZONE_SHARD: &str = r#"{"m":{"host-000231":{"t":"g8","l":true,"f":{"c":6000,"g":0,"m":12000},"o":{"c":2000,"g":0,"m":1800}},"host-000232":{"t":"g16","f":{"c":16000,"g":2000,"m":12000}}}}"#;

const MACHINE_SHARD: &str = r#"{"m":{"host-000231":{"h":"bay-1","i":4000000000,"k":41,"s":[41,3608],"f":"a","t":"g8","l":true},"host-000232":{"h":"","i":0,"k":0,"s":[0,0],"f":"b","t":"g8"},"host-000233":{"h":"bay-2","i":4000000000,"k":2,"s":[2,176],"f":"d","t":"g8"},"host-000234":{"h":"bay-1","i":4000000000,"k":3,"s":[3,264],"f":"r","t":"g8"},"host-000235":{"h":"bay-1","i":4000000000,"k":4,"s":[4,352],"f":"g","t":"g8","l":true}}}"#;

const PROVISIONING_REQUEST: &str = r#"{"t":"g8","z":"a","l":true,"n":3,"m":["host-000236"]}"#;

const TYPES: &str = r#"{"types":[{"label":"g8","vcpus":8.0,"cards":1.0,"ram_gb":64.0,"local_gb":50.0,"pull_gb_per_s":1.5,"hourly":0.14,"spot_price":0.04,"ready_s":20.0,"yards":["a","b"]}]}"#;

const FLEET_LEADER: &str = r#"{"h":"bay-1","i":4000000000}"#;

/// Records that production wrote are decoded without loss, and a record without the newer
/// fields is encoded to the same bytes.
#[test]
fn production_records_are_decoded_and_encoded() {
    let job: Job = decode_and_check_round_trip(JOB);
    assert_eq!(job.runs.len(), 2);
    assert!(job.runs[1].stop);
    assert_eq!(job.runs[0].tasks, NumberSet(vec![(10, 19), (21, 21)]));
    assert_eq!(job.failed_on, ["host-000007"]);
    decode_and_check_round_trip::<Job>(NEW_JOB);
    decode_and_check_round_trip::<Job>(DONE_JOB);
    decode_and_check_round_trip::<AcceptedBatch>(ACCEPTED_BATCH);
    decode_and_check_round_trip::<TeamUsage>(TEAM_USAGE);
    let shard: ZoneShard = decode_and_check_round_trip(ZONE_SHARD);
    assert_eq!(shard.machines["host-000231"].unbooked.cpus, Amount(2000));
    let machine_shard: MachineShard = decode_and_check_round_trip(MACHINE_SHARD);
    assert_eq!(machine_shard.machines.len(), 5);
    decode_and_check_round_trip::<ProvisioningRequest>(PROVISIONING_REQUEST);
    decode_and_check_round_trip::<MachineTypesRecord>(TYPES);
    decode_and_check_round_trip::<ControllerRecord>(FLEET_LEADER);
    // The compact encoding restores the same bytes, except for the free resources of a zone
    // shard. It omits them, because no version reads them.
    let decoded: Job = decode(encoding::encode_job(&job));
    assert_eq!(serde_json::to_string(&decoded).expect("text"), JOB);
    let decoded: MachineShard = decode(encoding::encode_machine_shard(&machine_shard));
    assert_eq!(
        serde_json::to_string(&decoded).expect("text"),
        MACHINE_SHARD
    );
    let decoded: ZoneShard = decode(encoding::encode_zone_shard(&shard));
    assert_eq!(decoded, without_free_resources(&shard));
}
