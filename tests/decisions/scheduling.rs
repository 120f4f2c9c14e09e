//! Placement, order of the queue, preemption, capacity reservations and machine shards.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::setup::{
    active_machine, job_spec, may_preempt, placement_hints, replica_with_machine_types,
    replica_with_machines, settings, settings_json,
};
use shelfhoist::scheduler::{self, AcceleratorProtection, Plan, Transaction, WaitReason};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{job_key, machine_shard_key, shard_id, zone_shard_key};
use shelfhoist::state::replica::Replica;

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

/// KEP-2724, "Computing the assignment": a gang that requires one zone waits until one has
/// capacity for all of its tasks; a gang that prefers one zone may use several.
#[test]
fn required_zone_waits_and_preferred_zone_relaxes() {
    let settings = settings();
    let two_zones = replica_with_machines(&[("a", "m1", 4.0), ("b", "m2", 4.0)]);
    let one_sufficient_zone =
        replica_with_machines(&[("a", "m1", 2.0), ("b", "m2", 4.0), ("b", "m3", 2.0)]);
    let place = |spec: &JobSpec, replica: &Replica| {
        let job = Job::new(spec.clone(), 1);
        let plan = Plan::from_replica(replica);
        scheduler::find_placements(
            &job,
            spec,
            &plan,
            &placement_hints(replica),
            &settings,
            AcceleratorProtection::Lax,
        )
        .map(|placements| {
            let mut zones = BTreeMap::new();
            for placement in placements {
                *zones.entry(placement.zone.to_string()).or_insert(0) += 1;
            }
            zones.into_iter().collect::<Vec<_>>()
        })
    };
    let require_one_zone = |spec: JobSpec| JobSpec {
        one_zone: true,
        ..spec
    };
    let gang = job_spec(JobKind::Gang, 3, 2.0);
    assert_eq!(
        place(&require_one_zone(gang.clone()), &two_zones),
        Err(WaitReason::NoZone)
    );
    assert_eq!(
        place(&gang, &two_zones),
        Ok(vec![("a".into(), 2), ("b".into(), 1)])
    );
    assert_eq!(
        place(&require_one_zone(gang.clone()), &one_sufficient_zone),
        Ok(vec![("b".into(), 3)])
    );
    // A gang that prefers one zone is placed in one if possible.
    assert_eq!(
        place(&gang, &one_sufficient_zone),
        Ok(vec![("b".into(), 3)])
    );
    assert_eq!(
        place(&job_spec(JobKind::Gang, 5, 2.0), &two_zones),
        Err(WaitReason::NoCapacity)
    );
    // An array uses all free capacity. A spread service has at most half of its tasks in one
    // zone, rounded up.
    assert_eq!(
        place(&job_spec(JobKind::Array, 8, 2.0), &two_zones),
        Ok(vec![("a".into(), 2), ("b".into(), 2)])
    );
    let spread = JobSpec {
        spread: true,
        ..job_spec(JobKind::Service, 3, 2.0)
    };
    let single_zone = replica_with_machines(&[("a", "m1", 8.0)]);
    assert_eq!(place(&spread, &single_zone), Ok(vec![("a".into(), 2)]));
    // The team's limit of 16 CPUs applies whatever the free capacity is.
    let large_machine = replica_with_machines(&[("a", "m1", 40.0)]);
    assert_eq!(
        place(&job_spec(JobKind::Array, 20, 2.0), &large_machine),
        Ok(vec![("a".into(), 8)])
    );
    assert_eq!(
        place(&job_spec(JobKind::Gang, 9, 2.0), &large_machine),
        Err(WaitReason::TeamLimit)
    );
}

