//! What fits where, what waits, what may be stopped for it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::setup::{hints, may_preempt, settings, settings_json, spec, view_with, view_with_types};
use shelfhoist::scheduler::{self, AcceleratorProtection, Plan, Transaction, WaitReason};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{job_key, shard_id, zone_shard_key};
use shelfhoist::state::replica::Replica;

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

/// KEP-2724, "Computing the assignment": required waits, preferred relaxes.
#[test]
fn gangs_fit_one_zone_or_relax() {
    let set = settings();
    let split = view_with(&[("a", "m1", 4.0), ("b", "m2", 4.0)]);
    let whole = view_with(&[("a", "m1", 2.0), ("b", "m2", 4.0), ("b", "m3", 2.0)]);
    let fit = |spec: &JobSpec, replica: &Replica| {
        let job = Job::new(spec.clone(), 1);
        let plan = Plan::from_replica(replica);
        scheduler::find_placements(
            &job,
            spec,
            &plan,
            &hints(replica),
            &set,
            AcceleratorProtection::Lax,
        )
        .map(|placements| {
            let mut zones = BTreeMap::new();
            for p in placements {
                *zones.entry(p.zone.to_string()).or_insert(0) += 1;
            }
            zones.into_iter().collect::<Vec<_>>()
        })
    };
    let required = |s: JobSpec| JobSpec {
        one_zone: true,
        ..s
    };
    let gang = spec(JobKind::Gang, 3, 2.0);
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
        fit(&spec(JobKind::Gang, 5, 2.0), &split),
        Err(WaitReason::NoCapacity)
    );
    // An array takes what there is; a spread service at most half per zone.
    assert_eq!(
        fit(&spec(JobKind::Array, 8, 2.0), &split),
        Ok(vec![("a".into(), 2), ("b".into(), 2)])
    );
    let spread = JobSpec {
        spread: true,
        ..spec(JobKind::Service, 3, 2.0)
    };
    let one = view_with(&[("a", "m1", 8.0)]);
    assert_eq!(fit(&spread, &one), Ok(vec![("a".into(), 2)]));
    // 16 CPUs are the team's limit, whatever the free capacity.
    let wide = view_with(&[("a", "m1", 40.0)]);
    assert_eq!(
        fit(&spec(JobKind::Array, 20, 2.0), &wide),
        Ok(vec![("a".into(), 8)])
    );
    assert_eq!(
        fit(&spec(JobKind::Gang, 9, 2.0), &wide),
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
    let plan = Plan::from_replica(&replica);
    let s = JobSpec {
        one_zone: true,
        ..spec(JobKind::Array, 3, 2.0)
    };
    let mut job = Job::new(s.clone(), 1);
    let task = job.take_unstarted_task().expect("one");
    job.book("m9", "b", 1, task);
    let placements =
        scheduler::find_placements(&job, &s, &plan, &hints, &set, AcceleratorProtection::Lax)
            .expect("fits");
    assert!(placements.iter().all(|p| &*p.zone == "b"), "{placements:?}");
    let gang = spec(JobKind::Gang, 2, 2.0);
    let mut job = Job::new(gang.clone(), 1);
    job.book("m9", "b", 1, 0);
    assert_eq!(
        scheduler::find_placements(&job, &gang, &plan, &hints, &set, AcceleratorProtection::Lax),
        Err(WaitReason::OldAttempt)
    );
}

