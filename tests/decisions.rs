//! Tables of cases for the pure decisions.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use shelfhoist::api::{Refusal, check_submission, read_submission, should_shed};
use shelfhoist::cloud::{Blame, blame};
use shelfhoist::http::{CallError, Client, Parsed, Response, ServerLimits, parse_request, serve};
use shelfhoist::net::{Fabric, Net};
use shelfhoist::pipeline::Standing;
use shelfhoist::scheduler::{self, Care, Hints, Plan, WaitReason};
use shelfhoist::scheduler::{Released, Transaction};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{job_key, machine_shard_key, shard_id, zone_shard_key};
use shelfhoist::state::records::*;
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::*;
use shelfhoist::workers::{self, AttemptKey, TerminationEvidence, WorkerSession, reconcile};
use tokio::time::Instant;

fn settings_json() -> serde_json::Value {
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

fn settings() -> Settings {
    Settings::parse(&settings_json().to_string()).expect("good settings")
}

#[test]
fn settings_name_the_wrong_field() {
    let cases = [
        ("/node", json!("a b"), "node"),
        ("/location", json!("c"), "location"),
        ("/others/0/node", json!("n0"), "others[0].node"),
        ("/deployment/count", json!(3), "deployment.count"),
        ("/deployment/zones/1", json!("a"), "deployment.zones[1]"),
        (
            "/deployment/teams/1/name",
            json!("t"),
            "deployment.teams[1].name",
        ),
        (
            "/deployment/teams/0/cpus_max",
            json!(1.0),
            "deployment.teams[0].cpus_max",
        ),
        (
            "/deployment/workers/report_s",
            json!(0.0),
            "deployment.workers.report_s",
        ),
        (
            "/deployment/workers/lease_s",
            json!(1.5),
            "deployment.workers.lease_s",
        ),
        (
            "/deployment/workers/cancel_s",
            json!(10.0),
            "deployment.workers.cancel_s",
        ),
        (
            "/deployment/state/txn_ops",
            json!(1),
            "deployment.state.txn_ops",
        ),
        ("/deployment/state/rps", json!(-1.0), "deployment.state.rps"),
        ("/external/state", json!("127.0.0.9:0"), "external.state"),
        ("/mesh_addr", json!("127.0.0.1:1"), "mesh_addr"),
    ];
    for (path, value, field) in cases {
        let mut s = settings_json();
        *s.pointer_mut(path).expect(path) = value;
        let problem = Settings::parse(&s.to_string()).expect_err(path).to_string();
        assert!(problem.contains(&format!("{field}:")), "{path}: {problem}");
    }
    let mut s = settings_json();
    s["surprise"] = json!({"x": 1});
    assert!(
        Settings::parse(&s.to_string()).is_ok(),
        "unknown fields pass"
    );
}

fn submission() -> serde_json::Value {
    json!({"name_id":"job-000412","lot":"x","crew":"t","cut":"gang","urgency":"normal","boards":2,
        "vcpus":2.0,"cards":0.0,"ram_gb":4.0,"blueprint":"i","pull_gb":1.0,"grades":null,
        "yard":null,"same_place":true,"scatter":false,"loaners":false,
        "expect_s":10.0,"notch_s":0.0,"stow_s":0.0,"due_s":null})
}

fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
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

fn view_with_types() -> Replica {
    let mut replica = Replica::default();
    replica.types.value.types = vec![
        machine_type("small", 4.0, 0.0),
        machine_type("big", 8.0, 2.0),
    ];
    replica.loaded = true;
    replica
}

#[test]
fn submissions_are_refused_by_their_form() {
    for body in ["", "nonsense", "[]", "7", "null", "{}"] {
        assert!(
            matches!(read_submission(body.as_bytes()), Err(Refusal::Malformed(_))),
            "{body}"
        );
    }
    let bad = [
        ("name_id", json!("job-")),
        ("name_id", json!("task-1")),
        ("name_id", json!(5)),
        ("boards", json!(0)),
        ("boards", json!(100_001)),
        ("boards", json!(1.5)),
        ("boards", json!(-1)),
        ("vcpus", json!(-0.5)),
        ("vcpus", json!("2")),
        ("ram_gb", json!(1e300)),
        ("cut", json!("other")),
        ("urgency", json!(null)),
        ("same_place", json!(1)),
        ("grades", json!("small")),
        ("due_s", json!(-1)),
    ];
    for (field, value) in bad {
        let mut s = submission();
        s[field] = value.clone();
        let got = read_submission(s.to_string().as_bytes());
        assert!(matches!(got, Err(Refusal::Malformed(_))), "{field} {value}");
    }
    for field in ["crew", "vcpus", "notch_s", "scatter"] {
        let mut s = submission();
        s.as_object_mut().expect("object").remove(field);
        let got = read_submission(s.to_string().as_bytes());
        assert!(matches!(got, Err(Refusal::Malformed(_))), "no {field}");
    }
}

#[test]
fn submissions_that_can_never_run_are_told_from_those_not_decidable() {
    let set = settings();
    let check = |edit: &[(&str, serde_json::Value)], replica: &Replica| {
        let mut s = submission();
        for (k, v) in edit {
            s[*k] = v.clone();
        }
        let Ok(s) = read_submission(s.to_string().as_bytes()) else {
            return 400;
        };
        match check_submission(&s, &set, replica) {
            Ok(_) => 201,
            Err(Refusal::Malformed(_)) => 400,
            Err(Refusal::Never(_)) => 422,
            Err(Refusal::Unknown) => 503,
        }
    };
    let replica = view_with_types();
    let cases: &[(&[(&str, serde_json::Value)], u16)] = &[
        (&[], 201),
        (&[("crew", json!("nobody"))], 422),
        (&[("vcpus", json!(9.0))], 422),
        (&[("cards", json!(2.0))], 201),
        (&[("cards", json!(3.0))], 422),
        (&[("grades", json!(["small"])), ("vcpus", json!(5.0))], 422),
        (&[("grades", json!([]))], 422),
        (&[("yard", json!("c"))], 422),
        // 9 x 2 CPUs exceed the limit of 16 at once, but not for an array.
        (&[("boards", json!(9))], 422),
        (&[("boards", json!(9)), ("cut", json!("batch"))], 201),
        (&[("boards", json!(9)), ("cut", json!("daemon"))], 422),
        // At the bounds: as many tasks as there may be, and one more; a gang
        // and a service that fill the team's limit, in one zone or spread.
        (&[("boards", json!(100_000)), ("cut", json!("batch"))], 201),
        (&[("boards", json!(100_001)), ("cut", json!("batch"))], 400),
        (&[("boards", json!(0))], 400),
        (&[("boards", json!(-1))], 400),
        (&[("boards", json!(1.5))], 400),
        (&[("boards", json!(8))], 201),
        (
            &[
                ("boards", json!(8)),
                ("cut", json!("daemon")),
                ("scatter", json!(true)),
            ],
            201,
        ),
        // Spread over two zones, a gang's two tasks need both; one task does not,
        // and an array's run one after the other.
        (
            &[("same_place", json!(false)), ("scatter", json!(true))],
            201,
        ),
        (
            &[
                ("same_place", json!(false)),
                ("scatter", json!(true)),
                ("yard", json!("a")),
            ],
            422,
        ),
        (
            &[
                ("boards", json!(3)),
                ("scatter", json!(true)),
                ("same_place", json!(true)),
            ],
            422,
        ),
        (
            &[
                ("boards", json!(1)),
                ("scatter", json!(true)),
                ("same_place", json!(true)),
                ("yard", json!("a")),
            ],
            201,
        ),
        (
            &[
                ("boards", json!(2)),
                ("cut", json!("batch")),
                ("scatter", json!(true)),
                ("yard", json!("a")),
            ],
            201,
        ),
        (&[("vcpus", json!("2"))], 400),
        (&[("ram_gb", json!(65.0))], 422),
        (&[("name_id", json!("job-"))], 400),
    ];
    for (edit, status) in cases {
        assert_eq!(check(edit, &replica), *status, "{edit:?}");
    }
    assert_eq!(check(&[], &Replica::default()), 503, "types not known yet");
    assert_eq!(
        check(&[("crew", json!("nobody"))], &Replica::default()),
        422
    );
}

#[test]
fn http_requests_are_read_within_bounds() {
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(9000));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(60));
    let refused: &[(&str, u16)] = &[
        ("\u{1}\u{2}\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (
            "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            400,
        ),
        ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 400),
        (
            "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            400,
        ),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (&long, 431),
        (&many, 431),
    ];
    for (text, status) in refused {
        match parse_request(text.as_bytes()) {
            Parsed::Refuse(s, _) => assert_eq!(s, *status, "{text:.60}"),
            other => panic!("{text:.60}: {other:?}"),
        }
    }
    let text = "POST /a?b=c HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhiGET";
    for cut in 0..text.len() - 3 {
        assert!(
            matches!(parse_request(&text.as_bytes()[..cut]), Parsed::Partial),
            "{cut}"
        );
    }
    match parse_request(text.as_bytes()) {
        Parsed::Whole(r, used, keep) => {
            assert_eq!(
                (r.path.as_str(), r.query.as_str(), r.body.as_slice()),
                ("/a", "b=c", &b"hi"[..])
            );
            assert_eq!((used, keep), (text.len() - 3, false));
        }
        other => panic!("{other:?}"),
    }
}