/// Rule `wrong_place`: tasks that still run, including those of an old attempt, determine the
/// zone in which the other tasks of the job may be placed.
#[test]
fn old_attempts_restrict_placement() {
    let settings = settings();
    let replica = replica_with_machines(&[("a", "m1", 8.0), ("b", "m2", 8.0)]);
    let hints = placement_hints(&replica);
    let plan = Plan::from_replica(&replica);
    let spec = JobSpec {
        one_zone: true,
        ..job_spec(JobKind::Array, 3, 2.0)
    };
    let mut job = Job::new(spec.clone(), 1);
    let task = job.take_unstarted_task().expect("a waiting task");
    job.book("m9", "b", 1, task);
    let placements = scheduler::find_placements(
        &job,
        &spec,
        &plan,
        &hints,
        &settings,
        AcceleratorProtection::Lax,
    )
    .expect("fits");
    assert!(
        placements.iter().all(|placement| &*placement.zone == "b"),
        "{placements:?}"
    );
    let gang = job_spec(JobKind::Gang, 2, 2.0);
    let mut job = Job::new(gang.clone(), 1);
    job.book("m9", "b", 1, 0);
    assert_eq!(
        scheduler::find_placements(
            &job,
            &gang,
            &plan,
            &hints,
            &settings,
            AcceleratorProtection::Lax
        ),
        Err(WaitReason::OldAttempt)
    );
}

/// A job is opportunistic only if it uses otherwise idle capacity and nobody waits for it.
#[test]
fn opportunistic_jobs_are_recognized() {
    let mut settings = settings_json();
    settings["deployment"]["objectives"] =
        json!([{"kind": "finished", "class": "aimed", "within_s": 9.0}]);
    let settings = Settings::parse(&settings.to_string()).expect("settings");
    let mut opportunistic = job_spec(JobKind::Array, 4, 1.0);
    opportunistic.priority = Priority::Low;
    type Case = (&'static str, fn(&mut JobSpec), bool);
    let cases: [Case; 6] = [
        ("unchanged", |_| {}, true),
        ("without checkpoints", |spec| spec.checkpoint_s = 0.0, false),
        ("with a deadline", |spec| spec.deadline_s = Some(9.0), false),
        (
            "with an objective",
            |spec| spec.class = "aimed".into(),
            false,
        ),
        (
            "with normal priority",
            |spec| spec.priority = Priority::Normal,
            false,
        ),
        ("a service", |spec| spec.kind = JobKind::Service, false),
    ];
    for (name, edit, expected) in cases {
        let mut spec = opportunistic.clone();
        spec.checkpoint_s = 30.0;
        edit(&mut spec);
        assert_eq!(
            scheduler::is_opportunistic(&spec, &settings),
            expected,
            "{name}"
        );
    }
}

/// The placements of a job may be in more zone shards than a commit can write. Then the commit
/// books some tasks of an array, but none of a gang.
#[test]
fn array_that_exceeds_a_commit_is_booked_in_part() {
    let settings = settings();
    for (kind, expected_bookings) in [(JobKind::Array, 4), (JobKind::Gang, 0)] {
        let mut replica = replica_with_machines(&[]);
        for n in 0..9 {
            let slot = json!({"t": "small", "f": {"c": 4000, "g": 0, "m": 16_000_000}});
            let shard = json!({"m": {format!("m{n}"): slot}});
            let machines = [(format!("m{n}"), active_machine("small", "a"))];
            let machine_shard = MachineShard {
                machines: machines.into(),
            };
            let id = format!("a/n0.{n}");
            let events = vec![
                Event::put(machine_shard_key(&id), &machine_shard, 3),
                Event::put(zone_shard_key(&id), &shard, 3),
            ];
            replica.apply_events(events, 3);
        }
        let mut spec = job_spec(kind, 9, 4.0);
        spec.need.ram = Amount(0);
        replica.jobs.insert(
            "job-1".into(),
            shelfhoist::state::replica::Versioned {
                version: 3,
                value: Job::new(spec.clone(), 1),
            },
        );
        let job = replica.jobs["job-1"].value.clone();
        let plan = Plan::from_replica(&replica);
        let mut unlimited = settings.clone();
        unlimited.deployment.teams[0].cpus_max = 1e6;
        let placements = scheduler::find_placements(
            &job,
            &spec,
            &plan,
            &placement_hints(&replica),
            &unlimited,
            AcceleratorProtection::Lax,
        );
        let placements = placements.expect("capacity for all");
        assert_eq!(placements.len(), 9);
        let mut transaction = Transaction::new(&replica, 6);
        assert_eq!(
            transaction.book("job-1", &spec, &placements),
            expected_bookings,
            "{kind:?}"
        );
        assert!(transaction.len() <= 6);
    }
}

#[test]
fn preemption_follows_the_protocol() {
    let job_of = |team: &str, priority| JobSpec {
        team: team.into(),
        priority,
        ..job_spec(JobKind::Array, 1, 1.0)
    };
    use Priority::*;
    // (job, within guarantee, running work, running work borrows, may be preempted)
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
        ..job_of("u", Production)
    };
    assert!(
        !may_preempt(
            (&job_of("t", High), High),
            true,
            (&service, Production),
            true
        ),
        "a service is not preempted for a guarantee"
    );
    for (job, within_guarantee, running, borrows, expected) in cases {
        let got = may_preempt(
            (&job_of(job.0, job.1), job.1),
            within_guarantee,
            (&job_of(running.0, running.1), running.1),
            borrows,
        );
        assert_eq!(
            got, expected,
            "{job:?} {within_guarantee} {running:?} {borrows}"
        );
    }
}

