//! Launches follow only from a recent view: a job that is booked in an older one
//! may have been cancelled at another controller since.

#[allow(dead_code)]
mod stand_ins;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use shelfhoist::http::{CallError, Client, Deadlines, Handler, Response, ServerLimits, serve};
use shelfhoist::net::{Fabric, Net};
use shelfhoist::settings::Settings;
use shelfhoist::wire::{CommandAction, WorkerCommand};
use shelfhoist::workers::WorkerPlan;
use stand_ins::{Shape, World, addr, in_world, job};
use tokio::time::{Instant, sleep};

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn order(action: CommandAction) -> WorkerCommand {
    WorkerCommand {
        action,
        task: "job-1/0".to_string(),
        attempt: 1,
        grace_s: None,
    }
}

/// Without a recent last barrier all launches are held, and nothing else is.
#[test]
fn only_a_recent_view_launches() {
    use CommandAction::{Forget, Start, Stop};
    let limit = secs(1.0);
    let cases = [
        ("recent", Some(secs(0.9)), vec![Start], vec![Start], false),
        ("just too old", Some(limit), vec![Start], vec![], true),
        ("old", Some(secs(1.1)), vec![Start, Start], vec![], true),
        ("no horizon yet", None, vec![Start], vec![], true),
        (
            "no launch",
            None,
            vec![Stop, Forget],
            vec![Stop, Forget],
            false,
        ),
        ("nothing", Some(secs(9.0)), vec![], vec![], false),
        (
            "the rest goes on",
            Some(secs(9.0)),
            vec![Stop, Start, Forget],
            vec![Stop, Forget],
            true,
        ),
        (
            "all of a recent plan",
            Some(secs(0.0)),
            vec![Stop, Start, Forget],
            vec![Stop, Start, Forget],
            false,
        ),
    ];
    for (name, age, planned, expected, deferred) in cases {
        let mut plan = WorkerPlan {
            commands: planned.into_iter().map(order).collect(),
            terminations: Vec::new(),
        };
        assert_eq!(plan.defer_launches(age, limit), deferred, "{name}");
        let left: Vec<CommandAction> = plan.commands.iter().map(|o| o.action).collect();
        assert_eq!(left, expected, "{name}");
    }
}

/// The bound holds two normal intervals between barriers wherever a quarter of
/// the lease does, and is never longer than that.
#[test]
fn the_bound_is_a_small_multiple_of_the_interval() {
    // Lease, cancellation, requests a second.
    for (lease_s, cancel_s, rps) in [
        (10.0, 30.0, 150.0),
        (10.0, 40.0, 200.0),
        (24.0, 44.0, 80.0),
        (26.5, 60.0, 150.0),
        (10.0, 11.5, 150.0),
        (10.0, 30.0, 10.0),
    ] {
        let mut shape = Shape {
            lease_s,
            cancel_s,
            ..Shape::default()
        };
        shape.state["rps"] = json!(rps);
        let settings: Settings = shape.settings(0);
        let (limit, lease) = (settings.max_launch_staleness(), settings.worker_lease());
        let gap = secs(4.0 * shape.controllers as f64 / rps);
        let interval = settings.idle_barrier_interval() + gap;
        let name = format!("{lease_s} {cancel_s} {rps}: {limit:?}");
        assert!(limit <= lease / 4, "{name}");
        assert!(limit >= lease / 16, "{name}");
        assert!(limit >= (interval * 2).min(lease / 4), "{name}");
        assert!(limit <= (interval * 2).max(lease / 16), "{name}");
        assert!(settings.idle_barrier_interval() <= settings.staleness_limit() / 20);
    }
}