fn spec(kind: Kind, tasks: u32, cpus: f64) -> Spec {
    let mut s = submission();
    s["cut"] = serde_json::to_value(kind).expect("kind");
    s["boards"] = json!(tasks);
    s["vcpus"] = json!(cpus);
    let s: Submission = serde_json::from_value(s).expect("submission");
    Spec {
        one_zone: false,
        ..Spec::from(&s)
    }
}

/// A replica whose zone shards have these rooms: zone, machine, CPUs.
fn view_with(rooms: &[(&str, &str, f64)]) -> Replica {
    let mut replica = view_with_types();
    let mut zone_shards: BTreeMap<&str, ZoneShard> = BTreeMap::new();
    for (zone, machine, cpus) in rooms {
        let kind = format!("of-{cpus}");
        if replica.type_of(&kind).is_none() {
            replica
                .types
                .value
                .types
                .push(machine_type(&kind, *cpus, 0.0));
        }
        let slot = MachineSlot {
            kind,
            spot: false,
            free: Resources::default(),
            unbooked: Resources::default(),
        };
        let shard = zone_shards.entry(zone).or_default();
        shard.machines.insert(machine.to_string(), slot);
    }
    let key = |zone| zone_shard_key(&shard_id(zone, "n0.0"));
    let events = zone_shards
        .iter()
        .map(|(zone, shard)| Event::put(key(zone), shard, 3));
    replica.advance(events.collect(), 3);
    replica
}

fn hints(replica: &Replica) -> Hints<'_> {
    Hints::new(replica, "n0")
}

/// KEP-2724, "Computing the assignment": required waits, preferred relaxes.
#[test]
fn gangs_fit_one_zone_or_relax() {
    let set = settings();
    let split = view_with(&[("a", "m1", 4.0), ("b", "m2", 4.0)]);
    let whole = view_with(&[("a", "m1", 2.0), ("b", "m2", 4.0), ("b", "m3", 2.0)]);
    let fit = |spec: &Spec, replica: &Replica| {
        let job = Job::new(spec.clone(), 1);
        let plan = Plan::of(replica);
        scheduler::fit(&job, spec, &plan, &hints(replica), &set, Care::Lax).map(|places| {
            let mut zones = BTreeMap::new();
            for p in places {
                *zones.entry(p.zone.to_string()).or_insert(0) += 1;
            }
            zones.into_iter().collect::<Vec<_>>()
        })
    };
    let required = |s: Spec| Spec {
        one_zone: true,
        ..s
    };
    let gang = spec(Kind::Gang, 3, 2.0);
    assert_eq!(
        fit(&required(gang.clone()), &split),
        Err(WaitReason::NoZone)
    );
    assert_eq!(
        fit(&gang, &split),
        Ok(vec![("a".into(), 2), ("b".into(), 1)])
    );
    assert_eq!(
        fit(&required(gang.clone()), &whole),
        Ok(vec![("b".into(), 3)])
    );
    // Preferred, too, stays in one zone where it can.
    assert_eq!(fit(&gang, &whole), Ok(vec![("b".into(), 3)]));
    assert_eq!(
        fit(&spec(Kind::Gang, 5, 2.0), &split),
        Err(WaitReason::NoRoom)
    );
    // An array takes what there is; a spread service at most half per zone.
    assert_eq!(
        fit(&spec(Kind::Array, 8, 2.0), &split),
        Ok(vec![("a".into(), 2), ("b".into(), 2)])
    );
    let spread = Spec {
        spread: true,
        ..spec(Kind::Service, 3, 2.0)
    };
    let one = view_with(&[("a", "m1", 8.0)]);
    assert_eq!(fit(&spread, &one), Ok(vec![("a".into(), 2)]));
    // 16 CPUs are the team's limit, whatever the room.
    let wide = view_with(&[("a", "m1", 40.0)]);
    assert_eq!(
        fit(&spec(Kind::Array, 20, 2.0), &wide),
        Ok(vec![("a".into(), 8)])
    );
    assert_eq!(
        fit(&spec(Kind::Gang, 9, 2.0), &wide),
        Err(WaitReason::TeamLimit)
    );
}

/// Rule `wrong_place`: tasks that are still somewhere bind the others, those
/// of an old attempt too.
#[test]
fn old_attempts_count_for_the_place() {
    let set = settings();
    let replica = view_with(&[("a", "m1", 8.0), ("b", "m2", 8.0)]);
    let hints = hints(&replica);
    let plan = Plan::of(&replica);
    let s = Spec {
        one_zone: true,
        ..spec(Kind::Array, 3, 2.0)
    };
    let mut job = Job::new(s.clone(), 1);
    let task = job.take_fresh().expect("one");
    job.book("m9", "b", 1, task);
    let places = scheduler::fit(&job, &s, &plan, &hints, &set, Care::Lax).expect("fits");
    assert!(places.iter().all(|p| &*p.zone == "b"), "{places:?}");
    let gang = spec(Kind::Gang, 2, 2.0);
    let mut job = Job::new(gang.clone(), 1);
    job.book("m9", "b", 1, 0);
    assert_eq!(
        scheduler::fit(&job, &gang, &plan, &hints, &set, Care::Lax),
        Err(WaitReason::OldAttempt)
    );
}

#[test]
fn ranges_stay_sorted_and_joined() {
    let mut r = Ranges::default();
    for n in [5, 3, 4, 9, 3] {
        r.insert(n);
    }
    assert_eq!(r.0, vec![(3, 5), (9, 9)]);
    assert!(r.remove(4) && !r.remove(4));
    assert_eq!(r.0, vec![(3, 3), (5, 5), (9, 9)]);
    assert_eq!((r.len(), r.pop_first(), r.len()), (3, Some(3), 2));
}

/// Rule `not_done`: a job is done when every task is, and a gang at its first.
#[test]
fn jobs_come_to_their_end() {
    let mut array = Job::new(spec(Kind::Array, 2, 1.0), 1);
    for _ in 0..2 {
        let t = array.take_fresh().expect("waiting");
        array.book("m", "a", 1, t);
    }
    assert!(array.release("m", 1, 0, Outcome::Done));
    assert!(
        !array.release("m", 1, 0, Outcome::Done),
        "a repeat releases nothing"
    );
    assert!(
        !array.release("m", 7, 1, Outcome::Done),
        "another attempt is not this one"
    );
    assert!(array.release("m", 1, 1, Outcome::Lost));
    assert!(array.is_open() && array.waiting() == 1 && array.done_count() == 1);
    let t = array.retry.pop_first().expect("again");
    array.book("m", "a", 2, t);
    assert!(array.release("m", 2, 1, Outcome::Done));
    assert_eq!(
        (array.status, array.spec.is_none()),
        (JobStatus::Done, true)
    );

    let mut gang = Job::new(spec(Kind::Gang, 2, 1.0), 1);
    gang.book("m", "a", 1, 0);
    gang.book("n", "a", 1, 1);
    let mut broken = gang.clone();
    assert!(broken.release("m", 1, 0, Outcome::Lost));
    assert!(broken.runs.iter().all(|r| r.stop) && broken.waiting() == 0);
    assert!(broken.release("n", 1, 1, Outcome::Lost));
    assert_eq!(broken.waiting(), 2, "whole again once all are gone");
    assert!(gang.release("m", 1, 0, Outcome::Done));
    assert_eq!(gang.status, JobStatus::Done);
    gang.cancel();
    assert_eq!(gang.status, JobStatus::Done, "final states never change");
}