/// Work within its own team's guarantee must not be preempted for the guarantee of another team.
/// Otherwise the two teams would preempt each other forever (13 times per gang on a measured
/// day).
#[test]
fn team_lends_only_above_its_guarantee() {
    let settings = settings();
    let team = settings.team("t").expect("team");
    let cpus_only = |cpus: f64| Resources {
        cpus: Amount::rounded_down(cpus),
        ..Resources::default()
    };
    // 8 CPUs are guaranteed.
    for (used, reclaimed, can_lend) in [
        (8.0, 2.0, false),
        (9.0, 2.0, false),
        (10.0, 2.0, true),
        (16.0, 8.0, true),
        (15.0, 8.0, false),
    ] {
        assert_eq!(
            team.can_lend(&cpus_only(used), &cpus_only(reclaimed)),
            can_lend,
            "{used} {reclaimed}"
        );
    }
}

/// A job that has waited for a time limit without ever being started is placed first, whatever
/// order the policy gives. This does not apply to a job that was started and preempted.
#[test]
fn starving_job_is_placed_first() {
    let settings = settings();
    let mut replica = replica_with_machines(&[("a", "m1", 8.0)]);
    let small_gang = Job::new(job_spec(JobKind::Gang, 1, 1.0), 5);
    let large_gang = Job::new(job_spec(JobKind::Gang, 8, 2.0), 6);
    let mut preempted = large_gang.clone();
    preempted.attempt = 1;
    let events = [
        ("job-1", &small_gang),
        ("job-2", &large_gang),
        ("job-3", &preempted),
    ];
    let events = events.map(|(id, job)| Event::put(job_key(id), job, 7));
    replica.apply_events(events.to_vec(), 8);
    let now = Instant::now();
    let threshold = Duration::from_secs_f64(settings.starvation_threshold_s());
    for (age, first) in [
        (Duration::ZERO, "job-1"),
        (threshold / 2, "job-1"),
        (threshold + Duration::from_secs(1), "job-2"),
    ] {
        let evaluated_at = now + threshold * 2;
        let first_seen = ["job-2", "job-3"].map(|id| (id.to_string(), evaluated_at - age));
        let mut first_seen: scheduler::FirstSeenTimes = first_seen.into_iter().collect();
        first_seen.insert("job-1".into(), evaluated_at);
        let queue = scheduler::queue(
            &replica,
            &Plan::from_replica(&replica),
            &settings,
            &first_seen,
            evaluated_at,
        );
        assert_eq!(queue[0], first, "{age:?}: {queue:?}");
    }
}