/// Work that only fills idle time is told from work that somebody waits for.
#[test]
fn fillers_are_known() {
    let mut json = settings_json();
    json["deployment"]["objectives"] =
        json!([{"kind": "finished", "class": "aimed", "within_s": 9.0}]);
    let settings = Settings::parse(&json.to_string()).expect("settings");
    let mut work = spec(JobKind::Array, 4, 1.0);
    work.priority = Priority::Low;
    type Case = (&'static str, fn(&mut JobSpec), bool);
    let cases: [Case; 6] = [
        ("plain", |_| {}, true),
        ("cannot save", |s| s.checkpoint_s = 0.0, false),
        ("due", |s| s.deadline_s = Some(9.0), false),
        ("aimed at", |s| s.class = "aimed".into(), false),
        ("normal", |s| s.priority = Priority::Normal, false),
        ("a service", |s| s.kind = JobKind::Service, false),
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

/// An array may have its placements in more zone shards than a commit writes, a gang goes
/// whole or not at all.
#[test]
fn what_a_commit_cannot_hold_is_booked_by_several() {
    let set = settings();
    for (kind, want) in [(JobKind::Array, 4), (JobKind::Gang, 0)] {
        let mut replica = view_with(&[]);
        for n in 0..9 {
            let slot = json!({"t": "small", "f": {"c": 4000, "g": 0, "m": 16_000_000}});
            let shard = json!({"m": {format!("m{n}"): slot}});
            replica.apply_events(
                vec![Event::put(zone_shard_key(&format!("a/n0.{n}")), &shard, 3)],
                3,
            );
        }
        let mut wide = spec(kind, 9, 4.0);
        wide.need.ram = Amount(0);
        replica.jobs.insert(
            "job-1".into(),
            shelfhoist::state::replica::Versioned {
                version: 3,
                value: Job::new(wide.clone(), 1),
            },
        );
        let job = replica.jobs["job-1"].value.clone();
        let plan = Plan::from_replica(&replica);
        let mut unlimited = set.clone();
        unlimited.deployment.teams[0].cpus_max = 1e6;
        let placements = scheduler::find_placements(
            &job,
            &wide,
            &plan,
            &hints(&replica),
            &unlimited,
            AcceleratorProtection::Lax,
        );
        let placements = placements.expect("capacity for all");
        assert_eq!(placements.len(), 9);
        let mut transaction = Transaction::new(&replica, 6);
        assert_eq!(
            transaction.book("job-1", &wide, &placements),
            want,
            "{kind:?}"
        );
        assert!(transaction.len() <= 6);
    }
}

#[test]
fn preemption_follows_the_protocol() {
    let with = |team: &str, priority| JobSpec {
        team: team.into(),
        priority,
        ..spec(JobKind::Array, 1, 1.0)
    };
    use Priority::*;
    // (job, within guarantee, running work, it borrows) -> may be preempted
    let cases = [
        (("t", High), false, ("t", Low), false, true),
        (("t", Normal), false, ("u", Normal), true, false),
        (("t", Normal), true, ("u", Normal), true, true),
        (("t", Low), true, ("u", Production), true, true),
        (("t", Normal), true, ("u", Normal), false, false),
        (("t", Normal), true, ("t", Normal), true, false),
        (("t", Low), false, ("u", High), true, false),
    ];
    let service = JobSpec {
        kind: JobKind::Service,
        ..with("u", Production)
    };
    assert!(
        !may_preempt((&with("t", High), High), true, (&service, Production), true),
        "a service is not ended for a guarantee"
    );
    for (job, within_guarantee, running, borrows, expected) in cases {
        let got = may_preempt(
            (&with(job.0, job.1), job.1),
            within_guarantee,
            (&with(running.0, running.1), running.1),
            borrows,
        );
        assert_eq!(
            got, expected,
            "{job:?} {within_guarantee} {running:?} {borrows}"
        );
    }
}

/// What is stopped for a guarantee must not be within its own team's: the two
/// would stop one another for ever (13 stops a gang on a measured day).
#[test]
fn a_team_lends_only_what_it_would_not_have_back() {
    let set = settings();
    let team = set.team("t").expect("team");
    let room = |cpus: f64| Resources {
        cpus: Amount::rounded_down(cpus),
        ..Resources::default()
    };
    // 8 CPUs are guaranteed.
    for (used, shard, can_lend) in [
        (8.0, 2.0, false),
        (9.0, 2.0, false),
        (10.0, 2.0, true),
        (16.0, 8.0, true),
        (15.0, 8.0, false),
    ] {
        assert_eq!(
            team.can_lend(&room(used), &room(shard)),
            can_lend,
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
    let small = Job::new(spec(JobKind::Gang, 1, 1.0), 5);
    let large = Job::new(spec(JobKind::Gang, 8, 2.0), 6);
    let mut stopped = large.clone();
    stopped.attempt = 1;
    let events = [("job-1", &small), ("job-2", &large), ("job-3", &stopped)];
    let events = events.map(|(id, job)| Event::put(job_key(id), job, 7));
    replica.apply_events(events.to_vec(), 8);
    let now = Instant::now();
    let bound = Duration::from_secs_f64(set.starvation_threshold_s());
    for (age, first) in [
        (Duration::ZERO, "job-1"),
        (bound / 2, "job-1"),
        (bound + Duration::from_secs(1), "job-2"),
    ] {
        let later = now + bound * 2;
        let first_seen = ["job-2", "job-3"].map(|id| (id.to_string(), later - age));
        let mut first_seen: scheduler::FirstSeenTimes = first_seen.into_iter().collect();
        first_seen.insert("job-1".into(), later);
        let queue = scheduler::queue(
            &replica,
            &Plan::from_replica(&replica),
            &set,
            &first_seen,
            later,
        );
        assert_eq!(queue[0], first, "{age:?}: {queue:?}");
    }
}

/// The first large gang in line has capacity reserved from what comes behind it,
/// in the zone that has the most of it, and there only.
#[test]
fn room_is_held_for_a_large_gang() {
    let replica = view_with(&[
        ("a", "m1", 4.0),
        ("a", "m2", 4.0),
        ("b", "m3", 4.0),
        ("b", "m4", 1.0),
    ]);
    let gang = JobSpec {
        one_zone: true,
        ..spec(JobKind::Gang, 3, 4.0)
    };
    let mut plan = Plan::from_replica(&replica);
    scheduler::reserve_capacity(&gang, &mut plan, &hints(&replica));
    let free = |m: &str| {
        plan.plan_slots[plan.slot_index_of(&replica, m).expect("a plan slot")]
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
            shard: machine_shards
                .allocate_shard(&set, &name, "grande-occhio", "a")
                .expect("a shard"),
            owner: "n0".into(),
            incarnation: u64::from(u32::MAX),
            fencing_token: 1_000_000,
            claim_heartbeat: HeartbeatId::new(1000, 1_000_000),
            spot: true,
            ..Machine::new("grande-occhio", "a")
        };
        machine_shards.put(&name, machine);
        let (preconditions, writes) = machine_shards.into_commit();
        version += 1;
        for w in &writes {
            let Write::Put { key, value, .. } = w else {
                panic!("{w:?}");
            };
            assert!(
                value.get().len() <= set.value_limit_bytes(),
                "{}",
                value.get().len()
            );
            assert!(
                preconditions.iter().any(|g| g.key == *key),
                "{key} is not guarded"
            );
        }
        // Every part of the home is a condition, and the next that is not yet.
        let home = set.preferred_owner(&name, "a");
        let zone_shards = replica
            .machine_shards
            .keys()
            .filter(|k| k.starts_with(&format!("a/{home}.")));
        assert!(
            preconditions.len() > zone_shards.count().saturating_sub(1),
            "{preconditions:?}"
        );
        replica.apply_commit(&writes, version);
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
            if machine_shards.is_full(ops) && !machine_shards.contains(&machine_shard) {
                return true;
            }
            machine_shards.put(name, machine.clone());
            false
        });
        let (preconditions, writes) = machine_shards.into_commit();
        let body = serde_json::to_vec(&Commit {
            preconditions,
            writes,
        })
        .expect("commit");
        assert!(body.len() <= 64 * 1024, "{} bytes", body.len());
        commits += 1;
    }
    assert!((2..10).contains(&commits), "{commits} commits");
}

/// The writes that all controllers may make are shared by what each would.
#[test]
fn writes_are_shared_by_demand() {
    let share = shelfhoist::state::budget::write_rate_allocation;
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