/// Work that only fills idle time is told from work that somebody waits for.
#[test]
fn fillers_are_known() {
    let mut json = settings_json();
    json["deployment"]["objectives"] =
        json!([{"kind": "finished", "class": "aimed", "within_s": 9.0}]);
    let settings = Settings::parse(&json.to_string()).expect("settings");
    let mut work = spec(Kind::Array, 4, 1.0);
    work.priority = Priority::Low;
    type Case = (&'static str, fn(&mut Spec), bool);
    let cases: [Case; 6] = [
        ("plain", |_| {}, true),
        ("cannot save", |s| s.checkpoint_s = 0.0, false),
        ("due", |s| s.deadline_s = Some(9.0), false),
        ("aimed at", |s| s.class = "aimed".into(), false),
        ("normal", |s| s.priority = Priority::Normal, false),
        ("a service", |s| s.kind = Kind::Service, false),
    ];
    for (name, edit, filler) in cases {
        let mut spec = work.clone();
        spec.checkpoint_s = 30.0;
        edit(&mut spec);
        assert_eq!(
            scheduler::is_opportunistic(&spec, &settings),
            filler,
            "{name}"
        );
    }
}

/// Users who ask too often are turned away first, yet every job is answered for
/// now and then: unanswered for 75 s it would count as forgotten.
#[test]
fn questions_are_shed_only_when_answered_just_now() {
    let settings = settings();
    let ms = Duration::from_millis;
    let (report, lease) = (settings.report(), settings.lease());
    for (lag, answered, shed) in [
        (ms(0), Some(ms(100)), false),
        (report / 10, Some(ms(100)), false),
        (report / 2, Some(ms(100)), true),
        (report * 9, Some(lease / 3), true),
        (report * 9, Some(lease), false),
        (report * 9, None, false),
    ] {
        assert_eq!(
            should_shed(lag, answered, &settings),
            shed,
            "{lag:?} {answered:?}"
        );
    }
}

/// A job that fails on several machines is to blame itself, until it succeeds
/// anywhere; a machine is, where what failed on it succeeds elsewhere.
#[test]
fn failures_are_blamed_on_the_job_or_on_the_machine() {
    use Outcome::{Done, Failed, Lost};
    type Ends = &'static [(&'static str, u64, Outcome)];
    let cases: [(Ends, u32, Blame); 8] = [
        (&[("m", 1, Failed)], 1, Blame::Unknown),
        // However many tasks of an attempt fail, the back-off counts one.
        (&[("m", 1, Failed), ("m", 1, Failed)], 1, Blame::Unknown),
        (&[("m", 1, Failed), ("n", 2, Failed)], 2, Blame::Unknown),
        (
            &[("m", 1, Failed), ("n", 1, Failed), ("o", 1, Failed)],
            1,
            Blame::Job,
        ),
        (&[("m", 1, Failed), ("n", 1, Done)], 0, Blame::Machine),
        (&[("m", 1, Failed), ("n", 1, Lost)], 1, Blame::Unknown),
        (&[("n", 1, Done), ("m", 2, Failed)], 1, Blame::Unknown),
        (
            &[
                ("m", 1, Failed),
                ("n", 1, Failed),
                ("o", 1, Failed),
                ("p", 2, Done),
            ],
            0,
            Blame::Machine,
        ),
    ];
    for (n, (ends, errors, whose)) in cases.into_iter().enumerate() {
        let mut job = Job::new(spec(Kind::Array, 9, 1.0), 1);
        for (machine, attempt, outcome) in ends {
            let task = job.take_fresh().expect("waiting");
            job.book(machine, "a", *attempt, task);
            assert!(job.release(machine, *attempt, task, *outcome));
        }
        assert_eq!((job.errors, blame(&job, "m")), (errors, whose), "case {n}");
        let mut cancelled = job.clone();
        cancelled.cancel();
        assert_eq!(blame(&cancelled, "m"), Blame::Job, "case {n}");
    }
}

/// A machine `m` under our token 5 with one booking of job-1/0, attempt 1.
fn held(kind: Kind, edit: impl FnOnce(&mut Job)) -> Replica {
    let mut replica = view_with_types();
    let mut job = Job::new(spec(kind, 1, 1.0), 1);
    job.take_fresh();
    job.book("m", "a", 1, 0);
    edit(&mut job);
    let machine = Machine {
        holder: "n0".into(),
        incarnation: 1,
        token: 5,
        seen: (0, 0),
        life: MachineLifecycle::Active,
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        shard: "n0.0".into(),
    };
    let set = |key: String, value: serde_json::Value| Event::put(key, &value, 9);
    replica.advance(
        vec![
            set(job_key("job-1"), serde_json::to_value(&job).expect("job")),
            set(
                machine_shard_key("a/n0.0"),
                json!({"m": {"m": serde_json::to_value(&machine).expect("machine")}}),
            ),
            set(zone_shard_key("a/n0.0"), json!({"m": {}})),
        ],
        10,
    );
    replica
}

fn report(seq: u64, token: u64, tasks: serde_json::Value) -> Report {
    serde_json::from_value(
        json!({"bay":"m","endpoint":"127.0.0.1:5","grade":"small","yard":"a",
        "loaners":false,"shift":1,"tally":seq,"baton":token,"boards":tasks}),
    )
    .expect("report")
}

/// An array may have its places in more zone shards than a commit writes, a gang goes
/// whole or not at all.
#[test]
fn what_a_commit_cannot_hold_is_booked_by_several() {
    let set = settings();
    for (kind, want) in [(Kind::Array, 4), (Kind::Gang, 0)] {
        let mut replica = view_with(&[]);
        for n in 0..9 {
            let slot = json!({"t": "small", "f": {"c": 4000, "g": 0, "m": 16_000_000}});
            let shard = json!({"m": {format!("m{n}"): slot}});
            replica.advance(
                vec![Event::put(zone_shard_key(&format!("a/n0.{n}")), &shard, 3)],
                3,
            );
        }
        let mut wide = spec(kind, 9, 4.0);
        wide.need.ram = Amount(0);
        replica.jobs.insert(
            "job-1".into(),
            shelfhoist::state::replica::Entry {
                version: 3,
                value: Job::new(wide.clone(), 1),
            },
        );
        let job = replica.jobs["job-1"].value.clone();
        let plan = Plan::of(&replica);
        let mut terms = set.clone();
        terms.deployment.teams[0].cpus_max = 1e6;
        let places = scheduler::fit(&job, &wide, &plan, &hints(&replica), &terms, Care::Lax);
        let places = places.expect("room for all");
        assert_eq!(places.len(), 9);
        let mut transaction = Transaction::new(&replica, 6);
        assert_eq!(transaction.book("job-1", &wide, &places), want, "{kind:?}");
        assert!(transaction.len() <= 6);
    }
}