/// A machine takes no more tasks than its worker can list, whatever resources are free: placement
/// fills the next machine, and gangs and reservations go where there is capacity for all tasks.
#[test]
fn tasks_that_a_worker_cannot_list_are_placed_elsewhere() {
    let replica = replica_with_machines(&[("a", "m1", 64.0), ("b", "m2", 64.0)]);
    // Each case has the kind of the job and its number of tasks, the numbers of tasks that the
    // two machines can still list, and the placements and reservations on the machines.
    let cases = [
        (JobKind::Array, 5, [2, 9], Ok([2, 3]), [0, 5]),
        (JobKind::Array, 5, [2, 0], Ok([2, 0]), [2, 0]),
        (JobKind::Array, 5, [-3, 1], Ok([0, 1]), [0, 1]),
        (JobKind::Service, 5, [1, 9], Ok([1, 4]), [0, 5]),
        (JobKind::Gang, 5, [4, 9], Ok([0, 5]), [0, 5]),
        (JobKind::Gang, 5, [2, 3], Ok([2, 3]), [0, 3]),
        (
            JobKind::Gang,
            5,
            [3, 1],
            Err(WaitReason::NoCapacity),
            [3, 0],
        ),
        (
            JobKind::Array,
            1,
            [0, -1],
            Err(WaitReason::NoCapacity),
            [0, 0],
        ),
    ];
    for (kind, tasks, listed, placed, reserved) in cases {
        let case = format!("{kind:?}, {tasks} tasks, {listed:?}");
        let spec = job_spec(kind, tasks, 0.001);
        let mut plan = Plan::from_replica(&replica);
        let slots = ["m1", "m2"].map(|m| plan.slot_index_of(&replica, m).expect("a plan slot"));
        for (slot, free) in slots.into_iter().zip(listed) {
            plan.plan_slots[slot].free.tasks = free;
        }
        let hints = placement_hints(&replica);
        let found = scheduler::find_placements(
            &Job::new(spec.clone(), 1),
            &spec,
            &plan,
            &hints,
            &settings(),
            AcceleratorProtection::Strict,
        );
        let count = |slot: usize| move |p: &&scheduler::TaskPlacement| p.slot_index == slot;
        let found = found.map(|found| slots.map(|slot| found.iter().filter(count(slot)).count()));
        assert_eq!(found, placed, "{case}");
        scheduler::reserve_capacity(&spec, &mut plan, &hints);
        let left = slots.map(|slot| plan.plan_slots[slot].free.tasks);
        let taken = [listed[0] - left[0], listed[1] - left[1]];
        assert_eq!(taken, reserved, "{case}");
    }
}

/// Capacity is reserved for the first large gang of the queue, so that later jobs do not use
/// it. It is reserved only in the zone with the most free capacity.
#[test]
fn capacity_is_reserved_for_a_large_gang() {
    let replica = replica_with_machines(&[
        ("a", "m1", 4.0),
        ("a", "m2", 4.0),
        ("b", "m3", 4.0),
        ("b", "m4", 1.0),
    ]);
    let gang = JobSpec {
        one_zone: true,
        ..job_spec(JobKind::Gang, 3, 4.0)
    };
    let mut plan = Plan::from_replica(&replica);
    scheduler::reserve_capacity(&gang, &mut plan, &placement_hints(&replica));
    let free_cpus = |machine: &str| {
        plan.plan_slots[plan.slot_index_of(&replica, machine).expect("a plan slot")]
            .free
            .resources
            .cpus
            .units()
    };
    assert_eq!(
        ["m1", "m2", "m3", "m4"].map(free_cpus),
        [0.0, 0.0, 4.0, 1.0]
    );
}