/// A call is not sent after the time by which it must be, however long its answer
/// may take; an answer that comes after that time is taken all the same.
#[test]
fn a_call_is_sent_in_time_or_not_at_all() {
    // By when it must be sent and answered, from now; whether it arrives.
    let cases = [
        ("in time", 1.0, 4.0, true),
        ("no longer to be sent", 0.0, 4.0, false),
        ("neither", 0.0, 0.0, false),
    ];
    in_world(|| async move {
        let fabric = Rc::new(Fabric::default());
        let worker = addr("10.1.0.1:1");
        let arrived = Rc::new(Cell::new(0));
        let count = arrived.clone();
        let handler: Handler = Rc::new(move |_| {
            count.set(count.get() + 1);
            Box::pin(async {
                sleep(secs(2.0)).await;
                Response::empty(200)
            })
        });
        let limits = ServerLimits {
            connections: 4,
            idle: secs(60.0),
            arrive: secs(5.0),
            stays: |_| true,
        };
        let net = Net::Fabric(fabric.clone(), worker);
        let listener = net.listen(worker).await.expect("listen");
        tokio::task::spawn_local(serve(listener, limits, handler));
        let client = Client::new(Net::Fabric(fabric, addr("10.1.0.2:1")), secs(30.0));
        for (name, send_s, answer_s, expected) in cases {
            arrived.set(0);
            let now = Instant::now();
            let deadlines = Deadlines {
                send: now + secs(send_s),
                answer: now + secs(answer_s),
            };
            let call = client.call_within(worker, "POST", "/orders", None, deadlines);
            match call.await {
                Ok(answer) => assert!(expected && answer.status == 200, "{name}"),
                Err(CallError::NotSent(_)) => assert!(!expected, "{name}"),
                Err(error) => panic!("{name}: {error}"),
            }
            assert_eq!(arrived.get(), usize::from(expected), "{name}");
        }
    });
}

/// A machine hangs for a little longer than its lease and comes back without the
/// tasks that are booked on it: its owner launches them again. Shortly before,
/// the state service refuses the owner alone, and some jobs are cancelled at
/// another controller.
struct Comeback {
    world: Rc<World>,
    owner: usize,
    /// Cancelled at another controller.
    cancelled: Vec<String>,
    kept: Vec<String>,
}

/// How long before the machines come back the owner is refused, and how long
/// before that the cancellations are asked for.
async fn come_back(seed: u64, refused_s: f64, cancelled_s: f64) -> Comeback {
    // Past the lease, but before the owner may conclude that it is over.
    const HANG_S: f64 = 10.3;
    let world = World::new(seed).await;
    let mut ids = Vec::new();
    for n in 0..4 {
        ids.push(world.submit(job(n + 1, "batch", 1, 300.0)).await);
    }
    for id in &ids {
        world.until(id, "running", 60).await;
    }
    sleep(secs(5.0)).await;
    let owner = world.busiest();
    world.busy().iter().for_each(|m| m.hang(secs(HANG_S)));
    sleep(secs(HANG_S - refused_s)).await;
    world.state.troubles.borrow_mut().refused.insert(owner);
    sleep(secs(refused_s - cancelled_s)).await;
    let kept = ids.split_off(2);
    for id in &ids {
        let told = world.withdraw((owner + 1) % 3, id).await;
        assert_eq!(told.as_deref(), Some("aborted"));
    }
    Comeback {
        world,
        owner,
        cancelled: ids,
        kept,
    }
}

/// No launch later than the bound after a cancellation that another controller
/// has confirmed, however long before the launch that was.
#[test]
fn no_launch_long_after_a_cancellation_elsewhere() {
    for k in 0..12u32 {
        let cancelled_s = 0.3 + 0.15 * f64::from(k);
        in_world(|| async move {
            let case = come_back(u64::from(k), cancelled_s + 0.1, cancelled_s).await;
            let world = case.world;
            sleep(secs(12.0)).await;
            let limit = world.shape.settings(0).max_launch_staleness();
            let late: Vec<_> = world.late_starts.borrow().clone();
            let too_late: Vec<_> = late.iter().filter(|(_, after)| *after > limit).collect();
            assert!(too_late.is_empty(), "{cancelled_s}: {too_late:?}");
            world.heal();
            sleep(secs(20.0)).await;
            for id in &case.cancelled {
                assert_eq!(world.running(id), 0, "{id}");
            }
            for id in &case.kept {
                assert_eq!(world.running(id), 1, "{id}");
            }
            world.assert_kept();
        });
    }
}

/// What was held goes out as soon as the state service is back.
#[test]
fn held_launches_follow_the_next_barrier() {
    in_world(|| async {
        let case = come_back(50, 2.4, 2.0).await;
        let (world, owner) = (case.world, case.owner);
        let starts = world.starts.get();
        sleep(secs(2.0 + 1.0)).await;
        assert_eq!(world.starts.get(), starts, "launched by an old view");
        world.state.troubles.borrow_mut().refused.remove(&owner);
        sleep(secs(1.0)).await;
        for id in &case.kept {
            assert_eq!(world.running(id), 1, "{id}");
        }
        assert_eq!(world.late_starts.borrow().len(), 0);
        world.assert_kept();
    });
}