/// Safety 2 and 3: what a report proves, and what it does not.
#[test]
fn only_a_newer_report_under_our_token_proves_an_end() {
    let running = json!([{"board":"job-1/0","try":1,"stage":"running"}]);
    let done = json!([{"board":"job-1/0","try":1,"stage":"ended","cause":"done"}]);
    let none = json!([]);
    type Edit = fn(&mut WorkerSession);
    let plain: Edit = |_| {};
    let launched: Edit = |h| {
        h.launched.insert(("job-1/0".into(), 1));
    };
    let cases: &[(&str, Kind, u64, &serde_json::Value, Edit, &str)] = &[
        ("absent: launch", Kind::Array, 5, &none, plain, "launch"),
        (
            "absent array task: launch again",
            Kind::Array,
            5,
            &none,
            launched,
            "launch",
        ),
        (
            "absent gang task that was there: gone",
            Kind::Gang,
            5,
            &none,
            launched,
            "end lost",
        ),
        ("running: nothing", Kind::Array, 5, &running, plain, ""),
        (
            "done: recorded first, not forgotten",
            Kind::Array,
            5,
            &done,
            plain,
            "end done",
        ),
        (
            "an older token proves nothing",
            Kind::Gang,
            4,
            &none,
            launched,
            "",
        ),
        (
            "a call under way: no verdict",
            Kind::Gang,
            5,
            &none,
            |h| {
                h.launched.insert(("job-1/0".into(), 1));
                h.in_flight = true;
            },
            "",
        ),
        (
            "an unanswered launch may land late",
            Kind::Gang,
            5,
            &none,
            |h| {
                h.launched.insert(("job-1/0".into(), 1));
                h.unresolved = true;
            },
            "",
        ),
        (
            "nor is an end released meanwhile",
            Kind::Array,
            5,
            &done,
            |h| h.unresolved = true,
            "",
        ),
        (
            "a launch in a beat answer is on its way",
            Kind::Array,
            5,
            &none,
            |h| {
                h.offered = Some((1, 99));
            },
            "",
        ),
        (
            "the view has not reached the claim",
            Kind::Array,
            5,
            &none,
            |h| h.claimed_at = 11,
            "",
        ),
    ];
    for (name, kind, token, tasks, edit, expected) in cases {
        let replica = held(*kind, |_| {});
        let now = Instant::now();
        let mut worker_session = WorkerSession::new(5, 9, now);
        worker_session.take(report(7, *token, (*tasks).clone()), true);
        edit(&mut worker_session);
        let plan = reconcile(
            "m",
            &worker_session,
            &replica,
            &BTreeMap::new(),
            Duration::from_secs(2),
            now,
        );
        let mut got: Vec<String> = plan
            .orders
            .iter()
            .map(|o| {
                serde_json::to_value(o.verb)
                    .expect("verb")
                    .as_str()
                    .unwrap_or("")
                    .to_string()
            })
            .collect();
        got.extend(
            plan.ends
                .iter()
                .map(|(_, o)| format!("end {o:?}").to_lowercase()),
        );
        assert_eq!(got.join(" "), *expected, "{name}");
    }
}

#[test]
fn an_ended_task_is_forgotten_only_once_recorded() {
    let done = json!([{"board":"job-1/0","try":1,"stage":"ended","cause":"done"}]);
    let now = Instant::now();
    let mut worker_session = WorkerSession::new(5, 9, now);
    worker_session.take(report(7, 5, done), true);
    let recorded = held(Kind::Array, |j| {
        j.release("m", 1, 0, Outcome::Done);
    });
    let plan = |worker_session: &WorkerSession| {
        reconcile(
            "m",
            worker_session,
            &recorded,
            &BTreeMap::<AttemptKey, TerminationEvidence>::new(),
            Duration::from_secs(2),
            now,
        )
    };
    assert_eq!(plan(&worker_session).orders[0].verb, CommandKind::Forget);
    worker_session.unresolved = true;
    assert!(
        plan(&worker_session).orders.is_empty(),
        "a late launch would start it again"
    );
}

#[test]
fn older_reports_are_passed_over() {
    let now = Instant::now();
    let mut worker_session = WorkerSession::new(5, 9, now);
    assert!(worker_session.take(report(7, 5, json!([])), true));
    assert!(
        !worker_session.take(report(7, 5, json!([])), true),
        "the same again"
    );
    assert!(!worker_session.take(report(6, 5, json!([])), true), "late");
    assert!(
        !worker_session.take(report(8, 4, json!([])), true),
        "another token"
    );
    assert!(worker_session.take(report(8, 5, json!([])), false));
}

/// A machine that was lost and claimed again: another controller may have
/// launched the same attempt there in between, so that an end which waited in
/// the queue since before proves nothing any more.
#[test]
fn an_end_is_released_only_under_the_claim_that_proved_it() {
    let cases: &[(&str, u64, MachineLifecycle, u64, Released)] = &[
        (
            "the claim that stands",
            5,
            MachineLifecycle::Active,
            1,
            Released::Yes,
        ),
        (
            "an earlier claim",
            4,
            MachineLifecycle::Active,
            1,
            Released::Stale,
        ),
        (
            "another run's claim",
            5,
            MachineLifecycle::Active,
            2,
            Released::Stale,
        ),
        (
            "the cloud's word",
            0,
            MachineLifecycle::Gone,
            2,
            Released::Yes,
        ),
    ];
    for (name, token, life, incarnation, want) in cases {
        let mut replica = held(Kind::Array, |_| {});
        let mut machine = replica.machines["m"].value.clone();
        machine.life = *life;
        let machine_shard = json!({"m": {"m": serde_json::to_value(&machine).expect("machine")}});
        replica.advance(
            vec![Event::put(machine_shard_key("a/n0.0"), &machine_shard, 11)],
            11,
        );
        let key = AttemptKey {
            job: "job-1".into(),
            machine: "m".into(),
            attempt: 1,
            task: 0,
        };
        let outcome = Outcome::Lost;
        let proof = TerminationEvidence {
            outcome,
            token: *token,
        };
        let mut transaction = Transaction::new(&replica, 12);
        let got = transaction.release(&key, proof, "n0", *incarnation);
        assert_eq!(&got, want, "{name}");
        // The commit depends on the machine's record, too.
        let guards = transaction.into_commit().0;
        let on_machine_shard = guards.iter().any(|g| g.key == machine_shard_key("a/n0.0"));
        assert_eq!(on_machine_shard, *want == Released::Yes, "{name}");
    }
}

#[test]
fn a_silent_lease_is_over_only_for_its_holder_throughout() {
    let lease = Duration::from_secs(10);
    let margin = Duration::from_secs(1);
    let start = Instant::now();
    let mut worker_session = WorkerSession::new(5, 9, start);
    let late = start + Duration::from_secs(12);
    assert!(
        !worker_session.lease_is_over(lease, margin, late),
        "the token was never shown"
    );
    worker_session.take(report(7, 5, json!([])), true);
    assert!(worker_session.lease_is_over(lease, margin, late));
    assert!(
        !worker_session.lease_is_over(lease, margin, start + Duration::from_secs(11)),
        "margin"
    );
    worker_session.unresolved = true;
    assert!(
        !worker_session.lease_is_over(lease, margin, late),
        "a launch may land late"
    );
    worker_session.unresolved = false;
    worker_session.answered = start + Duration::from_secs(5);
    assert!(
        !worker_session.lease_is_over(lease, margin, late),
        "renewed since"
    );
}

#[test]
fn the_horizon_leaves_time_for_the_lease() {
    let s = settings();
    let w = &s.deployment.workers;
    let total = s.staleness_limit().as_secs_f64() + w.lease_s * 1.0005;
    assert!(total < w.cancel_s && total > w.cancel_s * 0.95, "{total}");
}

#[test]
fn preemption_follows_the_protocol() {
    let with = |team: &str, priority| Spec {
        team: team.into(),
        priority,
        ..spec(Kind::Array, 1, 1.0)
    };
    use Priority::*;
    // (job, in guarantee, victim, victim borrows) -> may stop
    let cases = [
        (("t", High), false, ("t", Low), false, true),
        (("t", Normal), false, ("u", Normal), true, false),
        (("t", Normal), true, ("u", Normal), true, true),
        (("t", Low), true, ("u", Production), true, true),
        (("t", Normal), true, ("u", Normal), false, false),
        (("t", Normal), true, ("t", Normal), true, false),
        (("t", Low), false, ("u", High), true, false),
    ];
    let service = Spec {
        kind: Kind::Service,
        ..with("u", Production)
    };
    assert!(
        !scheduler::may_preempt((&with("t", High), High), true, (&service, Production), true),
        "a service is not ended for a guarantee"
    );
    for (job, inside, victim, borrows, expected) in cases {
        let got = scheduler::may_preempt(
            (&with(job.0, job.1), job.1),
            inside,
            (&with(victim.0, victim.1), victim.1),
            borrows,
        );
        assert_eq!(got, expected, "{job:?} {inside} {victim:?} {borrows}");
    }
}