/// The machines of a zone are recorded in machine shards, none of which exceeds `value_kb`. Each
/// machine is in one shard of its preferred owner. If two controllers record the same new machine
/// concurrently, at most one of their commits can succeed.
#[test]
fn large_zone_is_recorded_in_several_shards() {
    let settings = settings();
    let mut replica = replica_with_machine_types();
    let mut version = 10;
    for n in 0..800 {
        let name = format!("host-{n:06}");
        let mut machine_shards = shelfhoist::scheduler::MachineShardEdits::new(&replica);
        let machine = Machine {
            shard: machine_shards
                .allocate_shard(&settings, &name, "grande-occhio", "a")
                .expect("a shard"),
            owner: "n0".into(),
            incarnation: u64::from(u32::MAX),
            fencing_token: 1_000_000,
            claim_heartbeat: HeartbeatId::new(1000, 1_000_000),
            spot: true,
            ..Machine::new("grande-occhio", "a")
        };
        machine_shards.put(&name, machine);
        let Commit {
            preconditions,
            writes,
        } = machine_shards.into_commit();
        version += 1;
        for write in &writes {
            let Write::Put { key, value, .. } = write else {
                panic!("{write:?}");
            };
            assert!(
                value.get().len() <= settings.value_limit_bytes(),
                "{}",
                value.get().len()
            );
            assert!(
                preconditions
                    .iter()
                    .any(|precondition| precondition.key == *key),
                "{key} is written without a precondition"
            );
        }
        // Every shard of the preferred owner is a precondition, and so is the next one, which
        // does not exist yet.
        let preferred_owner = settings.preferred_owner(&name, "a");
        let owner_shards = replica
            .machine_shards
            .keys()
            .filter(|key| key.starts_with(&format!("a/{preferred_owner}.")));
        assert!(
            preconditions.len() > owner_shards.count().saturating_sub(1),
            "{preconditions:?}"
        );
        replica.apply_commit(&writes, version);
    }
    assert_eq!(replica.machines.len(), 800);
    let recorded: usize = replica
        .machine_shards
        .values()
        .map(|shard| shard.value.machines.len())
        .sum();
    assert_eq!(recorded, 800, "each machine is recorded in one shard");
    assert!(
        replica.machine_shards.len() > 4,
        "{}",
        replica.machine_shards.len()
    );
    // Claiming all machines takes several commits, each within the size limit of a request.
    let max_writes = settings.max_writes_per_commit();
    let mut unclaimed: Vec<String> = replica.machines.keys().cloned().collect();
    let mut commits = 0;
    while !unclaimed.is_empty() {
        let mut machine_shards = shelfhoist::scheduler::MachineShardEdits::new(&replica);
        unclaimed.retain(|name| {
            let machine = &replica.machines[name].value;
            let machine_shard = shard_id(&machine.zone, &machine.shard);
            if machine_shards.is_full(max_writes) && !machine_shards.contains(&machine_shard) {
                return true;
            }
            machine_shards.put(name, machine.clone());
            false
        });
        let body = serde_json::to_vec(&machine_shards.into_commit()).expect("commit");
        assert!(body.len() <= 64 * 1024, "{} bytes", body.len());
        commits += 1;
    }
    assert!((2..10).contains(&commits), "{commits} commits");
}

/// The write rate of all controllers is allocated in proportion to their demands.
#[test]
fn write_rate_is_allocated_by_demand() {
    let allocation = shelfhoist::state::budget::write_rate_allocation;
    let even = allocation(30.0, 5.0, &[Some(5.0); 4]);
    assert!((even - 6.0).abs() < 0.01, "{even}");
    assert!(allocation(30.0, 9.0, &[Some(1.0); 4]) > 12.0);
    assert!(allocation(30.0, 0.0, &[Some(9.0); 4]) < 2.0);
    // Controllers whose demand is unknown may be writing too.
    assert!(allocation(30.0, 9.0, &[None; 4]) < 12.0);
    for demand in [0.0, 1.0, 30.0, 1e6] {
        let allocated = allocation(30.0, demand, &[Some(0.0); 4]);
        assert!((1.5..=18.0).contains(&allocated), "{demand}: {allocated}");
    }
}