#[test]
fn a_full_job_record_stays_within_value_kb() {
    let set = settings();
    let mut set_wide = set.clone();
    set_wide.deployment.teams[0].cpus_max = 1e6;
    let s = spec(Kind::Array, 100_000, 0.001);
    let names: Vec<String> = (0..40).map(|n| format!("host-{n:06}")).collect();
    let rooms: Vec<(&str, &str, f64)> = names.iter().map(|m| ("a", m.as_str(), 0.05)).collect();
    let replica = view_with(&rooms);
    let mut job = Job::new(s.clone(), 1);
    for _ in 0..20 {
        let plan = Plan::of(&replica);
        let Ok(places) = scheduler::fit(&job, &s, &plan, &hints(&replica), &set_wide, Care::Lax)
        else {
            break;
        };
        let places: Vec<_> = places.iter().collect();
        shelfhoist::scheduler::book(&mut job, &s, &places);
        // What fails on some machines is noted, too.
        for run in job.runs.clone().iter().rev().take(FAILED_ON + 2) {
            let task = run.tasks.iter().next().expect("a task");
            let mut failed = job.clone();
            assert!(failed.release(&run.machine, run.attempt, task, Outcome::Failed));
            let size = serde_json::to_vec(&failed).expect("job").len();
            assert!(size <= set.value_bytes(), "{size} bytes with failures");
            job = failed;
        }
        // Every second one ends, the rest stays scattered.
        let ends: Vec<_> = job
            .runs
            .iter()
            .flat_map(|r| r.tasks.iter().map(|t| (r.machine.clone(), r.attempt, t)))
            .collect();
        for (m, a, t) in ends.into_iter().step_by(2) {
            let outcome = if t % 4 == 0 {
                Outcome::Lost
            } else {
                Outcome::Done
            };
            job.release(&m, a, t, outcome);
        }
        let size = serde_json::to_vec(&job).expect("job").len();
        assert!(size <= set.value_bytes(), "{size} bytes");
    }
    assert!(job.attempt > 1);
}

/// What is stopped for a guarantee must not be within its own team's: the two
/// would stop one another for ever (13 stops a gang on a measured day).
#[test]
fn a_team_lends_only_what_it_would_not_have_back() {
    let set = settings();
    let team = set.team("t").expect("team");
    let room = |cpus: f64| Resources {
        cpus: Amount::room(cpus),
        ..Resources::default()
    };
    // 8 CPUs are guaranteed.
    for (used, shard, lends) in [
        (8.0, 2.0, false),
        (9.0, 2.0, false),
        (10.0, 2.0, true),
        (16.0, 8.0, true),
        (15.0, 8.0, false),
    ] {
        assert_eq!(
            team.lends(&room(used), &room(shard)),
            lends,
            "{used} {shard}"
        );
    }
}

/// A job that has never begun goes first after a bound, however the policy
/// ranks it; one that was stopped does not push back in that way.
#[test]
fn nothing_waits_beyond_the_bound() {
    let set = settings();
    let mut replica = view_with(&[("a", "m1", 8.0)]);
    let small = Job::new(spec(Kind::Gang, 1, 1.0), 5);
    let large = Job::new(spec(Kind::Gang, 8, 2.0), 6);
    let mut stopped = large.clone();
    stopped.attempt = 1;
    let events = [("job-1", &small), ("job-2", &large), ("job-3", &stopped)];
    let events = events.map(|(id, job)| Event::put(job_key(id), job, 7));
    replica.advance(events.to_vec(), 8);
    let now = Instant::now();
    let bound = Duration::from_secs_f64(set.starving_s());
    for (age, first) in [
        (Duration::ZERO, "job-1"),
        (bound / 2, "job-1"),
        (bound + Duration::from_secs(1), "job-2"),
    ] {
        let later = now + bound * 2;
        let ages = ["job-2", "job-3"].map(|id| (id.to_string(), later - age));
        let mut ages: scheduler::Ages = ages.into_iter().collect();
        ages.insert("job-1".into(), later);
        let queue = scheduler::queue(&replica, &Plan::of(&replica), &set, &ages, later);
        assert_eq!(queue[0], first, "{age:?}: {queue:?}");
    }
}

/// The first large gang in line has its room kept from what comes behind it,
/// in the zone that has the most of it, and there only.
#[test]
fn room_is_held_for_a_large_gang() {
    let replica = view_with(&[
        ("a", "m1", 4.0),
        ("a", "m2", 4.0),
        ("b", "m3", 4.0),
        ("b", "m4", 1.0),
    ]);
    let gang = Spec {
        one_zone: true,
        ..spec(Kind::Gang, 3, 4.0)
    };
    let mut plan = Plan::of(&replica);
    scheduler::hold_room(&gang, &mut plan, &hints(&replica));
    let free = |m: &str| {
        plan.spots[plan.find(&replica, m).expect("spot")]
            .free
            .cpus
            .units()
    };
    assert_eq!(["m1", "m2", "m3", "m4"].map(free), [0.0, 0.0, 4.0, 1.0]);
}

/// Machines of a zone stand in zone shards that stay within `value_kb`, each machine
/// in one of its home's; two controllers that take up the same new machine at
/// once cannot both succeed.
#[test]
fn a_large_zone_stands_in_several_shards() {
    let set = settings();
    let mut replica = view_with_types();
    let mut version = 10;
    for n in 0..800 {
        let name = format!("host-{n:06}");
        let mut machine_shards = shelfhoist::scheduler::MachineShardEdits::new(&replica);
        let machine = Machine {
            shard: machine_shards.new_shard(&set, &name, "grande-occhio", "a"),
            holder: "n0".into(),
            incarnation: u64::from(u32::MAX),
            token: 1_000_000,
            seen: (1000, 1_000_000),
            spot: true,
            ..Machine::new("grande-occhio", "a")
        };
        machine_shards.put(&name, machine);
        let (guards, writes) = machine_shards.into_commit();
        version += 1;
        for w in &writes {
            let Write::Put { key, value, .. } = w else {
                panic!("{w:?}");
            };
            assert!(
                value.get().len() <= set.value_bytes(),
                "{}",
                value.get().len()
            );
            assert!(guards.iter().any(|g| g.key == *key), "{key} is not guarded");
        }
        // Every part of the home is a condition, and the next that is not yet.
        let home = set.home(&name, "a");
        let zone_shards = replica
            .machine_shards
            .keys()
            .filter(|k| k.starts_with(&format!("a/{home}.")));
        assert!(
            guards.len() > zone_shards.count().saturating_sub(1),
            "{guards:?}"
        );
        replica.overlay(&writes, version);
    }
    assert_eq!(replica.machines.len(), 800);
    let listed: usize = replica
        .machine_shards
        .values()
        .map(|g| g.value.machines.len())
        .sum();
    assert_eq!(listed, 800, "each stands in one part");
    assert!(
        replica.machine_shards.len() > 4,
        "{}",
        replica.machine_shards.len()
    );
    // A takeover of all takes as many commits as it needs, each within what a
    // request may hold.
    let ops = set.txn_ops();
    let mut left: Vec<String> = replica.machines.keys().cloned().collect();
    let mut commits = 0;
    while !left.is_empty() {
        let mut machine_shards = shelfhoist::scheduler::MachineShardEdits::new(&replica);
        left.retain(|name| {
            let machine = &replica.machines[name].value;
            let machine_shard = shard_id(&machine.zone, &machine.shard);
            if machine_shards.is_full(ops) && !machine_shards.has(&machine_shard) {
                return true;
            }
            machine_shards.put(name, machine.clone());
            false
        });
        let (guards, writes) = machine_shards.into_commit();
        let body = serde_json::to_vec(&Commit { guards, writes }).expect("commit");
        assert!(body.len() <= 64 * 1024, "{} bytes", body.len());
        commits += 1;
    }
    assert!((2..10).contains(&commits), "{commits} commits");
}

/// Task numbers are text in a record, and what is not a set is refused.
#[test]
fn ranges_are_written_as_text() {
    for (ranges, text) in [
        (vec![], "\"\""),
        (vec![(7, 7)], "\"7\""),
        (vec![(0, 4), (6, 6), (8, 1799)], "\"0-4,6,8-1799\""),
    ] {
        let ranges = Ranges(ranges);
        assert_eq!(serde_json::to_string(&ranges).expect("text"), text);
        assert_eq!(
            serde_json::from_str::<Ranges>(text).expect("ranges"),
            ranges
        );
    }
    for text in ["\"a\"", "\"4-2\"", "\"1--2\"", "[[0,1]]"] {
        assert!(serde_json::from_str::<Ranges>(text).is_err(), "{text}");
    }
}

/// Jobs accepted together stand in one record until each has its own, which
/// counts from then on, whatever comes later or twice.
#[test]
fn arrivals_stand_for_their_jobs() {
    let mut replica = view_with_types();
    let mut cancelled = Job::new(spec(Kind::Array, 1, 1.0), 1);
    cancelled.cancel();
    let new = |ids: &[&str]| Arrivals {
        accepted_revision: 1,
        jobs: ids
            .iter()
            .map(|id| (id.to_string(), spec(Kind::Array, 2, 1.0)))
            .collect(),
    };
    let key = shelfhoist::state::keys::arrivals_key;
    replica.advance(vec![Event::put(key("x"), &new(&["job-1", "job-2"]), 5)], 5);
    assert_eq!((replica.job_version("job-1"), replica.open.len()), (0, 2));
    replica.advance(vec![Event::put(job_key("job-1"), &cancelled, 6)], 6);
    // A commit without an answer that was carried out late.
    replica.advance(vec![Event::put(key("y"), &new(&["job-1", "job-2"]), 7)], 7);
    assert!(
        !replica.jobs["job-1"].value.is_open(),
        "a final state changed"
    );
    assert_eq!((replica.job_version("job-1"), replica.open.len()), (6, 1));
}

/// A holder that cannot give orders yet renews no lease where something has
/// to end: a cancelled task would live on.
#[test]
fn leases_are_not_renewed_by_who_cannot_stop() {
    let running = json!([{"board":"job-1/0","try":1,"stage":"running"}]);
    let other = json!([{"board":"job-9/0","try":1,"stage":"running"}]);
    let ended = json!([{"board":"job-9/0","try":1,"stage":"ended","cause":"done"}]);
    let open = held(Kind::Service, |_| {});
    let over = held(Kind::Service, Job::cancel);
    for (replica, tasks, must_stop) in [
        (&open, &running, false),
        (&over, &running, true),
        (&over, &json!([]), true),
        (&open, &other, true),
        (&open, &ended, false),
    ] {
        let report = report(3, 5, tasks.clone());
        assert_eq!(
            shelfhoist::workers::must_stop(&report, replica),
            must_stop,
            "{tasks}"
        );
    }
}

/// What renews a lease ends what is cancelled, by that very report: whatever was
/// told before, under whatever token the report was made.
#[test]
fn every_answer_stops_what_the_report_shows_as_cancelled() {
    let tasks = json!([
        {"board":"job-1/0","try":1,"stage":"running"},
        {"board":"job-1/1","try":1,"stage":"pulling"},
        {"board":"job-1/2","try":1,"stage":"flushing"},
        {"board":"job-1/3","try":2,"stage":"ended","cause":"stopped"},
        {"board":"job-9/0","try":1,"stage":"running"},
    ]);
    let open = held(Kind::Service, |_| {});
    let done = held(Kind::Gang, |j| j.status = JobStatus::Done);
    let over = held(Kind::Service, Job::cancel);
    for token in [0, 5, 9] {
        let report = report(3, token, tasks.clone());
        for replica in [&open, &done] {
            assert_eq!(workers::stops_of_cancelled(&report, replica), vec![]);
        }
        let stops = workers::stops_of_cancelled(&report, &over);
        let told: Vec<_> = stops
            .iter()
            .map(|o| (o.verb, &*o.task, o.attempt))
            .collect();
        let all = ["job-1/0", "job-1/1", "job-1/2"].map(|t| (CommandKind::Stop, t, 1));
        assert_eq!(told, all);
        assert!(stops.iter().all(|o| o.grace_s == Some(0.0)));
    }
}

/// Reports that arrive while answers do not: a session that rises although its
/// heartbeats were answered, or a token that is not taken up.
#[test]
fn a_worker_that_hears_nothing_is_found_out() {
    let lease = Duration::from_secs(10);
    let at = |start: Instant, s: f64| start + Duration::from_secs_f64(s);
    // (seconds, session, number, token) and whether it is deaf after that.
    type Beat = (f64, u64, u64, u64, bool);
    let cases: &[(&str, &[Beat])] = &[
        ("well", &[(1.0, 1, 1, 5, false), (12.0, 1, 12, 5, false)]),
        (
            "deaf",
            &[
                (1.0, 1, 1, 5, false),
                (9.0, 1, 9, 5, false),
                (12.0, 2, 12, 5, true),
            ],
        ),
        (
            "silent, then back",
            &[(1.0, 1, 1, 5, false), (40.0, 2, 2, 5, false)],
        ),
        (
            "hears again",
            &[
                (1.0, 1, 1, 5, false),
                (9.0, 1, 9, 5, false),
                (12.0, 2, 12, 5, true),
                (20.0, 2, 20, 5, true),
                (26.0, 2, 26, 5, false),
            ],
        ),
        (
            "token not taken up",
            &[(1.0, 1, 1, 4, false), (11.0, 1, 11, 4, true)],
        ),
    ];
    for (name, beats) in cases {
        let start = Instant::now();
        let mut worker_session = WorkerSession::new(5, 1, start);
        for (n, (s, session, seq, token, deaf)) in beats.iter().enumerate() {
            let now = at(start, *s);
            let heartbeat = Report {
                session: *session,
                ..report(*seq, *token, json!([]))
            };
            assert!(
                worker_session.record_heartbeat(&heartbeat, lease, now),
                "{name} {n}"
            );
            worker_session.answered = now;
            assert_eq!(
                worker_session.unreachable_since.is_some(),
                *deaf,
                "{name} {n}"
            );
            // The same again, or an older one, is a late copy.
            assert!(
                !worker_session.record_heartbeat(&heartbeat, lease, at(start, s + 500.0)),
                "{name} {n}"
            );
            assert_eq!(
                worker_session.heard, now,
                "{name} {n}: a copy kept it alive"
            );
        }
    }
}

/// A worker that answers orders but sends no report has no lease: its session
/// rises again and again, and what is started there ends each time.
#[test]
fn a_worker_that_cannot_report_is_found_out() {
    let lease = Duration::from_secs(10);
    let start = Instant::now();
    let mut worker_session = WorkerSession::new(5, 1, start);
    // Seconds, session, number, whether it is a heartbeat, whether it counts as one
    // that takes no work.
    for (s, session, seq, beats, found) in [
        (1.0, 1, 1, true, false),
        (5.0, 1, 2, false, false),
        (9.0, 1, 3, false, false),
        (11.5, 2, 4, false, true),
        (16.0, 2, 5, false, true),
        (22.0, 3, 6, false, true),
        // It reaches us again; one whole lease has to pass in one session.
        (25.0, 4, 7, true, true),
        (31.0, 4, 8, true, true),
        (38.0, 4, 9, true, false),
    ] {
        let now = start + Duration::from_secs_f64(s);
        let report = Report {
            session,
            ..report(seq, 5, json!([]))
        };
        match beats {
            true => assert!(worker_session.record_heartbeat(&report, lease, now), "{s}"),
            false => worker_session.see(&report, lease, now),
        }
        worker_session.answered = if beats { now } else { worker_session.answered };
        assert_eq!(worker_session.unreachable_since.is_some(), found, "{s}");
    }
}

/// The writes that all controllers may make are shared by what each would.
#[test]
fn writes_are_shared_by_demand() {
    let share = shelfhoist::state::budget::write_share;
    let even = share(30.0, 5.0, &[Some(5.0); 4]);
    assert!((even - 6.0).abs() < 0.01, "{even}");
    assert!(share(30.0, 9.0, &[Some(1.0); 4]) > 12.0);
    assert!(share(30.0, 0.0, &[Some(9.0); 4]) < 2.0);
    // Those not heard of may be writing all the same.
    assert!(share(30.0, 9.0, &[None; 4]) < 12.0);
    for mine in [0.0, 1.0, 30.0, 1e6] {
        let s = share(30.0, mine, &[Some(0.0); 4]);
        assert!((1.5..=18.0).contains(&s), "{mine}: {s}");
    }
}

/// One controller may be left with every worker: connections for orders are
/// bounded, the longest idle goes first, and one in use is never closed.
#[test]
fn order_connections_are_bounded() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let fabric = Rc::new(Fabric::default());
        let at = |n: usize| -> SocketAddrV4 { format!("10.1.0.{n}:1").parse().expect("address") };
        let net = |n| Net::Fabric(fabric.clone(), at(n));
        let limits = ServerLimits {
            connections: 4,
            idle: Duration::from_secs(60),
            arrive: Duration::from_secs(5),
            stays: |r| r.path == "/worker",
        };
        let handler: shelfhoist::http::Handler = Rc::new(|r| {
            Box::pin(async move {
                if r.path == "/slow" {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
                let mut answer = Response::empty(200);
                if r.path == "/long" {
                    answer.body.resize(5000, b' ');
                }
                answer
            })
        });
        for n in 1..=5 {
            let listener = net(n).listen(at(n)).await.expect("listen");
            tokio::task::spawn_local(serve(listener, limits, handler.clone()));
        }
        let client = Rc::new(Client::new(net(9), Duration::from_secs(30)).bounded(3, 4096));
        let limit = Duration::from_secs(4);
        for n in [1, 2, 3, 4, 5, 1] {
            let answer = client.call(at(n), "GET", "/worker", None, limit).await;
            assert_eq!(answer.expect("answer").status, 200);
            assert!(client.connections() <= 3);
        }
        assert_eq!(client.connections(), 3);
        // All in use: the next is not sent, and says so.
        let slow: Vec<_> = (1..=3)
            .map(|n| {
                let client = client.clone();
                tokio::task::spawn_local(async move {
                    client.call(at(n), "GET", "/slow", None, limit).await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let refused = client.call(at(4), "GET", "/worker", None, limit).await;
        assert!(matches!(refused, Err(CallError::NotSent(_))), "{refused:?}");
        for call in slow {
            assert_eq!(call.await.expect("task").expect("answer").status, 200);
        }
        // An answer beyond the bound is told from one that never came.
        let long = client.call(at(1), "GET", "/long", None, limit).await;
        assert!(matches!(long, Err(CallError::TooLarge)), "{long:?}");
        // A crowded server lets go of those that may come back, not of workers.
        let workers = Client::new(net(9), Duration::from_secs(30));
        let users = Client::new(net(9), Duration::from_secs(30));
        for _ in 0..3 {
            let held = Client::new(net(9), Duration::from_secs(30));
            let answer = held.call(at(5), "GET", "/worker", None, limit).await;
            assert_eq!(answer.expect("answer").status, 200);
            std::mem::forget(held);
        }
        let user = users.call(at(5), "GET", "/user", None, limit).await;
        assert_eq!(user.expect("answer").status, 200);
        assert_eq!(users.connections(), 0, "kept by a crowded server");
        let worker = workers.call(at(5), "GET", "/worker", None, limit).await;
        assert_eq!(worker.expect("answer").status, 200);
        assert_eq!(workers.connections(), 1);
    });
}

/// A job after others, as its record has it.
fn after(awaits: &[&str], priority: Priority, estimate_s: f64, deadline_s: Option<f64>) -> Job {
    let spec = Spec {
        priority,
        estimate_s,
        deadline_s,
        awaits: awaits.iter().map(|id| id.to_string()).collect(),
        ..spec(Kind::Array, 2, 1.0)
    };
    Job::new(spec, 7)
}

fn ended(status: JobStatus) -> Job {
    Job {
        status,
        spec: None,
        ..after(&[], Priority::Low, 0.0, None)
    }
}

/// A job has the highest priority and the tightest deadline of the open jobs
/// that need it, less the expected work between; each change counts at once.
#[test]
fn what_needs_a_job_passes_its_priority_and_deadline_on() {
    use Priority::*;
    let mut replica = view_with_types();
    let jobs = [
        // A diamond with a tail, and one that nothing needs.
        ("job-1", after(&[], Low, 15.0, None)),
        ("job-2", after(&["job-1"], Low, 25.0, None)),
        ("job-3", after(&["job-1"], Normal, 20.0, Some(500.0))),
        ("job-4", after(&["job-2", "job-3"], High, 8.0, Some(100.0))),
        ("job-5", after(&["job-4"], Low, 1.0, Some(60.0))),
        ("job-6", after(&[], Normal, 5.0, Some(30.0))),
    ];
    let mut at = 10;
    let mut set = |replica: &mut Replica, id: &str, job: &Job| {
        at += 1;
        replica.advance(vec![Event::put(job_key(id), job, at)], at);
    };
    // In no order of theirs: the last first.
    for (id, job) in jobs.iter().rev() {
        set(&mut replica, id, job);
    }
    let check = |replica: &Replica, step: &str, expected: &[(&str, Priority, Option<f64>)]| {
        let now = Instant::now();
        for (id, priority, left_s) in expected {
            let spec = replica.jobs[*id].value.spec.as_ref().expect("open");
            let standing = replica.standing(id, spec, now);
            assert_eq!(standing.priority, *priority, "{step}: {id}");
            let near = match (standing.left_s, left_s) {
                (Some(a), Some(b)) => (a - b).abs() < 5.0,
                (a, b) => a.is_none() && b.is_none(),
            };
            assert!(near, "{step}: {id}: {:?}, not {left_s:?}", standing.left_s);
        }
    };
    check(
        &replica,
        "all open",
        &[
            ("job-1", High, Some(26.0)), // 60 - 1 - 8 - 25
            ("job-2", High, Some(51.0)),
            ("job-3", High, Some(51.0)),
            ("job-4", High, Some(59.0)),
            ("job-5", Low, Some(60.0)),
            ("job-6", Normal, Some(30.0)),
        ],
    );
    set(&mut replica, "job-5", &ended(JobStatus::Cancelled));
    check(
        &replica,
        "the tail cancelled",
        &[
            ("job-1", High, Some(67.0)),
            ("job-2", High, Some(92.0)),
            ("job-3", High, Some(92.0)),
            ("job-4", High, Some(100.0)),
        ],
    );
    set(&mut replica, "job-4", &ended(JobStatus::Cancelled));
    check(
        &replica,
        "the join cancelled",
        &[
            ("job-1", Normal, Some(480.0)),
            ("job-2", Low, None),
            ("job-3", Normal, Some(500.0)),
        ],
    );
    assert_eq!(replica.open.len(), 2, "job-1 and job-6");
    set(&mut replica, "job-1", &ended(JobStatus::Done));
    assert_eq!(replica.open.len(), 3, "job-2, job-3 and job-6");
    assert_eq!(replica.blocked().count(), 0);
}

/// Lateness goes by the deadline of what needs a job, too.
#[test]
fn a_job_is_late_for_what_needs_it() {
    let mut set = settings_json();
    set["deployment"]["objectives"] = json!([
        {"kind": "wait", "class": "w", "within_s": 40.0, "target": 0.9},
        {"kind": "deadline", "class": "d", "target": 0.9},
    ]);
    let set = Settings::parse(&set.to_string()).expect("settings");
    // RequestClass, own deadline, left of the effective one, asked for, age -> late.
    // The estimate is 10 s.
    let cases = [
        ("x", None, None, false, 999.0, false),
        ("x", None, Some(20.0), true, 999.0, false),
        ("x", None, Some(9.0), true, 0.0, true),
        ("w", None, None, false, 39.0, false),
        ("w", None, None, false, 41.0, true),
        ("w", None, Some(9.0), true, 39.0, false),
        ("w", None, Some(20.0), true, 41.0, false),
        ("w", None, Some(9.0), true, 41.0, true),
        ("d", Some(50.0), Some(11.0), false, 0.0, false),
        ("d", Some(50.0), Some(9.0), false, 0.0, true),
        ("d", Some(50.0), Some(-3.0), true, 0.0, true),
        ("d", None, None, false, 999.0, false),
    ];
    for case in cases {
        let (class, deadline_s, left_s, asked, age, expected) = case;
        let spec = Spec {
            class: class.into(),
            deadline_s,
            ..spec(Kind::Array, 1, 1.0)
        };
        let standing = Standing {
            priority: Priority::Low,
            left_s,
            asked,
        };
        let got = scheduler::is_late(&spec, &set, age, &standing);
        assert_eq!(got, expected, "{case:?}");
    }
}

/// Work is stopped by the priority that counts, on both sides.
#[test]
fn preemption_goes_by_the_priority_of_what_needs_a_job() {
    use Priority::*;
    let low = spec(Kind::Array, 1, 1.0);
    let low = Spec {
        priority: Low,
        ..low
    };
    for (ours, theirs, expected) in [
        (Low, Low, false),
        (High, Low, true),
        (High, High, false),
        (Low, High, false),
    ] {
        let got = scheduler::may_preempt((&low, ours), false, (&low, theirs), false);
        assert_eq!(got, expected, "{ours:?} {theirs:?}");
    }
}

/// What a job's state is follows from the records, however they come in: one
/// by one in any order, in arrivals, or all at once.
#[test]
fn states_follow_from_the_records_in_any_order() {
    use Priority::Low;
    let first = |status: JobStatus| match status {
        JobStatus::Open => after(&[], Low, 5.0, None),
        status => ended(status),
    };
    let jobs = |status: JobStatus, other: JobStatus| {
        vec![
            ("job-1", first(status)),
            ("job-2", first(other)),
            ("job-3", after(&["job-1"], Low, 5.0, Some(50.0))),
            ("job-4", after(&["job-2", "job-3"], Low, 5.0, None)),
            ("job-5", after(&["job-4"], Low, 5.0, None)),
            ("job-6", after(&["job-2"], Low, 5.0, None)),
        ]
    };
    use JobStatus::*;
    // What the first two are -> states of all, and the open ones.
    let cases = [
        ((Open, Open), [Open; 6], vec!["job-1", "job-2"]),
        (
            (Done, Open),
            [Done, Open, Open, Open, Open, Open],
            vec!["job-2", "job-3"],
        ),
        (
            (Cancelled, Open),
            [Cancelled, Open, Cancelled, Cancelled, Cancelled, Open],
            vec!["job-2"],
        ),
        (
            (Done, Cancelled),
            [Done, Cancelled, Open, Cancelled, Cancelled, Cancelled],
            vec!["job-3"],
        ),
        (
            (Done, Done),
            [Done, Done, Open, Open, Open, Open],
            vec!["job-3", "job-6"],
        ),
    ];
    for ((status, other), states, open) in cases {
        let jobs = jobs(status, other);
        // Every order in which six records can come in.
        let mut orders = vec![vec![]];
        for n in 0..jobs.len() {
            orders = orders
                .into_iter()
                .flat_map(|o: Vec<usize>| {
                    (0..=o.len()).map(move |at| {
                        let mut o = o.clone();
                        o.insert(at, n);
                        o
                    })
                })
                .collect();
        }
        let check = |replica: &Replica, how: &str| {
            for ((id, _), state) in jobs.iter().zip(states) {
                assert_eq!(
                    replica.state(id),
                    Some(state),
                    "{status:?} {other:?} {how}: {id}"
                );
            }
            let got: Vec<&str> = replica.open.iter().map(|(_, id)| id.as_str()).collect();
            assert_eq!(got, open, "{status:?} {other:?} {how}");
            let cancelled_with_dependency = states.iter().zip(&jobs);
            let cancelled_with_dependency =
                cancelled_with_dependency.filter(|(s, (_, job))| **s == Cancelled && job.is_open());
            assert_eq!(
                replica.cancelled_with_dependency().count(),
                cancelled_with_dependency.count(),
                "{how}"
            );
            let held = 6 - open.len() - states.iter().filter(|s| **s != Open).count();
            assert_eq!(replica.blocked().count(), held, "{how}");
        };
        for order in &orders {
            let mut replica = Replica::default();
            for (step, n) in order.iter().enumerate() {
                let (id, job) = &jobs[*n];
                let at = step as u64 + 1;
                replica.advance(vec![Event::put(job_key(id), job, at)], at);
            }
            check(&replica, &format!("{order:?}"));
        }
        // All open at first, in one arrival; then the first two change.
        let specs = self::jobs_of(&jobs);
        let mut replica = Replica::default();
        let key = shelfhoist::state::keys::arrivals_key("x");
        let arrivals = Arrivals {
            accepted_revision: 7,
            jobs: specs,
        };
        replica.advance(vec![Event::put(key, &arrivals, 1)], 1);
        for (n, (id, job)) in jobs[..2].iter().enumerate() {
            let at = n as u64 + 2;
            replica.advance(vec![Event::put(job_key(id), job, at)], at);
        }
        check(&replica, "arrivals");
        // A full read finds the same.
        let mut pairs: Vec<Pair> = Vec::new();
        for (id, job) in &jobs {
            pairs.push(
                serde_json::from_value(json!({"key": job_key(id), "value": job, "stamp": 9}))
                    .expect("pair"),
            );
        }
        replica.reload(pairs, 9);
        check(&replica, "reload");
    }
}

fn jobs_of(jobs: &[(&str, Job)]) -> BTreeMap<String, Spec> {
    let open = |job: &Job| job.spec.clone();
    let none = after(&[], Priority::Low, 5.0, None);
    jobs.iter()
        .map(|(id, job)| (id.to_string(), open(job).or(open(&none)).expect("a spec")))
        .collect()
}

/// Safety 7: what waits is not booked, whoever found places for it; and once it
/// is, its record no longer names what was awaited.
#[test]
fn what_waits_is_not_booked() {
    let set = settings();
    for (status, booked) in [
        (JobStatus::Open, 0),
        (JobStatus::Cancelled, 0),
        (JobStatus::Done, 2),
    ] {
        let mut replica = view_with(&[("a", "m", 8.0)]);
        let second = after(&["job-1"], Priority::Low, 5.0, None);
        replica.advance(
            vec![
                Event::put(job_key("job-1"), &ended(status), 4),
                Event::put(job_key("job-2"), &second, 4),
            ],
            4,
        );
        let plan = Plan::of(&replica);
        let spec = second.spec.clone().expect("spec");
        let places = scheduler::fit(&second, &spec, &plan, &hints(&replica), &set, Care::Lax);
        let mut transaction = Transaction::new(&replica, 9);
        let got = transaction.book("job-2", &spec, &places.expect("places"));
        assert_eq!(got, booked, "{status:?}");
        let left = transaction.job("job-2").and_then(|j| j.spec.as_ref());
        let left = left.map_or(0, |s| s.awaits.len());
        assert_eq!(left, usize::from(booked == 0), "{status:?}");
    }
}

/// A job that awaits nothing is written as it was before there was `awaits`.
#[test]
fn records_without_awaits_are_as_before() {
    const BEFORE: &str = r#"{"f":"o","s":{"l":"x","w":"t","k":"gang","p":"normal","n":2,"r":{"c":2000,"g":0,"m":4000},"i":"i","ig":1.0,"oz":true,"e":10.0,"cs":0.0,"ss":0.0},"n":2,"b":7,"a":0,"x":0}"#;
    for awaits in [None, Some(json!(null)), Some(json!([]))] {
        let mut s = submission();
        if let Some(awaits) = awaits {
            s["awaits"] = awaits;
        }
        let s = read_submission(s.to_string().as_bytes()).expect("a submission");
        let text = serde_json::to_string(&Job::new(Spec::from(&s), 7)).expect("text");
        assert_eq!(text, BEFORE);
        let job: Job = serde_json::from_str(BEFORE).expect("a record");
        assert_eq!(serde_json::to_string(&job).expect("text"), BEFORE);
    }
}
